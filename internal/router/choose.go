package router

import (
	"math/rand/v2"
	"time"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Policy holds the parameters of the routing decisions.
type Policy struct {
	// ReplicaWait is how long a read waits for a replica to reach its floor before it is routed to the primary.
	ReplicaWait time.Duration
	// CatchUpAge is the maximum data age of a replica for which a read waits.
	CatchUpAge time.Duration
	// PrimaryReserve is the number of slots on the primary that are kept free of reads while replicas are only busy or
	// ramping.
	PrimaryReserve int
	// ExplorePercent is the share of decisions that pick an eligible replica at random. It keeps the latency average of
	// a slow replica current, so that a replica that was slow once is not excluded permanently.
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
	// latencySpread caps a replica's latency in the score at this multiple of the fastest replica's, so that a slow
	// replica still receives reads when the others are loaded.
	latencySpread = 4
	// similarPercent is the difference in score up to which replicas count as equal; one of them is picked at random.
	similarPercent = 25
	// defaultLatency is used until a latency average is known.
	defaultLatency = time.Millisecond
	// waitScoreUnit is the score when every wait succeeds. Reads wait while the score is at least a quarter of it.
	// Below that, one in waitProbeInterval reads still waits, to detect when replicas catch up faster again.
	waitScoreUnit      = 1 << 16
	waitScoreSmoothing = 16
	waitProbeInterval  = 16
)

// Router selects members for reads and writes. It is not safe for concurrent use, because it owns its random source.
type Router struct {
	policy Policy
	random *rand.Rand
	// waitScore is an exponential moving average of the share of waits for a floor that ended at a replica.
	waitScore int
}

// New returns a router that uses src as its only random source, so that equal seeds give equal decisions.
func New(p Policy, src rand.Source) *Router {
	return &Router{policy: p, random: rand.New(src), waitScore: waitScoreUnit}
}

// choice is the state of one Choose call.
type choice struct {
	request  *Request
	c        []Candidate
	now      time.Time
	decision Decision
	// primary is the index of the known primary, or -1.
	primary int
	// eligible, busy and fenced count the replicas with that verdict, and behind those behind the floor that are worth
	// waiting for.
	eligible, busy, fenced, behind int
	// fastest is the lowest latency among the eligible replicas.
	fastest time.Duration
}

// Choose selects the member for the request. It considers at most MaxCandidates candidates and does not retain them.
func (r *Router) Choose(request *Request, c []Candidate, now time.Time) Decision {
	x := choice{request: request, c: c[:min(len(c), MaxCandidates)], now: now, primary: -1}
	x.decision.Index = -1
	if request.Kind == KindRead && !request.HasFloor && !request.PrimaryOnly {
		return x.wait(ReasonFloorUnknown, 0)
	}
	for i := range x.c {
		x.checkCandidate(i, r.policy.CatchUpAge)
	}
	switch {
	case request.Kind == KindWrite:
		return x.toPrimary(ReasonWrite)
	case request.PrimaryOnly:
		return x.toPrimary(ReasonPreferPrimary)
	case request.Preference == PreferPrimary && x.primaryServes():
		return x.toPrimary(ReasonPreferPrimary)
	case x.eligible > 0:
		r.recordWait(request, true)
		return r.chooseReplica(&x)
	case x.busy > 0:
		return r.allBusy(&x)
	default:
		return r.noEligibleReplica(&x)
	}
}

// checkCandidate sets the verdict on a candidate and counts it.
func (x *choice) checkCandidate(i int, catchUpAge time.Duration) {
	c := &x.c[i]
	if c.Primary {
		x.primary = i
		x.decision.Verdicts[i] = x.checkPrimary(c)
		return
	}
	v := VerdictNotPrimary
	if x.request.Kind == KindRead && !x.request.PrimaryOnly {
		v = x.checkReplica(c)
	}
	x.decision.Verdicts[i] = v
	switch v {
	case VerdictEligible:
		x.eligible++
		x.recordLatency(c)
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

// worthWaiting reports whether the replica follows a primary and its data is recent, so that it may soon reach the floor.
func (c *Candidate) worthWaiting(now time.Time, catchUpAge time.Duration) bool {
	return c.Status.Role == upstream.RoleReplica && !c.FreshAsOf.IsZero() && now.Sub(c.FreshAsOf) <= catchUpAge
}

func (x *choice) recordLatency(c *Candidate) {
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
	if x.request.Kind == KindWrite || x.request.PrimaryOnly {
		return VerdictEligible
	}
	if c.Status == nil {
		return VerdictNoStatus
	}
	// The primary holds every position of its own term, even beyond its last status.
	if x.request.Floor.Term != c.Status.Term && !contains(c.Status, x.request.Floor) {
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
	case !contains(c.Status, x.request.Floor):
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
	case x.request.MaxAge == 0:
		return VerdictEligible
	case c.FreshAsOf.IsZero():
		return VerdictAgeUnknown
	case x.now.Sub(c.FreshAsOf) > x.request.MaxAge:
		return VerdictTooOld
	default:
		return VerdictEligible
	}
}

// contains reports whether the member has applied the floor. The fast path for a floor in the member's last term avoids
// searching the history.
func contains(s *upstream.MemberStatus, floor position.Position) bool {
	if s.History.LastTerm() == floor.Term {
		return s.Applied >= floor.LSN
	}
	return s.History.Contains(s.Applied, floor)
}

func (x *choice) primaryServes() bool {
	return x.primary >= 0 && x.decision.Verdicts[x.primary] == VerdictEligible
}

func (x *choice) toPrimary(reason Reason) Decision {
	if !x.primaryServes() {
		return x.withoutPrimary()
	}
	x.decision.Outcome = OutcomePrimary
	x.decision.Index = x.primary
	x.decision.Reason = reason
	return x.decision
}

func (x *choice) toReplica(i int, reason Reason) Decision {
	x.decision.Outcome = OutcomeReplica
	x.decision.Index = i
	x.decision.Reason = reason
	return x.decision
}

func (x *choice) wait(reason Reason, retry time.Duration) Decision {
	x.decision.Outcome = OutcomeWait
	x.decision.Reason = reason
	x.decision.Retry = retry
	return x.decision
}

// withoutPrimary decides when the request needs the primary and the primary cannot serve.
func (x *choice) withoutPrimary() Decision {
	if x.fenced > 0 {
		return x.toReplica(x.firstWith(VerdictFenced), ReasonFencedReplica)
	}
	if x.primary >= 0 && x.request.MaxAge > 0 {
		v := x.decision.Verdicts[x.primary]
		if v == VerdictAgeUnknown || v == VerdictTooOld {
			return x.wait(ReasonAgeUnknown, 0)
		}
	}
	if !x.anyServiceable() {
		x.decision.Reason = ReasonNoMember
		return x.decision
	}
	return x.wait(ReasonPrimaryUnknown, 0)
}

// anyServiceable reports whether any member may be routed to once it is reachable or promoted.
func (x *choice) anyServiceable() bool {
	for i := range x.c {
		if x.c[i].Primary || !x.c[i].Leaving && !x.c[i].DomainOut {
			return true
		}
	}
	return false
}

func (x *choice) firstWith(v Verdict) int {
	for i := range x.c {
		if x.decision.Verdicts[i] == v {
			return i
		}
	}
	return -1
}

// allBusy decides when replicas could serve but have no free slot.
func (r *Router) allBusy(x *choice) Decision {
	if x.primaryServes() {
		p := &x.c[x.primary]
		if p.Slots == 0 || p.Running+r.policy.PrimaryReserve < p.Slots {
			return x.toPrimary(ReasonReplicasBusy)
		}
	}
	return x.wait(ReasonReplicasBusy, 0)
}

// noEligibleReplica decides when no replica is eligible or busy.
func (r *Router) noEligibleReplica(x *choice) Decision {
	left := r.policy.ReplicaWait - x.request.Waited
	if x.behind > 0 && left > 0 && (x.request.Waited > 0 || r.worthWaiting()) {
		return x.wait(ReasonFloorNotReached, left)
	}
	r.recordWait(x.request, false)
	return x.toPrimary(ReasonNoReplica)
}

func (r *Router) worthWaiting() bool {
	return r.waitScore >= waitScoreUnit/4 || r.random.IntN(waitProbeInterval) == 0
}

// recordWait updates waitScore with the outcome of a wait for a floor.
func (r *Router) recordWait(q *Request, served bool) {
	if q.Waited == 0 {
		return
	}
	target := 0
	if served {
		target = waitScoreUnit
	}
	r.waitScore += (target - r.waitScore) / waitScoreSmoothing
}
