package failover

import (
	"time"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Cause is the reason for an action of the machine.
type Cause string

// Causes of actions.
const (
	CauseStart            Cause = "start"
	CauseStopped          Cause = "stopped"
	CauseNoPrimary        Cause = "no_primary"
	CausePrimaryRefused   Cause = "primary_refused_connection"
	CausePrimarySilent    Cause = "primary_silent"
	CausePrimaryIsolated  Cause = "primary_cut_off_from_replicas"
	CausePrimaryRecovered Cause = "primary_heard_again"
	CauseHomePartitioned  Cause = "home_cut_off_from_primary"
	CauseNoMajority       Cause = "no_majority_reachable"
	CauseClaimLost        Cause = "claim_lost"
	CauseStaleTerm        Cause = "stale_term"
	CauseStepTimeout      Cause = "step_timed_out"
	CauseOtherPromoter    Cause = "other_promoter"
	CauseMemberClaimed    Cause = "member_claimed_by_another_home"
	CauseMemberFenced     Cause = "member_fenced_beyond_primary"
	CauseTwoPrimaries     Cause = "two_primaries_in_one_term"
	CauseOperator         Cause = "operator"
	CauseDomainOut        Cause = "failure_domain_out"
	CauseMemberLeaving    Cause = "member_leaving"
	CauseNotDrained       Cause = "writes_not_drained"
	CauseNotCaughtUp      Cause = "replica_not_caught_up"
	CauseNoTarget         Cause = "no_eligible_replica"
	CauseSuperseded       Cause = "superseded_by_failover"
	CauseConfigChanged    Cause = "configuration_changed"
)

// Step is the stage of the state machine that produced an explanation.
type Step string

// Steps of the state machine.
const (
	StepClaim      Step = "claim"
	StepLearn      Step = "learn"
	StepDetect     Step = "detect"
	StepHold       Step = "hold"
	StepFence      Step = "fence"
	StepChoose     Step = "choose"
	StepPromote    Step = "promote"
	StepFollow     Step = "follow"
	StepAnnounce   Step = "announce"
	StepBackoff    Step = "backoff"
	StepRelease    Step = "release"
	StepSwitchover Step = "switchover"
)

// MemberInput is the state of a member as known to the machine when it made a decision.
type MemberInput struct {
	Member         upstream.MemberID `json:"member"`
	Known          bool              `json:"known"`
	Role           upstream.Role     `json:"role,omitempty"`
	Term           position.Term     `json:"term,omitempty"`
	LogEnd         position.Position `json:"log_end"`
	Applied        position.LSN      `json:"applied,omitempty"`
	PrimarySilence time.Duration     `json:"primary_silence_ns,omitempty"`
	// StatusAge is the time since the member's last status arrived.
	StatusAge time.Duration `json:"status_age_ns,omitempty"`
	// Unreachable is true while the status stream of the member is broken or its latest probe failed.
	Unreachable bool `json:"unreachable,omitempty"`
	Leaving     bool `json:"leaving,omitempty"`
	DomainOut   bool `json:"domain_out,omitempty"`
}

// Explanation describes one decision of the machine for the audit trail.
type Explanation struct {
	Time  time.Time        `json:"time"`
	Group upstream.GroupID `json:"group"`
	Step  Step             `json:"step"`
	Cause Cause            `json:"cause"`
	// Term is the term of the running attempt or else of the known primary; 0 when there is none.
	Term       position.Term     `json:"term,omitempty"`
	Generation uint64            `json:"generation,omitempty"`
	Member     upstream.MemberID `json:"member,omitempty"`
	// Operator is the operator who requested the switchover, if any.
	Operator string `json:"operator,omitempty"`
	// Text states the decision and its reason in one sentence.
	Text   string        `json:"text"`
	Inputs []MemberInput `json:"inputs,omitempty"`
}
