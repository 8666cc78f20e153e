// Package router chooses the member that serves a read or a write. It has no goroutines, sockets or clock reads.
package router

import (
	"math/rand/v2"
	"time"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// MaxCandidates bounds the members of a group that the router considers.
const MaxCandidates = 16

// Candidate is what the home knows of one member at the moment of the choice.
type Candidate struct {
	Member upstream.MemberID
	// Status is the latest status; nil when there is none.
	Status *upstream.MemberStatus
	// FreshAsOf is the moment as of which the member holds all data (quorum.Tracker.FreshAsOf); zero when unknown.
	FreshAsOf time.Time
	// Primary is true for the known primary of the known term.
	Primary bool
	// Unreachable is true while the home cannot use the member: stream broken or silent, or connections refused.
	Unreachable bool
	// Leaving is true for a member that operators are removing.
	Leaving bool
	// DomainOut is true when the member's failure domain is taken out.
	DomainOut bool
	// Running is the number of statements that the home has running on the member, and Slots its limit.
	Running int
	Slots   int
	// Idle is the number of open connections to the member that are free.
	Idle int
	// Latency is the moving average of the statement latency; 0 when unknown.
	Latency time.Duration
	// Ramp is the routing weight in percent, 1 to 100; 0 counts as 100. See RampPercent.
	Ramp int
}

// Kind says what is to be routed.
type Kind uint8

// Kinds of routing request.
const (
	// KindWrite must go to the primary.
	KindWrite Kind = iota
	// KindRead may go to any member whose log contains the floor.
	KindRead
)

// Preference says which members a read prefers.
type Preference uint8

// Preferences of a read.
const (
	// PreferReplica uses the primary only when no replica can serve. It is the default.
	PreferReplica Preference = iota
	// PreferPrimary uses the primary when it can serve.
	PreferPrimary
)

// Request is one choice to make.
type Request struct {
	Kind       Kind
	Preference Preference
	// Floor is the resolved floor (session.Resolve); HasFloor is false until the session knows one.
	Floor    position.Position
	HasFloor bool
	// PrimaryOnly is true for a session whose token is at fault.
	PrimaryOnly bool
	// MaxAge is the data age that the read accepts; 0 means no limit other than the floor.
	MaxAge time.Duration
	// Waited is how long the read has waited for a replica to reach the floor.
	Waited time.Duration
}

// Outcome is the kind of a decision.
type Outcome uint8

// Outcomes of a choice.
const (
	// OutcomeNone means that no member can serve and waiting for a replica would not help.
	OutcomeNone Outcome = iota
	// OutcomeWait means that the caller should choose again after the next status, round or Decision.Retry.
	OutcomeWait
	// OutcomeReplica means that Decision.Index serves as a replica.
	OutcomeReplica
	// OutcomePrimary means that Decision.Index serves as the primary.
	OutcomePrimary
)

// Reason explains a decision.
type Reason uint8

// Reasons of a decision.
const (
	// ReasonNone is the zero value and never returned by Choose.
	ReasonNone Reason = iota
	// ReasonLeastLoaded: the replica with the lowest expected wait was chosen.
	ReasonLeastLoaded
	// ReasonExplore: an eligible replica was chosen at random to keep its latency average current.
	ReasonExplore
	// ReasonOnlyReplica: exactly one replica was eligible.
	ReasonOnlyReplica
	// ReasonWrite: a write goes to the primary.
	ReasonWrite
	// ReasonPreferPrimary: the request prefers or requires the primary.
	ReasonPreferPrimary
	// ReasonNoReplica: no replica was eligible, so the primary serves.
	ReasonNoReplica
	// ReasonReplicasBusy: all eligible replicas are at their slots and the primary has slots to spare.
	ReasonReplicasBusy
	// ReasonFloorUnknown: wait for a read index.
	ReasonFloorUnknown
	// ReasonFloorNotReached: wait for a replica that is about to reach the floor.
	ReasonFloorNotReached
	// ReasonAgeUnknown: wait for a status round, because no member has a known age within the limit.
	ReasonAgeUnknown
	// ReasonPrimaryUnknown: wait for a primary; a failover is under way or no home has learned the primary yet.
	ReasonPrimaryUnknown
	// ReasonNoMember: the group has no member that may get work.
	ReasonNoMember
)

// String returns the name used in logs and audit records.
func (r Reason) String() string { return "" }

// Verdict says why a candidate was or was not eligible.
type Verdict uint8

// Verdicts on a candidate.
const (
	VerdictNone Verdict = iota
	VerdictEligible
	VerdictUnreachable
	VerdictNoStatus
	VerdictLeaving
	VerdictDomainOut
	VerdictFenced
	VerdictBehindFloor
	VerdictAgeUnknown
	VerdictTooOld
	VerdictBusy
	VerdictNotPrimary
)

// String returns the name used in logs and audit records.
func (v Verdict) String() string { return "" }

// Decision is the result of a choice with its explanation.
type Decision struct {
	Outcome Outcome
	// Index is the chosen candidate's index, or -1.
	Index  int
	Reason Reason
	// Retry is the time after which a waiting read should choose again at the latest.
	Retry time.Duration
	// Verdicts holds the verdict on each candidate, by index.
	Verdicts [MaxCandidates]Verdict
}

// Explain formats the decision as key=value pairs for logs and the audit trail.
func (d *Decision) Explain(c []Candidate) string { return "" }

// Policy bounds the router's choices.
type Policy struct {
	// ReplicaWait is how long a read waits for a replica to reach its floor before it goes to the primary.
	ReplicaWait time.Duration
	// PrimaryReserve is the number of the primary's slots that reads never take while a replica is merely busy.
	PrimaryReserve int
	// ExplorePercent is the share of choices that pick an eligible replica at random.
	ExplorePercent int
}

// DefaultPolicy returns the policy of docs/decisions/0002-session-consistency.md.
func DefaultPolicy() Policy { return Policy{} }

// Router chooses members. It is not safe for concurrent use, because it owns its random source.
type Router struct{}

// New returns a router that draws random numbers from src only, so that equal seeds give equal choices.
func New(p Policy, src rand.Source) *Router { return &Router{} }

// Choose returns the member for the request. It reads at most MaxCandidates candidates and does not keep them.
func (r *Router) Choose(q *Request, c []Candidate, now time.Time) Decision { return Decision{} }

// RampDuration is the time over which a returning member's weight grows from RampFloor to 100 percent.
const RampDuration = 10 * time.Second

// RampFloor is the weight in percent with which a returning member starts.
const RampFloor = 10

// RampPercent returns the weight of a member that returned the given time ago.
func RampPercent(since time.Duration) int { return 100 }

// LatencyAverage is an exponential moving average of statement latencies. The zero value is ready for use.
type LatencyAverage struct{}

// Add records one latency.
func (a *LatencyAverage) Add(d time.Duration) {}

// Value returns the average, or 0 before the first Add.
func (a *LatencyAverage) Value() time.Duration { return 0 }
