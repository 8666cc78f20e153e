// Package quorum tracks the statuses that the members of one database group report. From them it derives which commits
// may be acknowledged, the read index, the home's authority, the current primary and the age of each member's data.
// Package failover changes the primary; this package only observes it.
//
// The home's authority is a lease: it is extended by each status round in which a majority confirms the home's claim, and
// it expires AuthorityWindow after the round was sent.
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
	// superseded is true while a majority reports a higher term than primaryTerm, or a replica follows in one.
	superseded bool
	// longest is the status with the latest log end seen, in the order of position.Position.Less.
	longest *upstream.MemberStatus

	claim          upstream.Claim
	claimLost      bool
	authorityUntil time.Time

	lastRound RoundID
	rounds    [MaxOpenRounds]round
	samples   samples
	// lsns is a scratch buffer for the log ends of one term.
	lsns []position.LSN
}

// member is the known state of one member.
type member struct {
	id       upstream.MemberID
	status   *upstream.MemberStatus
	statusAt time.Time
	// received is the highest log end that the member ever reported. A report that a record is durable in its own term
	// remains valid: once a majority has reported the record, every later primary is chosen from a majority that includes
	// it, so the record is never truncated.
	received position.Position
	// freshAsOf is the send time of the latest sample that the member has applied.
	freshAsOf time.Time
	// nextSample is the number of the first sample that the member has not applied.
	nextSample uint64
}

// noMember is the index that stands for no member.
const noMember = -1

// Change lists the derived facts that a status changed, so that the caller wakes only the affected waiters.
type Change struct {
	// Acknowledged is true when Acknowledged() advanced.
	Acknowledged bool
	// Primary is true when the result of Primary() changed.
	Primary bool
	// Applied is true when the member's applied position advanced.
	Applied bool
	// Regressed is true when the status carries a lower term than the member reported before. The status is then
	// out of order, or the member lost its durable state; the tracker ignores it.
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

// SetMembers changes the group's members. The state of members that remain is kept; rounds in flight are dropped. At most
// one member may be added or removed at a time, so that any majority before and any majority after the change overlap.
func (t *Tracker) SetMembers(members []upstream.MemberID) {
	old := t.members
	primary, _, _ := t.Primary()
	t.members = make([]member, len(members))
	t.primary = noMember
	for i, id := range members {
		t.members[i].id = id
		if k := findMember(old, id); k != noMember {
			t.members[i] = old[k]
		}
		if id == primary && primary != "" {
			t.primary = i
		}
	}
	t.lsns = make([]position.LSN, 0, len(members))
	for i := range t.rounds {
		t.rounds[i] = round{answers: make([]answer, len(members))}
	}
	t.updateSuperseded()
	for i := range t.members {
		t.raiseAcknowledged(t.members[i].received.Term)
	}
}

// SetClaim sets the claim that a majority must confirm to give the home authority. A different claim ends the authority
// of the previous one.
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
	i := findMember(t.members, s.Member)
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
	m.statusAt = now
	var c Change
	end := s.LogEnd()
	c.Acknowledged = t.acknowledge(m, end)
	c.Primary = t.updatePrimary(i, old, s)
	c.Applied = old == nil || s.Applied > old.Applied
	if t.longest == nil || t.longest.LogEnd().Less(end) {
		t.longest = s
	}
	if old != nil && s.Applied < old.Applied {
		t.samples.resetProgress(m)
	}
	t.samples.advance(m)
	t.detectLostClaim(s)
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
	lsn, ok := t.majorityLSN(term)
	p := position.Position{Term: term, LSN: lsn}
	if !ok || !t.acknowledged.Less(p) {
		return false
	}
	t.acknowledged = p
	return true
}

// majorityLSN returns the highest LSN that a majority has received in logs whose last term is the given one.
func (t *Tracker) majorityLSN(term position.Term) (position.LSN, bool) {
	lsns := t.lsns[:0]
	for i := range t.members {
		r := t.members[i].received
		if r.Term != term || r.IsZero() {
			continue
		}
		lsns = insertDescending(lsns, r.LSN)
	}
	t.lsns = lsns
	if len(lsns) < t.majority() {
		return 0, false
	}
	return lsns[t.majority()-1], true
}

// insertDescending inserts lsn into a short list in descending order.
func insertDescending(list []position.LSN, lsn position.LSN) []position.LSN {
	list = append(list, lsn)
	for i := len(list) - 1; i > 0 && list[i] > list[i-1]; i-- {
		list[i], list[i-1] = list[i-1], list[i]
	}
	return list
}

// updatePrimary updates the known primary and reports whether Primary() changed.
func (t *Tracker) updatePrimary(i int, old, s *upstream.MemberStatus) bool {
	if old != nil && old.Term == s.Term && old.Role == s.Role {
		return false
	}
	oldID, oldTerm, oldKnown := t.Primary()
	switch {
	case s.Role == upstream.RolePrimary && s.Term >= t.primaryTerm:
		t.primary = i
		t.primaryTerm = s.Term
	case t.primary == i:
		t.primary = noMember
	}
	t.updateSuperseded()
	id, term, known := t.Primary()
	return id != oldID || term != oldTerm || known != oldKnown
}

// updateSuperseded determines whether the known primary was replaced. A minority that is merely fenced in a higher term
// only shows an unfinished attempt; a replica that follows in one shows that another primary was promoted.
func (t *Tracker) updateSuperseded() {
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

// detectLostClaim ends the authority immediately when a majority reports a higher generation than the home's claim.
func (t *Tracker) detectLostClaim(s *upstream.MemberStatus) {
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

// MajorityReceived reports whether a majority of the members has reported a log whose last term is p.Term and that
// reaches p.LSN, so that a commit at p may be acknowledged. It is false for every term before that of Acknowledged.
func (t *Tracker) MajorityReceived(p position.Position) bool {
	if mutation.On(mutation.AcknowledgeWithoutQuorum) {
		return true
	}
	return p.Term == t.acknowledged.Term && p.LSN <= t.acknowledged.LSN
}

// Acknowledged returns the highest position for which MajorityReceived is true. It never decreases.
func (t *Tracker) Acknowledged() position.Position { return t.acknowledged }

// Primary returns the primary of the highest term seen, and that term. It returns false while no primary is known, and
// after the primary was superseded: a majority reported a higher term or a replica follows in one.
func (t *Tracker) Primary() (upstream.MemberID, position.Term, bool) {
	if t.primary == noMember || t.superseded {
		return "", 0, false
	}
	return t.members[t.primary].id, t.primaryTerm, true
}

// History returns the history of the log with the latest end seen. Callers use it to clamp positions that were never
// acknowledged and must not modify it.
func (t *Tracker) History() position.History {
	if t.longest == nil {
		return nil
	}
	return t.longest.History
}

// Status returns the latest status of the member and its arrival time; nil if there is none.
func (t *Tracker) Status(m upstream.MemberID) (*upstream.MemberStatus, time.Time) {
	i := findMember(t.members, m)
	if i == noMember {
		return nil, time.Time{}
	}
	return t.members[i].status, t.members[i].statusAt
}

// StatusAge returns the time since the member's latest status arrived, and false if there is none.
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

// findMember returns the index of the member, or noMember. Groups are small, so a scan is faster than a map.
func findMember(members []member, id upstream.MemberID) int {
	for i := range members {
		if members[i].id == id {
			return i
		}
	}
	return noMember
}
