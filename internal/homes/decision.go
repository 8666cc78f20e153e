package homes

import (
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Action is an action of an instance on the home of a group.
type Action string

// Actions.
const (
	// ActionNothing changes nothing.
	ActionNothing Action = "nothing"
	// ActionClaim claims the group with the next generation.
	ActionClaim Action = "claim"
	// ActionRelease hands the group over to another instance in a planned move.
	ActionRelease Action = "release"
	// ActionDisown announces the group as released, because its record names this instance as the owner although this
	// process is not the home.
	ActionDisown Action = "disown"
)

// Cause is the reason for a decision.
type Cause string

// Causes of decisions. The first block leads to an action; the second explains why there is none.
const (
	// CauseNoOwner: no owner was ever announced.
	CauseNoOwner Cause = "no_owner"
	// CauseOwnerDead: the owner is dead.
	CauseOwnerDead Cause = "owner_dead"
	// CauseReleased: the owner released the group.
	CauseReleased Cause = "released"
	// CauseOwnRestart: the record names this instance, which has restarted since.
	CauseOwnRestart Cause = "own_restart"
	// CauseLeaving: this instance is leaving.
	CauseLeaving Cause = "leaving"
	// CauseDomainOut: the failure domain of this instance is taken out.
	CauseDomainOut Cause = "domain_out"
	// CauseYield: this instance cannot reach a majority of the group's members.
	CauseYield Cause = "yield"
	// CauseBetterOwner: another instance has been the first candidate for at least StableTime.
	CauseBetterOwner Cause = "better_owner"

	// CauseOwnerLive: the owner is not dead and has not released the group.
	CauseOwnerLive Cause = "owner_live"
	// CauseOwnerFirst: this instance owns the group and is its first candidate.
	CauseOwnerFirst Cause = "owner_first"
	// CauseSuperseded: another instance announced a newer claim of a group that this instance owns.
	CauseSuperseded Cause = "superseded"
	// CauseMoved: this instance has just moved the group, and the new owner's announcement has not arrived yet.
	CauseMoved Cause = "moved"
	// CauseNotFirst: it is another instance's turn to claim the group.
	CauseNotFirst Cause = "not_first"
	// CauseNotEligible: this instance is not a candidate, or yielded the group recently.
	CauseNotEligible Cause = "not_eligible"
	// CauseNoCandidate: the home must move, but no other candidate accepts it.
	CauseNoCandidate Cause = "no_candidate"
	// CauseMayNotClaim: this instance has not joined yet, is isolated or has just lost contact with most peers.
	CauseMayNotClaim Cause = "may_not_claim"
	// CauseBackoff: an earlier claim or move failed, and its backoff has not expired.
	CauseBackoff Cause = "backoff"
	// CauseNotStable: the better owner has not been the first candidate for long enough.
	CauseNotStable Cause = "not_stable"
	// CauseMoveLimit: the maximum number of concurrent claims or moves is running.
	CauseMoveLimit Cause = "move_limit"
	// CauseBusy: a claim or move of the group is already running.
	CauseBusy Cause = "busy"
	// CauseUnknownGroup: the group is not in the configuration.
	CauseUnknownGroup Cause = "unknown_group"
)

// Decision is an action and the inputs that led to it, for logs and the audit trail.
type Decision struct {
	Group  upstream.GroupID
	Action Action
	Cause  Cause
	// To is the new owner of a released group.
	To instance.ID
	// Owner, OwnerState, Generation and Released describe the group's home record. Owner is empty if there is none.
	Owner      instance.ID
	OwnerState instance.State
	Generation uint64
	Released   bool
	// First is the first candidate of the group.
	First instance.ID
	// For is how long the condition for Cause has held, for causes that depend on time.
	For time.Duration
	// RetryIn is the remaining backoff.
	RetryIn time.Duration
	// Failures is the number of consecutive failed claims and lost homes.
	Failures int
}

// Fields returns the decision as key-value pairs for a log entry.
func (d Decision) Fields() []any {
	return []any{
		"group", d.Group, "action", d.Action, "cause", d.Cause, "to", d.To, "owner", d.Owner,
		"owner_state", d.OwnerState.String(), "generation", d.Generation, "released", d.Released, "first", d.First,
		"for", d.For, "retry_in", d.RetryIn, "failures", d.Failures,
	}
}

// BucketLevel is the level of a customer's token bucket, in millionths of a token.
type BucketLevel struct {
	Customer    string
	MicroTokens int64
}

// Handover is the state that the old home of a group passes to the new one in a planned move. The zero value stands for
// an unplanned move, after which buckets start empty.
//
// The receiver may use the levels only if its claim directly follows Generation, that is, if no member reports a higher
// generation. Otherwise, another home may have admitted work in between, and the same tokens would be used twice.
type Handover struct {
	Group      upstream.GroupID
	From       instance.ID
	Generation uint64
	Buckets    []BucketLevel
	Floor      position.Position
}

// Planned reports whether the handover comes from a previous home.
func (h Handover) Planned() bool { return h.Generation > 0 }
