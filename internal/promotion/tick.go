package promotion

import (
	"fmt"
	"time"

	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// deadAfterRefusals is the number of consecutive failures, the last one a refusal, after which the primary counts
	// as dead. From unhealthyAfterFailures on a member counts as unhealthy; the primary counts as dead after one more.
	deadAfterRefusals      = 2
	unhealthyAfterFailures = 2
	// maxReplicaProbeInterval is the maximum interval between probes of a failing replica.
	maxReplicaProbeInterval = 500 * time.Millisecond
	// tokenRenewInterval is the interval between two requests for a higher token.
	tokenRenewInterval = time.Second
)

// Tick advances the machine and returns the actions to carry out now.
func (m *Machine) Tick(now time.Time) []Action {
	var a []Action
	if m.needsNewToken() && now.Sub(m.lastRenewal) >= tokenRenewInterval {
		m.lastRenewal = now
		a = append(a, Action{Kind: ActionRenewToken})
	}
	switch m.phase {
	case PhaseLearning:
		a = m.discover(a, now)
	case PhaseLeading:
		a = m.monitor(a, now)
	case PhaseDraining:
		a = m.drain(a, now)
	}
	switch m.phase {
	case PhaseChoosing:
		a = m.selectCandidate(a, now)
	case PhasePromoting:
		a = m.sendOrder(a, now)
	case PhaseAwaiting:
		a = m.awaitPrimary(a, now)
	}
	return a
}

// needsNewToken reports whether the platform has rejected the token, or a higher one must shut out an own order that may still
// replace the primary.
func (m *Machine) needsNewToken() bool {
	return m.tokenRejected || m.phase == PhaseLeading && !m.orderPending && m.otherOrderPossible(m.primary)
}

// discover probes the members for the primary, starting with the one that the service discovery reports.
func (m *Machine) discover(a []Action, now time.Time) []Action {
	reportedPrimary := m.reportedPrimary()
	for _, id := range m.order {
		if reportedPrimary != "" && id != reportedPrimary && now.Sub(m.phaseStart) < 2*m.timing.ProbeInterval {
			continue
		}
		a = m.probe(a, id, now)
	}
	if now.Sub(m.phaseStart) > m.timing.DiscoveryTimeout && !now.Before(m.completeAt) && m.replicaAnswered(now) {
		m.enter(PhaseChoosing, now, "no member that answers leads")
	}
	return a
}

// reportedPrimary returns the only member that the service discovery reports as primary, or "".
func (m *Machine) reportedPrimary() upstream.MemberID {
	var found upstream.MemberID
	for _, id := range m.order {
		if m.members[id].Role != upstream.RolePrimary {
			continue
		}
		if found != "" {
			return ""
		}
		found = id
	}
	return found
}

func (m *Machine) replicaAnswered(now time.Time) bool {
	for _, k := range m.members {
		if m.isCandidate(k, now) && k.status != nil && k.status.Role == upstream.RoleReplica {
			return true
		}
	}
	return false
}

// monitor checks whether the primary has to be replaced, probes failing members and confirms the token with the
// platform.
func (m *Machine) monitor(a []Action, now time.Time) []Action {
	p := m.members[m.primary]
	if p == nil {
		m.enter(PhaseChoosing, now, "the primary has left the service discovery")
		return a
	}
	if (p.Leaving || p.OutOfService) && m.hasCandidate(now) {
		cause := "the primary is shutting down"
		if p.OutOfService {
			cause = "the primary must not be used any more"
		}
		m.enter(PhaseDraining, now, cause)
		return a
	}
	if p.failures > 0 && !p.lastAnswer.After(p.lastFailure) {
		if m.isDead(p) {
			m.enter(PhaseChoosing, now, fmt.Sprintf("the primary does not answer: %d failures, last %s", p.failures, p.failure))
			return a
		}
		a = m.probe(a, m.primary, now)
	}
	a = m.probeFailedReplicas(a, now)
	if other := m.reportedPrimary(); other != "" && other != m.primary {
		a = m.probe(a, other, now)
	}
	if !m.confirmed && !m.orderPending && now.After(m.nextConfirm) {
		m.nextConfirm = now.Add(500 * time.Millisecond)
		a = append(a, m.orderPromotion(ActionConfirm, m.primary))
	}
	return a
}

// probeFailedReplicas probes failing replicas, so that they return to service once they answer.
func (m *Machine) probeFailedReplicas(a []Action, now time.Time) []Action {
	for _, id := range m.order {
		k := m.members[id]
		if id == m.primary || k.failures == 0 || k.OutOfService {
			continue
		}
		if gap := min(time.Duration(k.failures)*m.timing.ProbeInterval, maxReplicaProbeInterval); now.Sub(k.lastProbe) >= gap {
			a = m.probe(a, id, now)
		}
	}
	return a
}

func (m *Machine) isDead(p *member) bool {
	if p.failure == FailureRefused {
		return p.failures >= deadAfterRefusals
	}
	return p.failures >= unhealthyAfterFailures+1
}

// drain waits until the primary is idle and the best replica has its log.
func (m *Machine) drain(a []Action, now time.Time) []Action {
	waited := now.Sub(m.phaseStart)
	p := m.members[m.primary]
	if p == nil || p.failures > 0 && m.isDead(p) {
		m.enter(PhaseChoosing, now, "the primary was lost while it drained")
		return a
	}
	if !p.Leaving && !p.OutOfService {
		m.enter(PhaseLeading, now, "the primary may stay")
		return a
	}
	if !m.primaryIdle && waited < m.timing.DrainTimeout {
		return a
	}
	best := m.best(now)
	caughtUp := best != nil && best.status != nil && !best.status.Position.Less(m.acknowledged)
	if caughtUp || waited > m.timing.DrainTimeout+m.timing.CatchUpTimeout {
		m.enter(PhaseChoosing, now, fmt.Sprintf("the primary is drained; a replica caught up: %t", caughtUp))
		return a
	}
	for _, id := range m.order {
		if id != m.primary && m.isCandidate(m.members[id], now) {
			a = m.probe(a, id, now)
		}
	}
	return a
}

// selectCandidate asks the replicas for their positions and selects the one with the longest log.
func (m *Machine) selectCandidate(a []Action, now time.Time) []Action {
	open, answered := 0, 0
	for _, id := range m.order {
		k := m.members[id]
		if !m.isCandidate(k, now) {
			continue
		}
		if k.status != nil && !k.statusAt.Before(m.phaseStart.Add(-m.timing.ProbeInterval)) {
			answered++
			continue
		}
		open++
		a = m.probe(a, id, now)
	}
	if answered == 0 {
		return m.probePrimary(a, now)
	}
	if open > 0 && now.Sub(m.phaseStart) < m.timing.PositionTimeout {
		return a
	}
	best := m.best(now)
	if best == nil {
		return a
	}
	if now.Before(m.completeAt) {
		m.withhold("members may be missing from the service discovery after an outage of the store")
		return m.probePrimary(a, now)
	}
	if !m.holdsAcknowledged(best, answered) {
		m.withhold(fmt.Sprintf("%s, whose log ends at %s, may lack acknowledged commits (acknowledged %s, %d of %d replicas answered, %d synchronous)",
			best.ID, best.status.Position, m.acknowledged, answered, m.replicaCount(), m.syncReplicas))
		return m.probePrimary(a, now)
	}
	m.target, m.selectedLog = best.ID, best.status.Position
	m.enter(PhasePromoting, now, fmt.Sprintf("promoting %s, whose log ends at %s; acknowledged %s; %d of %d replicas answered",
		best.ID, best.status.Position, m.acknowledged, answered, answered+open))
	return a
}

// probePrimary probes the primary that is being replaced: it may answer after all.
func (m *Machine) probePrimary(a []Action, now time.Time) []Action {
	if p := m.members[m.primary]; p == nil || p.OutOfService {
		return a
	}
	return m.probe(a, m.primary, now)
}

// holdsAcknowledged reports whether the longest log found is certain to hold every acknowledged commit, which is
// required with synchronous replicas only. A log that ends before the newest position that this owner has acknowledged
// never does, however many members have answered: those that hold the commits may be missing from the service
// discovery. An owner that has acknowledged nothing needs so many answers that each commit is held by one of them.
func (m *Machine) holdsAcknowledged(best *member, answered int) bool {
	if m.syncReplicas == 0 {
		return true
	}
	if !m.acknowledged.IsZero() {
		return !best.status.Position.Less(m.acknowledged)
	}
	return answered > m.replicaCount()-m.syncReplicas
}

// replicaCount returns the number of known members without the primary.
func (m *Machine) replicaCount() int {
	if m.members[m.primary] != nil {
		return len(m.members) - 1
	}
	return len(m.members)
}

// withhold explains, once in a phase, why no replica is promoted.
func (m *Machine) withhold(cause string) {
	if m.withheld {
		return
	}
	m.withheld = true
	m.explanations = append(m.explanations, "nobody is promoted: "+cause)
}

// best returns the candidate with the longest log, preferring the owner's failure domain among equals.
func (m *Machine) best(now time.Time) *member {
	var best *member
	for _, id := range m.order {
		k := m.members[id]
		if !m.isCandidate(k, now) || k.status == nil {
			continue
		}
		if best == nil || best.status.Position.Less(k.status.Position) ||
			best.status.Position == k.status.Position && k.Local && !best.Local {
			best = k
		}
	}
	return best
}

func (m *Machine) isCandidate(k *member, now time.Time) bool {
	if k == nil || k.Leaving || k.OutOfService || k.ID == m.primary || now.Before(k.excludedUntil) {
		return false
	}
	return true
}

func (m *Machine) hasCandidate(now time.Time) bool {
	for _, k := range m.members {
		if m.isCandidate(k, now) {
			return true
		}
	}
	return false
}

// sendOrder sends the promotion order and repeats it until its outcome is known.
func (m *Machine) sendOrder(a []Action, now time.Time) []Action {
	if m.members[m.target] == nil {
		m.enter(PhaseChoosing, now, "the target has left")
		return a
	}
	if m.orderPending || m.tokenRejected {
		return a
	}
	return append(a, m.orderPromotion(ActionPromote, m.target))
}

// awaitPrimary probes the promoted member until it is primary.
func (m *Machine) awaitPrimary(a []Action, now time.Time) []Action {
	k := m.members[m.target]
	waited := now.Sub(m.phaseStart)
	if k == nil || waited > m.timing.LeadTimeout {
		m.enter(PhaseLearning, now, "the promoted member does not lead in time")
		return a
	}
	if waited >= m.timing.ExpectedPromotion/3 || k.Role == upstream.RolePrimary {
		a = m.probe(a, m.target, now)
	}
	return a
}

func (m *Machine) probe(a []Action, id upstream.MemberID, now time.Time) []Action {
	k := m.members[id]
	if k == nil || k.probing || now.Sub(k.lastProbe) < m.timing.ProbeInterval {
		return a
	}
	k.probing, k.lastProbe = true, now
	return append(a, Action{Kind: ActionProbe, Member: id})
}
