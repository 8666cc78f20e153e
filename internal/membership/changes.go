package membership

import (
	"github.com/celerystep/celerystep/internal/instance"
)

// Cause says why the state of a member changed in the view of one instance.
type Cause string

// Causes of a change.
const (
	// CauseJoined: the instance itself was added at its start.
	CauseJoined Cause = "joined"
	// CauseUpdate: a peer sent the record.
	CauseUpdate Cause = "news"
	// CauseProbeFailed: a direct probe and the indirect ones got no answer.
	CauseProbeFailed Cause = "probe_failed"
	// CauseSuspectTimeout: a suspicion was not refuted in time.
	CauseSuspectTimeout Cause = "suspect_timeout"
	// CauseRefuted: this instance refuted news about itself.
	CauseRefuted Cause = "refuted"
	// CauseListedLeaving: the platform's list changed the instance to leaving.
	CauseListedLeaving Cause = "listed_leaving"
	// CauseNotListed: the instance cannot be reached and the platform's list no longer shows it.
	CauseNotListed Cause = "not_listed"
	// CauseLeaving: this instance is shutting down.
	CauseLeaving Cause = "leaving"
	// CauseStopped: this instance ended.
	CauseStopped Cause = "stopped"
	// CauseReplaced: a process with the same id was started later.
	CauseReplaced Cause = "replaced"
)

// MemberChange explains one change of a member for logs and the audit trail.
type MemberChange struct {
	ID          instance.ID
	Known       bool
	From        instance.State
	To          instance.State
	Incarnation uint64
	Cause       Cause
	// Source is the instance that the cause came from.
	Source instance.ID
}

// Changes lists what changed between two calls of Machine.Changes.
type Changes struct {
	// Members is true when a member or its reachability changed; MemberChanges explains changes of state.
	Members       bool
	MemberChanges []MemberChange
	Homes         []Home
	Config        bool
	Revocations   []Revocation
	// CutOff is true when the decision whether this instance is cut off changed.
	CutOff bool
	// Joined is true when this instance finished joining.
	Joined bool
	// Pauses counts the pauses of this process that were detected.
	Pauses int
	// Refutations counts the wrong suspicions of this instance that it refuted.
	Refutations int
}

// Empty reports whether nothing changed that a view shows.
func (c *Changes) Empty() bool {
	return !c.Members && len(c.Homes) == 0 && !c.Config && len(c.Revocations) == 0 && !c.CutOff && !c.Joined
}
