package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// hardLoads are the loads of docs/hard-load.md on one group, for 10 s of arrivals.
var hardLoads = []struct {
	name string
	add  func(l *loadSimulation)
}{
	{"calm", func(*loadSimulation) {}},
	{"burst", func(l *loadSimulation) { l.offer(at(2000), at(5000), 0.7, "") }},
	{"customer", func(l *loadSimulation) { l.offer(at(2000), at(8500), 6.5/8, "c0") }},
	{"idle transactions", func(l *loadSimulation) { l.idleInTransaction(15, "", at(2000), at(8000)) }},
	{"slow member", func(l *loadSimulation) { l.slowMember(at(2000), at(8000)) }},
	{"no primary", func(l *loadSimulation) { l.losePrimary(at(4000)) }},
	{"burst and slow member", func(l *loadSimulation) {
		l.offer(at(2000), at(5000), 0.7, "")
		l.slowMember(at(2000), at(8000))
	}},
	{"customer and slow member", func(l *loadSimulation) {
		l.offer(at(2000), at(8500), 6.5/8, "c0")
		l.slowMember(at(2000), at(8000))
	}},
	{"burst and no primary", func(l *loadSimulation) {
		l.offer(at(2000), at(5000), 0.7, "")
		l.losePrimary(at(3000))
	}},
	{"customer, no primary and idle transactions", func(l *loadSimulation) {
		l.offer(at(2000), at(8500), 6.5/8, "c0")
		l.losePrimary(at(4000))
		l.idleInTransaction(15, "", at(2000), at(8000))
	}},
	{"threefold load and slow member", func(l *loadSimulation) {
		l.offer(at(2000), at(6000), 2, "")
		l.slowMember(at(2000), at(8000))
	}},
	{"fourfold load", func(l *loadSimulation) { l.offer(at(2000), at(6000), 3, "") }},
}

func simulate(add func(*loadSimulation), seed uint64, prioritized bool) *loadSimulation {
	l := newOperationSimulation(seed, prioritized)
	l.offer(epoch, at(10_000), 1, "")
	add(l)
	l.run(at(20_000))
	return l
}

// logResults logs what the callers of each route got.
func (l *loadSimulation) logResults(t *testing.T, when string) {
	t.Helper()
	t.Logf("%s: worth %.3f, refused attempts per served operation %.2f", when, l.worth(), l.refusedPerServed())
	for _, r := range l.routes {
		t.Logf("    %s", r)
	}
}

// Guards against priority inversion, and against refusals that only make callers come back to the same queue.
func TestPrioritiesServeCallersBetter(t *testing.T) {
	for _, load := range hardLoads {
		t.Run(load.name, func(t *testing.T) {
			is := is.New(t)
			before, after := simulate(load.add, 7, false), simulate(load.add, 7, true)
			before.logResults(t, "by due time")
			after.logResults(t, "by priority")
			is.True(after.worth() >= before.worth())
			is.True(after.refusedPerServed() <= max(before.refusedPerServed()/2, 0.23)) // half of 0.46
			urgent, urgentBefore := after.routes[0], before.routes[0]
			is.True(urgent.failed <= urgentBefore.failed)
			if !strings.Contains(load.name, "no primary") {
				is.True(urgent.inTime*1000 >= urgent.operations*999) // its work alone is far below the capacity
			}
			if urgentBefore.failed+urgentBefore.late == 0 {
				for i, r := range after.routes {
					is.True(r.inTime*1000 >= before.routes[i].inTime*999) // nothing is worse in calm
				}
			}
		})
	}
}

// Guards against a large customer whose urgent statements crowd out the less urgent ones of others: alone they would fill the
// primary almost twice.
func TestUrgentStatementsOfOneCustomerLeaveOthersTheirShare(t *testing.T) {
	is := is.New(t)
	l := simulate(func(l *loadSimulation) {
		all := l.routes
		l.routes = all[:1]
		l.offer(at(2000), at(4500), 65, "c0")
		l.routes = all
	}, 8, true)
	l.logResults(t, "by priority")
	for _, r := range l.routes {
		is.True(r.servedInTime("c0") >= 0.98)
	}
}

// Guards against other customers that pay for one at 7.5 times its rate while capacity is short.
func TestACustomerAboveItsRateLeavesOthersTheirShare(t *testing.T) {
	is := is.New(t)
	l := simulate(func(l *loadSimulation) {
		l.offer(at(2000), at(8500), 5, "c0") // 41 times its rate
		l.slowMember(at(2000), at(8000))
	}, 8, true)
	l.logResults(t, "by priority")
	for _, r := range l.routes {
		is.True(r.servedInTime("c0") >= 0.95)
	}
}

// Guards against transactions of one customer, left idle, that take the connections from the transactions of others.
func TestIdleTransactionsOfOneCustomerLeaveConnectionsForOthers(t *testing.T) {
	is := is.New(t)
	l := simulate(func(l *loadSimulation) { l.idleInTransaction(60, "c0", at(2000), at(8000)) }, 8, true)
	l.logResults(t, "by priority")
	for _, r := range l.routes {
		is.True(r.servedInTime("c0") >= 0.98)
	}
}

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

// Guards against less urgent statements that wait until their deadline although urgent ones leave no time for them, and
// against urgent statements that a full queue refuses.
func TestUrgentStatementsShedLessUrgentOnes(t *testing.T) {
	for _, c := range []struct {
		name                string
		queueLength, urgent int
	}{
		{"no time before the deadline", 400, 250},
		{"no room in the queue", 100, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := prioritized(21)
			s.limits.QueueLength = c.queueLength
			lessUrgent := submit(t, s, prioritizedWrite(2, epoch), epoch) // its deadline is at 800 ms
			for range c.urgent {                                          // 3.3 ms of all slots each
				it := prioritizedWrite(0, epoch)
				it.Due, it.Deadline = at(4000), at(8000)
				submit(t, s, it, epoch)
			}
			expired := s.Plan(epoch).Expired
			is.Equal(len(expired), 1)
			is.Equal(expired[0].Ticket, lessUrgent)
			is.Equal(expired[0].Refusal.Reason, ReasonShed)
			is.True(expired[0].Refusal.After > 0)
		})
	}
}

// Guards against a customer that fills the queue with late statements while others wait; alone, it may use all slots.
func TestStatementsBeyondTheShareAreRefusedWhileOthersWait(t *testing.T) {
	for _, others := range []bool{false, true} {
		t.Run(fmt.Sprint("others wait: ", others), func(t *testing.T) {
			is := is.New(t)
			s := prioritized(21)
			if others {
				it := prioritizedWrite(2, epoch)
				it.Customer = "b"
				submit(t, s, it, epoch)
			}
			var refusal *Refusal
			for range 120 { // 400 ms of work for three slots; the target is 150 ms, the deadline 800 ms
				if _, refusal = s.Submit(prioritizedWrite(0, epoch), epoch); refusal != nil {
					break
				}
			}
			is.Equal(refusal != nil, others)
			if others {
				is.Equal(refusal.Reason, ReasonOverShare)
			}
		})
	}
}

// Guards against rejected callers that all come back at the same time, and before more urgent ones.
func TestRetriesAreSpreadInOrderOfPriority(t *testing.T) {
	is := is.New(t)
	s := prioritized(21)
	s.SetMembers(members()[1:], epoch)
	var after []time.Duration
	for _, priority := range []int{1, 1, 0, 2} {
		_, refusal := s.Submit(prioritizedWrite(priority, epoch), epoch)
		is.Equal(refusal.Reason, ReasonNoMember)
		after = append(after, refusal.After)
	}
	step := 10 * time.Millisecond / 3 // the statements run in three slots
	is.Equal(after, []time.Duration{noMemberRetryAfter, noMemberRetryAfter + step, noMemberRetryAfter, noMemberRetryAfter + 2*step})
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

// Guards against a route that is never served again once its expected cost exceeds its deadline.
func TestACostlyStatementUsesAFreeSlot(t *testing.T) {
	is := is.New(t)
	s := prioritized(21)
	for range 2 {
		it := prioritizedWrite(1, epoch)
		it.Cost, it.Deadline = 2*time.Second, at(800)
		ticket := submit(t, s, it, epoch)
		assigned := connect(s, s.Plan(epoch), epoch)
		is.Equal(len(assigned), 1)
		is.Equal(assigned[0].Ticket, ticket)
	}
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

// Guards against retry times that grow without bound by the retries of callers who have given up.
func TestRetryTimesDoNotExceedTheDeadline(t *testing.T) {
	is := is.New(t)
	s := prioritized(21)
	s.SetMembers(members()[1:], epoch)
	for range 1000 { // 3.3 s of work
		it := prioritizedWrite(0, epoch)
		_, refusal := s.Submit(it, epoch)
		is.True(refusal.After <= it.Deadline.Sub(epoch)+it.Cost)
	}
}

// Guards against statements that wait for a primary although the work before them then takes until their deadline.
func TestTheWaitIncludesTheTimeUntilAPrimary(t *testing.T) {
	is := is.New(t)
	s := prioritized(21)
	s.SetMembers(members()[1:], epoch)
	s.SetPrimaryExpected(at(500))
	var refusal *Refusal
	queued := 0
	for ; queued < 100; queued++ { // 3.3 ms of all slots each; the deadline is at 800 ms
		if _, refusal = s.Submit(prioritizedWrite(0, epoch), epoch); refusal != nil {
			break
		}
	}
	is.True(refusal != nil)
	is.Equal(refusal.Reason, ReasonQueueTooLong)
	is.True(queued > 0)
	is.True(refusal.ExpectedWait > 500*time.Millisecond)
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

// Guards against refusals of statements that a member may have begun to run: a refusal says that nothing ran.
func TestStatementsAttemptedBeforeAreNotShed(t *testing.T) {
	for _, queueLength := range []int{400, 100} { // no time before the deadline, no room in the queue
		is := is.New(t)
		s := prioritized(21)
		s.limits.QueueLength = queueLength
		attempted := prioritizedWrite(2, epoch)
		attempted.Retried = true
		ticket := submit(t, s, attempted, epoch)
		for range queueLength - 1 {
			it := prioritizedWrite(0, epoch)
			it.Due, it.Deadline = at(4000), at(8000)
			submit(t, s, it, epoch)
		}
		_, _ = s.Submit(prioritizedWrite(0, epoch), epoch)
		for _, e := range s.Plan(epoch).Expired {
			is.True(e.Ticket != ticket)
		}
	}
}
