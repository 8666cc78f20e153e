package quorum

import (
	"time"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// AuthorityWindow is how long a home may admit and start work after the send time of the last status round in which a
// majority confirmed its claim (D in the design).
const AuthorityWindow = 500 * time.Millisecond

// RoundInterval is the time between two periodic status rounds.
const RoundInterval = 100 * time.Millisecond

// RoundID numbers the status rounds of a tracker from 1.
type RoundID uint64

// RoundResult says what an answer completed.
type RoundResult struct {
	// IndexReady is true for exactly one answer of a round: the one that completed a majority.
	IndexReady bool
	// Index is the read index when IndexReady is true: the highest log end of the majority. It is at or above every
	// commit acknowledged before the round was sent, and serves every request that joined this round or an earlier one.
	Index position.Position
	// Authority is true when this answer made a majority confirm the claim.
	Authority bool
	// Sampled is true when this answer made the round a sample for data ages.
	Sampled bool
	// Change is the effect of the answer as a status.
	Change Change
}

// NextRound returns the id of the next round to be started. A request that arrives now must wait for the read index of
// this round or a later one, because rounds in flight were sent before it arrived.
func (t *Tracker) NextRound() RoundID { return 0 }

// StartRound opens a status round and returns its id. now must be read before the first status request is sent. The
// oldest of MaxOpenRounds rounds is dropped.
func (t *Tracker) StartRound(now time.Time) RoundID { return 0 }

// Answer records a member's answer to a round, which arrived at now. The answer of a Claim counts as a status. Answers
// to unknown or dropped rounds count as streamed statuses only.
func (t *Tracker) Answer(id RoundID, s *upstream.MemberStatus, now time.Time) RoundResult {
	return RoundResult{}
}

// MaxOpenRounds bounds the rounds that still collect answers.
const MaxOpenRounds = 16

// AuthorityUntil returns the end of the home's confirmed authority: AuthorityWindow after the send time of the latest
// round in which a majority confirmed the claim. It is the zero time without authority.
func (t *Tracker) AuthorityUntil() time.Time { return time.Time{} }

// HasAuthority reports whether the claim is confirmed at now.
func (t *Tracker) HasAuthority(now time.Time) bool { return false }

// FreshAsOf returns the latest moment as of which the member is known to hold all data, and false when there is none.
// For a replica it is the send time of the latest sampled round whose primary log end the replica has applied; for the
// primary it is the send time of the latest sampled round.
func (t *Tracker) FreshAsOf(m upstream.MemberID) (time.Time, bool) { return time.Time{}, false }

// Age returns the age of the member's data at now, and false when it is not known.
func (t *Tracker) Age(m upstream.MemberID, now time.Time) (time.Duration, bool) { return 0, false }
