package homes

import (
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Action is what an instance does about the home of a group.
type Action string

// Actions.
const (
	// ActionNothing leaves the group as it is.
	ActionNothing Action = "nothing"
	// ActionClaim claims the group with the next generation.
	ActionClaim Action = "claim"
	// ActionRelease hands the group over to another instance in a planned move.
	ActionRelease Action = "release"
	// ActionDisown announces the group as released, because the record names this instance as owner although its
	// process does not hold the group.
	ActionDisown Action = "disown"
)

// Cause says why an action was chosen.
type Cause string

// Causes of a decision.
const (
	// CauseNoOwner: no instance was ever announced as owner.
	CauseNoOwner Cause = "no_owner"
	// CauseOwnerDead: the owner is dead.
	CauseOwnerDead Cause = "owner_dead"
	// CauseReleased: the owner released the group.
	CauseReleased Cause = "released"
	// CauseOwnRestart: the record names this instance, whose process is a later one.
	CauseOwnRestart Cause = "own_restart"
	// CauseLeaving: this instance is leaving.
	CauseLeaving Cause = "leaving"
	// CauseDomainOut: the failure domain of this instance was taken out.
	CauseDomainOut Cause = "domain_out"
	// CauseYield: this instance does not reach a majority of the group's members.
	CauseYield Cause = "yield"
	// CauseBetterOwner: another instance has been first in the order for StableTime or more.
	CauseBetterOwner Cause = "better_owner"

	// CauseOwnerLive: the owner is not dead and has not released the group.
	CauseOwnerLive Cause = "owner_live"
	// CauseOwnerFirst: this instance owns the group and is first in its order.
	CauseOwnerFirst Cause = "owner_first"
	// CauseSuperseded: another instance announced a claim above the one that this instance holds.
	CauseSuperseded Cause = "superseded"
	// CauseMoved: this instance just moved the group and the new owner's announcement has not arrived.
	CauseMoved Cause = "moved"
	// CauseNotFirst: it is another instance's turn to claim.
	CauseNotFirst Cause = "not_first"
	// CauseNotEligible: this instance is leaving or its failure domain is out.
	CauseNotEligible Cause = "not_eligible"
	// CauseNoCandidate: no instance may be the home.
	CauseNoCandidate Cause = "no_candidate"
	// CauseMayNotClaim: this instance has not joined yet or is cut off.
	CauseMayNotClaim Cause = "may_not_claim"
	// CauseBackoff: an earlier claim or move failed.
	CauseBackoff Cause = "backoff"
	// CauseNotStable: the better owner has not been first for long enough.
	CauseNotStable Cause = "not_stable"
	// CauseMoveLimit: as many moves as allowed are running.
	CauseMoveLimit Cause = "move_limit"
	// CauseBusy: a claim or a move of the group is running.
	CauseBusy Cause = "busy"
	// CauseUnknownGroup: the configuration does not hold the group.
	CauseUnknownGroup Cause = "unknown_group"
)

// Decision is an action with the inputs that led to it, for logs and the audit trail.
type Decision struct {
	Group  upstream.GroupID
	Action Action
	Cause  Cause
	// To is the new owner of a released group.
	To instance.ID
	// Owner, OwnerState, Generation and Released are what the known record says; Owner is empty without a record.
	Owner      instance.ID
	OwnerState instance.State
	Generation uint64
	Released   bool
	// First is the first candidate of the group.
	First instance.ID
	// For is how long the condition behind Cause has held, where time matters.
	For time.Duration
	// RetryIn is the time left of a backoff.
	RetryIn time.Duration
	// Failures counts the failed claims and lost homes in a row.
	Failures int
}

// Fields returns the decision as key-value pairs for a log line.
func (d Decision) Fields() []any {
	return []any{
		"group", d.Group, "action", d.Action, "cause", d.Cause, "to", d.To, "owner", d.Owner,
		"owner_state", d.OwnerState.String(), "generation", d.Generation, "released", d.Released, "first", d.First,
		"for", d.For, "retry_in", d.RetryIn, "failures", d.Failures,
	}
}

// BucketLevel is the level of a customer's token bucket in millionths of a token.
type BucketLevel struct {
	Customer    string
	MicroTokens int64
}

// Handover is what the old home of a group gives to the new one in a planned move. The zero value means an unplanned
// move: buckets start empty.
//
// The receiver must use the levels only when its claim follows Generation directly, that is when no member reports a
// generation above it. Otherwise another home admitted work in between and the levels would count twice.
type Handover struct {
	Group      upstream.GroupID
	From       instance.ID
	Generation uint64
	Buckets    []BucketLevel
	Floor      position.Position
}

// Planned reports whether the handover comes from an old home.
func (h Handover) Planned() bool { return h.Generation > 0 }
