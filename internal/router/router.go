// Package router chooses the member that serves a read or a write. It has no goroutines, sockets or clock reads.
package router

import (
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
	// ReasonRamp: the only eligible replica has just returned, and the primary takes the share beyond its ramp.
	ReasonRamp
	// ReasonNoReplica: no replica was eligible, so the primary serves.
	ReasonNoReplica
	// ReasonFencedReplica: no primary can serve, and a fenced replica whose log contains the floor does.
	ReasonFencedReplica
	// ReasonReplicasBusy: all eligible replicas are at their slots. The primary serves when it has slots to spare;
	// otherwise the read waits for a slot.
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

// Verdict says why a candidate was or was not eligible.
type Verdict uint8

// Verdicts on a candidate.
const (
	// VerdictNone: the candidate was not looked at.
	VerdictNone Verdict = iota
	// VerdictEligible: the member may serve the request now.
	VerdictEligible
	// VerdictUnreachable: the home cannot use the member.
	VerdictUnreachable
	// VerdictNoStatus: the member has not reported its log.
	VerdictNoStatus
	// VerdictLeaving: operators are removing the member.
	VerdictLeaving
	// VerdictDomainOut: the member's failure domain is taken out.
	VerdictDomainOut
	// VerdictFenced: the member follows no primary.
	VerdictFenced
	// VerdictReplaced: the member believes to lead, but is not the known primary.
	VerdictReplaced
	// VerdictBehindFloor: the applied log does not contain the floor.
	VerdictBehindFloor
	// VerdictAgeUnknown: the read states an age and the age of the member's data is not known.
	VerdictAgeUnknown
	// VerdictTooOld: the member's data is older than the read accepts.
	VerdictTooOld
	// VerdictBusy: the member would be eligible but has all slots in use.
	VerdictBusy
	// VerdictNotPrimary: the request needs the primary.
	VerdictNotPrimary
	// VerdictRamping: the member returned lately and takes no part in this choice.
	VerdictRamping
)

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
