package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/balance"
	"github.com/celerystep/celerystep/internal/upstream"
)

// fleetSimulation simulates choosers that share the members of a group and do not see each other's statements.
type fleetSimulation struct {
	// arrivals draws what callers do, random what members do, so that callers do the same before and after.
	arrivals *rand.Rand
	random   *rand.Rand
	events   timeline
	choosers []*chooser
	members  []*simMember
	now      time.Time
	// cost is the mean service time at a normal member.
	cost time.Duration

	inTime, late, refused, failed, opens int
}

// chooser is one scheduler. It learns what answers show after the delay, the expected cost of a statement as owners do.
type chooser struct {
	s     *Scheduler
	delay time.Duration
	cost  time.Duration
	items map[Ticket]Item
	// failedOn lists the members that failed a queued item before.
	failedOn map[Ticket][]upstream.MemberID
	// cancels holds what closes the connection of a running statement.
	cancels map[ConnID]func()
}

// simMember is a server whose faults change over time.
type simMember struct {
	server
	config MemberConfig
	// slowdown, failing and hanging return the factor of the service time, and the shares of statements that fail and hang.
	slowdown, failing, hanging func(now time.Time) float64
	// busy is the work begun in each second, lost the number of failed and hung statements, began that of all.
	busy        map[int64]time.Duration
	began, lost map[int64]int
}

func always(x float64) func(time.Time) float64 { return func(time.Time) float64 { return x } }

// during returns a function that is x between two times in milliseconds and otherwise rest.
func during(from, until int, x, rest float64) func(time.Time) float64 {
	return func(now time.Time) float64 {
		if now.Before(at(from)) || !now.Before(at(until)) {
			return rest
		}
		return x
	}
}

// newFleet returns choosers of members with the given slots, the first of which is the primary. Their knowledge is up to
// delay old. If balanced is false, they decide without a balancer.
func newFleet(seed uint64, choosers int, delay time.Duration, balanced bool, slots ...int) *fleetSimulation {
	f := &fleetSimulation{arrivals: rand.New(rand.NewPCG(seed, 1)), random: rand.New(rand.NewPCG(seed, 2))}
	for i, n := range slots {
		f.members = append(f.members, &simMember{
			server: server{slots: n, free: make([]time.Time, n)}, slowdown: always(1), failing: always(0), hanging: always(0),
			config: MemberConfig{ID: upstream.MemberID(fmt.Sprint("m", i)), Slots: n, Primary: i == 0, Usable: true, Shared: choosers > 1},
			busy:   make(map[int64]time.Duration), began: make(map[int64]int), lost: make(map[int64]int),
		})
	}
	for i := range choosers {
		c := &chooser{s: New(DefaultLimits(56)), cost: 15 * time.Millisecond, items: make(map[Ticket]Item), failedOn: make(map[Ticket][]upstream.MemberID), cancels: make(map[ConnID]func())}
		c.delay = delay * time.Duration(i) / time.Duration(max(choosers-1, 1))
		if balanced {
			c.s.SetBalancer(balance.New(seed + uint64(i)))
		}
		f.choosers = append(f.choosers, c)
		f.setMembers(c, epoch)
	}
	return f
}

func (f *fleetSimulation) setMembers(c *chooser, now time.Time) {
	var list []MemberConfig
	for _, m := range f.members {
		list = append(list, m.config)
	}
	c.s.SetMembers(list, now)
}

// setUsable makes a member join or leave at a time in milliseconds.
func (f *fleetSimulation) setUsable(m, ms int, usable bool) {
	f.after(nil, at(ms), func() {
		f.members[m].config.Usable = usable
		for _, c := range f.choosers {
			f.setMembers(c, f.now)
		}
	})
}

// kill makes a member lose all connections and the statements that run on them, and keeps it out until it is alive again.
func (f *fleetSimulation) kill(m, from, until int) {
	f.after(nil, at(from), func() {
		for _, c := range f.choosers {
			for _, lost := range slices.Clone(findMember(c.s.members, f.members[m].config.ID).conns) {
				if cancel := c.cancels[lost.id]; cancel != nil && lost.state == connBusy {
					c.s.ObserveFailure(lost.id, f.now)
					cancel()
				}
			}
		}
	})
	f.setUsable(m, from, false)
	f.setUsable(m, until, true)
}

// after has the chooser, or all if it is nil, act upon an event.
func (f *fleetSimulation) after(c *chooser, t time.Time, do func()) {
	heap.Push(&f.events, event{t, func() {
		do()
		for _, other := range f.choosers {
			if c == nil || c == other {
				f.step(other)
			}
		}
	}})
}

// run simulates until a time in milliseconds. Until then choosers take the regular steps of an owner.
func (f *fleetSimulation) run(until int) {
	for ms := 0; ms < until; ms += 40 {
		f.after(nil, at(ms), func() {})
	}
	for ms := 0; ms < until; ms += 1000 {
		f.after(nil, at(ms), f.prewarm)
	}
	for f.events.Len() > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
}

func (f *fleetSimulation) prewarm() {
	var customers []string
	for i := range simCustomers {
		customers = append(customers, fmt.Sprint(i))
	}
	for _, c := range f.choosers {
		f.open(c, c.s.Prewarm(customers, f.now))
	}
}

func (f *fleetSimulation) open(c *chooser, opens []Open) {
	for _, o := range opens {
		f.opens++
		f.after(c, f.member(o.Member).run(f.now, 12*time.Millisecond), func() { c.s.Opened(o.Conn, f.now) })
	}
}

func (f *fleetSimulation) step(c *chooser) {
	p := c.s.Plan(f.now)
	for _, e := range p.Expired {
		delete(c.items, e.Ticket)
		delete(c.failedOn, e.Ticket)
		f.failed++
	}
	for _, id := range p.Abandoned {
		c.cancels[id]()
	}
	f.open(c, p.Opens)
	for _, a := range p.Assignments {
		it := c.items[a.Ticket]
		failedOn := c.failedOn[a.Ticket]
		delete(c.items, a.Ticket)
		delete(c.failedOn, a.Ticket)
		f.start(c, a, it, failedOn)
	}
}

func (f *fleetSimulation) member(id upstream.MemberID) *simMember {
	for _, m := range f.members {
		if m.config.ID == id {
			return m
		}
	}
	panic("no such member")
}

// serviceTime returns a log-normal time of sigma 0.7 with the mean, and in one of a hundred cases five times that.
func (f *fleetSimulation) serviceTime(mean time.Duration) time.Duration {
	t := float64(mean) * math.Exp(0.7*f.random.NormFloat64()-0.7*0.7/2)
	if f.random.Float64() < 0.01 {
		t *= 5
	}
	return time.Duration(t)
}

func (f *fleetSimulation) start(c *chooser, a Assignment, it Item, failedOn []upstream.MemberID) {
	m, second, sent := f.member(a.Member), f.now.Unix(), f.now
	m.began[second]++
	c.cancels[a.Conn] = func() { f.lose(c, a, it, failedOn) }
	if f.random.Float64() < m.hanging(f.now) {
		m.lost[second]++
		f.after(c, it.Deadline, c.cancels[a.Conn])
		return
	}
	work := time.Duration(float64(f.serviceTime(f.cost)) * m.slowdown(f.now))
	m.busy[second] += work
	failed := f.random.Float64() < m.failing(f.now)
	f.after(c, m.run(f.now, work), func() {
		if c.s.conns[a.Conn] == nil {
			return
		}
		took := f.now.Sub(sent)
		if failed {
			m.lost[second]++
			c.s.Done(a.Conn, false, f.now)
			f.repeat(c, it, a.Member, append(failedOn, a.Member))
			return
		}
		for _, id := range failedOn {
			c.s.ObserveFailedRead(id, f.now)
		}
		c.s.Done(a.Conn, false, f.now)
		f.count(it)
		learn := func() { c.cost += (c.s.ObserveAnswer(a.Conn, it.Cost, took, f.now) - c.cost) / 10 }
		if c.delay > 0 {
			f.after(c, f.now.Add(c.delay), learn)
			return
		}
		learn()
	})
}

// lose closes the connection of a statement that has no answer, and repeats the statement.
func (f *fleetSimulation) lose(c *chooser, a Assignment, it Item, failedOn []upstream.MemberID) {
	if c.s.conns[a.Conn] == nil {
		return
	}
	c.s.Closed(a.Conn)
	f.repeat(c, it, a.Member, failedOn)
}

func (f *fleetSimulation) repeat(c *chooser, it Item, avoid upstream.MemberID, failedOn []upstream.MemberID) {
	if !f.now.Before(it.Deadline) {
		f.failed++
		return
	}
	it.Retried, it.Avoid = true, avoid
	f.submit(c, it, failedOn)
}

func (f *fleetSimulation) count(it Item) {
	if f.now.After(it.Due) {
		f.late++
	} else {
		f.inTime++
	}
}

func (f *fleetSimulation) submit(c *chooser, it Item, failedOn []upstream.MemberID) {
	ticket, refusal := c.s.Submit(it, f.now)
	if refusal != nil {
		f.refused++
		return
	}
	c.items[ticket] = it
	if len(failedOn) > 0 {
		c.failedOn[ticket] = failedOn
	}
}

// simCustomers is the number of customers that send statements, a few of which are large.
const simCustomers = 81

// customer draws a customer; number k sends k+1 times less than the first one.
func (f *fleetSimulation) customer() string {
	k := math.Exp(f.arrivals.Float64()*math.Log(simCustomers+1)) - 1
	return fmt.Sprint(int(k))
}

// arrive sends reads with the mean service time and the targets of billing's second route to each chooser.
func (f *fleetSimulation) arrive(perSecond float64, cost time.Duration, until int) {
	f.cost = cost
	for _, c := range f.choosers {
		var next func()
		next = func() {
			now := f.now
			it := Item{Customer: f.customer(), Need: NeedAny, Due: now.Add(250 * time.Millisecond), Deadline: now.Add(2 * time.Second), Cost: c.cost}
			f.submit(c, it, nil)
			if t := now.Add(time.Duration(f.arrivals.ExpFloat64() / perSecond * float64(time.Second))); t.Before(at(until)) {
				f.after(c, t, next)
			}
		}
		f.after(c, epoch, next)
	}
}

// utilization returns the share of the members' slots that was busy between two seconds.
func (f *fleetSimulation) utilization(from, until int, members ...int) float64 {
	busy, slots := time.Duration(0), 0
	for _, i := range members {
		for s := from; s < until; s++ {
			busy += f.members[i].busy[epoch.Unix()+int64(s)]
		}
		slots += f.members[i].slots
	}
	return busy.Seconds() / float64((until-from)*slots)
}

// worst returns the highest utilization among the members in relation to their mean.
func (f *fleetSimulation) worst(from, until int, members ...int) float64 {
	highest := 0.0
	for _, i := range members {
		highest = max(highest, f.utilization(from, until, i))
	}
	return highest / f.utilization(from, until, members...)
}

// sum returns the sum of counts between two seconds.
func sum(counts map[int64]int, from, until int) int {
	n := 0
	for s := from; s < until; s++ {
		n += counts[epoch.Unix()+int64(s)]
	}
	return n
}

// lost returns the number of statements that were not served in time.
func (f *fleetSimulation) lost() int { return f.late + f.refused + f.failed }

// perMember returns the utilization of each member.
func (f *fleetSimulation) perMember(from, until int) string {
	text := ""
	for i := range f.members {
		text += fmt.Sprintf(" %.2f", f.utilization(from, until, i))
	}
	return text
}

func (f *fleetSimulation) String() string {
	return fmt.Sprintf("in time %d, late %d, refused %d, failed %d, opens %d", f.inTime, f.late, f.refused, f.failed, f.opens)
}
