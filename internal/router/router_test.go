package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const ms = time.Millisecond

func member(id string, role upstream.Role, term position.Term, applied position.LSN) Candidate {
	return Candidate{
		Member:    upstream.MemberID(id),
		Primary:   role == upstream.RolePrimary,
		FreshAsOf: now.Add(-50 * ms),
		Slots:     3, Idle: 3, Latency: ms,
		Status: &upstream.MemberStatus{Role: role, Term: term, Received: applied, Applied: applied,
			History: position.History{{Term: 1}, {Term: term, Start: 10}}},
	}
}

// group returns the primary a and the replicas b and c, all at position 2/20.
func group() []Candidate {
	return []Candidate{
		member("a", upstream.RolePrimary, 2, 20), member("b", upstream.RoleReplica, 2, 20), member("c", upstream.RoleReplica, 2, 20),
	}
}

func read(lsn position.LSN) Request {
	return Request{Kind: KindRead, HasFloor: true, Floor: position.Position{Term: 2, LSN: lsn}}
}

// Guards against a wrong outcome or reason in each situation that the design lists.
func TestChoose(t *testing.T) {
	replicas := func(f func(*Candidate)) func([]Candidate) {
		return func(c []Candidate) { f(&c[1]); f(&c[2]) }
	}
	all := func(f func(*Candidate)) func([]Candidate) {
		return func(c []Candidate) { f(&c[0]); f(&c[1]); f(&c[2]) }
	}
	behind := replicas(func(c *Candidate) { c.Status.Applied = 19 })
	for _, tc := range []struct {
		name    string
		request func(*Request)
		members func([]Candidate)
		outcome Outcome
		reason  Reason
		member  string
	}{
		{"floor unknown", func(q *Request) { q.HasFloor = false }, nil, OutcomeWait, ReasonFloorUnknown, ""},
		{"write", func(q *Request) { q.Kind = KindWrite }, nil, OutcomePrimary, ReasonWrite, "a"},
		{"write in failover", func(q *Request) { q.Kind = KindWrite }, func(c []Candidate) { c[0].Primary = false }, OutcomeWait, ReasonPrimaryUnknown, ""},
		{"write, primary replaced", func(q *Request) { q.Kind = KindWrite }, func(c []Candidate) { c[0].Status.Role = upstream.RoleFenced }, OutcomeWait, ReasonPrimaryUnknown, ""},
		{"one replica behind", nil, func(c []Candidate) { c[1].Status.Applied = 19 }, OutcomeReplica, ReasonOnlyReplica, "c"},
		{"replicas a little behind", nil, behind, OutcomeWait, ReasonFloorNotReached, ""},
		{"floor beyond the primary's last status", func(q *Request) { q.Floor.LSN, q.Waited = 21, 5*ms }, nil, OutcomePrimary, ReasonNoReplica, "a"},
		{"slow replica while the other is loaded", nil, func(c []Candidate) { c[1].Running, c[1].Slots, c[2].Latency = 5, 9, 100*ms }, OutcomeReplica, ReasonLeastLoaded, "c"},
		{"waited long enough", func(q *Request) { q.Waited = 5 * ms }, behind, OutcomePrimary, ReasonNoReplica, "a"},
		{"replicas far behind", nil, replicas(func(c *Candidate) { c.Status.Applied, c.FreshAsOf = 19, now.Add(-time.Second) }), OutcomePrimary, ReasonNoReplica, "a"},
		{"age unknown at replicas", func(q *Request) { q.MaxAge = 100 * ms }, replicas(func(c *Candidate) { c.FreshAsOf = time.Time{} }), OutcomePrimary, ReasonNoReplica, "a"},
		{"all too old", func(q *Request) { q.MaxAge = 49 * ms }, nil, OutcomeWait, ReasonAgeUnknown, ""},
		{"age at its limit", func(q *Request) { q.MaxAge = 50 * ms }, func(c []Candidate) { c[1].FreshAsOf = now.Add(-51 * ms) }, OutcomeReplica, ReasonOnlyReplica, "c"},
		{"token at fault", func(q *Request) { q.PrimaryOnly = true; q.Floor.LSN = 99 }, nil, OutcomePrimary, ReasonPreferPrimary, "a"},
		{"prefer primary", func(q *Request) { q.Preference = PreferPrimary }, nil, OutcomePrimary, ReasonPreferPrimary, "a"},
		{"prefer primary, cut off", func(q *Request) { q.Preference = PreferPrimary }, func(c []Candidate) { c[0].Unreachable = true; c[1].Leaving = true }, OutcomeReplica, ReasonOnlyReplica, "c"},
		{"replicas busy", nil, replicas(func(c *Candidate) { c.Running = 3 }), OutcomePrimary, ReasonReplicasBusy, "a"},
		{"all busy", nil, all(func(c *Candidate) { c.Running = 3 }), OutcomeWait, ReasonReplicasBusy, ""},
		{"domain out", nil, replicas(func(c *Candidate) { c.DomainOut = true }), OutcomePrimary, ReasonNoReplica, "a"},
		{"failover with a caught-up replica", nil, func(c []Candidate) {
			c[0].Unreachable, c[1].Status.Role, c[2].Status.Role, c[2].Status.Applied = true, upstream.RoleFenced, upstream.RoleFenced, 19
		}, OutcomeReplica, ReasonFencedReplica, "b"},
		{"replaced primary is no replica", nil, func(c []Candidate) { c[0].Primary, c[0].Leaving = false, false; c[1].Leaving = true }, OutcomeReplica, ReasonOnlyReplica, "c"},
		{"everything unreachable", nil, all(func(c *Candidate) { c.Unreachable = true }), OutcomeWait, ReasonPrimaryUnknown, ""},
		{"nothing may work", nil, all(func(c *Candidate) { c.Primary, c.Leaving = false, true }), OutcomeNone, ReasonNoMember, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			q, c := read(20), group()
			if tc.request != nil {
				tc.request(&q)
			}
			if tc.members != nil {
				tc.members(c)
			}
			d := New(DefaultPolicy(), rand.NewPCG(1, 1)).Choose(&q, c, now)
			is.Equal([]any{d.Outcome, d.Reason}, []any{tc.outcome, tc.reason})
			is.Equal(d.Index >= 0, tc.member != "")
			if d.Index >= 0 {
				is.Equal(string(c[d.Index].Member), tc.member)
			}
			is.True(d.Explain(c) != "")
		})
	}
}

// Guards against choosing a member that lacks the floor, exceeds the age limit or is out of service, and against reading
// from the primary although a replica could serve.
func TestChooseMatchesDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(DefaultPolicy(), rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		c := make([]Candidate, rapid.IntRange(0, 5).Draw(t, "members"))
		flag := func(name string) bool { return rapid.IntRange(0, 4).Draw(t, name) == 0 }
		roles := []upstream.Role{upstream.RoleReplica, upstream.RoleReplica, upstream.RoleFenced, upstream.RolePrimary}
		for i := range c {
			c[i] = member(fmt.Sprint(i), rapid.SampledFrom(roles).Draw(t, "role"), position.Term(rapid.IntRange(2, 3).Draw(t, "term")),
				position.LSN(rapid.IntRange(5, 15).Draw(t, "applied")))
			c[i].Primary = i == 0 && flag("primary")
			c[i].Unreachable, c[i].Leaving, c[i].DomainOut = flag("unreachable"), flag("leaving"), flag("out")
			c[i].Running = rapid.IntRange(0, 3).Draw(t, "running")
			c[i].Ramp = rapid.SampledFrom([]int{0, 10, 100}).Draw(t, "ramp")
			c[i].FreshAsOf = now.Add(-time.Duration(rapid.IntRange(0, 3).Draw(t, "age")) * time.Second)
			if flag("age unknown") {
				c[i].FreshAsOf = time.Time{}
			}
			if flag("no status") {
				c[i].Status = nil
			}
		}
		q := Request{Kind: KindRead, HasFloor: true, MaxAge: time.Duration(rapid.IntRange(0, 3).Draw(t, "max age")) * time.Second}
		q.Floor = position.Position{Term: position.Term(rapid.IntRange(1, 3).Draw(t, "floor term")), LSN: position.LSN(rapid.IntRange(5, 15).Draw(t, "floor"))}
		d := r.Choose(&q, c, now)
		var replicas []int
		for i := range c {
			if naiveReplica(&q, &c[i]) {
				replicas = append(replicas, i)
			}
		}
		var ok bool
		switch {
		case d.Outcome == OutcomeReplica && d.Reason == ReasonFencedReplica:
			ok = len(replicas) == 0 && naiveUsable(&q, &c[d.Index])
		case d.Outcome == OutcomeReplica:
			ok = slices.Contains(replicas, d.Index)
		case d.Outcome == OutcomePrimary:
			m := &c[d.Index]
			ownTerm := m.Status != nil && m.Status.Term == q.Floor.Term && naiveAge(&q, m)
			ok = m.Primary && !m.Unreachable && (ownTerm || naiveLog(&q, m)) && (len(replicas) == 0 || d.Reason == ReasonRamp)
		default:
			ok = len(replicas) == 0 && d.Reason != ReasonNone
		}
		if !ok {
			t.Fatalf("index %d, eligible replicas %v: %s", d.Index, replicas, d.Explain(c))
		}
	})
}

func naiveLog(q *Request, c *Candidate) bool {
	return c.Status != nil && c.Status.History.Contains(c.Status.Applied, q.Floor) && naiveAge(q, c)
}

func naiveAge(q *Request, c *Candidate) bool {
	return q.MaxAge == 0 || !c.FreshAsOf.IsZero() && now.Sub(c.FreshAsOf) <= q.MaxAge
}

func naiveUsable(q *Request, c *Candidate) bool {
	return !c.Primary && !c.Unreachable && !c.Leaving && !c.DomainOut && naiveLog(q, c)
}

func naiveReplica(q *Request, c *Candidate) bool {
	return naiveUsable(q, c) && c.Status.Role == upstream.RoleReplica && c.Running < c.Slots
}

// Guards against decisions that differ between runs with the same seed.
func TestChooseIsDeterministic(t *testing.T) {
	is := is.New(t)
	var runs [2][]int
	for run := range runs {
		r := New(DefaultPolicy(), rand.NewPCG(7, 7))
		for range 1000 {
			q := read(20)
			runs[run] = append(runs[run], r.Choose(&q, group(), now).Index)
		}
	}
	is.Equal(runs[0], runs[1])
}

// Guards against a ramping replica that receives more, or much less, than its weight allows.
func TestRampShare(t *testing.T) {
	is := is.New(t)
	is.Equal([]int{RampPercent(-1), RampPercent(0), RampPercent(5 * time.Second), RampPercent(RampDuration)}, []int{10, 10, 55, 100})
	for _, others := range []int{0, 1} { // with the other replica out, the primary takes the rest
		r, n := New(DefaultPolicy(), rand.NewPCG(1, 2)), 0
		for range 10_000 {
			q, c := read(20), group()
			c[1].Ramp = RampFloor
			c[2].Leaving = others == 0
			if r.Choose(&q, c, now).Index == 1 {
				n++
			}
		}
		q, c := read(20), group()
		c[1].Ramp, c[2].Ramp = RampFloor, RampFloor
		for range 100 {
			is.True(r.Choose(&q, c, now).Index > 0) // one replica always remains
		}
		share := float64(n) / 10_000
		is.True(share > 0.03 && share < 0.13)
	}
}

// Guards against waiting again and again for replicas that never reach the floor in time, and against never waiting
// again after they have become faster.
func TestWaitingIsLearned(t *testing.T) {
	is := is.New(t)
	r := New(DefaultPolicy(), rand.NewPCG(1, 3))
	run := func(catchUp bool) int {
		waits := 0
		for range 1000 {
			q, c := read(20), group()
			c[1].Status.Applied, c[2].Status.Applied = 19, 19
			if r.Choose(&q, c, now).Outcome != OutcomeWait {
				continue
			}
			waits++
			q.Waited = DefaultPolicy().ReplicaWait
			if catchUp {
				c[1].Status.Applied = 20
			}
			r.Choose(&q, c, now)
		}
		return waits
	}
	is.Equal(run(true), 1000)
	late := run(false)
	is.True(late < 150 && late > 30)
	is.True(run(true) > 800)
}

// simulate sends reads to replicas whose service times grow with the number of running statements. It returns the 99th
// percentile of the service time and the smallest share of reads that a replica received.
func simulate(replicas int, slow time.Duration, choose func([]Candidate, *rand.Rand) int) (time.Duration, float64) {
	const reads, load = 40_000, 0.4
	random := rand.New(rand.NewPCG(9, uint64(replicas)))
	c := group()[:1]
	for i := range replicas {
		c = append(c, member(fmt.Sprint(i), upstream.RoleReplica, 2, 20))
		c[i+1].Slots, c[i+1].Idle = 1000, 1000
	}
	averages, served, ends := make([]LatencyAverage, len(c)), make([]int, len(c)), make([][]time.Duration, len(c))
	var clock time.Duration
	var times []time.Duration
	for range reads {
		clock += time.Duration(random.ExpFloat64() * float64(ms) / (load * float64(replicas)))
		for i := range c {
			ends[i] = slices.DeleteFunc(ends[i], func(end time.Duration) bool { return end <= clock })
			c[i].Running = len(ends[i])
		}
		i := choose(c, random)
		base := ms
		if i == 1 {
			base = slow
		}
		service := time.Duration((0.5 + random.ExpFloat64()/2) * float64(base) * float64(1+c[i].Running))
		ends[i] = append(ends[i], clock+service)
		averages[i].Add(service)
		c[i].Latency = averages[i].Value()
		times = append(times, service)
		served[i]++
	}
	slices.Sort(times)
	return times[len(times)*99/100], float64(slices.Min(served[1:])) / reads
}

// Guards against starving a replica because it was slow, and against a higher 99th percentile than that of the power of
// two random choices.
func TestLoadSharing(t *testing.T) {
	is := is.New(t)
	for _, replicas := range []int{2, 4} {
		for _, slow := range []time.Duration{ms, 3 * ms} {
			r := New(DefaultPolicy(), rand.NewPCG(5, 5))
			router := func(c []Candidate, _ *rand.Rand) int {
				q := read(20)
				return r.Choose(&q, c, now).Index
			}
			twoChoices := func(c []Candidate, random *rand.Rand) int {
				i, j := 1+random.IntN(len(c)-1), 1+random.IntN(len(c)-1)
				if c[j].Running < c[i].Running {
					return j
				}
				return i
			}
			p99, share := simulate(replicas, slow, router)
			p99Two, shareTwo := simulate(replicas, slow, twoChoices)
			t.Logf("replicas=%d slowest=%v: router p99=%v smallest share=%.3f; two choices p99=%v smallest share=%.3f",
				replicas, slow, p99, share, p99Two, shareTwo)
			is.True(share > 0.01)
			is.True(p99 <= p99Two)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{3, 5} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			c := group()
			for len(c) < n {
				c = append(c, member(fmt.Sprint(len(c)), upstream.RoleReplica, 2, 20))
			}
			r := New(DefaultPolicy(), rand.NewPCG(1, 1))
			q := read(20)
			q.MaxAge = time.Second
			b.ReportAllocs()
			for b.Loop() {
				r.Choose(&q, c, now)
			}
		})
	}
}
