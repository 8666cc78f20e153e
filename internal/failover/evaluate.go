package failover

import (
	"time"

	"github.com/celerystep/celerystep/internal/upstream"
)

// maxTransitions bounds the phase transitions in one event. The longest chain is backoff, discovery of a primary, and the
// start of a switchover.
const maxTransitions = 8

// evaluate derives the next actions from the known state of the members.
func (m *Machine) evaluate(now time.Time) []Action {
	if m.phase == PhaseIdle {
		return m.actions
	}
	m.expireOperations(now)
	if !m.evaluateClaim(now) {
		return m.actions
	}
	for range maxTransitions {
		before := m.phase
		m.step(now)
		if m.phase == before || m.phase == PhaseIdle {
			break
		}
	}
	m.maintain(now)
	return m.actions
}

func (m *Machine) step(now time.Time) {
	switch m.phase {
	case PhaseLearning:
		m.stepLearning(now)
	case PhaseSteady:
		m.stepSteady(now)
	case PhaseSuspect:
		m.stepSuspect(now)
	case PhaseHolding:
		m.stepHolding(now)
	case PhaseFencing:
		m.stepFencing(now)
	case PhasePromoting:
		m.stepPromoting(now)
	case PhaseBackoff:
		m.stepBackoff(now)
	}
}

// stepLearning finds the current primary for a new home, or starts a failover if there is none.
func (m *Machine) stepLearning(now time.Time) {
	if p := m.currentPrimary(); p != nil {
		m.adoptPrimary(p, CauseStart, now)
		return
	}
	m.resolveMissingPrimary(CauseNoPrimary, now)
}

// adoptPrimary records the member as the current primary and resumes writes.
func (m *Machine) adoptPrimary(p *memberState, cause Cause, now time.Time) {
	m.failSwitchover(CauseSuperseded, now)
	m.attempt = attempt{}
	m.primary = p
	m.term = p.status.Term
	m.backoffs = 0
	m.emit(Announce{Primary: p.ID, Term: m.term})
	m.record(StepLearn, cause, p, now, "%s leads in term %d", p.ID, m.term)
	m.releaseWrites()
	m.enterPhase(PhaseSteady, cause, now)
}

// resolveMissingPrimary starts a failover if no unresponsive member can be the primary and a majority has lost contact
// with it. If replicas still receive from a primary that this home cannot reach, the home gives up its role.
func (m *Machine) resolveMissingPrimary(cause Cause, now time.Time) {
	allUnreachable := true
	for _, member := range m.members {
		if m.hasRecentStatus(member, now) {
			continue
		}
		m.probeEvery(member, m.timing.ProbeTimeout, now)
		allUnreachable = allUnreachable && m.unreachable(member, now)
	}
	if allUnreachable && m.countWithoutPrimary(now) >= m.majority() {
		m.startFailover(cause, now, "no member leads and a majority hears no primary")
		return
	}
	if m.anyHasPrimary(now) && now.Sub(m.enteredAt) >= m.timing.PartitionTimeout {
		m.releaseHome(CauseHomePartitioned, now, "members hear a primary that this home cannot reach")
	}
}

// checkPrimary compares the known primary with the members' statuses. It returns false after a phase transition.
func (m *Machine) checkPrimary(now time.Time) bool {
	p := m.currentPrimary()
	switch {
	case p == nil:
		m.backOff(CauseOtherPromoter, now)
		return false
	case p != m.primary || p.status.Term != m.term:
		m.adoptPrimary(p, CauseOtherPromoter, now)
		return false
	default:
		return true
	}
}

func (m *Machine) stepSteady(now time.Time) {
	if !m.checkPrimary(now) {
		return
	}
	p := m.primary
	if p.streamBroken || m.timedOut(p, now) {
		m.suspectPrimary(now)
		return
	}
	if m.primaryIsolated(now) && m.hasAuthority {
		m.attempt.excluded = p
		m.startFailover(CausePrimaryIsolated, now, "no majority can receive from the primary, so that no write can be acknowledged")
		return
	}
	m.considerSwitchover(now)
}

// primaryIsolated reports whether a majority of members has had no contact with the primary for IsolationTimeout although
// this home can reach it. No write can be acknowledged then. The condition must hold for HeartbeatTimeout, because a
// member that just started to follow still reports a PrimarySilence from before.
func (m *Machine) primaryIsolated(now time.Time) bool {
	n := 0
	for _, member := range m.members {
		if m.hasRecentStatus(member, now) && member.status.Term == m.term && member.status.Role == upstream.RoleReplica && member.status.PrimarySilence >= m.timing.IsolationTimeout {
			n++
		}
	}
	if n < m.majority() {
		m.isolatedSince = time.Time{}
		return false
	}
	if m.isolatedSince.IsZero() {
		m.isolatedSince = now
	}
	return now.Sub(m.isolatedSince) >= m.timing.HeartbeatTimeout
}

func (m *Machine) suspectPrimary(now time.Time) {
	cause := CausePrimarySilent
	if m.primary.streamBroken {
		cause = CausePrimaryRefused
	}
	m.primary.failedProbes = 0
	m.enterPhase(PhaseSuspect, cause, now)
	m.sendProbe(m.primary, now)
	m.record(StepDetect, cause, m.primary, now, "probing the primary; its stream is broken: %t", m.primary.streamBroken)
}

func (m *Machine) stepSuspect(now time.Time) {
	if !m.checkPrimary(now) {
		return
	}
	p := m.primary
	if !p.streamBroken && !m.timedOut(p, now) {
		m.record(StepDetect, CausePrimaryRecovered, p, now, "the primary is heard again")
		m.releaseWrites()
		m.enterPhase(PhaseSteady, CausePrimaryRecovered, now)
		return
	}
	m.checkPrimaryLost(now)
}

// checkPrimaryLost probes the suspected primary and, if it stays unreachable, starts a failover or gives up the home
// role. It returns true after a phase transition.
func (m *Machine) checkPrimaryLost(now time.Time) bool {
	p := m.primary
	m.probeEvery(p, m.timing.ProbeTimeout, now)
	if !m.unreachable(p, now) {
		return false
	}
	if m.countWithoutPrimary(now) >= m.majority() {
		return m.startFailover(m.cause, now, "the home cannot reach the primary and a majority of members does not hear it")
	}
	if m.anyHasPrimary(now) && now.Sub(p.lastContact) >= m.timing.PartitionTimeout {
		m.releaseHome(CauseHomePartitioned, now, "members hear the primary, which this home cannot reach")
		return true
	}
	return false
}

// countWithoutPrimary counts the members that currently report no contact with a primary. Members of lower terms do not
// count, because they do not follow the current primary.
func (m *Machine) countWithoutPrimary(now time.Time) int {
	n := 0
	for _, member := range m.members {
		if m.hasRecentStatus(member, now) && member.status.Term >= m.term && m.lacksPrimary(member.status) {
			n++
		}
	}
	return n
}

func (m *Machine) lacksPrimary(s *upstream.MemberStatus) bool {
	switch s.Role {
	case upstream.RolePrimary:
		return false
	case upstream.RoleFenced:
		return true
	default:
		return s.PrimarySilence >= m.timing.HeartbeatTimeout
	}
}

// anyHasPrimary reports whether any replica is currently in contact with its primary.
func (m *Machine) anyHasPrimary(now time.Time) bool {
	for _, member := range m.members {
		if m.hasRecentStatus(member, now) && member.status.Role == upstream.RoleReplica && !m.lacksPrimary(member.status) {
			return true
		}
	}
	return false
}

// maintain sends the operations that the members need in the current phase and that are not in flight.
func (m *Machine) maintain(now time.Time) {
	switch m.phase {
	case PhaseFencing:
		m.fenceMembers(now)
	case PhasePromoting:
		m.sendPromote(m.attempt.chosen, now)
		m.fenceMembers(now)
	case PhaseSteady, PhaseSuspect, PhaseHolding:
		for _, member := range m.members {
			if member != m.primary && m.hasRecentStatus(member, now) {
				m.maintainReplica(member, now)
			}
		}
	}
}

// maintainReplica makes a member that does not follow the primary follow it again.
func (m *Machine) maintainReplica(member *memberState, now time.Time) {
	s := member.status
	cannotFollow := s.Term > m.term || s.Term == m.term && member.followRefused && s.Role == upstream.RoleFenced
	if !cannotFollow {
		member.cannotFollowSince = time.Time{}
	}
	switch {
	case cannotFollow:
		if member.cannotFollowSince.IsZero() {
			member.cannotFollowSince = now
		}
	case s.Term < m.term:
		m.sendFence(member, now)
	case s.Role == upstream.RoleFenced:
		m.sendFollow(member, now)
	case s.Role == upstream.RolePrimary && !member.conflictRecorded:
		member.conflictRecorded = true
		m.record(StepFollow, CauseTwoPrimaries, member, now, "%s and %s both lead in term %d", member.ID, m.primary.ID, m.term)
	}
}
