// Package quorum tracks what the members of one database group report and derives from it which commits may be
// acknowledged, the read index, the home's authority, the known primary and the age of each member's data.
//
// A Tracker has no goroutines, sockets or clock reads and is not safe for concurrent use. All times are readings of the
// home's monotonic clock.
package quorum

import (
	"time"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Tracker holds the latest status of each member of one group.
type Tracker struct{}

// Change tells the caller of Observe which derived facts moved, so that it wakes only the waiters concerned.
type Change struct {
	// Acknowledged is true when Acknowledged() advanced.
	Acknowledged bool
	// Primary is true when Primary() returns another member or term than before.
	Primary bool
	// Applied is true when the member's applied position advanced.
	Applied bool
	// Regressed is true when the status carries a lower term than the member reported before. It is then a late
	// answer or the member lost its durable state, and the tracker ignores it.
	Regressed bool
	// Unknown is true when the member does not belong to the group; the tracker ignores the status.
	Unknown bool
}

// New returns a tracker for a group with the given members.
func New(members []upstream.MemberID) *Tracker { return &Tracker{} }

// SetMembers changes the group's members. What is known of members that stay is kept; open rounds are dropped.
// At most one member may be exchanged at a time, so that majorities before and after share a member.
func (t *Tracker) SetMembers(members []upstream.MemberID) {}

// SetClaim sets the claim whose confirmation by a majority gives the home authority. It ends the authority that an
// earlier claim had.
func (t *Tracker) SetClaim(c upstream.Claim) {}

// Observe records a status that a member streamed and that arrived at now. The tracker keeps s.History, which must not
// change afterwards.
func (t *Tracker) Observe(s *upstream.MemberStatus, now time.Time) Change { return Change{} }

// Received reports whether a majority of the members have reported a log whose last term is p.Term and that reaches
// p.LSN, so that a commit at p may be acknowledged. It is false for every term before the one of Acknowledged.
func (t *Tracker) Received(p position.Position) bool { return false }

// Acknowledged returns the highest position for which Received is true. It never goes back.
func (t *Tracker) Acknowledged() position.Position { return position.Position{} }

// Primary returns the member that leads in the highest term seen, and that term. It returns false while no primary is
// known or after a majority reported a higher term.
func (t *Tracker) Primary() (upstream.MemberID, position.Term, bool) { return "", 0, false }

// History returns the history of the log with the latest end seen. The caller must not change it. Positions that were
// never acknowledged are clamped with it.
func (t *Tracker) History() position.History { return nil }

// Status returns the latest status of the member and when it arrived; nil when there is none.
func (t *Tracker) Status(m upstream.MemberID) (*upstream.MemberStatus, time.Time) {
	return nil, time.Time{}
}

// Staleness returns the time since the member's latest status arrived, and false when there was none.
func (t *Tracker) Staleness(m upstream.MemberID, now time.Time) (time.Duration, bool) {
	return 0, false
}

// NextGeneration returns the generation for a new claim: one above the highest that any member reported. It returns
// false until a majority of members have reported.
func (t *Tracker) NextGeneration() (uint64, bool) { return 0, false }
