package promotion

import (
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// With synchronous replicas, a commit that a caller knows of must be in the log of each later primary. A primary acknowledges commits
// until the moment in which another member leads, and that member is selected by its position earlier. So from the selection on,
// nothing may be acknowledged that the selected log lacks.

// Acknowledged records the newest position that was acknowledged to a caller.
func (m *Machine) Acknowledged(p position.Position) { m.acknowledged = position.Max(m.acknowledged, p) }

// HandOver records that another owner will decide about promotions.
func (m *Machine) HandOver() { m.handedOver = true }

// MayCommit reports whether commits may be sent to the member. With synchronous replicas they may not while it is being replaced, or
// while an order, possibly of an earlier owner, may still replace it.
func (m *Machine) MayCommit(id upstream.MemberID) bool {
	if m.syncReplicas == 0 {
		return true
	}
	return id == m.primary && (m.phase == PhaseLeading || m.phase == PhaseDraining) && m.replacementExcluded()
}

// AcknowledgeCommit reports whether the member's answer to a commit may be passed to the caller, and records its position if so. Otherwise a
// member may lead next whose log lacks the commit.
func (m *Machine) AcknowledgeCommit(id upstream.MemberID, p position.Position) bool {
	if m.syncReplicas > 0 && !m.outlivesPromotion(id, p) {
		return false
	}
	m.Acknowledged(p)
	return true
}

// outlivesPromotion reports whether a commit that the member has acknowledged at the position will be in the log of the next primary.
func (m *Machine) outlivesPromotion(id upstream.MemberID, p position.Position) bool {
	switch {
	case id != m.primary:
		return false
	case m.phase == PhaseLeading, m.phase == PhaseDraining, m.phase == PhaseChoosing:
		// A member that is selected from now on must hold what is acknowledged now.
		return m.replacementExcluded()
	case m.phase == PhasePromoting, m.phase == PhaseAwaiting:
		return !m.otherOrderPossible(m.target) && p.Term == m.selectedLog.Term && p.LSN <= m.selectedLog.LSN
	default:
		return false
	}
}

// replacementExcluded reports whether no earlier order can replace the primary, and no other owner is expected to order one.
func (m *Machine) replacementExcluded() bool {
	return m.settled() && !(m.handedOver && m.replacementDue())
}

// settled reports whether no order can replace the primary any more: neither one of an earlier owner nor an own one for another
// member.
func (m *Machine) settled() bool { return m.confirmed && !m.otherOrderPossible(m.primary) }

// otherOrderPossible reports whether an order under the current token may still promote a member other than the given one.
func (m *Machine) otherOrderPossible(id upstream.MemberID) bool {
	for ordered := range m.unresolved {
		if ordered != id {
			return true
		}
	}
	return false
}

// replacementDue reports whether an owner would replace the primary.
func (m *Machine) replacementDue() bool {
	p := m.members[m.primary]
	return p == nil || p.Leaving || p.OutOfService || !m.Healthy(m.primary)
}
