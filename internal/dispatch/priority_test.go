package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// prioritized returns a scheduler for routes of priorities 0 to 2.
func prioritized(connections int) *Scheduler {
	s := newScheduler(connections)
	s.limits.Priorities = Priorities{Highest: 0, Lowest: 2}
	return s
}

func prioritizedWrite(priority int, now time.Time) Item {
	it := write("a", now)
	it.Priority = priority
	return it
}

// Guards against urgent statements behind less urgent ones that are due earlier, and behind late ones.
func TestPriorityOrdersTheQueue(t *testing.T) {
	is := is.New(t)
	s := prioritized(21)
	s.limits.ExtraInFlight = -2 // one at a time
	var want []Ticket
	for _, c := range []struct{ priority, due int }{{0, 400}, {0, 500}, {1, 300}, {2, 200}, {0, -10}, {1, -20}} {
		it := prioritizedWrite(c.priority, epoch)
		it.Due = at(c.due)
		want = append(want, submit(t, s, it, epoch))
	}
	var order []Ticket
	for range 2 * len(want) {
		for _, a := range connect(s, s.Plan(epoch), epoch) {
			order = append(order, a.Ticket)
			s.Done(a.Conn, false, epoch)
		}
	}
	is.Equal(order, want)
}

// Guards against starvation of less urgent statements while urgent ones keep the slots busy.
func TestLessUrgentStatementsKeepAMinimumShare(t *testing.T) {
	is := is.New(t)
	s := prioritized(21)
	s.limits.ExtraInFlight = -2 // one at a time
	const statements = 100
	lessUrgent := make(map[Ticket]bool)
	served := 0
	for i := range statements {
		now := at(10 * i)
		for priority := range 3 {
			it := prioritizedWrite(priority, now)
			it.Due, it.Deadline = now.Add(time.Minute), now.Add(2*time.Minute)
			lessUrgent[submit(t, s, it, now)] = priority > 0
		}
		for _, a := range connect(s, s.Plan(now), now) {
			if lessUrgent[a.Ticket] {
				served++
			}
			s.Done(a.Conn, false, now)
		}
	}
	is.True(served >= statements/minimumShareDivisor-1)
	is.True(served <= statements/minimumShareDivisor+1)
}

// Guards against an urgent statement that waits for slots or connections which less urgent ones hold.
func TestReservesAreKeptForUrgentStatements(t *testing.T) {
	is := is.New(t)
	s := prioritized(11) // ten connections to a member, of which seven may be held
	for i := range 20 {
		it := prioritizedWrite(1, epoch)
		it.Customer, it.OpensTransaction = fmt.Sprint(i%4), true
		submit(t, s, it, epoch)
	}
	held := 0
	for assigned := connect(s, s.Plan(epoch), epoch); len(assigned) > 0; assigned = connect(s, s.Plan(epoch), epoch) {
		is.True(len(assigned) <= 3) // of four statements in flight
		held += len(assigned)
		for _, a := range assigned {
			s.Done(a.Conn, true, epoch)
		}
	}
	is.Equal(held, 6)
	urgent := prioritizedWrite(0, epoch)
	urgent.OpensTransaction = true
	ticket := submit(t, s, urgent, epoch)
	is.Equal(connect(s, s.Plan(epoch), epoch)[0].Ticket, ticket)
}

// Guards against different scheduling where the priorities of all routes are equal: refusals and the order of the queue follow
// from due times and the customers' queued work, whatever the priority is.
func TestEqualPrioritiesKeepTheOrderOfDueTimes(t *testing.T) {
	is := is.New(t)
	l := newLoadSimulation(6)
	l.s.limits.Priorities = Priorities{Highest: 3, Lowest: 3}
	refusals := 0
	l.beforeSubmit = func(it *Item, now time.Time) func(*Refusal) {
		it.Priority, it.CustomerPriority, it.Weight = 3, l.random.IntN(3), float64(l.random.IntN(100))
		due, wait, maxWait := dueTimeRule(l.s, it, now)
		position := 0
		for _, q := range l.s.queue {
			if !q.effectiveDue.After(due) {
				position++
			}
		}
		return func(r *Refusal) {
			is.Equal(r != nil, wait > maxWait)
			if r != nil {
				refusals++
				is.Equal(*r, Refusal{Reason: ReasonQueueTooLong, After: max(wait-maxWait, minRetryAfter), ExpectedWait: wait, QueueLength: l.s.Len()})
				return
			}
			is.Equal(l.s.queue[position].effectiveDue, due)
		}
	}
	for i := range 8 {
		l.arrive(fmt.Sprint(i), 94, 0.2, at(4000))
	}
	l.arrive("busy", 200, 0.2, at(4000))
	l.run(at(5000))
	is.True(refusals > 100 && l.inTime > 1000)
}

// dueTimeRule returns an item's due time in the queue and its wait, and the longest wait that is not refused, as they are
// without priorities.
func dueTimeRule(s *Scheduler, it *Item, now time.Time) (due time.Time, wait, maxWait time.Duration) {
	w := &queuedItem{Item: *it}
	slots, running, idle := s.capacity(w, now)
	var own, ahead time.Duration
	others := make(map[string]bool)
	for _, q := range s.queue {
		switch {
		case q.Need == it.Need && q.Customer == it.Customer:
			own += q.Cost
		case q.Need == it.Need:
			others[q.Customer] = true
		}
	}
	alone := own / time.Duration(slots)
	due = it.Due.Add(alone * time.Duration(len(others)))
	for _, q := range s.queue {
		if q.Need == it.Need && !q.effectiveDue.After(due) {
			ahead += q.Cost
		}
	}
	wait = max((ahead+time.Duration(running)*it.Cost/2)/time.Duration(slots), alone*time.Duration(1+len(others)))
	if idle {
		wait = 0
	}
	return due, wait, max(it.Due.Sub(now)*3/4-it.Cost, minWait)
}

// Guards against a minimum share that ends while urgent statements beyond a customer's share are waiting.
func TestTheMinimumShareHoldsBesideStatementsBeyondTheShare(t *testing.T) {
	is := is.New(t)
	s := prioritized(21)
	s.insert(&queuedItem{Item: prioritizedWrite(1, epoch)})
	s.insert(&queuedItem{Item: prioritizedWrite(0, epoch), surplus: true})
	urgent := prioritizedWrite(0, epoch)
	s.countDelay(&queuedItem{Item: urgent})
	is.Equal(s.delaying[NeedPrimary], urgent.Cost)
}

// Guards against shares that a new owner without a primary does not account for until its queue is empty.
func TestSharesHoldForStatementsThatWaitedForAPrimary(t *testing.T) {
	is := is.New(t)
	s := prioritized(21)
	s.SetMembers(members()[1:], epoch)
	s.SetPrimaryExpected(at(50))
	other := prioritizedWrite(2, epoch)
	other.Customer = "b"
	submit(t, s, other, epoch)
	s.SetMembers(members(), epoch)
	var refusal *Refusal
	for range 240 { // 800 ms of work for three slots
		if _, refusal = s.Submit(prioritizedWrite(0, epoch), epoch); refusal != nil {
			break
		}
	}
	is.True(refusal != nil)
	is.Equal(refusal.Reason, ReasonOverShare)
}

// Guards against transactions that wait for connections and keep the minimum share from other less urgent statements, or that
// take the connections which are reserved for the most urgent ones.
func TestTheMinimumShareSkipsTransactionsWithoutConnections(t *testing.T) {
	is := is.New(t)
	s := prioritized(11) // ten connections to a member, of which less urgent transactions may hold six
	for i := range 6 {
		s.conns[ConnID(i)] = &conn{id: ConnID(i), member: s.members[0], customer: fmt.Sprint(i), state: connHeld}
		s.members[0].conns = append(s.members[0].conns, s.conns[ConnID(i)])
		s.members[0].heldConns++
	}
	submit(t, s, prioritizedWrite(0, epoch), epoch)
	transaction, statement := prioritizedWrite(1, epoch), prioritizedWrite(1, epoch)
	transaction.OpensTransaction = true
	submit(t, s, transaction, epoch)
	is.Equal(s.delayedItem(NeedPrimary, epoch), -1)
	want := submit(t, s, statement, epoch)
	is.Equal(s.queue[s.delayedItem(NeedPrimary, epoch)].ticket, want)

	s.queue[1].delayed = true
	is.True(!s.transactionRoom(s.members[0], s.queue[1]))
	urgent := prioritizedWrite(0, epoch)
	urgent.OpensTransaction = true
	is.True(s.transactionRoom(s.members[0], &queuedItem{Item: urgent}))
}
