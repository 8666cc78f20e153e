package failover

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// home returns a simulation with one home that has served for a second. It fails the test if the home started with a
// failover or found the wrong primary.
func home(t *testing.T, seed uint64) (*simulation, *promoter, *is.I) {
	t.Helper()
	is := is.New(t)
	sim := newModel(seed, 1, 3)
	p := sim.promoters[0]
	p.wantsHome = true
	sim.run(time.Second)
	v := p.machine.View()
	is.Equal([]any{v.Phase, v.Primary, v.Term, v.WritesHeld}, []any{PhaseSteady, upstream.MemberID("a"), position.Term(1), false})
	is.True(len(sim.promoted) == 0 && sim.acked > 10)
	return sim, p, is
}

// writeGap injects a failure and returns the time until a write is acknowledged under another primary.
func (sim *simulation) writeGap(inject func()) time.Duration {
	p := sim.promoters[0]
	old, began := p.primary, sim.now
	inject()
	for acked := sim.acked; sim.now < began+20*time.Second; sim.run(sim.now + step) {
		if p.primary == old || p.held {
			acked = sim.acked
		} else if sim.acked > acked {
			break
		}
	}
	return sim.now - began
}

// causes lists the causes of the audit records with the given step.
func (p *promoter) causes(s Step) []Cause {
	var list []Cause
	for _, r := range p.records {
		if r.Step == s {
			list = append(list, r.Cause)
		}
	}
	return list
}

// Guards against a write gap above the design's targets: 2 s after a crash, 5 s after a partition. The design states no
// target for a primary that only the home can still reach; it is held to the one for partitions.
func TestWriteGap(t *testing.T) {
	for _, c := range []struct {
		name    string
		limit   time.Duration
		cause   Cause
		breakIt func(sim *simulation)
	}{
		{"crash", 2 * time.Second, CausePrimaryRefused, func(sim *simulation) { sim.member("a").alive = false }},
		{"partition", 5 * time.Second, CausePrimarySilent, func(sim *simulation) { sim.isolate("a", true) }},
		{"cut off from the replicas only", 5 * time.Second, CausePrimaryIsolated, func(sim *simulation) {
			sim.partitioned[[2]string{"a", "b"}], sim.partitioned[[2]string{"a", "c"}] = true, true
		}},
	} {
		var gaps []time.Duration
		for seed := range uint64(50) {
			sim, p, is := home(t, seed)
			gaps = append(gaps, sim.writeGap(func() { c.breakIt(sim) }))
			is.Equal(p.causes(StepFence), []Cause{c.cause})
			is.Equal(len(p.records[len(p.records)-1].Inputs), 3)
			is.Equal(sim.violations, nil)
		}
		slices.Sort(gaps)
		t.Logf("%s: write gap median=%v max=%v", c.name, gaps[25], gaps[49])
		is.New(t).True(gaps[49] <= c.limit)
	}
}

// Guards against replacing a primary that is still in contact with its replicas, by the partitioned home or by a new one,
// and against a partitioned home that keeps its role.
func TestPartitionedHomeReleasesRole(t *testing.T) {
	for _, c := range []struct {
		name        string
		partitioned []string
		cause       Cause
	}{
		{"from the primary", []string{"a"}, CauseHomePartitioned},
		{"from a majority", []string{"b", "c"}, CauseNoMajority},
	} {
		sim, p, is := home(t, 2)
		for _, id := range c.partitioned {
			sim.partitioned[[2]string{"p0", id}] = true
		}
		p.wantsHome = false
		sim.run(2 * time.Second)
		is.True(!p.idle)
		sim.run(4 * time.Second)
		is.True(p.idle)
		is.Equal(p.causes(StepRelease), []Cause{c.cause})
		p.wantsHome = true
		sim.run(20 * time.Second)
		is.Equal(len(sim.promoted), 0)
	}
}

// Guards against treating a pause of the machine's own process as a timeout of the members.
func TestOwnPauseIsNotMemberTimeout(t *testing.T) {
	sim, p, is := home(t, 3)
	p.pausedUntil = sim.now + 10*time.Second
	sim.run(sim.now + 15*time.Second)
	is.Equal([]int{len(sim.promoted), len(p.causes(StepRelease)), len(p.causes(StepFence))}, []int{0, 0, 0})
}

// Guards against a switchover that loses or fails a write, holds writes for 200 ms or more, or promotes another member.
func TestSwitchover(t *testing.T) {
	is := is.New(t)
	var longest time.Duration
	for seed := range uint64(100) {
		sim, p, _ := home(t, seed)
		scenarios[2].begin(sim)
		sim.run(3 * time.Second)
		is.NoErr(sim.refused)
		is.Equal([]any{p.primary, len(sim.promoted), len(p.failed)}, []any{upstream.MemberID("b"), 1, 0})
		for pos := range p.waiting {
			is.True(pos.Term == 2) // every write of the old primary was acknowledged
		}
		longest = max(longest, p.maxHold)
	}
	t.Logf("writes held for at most %v", longest)
	is.True(longest < 200*ms)
}

// Guards against a switchover that is refused without cause, has an effect although it is refused, or is not abandoned
// when its target cannot take over.
func TestSwitchoverRefusedOrAbandoned(t *testing.T) {
	sim, p, is := home(t, 4)
	order := func(target upstream.MemberID) error {
		actions, err := p.machine.Switchover(SwitchoverRequest{Target: target, Operator: "op"}, p.at())
		p.do(actions)
		return err
	}
	is.True(errors.Is(order("x"), ErrInvalidTarget))
	is.True(errors.Is(order("a"), ErrInvalidTarget))
	p.do(p.machine.AuthorityChanged(false, p.at()))
	is.True(errors.Is(order("b"), ErrNoAuthority))
	p.do(p.machine.AuthorityChanged(true, p.at()))
	sim.member("b").follows = "c" // c is no primary, so b receives nothing
	sim.run(2 * time.Second)
	is.True(errors.Is(order("b"), ErrNotEligible))
	sim.member("b").follows = "a"
	sim.run(3 * time.Second)
	is.NoErr(order("b"))
	is.True(errors.Is(order("b"), ErrNotSteady))
	sim.member("b").follows = "c"
	sim.run(8 * time.Second)
	is.Equal(p.failed, []Cause{CauseNoTarget})
	sim.member("b").follows, sim.member("b").applyRemaining = "a", 500*ms // b has everything but has not applied it
	sim.run(9 * time.Second)
	is.NoErr(order("b"))
	sim.run(12 * time.Second)
	is.Equal(p.failed, []Cause{CauseNoTarget, CauseNotCaughtUp})
	is.Equal([]any{p.primary, p.held, len(sim.promoted)}, []any{upstream.MemberID("a"), false, 0})
	last := p.records[len(p.records)-1]
	is.Equal([]any{last.Operator, last.Step}, []any{"op", StepSwitchover})
}

// Guards against a primary that remains in a failure domain taken out of service because its log is ahead when the drain
// times out.
func TestDomainOutForcesSwitchover(t *testing.T) {
	sim, p, is := home(t, 5)
	a := sim.member("a")
	sim.callFault = func(_ *promoter, kind string, _ *fakeMember) callFault {
		if kind != "fence" {
			return callFault{}
		}
		return callFault{sent: func() {
			if p.undrained {
				a.append() // a transaction that was not drained commits
			}
			p.undrained = false
		}}
	}
	p.undrained = true
	sim.configure(Member{ID: "a", DomainOut: true})
	sim.run(5 * time.Second)
	is.True(p.primary != "a")
	is.Equal(sim.promoted[2], upstream.MemberID("a"))
	is.Equal(sim.violations, nil)
}

// Guards against a member that keeps the claim of a home that never won a majority, and against a home that keeps its role
// after a majority accepted another claim.
func TestMinorityClaimIsReclaimed(t *testing.T) {
	sim, p, is := home(t, 6)
	sim.member("c").Generation, sim.member("c").Owner = 9, "p9"
	sim.run(2 * time.Second)
	is.Equal(sim.member("c").Owner, "p9") // p9 may be about to win
	sim.run(4 * time.Second)
	is.Equal([]any{sim.member("c").Generation, sim.member("c").Owner, p.claim.Generation}, []any{uint64(10), "p0", uint64(10)})
	sim.member("b").Generation, sim.member("c").Generation = 11, 11
	sim.run(5 * time.Second)
	is.Equal(p.causes(StepRelease), []Cause{CauseClaimLost})
}

// Guards against restarting a promotion in ever higher terms while the member is still applying its log.
func TestSlowPromotionIsNotRestarted(t *testing.T) {
	sim, p, is := home(t, 9)
	for _, m := range sim.members {
		m.applyRemaining = 1800 * ms
	}
	sim.member("a").alive = false
	sim.run(9 * time.Second)
	is.Equal([]int{len(sim.promoted), len(p.causes(StepFence))}, []int{1, 1})
}

// Guards against a failover without authority, a fence whose owner lacks the generation, a stale-term error that does not
// trigger a probe of the member, and a primary that is kept after its removal from the group.
func TestAuthorityAndOwner(t *testing.T) {
	sim, p, is := home(t, 7)
	p.do(p.machine.AuthorityChanged(false, p.at()))
	sim.member("a").alive = false
	sim.run(2 * time.Second)
	is.Equal(len(p.causes(StepFence)), 0)
	var fences []Fence
	for _, a := range p.machine.AuthorityChanged(true, p.at()) {
		if f, ok := a.(Fence); ok {
			fences = append(fences, f)
		}
	}
	is.Equal(len(fences), 3)
	is.Equal([]any{string(fences[0].Owner), fences[0].Term}, []any{"p0/1", position.Term(2)})
	stale := &upstream.MemberError{Kind: upstream.ErrStale, Err: errors.New("stale")}
	actions := p.machine.OperationDone(fences[1].Op, nil, stale, p.at())
	is.True(slices.Contains(actions, Action(Probe{Member: "b", Timeout: DefaultTiming().ProbeTimeout})))

	sim, p, is = home(t, 8)
	sim.isolate("a", true)
	p.do(p.machine.Configure([]Member{{ID: "b"}, {ID: "c"}}, p.at()))
	sim.run(1200 * ms)
	is.True(p.primary != "a" && p.machine.View().Phase == PhaseSteady)
}

// Guards against promoting a member that lacks records, or one that must be evacuated although an equal one exists.
func TestChooseOrder(t *testing.T) {
	is := is.New(t)
	m := New(Config{Owner: "p"}, rand.NewPCG(1, 1))
	k := func(id upstream.MemberID, term position.Term, received, applied position.LSN, leaving, out bool) *memberState {
		return &memberState{Member: Member{ID: id, Leaving: leaving, DomainOut: out}, status: &upstream.MemberStatus{
			Received: received, Applied: applied, History: position.History{{Term: term}}}}
	}
	preferred := k("x", 2, 10, 5, false, false)
	m.attempt.preferred = preferred
	order := []*memberState{
		k("z", 3, 5, 5, true, true),     // the last term decides first
		k("y", 2, 11, 0, true, false),   // then the length
		preferred,                       // then the target of a switchover
		k("c", 2, 10, 10, false, false), // then the apply lag
		k("a", 2, 10, 9, false, false),
		k("b", 2, 10, 9, false, false), // then the name
		k("0", 2, 10, 10, false, true), // members to be evacuated come last among equals
	}
	for i := range order {
		for j := range order {
			got := m.compareCandidates(order[i], order[j])
			is.Equal(got < 0, i < j)
		}
	}
}

func BenchmarkStatus(b *testing.B) {
	sim := newModel(1, 1, 3)
	sim.promoters[0].wantsHome = true
	sim.run(time.Second)
	m, s, now := sim.promoters[0].machine, sim.members[1].status(), sim.promoters[0].at()
	b.ReportAllocs()
	for b.Loop() {
		m.StatusReceived(s, now)
	}
}
