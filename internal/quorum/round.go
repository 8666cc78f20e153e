package quorum

import (
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/mutation"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// AuthorityWindow is the duration of the home's authority lease: how long a home may admit and start work after the send
// time of the last status round in which a majority confirmed its claim (D in the design).
const AuthorityWindow = 500 * time.Millisecond

// RoundInterval is the interval of periodic status rounds.
const RoundInterval = 100 * time.Millisecond

// MaxOpenRounds bounds the rounds in flight.
const MaxOpenRounds = 16

// RoundID numbers the status rounds of a tracker from 1.
type RoundID uint64

// round is a status request to all members with their answers.
type round struct {
	id       RoundID
	sent     time.Time
	answers  []answer
	answered int
	// confirmed and sampled are set by the answer that completes the required majority.
	confirmed bool
	sampled   bool
}

// answer is the part of a member's status that a round uses.
type answer struct {
	received bool
	end      position.Position
	term     position.Term
	primary  bool
	claim    upstream.Claim
}

// RoundResult is the effect of an answer on its round.
type RoundResult struct {
	// IndexReady is true for the one answer that completes a majority of the round.
	IndexReady bool
	// Index is the read index when IndexReady is true: the highest log end of the majority. It is at or above every
	// commit acknowledged before the round was sent, and is valid for every request that joined this round or an
	// earlier one.
	Index position.Position
	// Authority is true when this answer completed a majority that confirms the claim.
	Authority bool
	// Sampled is true when this answer turned the round into a sample for data ages.
	Sampled bool
	// Change is the effect of the answer on the tracker, as for a streamed status.
	Change Change
}

// NextRound returns the id of the next round. A request that arrives now must wait for the read index of this round or a
// later one, because rounds in flight were sent before the request arrived.
func (t *Tracker) NextRound() RoundID { return t.lastRound + 1 }

// StartRound starts a status round and returns its id. now must be read before the first status request is sent. The
// round started MaxOpenRounds rounds earlier is dropped.
func (t *Tracker) StartRound(now time.Time) RoundID {
	t.lastRound++
	r := t.slot(t.lastRound)
	clear(r.answers)
	*r = round{id: t.lastRound, sent: now, answers: r.answers}
	return r.id
}

func (t *Tracker) slot(id RoundID) *round { return &t.rounds[id%MaxOpenRounds] }

// Answer records a member's answer to a round, which arrived at now. The answer to a claim request counts as a status.
// Answers to unknown or dropped rounds are treated as streamed statuses. The tracker keeps s, which must not change
// afterwards.
func (t *Tracker) Answer(id RoundID, s *upstream.MemberStatus, now time.Time) RoundResult {
	i := findMember(t.members, s.Member)
	if i == noMember {
		return RoundResult{Change: Change{Unknown: true}}
	}
	res := RoundResult{Change: t.observe(i, s, now)}
	r := t.slot(id)
	if id == 0 || r.id != id || r.answers[i].received {
		return res
	}
	r.answers[i] = answerOf(s)
	r.answered++
	if r.answered == t.majority() {
		res.IndexReady = true
		res.Index = r.index()
	}
	res.Authority = t.confirmAuthority(r)
	res.Sampled = t.recordSample(r)
	return res
}

func answerOf(s *upstream.MemberStatus) answer {
	return answer{
		received: true,
		end:      s.LogEnd(),
		term:     s.Term,
		primary:  s.Role == upstream.RolePrimary,
		claim:    upstream.Claim{Generation: s.Generation, Owner: instance.ID(s.Owner)},
	}
}

// index returns the highest log end among the answers.
func (r *round) index() position.Position {
	var p position.Position
	for i := range r.answers {
		p = position.Max(p, r.answers[i].end)
	}
	return p
}

// confirmAuthority extends the home's authority when a majority of the round's answers carry its claim.
func (t *Tracker) confirmAuthority(r *round) bool {
	if r.confirmed || t.claimLost || t.claim == (upstream.Claim{}) {
		return false
	}
	claimed := 0
	for i := range r.answers {
		if r.answers[i].claim == t.claim {
			claimed++
		}
	}
	if claimed < t.majority() {
		return false
	}
	r.confirmed = true
	until := r.sent.Add(AuthorityWindow)
	if until.After(t.authorityUntil) {
		t.authorityUntil = until
	}
	return true
}

// recordSample records the primary's log end as a sample when a majority answered in the primary's term. In that case no
// other primary can have acknowledged a commit in a later term before the round was sent.
func (t *Tracker) recordSample(r *round) bool {
	if r.sampled {
		return false
	}
	p := r.primaryAnswer()
	if p == noMember || r.countInTerm(r.answers[p].term) < t.majority() {
		return false
	}
	r.sampled = true
	if !t.samples.add(t.members, r.sent, r.answers[p].end) {
		return false
	}
	for i := range t.members {
		t.samples.advance(&t.members[i])
	}
	t.members[p].freshAsOf = r.sent
	return true
}

// primaryAnswer returns the index of the member that answered as the primary of the highest term, or noMember.
func (r *round) primaryAnswer() int {
	p := noMember
	for i := range r.answers {
		a := &r.answers[i]
		if !a.primary {
			continue
		}
		if p == noMember || a.term > r.answers[p].term {
			p = i
		}
	}
	return p
}

// countInTerm counts the answers in the term.
func (r *round) countInTerm(term position.Term) int {
	n := 0
	for i := range r.answers {
		if r.answers[i].received && r.answers[i].term == term {
			n++
		}
	}
	return n
}

// AuthorityUntil returns when the home's authority expires: AuthorityWindow after the send time of the latest round in
// which a majority confirmed the claim. It is the zero time if no round has confirmed the claim or the claim was lost.
func (t *Tracker) AuthorityUntil() time.Time { return t.authorityUntil }

// HasAuthority reports whether the home's authority has not expired at now.
func (t *Tracker) HasAuthority(now time.Time) bool {
	if mutation.On(mutation.IgnoreAuthority) {
		return true
	}
	return now.Before(t.authorityUntil)
}

// FreshAsOf returns the latest time as of which the member is known to hold all data, and false if there is none. For a
// replica it is the send time of the latest sampled round whose primary log end the replica has applied; for the primary
// it is the send time of the latest sampled round.
func (t *Tracker) FreshAsOf(m upstream.MemberID) (time.Time, bool) {
	i := findMember(t.members, m)
	if i == noMember || t.members[i].freshAsOf.IsZero() {
		return time.Time{}, false
	}
	return t.members[i].freshAsOf, true
}

// Age returns the age of the member's data at now, and false if it is unknown.
func (t *Tracker) Age(m upstream.MemberID, now time.Time) (time.Duration, bool) {
	fresh, ok := t.FreshAsOf(m)
	if !ok {
		return 0, false
	}
	return now.Sub(fresh), true
}
