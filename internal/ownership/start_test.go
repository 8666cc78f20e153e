package ownership

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

// startSimulation simulates a fleet that starts against one store, in steps of storeCallTime.
type startSimulation struct {
	now      time.Time
	planners []*Planner
	// claims holds the claims in the store, by group.
	claims map[upstream.GroupID]Claim
	// stopped counts the instances, from the start of the list, that have ended.
	stopped int
	// watchInterval is the time between two deliveries of a watch.
	watchInterval time.Duration
	// delivered is the newest revision that each planner's watch has delivered, nextDelivery when it delivers again.
	delivered    []uint64
	nextDelivery []time.Time
	revision     uint64
	attempts     int
	// windowStart is when the store's current rate window began, writes the number of writes in it.
	windowStart time.Time
	writes      int
}

const (
	// startupWatchInterval and steadyWatchInterval are the times between two deliveries of a watch during the start and
	// afterwards; storeCallTime is the duration of one call to the store.
	startupWatchInterval = 200 * time.Millisecond
	steadyWatchInterval  = 60 * time.Millisecond
	storeCallTime        = 8 * time.Millisecond
	// writeWindow and writesPerWindow limit the store's writes to 1,200 a second.
	writeWindow     = 100 * time.Millisecond
	writesPerWindow = 120
)

// newStartSimulation starts the instances in three failure domains within 200 ms; each group has its primary in one of
// them.
func newStartSimulation(instances, groups int, cores float64) *startSimulation {
	began := time.Unix(1000, 0)
	p := &startSimulation{now: began, watchInterval: startupWatchInterval, claims: make(map[upstream.GroupID]Claim), delivered: make([]uint64, instances), nextDelivery: make([]time.Time, instances)}
	ids := make([]upstream.GroupID, groups)
	for i := range ids {
		ids[i] = upstream.GroupID(fmt.Sprintf("group-%d", i))
	}
	for i := range instances {
		start := began.Add(time.Duration(i*37%200) * time.Millisecond)
		self := Self{Instance: instance.ID(fmt.Sprintf("instance-%d", i)), Process: "p", Cores: cores, FirstStart: true}
		planner := NewPlanner(self)
		planner.SetGroups(ids, start)
		for k, id := range ids {
			planner.SetLocalPrimary(id, k%3 == i%3)
		}
		p.planners, p.nextDelivery[i] = append(p.planners, planner), start
	}
	return p
}

// claim writes an action's claim to the store, which rejects it above the write limit.
func (p *startSimulation) claim(by *Planner, a Action) {
	p.attempts++
	if p.now.Sub(p.windowStart) >= writeWindow {
		p.windowStart, p.writes = p.now, 0
	}
	if p.writes++; p.writes > writesPerWindow {
		by.ClaimDone(a.Group, false, p.now)
		return
	}
	known, taken := p.claims[a.Group]
	if !taken {
		p.revision++
		known = Claim{Group: a.Group, Owner: by.self.Instance, Process: by.self.Process, Cores: by.self.Cores, Revision: p.revision}
		p.claims[a.Group] = known
	}
	by.SetAlive(known.OwnerProcess(), true, p.now)
	by.SetClaim(known, p.now)
	by.ClaimDone(a.Group, true, p.now)
}

// deliver passes the changes since the last delivery to a planner.
func (p *startSimulation) deliver(i int) {
	if p.now.Before(p.nextDelivery[i]) || p.delivered[i] == p.revision {
		return
	}
	for _, c := range p.claims {
		if c.Revision > p.delivered[i] {
			p.planners[i].SetAlive(c.OwnerProcess(), true, p.now)
			p.planners[i].SetClaim(c, p.now)
		}
	}
	p.delivered[i], p.nextDelivery[i] = p.revision, p.now.Add(p.watchInterval)
}

// run simulates until each group has an owner, and returns how long that took.
func (p *startSimulation) run(groups int, limit time.Duration) time.Duration {
	began := p.now
	for len(p.claims) < groups && p.now.Sub(began) < limit {
		p.now = p.now.Add(storeCallTime)
		for i, planner := range p.planners {
			if i < p.stopped {
				continue
			}
			p.deliver(i)
			for _, a := range planner.Plan(p.now) {
				p.claim(planner, a)
			}
		}
	}
	return p.now.Sub(began)
}

// maxGroupsPerOwner returns the largest number of groups that one instance owns.
func (p *startSimulation) maxGroupsPerOwner() int {
	perOwner := make(map[instance.ID]int)
	for _, c := range p.claims {
		perOwner[c.Owner]++
	}
	counts := []int{0}
	for _, n := range perOwner {
		counts = append(counts, n)
	}
	sort.Ints(counts)
	return counts[len(counts)-1]
}

// Guards against a starting fleet that overloads the store, which accepts a few hundred writes a second, with competing
// claims, or that has not claimed all groups before callers connect ten seconds after the start.
func TestAFleetThatStartsClaimsEachGroupAFewTimes(t *testing.T) {
	for _, c := range []struct{ instances, groups int }{{6, 1}, {6, 3}, {30, 10}, {71, 8}, {100, 30}, {300, 100}} {
		t.Run(fmt.Sprintf("%d instances, %d groups", c.instances, c.groups), func(t *testing.T) {
			is := is.New(t)
			p := newStartSimulation(c.instances, c.groups, 0.2)
			took := p.run(c.groups, 10*time.Second)
			t.Logf("%d claims tried, all owned after %v, at most %d by one instance", p.attempts, took, p.maxGroupsPerOwner())
			is.Equal(len(p.claims), c.groups)
			is.True(took <= 7*time.Second)
			is.True(p.attempts <= 4*c.groups+10)
			is.True(p.maxGroupsPerOwner() <= 1+c.groups/c.instances)
		})
	}
}

// stopThird ends a third of the instances and tells the others that their liveness keys have expired. It returns the
// number of groups without an owner.
func (p *startSimulation) stopThird() int {
	p.watchInterval, p.stopped = steadyWatchInterval, len(p.planners)/3
	p.now = p.now.Add(time.Minute)
	for i := range p.planners {
		p.deliver(i)
	}
	alive := make(map[Process]bool)
	for _, planner := range p.planners[p.stopped:] {
		alive[Process{Instance: planner.self.Instance, ID: planner.self.Process}] = true
	}
	lost := 0
	for id, c := range p.claims {
		if !alive[c.OwnerProcess()] {
			delete(p.claims, id)
			lost++
		}
	}
	for i, planner := range p.planners {
		planner.SetAliveProcesses(alive, p.now.Add(time.Duration(i*37%10)*time.Millisecond))
	}
	p.attempts = 0
	return lost
}

// Guards against slow recovery and against overload of the store by competing claims when a third of a large fleet
// fails at once.
func TestGroupsOfALostDomainAreClaimedAFewTimes(t *testing.T) {
	for _, c := range []struct{ instances, groups int }{{6, 3}, {30, 10}, {71, 8}, {100, 30}, {300, 100}} {
		t.Run(fmt.Sprintf("%d instances, %d groups", c.instances, c.groups), func(t *testing.T) {
			is := is.New(t)
			p := newStartSimulation(c.instances, c.groups, 0.2)
			p.run(c.groups, 10*time.Second)
			lost := p.stopThird()
			took := p.run(c.groups, 10*time.Second)
			t.Logf("%d claims tried for %d groups, all owned after %v", p.attempts, lost, took)
			is.Equal(len(p.claims), c.groups)
			is.True(took <= 1500*time.Millisecond)
			is.True(p.attempts <= 5*lost+10)
		})
	}
}

// Guards against the first start being over before a large configuration has arrived over a slow link: the period
// counts from when the groups are known.
func TestFirstStartCountsFromTheConfiguration(t *testing.T) {
	is := is.New(t)
	late := time.Unix(1000, 0)
	p := NewPlanner(Self{Instance: "a", Process: "p", Cores: 0.2, FirstStart: true})
	p.SetGroups([]upstream.GroupID{"g"}, late)
	next, ok := p.NextPlanTime(late)
	is.True(ok)
	is.True(next.Sub(late) >= 2*time.Second) // instances with more cores claim first
}
