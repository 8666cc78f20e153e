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

// home returns a model with one home that has served for a second. It guards against a failover at the start of a home
// and against a wrong first primary.
func home(t *testing.T, seed uint64) (*model, *promoter, *is.I) {
	t.Helper()
	is := is.New(t)
	w := newModel(seed, 1, 3)
	p := w.promoters[0]
	p.wants = true
	w.run(time.Second)
	v := p.machine.View()
	is.Equal([]any{v.Phase, v.Primary, v.Term, v.WritesHeld}, []any{PhaseSteady, upstream.MemberID("a"), position.Term(1), false})
	is.True(len(w.promoted) == 0 && w.acked > 10)
	return w, p, is
}

// gap breaks something and returns the time until a write is acknowledged by another primary.
func (w *model) gap(breakIt func()) time.Duration {
	p := w.promoters[0]
	old, began := p.primary, w.now
	breakIt()
	for acked := w.acked; w.now < began+20*time.Second; w.run(w.now + step) {
		if p.primary == old || p.held {
			acked = w.acked
		} else if w.acked > acked {
			break
		}
	}
	return w.now - began
}

// causes lists the causes recorded at a step.
func (p *promoter) causes(s Step) []Cause {
	var list []Cause
	for _, r := range p.records {
		if r.Step == s {
			list = append(list, r.Cause)
		}
	}
	return list
}

// Guards against a write gap above the design's targets: 2 s after a crash, 5 s after a partition. A primary that only the
// home still hears is the case that the design leaves open.
func TestWriteGap(t *testing.T) {
	for _, c := range []struct {
		name    string
		limit   time.Duration
		cause   Cause
		breakIt func(w *model)
	}{
		{"crash", 2 * time.Second, CausePrimaryRefused, func(w *model) { w.member("a").alive = false }},
		{"partition", 5 * time.Second, CausePrimarySilent, func(w *model) { w.isolate("a", true) }},
		{"cut off from the replicas only", 5 * time.Second, CausePrimaryIsolated, func(w *model) {
			w.cut[[2]string{"a", "b"}], w.cut[[2]string{"a", "c"}] = true, true
		}},
	} {
		var gaps []time.Duration
		for seed := range uint64(50) {
			w, p, is := home(t, seed)
			gaps = append(gaps, w.gap(func() { c.breakIt(w) }))
			is.Equal(p.causes(StepFence), []Cause{c.cause})
			is.Equal(len(p.records[len(p.records)-1].Inputs), 3)
			is.Equal(w.violations, nil)
		}
		slices.Sort(gaps)
		t.Logf("%s: write gap median=%v max=%v", c.name, gaps[25], gaps[49])
		is.New(t).True(gaps[49] <= c.limit)
	}
}

// Guards against replacing a primary that the replicas still hear, by a home and by a new home, and against a home that
// keeps a role in which it cannot work.
func TestHomeCutOffReleasesRole(t *testing.T) {
	for _, c := range []struct {
		name  string
		cut   []string
		cause Cause
	}{
		{"from the primary", []string{"a"}, CauseHomePartitioned},
		{"from a majority", []string{"b", "c"}, CauseNoMajority},
	} {
		w, p, is := home(t, 2)
		for _, id := range c.cut {
			w.cut[[2]string{"p0", id}] = true
		}
		p.wants = false
		w.run(2 * time.Second)
		is.True(!p.idle)
		w.run(4 * time.Second)
		is.True(p.idle)
		is.Equal(p.causes(StepRelease), []Cause{c.cause})
		p.wants = true
		w.run(20 * time.Second)
		is.Equal(len(w.promoted), 0)
	}
}

// Guards against taking a pause of the own process for silence of the members.
func TestPauseIsNoSilence(t *testing.T) {
	w, p, is := home(t, 3)
	p.pausedUntil = w.now + 10*time.Second
	w.run(w.now + 15*time.Second)
	is.Equal([]int{len(w.promoted), len(p.causes(StepRelease)), len(p.causes(StepFence))}, []int{0, 0, 0})
}

// Guards against a switchover that loses or fails a write, holds writes for long, or ends at another member.
func TestSwitchover(t *testing.T) {
	is := is.New(t)
	var longest time.Duration
	for seed := range uint64(100) {
		w, p, _ := home(t, seed)
		scenarios[2].begin(w)
		w.run(3 * time.Second)
		is.NoErr(w.refused)
		is.Equal([]any{p.primary, len(w.promoted), len(p.failed)}, []any{upstream.MemberID("b"), 1, 0})
		for pos := range p.waiting {
			is.True(pos.Term == 2) // every write of the old primary was acknowledged
		}
		longest = max(longest, p.maxHold)
	}
	t.Logf("writes held for at most %v", longest)
	is.True(longest < 200*ms)
}

// Guards against a switchover that is refused without reason, changes something when refused, or does not fall back.
func TestSwitchoverRefusedOrFallsBack(t *testing.T) {
	w, p, is := home(t, 4)
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
	w.member("b").follows = "c" // b hears nobody and receives nothing
	w.run(2 * time.Second)
	is.True(errors.Is(order("b"), ErrNotEligible))
	w.member("b").follows = "a"
	w.run(3 * time.Second)
	is.NoErr(order("b"))
	is.True(errors.Is(order("b"), ErrNotSteady))
	w.member("b").follows = "c"
	w.run(8 * time.Second)
	is.Equal(p.failed, []Cause{CauseNoTarget})
	w.member("b").follows, w.member("b").applying = "a", 500*ms // b has everything but has not applied it
	w.run(9 * time.Second)
	is.NoErr(order("b"))
	w.run(12 * time.Second)
	is.Equal(p.failed, []Cause{CauseNoTarget, CauseNotCaughtUp})
	is.Equal([]any{p.primary, p.held, len(w.promoted)}, []any{upstream.MemberID("a"), false, 0})
	last := p.records[len(p.records)-1]
	is.Equal([]any{last.Operator, last.Step}, []any{"op", StepSwitchover})
}

// Guards against a primary that stays in a failure domain that was taken out, because its log is ahead when the time to
// drain ends.
func TestDomainOutMovesPrimaryByForce(t *testing.T) {
	w, p, is := home(t, 5)
	a := w.member("a")
	w.callFault = func(_ *promoter, kind string, _ *fakeMember) callFault {
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
	w.configure(Member{ID: "a", DomainOut: true})
	w.run(5 * time.Second)
	is.True(p.primary != "a")
	is.Equal(w.promoted[2], upstream.MemberID("a"))
	is.Equal(w.violations, nil)
}

// Guards against a member that stays with the claim of a home that never won a majority, and against a claim that takes
// members from a home that did.
func TestMinorityClaimIsTakenBack(t *testing.T) {
	w, p, is := home(t, 6)
	w.member("c").Generation, w.member("c").Owner = 9, "p9"
	w.run(2 * time.Second)
	is.Equal(w.member("c").Owner, "p9") // p9 may be about to win
	w.run(4 * time.Second)
	is.Equal([]any{w.member("c").Generation, w.member("c").Owner, p.claim.Generation}, []any{uint64(10), "p0", uint64(10)})
	w.member("b").Generation, w.member("c").Generation = 11, 11
	w.run(5 * time.Second)
	is.Equal(p.causes(StepRelease), []Cause{CauseClaimLost})
}

// Guards against a promotion that begins again in term after term while the member still applies its log.
func TestSlowPromotionIsAwaited(t *testing.T) {
	w, p, is := home(t, 9)
	for _, m := range w.members {
		m.applying = 1800 * ms
	}
	w.member("a").alive = false
	w.run(9 * time.Second)
	is.Equal([]int{len(w.promoted), len(p.causes(StepFence))}, []int{1, 1})
}

// Guards against a failover without authority, a fence without the generation in its owner, a stale answer that is not
// followed by reading the member, and a removed primary that keeps its place.
func TestAuthorityAndOwner(t *testing.T) {
	w, p, is := home(t, 7)
	p.do(p.machine.AuthorityChanged(false, p.at()))
	w.member("a").alive = false
	w.run(2 * time.Second)
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

	w, p, is = home(t, 8)
	w.isolate("a", true)
	p.do(p.machine.Configure([]Member{{ID: "b"}, {ID: "c"}}, p.at()))
	w.run(1200 * ms)
	is.True(p.primary != "a" && p.machine.View().Phase == PhaseSteady)
}

// Guards against a choice that loses records or prefers a member that has to be emptied.
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
		preferred,                       // then the target of a move
		k("c", 2, 10, 10, false, false), // then the apply lag
		k("a", 2, 10, 9, false, false),
		k("b", 2, 10, 9, false, false), // then the name
		k("0", 2, 10, 10, false, true), // members to be emptied come last among equals
	}
	for i := range order {
		for j := range order {
			got := m.compareCandidates(order[i], order[j])
			is.Equal(got < 0, i < j)
		}
	}
}

func BenchmarkStatus(b *testing.B) {
	w := newModel(1, 1, 3)
	w.promoters[0].wants = true
	w.run(time.Second)
	m, s, now := w.promoters[0].machine, w.members[1].status(), w.promoters[0].at()
	b.ReportAllocs()
	for b.Loop() {
		m.StatusReceived(s, now)
	}
}
