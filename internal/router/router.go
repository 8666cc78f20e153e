// Package router selects the member of a database group that serves a read or a write. It has no goroutines, sockets or
// clock reads.
package router

import (
	"time"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// MaxCandidates bounds the number of members that the router considers.
const MaxCandidates = 16

// Candidate is the home's current view of one member.
type Candidate struct {
	Member upstream.MemberID
	// Status is the latest status; nil when there is none.
	Status *upstream.MemberStatus
	// FreshAsOf is the time as of which the member holds all data (quorum.Tracker.FreshAsOf); zero when unknown.
	FreshAsOf time.Time
	// Primary is true for the known primary of the current term.
	Primary bool
	// Unreachable is true while the home cannot use the member: its status stream is broken or timed out, or it
	// refuses connections.
	Unreachable bool
	// Leaving is true for a member that operators are removing.
	Leaving bool
	// DomainOut is true when the member's failure domain is out of service.
	DomainOut bool
	// Running is the number of statements that the home is running on the member, and Slots its limit; 0 Slots means no
	// limit.
	Running int
	Slots   int
	// Idle is the number of idle connections to the member.
	Idle int
	// Latency is the moving average of the statement latency; 0 when unknown.
	Latency time.Duration
	// Ramp is the routing weight in percent, 1 to 100; 0 counts as 100. See RampPercent.
	Ramp int
}

// Kind is the kind of a routing request.
type Kind uint8

// Kinds of routing request.
const (
	// KindWrite must go to the primary.
	KindWrite Kind = iota
	// KindRead may go to any member whose log contains the floor.
	KindRead
)

// Preference selects the members that a read prefers.
type Preference uint8

// Preferences of a read.
const (
	// PreferReplica uses the primary only if no replica can serve. It is the default.
	PreferReplica Preference = iota
	// PreferPrimary uses the primary if it can serve.
	PreferPrimary
)

// Request is a request to route one read or write.
type Request struct {
	Kind       Kind
	Preference Preference
	// Floor is the position that the read must see (session.Resolve); HasFloor is false until the session has one.
	Floor    position.Position
	HasFloor bool
	// PrimaryOnly is true for a session whose acknowledged floor is missing from the log (session.Resolve).
	PrimaryOnly bool
	// MaxAge is the maximum data age that the read accepts; 0 means no limit other than the floor.
	MaxAge time.Duration
	// Waited is how long the read has waited for a replica to reach the floor.
	Waited time.Duration
}

// Outcome is the kind of a decision.
type Outcome uint8

// Outcomes of a decision.
const (
	// OutcomeNone means that no member can serve and waiting would not help.
	OutcomeNone Outcome = iota
	// OutcomeWait means that the caller should call Choose again after the next status, round or Decision.Retry.
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
	// ReasonLeastLoaded: a replica with about the lowest expected completion time was chosen.
	ReasonLeastLoaded
	// ReasonExplore: an eligible replica was chosen at random to keep its latency average current.
	ReasonExplore
	// ReasonOnlyReplica: exactly one replica was eligible.
	ReasonOnlyReplica
	// ReasonWrite: a write goes to the primary.
	ReasonWrite
	// ReasonPreferPrimary: the request prefers or requires the primary.
	ReasonPreferPrimary
	// ReasonRamp: the only eligible replica is ramping up, and the primary takes the remaining share.
	ReasonRamp
	// ReasonNoReplica: no replica was eligible, so the primary serves.
	ReasonNoReplica
	// ReasonFencedReplica: no primary can serve, so a fenced replica whose log contains the floor serves.
	ReasonFencedReplica
	// ReasonReplicasBusy: all suitable replicas have their slots in use. The primary serves if it has slots to spare;
	// otherwise the read waits for a slot.
	ReasonReplicasBusy
	// ReasonFloorUnknown: the read waits for a read index.
	ReasonFloorUnknown
	// ReasonFloorNotReached: the read waits for a replica that is expected to reach the floor soon.
	ReasonFloorNotReached
	// ReasonAgeUnknown: the read waits for a status round, because no member is known to be within the age limit.
	ReasonAgeUnknown
	// ReasonPrimaryUnknown: the request waits for a primary, because a failover is in progress or the home has not
	// discovered the primary yet.
	ReasonPrimaryUnknown
	// ReasonNoMember: the group has no member in service.
	ReasonNoMember
)

// Verdict is the result of the eligibility check of a candidate.
type Verdict uint8

// Verdicts on a candidate.
const (
	// VerdictNone: the candidate was not checked.
	VerdictNone Verdict = iota
	// VerdictEligible: the member may serve the request now.
	VerdictEligible
	// VerdictUnreachable: the home cannot use the member.
	VerdictUnreachable
	// VerdictNoStatus: the member has not reported a status.
	VerdictNoStatus
	// VerdictLeaving: operators are removing the member.
	VerdictLeaving
	// VerdictDomainOut: the member's failure domain is out of service.
	VerdictDomainOut
	// VerdictFenced: the member follows no primary.
	VerdictFenced
	// VerdictReplaced: the member reports itself as primary but is not the known primary, or is the known primary but no
	// longer reports itself as such.
	VerdictReplaced
	// VerdictBehindFloor: the applied log does not contain the floor.
	VerdictBehindFloor
	// VerdictAgeUnknown: the read has an age limit and the age of the member's data is unknown.
	VerdictAgeUnknown
	// VerdictTooOld: the member's data is older than the read accepts.
	VerdictTooOld
	// VerdictBusy: the member is suitable but has all slots in use.
	VerdictBusy
	// VerdictNotPrimary: the request needs the primary.
	VerdictNotPrimary
	// VerdictRamping: the member is ramping up and was excluded from this decision.
	VerdictRamping
)

// Decision is the result of Choose with its explanation.
type Decision struct {
	Outcome Outcome
	// Index is the chosen candidate's index, or -1.
	Index  int
	Reason Reason
	// Retry is the longest time that a waiting read should wait before it calls Choose again; 0 means no limit.
	Retry time.Duration
	// Verdicts holds the verdict on each candidate, by index.
	Verdicts [MaxCandidates]Verdict
}
