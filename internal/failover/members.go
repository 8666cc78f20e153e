package failover

import (
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// memberState is the known state of one member.
type memberState struct {
	Member
	// status is the latest status since Start and statusAt its arrival time; nil when there is none.
	status   *upstream.MemberStatus
	statusAt time.Time
	// answeredProbeSentAt is the send time of the latest answered probe.
	answeredProbeSentAt time.Time
	// lastContact is when the member last responded; after a pause of this process it is reset to the current time.
	lastContact time.Time
	// streamBroken is true from the end of the status stream until the next streamed status.
	streamBroken bool
	probe        probe
	// failedProbes counts consecutive failed probes. refused is true if the last failed probe or operation was refused.
	failedProbes int
	refused      bool
	// operations holds the latest operation of each kind.
	operations [operationKinds]operation
	// cannotFollowSince is when the member was first seen fenced by another promoter, in a higher term or with another
	// owner in the primary's term. otherClaimSince is when it was first seen with another home's claim. Both are zero
	// otherwise.
	cannotFollowSince time.Time
	otherClaimSince   time.Time
	// followRefused is true if the member refused to follow in the primary's term because another owner fenced it.
	followRefused bool
	// conflictRecorded is true once the audit trail states that the member and the primary lead in the same term.
	conflictRecorded bool
}

// probe is the state of status requests to a member.
type probe struct {
	open   bool
	sentAt time.Time
}

func (m *Machine) findMember(id upstream.MemberID) *memberState {
	for _, member := range m.members {
		if member.ID == id {
			return member
		}
	}
	return nil
}

func (m *Machine) majority() int { return len(m.members)/2 + 1 }

// observe records a status of a member. A status with a lower term than the last one arrived out of order and only shows
// that the member is alive.
func (m *Machine) observe(member *memberState, s *upstream.MemberStatus, now time.Time) {
	member.lastContact = now
	member.failedProbes = 0
	member.refused = false
	if member.status != nil && s.Term < member.status.Term {
		return
	}
	if member.status == nil || s.Term > member.status.Term {
		member.followRefused = false
	}
	member.status = s
	member.statusAt = now
	m.highestTerm = max(m.highestTerm, s.Term)
}

func (s *memberState) probeFailed(kind upstream.ErrorKind, now time.Time) {
	if kind == upstream.ErrStale || kind == upstream.ErrLimit {
		s.lastContact = now // the member responded
		return
	}
	s.failedProbes++
	s.refused = kind == upstream.ErrRefused
}

// timedOut reports whether the member has not responded for HeartbeatTimeout.
func (m *Machine) timedOut(member *memberState, now time.Time) bool {
	return now.Sub(member.lastContact) >= m.timing.HeartbeatTimeout
}

// unreachable reports the first condition of a failover: the stream is broken or timed out, and a probe failed as well.
func (m *Machine) unreachable(member *memberState, now time.Time) bool {
	return member.failedProbes > 0 && (member.streamBroken || m.timedOut(member, now))
}

// hasRecentStatus reports whether the member's status is recent enough to be evidence about other members.
func (m *Machine) hasRecentStatus(member *memberState, now time.Time) bool {
	return member.status != nil && now.Sub(member.statusAt) < m.timing.HeartbeatTimeout
}

// countReachable counts the members that responded within PartitionTimeout.
func (m *Machine) countReachable(now time.Time) int {
	n := 0
	for _, member := range m.members {
		if now.Sub(member.lastContact) < m.timing.PartitionTimeout {
			n++
		}
	}
	return n
}

// countWithStatus counts the members that have reported a status.
func (m *Machine) countWithStatus() int {
	n := 0
	for _, member := range m.members {
		if member.status != nil {
			n++
		}
	}
	return n
}

// countAboveTerm counts the members that accepted a term above t.
func (m *Machine) countAboveTerm(t position.Term) int {
	n := 0
	for _, member := range m.members {
		if member.status != nil && member.status.Term > t {
			n++
		}
	}
	return n
}

// currentPrimary returns the primary according to the members' statuses: the one with the highest term, unless it was
// replaced. It returns nil if there is none or no majority has reported.
func (m *Machine) currentPrimary() *memberState {
	var p *memberState
	for _, member := range m.members {
		if member.status == nil || member.status.Role != upstream.RolePrimary {
			continue
		}
		if p == nil || member.status.Term > p.status.Term {
			p = member
		}
	}
	if p == nil || m.countWithStatus() < m.majority() || m.replaced(p.status.Term) {
		return nil
	}
	return p
}

// replaced reports whether the primary of the term was replaced: a majority accepted a higher term, or a member follows
// in one. A minority that is merely fenced in a higher term only shows an unfinished attempt.
func (m *Machine) replaced(t position.Term) bool {
	for _, member := range m.members {
		if member.status != nil && member.status.Term > t && member.status.Role == upstream.RoleReplica {
			return true
		}
	}
	return m.countAboveTerm(t) >= m.majority()
}

// withClaim reports whether the member's status carries the claim.
func (s *memberState) withClaim(c upstream.Claim) bool {
	return s.status != nil && s.status.Generation == c.Generation && instance.ID(s.status.Owner) == c.Owner
}

// refusingClaim reports whether the member has accepted another claim that makes it refuse c.
func (s *memberState) refusingClaim(c upstream.Claim) bool {
	if s.status == nil || s.withClaim(c) {
		return false
	}
	return s.status.Generation >= c.Generation
}

// fencedBy reports whether the member is fenced in the term by the owner, so its log no longer grows.
func (s *memberState) fencedBy(t position.Term, owner instance.ID) bool {
	return s.status != nil && s.status.Role == upstream.RoleFenced && s.ownedBy(t, owner)
}

func (s *memberState) ownedBy(t position.Term, owner instance.ID) bool {
	return s.status.Term == t && instance.ID(s.status.FenceOwner) == owner
}

// input returns the known state of the member for an explanation.
func (s *memberState) input(now time.Time) MemberInput {
	in := MemberInput{
		Member:      s.ID,
		Unreachable: s.streamBroken || s.failedProbes > 0,
		Leaving:     s.Leaving,
		DomainOut:   s.DomainOut,
	}
	if s.status == nil {
		return in
	}
	in.Known = true
	in.Role = s.status.Role
	in.Term = s.status.Term
	in.LogEnd = s.status.LogEnd()
	in.Applied = s.status.Applied
	in.PrimarySilence = s.status.PrimarySilence
	in.StatusAge = now.Sub(s.statusAt)
	return in
}
