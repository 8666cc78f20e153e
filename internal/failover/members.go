package failover

import (
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// memberState is what the machine knows of one member.
type memberState struct {
	Member
	// status is the latest status since Start, which arrived at statusAt; nil when there is none.
	status   *upstream.MemberStatus
	statusAt time.Time
	// readAt is the time before the request of the latest probe that was answered was sent.
	readAt time.Time
	// heardAt is when the member was last heard; a pause of this process moves it forward.
	heardAt time.Time
	// broken is true from the end of the status stream to the next streamed status.
	broken bool
	probe  probe
	// failedProbes counts probes in a row without answer; refused is true when the last one was refused.
	failedProbes int
	refused      bool
	// operations holds the open or last operation of each kind.
	operations [operationKinds]operation
	// beyondSince is since when the member has a term above the primary's, and foreignSince since when it has another
	// home's claim. Zero when it has not.
	beyondSince  time.Time
	foreignSince time.Time
	// refusesFollow is true when the member refused to follow in the primary's term, because another owner fenced it.
	refusesFollow bool
	// faultRecorded is true once it was recorded that the member leads beside the primary.
	faultRecorded bool
}

// probe is the state of status requests to a member.
type probe struct {
	open   bool
	sentAt time.Time
}

func (m *Machine) member(id upstream.MemberID) *memberState {
	for _, k := range m.members {
		if k.ID == id {
			return k
		}
	}
	return nil
}

func (m *Machine) majority() int { return len(m.members)/2 + 1 }

// observe records a status of a member. A status with a lower term than before is a late answer and only shows that the
// member is alive.
func (m *Machine) observe(k *memberState, s *upstream.MemberStatus, now time.Time) {
	k.heardAt = now
	k.failedProbes = 0
	k.refused = false
	if k.status != nil && s.Term < k.status.Term {
		return
	}
	if k.status == nil || s.Term > k.status.Term {
		k.refusesFollow = false
	}
	k.status = s
	k.statusAt = now
	m.highest = max(m.highest, s.Term)
}

func (k *memberState) probeFailed(kind upstream.ErrorKind, now time.Time) {
	if kind == upstream.ErrStale || kind == upstream.ErrLimit {
		k.heardAt = now // the member answered
		return
	}
	k.failedProbes++
	k.refused = kind == upstream.ErrRefused
}

// silent reports whether the member was not heard for too long.
func (m *Machine) silent(k *memberState, now time.Time) bool {
	return now.Sub(k.heardAt) >= m.timing.HeartbeatTimeout
}

// lost reports the first condition of a failover: the stream is broken or silent, and a probe failed as well.
func (m *Machine) lost(k *memberState, now time.Time) bool {
	return k.failedProbes > 0 && (k.broken || m.silent(k, now))
}

// current reports whether the member's status is recent enough to count for decisions about others.
func (m *Machine) current(k *memberState, now time.Time) bool {
	return k.status != nil && now.Sub(k.statusAt) < m.timing.HeartbeatTimeout
}

// reachable counts the members heard within CutOff.
func (m *Machine) reachable(now time.Time) int {
	n := 0
	for _, k := range m.members {
		if now.Sub(k.heardAt) < m.timing.PartitionTimeout {
			n++
		}
	}
	return n
}

// known counts the members with a status.
func (m *Machine) known() int {
	n := 0
	for _, k := range m.members {
		if k.status != nil {
			n++
		}
	}
	return n
}

// above counts the members that accepted a higher term.
func (m *Machine) above(t position.Term) int {
	n := 0
	for _, k := range m.members {
		if k.status != nil && k.status.Term > t {
			n++
		}
	}
	return n
}

// present returns the member that leads as far as the members' statuses tell: the primary of the highest term, unless it
// was replaced. It returns nil when there is none or no majority has reported.
func (m *Machine) present() *memberState {
	var p *memberState
	for _, k := range m.members {
		if k.status == nil || k.status.Role != upstream.RolePrimary {
			continue
		}
		if p == nil || k.status.Term > p.status.Term {
			p = k
		}
	}
	if p == nil || m.known() < m.majority() || m.replaced(p.status.Term) {
		return nil
	}
	return p
}

// replaced reports whether the members show that the primary of the term was replaced: a majority accepted a higher
// term, or a member follows in one. A minority that is only fenced in a higher term shows no more than an attempt.
func (m *Machine) replaced(t position.Term) bool {
	for _, k := range m.members {
		if k.status != nil && k.status.Term > t && k.status.Role == upstream.RoleReplica {
			return true
		}
	}
	return m.above(t) >= m.majority()
}

// claimedBy reports whether the member's status carries the claim.
func (k *memberState) claimedBy(c upstream.Claim) bool {
	return k.status != nil && k.status.Generation == c.Generation && instance.ID(k.status.Owner) == c.Owner
}

// claimedOver reports whether the member has a claim that makes it refuse c.
func (k *memberState) claimedOver(c upstream.Claim) bool {
	if k.status == nil || k.claimedBy(c) {
		return false
	}
	return k.status.Generation >= c.Generation
}

// fencedBy reports whether the member is fenced in the term by the owner, so that its log no longer grows.
func (k *memberState) fencedBy(t position.Term, owner instance.ID) bool {
	return k.status != nil && k.status.Role == upstream.RoleFenced && k.ownedBy(t, owner)
}

func (k *memberState) ownedBy(t position.Term, owner instance.ID) bool {
	return k.status.Term == t && instance.ID(k.status.FenceOwner) == owner
}

// input returns what is known of the member, for an explanation.
func (k *memberState) input(now time.Time) MemberInput {
	in := MemberInput{
		Member:      k.ID,
		Unreachable: k.broken || k.failedProbes > 0,
		Leaving:     k.Leaving,
		DomainOut:   k.DomainOut,
	}
	if k.status == nil {
		return in
	}
	in.Known = true
	in.Role = k.status.Role
	in.Term = k.status.Term
	in.LogEnd = k.status.LogEnd()
	in.Applied = k.status.Applied
	in.PrimarySilence = k.status.PrimarySilence
	in.StatusAge = now.Sub(k.statusAt)
	return in
}
