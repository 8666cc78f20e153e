package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulation runs a queue in front of a fixed number of slots.
type simulation struct {
	queue    *Queue[*statement]
	running  []*statement
	slots    int
	finished []*statement
	// exact is true if the queue is given the cost of each statement.
	exact bool
}

type statement struct {
	customer            string
	arrives, starts     time.Duration
	ends, cost          time.Duration
	ticket              Ticket
	overShare, overRate bool
	// overShare and overRate are true if the customer had used up its share or its rate when the statement arrived.
	// fairStart is when the statement would start if its customer had its share of the slots to itself.
	fairStart time.Duration
}

// nextToEnd returns the index of the running statement that ends first, or -1.
func (s *simulation) nextToEnd() int {
	first := -1
	for i, r := range s.running {
		if first < 0 || r.ends < s.running[first].ends {
			first = i
		}
	}
	return first
}

// advance ends and starts statements until the given time.
func (s *simulation) advance(until time.Duration) {
	for {
		i := s.nextToEnd()
		if i < 0 || s.running[i].ends > until {
			return
		}
		r := s.running[i]
		s.running = slices.Delete(s.running, i, i+1)
		s.queue.Done(r.ticket, r.cost, at(r.ends))
		s.finished = append(s.finished, r)
		// The bounds in TestNoisyCustomer rely on this invariant.
		if c := s.queue.classes[0]; !c.ready.empty() && c.ready.top().start < c.virtualTime {
			panic("a start tag is below the virtual time")
		}
		s.fillSlots(r.ends)
	}
}

func (s *simulation) fillSlots(now time.Duration) {
	for len(s.running) < s.slots {
		p, ok := s.queue.Pop(0, at(now))
		if !ok {
			return
		}
		r := p.Value
		r.ticket, r.starts, r.ends = p.Ticket, now, now+r.cost
		s.running = append(s.running, r)
	}
}

// submit adds a statement to the queue and records whether its customer had used up its share or rate.
func (s *simulation) submit(r *statement) {
	s.advance(r.arrives)
	now := at(r.arrives)
	f := &s.queue.accounts[r.customer].flows[0]
	tokenAt, _ := f.account.source.Next(f.account.tokens+1, now)
	r.overRate = tokenAt.After(now)
	r.overShare = f.head() != nil || f.finish > s.queue.classes[0].virtualTime
	it := Item[*statement]{Customer: r.customer, Value: r}
	if s.exact {
		it.Cost = r.cost
	}
	if _, err := s.queue.Push(it, now); err != nil {
		return // the customer's queue is full
	}
	s.fillSlots(r.arrives)
}

const (
	simCustomers = 8
	simMaxCost   = 5 * ms
)

// simulate runs 8 customers, the first of which sends noise times its rate, and returns the finished statements of the
// others. At their rates, all customers together use half of the slots. If limited is false, the buckets never
// throttle.
func simulate(slots int, noise float64, limited, exact bool) []*statement {
	const duration = time.Minute
	random := rand.New(rand.NewPCG(uint64(slots), 1))
	s := &simulation{queue: NewQueue[*statement](1, 0), slots: slots, exact: exact}
	rate := float64(slots) / simCustomers / simMaxCost.Seconds()
	var all []*statement
	for i := range simCustomers {
		name := fmt.Sprint(i)
		c := contract(rate*1.2, 20)
		if !limited {
			c = contract(1e6, 1e6)
		}
		s.queue.SetCustomer(name, 1, NewBucket(c, MicroTokens(c.Burst)*Token, start), start)
		gap := float64(time.Second) / rate
		if i == 0 {
			gap /= noise
		}
		for now := time.Duration(0); now < duration; now += time.Duration(random.ExpFloat64() * gap) {
			cost := time.Duration(1 + random.Int64N(int64(simMaxCost)))
			all = append(all, &statement{customer: name, arrives: now, cost: cost})
		}
	}
	slices.SortStableFunc(all, func(a, b *statement) int { return cmp.Compare(a.arrives, b.arrives) })
	free := map[string]time.Duration{}
	for _, r := range all {
		r.fairStart = max(r.arrives, free[r.customer])
		free[r.customer] = r.fairStart + r.cost*simCustomers/time.Duration(slots)
		s.submit(r)
	}
	s.advance(2 * duration)
	return slices.DeleteFunc(s.finished, func(r *statement) bool { return r.customer == "0" })
}

// Guards against a customer at 10 times its rate that delays the others beyond the bounds derived in
// docs/decisions/0004-admission-and-fair-queueing.md. With n customers of equal share, s slots and maximum cost c, a
// statement of a customer that has not used up its share waits at most c*(1+(n-1)/s), regardless of the expected costs.
// With exact costs, every statement starts at most c*(1+(2n-1)/s) later than if its customer had its share to itself.
func TestNoisyCustomer(t *testing.T) {
	is := is.New(t)
	for _, slots := range []int{2, 3} {
		for _, exact := range []bool{false, true} {
			for _, limited := range []bool{true, false} {
				for _, noise := range []float64{1, 10} {
					var waits []time.Duration
					var late time.Duration
					within := 0
					for _, r := range simulate(slots, noise, limited, exact) {
						wait := r.starts - r.arrives
						waits = append(waits, wait)
						if !r.overShare && !r.overRate {
							within++
							is.True(wait <= simMaxCost+simMaxCost*(simCustomers-1)/time.Duration(slots))
						}
						late = max(late, r.starts-r.fairStart)
					}
					if exact && !limited {
						is.True(late <= simMaxCost+simMaxCost*(2*simCustomers-1)/time.Duration(slots))
					}
					slices.Sort(waits)
					t.Logf("slots=%d exact=%v buckets=%v noise=%v: wait p50=%v p99=%v max=%v, after due at most %v, within their share %d of %d", slots,
						exact, limited, noise, waits[len(waits)/2], waits[len(waits)*99/100], waits[len(waits)-1], late, within, len(waits))
				}
			}
		}
	}
}
