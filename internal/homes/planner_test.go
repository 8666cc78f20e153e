package homes

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/membership"
	"github.com/celerystep/celerystep/internal/upstream"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testCluster is the state of the cluster that all planners of a test share.
type testCluster struct {
	states map[instance.ID]instance.State
	homes  map[upstream.GroupID]membership.Home
	groups []Group
}

func newTestCluster(instances, groups int) *testCluster {
	w := &testCluster{states: make(map[instance.ID]instance.State), homes: make(map[upstream.GroupID]membership.Home)}
	for i := range instances {
		w.states[testCandidate(i).ID] = instance.StateLive
	}
	for i := range groups {
		w.groups = append(w.groups, testGroup(i))
	}
	return w
}

// view returns the view of one instance, which holds the groups whose records name it as the owner.
func (w *testCluster) view(self instance.ID) ClusterView {
	s := ClusterView{
		Groups:   w.groups,
		Leaving:  w.states[self] == instance.StateLeaving,
		MayClaim: true,
		State: func(id instance.ID) instance.State {
			if s, ok := w.states[id]; ok {
				return s
			}
			return instance.StateDead
		},
		Home: func(g upstream.GroupID) (membership.Home, bool) { h, ok := w.homes[g]; return h, ok },
	}
	for i := range len(w.states) {
		if c := testCandidate(i); w.states[c.ID] <= instance.StateSuspect {
			s.Candidates = append(s.Candidates, c)
		}
	}
	for g, h := range w.homes {
		if h.Owner == self && !h.Released {
			s.Owned = append(s.Owned, g)
		}
	}
	return s
}

// Guards against two instances with the same view claiming one group, and against claims of a live owner's group.
func TestAtMostOneClaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTestCluster(rapid.IntRange(1, 7).Draw(t, "instances"), 5)
		for id := range len(w.states) {
			states := []instance.State{instance.StateLive, instance.StateSuspect, instance.StateLeaving, instance.StateDead}
			w.states[testCandidate(id).ID] = rapid.SampledFrom(states).Draw(t, "state")
		}
		for _, g := range w.groups {
			if !rapid.Bool().Draw(t, "has record") {
				continue
			}
			owner := testCandidate(rapid.IntRange(0, 8).Draw(t, "owner")).ID
			w.homes[g.ID] = membership.Home{
				Group: g.ID, Owner: owner, Generation: 1, Released: rapid.Bool().Draw(t, "released"),
			}
		}
		planners := make([]*Planner, len(w.states))
		for i := range planners {
			planners[i] = NewPlanner(testCandidate(i).ID, uint64(i))
			planners[i].Update(start, w.view(testCandidate(i).ID))
		}
		now := start.Add(rapid.SampledFrom([]time.Duration{0, ClaimTurn / 2, ClaimTurn, 9 * ClaimTurn}).Draw(t, "waited"))
		claimed := make(map[upstream.GroupID]instance.ID)
		for i, p := range planners {
			self := testCandidate(i).ID
			if w.states[self] == instance.StateDead {
				continue
			}
			for _, d := range p.Decide(now) {
				if d.Action != ActionClaim {
					continue
				}
				if other := claimed[d.Group]; other != "" {
					t.Fatalf("%s and %s both claim %s", other, self, d.Group)
				}
				claimed[d.Group] = self
				h, known := w.homes[d.Group]
				if known && !h.Released && w.view(self).State(h.Owner) != instance.StateDead {
					t.Fatalf("%s claims %s of %s, which is %s", self, d.Group, h.Owner, w.states[h.Owner])
				}
			}
		}
		for _, g := range w.groups {
			h, known := w.homes[g.ID]
			free := !known || h.Released || w.view("").State(h.Owner) == instance.StateDead
			if free && len(w.view("").Candidates) > 0 && claimed[g.ID] == "" {
				t.Fatalf("nobody claims %s", g.ID)
			}
		}
	})
}

// Guards against two instances that keep taking a home from each other, and against a backoff that never ends.
func TestBackoffAfterLostClaims(t *testing.T) {
	is := is.New(t)
	w := newTestCluster(1, 1)
	p := NewPlanner("i0", 1)
	p.Update(start, w.view("i0"))
	now := start
	for _, least := range []time.Duration{1, 1, 2, 4, 8, 16, 22, 22} {
		is.Equal(len(p.Decide(now)), 1)
		p.ClaimDone(now, "g0", false)
		p.Decide(now)
		p.Decide(now)
		notices := p.BlockedDecisions()
		is.Equal(len(notices), 1) // the backoff is reported once
		is.Equal(notices[0].Cause, CauseBackoff)
		d := p.Explain(now, "g0")
		is.Equal(d.Cause, CauseBackoff)
		is.True(d.RetryIn >= MinBackoff && d.RetryIn <= MaxBackoff)
		is.True(d.RetryIn >= least*time.Second*3/4)
		now = now.Add(d.RetryIn)
	}
	is.Equal(len(p.Decide(now)), 1)
	p.ClaimDone(now, "g0", true)
	w.homes["g0"] = membership.Home{Group: "g0", Owner: "i0", Generation: 9}
	p.Update(now, w.view("i0"))
	w.homes["g0"] = membership.Home{Group: "g0", Owner: "i9", Generation: 10} // taken by an instance that was considered dead
	p.Update(now, w.view("i0"))
	is.Equal(p.Explain(now, "g0").Failures, 9)
	now = now.Add(MaxBackoff)
	is.Equal(len(p.Decide(now)), 1)
	p.ClaimDone(now, "g0", true)
	w.homes["g0"] = membership.Home{Group: "g0", Owner: "i0", Generation: 11}
	p.Update(now, w.view("i0"))
	p.Decide(now.Add(FailureResetTime))
	is.Equal(p.Explain(now.Add(FailureResetTime), "g0").Failures, 0)
}

// Guards against moving all homes back at once when a failure domain returns.
func TestReturningDomainIsNotFlooded(t *testing.T) {
	is := is.New(t)
	w := newTestCluster(6, 30)
	for _, g := range w.groups {
		w.homes[g.ID] = membership.Home{Group: g.ID, Owner: "i0", Generation: 1}
	}
	s := w.view("i0")
	all := s.Candidates
	s.Candidates = all[:1]
	p := NewPlanner("i0", 1)
	p.Update(start, s)
	is.Equal(len(p.Decide(start)), 0)
	s.Candidates = all
	p.Update(start, s)
	moved := 0
	for waited := time.Duration(0); waited <= StableTime+StableSpread; waited += time.Second {
		now := start.Add(waited)
		moves := p.Decide(now)
		is.True(len(moves) <= MaxRebalances)
		is.True(len(moves) == 0 || waited >= StableTime)
		for _, d := range moves {
			is.Equal(d.Cause, CauseBetterOwner)
			is.Equal(p.Explain(now, d.Group).Cause, CauseBusy)
			p.MoveDone(now, d.Group, MoveDone)
			is.Equal(p.Explain(now, d.Group).Cause, CauseMoved) // not claimed again before the announcement arrives
			w.homes[d.Group] = membership.Home{Group: d.Group, Owner: d.To, Generation: 2}
			p.Update(now, w.view("i0"))
			moved++
		}
	}
	t.Logf("%d of 30 groups moved within %s", moved, StableTime+StableSpread)
	is.True(moved > 15)
}

// Guards against homes that stay on an instance that must give them up, and against choosing a target again that has
// just refused.
func TestEvictionSkipsRefusingTargets(t *testing.T) {
	for _, cause := range []Cause{CauseLeaving, CauseDomainOut, CauseYield} {
		is := is.New(t)
		w := newTestCluster(4, 20)
		s := w.view("i0")
		for _, g := range w.groups {
			s.Owned = append(s.Owned, g.ID)
		}
		s.Leaving, s.DomainOut = cause == CauseLeaving, cause == CauseDomainOut
		if cause != CauseYield {
			s.Candidates = s.Candidates[1:]
		}
		p := NewPlanner("i0", 1)
		p.Update(start, s)
		for _, g := range w.groups {
			if cause == CauseYield {
				p.Yield(start, g.ID)
			}
		}
		moves := p.Decide(start)
		is.Equal(len(moves), MaxEvictions)
		asked := make(map[string]bool)
		for range 3 {
			is.Equal(moves[0].Cause, cause)
			is.True(moves[0].To != "i0")
			key := fmt.Sprint(moves[0].Group, moves[0].To)
			is.True(!asked[key]) // refused before
			asked[key] = true
			p.MoveDone(start, moves[0].Group, MoveRefused)
			moves = p.Decide(start)
		}
		is.True(!p.Eligible(start, "g0"))
	}
}
