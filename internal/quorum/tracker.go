// Package quorum tracks what the members of one database group report and derives from it which commits may be
// acknowledged, the read index, the home's authority, the known primary and the age of each member's data.
//
// A Tracker has no goroutines, sockets or clock reads and is not safe for concurrent use. All times are readings of the
// home's monotonic clock.
package quorum

import (
	"time"

	"github.com/celerystep/celerystep/internal/mutation"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Tracker holds the latest status of each member of one group.
type Tracker struct {
	members []member
	// acknowledged is the highest position that a majority reported in its own term.
	acknowledged position.Position
	// primary is the index of the member that leads in primaryTerm, or noMember.
	primary     int
	primaryTerm position.Term
	// superseded is true while a majority reports a higher term than primaryTerm, or a member follows in one.
	superseded bool
	// longest is the status with the latest log end seen.
	longest *upstream.MemberStatus

	claim          upstream.Claim
	claimLost      bool
	authorityUntil time.Time

	lastRound RoundID
	rounds    [MaxOpenRounds]round
	samples   samples
	// ends is scratch space for the log ends of one term.
	ends []position.LSN
}

// member is what the tracker knows of one member.
type member struct {
	id      upstream.MemberID
	status  *upstream.MemberStatus
	arrived time.Time
	// received is the highest log end that the member ever reported. A report that a record is durable in its own term
	// stays valid evidence: a later primary is chosen from a majority that has the record, so it is never truncated
	// once a majority reported it.
	received position.Position
	// freshAsOf is the send time of the latest sample that the member has applied.
	freshAsOf time.Time
	// nextSample is the number of the first sample that the member has not applied.
	nextSample uint64
}

// noMember is the index of no member.
const noMember = -1

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
func New(members []upstream.MemberID) *Tracker {
	t := &Tracker{primary: noMember}
	t.SetMembers(members)
	return t
}

// SetMembers changes the group's members. What is known of members that stay is kept; open rounds are dropped.
// At most one member may be added or removed at a time, so that majorities before and after share a member.
func (t *Tracker) SetMembers(members []upstream.MemberID) {
	old := t.members
	primary, _, _ := t.Primary()
	t.members = make([]member, len(members))
	t.primary = noMember
	for i, id := range members {
		t.members[i].id = id
		if k := find(old, id); k != noMember {
			t.members[i] = old[k]
		}
		if id == primary && primary != "" {
			t.primary = i
		}
	}
	t.ends = make([]position.LSN, 0, len(members))
	for i := range t.rounds {
		t.rounds[i] = round{answers: make([]answer, len(members))}
	}
	t.checkSuperseded()
	for i := range t.members {
		t.raiseAcknowledged(t.members[i].received.Term)
	}
}

// SetClaim sets the claim whose confirmation by a majority gives the home authority. It ends the authority that an
// earlier claim had.
func (t *Tracker) SetClaim(c upstream.Claim) {
	if t.claim == c {
		return
	}
	t.claim = c
	t.claimLost = false
	t.authorityUntil = time.Time{}
}

// Observe records a status that a member streamed and that arrived at now. The tracker keeps s, which must not change
// afterwards.
func (t *Tracker) Observe(s *upstream.MemberStatus, now time.Time) Change {
	i := find(t.members, s.Member)
	if i == noMember {
		return Change{Unknown: true}
	}
	return t.observe(i, s, now)
}

func (t *Tracker) observe(i int, s *upstream.MemberStatus, now time.Time) Change {
	m := &t.members[i]
	old := m.status
	if old != nil && s.Term < old.Term {
		return Change{Regressed: true}
	}
	m.status = s
	m.arrived = now
	var c Change
	end := s.LogEnd()
	c.Acknowledged = t.acknowledge(m, end)
	c.Primary = t.learnPrimary(i, old, s)
	c.Applied = old == nil || s.Applied > old.Applied
	if t.longest == nil || t.longest.LogEnd().Less(end) {
		t.longest = s
	}
	if old != nil && s.Applied < old.Applied {
		t.samples.recheck(m)
	}
	t.samples.advance(m)
	t.checkClaim(s)
	return c
}

// acknowledge records a log end and reports whether the acknowledged position advanced.
func (t *Tracker) acknowledge(m *member, end position.Position) bool {
	if !m.received.Less(end) {
		return false
	}
	m.received = end
	if !t.acknowledged.Less(end) {
		return false
	}
	return t.raiseAcknowledged(end.Term)
}

func (t *Tracker) raiseAcknowledged(term position.Term) bool {
	lsn, ok := t.majorityEnd(term)
	p := position.Position{Term: term, LSN: lsn}
	if !ok || !t.acknowledged.Less(p) {
		return false
	}
	t.acknowledged = p
	return true
}

// majorityEnd returns the highest LSN that a majority reported with a log whose last term is the given one.
func (t *Tracker) majorityEnd(term position.Term) (position.LSN, bool) {
	ends := t.ends[:0]
	for i := range t.members {
		r := t.members[i].received
		if r.Term != term || r.IsZero() {
			continue
		}
		ends = insertDescending(ends, r.LSN)
	}
	t.ends = ends
	if len(ends) < t.majority() {
		return 0, false
	}
	return ends[t.majority()-1], true
}

// insertDescending inserts lsn into a short list in descending order.
func insertDescending(list []position.LSN, lsn position.LSN) []position.LSN {
	list = append(list, lsn)
	for i := len(list) - 1; i > 0 && list[i] > list[i-1]; i-- {
		list[i], list[i-1] = list[i-1], list[i]
	}
	return list
}

// learnPrimary updates the known primary and reports whether Primary() changed.
func (t *Tracker) learnPrimary(i int, old, s *upstream.MemberStatus) bool {
	if old != nil && old.Term == s.Term && old.Role == s.Role {
		return false
	}
	wasID, wasTerm, wasKnown := t.Primary()
	switch {
	case s.Role == upstream.RolePrimary && s.Term >= t.primaryTerm:
		t.primary = i
		t.primaryTerm = s.Term
	case t.primary == i:
		t.primary = noMember
	}
	t.checkSuperseded()
	id, term, known := t.Primary()
	return id != wasID || term != wasTerm || known != wasKnown
}

// checkSuperseded finds out whether the known primary was replaced. A minority that is only fenced in a higher term shows
// no more than an attempt; a member that follows in one shows that another primary was promoted.
func (t *Tracker) checkSuperseded() {
	higher := 0
	follows := false
	for i := range t.members {
		s := t.members[i].status
		if s == nil || s.Term <= t.primaryTerm {
			continue
		}
		higher++
		follows = follows || s.Role == upstream.RoleReplica
	}
	t.superseded = follows || higher >= t.majority()
}

// checkClaim ends the authority at once when a majority reports a higher generation than the home's claim.
func (t *Tracker) checkClaim(s *upstream.MemberStatus) {
	if t.claimLost || s.Generation <= t.claim.Generation {
		return
	}
	higher := 0
	for i := range t.members {
		o := t.members[i].status
		if o != nil && o.Generation > t.claim.Generation {
			higher++
		}
	}
	if higher < t.majority() {
		return
	}
	t.claimLost = true
	t.authorityUntil = time.Time{}
}

// Received reports whether a majority of the members have reported a log whose last term is p.Term and that reaches
// p.LSN, so that a commit at p may be acknowledged. It is false for every term before the one of Acknowledged.
func (t *Tracker) MajorityReceived(p position.Position) bool {
	if mutation.On(mutation.AcknowledgeWithoutQuorum) {
		return true
	}
	return p.Term == t.acknowledged.Term && p.LSN <= t.acknowledged.LSN
}

// Acknowledged returns the highest position for which Received is true. It never goes back.
func (t *Tracker) Acknowledged() position.Position { return t.acknowledged }

// Primary returns the member that leads in the highest term seen, and that term. It returns false while no primary is
// known, and after a majority reported a higher term or a member follows in one.
func (t *Tracker) Primary() (upstream.MemberID, position.Term, bool) {
	if t.primary == noMember || t.superseded {
		return "", 0, false
	}
	return t.members[t.primary].id, t.primaryTerm, true
}

// History returns the history of the log with the latest end seen. The caller must not change it. Positions that were
// never acknowledged are clamped with it.
func (t *Tracker) History() position.History {
	if t.longest == nil {
		return nil
	}
	return t.longest.History
}

// Status returns the latest status of the member and when it arrived; nil when there is none.
func (t *Tracker) Status(m upstream.MemberID) (*upstream.MemberStatus, time.Time) {
	i := find(t.members, m)
	if i == noMember {
		return nil, time.Time{}
	}
	return t.members[i].status, t.members[i].arrived
}

// Staleness returns the time since the member's latest status arrived, and false when there was none.
func (t *Tracker) StatusAge(m upstream.MemberID, now time.Time) (time.Duration, bool) {
	s, arrived := t.Status(m)
	if s == nil {
		return 0, false
	}
	return now.Sub(arrived), true
}

// NextGeneration returns the generation for a new claim: one above the highest that any member reported. It returns
// false until a majority of members have reported.
func (t *Tracker) NextGeneration() (uint64, bool) {
	known := 0
	var highest uint64
	for i := range t.members {
		s := t.members[i].status
		if s == nil {
			continue
		}
		known++
		highest = max(highest, s.Generation)
	}
	return highest + 1, known >= t.majority()
}

func (t *Tracker) majority() int { return len(t.members)/2 + 1 }

// find returns the index of the member. Groups are small, so a scan is faster than a map.
func find(members []member, id upstream.MemberID) int {
	for i := range members {
		if members[i].id == id {
			return i
		}
	}
	return noMember
}
