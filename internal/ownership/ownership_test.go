package ownership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

var epoch = time.Unix(1000, 0)

func claim(g upstream.GroupID, owner instance.ID, process string, revision uint64) Claim {
	return Claim{Group: g, Owner: owner, Process: process, Address: "10.0.0.1:1", Revision: revision}
}

func newTestPlanner(id instance.ID) *Planner {
	p := NewPlanner(Self{Instance: id, Process: "p1"})
	p.SetGroups([]upstream.GroupID{"g"}, epoch)
	return p
}

func TestClaimsAFreeGroupAfterItsDelay(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner("a")
	at, ok := p.NextPlanTime(epoch)
	is.True(ok)
	is.Equal(len(p.Plan(at.Add(-time.Millisecond))), 0)
	actions := p.Plan(at)
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Expected, uint64(0))
	is.Equal(len(p.Plan(at)), 0) // one claim in progress at a time
	p.ClaimDone("g", true, at)
	is.Equal(len(p.Plan(at.Add(MinRetryDelay-1))), 0)
	is.Equal(len(p.Plan(at.Add(MinRetryDelay))), 1)
}

func TestLeavesAnOwnedGroupAlone(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner("a")
	p.SetClaim(claim("g", "b", "x", 5), epoch)
	is.Equal(len(p.Plan(epoch.Add(time.Hour))), 0)
	_, ok := p.NextPlanTime(epoch)
	is.True(!ok)
}

// Guards against a refusal by an earlier process, remembered until the next probe of the peer, that is charged to the claim of its
// successor at the same address.
func TestARefusalBeforeTheClaimWasLearnedIsIgnored(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner("a")
	p.SetClaim(claim("g", "b", "x", 5), epoch)
	refused := epoch.Add(time.Second)
	p.SetClaim(claim("g", "b", "y", 6), refused.Add(time.Millisecond))
	now := refused.Add(100 * time.Millisecond)
	is.True(!p.MarkOwnerRefused("g", 6, refused, now))
	is.Equal(len(p.Plan(now.Add(time.Hour))), 0)
	p.SetClaim(claim("g", "b", "y", 6), now.Add(time.Second)) // learned once more
	is.True(p.MarkOwnerRefused("g", 6, now, now))
}

func TestTakesOverADeadOwnerUnderItsRevision(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner("a")
	p.SetClaim(claim("g", "b", "x", 5), epoch)
	is.True(!p.MarkOwnerRefused("g", 4, epoch, epoch)) // about an earlier claim
	is.True(p.MarkOwnerRefused("g", 5, epoch, epoch))
	is.True(!p.MarkOwnerRefused("g", 5, epoch, epoch)) // already known
	actions := p.Plan(epoch.Add(time.Second))
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Expected, uint64(5))
	is.Equal(actions[0].Cause, "owner_dead")
}

// Guards against a delay before an instance takes back its own groups, after its claim was removed and after a restart
// of its process: other instances would claim them first.
func TestReclaimsAtOnce(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner("a")
	p.SetClaim(claim("g", "a", "p1", 5), epoch)
	p.Removed("g", epoch)
	is.Equal(len(p.Plan(epoch)), 1)

	restarted := NewPlanner(Self{Instance: "a", Process: "p2"})
	restarted.SetGroups([]upstream.GroupID{"g"}, epoch)
	restarted.SetClaim(claim("g", "a", "p1", 5), epoch)
	is.Equal(len(restarted.Owned()), 0)
	actions := restarted.Plan(epoch)
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Expected, uint64(5))
	is.True(!restarted.Reclaimed("g"))
	restarted.SetClaim(claim("g", "a", "p2", 6), epoch)
	is.True(restarted.Reclaimed("g"))
	restarted.SetClaim(claim("g", "b", "x", 7), epoch)
	restarted.SetClaim(claim("g", "a", "p2", 8), epoch)
	is.True(!restarted.Reclaimed("g")) // another instance was the last owner
}

// Guards against replacing a claim whose owner has renewed its liveness key in the meantime: the action names the key
// that must still be absent.
func TestAnExpiredOwnerIsReplacedOnlyWithoutItsLivenessKey(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner("a")
	of := Process{Instance: "b", ID: "x"}
	p.SetClaim(claim("g", "b", "x", 5), epoch)
	p.SetAlive(of, true, epoch)
	is.Equal(len(p.Plan(epoch.Add(time.Hour))), 0)
	p.SetAlive(of, false, epoch)
	is.True(p.Expired("g"))
	is.Equal(len(p.Claims()), 0)
	is.Equal(p.LastClaims()["g"].Owner, instance.ID("b"))
	actions := p.Plan(epoch.Add(time.Second))
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Expected, uint64(5))
	is.Equal(actions[0].Expired, of)
	is.Equal(actions[0].Cause, "lease_lapsed")
	p.ClaimDone("g", true, epoch.Add(time.Second))
	p.SetAlive(of, true, epoch.Add(time.Second)) // the owner has a new lease before another instance has claimed
	is.Equal(len(p.Plan(epoch.Add(time.Hour))), 0)
	is.Equal(p.Claims()["g"].Revision, uint64(5))
	p.SetAliveProcesses(map[Process]bool{}, epoch.Add(time.Hour))
	is.True(p.MarkOwnerRefused("g", 5, epoch, epoch.Add(time.Hour)))
	actions = p.Plan(epoch.Add(2 * time.Hour))
	is.Equal(actions[0].Expired, Process{}) // whose liveness key does not matter
}

// Guards against groups changing owners after an outage of all instances that outlasted their leases: each restarted
// instance takes back its groups without delay.
func TestARestartAfterTheLeaseFindsItsGroups(t *testing.T) {
	is := is.New(t)
	p := NewPlanner(Self{Instance: "a", Process: "p2"})
	p.SetGroups([]upstream.GroupID{"g"}, epoch)
	p.SetClaim(claim("g", "a", "p1", 5), epoch)
	p.SetAliveProcesses(map[Process]bool{}, epoch)
	actions := p.Plan(epoch)
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Expected, uint64(5))
	is.Equal(actions[0].Expired, Process{})
}

func TestALaterClaimOfAnotherEndsTheOwnership(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner("a")
	p.SetClaim(claim("g", "a", "p1", 5), epoch)
	is.Equal(len(p.Owned()), 1)
	p.SetClaim(claim("g", "b", "x", 9), epoch)
	p.SetClaim(claim("g", "a", "p1", 5), epoch) // a delayed answer
	is.Equal(len(p.Owned()), 0)
	is.Equal(p.Claim("g").Owner, instance.ID("b"))
}

func TestDisabledClaimsNothing(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner("a")
	p.SetClaimsDisabled(true)
	is.Equal(len(p.Plan(epoch.Add(time.Hour))), 0)
}

func TestTheLastOwnerIsKnownUntilThereIsAnother(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner("a")
	p.SetClaim(claim("g", "b", "x", 5), epoch)
	p.Removed("g", epoch)
	is.Equal(len(p.Claims()), 0)
	is.Equal(p.LastClaims()["g"].Owner, instance.ID("b"))
}

// fleet simulates instances that write claims to one store.
type fleet struct {
	planners []*Planner
	groups   []upstream.GroupID
	claims   map[upstream.GroupID]Claim
	revision uint64
}

// newFleet returns instances with the given CPU time in cores, all started at epoch.
func newFleet(groups int, first bool, cores ...float64) *fleet {
	f := &fleet{claims: make(map[upstream.GroupID]Claim)}
	for i := range groups {
		f.groups = append(f.groups, upstream.GroupID(fmt.Sprintf("g%d", i+1)))
	}
	for i, c := range cores {
		p := NewPlanner(Self{Instance: instance.ID(fmt.Sprintf("i%d", i)), Process: "p", Cores: c, FirstStart: first})
		p.SetGroups(f.groups, epoch)
		f.planners = append(f.planners, p)
	}
	return f
}

// simulate lets the instances carry out their claims between two times after epoch, in steps of 1 ms.
func (f *fleet) simulate(from, to time.Duration) {
	for at := from; at < to; at += time.Millisecond {
		now := epoch.Add(at)
		for _, p := range f.planners {
			for _, a := range p.Plan(now) {
				p.ClaimDone(a.Group, true, now)
				if f.claims[a.Group].Revision != a.Expected {
					continue
				}
				f.revision++
				c := Claim{Group: a.Group, Owner: p.self.Instance, Process: "p", Address: "10.0.0.1:1", Cores: p.self.Cores, Revision: f.revision}
				f.claims[a.Group] = c
				for _, other := range f.planners {
					other.SetClaim(c, now)
				}
			}
		}
	}
}

// groupsPerOwner returns the number of groups that each instance owns.
func (f *fleet) groupsPerOwner() map[instance.ID]int {
	groupsPerOwner := make(map[instance.ID]int)
	for _, c := range f.claims {
		groupsPerOwner[c.Owner]++
	}
	return groupsPerOwner
}

func TestGroupsSpreadOverTheFleet(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, false, 0, 0, 0, 0, 0, 0)
	f.simulate(0, 5*time.Second)
	is.Equal(len(f.claims), len(f.groups))
	for _, n := range f.groupsPerOwner() {
		is.True(n <= 3) // no instance owns more than half of the groups
	}
}

// TestStrongInstancesOwnTheGroups simulates a fleet with a few large and many small instances: its first start and the
// loss of an owner. Small instances must not own groups while large ones are free.
func TestStrongInstancesOwnTheGroups(t *testing.T) {
	is := is.New(t)
	cores := []float64{0.8, 0.8, 0.8, 0.8}
	for range 30 {
		cores = append(cores, 0.192)
	}
	f := newFleet(4, true, cores...)
	f.simulate(0, 10*time.Second)
	is.Equal(len(f.claims), 4)
	for i := range 4 {
		is.True(f.groupsPerOwner()[instance.ID(fmt.Sprintf("i%d", i))] <= 2)
	}
	for id := range f.groupsPerOwner() {
		is.True(id <= "i3")
	}
	lost := f.claims["g1"]
	f.planners = slices.DeleteFunc(f.planners, func(p *Planner) bool { return p.self.Instance == lost.Owner })
	for _, p := range f.planners {
		p.MarkOwnerRefused("g1", lost.Revision, epoch.Add(10*time.Second), epoch.Add(10*time.Second))
	}
	f.simulate(10*time.Second, 11*time.Second)
	is.True(f.claims["g1"].Owner != lost.Owner)
	is.True(f.claims["g1"].Owner <= "i3")
}

// TestFirstOwnersAreInTheDomainsOfThePrimaries simulates the first start of a fleet with two instances in the failure domain
// of each primary.
func TestFirstOwnersAreInTheDomainsOfThePrimaries(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, true, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4)
	for i, p := range f.planners {
		p.SetLocalPrimary(f.groups[i%3], true)
	}
	f.simulate(0, 10*time.Second)
	for i, g := range f.groups {
		owner := f.claims[g].Owner
		is.True(owner == f.planners[i].self.Instance || owner == f.planners[i+3].self.Instance)
	}
}

// Guards against one instance owning several groups because all primaries are in its failure domain: its loss would
// affect them all.
func TestOwnersSpreadWhenAllPrimariesAreInOneDomain(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, true, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4)
	for _, g := range f.groups {
		f.planners[0].SetLocalPrimary(g, true)
		f.planners[1].SetLocalPrimary(g, true)
	}
	f.simulate(0, 10*time.Second)
	is.Equal(len(f.groupsPerOwner()), 3)
}

// A group that a slow instance gives up goes to an instance that is not slow; when there is none, the slow instance
// takes it back.
func TestASlowOwnerIsReplaced(t *testing.T) {
	for _, others := range []int{5, 0} {
		is := is.New(t)
		f := newFleet(1, false, slices.Repeat([]float64{0.4}, 1+others)...)
		slow := f.planners[0]
		f.planners = f.planners[:1]
		f.simulate(0, time.Second)
		is.Equal(f.claims["g1"].Owner, slow.self.Instance)
		f.planners = newFleet(1, false, slices.Repeat([]float64{0.4}, 1+others)...).planners
		f.planners[0] = slow
		slow.SetSlowdown(8)
		slow.Relinquish("g1")
		delete(f.claims, "g1")
		for _, p := range f.planners {
			p.Removed("g1", epoch.Add(time.Second))
		}
		f.simulate(time.Second, 4*time.Second)
		is.Equal(f.claims["g1"].Owner == slow.self.Instance, others == 0)
	}
}

// Guards against the delay for small instances applying in a fleet where all instances are equal.
func TestEqualInstancesTakeOverWithoutDelay(t *testing.T) {
	is := is.New(t)
	weak, plain := NewPlanner(Self{Instance: "a", Cores: 0.2}), newTestPlanner("a")
	weak.SetGroups([]upstream.GroupID{"g"}, epoch)
	c := claim("g", "b", "x", 5)
	c.Cores = 0.2
	weak.SetClaim(c, epoch)
	plain.SetClaim(c, epoch)
	weak.Removed("g", epoch)
	plain.Removed("g", epoch)
	a, _ := weak.NextPlanTime(epoch)
	b, _ := plain.NextPlanTime(epoch)
	is.Equal(a, b)
}

// Guards against retries at a constant rate while the store rejects claims for overload.
func TestClaimsThatFailAreRetriedLater(t *testing.T) {
	is := is.New(t)
	p := NewPlanner(Self{Instance: "a", Process: "p"})
	p.SetGroups([]upstream.GroupID{"g"}, epoch)
	now, gaps := epoch, []time.Duration{}
	for range 6 {
		for len(p.Plan(now)) == 0 {
			now = now.Add(time.Millisecond)
		}
		p.ClaimDone("g", false, now)
		next, ok := p.NextPlanTime(now)
		is.True(ok)
		gaps = append(gaps, next.Sub(now))
	}
	for i, least := range []time.Duration{MinRetryDelay, 2 * MinRetryDelay, 4 * MinRetryDelay, 4 * MinRetryDelay} {
		is.True(gaps[i] >= least)
		is.True(gaps[i] < 2*least)
	}
	for len(p.Plan(now)) == 0 {
		now = now.Add(time.Millisecond)
	}
	p.ClaimDone("g", true, now)
	next, _ := p.NextPlanTime(now)
	is.Equal(next.Sub(now), MinRetryDelay) // reset after a decision of the store
}

// TestAnInstanceThatOthersInformPausesItsFailedClaims guards against instances that the store rejects for a while and that
// learn through others of groups without an owner: 100 of them must not call the store for each group again and again.
func TestAnInstanceThatOthersInformPausesItsFailedClaims(t *testing.T) {
	is := is.New(t)
	const groups, rejectedFor = 7, 9 * time.Second
	attempts := func(relayed bool) int {
		p := NewPlanner(Self{Instance: "a", Process: "p"})
		p.SetRelayed(relayed)
		var ids []upstream.GroupID
		for i := range groups {
			ids = append(ids, upstream.GroupID(fmt.Sprint("g", i)))
		}
		p.SetGroups(ids, epoch)
		n := 0
		for now := epoch; now.Sub(epoch) < rejectedFor; now = now.Add(5 * time.Millisecond) {
			for _, a := range p.Plan(now) {
				n++
				p.ClaimDone(a.Group, false, now)
			}
		}
		return n
	}
	t.Logf("%d claims tried alone, %d with others", attempts(false), attempts(true))
	is.True(attempts(true) <= 4*groups)
	is.True(attempts(false) >= 10*groups) // without others, groups must not stay without an owner
}
