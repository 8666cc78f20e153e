package router

import (
	"math/rand/v2"
	"time"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Policy bounds the router's choices.
type Policy struct {
	// ReplicaWait is how long a read waits for a replica to reach its floor before it goes to the primary.
	ReplicaWait time.Duration
	// CatchUpAge is the highest data age of a replica that a read waits for.
	CatchUpAge time.Duration
	// PrimaryReserve is the number of the primary's slots that reads never take while a replica is merely busy.
	PrimaryReserve int
	// ExplorePercent is the share of choices that pick an eligible replica at random. It keeps the latency average of
	// a slow replica current, so that a replica that was slow once is not left out for good.
	ExplorePercent int
}

// DefaultPolicy returns the policy of docs/decisions/0002-session-consistency.md.
func DefaultPolicy() Policy {
	return Policy{
		ReplicaWait:    5 * time.Millisecond,
		CatchUpAge:     250 * time.Millisecond,
		PrimaryReserve: 1,
		ExplorePercent: 5,
	}
}

const (
	// latencySpread bounds by how many times a replica's latency may count above the fastest one's, so that a slow
	// replica still gets work when the others are loaded.
	latencySpread = 4
	// similarPercent is the difference in score up to which two replicas count as equal; a random one of them serves.
	similarPercent = 25
	// defaultLatency stands for an average that is not known yet.
	defaultLatency = time.Millisecond
	// waitScoreUnit is the score of waits that always succeed. Waiting is tried while the score is at least a quarter
	// of it, and otherwise in one of waitProbe reads, to find out whether replicas have become faster.
	waitScoreUnit = 1 << 16
	waitScoreStep = 16
	waitProbe     = 16
)

// Router chooses members. It is not safe for concurrent use, because it owns its random source.
type Router struct {
	policy Policy
	random *rand.Rand
	// waitScore is a moving average of how often a wait for a floor ended at a replica.
	waitScore int
}

// New returns a router that draws random numbers from src only, so that equal seeds give equal choices.
func New(p Policy, src rand.Source) *Router {
	return &Router{policy: p, random: rand.New(src), waitScore: waitScoreUnit}
}

// choice is the working state of one Choose call.
type choice struct {
	q   *Request
	c   []Candidate
	now time.Time
	d   Decision
	// primary is the index of the known primary, or -1.
	primary int
	// free, busy, fenced and behind count the replicas with that result. behind counts those worth waiting for.
	free, busy, fenced, behind int
	// fastest is the lowest latency among the free replicas.
	fastest time.Duration
}

// Choose returns the member for the request. It reads at most MaxCandidates candidates and does not keep them.
func (r *Router) Choose(q *Request, c []Candidate, now time.Time) Decision {
	x := choice{q: q, c: c[:min(len(c), MaxCandidates)], now: now, primary: -1}
	x.d.Index = -1
	if q.Kind == KindRead && !q.HasFloor && !q.PrimaryOnly {
		return x.wait(ReasonFloorUnknown, 0)
	}
	for i := range x.c {
		x.check(i, r.policy.CatchUpAge)
	}
	switch {
	case q.Kind == KindWrite:
		return x.toPrimary(ReasonWrite)
	case q.PrimaryOnly:
		return x.toPrimary(ReasonPreferPrimary)
	case q.Preference == PreferPrimary && x.primaryServes():
		return x.toPrimary(ReasonPreferPrimary)
	case x.free > 0:
		r.noteWait(q, true)
		return r.chooseReplica(&x)
	case x.busy > 0:
		return r.allBusy(&x)
	default:
		return r.noReplica(&x)
	}
}

// check sets the verdict on a candidate and counts it.
func (x *choice) check(i int, catchUpAge time.Duration) {
	c := &x.c[i]
	if c.Primary {
		x.primary = i
		x.d.Verdicts[i] = x.checkPrimary(c)
		return
	}
	v := VerdictNotPrimary
	if x.q.Kind == KindRead && !x.q.PrimaryOnly {
		v = x.checkReplica(c)
	}
	x.d.Verdicts[i] = v
	switch v {
	case VerdictEligible:
		x.free++
		x.noteLatency(c)
	case VerdictBusy:
		x.busy++
	case VerdictFenced:
		x.fenced++
	case VerdictBehindFloor:
		if c.worthWaiting(x.now, catchUpAge) {
			x.behind++
		}
	}
}

// worthWaiting reports whether the replica follows and its data was recent, so that it may reach a floor soon.
func (c *Candidate) worthWaiting(now time.Time, catchUpAge time.Duration) bool {
	return c.Status.Role == upstream.RoleReplica && !c.FreshAsOf.IsZero() && now.Sub(c.FreshAsOf) <= catchUpAge
}

func (x *choice) noteLatency(c *Candidate) {
	l := latency(c)
	if x.fastest == 0 || l < x.fastest {
		x.fastest = l
	}
}

func (x *choice) checkPrimary(c *Candidate) Verdict {
	if c.Unreachable {
		return VerdictUnreachable
	}
	if c.Status != nil && c.Status.Role != upstream.RolePrimary {
		return VerdictReplaced
	}
	if x.q.Kind == KindWrite || x.q.PrimaryOnly {
		return VerdictEligible
	}
	if c.Status == nil {
		return VerdictNoStatus
	}
	// The primary of a term wrote every position of it, whatever its last status says.
	if x.q.Floor.Term != c.Status.Term && !contains(c.Status, x.q.Floor) {
		return VerdictBehindFloor
	}
	return x.checkAge(c)
}

func (x *choice) checkReplica(c *Candidate) Verdict {
	switch {
	case c.Unreachable:
		return VerdictUnreachable
	case c.Leaving:
		return VerdictLeaving
	case c.DomainOut:
		return VerdictDomainOut
	case c.Status == nil:
		return VerdictNoStatus
	case c.Status.Role == upstream.RolePrimary:
		return VerdictReplaced
	case !contains(c.Status, x.q.Floor):
		return VerdictBehindFloor
	}
	if v := x.checkAge(c); v != VerdictEligible {
		return v
	}
	switch {
	case c.Status.Role == upstream.RoleFenced:
		return VerdictFenced
	case c.Slots > 0 && c.Running >= c.Slots:
		return VerdictBusy
	default:
		return VerdictEligible
	}
}

func (x *choice) checkAge(c *Candidate) Verdict {
	switch {
	case x.q.MaxAge == 0:
		return VerdictEligible
	case c.FreshAsOf.IsZero():
		return VerdictAgeUnknown
	case x.now.Sub(c.FreshAsOf) > x.q.MaxAge:
		return VerdictTooOld
	default:
		return VerdictEligible
	}
}

// contains reports whether the member has applied the floor. Most often the floor is in the member's last term, which
// needs no search of the history.
func contains(s *upstream.MemberStatus, floor position.Position) bool {
	if s.History.LastTerm() == floor.Term {
		return s.Applied >= floor.LSN
	}
	return s.History.Contains(s.Applied, floor)
}

func (x *choice) primaryServes() bool {
	return x.primary >= 0 && x.d.Verdicts[x.primary] == VerdictEligible
}

func (x *choice) toPrimary(reason Reason) Decision {
	if !x.primaryServes() {
		return x.withoutPrimary()
	}
	x.d.Outcome = OutcomePrimary
	x.d.Index = x.primary
	x.d.Reason = reason
	return x.d
}

func (x *choice) toReplica(i int, reason Reason) Decision {
	x.d.Outcome = OutcomeReplica
	x.d.Index = i
	x.d.Reason = reason
	return x.d
}

func (x *choice) wait(reason Reason, retry time.Duration) Decision {
	x.d.Outcome = OutcomeWait
	x.d.Reason = reason
	x.d.Retry = retry
	return x.d
}

// withoutPrimary decides when the primary would have to serve and cannot.
func (x *choice) withoutPrimary() Decision {
	if x.fenced > 0 {
		return x.toReplica(x.first(VerdictFenced), ReasonFencedReplica)
	}
	if x.primary >= 0 && x.q.MaxAge > 0 {
		v := x.d.Verdicts[x.primary]
		if v == VerdictAgeUnknown || v == VerdictTooOld {
			return x.wait(ReasonAgeUnknown, 0)
		}
	}
	if !x.anyUsable() {
		x.d.Reason = ReasonNoMember
		return x.d
	}
	return x.wait(ReasonPrimaryUnknown, 0)
}

// anyUsable reports whether some member may get work once it is reachable or promoted.
func (x *choice) anyUsable() bool {
	for i := range x.c {
		if x.c[i].Primary || !x.c[i].Leaving && !x.c[i].DomainOut {
			return true
		}
	}
	return false
}

func (x *choice) first(v Verdict) int {
	for i := range x.c {
		if x.d.Verdicts[i] == v {
			return i
		}
	}
	return -1
}

// allBusy decides when replicas could serve but have no slot free.
func (r *Router) allBusy(x *choice) Decision {
	if x.primaryServes() {
		p := &x.c[x.primary]
		if p.Slots == 0 || p.Running+r.policy.PrimaryReserve < p.Slots {
			return x.toPrimary(ReasonReplicasBusy)
		}
	}
	return x.wait(ReasonReplicasBusy, 0)
}

// noReplica decides when no replica may serve now.
func (r *Router) noReplica(x *choice) Decision {
	left := r.policy.ReplicaWait - x.q.Waited
	if x.behind > 0 && left > 0 && (x.q.Waited > 0 || r.worthWaiting()) {
		return x.wait(ReasonFloorNotReached, left)
	}
	r.noteWait(x.q, false)
	return x.toPrimary(ReasonNoReplica)
}

func (r *Router) worthWaiting() bool {
	return r.waitScore >= waitScoreUnit/4 || r.random.IntN(waitProbe) == 0
}

// noteWait learns from the end of a wait whether waiting for a floor pays.
func (r *Router) noteWait(q *Request, served bool) {
	if q.Waited == 0 {
		return
	}
	target := 0
	if served {
		target = waitScoreUnit
	}
	r.waitScore += (target - r.waitScore) / waitScoreStep
}
