package failover

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/upstream"
)

// Errors of Machine.Switchover. A refused request has no effect.
var (
	// ErrNotSteady reports that the primary is unknown or suspected, or that a failover or switchover is in progress.
	ErrNotSteady = errors.New("no switchover now: the group's primary is not settled")
	// ErrNoAuthority reports that the home's claim is not confirmed.
	ErrNoAuthority = errors.New("no switchover now: the home's claim is not confirmed by a majority")
	// ErrInvalidTarget reports a target that is not a member of the group or is already the primary.
	ErrInvalidTarget = errors.New("the target is no replica of the group")
	// ErrNotEligible reports that the target, or every replica if no target is given, is unreachable, does not follow the
	// primary, is leaving, or is in a failure domain that is out of service.
	ErrNotEligible = errors.New("no eligible replica to switch to")
)

// SwitchoverRequest is an operator's request to move the primary.
type SwitchoverRequest struct {
	// Target is the member to promote; empty lets the machine choose.
	Target   upstream.MemberID
	Operator string
}

// switchover is a planned change of the primary.
type switchover struct {
	cause    Cause
	operator string
	// target is the member to promote; nil for any eligible replica.
	target *memberState
	// forced makes the switchover continue at the deadline, because the primary must be moved off its member.
	forced bool
	// repromote is true when the same member is promoted again in a higher term, so that members fenced by another
	// promoter can follow it.
	repromote bool
	rounds    int
	deadline  time.Time
	// drainedAt is when the home reported that no write transaction is running; zero before that.
	drainedAt time.Time
}

// maxSwitchoverRounds bounds the promotions of one forced switchover. A second one is needed when the old primary's log
// was ahead, so that it was promoted again.
const maxSwitchoverRounds = 3

// mustEvacuate reports whether operators are taking the member or its failure domain out of service.
func (s *memberState) mustEvacuate() bool { return s.Leaving || s.DomainOut }

// eligible reports whether a switchover may promote the member.
func (m *Machine) eligible(member *memberState, now time.Time) bool {
	if member == m.primary || member.mustEvacuate() || member.streamBroken || !m.hasRecentStatus(member, now) {
		return false
	}
	return member.status.Role == upstream.RoleReplica && member.status.Term == m.term && !m.lacksPrimary(member.status)
}

// Switchover starts a planned change of the primary. If it returns an error, the request was refused without effect.
func (m *Machine) Switchover(r SwitchoverRequest, now time.Time) ([]Action, error) {
	m.beginEvent(now)
	if m.phase != PhaseSteady {
		return nil, ErrNotSteady
	}
	if !m.hasAuthority {
		return nil, ErrNoAuthority
	}
	sw := &switchover{cause: CauseOperator, operator: r.Operator}
	if r.Target != "" {
		sw.target = m.findMember(r.Target)
		if sw.target == nil || sw.target == m.primary {
			return nil, ErrInvalidTarget
		}
	}
	if !m.hasTarget(sw, now) {
		return nil, ErrNotEligible
	}
	m.startSwitchover(sw, now, "moving the primary on an operator's order")
	return m.evaluate(now), nil
}

// hasTarget reports whether any member is an eligible target of the switchover.
func (m *Machine) hasTarget(sw *switchover, now time.Time) bool {
	for _, member := range m.members {
		if (sw.target == nil || sw.target == member) && m.eligible(member, now) {
			return true
		}
	}
	return false
}

// considerSwitchover moves the primary off a member that must be evacuated. It also starts a higher term when a member
// fenced by another promoter cannot follow in the current one.
func (m *Machine) considerSwitchover(now time.Time) {
	if !m.hasAuthority || now.Before(m.nextSwitchoverAt) {
		return
	}
	if m.primary.mustEvacuate() {
		m.evacuatePrimary(now)
		return
	}
	for _, member := range m.members {
		if !member.cannotFollowSince.IsZero() && now.Sub(member.cannotFollowSince) >= m.timing.PartitionTimeout && m.hasRecentStatus(member, now) {
			member.cannotFollowSince = time.Time{}
			m.delaySwitchovers(now)
			m.startSwitchover(&switchover{cause: CauseMemberFenced, repromote: true}, now, "a member was fenced by another promoter and cannot follow in the present term")
			return
		}
	}
}

func (m *Machine) evacuatePrimary(now time.Time) {
	sw := &switchover{cause: CauseMemberLeaving, forced: true}
	if m.primary.DomainOut {
		sw.cause = CauseDomainOut
	}
	if !m.hasTarget(sw, now) {
		m.delaySwitchovers(now)
		m.record(StepSwitchover, CauseNoTarget, m.primary, now, "%s has to be emptied, but no replica can take over", m.primary.ID)
		return
	}
	m.startSwitchover(sw, now, "moving the primary off a member that has to be emptied")
}

// delaySwitchovers sets the earliest time of the next automatic switchover, with exponential backoff.
func (m *Machine) delaySwitchovers(now time.Time) {
	m.nextSwitchoverAt = now.Add(min(m.timing.SwitchoverRetryMin<<min(m.switchoverRetries, maxBackoffExponent), m.timing.SwitchoverRetryMax))
	m.switchoverRetries++
}

func (m *Machine) startSwitchover(sw *switchover, now time.Time, text string) {
	m.switchover = sw
	m.holdForSwitchover(now)
	m.record(StepHold, sw.cause, m.primary, now, "%s; new writes wait", text)
}

// holdForSwitchover asks the home to hold and drain writes. Only a forced switchover sets the rollback of idle
// transactions before its deadline; otherwise it is abandoned first.
func (m *Machine) holdForSwitchover(now time.Time) {
	sw := m.switchover
	sw.rounds++
	sw.deadline = now.Add(m.timing.WriteHoldTimeout)
	sw.drainedAt = time.Time{}
	rollBack := sw.deadline.Add(rollBackMargin)
	if sw.forced {
		rollBack = sw.deadline.Add(-rollBackMargin)
	}
	m.holdWrites(HoldWrites{Drain: true, Deadline: rollBack})
	m.enterPhase(PhaseHolding, sw.cause, now)
}

// WritesDrained reports that all write transactions have finished after HoldWrites.
func (m *Machine) WritesDrained(now time.Time) []Action {
	m.beginEvent(now)
	if m.phase == PhaseHolding && m.switchover.drainedAt.IsZero() {
		m.switchover.drainedAt = now
	}
	return m.evaluate(now)
}

// stepHolding starts fencing the members once a replica has received everything that the primary wrote until the writes
// were drained. At the deadline a forced switchover continues anyway, and any other is abandoned.
func (m *Machine) stepHolding(now time.Time) {
	if !m.checkPrimary(now) {
		return
	}
	p := m.primary
	if (p.streamBroken || m.timedOut(p, now)) && m.checkPrimaryLost(now) {
		return
	}
	sw := m.switchover
	target := m.bestTarget(now)
	switch {
	case m.hasStatusAfterDrain(now) && m.caughtUp(target):
		m.attempt.preferred = target
		m.startAttempt(sw.cause, "writes are drained and a replica has received everything", now)
	case now.Before(sw.deadline):
	case sw.forced && target != nil:
		m.attempt.preferred = target
		m.startAttempt(sw.cause, "the time to drain is over and the primary has to leave its member", now)
	default:
		m.abandonSwitchover(now)
	}
}

// hasStatusAfterDrain reports whether the primary's status was requested after the writes were drained, and probes the
// primary if not.
func (m *Machine) hasStatusAfterDrain(now time.Time) bool {
	drained := m.switchover.drainedAt
	if drained.IsZero() {
		return false
	}
	if !m.primary.answeredProbeSentAt.Before(drained) {
		return true
	}
	m.probeEvery(m.primary, busyTick, now)
	return false
}

// bestTarget returns the best eligible target of the switchover in the order of compareCandidates, or nil. For a
// repromotion it returns the primary.
func (m *Machine) bestTarget(now time.Time) *memberState {
	if m.switchover.repromote {
		return m.primary
	}
	var best *memberState
	for _, member := range m.members {
		if m.switchover.target != nil && m.switchover.target != member || !m.eligible(member, now) {
			continue
		}
		if best == nil || m.compareCandidates(member, best) < 0 {
			best = member
		}
	}
	return best
}

// caughtUp reports whether the member has received and applied the primary's whole log. A member applies its log before
// it becomes primary, and writes would be held for that time.
func (m *Machine) caughtUp(member *memberState) bool {
	if member == nil || member.status.LogEnd().Less(m.primary.status.LogEnd()) {
		return false
	}
	return member == m.primary || applyLag(member.status) == 0
}

// abandonSwitchover ends a switchover before it has changed anything on the members.
func (m *Machine) abandonSwitchover(now time.Time) {
	cause := CauseNotCaughtUp
	switch {
	case m.switchover.drainedAt.IsZero():
		cause = CauseNotDrained
	case m.bestTarget(now) == nil:
		cause = CauseNoTarget
	}
	m.delaySwitchovers(now)
	m.failSwitchover(cause, now)
	m.releaseWrites()
	m.enterPhase(PhaseSteady, cause, now)
}

// failSwitchover ends a switchover without a new primary.
func (m *Machine) failSwitchover(cause Cause, now time.Time) {
	if m.switchover == nil {
		return
	}
	m.record(StepSwitchover, cause, m.primary, now, "the planned move has ended without the new primary")
	m.switchover = nil
	m.attempt.preferred = nil
	m.emit(SwitchoverFailed{Cause: cause})
}

// continueSwitchover ends the switchover after a promotion and returns false, or starts another round and returns true
// if the promoted member must itself be evacuated.
func (m *Machine) continueSwitchover(now time.Time) bool {
	sw := m.switchover
	if sw == nil {
		return false
	}
	if sw.forced && m.primary.mustEvacuate() && sw.rounds < maxSwitchoverRounds {
		m.record(StepSwitchover, sw.cause, m.primary, now, "the old primary's log was ahead; moving on from it in the new term")
		m.holdForSwitchover(now)
		return true
	}
	m.switchover = nil
	m.switchoverRetries = 0
	return false
}
