package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func at(d time.Duration) time.Time { return start.Add(d) }

// referenceItem is a waiting item. tokenDeadlineMet is true once the token deadline has passed while the
// customer had tokens.
type referenceItem struct {
	Item[int]
	tokenDeadlineMet bool
}

type referenceFlow struct{ start, finish uint64 }

// referenceQueue is a reference implementation of the queue, which scans a list on each call.
type referenceQueue struct {
	items       []*referenceItem
	buckets     map[string]*Bucket
	share       map[string]uint64
	flows       map[string]*referenceFlow
	virtualTime []uint64
}

func (n *referenceQueue) flow(customer string, c Class) *referenceFlow {
	key := fmt.Sprint(customer, c)
	if n.flows[key] == nil {
		n.flows[key] = &referenceFlow{}
	}
	return n.flows[key]
}

func (n *referenceQueue) hasToken(it *referenceItem, now time.Time) bool {
	return it.Prepaid || n.buckets[it.Customer].Level(now) >= MicroTokens(it.Tokens)*Token
}

// eligible returns the heads that may be served now. The start tags of their flows are raised to the virtual time.
func (n *referenceQueue) eligible(c Class, now time.Time) []*referenceItem {
	heads := map[string]*referenceItem{}
	for _, it := range n.items {
		h := heads[it.Customer]
		if it.Class == c && (h == nil || priorityOf(it.First, it.Prepaid) < priorityOf(h.First, h.Prepaid)) {
			heads[it.Customer] = it
		}
	}
	var list []*referenceItem
	for customer, it := range heads {
		if n.hasToken(it, now) {
			f := n.flow(customer, c)
			f.start = max(f.start, f.finish, n.virtualTime[c])
			list = append(list, it)
		}
	}
	return list
}

func (n *referenceQueue) expire(now time.Time) []int {
	var ids []int
	n.items = slices.DeleteFunc(n.items, func(it *referenceItem) bool {
		late := !it.Deadline.After(now)
		if !it.TokenDeadline.IsZero() && !it.TokenDeadline.After(now) && !it.tokenDeadlineMet {
			it.tokenDeadlineMet = true
			late = late || !n.hasToken(it, now)
		}
		if late {
			ids = append(ids, it.Value)
		}
		return late
	})
	return ids
}

// serve checks that the popped item is eligible and has the lowest start tag, and charges its flow.
func (n *referenceQueue) serve(id int, c Class, now time.Time) error {
	list := n.eligible(c, now)
	k := slices.IndexFunc(list, func(it *referenceItem) bool { return it.Value == id })
	if k < 0 {
		return errors.Errorf("item %d is not eligible", id)
	}
	it := list[k]
	f := n.flow(it.Customer, c)
	for _, o := range list {
		if n.flow(o.Customer, c).start < f.start {
			return errors.Errorf("item %d of %s was served before item %d of %s", id, it.Customer, o.Value, o.Customer)
		}
	}
	if !it.Prepaid && !n.buckets[it.Customer].Take(it.Tokens, now) {
		return errors.Errorf("item %d was served without tokens", id)
	}
	n.virtualTime[c] = max(n.virtualTime[c], f.start)
	f.finish = f.start + max(uint64(it.Cost)/n.share[it.Customer], 1)
	f.start = f.finish
	n.items = slices.DeleteFunc(n.items, func(o *referenceItem) bool { return o == it })
	return nil
}

// Guards against any difference from the reference implementation: order within and between customers, tokens,
// deadlines, and items that are not served although they may run.
func TestQueueMatchesDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classes := rapid.IntRange(1, 2).Draw(t, "classes")
		q := NewQueue[int](classes, 0)
		n := &referenceQueue{buckets: map[string]*Bucket{}, share: map[string]uint64{}, flows: map[string]*referenceFlow{}, virtualTime: make([]uint64, classes)}
		customers := []string{"a", "b", "c", "d"}
		for i, name := range customers {
			c := contract(float64(rapid.IntRange(0, 200).Draw(t, "rate")), rapid.IntRange(1, 4).Draw(t, "burst"))
			q.SetCustomer(name, i+1, NewBucket(c, Token, start), start)
			n.buckets[name], n.share[name] = NewBucket(c, Token, start), uint64(i+1)
		}
		handles := map[int]Handle{}
		now := start
		for id := range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "gap")) * ms)
			c := Class(rapid.IntRange(0, classes-1).Draw(t, "class"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				it := Item[int]{Value: id, Customer: rapid.SampledFrom(customers).Draw(t, "customer"), Class: c,
					Tokens: rapid.IntRange(1, 2).Draw(t, "tokens"), Cost: time.Duration(rapid.IntRange(1, 9).Draw(t, "cost")) * ms,
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "deadline")) * ms)}
				// TestTransactionsKeepTokens covers reservations across classes, so First is drawn only for single-class queues.
				l := rapid.IntRange(0, 2).Draw(t, "priority")
				it.First, it.Prepaid = l == 1 && classes == 1, l == 2
				if rapid.Bool().Draw(t, "token deadline") {
					it.TokenDeadline = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "token wait")) * ms)
				}
				h, err := q.Push(it, now)
				if err != nil {
					t.Fatal(err)
				}
				handles[id] = h
				n.items = append(n.items, &referenceItem{Item: it})
			case 2:
				for rid, h := range handles {
					k := slices.IndexFunc(n.items, func(it *referenceItem) bool { return it.Value == rid })
					if rid%3 != 0 && k >= 0 {
						continue // keep two thirds of the waiting items
					}
					if q.Remove(h, now) != (k >= 0) {
						t.Fatalf("removal of item %d, which is at %d of the waiting items", rid, k)
					}
					if k >= 0 {
						n.items = slices.Delete(n.items, k, k+1)
					}
				}
			default:
				checkPop(t, q, n, c, now)
			}
			checkCounts(t, q, n)
		}
	})
}

func checkPop(t *rapid.T, q *Queue[int], n *referenceQueue, c Class, now time.Time) {
	want := n.expire(now)
	p, ok := q.Pop(c, now)
	var got []int
	for _, d := range q.Expire(now) {
		got = append(got, d.Value)
	}
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Fatalf("dropped %v, want %v", got, want)
	}
	for other := range n.virtualTime {
		n.eligible(Class(other), now) // raises the start tags of flows with tokens in all classes
	}
	if !ok {
		if list := n.eligible(c, now); len(list) > 0 {
			t.Fatalf("item %d of %s may run and was not served", list[0].Value, list[0].Customer)
		}
		return
	}
	if err := n.serve(p.Value, c, now); err != nil {
		t.Fatal(err)
	}
}

func checkCounts(t *rapid.T, q *Queue[int], n *referenceQueue) {
	if q.Len() != len(n.items) {
		t.Fatalf("%d items wait, want %d", q.Len(), len(n.items))
	}
	for name := range n.buckets {
		items, tokens := 0, 0
		for _, it := range n.items {
			if it.Customer != name {
				continue
			}
			items++
			if !it.Prepaid {
				tokens += it.Tokens
			}
		}
		if gotItems, gotTokens := q.Waiting(name); gotItems != items || gotTokens != tokens {
			t.Fatalf("customer %s waits with %d items and %d tokens, want %d and %d", name, gotItems, gotTokens, items, tokens)
		}
	}
}

func newTestQueue(t *testing.T, customers ...string) (*Queue[string], *is.I) {
	t.Helper()
	q := NewQueue[string](2, 3)
	for _, name := range customers {
		q.SetCustomer(name, 1, NewBucket(contract(1000, 1000), 1000*Token, start), start)
	}
	return q, is.New(t)
}

// Guards against an unbounded queue, against a transaction refused because of other work, and against wrong drop
// causes.
func TestPushLimitsAndRemoveCustomer(t *testing.T) {
	q, is := newTestQueue(t, "a")
	push := func(it Item[string]) error {
		it.Customer = "a"
		_, err := q.Push(it, start)
		return err
	}
	for range 3 {
		is.NoErr(push(Item[string]{Value: "rest"}))
	}
	is.True(errors.Is(push(Item[string]{}), ErrQueueFull))
	is.NoErr(push(Item[string]{First: true}))
	is.True(errors.Is(push(Item[string]{Class: 2}), ErrUnknownClass))
	is.True(errors.Is(push(Item[string]{First: true, Deadline: start}), ErrExpired))
	_, err := q.Push(Item[string]{Customer: "x"}, start)
	is.True(errors.Is(err, ErrUnknownCustomer))
	q.RemoveCustomer("a", at(ms))
	dropped := q.Expire(at(ms))
	is.Equal(len(dropped), 4)
	is.Equal(dropped[0], Dropped[string]{Value: "", Cause: CauseRemoved, Waited: ms})
	is.Equal(len(q.Expire(at(ms))), 0)
}

// Guards against a late wake-up, and against reporting a missed deadline when the customer had no token.
func TestWakeAndCauses(t *testing.T) {
	q, is := newTestQueue(t)
	_, pending := q.NextWake()
	is.True(!pending)
	q.SetCustomer("slow", 1, NewBucket(contract(10, 1), 0, start), start)
	q.SetCustomer("none", 1, NewBucket(contract(0, 1), 0, start), start)
	for _, name := range []string{"slow", "none"} {
		_, err := q.Push(Item[string]{Customer: name, Value: name, Deadline: at(time.Second), TokenDeadline: at(150 * ms)}, start)
		is.NoErr(err)
	}
	_, ok := q.Pop(0, start)
	is.True(!ok)
	wake, _ := q.NextWake()
	is.Equal(wake, at(100*ms))
	view := CustomerView{Customer: "none", Share: 1, Waiting: 1, Tokens: 1, Throttled: true, OldestWait: 50 * ms}
	is.Equal(q.Customers(at(50 * ms))[0], view)
	view.Customer, view.NextToken = "slow", at(100*ms)
	is.Equal(q.Customers(at(50 * ms))[1], view)
	dropped := q.Expire(at(150 * ms))
	is.Equal(dropped, []Dropped[string]{{Value: "none", Cause: CauseRate, Waited: 150 * ms}})
	is.Equal(q.Expire(at(time.Second)), []Dropped[string]{{Value: "slow", Cause: CauseDeadline, Waited: time.Second}})
}

// Guards against other work taking the token that a statement of an open transaction waits for in another class, and
// against keeping granted tokens that no item waits for.
func TestTransactionsKeepTokens(t *testing.T) {
	q, is := newTestQueue(t)
	g := &Grants{}
	q.SetCustomer("a", 1, g, start)
	for c, it := range []Item[string]{{Value: "rest"}, {Value: "tx", First: true}} {
		it.Customer, it.Class, it.Deadline = "a", Class(c), at(time.Second)
		_, err := q.Push(it, start)
		is.NoErr(err)
	}
	_, ok := q.Pop(1, start)
	is.True(!ok)
	g.Add(1)
	q.Refresh("a", start)
	_, ok = q.Pop(0, start)
	is.True(!ok)
	p, ok := q.Pop(1, start)
	is.True(ok && p.Value == "tx")
	g.Add(2)
	q.Refresh("a", start)
	is.Equal(g.Available(), 1) // one item waits
	q.Expire(at(time.Second))
	is.Equal(g.Available(), 0)

	q.SetCustomer("b", 1, NewBucket(contract(1, 1), 0, start), start)
	for c, first := range []bool{false, true} {
		_, err := q.Push(Item[string]{Customer: "b", Class: Class(c), First: first}, start)
		is.NoErr(err)
		q.Pop(Class(1-c), start)
	}
	_, ok = q.Pop(1, start) // reserves the only token within the burst
	is.True(!ok)
	_, ok = q.Pop(0, at(time.Second))
	is.True(!ok)
	_, ok = q.Pop(1, at(time.Second))
	is.True(ok)
	_, ok = q.Pop(0, at(2*time.Second)) // the reservation has ended
	is.True(ok)
}

// Guards against serving equal start tags out of order, and against charging a customer for time in which no other
// customer had work.
func TestTiesAndBusyPeriods(t *testing.T) {
	q, is := newTestQueue(t, "a", "b")
	pop := func(names ...string) {
		t.Helper()
		for _, name := range names {
			p, ok := q.Pop(0, start)
			is.True(ok && p.Value == name)
			q.Done(p.Ticket, ms, start)
		}
	}
	push := func(names ...string) {
		for _, name := range names {
			_, err := q.Push(Item[string]{Customer: name, Value: name, Cost: ms}, start)
			is.NoErr(err)
		}
	}
	push("b", "a")
	pop("b", "a")
	push("a")
	p, _ := q.Pop(0, start)
	q.Done(p.Ticket, 10*time.Second, start)
	push("a", "a", "b", "b")
	pop("a", "b", "a", "b")
}

// Guards against service that is not proportional to the shares, and against wrong expected costs that are not
// corrected.
func TestSharesFollowMeasuredCost(t *testing.T) {
	is := is.New(t)
	q := NewQueue[string](1, 0)
	cost := map[string]time.Duration{"a": 2 * ms, "b": 2 * ms, "c": 8 * ms, "d": ms}
	for name, share := range map[string]int{"a": 1, "b": 3, "c": 1, "d": 1} {
		q.SetCustomer(name, share, NewBucket(contract(1e6, 1e6), 1e6*Token, start), start)
	}
	used := map[string]time.Duration{}
	for range 6000 {
		for name := range cost {
			if items, _ := q.Waiting(name); items == 0 {
				_, err := q.Push(Item[string]{Customer: name, Value: name, Cost: 2 * ms}, start)
				is.NoErr(err)
			}
		}
		p, ok := q.Pop(0, start)
		is.True(ok)
		used[p.Value] += cost[p.Value]
		q.Done(p.Ticket, cost[p.Value], start)
	}
	for name, want := range map[string]float64{"b": 3, "c": 1, "d": 1} {
		got := used[name].Seconds() / used["a"].Seconds()
		is.True(got > 0.98*want && got < 1.02*want)
	}
}

func BenchmarkQueue(b *testing.B) {
	for _, customers := range []int{8, 1000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			q := NewQueue[int](2, 0)
			names := make([]string, customers)
			for i := range names {
				names[i] = fmt.Sprintf("customer-%d", i)
				q.SetCustomer(names[i], 1+i%5, NewBucket(contract(1e6, 1e6), 1e6*Token, start), start)
			}
			now := start
			push := func(i int) {
				_, err := q.Push(Item[int]{Customer: names[i%customers], Deadline: now.Add(5 * time.Second), Value: i}, now)
				if err != nil {
					b.Fatal(err)
				}
			}
			for i := range 2 * customers {
				push(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(10 * time.Microsecond)
				push(i)
				p, ok := q.Pop(0, now)
				if !ok {
					b.Fatal("nothing to pop")
				}
				q.Done(p.Ticket, ms, now)
			}
		})
	}
}
