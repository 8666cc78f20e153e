package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/position"
)

// loadRoute is a route of the simulated load, with its rate in one group.
type loadRoute struct {
	name             string
	priority         int
	need             Need
	perSecond        float64
	work             time.Duration
	target, deadline time.Duration
	worth, lateWorth float64
	// writes and transactions are the shares of operations that write, and that open a transaction, on a NeedAny route.
	writes, transactions float64

	operations, inTime, late, refused, failed int
	// served counts the operations by customer that were served in time.
	served map[string]int
	sent   map[string]int
}

// loadOperation is an operation of a caller, who attempts it up to three times.
type loadOperation struct {
	route      *loadRoute
	customer   string
	first      time.Time
	need       Need
	statements int
	attempts   int
	// pause is the time between two statements of a transaction.
	pause time.Duration
}

const (
	maxOperationAttempts = 3
	minRetryPause        = 20 * time.Millisecond
	maxRetryPause        = 100 * time.Millisecond
)

// billingRoutes returns one group's share of the load of docs/hard-load.md.
func billingRoutes() []*loadRoute {
	return []*loadRoute{
		{name: "primary", priority: 0, need: NeedPrimary, perSecond: 207.0 / 8, work: 4500 * time.Microsecond, target: 150 * time.Millisecond, deadline: 2 * time.Second, worth: 3.4, lateWorth: 0.41},
		{name: "session", priority: 1, need: NeedAny, perSecond: 966.0 / 8, work: 14 * time.Millisecond, target: 250 * time.Millisecond, deadline: 2 * time.Second, worth: 1.8, lateWorth: 0.27, writes: 0.3, transactions: 0.1},
		{name: "bounded", priority: 2, need: NeedAny, perSecond: 207.0 / 8, work: 22 * time.Millisecond, target: 800 * time.Millisecond, deadline: 6 * time.Second, worth: 0.45, lateWorth: 0.2, writes: 0.1},
	}
}

// newOperationSimulation returns a simulation of one group of docs/hard-load.md.
func newOperationSimulation(seed uint64, prioritized bool) *loadSimulation {
	l := newLoadSimulation(seed)
	limits := DefaultLimits(56)
	if prioritized {
		limits.Priorities = Priorities{Highest: 0, Lowest: 2}
	}
	l.s.SetLimits(limits)
	l.s.SetMembers(hardMembers(), epoch)
	for _, m := range l.members {
		m.slots, m.free = 4, make([]time.Time, 4)
	}
	l.service = rand.New(rand.NewPCG(seed, 2))
	l.routes = billingRoutes()
	for i := range 81 {
		l.customers = append(l.customers, fmt.Sprint("c", i))
	}
	for ms := 0; ms < 20_000; ms += 40 {
		l.after(at(ms), func() {}) // owners step a group at least this often
	}
	return l
}

func hardMembers() []MemberConfig {
	list := members()
	for i := range list {
		list[i].Slots = 4
		list[i].RoundTrip = time.Duration(min(i, 1)) * 1800 * time.Microsecond
	}
	return list
}

// customer returns a random customer: each of the first three has an eighth of the load.
func (l *loadSimulation) customer() string {
	if i := l.random.IntN(8); i < 3 {
		return l.customers[i]
	}
	return l.customers[3+l.random.IntN(len(l.customers)-3)]
}

// weight returns the customer's weight, which is proportional to its load.
func (l *loadSimulation) weight(customer string) float64 {
	if slices.Index(l.customers, customer) < 3 {
		return 16
	}
	return 1
}

// offer schedules the operations of all routes between two times, at a multiple of their rates. They belong to the customer,
// or to random ones if it is empty.
func (l *loadSimulation) offer(from, until time.Time, times float64, customer string) {
	for _, r := range l.routes {
		var next func(now time.Time)
		next = func(now time.Time) {
			now = now.Add(time.Duration(l.random.ExpFloat64() / (r.perSecond * times) * float64(time.Second)))
			if now.After(until) {
				return
			}
			l.after(now, func() {
				l.begin(r, customer, now)
				next(now)
			})
		}
		next(from)
	}
}

func (l *loadSimulation) begin(r *loadRoute, customer string, now time.Time) {
	if customer == "" {
		customer = l.customer()
	}
	o := &loadOperation{route: r, customer: customer, first: now, need: r.need, statements: 1}
	if l.random.Float64() < r.writes {
		o.need = NeedPrimary
	}
	if l.random.Float64() < r.transactions {
		o.need, o.statements, o.pause = NeedPrimary, 2+l.random.IntN(3), 5*time.Millisecond
	}
	r.operations++
	if r.sent == nil {
		r.sent, r.served = make(map[string]int), make(map[string]int)
	}
	r.sent[customer]++
	l.attempt(o, now)
}

// attempt submits an attempt of the operation. Its owner does not know about earlier attempts.
func (l *loadSimulation) attempt(o *loadOperation, now time.Time) {
	o.attempts++
	r := o.route
	it := Item{
		Customer: o.customer, Need: o.need, Floor: position.Position{}, Due: now.Add(r.target), Deadline: now.Add(r.deadline),
		Cost: l.cost(r), OpensTransaction: o.statements > 1, Priority: r.priority, Weight: l.weight(o.customer),
	}
	ticket, refusal := l.s.Submit(it, now)
	if refusal != nil {
		l.retry(o, now)
		return
	}
	l.callers[ticket] = &caller{it: it, arrived: now, operation: o}
}

// retry handles a refused attempt. The caller does not heed the retry time.
func (l *loadSimulation) retry(o *loadOperation, now time.Time) {
	o.route.refused++
	again := now.Add(minRetryPause + time.Duration(l.service.Int64N(int64(maxRetryPause-minRetryPause))))
	if o.attempts >= maxOperationAttempts || again.After(o.first.Add(o.route.deadline)) {
		o.route.failed++
		return
	}
	l.after(again, func() { l.attempt(o, again) })
}

// cost returns the expected execution time of the route's statements, as internal/owner learns it.
func (l *loadSimulation) cost(r *loadRoute) time.Duration {
	if d := l.costs[r.name]; d > 0 {
		return d
	}
	return 15 * time.Millisecond
}

// runStatement runs the operation's next statement on a connection.
func (l *loadSimulation) runStatement(o *loadOperation, a Assignment, now time.Time) {
	work := time.Duration(float64(o.route.work) * (0.3 + 1.4*l.service.Float64()))
	done := l.members[a.Member].run(now, work)
	l.after(done, func() {
		took := l.s.ObserveAnswer(a.Conn, l.cost(o.route), done.Sub(now), done)
		l.costs[o.route.name] = (l.cost(o.route)*9 + took) / 10
		o.statements--
		l.s.Done(a.Conn, o.statements > 0, done)
		if o.statements > 0 {
			next := done.Add(o.pause)
			l.after(next, func() {
				l.s.Resume(a.Conn, next)
				l.runStatement(o, a, next)
			})
			return
		}
		l.complete(o, done)
	})
}

func (l *loadSimulation) complete(o *loadOperation, now time.Time) {
	r := o.route
	switch took := now.Sub(o.first); {
	case took <= r.target:
		r.inTime++
		r.served[o.customer]++
	case took <= r.deadline:
		r.late++
	default:
		r.failed++
	}
}

// idleInTransaction lets callers open a transaction on the primary again and again, and leave it idle until it is rolled back. They
// belong to the customer, or each to another one if it is empty.
func (l *loadSimulation) idleInTransaction(callers int, customer string, from, until time.Time) {
	idle := &loadRoute{name: "idle", priority: 1, work: 14 * time.Millisecond, target: 250 * time.Millisecond, deadline: 2 * time.Second, served: make(map[string]int)}
	for i := range callers {
		owner := customer
		if owner == "" {
			owner = l.customers[i]
		}
		for at := from.Add(time.Duration(i) * 10 * time.Millisecond); at.Before(until); at = at.Add(3200 * time.Millisecond) {
			l.after(at, func() {
				l.attempt(&loadOperation{route: idle, customer: owner, first: at, statements: 2, pause: 3 * time.Second}, at)
			})
		}
	}
}

// slowMember makes a member take five times as long.
func (l *loadSimulation) slowMember(from, until time.Time) {
	l.after(from, func() { l.members["r1"].slowdown = 5 })
	l.after(until, func() { l.members["r1"].slowdown = 0 })
}

// losePrimary leaves the group without a primary for 1.5 s.
func (l *loadSimulation) losePrimary(from time.Time) {
	until := from.Add(1500 * time.Millisecond)
	l.after(from, func() {
		list := hardMembers()
		list[0].Usable = false
		l.s.SetMembers(list, from)
	})
	for now := from; now.Before(until); now = now.Add(40 * time.Millisecond) {
		l.after(now, func() { l.s.SetPrimaryExpected(now.Add(300 * time.Millisecond)) })
	}
	l.after(until, func() {
		l.s.SetPrimaryExpected(time.Time{})
		l.s.SetMembers(hardMembers(), until)
	})
}

// worth returns the worth of what callers got, relative to all operations in time.
func (l *loadSimulation) worth() float64 {
	var got, all float64
	for _, r := range l.routes {
		got += float64(r.inTime)*r.worth + float64(r.late)*r.lateWorth
		all += float64(r.operations) * r.worth
	}
	return got / all
}

// refusedPerServed returns the number of refused attempts for each served operation.
func (l *loadSimulation) refusedPerServed() float64 {
	var refused, served int
	for _, r := range l.routes {
		refused += r.refused
		served += r.inTime + r.late
	}
	return float64(refused) / float64(served)
}

// servedInTime returns the share of the operations of all customers but one that were served in time.
func (r *loadRoute) servedInTime(except string) float64 {
	served, sent := 0, 0
	for name, n := range r.sent {
		if name != except {
			sent += n
			served += r.served[name]
		}
	}
	return float64(served) / float64(sent)
}

func (r *loadRoute) String() string {
	share := func(n int) float64 { return float64(n) * 100 / float64(r.operations) }
	return fmt.Sprintf("%s: in time %.1f, late %.1f, failed %.1f, refused attempts %.1f %%", r.name, share(r.inTime), share(r.late), share(r.failed), share(r.refused))
}
