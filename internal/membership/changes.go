package membership

import (
	"github.com/celerystep/celerystep/internal/instance"
)

// Cause is the reason for a change of a member in the view of one instance.
type Cause string

// Causes of a member change.
const (
	// CauseJoined: the instance added itself at startup.
	CauseJoined Cause = "joined"
	// CauseUpdate: a peer sent the record.
	CauseUpdate Cause = "news"
	// CauseProbeFailed: the direct probe and all indirect probes failed.
	CauseProbeFailed Cause = "probe_failed"
	// CauseSuspectTimeout: a suspicion was not refuted in time.
	CauseSuspectTimeout Cause = "suspect_timeout"
	// CauseRefuted: this instance refuted an incorrect record of itself.
	CauseRefuted Cause = "refuted"
	// CauseListedLeaving: the platform's list changed the instance to leaving.
	CauseListedLeaving Cause = "listed_leaving"
	// CauseNotListed: the instance is unreachable and no longer in the platform's list.
	CauseNotListed Cause = "not_listed"
	// CauseLeaving: this instance is shutting down.
	CauseLeaving Cause = "leaving"
	// CauseStopped: this instance stopped.
	CauseStopped Cause = "stopped"
	// CauseReplaced: a process with the same id was started later.
	CauseReplaced Cause = "replaced"
)

// MemberChange describes a change of a member for logs and the audit trail.
type MemberChange struct {
	ID          instance.ID
	Known       bool
	From        instance.State
	To          instance.State
	Incarnation uint64
	Cause       Cause
	// Source is the instance whose record or observation caused the change.
	Source instance.ID
}

// Changes lists the changes between two calls of Machine.Changes.
type Changes struct {
	// Members is true if a member or its reachability changed; MemberChanges lists changes of state and incarnation.
	Members       bool
	MemberChanges []MemberChange
	Homes         []Home
	Config        bool
	Revocations   []Revocation
	// CutOff is true if this instance became cut off or ceased to be.
	CutOff bool
	// Joined is true if this instance finished joining.
	Joined bool
	// Pauses is the number of detected pauses of this process.
	Pauses int
	// Refutations is the number of incorrect suspicions of this instance that it refuted.
	Refutations int
}

// Empty reports whether no change is visible in a view.
func (c *Changes) Empty() bool {
	return !c.Members && len(c.Homes) == 0 && !c.Config && len(c.Revocations) == 0 && !c.CutOff && !c.Joined
}
