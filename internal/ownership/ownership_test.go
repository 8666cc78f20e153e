package ownership

import (
	"fmt"
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

func running(id instance.ID) *Planner {
	p := NewPlanner(id, "p1", epoch.Add(-time.Hour))
	p.SetGroups([]upstream.GroupID{"g"}, epoch)
	return p
}

func TestClaimsAFreeGroupAfterItsDelay(t *testing.T) {
	is := is.New(t)
	p := running("a")
	at, ok := p.Next(epoch)
	is.True(ok)
	is.Equal(len(p.Plan(at.Add(-time.Millisecond))), 0)
	actions := p.Plan(at)
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Expected, uint64(0))
	is.Equal(len(p.Plan(at)), 0) // one try at a time
	p.ClaimDone("g", at)
	is.Equal(len(p.Plan(at.Add(RetryDelay-1))), 0)
	is.Equal(len(p.Plan(at.Add(RetryDelay))), 1)
}

func TestLeavesAnOwnedGroupAlone(t *testing.T) {
	is := is.New(t)
	p := running("a")
	p.SetClaim(claim("g", "b", "x", 5), epoch)
	is.Equal(len(p.Plan(epoch.Add(time.Hour))), 0)
	_, ok := p.Next(epoch)
	is.True(!ok)
}

func TestTakesOverADeadOwnerUnderItsRevision(t *testing.T) {
	is := is.New(t)
	p := running("a")
	p.SetClaim(claim("g", "b", "x", 5), epoch)
	is.True(!p.OwnerDead("g", 4, epoch)) // proof about an earlier claim
	is.True(p.OwnerDead("g", 5, epoch))
	is.True(!p.OwnerDead("g", 5, epoch)) // known already
	actions := p.Plan(epoch.Add(time.Second))
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Expected, uint64(5))
	is.Equal(actions[0].Cause, "owner_dead")
}

// TestReclaimsAtOnce: an instance takes its own groups back before others claim them, after a lapsed lease and after a
// restart of its process.
func TestReclaimsAtOnce(t *testing.T) {
	is := is.New(t)
	p := running("a")
	p.SetClaim(claim("g", "a", "p1", 5), epoch)
	p.Removed("g", epoch)
	is.Equal(len(p.Plan(epoch)), 1)

	restarted := NewPlanner("a", "p2", epoch)
	restarted.SetGroups([]upstream.GroupID{"g"}, epoch)
	restarted.SetClaim(claim("g", "a", "p1", 5), epoch)
	is.Equal(len(restarted.Owned()), 0)
	actions := restarted.Plan(epoch)
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Expected, uint64(5))
}

func TestALaterClaimOfAnotherEndsTheOwnership(t *testing.T) {
	is := is.New(t)
	p := running("a")
	p.SetClaim(claim("g", "a", "p1", 5), epoch)
	is.Equal(len(p.Owned()), 1)
	p.SetClaim(claim("g", "b", "x", 9), epoch)
	p.SetClaim(claim("g", "a", "p1", 5), epoch) // an answer that came late
	is.Equal(len(p.Owned()), 0)
	is.Equal(p.Claim("g").Owner, instance.ID("b"))
}

func TestBarredClaimsNothing(t *testing.T) {
	is := is.New(t)
	p := running("a")
	p.SetBarred(true)
	is.Equal(len(p.Plan(epoch.Add(time.Hour))), 0)
}

func TestTheLastOwnerIsKnownUntilThereIsAnother(t *testing.T) {
	is := is.New(t)
	p := running("a")
	p.SetClaim(claim("g", "b", "x", 5), epoch)
	p.Removed("g", epoch)
	is.Equal(len(p.Claims()), 0)
	is.Equal(p.LastClaims()["g"].Owner, instance.ID("b"))
}

// TestGroupsSpreadOverTheFleet plays six instances that start together and write to one store.
func TestGroupsSpreadOverTheFleet(t *testing.T) {
	is := is.New(t)
	groups := []upstream.GroupID{"g1", "g2", "g3", "g4", "g5", "g6"}
	var planners []*Planner
	for i := range 6 {
		p := NewPlanner(instance.ID(fmt.Sprintf("i%d", i)), "p", epoch)
		p.SetGroups(groups, epoch)
		planners = append(planners, p)
	}
	owners := make(map[upstream.GroupID]int)
	revision := uint64(0)
	for ms := 0; ms < 5000; ms++ {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		for i, p := range planners {
			for _, a := range p.Plan(now) {
				p.ClaimDone(a.Group, now)
				if _, taken := owners[a.Group]; taken {
					continue
				}
				owners[a.Group] = i
				revision++
				for _, other := range planners {
					other.SetClaim(claim(a.Group, instance.ID(fmt.Sprintf("i%d", i)), "p", revision), now)
				}
			}
		}
	}
	is.Equal(len(owners), len(groups))
	held := make(map[int]int)
	for _, i := range owners {
		held[i]++
	}
	for _, n := range held {
		is.True(n <= 3) // no instance holds more than half of the groups
	}
}
