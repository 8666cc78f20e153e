package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// loadSimulation simulates members with slots under load, and counts the results for the callers.
type loadSimulation struct {
	s       *Scheduler
	random  *rand.Rand
	events  timeline
	members map[upstream.MemberID]*server
	callers map[Ticket]*caller

	inTime, late, refused, expired int
	perCustomer                    map[string]int
	worstRefusal                   time.Duration
	// connectedTo holds the member of each open connection; rejected counts the connections that members rejected.
	connectedTo map[ConnID]*server
	rejected    int
	// beforeSubmit may change an item. The function that it returns is called with the result of the submission.
	beforeSubmit func(it *Item, now time.Time) func(*Refusal)

	// routes, customers, costs and service belong to the simulation of operations. service draws what depends on the order of
	// service, so that the operations of a seed are the same under all rules.
	service   *rand.Rand
	routes    []*loadRoute
	customers []string
	costs     map[string]time.Duration
}

// server simulates a member: statements run in slots, excess ones in order of arrival.
type server struct {
	free  []time.Time
	slots int
	// connections counts the open ones. Unless limit is 0, the member rejects those beyond it.
	connections, limit int
	// slowdown multiplies the execution time of statements; 0 means 1.
	slowdown int
}

type caller struct {
	it        Item
	arrived   time.Time
	operation *loadOperation
}

type event struct {
	at time.Time
	do func()
}

type timeline []event

func (t timeline) Len() int           { return len(t) }
func (t timeline) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timeline) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)        { *t = append(*t, x.(event)) }
func (t *timeline) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

func newLoadSimulation(seed uint64) *loadSimulation {
	l := &loadSimulation{
		s: newScheduler(21), random: rand.New(rand.NewPCG(seed, 1)),
		members: make(map[upstream.MemberID]*server), callers: make(map[Ticket]*caller), perCustomer: make(map[string]int),
		connectedTo: make(map[ConnID]*server), costs: make(map[string]time.Duration),
	}
	for _, m := range members() {
		l.members[m.ID] = &server{slots: m.Slots, free: make([]time.Time, m.Slots)}
	}
	return l
}

func (l *loadSimulation) after(at time.Time, do func()) { heap.Push(&l.events, event{at, do}) }

func (l *loadSimulation) run(until time.Time) {
	for l.events.Len() > 0 {
		m := heap.Pop(&l.events).(event)
		if m.at.After(until) {
			return
		}
		m.do()
		l.step(m.at)
	}
}

func (l *loadSimulation) step(now time.Time) {
	p := l.s.Plan(now)
	for _, e := range p.Expired {
		if o := l.callers[e.Ticket].operation; o != nil {
			l.retry(o, now)
		}
		delete(l.callers, e.Ticket)
		l.expired++
	}
	for _, id := range p.Closes {
		if m := l.connectedTo[id]; m != nil {
			m.connections--
			delete(l.connectedTo, id)
		}
	}
	for _, o := range p.Opens {
		l.open(o, now)
	}
	for _, a := range p.Assignments {
		l.start(a, now)
	}
}

// open opens a connection, which takes a slot for a while, unless the member has no connection left.
func (l *loadSimulation) open(o Open, now time.Time) {
	m := l.members[o.Member]
	if m.limit > 0 && m.connections >= m.limit {
		answered := now.Add(2 * time.Millisecond)
		l.rejected++
		l.after(answered, func() { l.s.OpenRejected(o.Conn, answered) })
		return
	}
	m.connections++
	l.connectedTo[o.Conn] = m
	done := m.run(now, 12*time.Millisecond)
	l.after(done, func() { l.s.Opened(o.Conn, done) })
}

func (l *loadSimulation) start(a Assignment, now time.Time) {
	c := l.callers[a.Ticket]
	delete(l.callers, a.Ticket)
	if c.operation != nil {
		l.runStatement(c.operation, a, now)
		return
	}
	work := time.Duration(float64(c.it.Cost) * (0.3 + 1.4*l.random.Float64()))
	done := l.members[a.Member].run(now, work)
	l.after(done, func() {
		l.s.Done(a.Conn, false, done)
		l.perCustomer[c.it.Customer]++
		if done.After(c.it.Due) {
			l.late++
		} else {
			l.inTime++
		}
	})
}

// run returns the time at which work that arrives now is done.
func (s *server) run(now time.Time, work time.Duration) time.Time {
	first := 0
	for i, t := range s.free {
		if t.Before(s.free[first]) {
			first = i
		}
	}
	begin := now
	if s.free[first].After(begin) {
		begin = s.free[first]
	}
	s.free[first] = begin.Add(work * time.Duration(max(s.slowdown, 1)))
	return s.free[first]
}

// arrive schedules a customer's statements at a rate per second; the given share of them are writes.
func (l *loadSimulation) arrive(customer string, perSecond, writes float64, until time.Time) {
	var next func(now time.Time)
	next = func(now time.Time) {
		now = now.Add(time.Duration(l.random.ExpFloat64() / perSecond * float64(time.Second)))
		if now.After(until) {
			return
		}
		l.after(now, func() {
			it := Item{Customer: customer, Need: NeedAny, Floor: position.Position{}, Due: now.Add(250 * time.Millisecond), Deadline: now.Add(800 * time.Millisecond), Cost: 18 * time.Millisecond}
			if l.random.Float64() < writes {
				it.Need = NeedPrimary
			}
			l.submit(it, now)
			next(now)
		})
	}
	next(epoch)
}

func (l *loadSimulation) submit(it Item, now time.Time) {
	afterSubmit := func(*Refusal) {}
	if l.beforeSubmit != nil {
		afterSubmit = l.beforeSubmit(&it, now)
	}
	ticket, refusal := l.s.Submit(it, now)
	afterSubmit(refusal)
	if refusal != nil {
		l.refused++
		l.worstRefusal = max(l.worstRefusal, refusal.After)
		return
	}
	l.callers[ticket] = &caller{it: it, arrived: now}
}

func (l *loadSimulation) String() string {
	return fmt.Sprintf("in time %d, late %d, refused %d, expired %d", l.inTime, l.late, l.refused, l.expired)
}

// TestNormalLoadIsServedInTime simulates 60 % of the slots' capacity, the load of Kestrel's heavy days on one group.
func TestNormalLoadIsServedInTime(t *testing.T) {
	is := is.New(t)
	l := newLoadSimulation(1)
	for i := range 8 {
		l.arrive(fmt.Sprint(i), 30, 0.2, at(20_000))
	}
	l.run(at(21_000))
	t.Log(l)
	is.True(l.refused+l.expired == 0)
	is.True(l.late*100 <= l.inTime) // at most 1 % late
}

// Guards against congestion collapse at 150 % of the slots' capacity: admitted statements are in time, the rest are
// refused on arrival, and the slots stay busy.
func TestOverloadIsRefusedOnArrival(t *testing.T) {
	is := is.New(t)
	l := newLoadSimulation(2)
	for i := range 8 {
		l.arrive(fmt.Sprint(i), 94, 0.2, at(20_000))
	}
	l.run(at(21_000))
	t.Log(l)
	const capacity = 9 * 20 * 1000 / 18
	is.True(l.inTime+l.late >= capacity*85/100)
	is.True(l.late*10 <= l.inTime)      // at most a tenth of what is served is late
	is.True(l.expired*100 <= l.refused) // hardly any statement waits until its deadline
	is.True(l.worstRefusal <= time.Second)
}

// TestLoadIsServedInTimeWithoutAReplica simulates normal load while a replica is unavailable for five seconds.
func TestLoadIsServedInTimeWithoutAReplica(t *testing.T) {
	is := is.New(t)
	l := newLoadSimulation(3)
	for i := range 8 {
		l.arrive(fmt.Sprint(i), 25, 0.2, at(20_000))
	}
	l.after(at(5000), func() {
		list := members()
		list[1].Usable = false
		l.s.SetMembers(list, at(5000))
	})
	l.after(at(10_000), func() { l.s.SetMembers(members(), at(10_000)) })
	l.run(at(21_000))
	t.Log(l)
	is.True((l.refused+l.expired)*100 <= l.inTime)
	is.True(l.late*50 <= l.inTime)
}

// Guards against starvation by a customer that sends far more than the others to a saturated group.
func TestABusyCustomerDoesNotStarveOthers(t *testing.T) {
	is := is.New(t)
	l := newLoadSimulation(4)
	l.arrive("busy", 500, 0.2, at(20_000))
	for i := range 4 {
		l.arrive(fmt.Sprint(i), 20, 0.2, at(20_000))
	}
	l.run(at(21_000))
	t.Log(l, l.perCustomer)
	for i := range 4 {
		is.True(l.perCustomer[fmt.Sprint(i)] >= 20*20*90/100) // 90 % of what they send
	}
}

// TestConnectionsOfAnEndedOwnerLeaveRoomForAllCustomers simulates the first two seconds of an owner whose predecessor lost
// power: the members hold its connections until they find them dead, and reject what is beyond the rest. 71 customers then
// share a few connections, each of which belongs to one customer at a time.
func TestConnectionsOfAnEndedOwnerLeaveRoomForAllCustomers(t *testing.T) {
	is := is.New(t)
	l := newLoadSimulation(5)
	l.s.SetLimits(DefaultLimits(32))
	for _, m := range l.members {
		m.limit = 14
	}
	for ms := 0; ms < 3000; ms += 40 {
		l.after(at(ms), func() {}) // owners step a group at least this often
	}
	for i := range 71 {
		l.arrive(fmt.Sprint(i), 1.7, 0.1, at(2000))
	}
	l.run(at(3000))
	t.Log(l, "rejected connections", l.rejected)
	is.True(l.inTime*100 >= 84*(l.inTime+l.late+l.refused+l.expired)) // the aim for a day with trouble
	is.True(l.rejected <= 30)                                         // each takes the member's time as well
}
