package failover

import (
	"time"

	"github.com/celerystep/celerystep/internal/upstream"
)

// maxSteps bounds the changes of phase in one event. The longest chain is backoff, learning of a primary, and the start
// of a planned move.
const maxSteps = 8

// evaluate decides from what is known of the members and returns the actions.
func (m *Machine) evaluate(now time.Time) []Action {
	if m.phase == PhaseIdle {
		return m.actions
	}
	m.expireOperations(now)
	if !m.evaluateClaim(now) {
		return m.actions
	}
	for range maxSteps {
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
		m.learn(now)
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

// learn finds the present primary of a new home, or starts a failover when there is none.
func (m *Machine) learn(now time.Time) {
	if p := m.present(); p != nil {
		m.adopt(p, CauseStart, now)
		return
	}
	m.searchPrimary(CauseNoPrimary, now)
}

// adopt takes the member as the present primary.
func (m *Machine) adopt(p *memberState, cause Cause, now time.Time) {
	m.failMove(CauseSuperseded, now)
	m.attempt = attempt{}
	m.primary = p
	m.term = p.status.Term
	m.backoffs = 0
	m.act(Announce{Primary: p.ID, Term: m.term})
	m.record(StepLearn, cause, p, now, "%s leads in term %d", p.ID, m.term)
	m.releaseWrites()
	m.enter(PhaseSteady, cause, now)
}

// searchPrimary starts a failover when no member can be the primary and a majority hears none. When members hear a
// primary that this home cannot reach, the home gives up its role.
func (m *Machine) searchPrimary(cause Cause, now time.Time) {
	found := true
	for _, k := range m.members {
		if m.current(k, now) {
			continue
		}
		m.probeEvery(k, m.timing.ProbeTimeout, now)
		found = found && m.lost(k, now)
	}
	if found && m.countWithoutPrimary(now) >= m.majority() {
		m.startFailover(cause, now, "no member leads and a majority hears no primary")
		return
	}
	if m.anyHearsPrimary(now) && now.Sub(m.since) >= m.timing.PartitionTimeout {
		m.release(CauseHomePartitioned, now, "members hear a primary that this home cannot reach")
	}
}

// checkPrimary compares the known primary with the members' statuses. It returns false after a change of phase.
func (m *Machine) checkPrimary(now time.Time) bool {
	p := m.present()
	switch {
	case p == nil:
		m.backOff(CauseOtherPromoter, now)
		return false
	case p != m.primary || p.status.Term != m.term:
		m.adopt(p, CauseOtherPromoter, now)
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
	if p.broken || m.silent(p, now) {
		m.suspect(now)
		return
	}
	if m.isolated(now) && m.authority {
		m.attempt.excluded = p
		m.startFailover(CausePrimaryIsolated, now, "no majority can receive from the primary, so that no write can be acknowledged")
		return
	}
	m.considerMove(now)
}

// isolated reports whether a majority of members has not heard the primary for Isolation although this home hears it.
// No write can be acknowledged then. The state must last for Silence, because a member that has just been told to follow
// still reports the silence from before.
func (m *Machine) isolated(now time.Time) bool {
	n := 0
	for _, k := range m.members {
		if m.current(k, now) && k.status.Term == m.term && k.status.Role == upstream.RoleReplica && k.status.PrimarySilence >= m.timing.IsolationTimeout {
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

func (m *Machine) suspect(now time.Time) {
	cause := CausePrimarySilent
	if m.primary.broken {
		cause = CausePrimaryRefused
	}
	m.primary.failedProbes = 0
	m.enter(PhaseSuspect, cause, now)
	m.sendProbe(m.primary, now)
	m.record(StepDetect, cause, m.primary, now, "probing the primary; its stream is broken: %t", m.primary.broken)
}

func (m *Machine) stepSuspect(now time.Time) {
	if !m.checkPrimary(now) {
		return
	}
	p := m.primary
	if !p.broken && !m.silent(p, now) {
		m.record(StepDetect, CausePrimaryRecovered, p, now, "the primary is heard again")
		m.releaseWrites()
		m.enter(PhaseSteady, CausePrimaryRecovered, now)
		return
	}
	m.checkLost(now)
}

// checkLost probes the suspected primary and starts a failover, or gives up the home role, when it stays lost. It
// returns true after a change of phase.
func (m *Machine) checkLost(now time.Time) bool {
	p := m.primary
	m.probeEvery(p, m.timing.ProbeTimeout, now)
	if !m.lost(p, now) {
		return false
	}
	if m.countWithoutPrimary(now) >= m.majority() {
		return m.startFailover(m.cause, now, "the home cannot reach the primary and a majority of members does not hear it")
	}
	if m.anyHearsPrimary(now) && now.Sub(p.heardAt) >= m.timing.PartitionTimeout {
		m.release(CauseHomePartitioned, now, "members hear the primary, which this home cannot reach")
		return true
	}
	return false
}

// countWithoutPrimary counts the members that currently report to hear no primary. Members of lower terms do not count, because they
// do not follow the present primary.
func (m *Machine) countWithoutPrimary(now time.Time) int {
	n := 0
	for _, k := range m.members {
		if m.current(k, now) && k.status.Term >= m.term && m.hearsNoPrimary(k.status) {
			n++
		}
	}
	return n
}

func (m *Machine) hearsNoPrimary(s *upstream.MemberStatus) bool {
	switch s.Role {
	case upstream.RolePrimary:
		return false
	case upstream.RoleFenced:
		return true
	default:
		return s.PrimarySilence >= m.timing.HeartbeatTimeout
	}
}

// anyHearsPrimary reports whether some replica currently hears its primary.
func (m *Machine) anyHearsPrimary(now time.Time) bool {
	for _, k := range m.members {
		if m.current(k, now) && k.status.Role == upstream.RoleReplica && !m.hearsNoPrimary(k.status) {
			return true
		}
	}
	return false
}

// maintain sends the operations that the members need in the present phase and that are not under way.
func (m *Machine) maintain(now time.Time) {
	switch m.phase {
	case PhaseFencing:
		m.fenceMembers(now)
	case PhasePromoting:
		m.sendPromote(m.attempt.chosen, now)
		m.fenceMembers(now)
	case PhaseSteady, PhaseSuspect, PhaseHolding:
		for _, k := range m.members {
			if k != m.primary && m.current(k, now) {
				m.maintainReplica(k, now)
			}
		}
	}
}

// maintainReplica brings a member that does not follow the primary back to it.
func (m *Machine) maintainReplica(k *memberState, now time.Time) {
	s := k.status
	beyond := s.Term > m.term || s.Term == m.term && k.refusesFollow && s.Role == upstream.RoleFenced
	if !beyond {
		k.beyondSince = time.Time{}
	}
	switch {
	case beyond:
		if k.beyondSince.IsZero() {
			k.beyondSince = now
		}
	case s.Term < m.term:
		m.sendFence(k, now)
	case s.Role == upstream.RoleFenced:
		m.sendFollow(k, now)
	case s.Role == upstream.RolePrimary && !k.faultRecorded:
		k.faultRecorded = true
		m.record(StepFollow, CauseTwoPrimaries, k, now, "%s and %s both lead in term %d", k.ID, m.primary.ID, m.term)
	}
}
