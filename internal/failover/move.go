package failover

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/upstream"
)

// Errors of Machine.Switchover. Nothing was changed.
var (
	// ErrNotSteady reports that the primary is not known, is suspected or is being moved already.
	ErrNotSteady = errors.New("no switchover now: the group's primary is not settled")
	// ErrNoAuthority reports that the home's claim is not confirmed.
	ErrNoAuthority = errors.New("no switchover now: the home's claim is not confirmed by a majority")
	// ErrTarget reports a target that does not belong to the group or leads already.
	ErrInvalidTarget = errors.New("the target is no replica of the group")
	// ErrNotEligible reports that the target, or every replica, is unreachable, does not follow the primary, is leaving or
	// in a failure domain that is out.
	ErrNotEligible = errors.New("no eligible replica to switch to")
)

// SwitchoverRequest is an operator's order to move the primary.
type SwitchoverRequest struct {
	// Target is the member to promote; empty lets the machine choose.
	Target   upstream.MemberID
	Operator string
}

// move is a planned change of the primary.
type move struct {
	cause    Cause
	operator string
	// target is the only member to move to; nil for any eligible replica.
	target *memberState
	// forced moves go on at the time limit, because the primary has to leave its member.
	forced bool
	// repromote is true when the same member is promoted again in a higher term, to take back members that another promoter
	// fenced.
	repromote bool
	rounds    int
	deadline  time.Time
	// drainedAt is when the home reported that no write transaction runs; zero before.
	drainedAt time.Time
}

// maxMoveRounds bounds the promotions of one forced move. The second one is needed when the old primary's log was ahead.
const maxMoveRounds = 3

// mustLeave reports whether operators want no work on the member.
func (k *memberState) mustLeave() bool { return k.Leaving || k.DomainOut }

// eligible reports whether a planned move may promote the member.
func (m *Machine) eligible(k *memberState, now time.Time) bool {
	if k == m.primary || k.mustLeave() || k.broken || !m.current(k, now) {
		return false
	}
	return k.status.Role == upstream.RoleReplica && k.status.Term == m.term && !m.hearsNoPrimary(k.status)
}

// Switchover starts a planned move of the primary. The error says why the order is refused; nothing was changed then.
func (m *Machine) Switchover(r SwitchoverRequest, now time.Time) ([]Action, error) {
	m.begin(now)
	if m.phase != PhaseSteady {
		return nil, ErrNotSteady
	}
	if !m.authority {
		return nil, ErrNoAuthority
	}
	mv := &move{cause: CauseOperator, operator: r.Operator}
	if r.Target != "" {
		mv.target = m.member(r.Target)
		if mv.target == nil || mv.target == m.primary {
			return nil, ErrInvalidTarget
		}
	}
	if !m.anyTarget(mv, now) {
		return nil, ErrNotEligible
	}
	m.startMove(mv, now, "moving the primary on an operator's order")
	return m.evaluate(now), nil
}

// anyTarget reports whether some member may become the primary by the move.
func (m *Machine) anyTarget(mv *move, now time.Time) bool {
	for _, k := range m.members {
		if (mv.target == nil || mv.target == k) && m.eligible(k, now) {
			return true
		}
	}
	return false
}

// considerMove moves the primary off a member that has to be emptied, and starts a higher term when members that another
// promoter fenced cannot follow in the present one.
func (m *Machine) considerMove(now time.Time) {
	if !m.authority || now.Before(m.moveAt) {
		return
	}
	if m.primary.mustLeave() {
		m.leaveMember(now)
		return
	}
	for _, k := range m.members {
		if !k.beyondSince.IsZero() && now.Sub(k.beyondSince) >= m.timing.PartitionTimeout && m.current(k, now) {
			k.beyondSince = time.Time{}
			m.delayMoves(now)
			m.startMove(&move{cause: CauseMemberFenced, repromote: true}, now, "a member was fenced by another promoter and cannot follow in the present term")
			return
		}
	}
}

func (m *Machine) leaveMember(now time.Time) {
	mv := &move{cause: CauseMemberLeaving, forced: true}
	if m.primary.DomainOut {
		mv.cause = CauseDomainOut
	}
	if !m.anyTarget(mv, now) {
		m.delayMoves(now)
		m.record(StepSwitchover, CauseNoTarget, m.primary, now, "%s has to be emptied, but no replica can take over", m.primary.ID)
		return
	}
	m.startMove(mv, now, "moving the primary off a member that has to be emptied")
}

// delayMoves sets the earliest time of the next planned move.
func (m *Machine) delayMoves(now time.Time) {
	m.moveAt = now.Add(min(m.timing.SwitchoverRetryMin<<min(m.moveRetries, maxBackoffs), m.timing.SwitchoverRetryMax))
	m.moveRetries++
}

func (m *Machine) startMove(mv *move, now time.Time, text string) {
	m.move = mv
	m.holdForMove(now)
	m.record(StepHold, mv.cause, m.primary, now, "%s; new writes wait", text)
}

// holdForMove asks the home to hold and drain writes. Idle transactions are rolled back only when the move is forced.
func (m *Machine) holdForMove(now time.Time) {
	mv := m.move
	mv.rounds++
	mv.deadline = now.Add(m.timing.WriteHoldTimeout)
	mv.drainedAt = time.Time{}
	rollBack := mv.deadline.Add(rollBackMargin)
	if mv.forced {
		rollBack = mv.deadline.Add(-rollBackMargin)
	}
	m.hold(HoldWrites{Drain: true, Deadline: rollBack})
	m.enter(PhaseHolding, mv.cause, now)
}

// WritesDrained reports that no write transaction runs any more after HoldWrites.
func (m *Machine) WritesDrained(now time.Time) []Action {
	m.begin(now)
	if m.phase == PhaseHolding && m.move.drainedAt.IsZero() {
		m.move.drainedAt = now
	}
	return m.evaluate(now)
}

// stepHolding goes on to fence the members once a replica has received everything that the primary wrote before the
// writes were drained.
func (m *Machine) stepHolding(now time.Time) {
	if !m.checkPrimary(now) {
		return
	}
	p := m.primary
	if (p.broken || m.silent(p, now)) && m.checkLost(now) {
		return
	}
	mv := m.move
	target := m.bestTarget(now)
	switch {
	case m.primaryRead(now) && m.caughtUp(target):
		m.attempt.preferred = target
		m.startAttempt(mv.cause, "writes are drained and a replica has received everything", now)
	case now.Before(mv.deadline):
	case mv.forced && target != nil:
		m.attempt.preferred = target
		m.startAttempt(mv.cause, "the time to drain is over and the primary has to leave its member", now)
	default:
		m.fallBack(now)
	}
}

// primaryRead reports whether the primary's status was read after the writes were drained, and reads it if not.
func (m *Machine) primaryRead(now time.Time) bool {
	drained := m.move.drainedAt
	if drained.IsZero() {
		return false
	}
	if !m.primary.readAt.Before(drained) {
		return true
	}
	m.probeEvery(m.primary, busyTick, now)
	return false
}

// bestTarget returns the eligible member with the latest log end, or nil.
func (m *Machine) bestTarget(now time.Time) *memberState {
	if m.move.repromote {
		return m.primary
	}
	var best *memberState
	for _, k := range m.members {
		if m.move.target != nil && m.move.target != k || !m.eligible(k, now) {
			continue
		}
		if best == nil || m.compareCandidates(k, best) < 0 {
			best = k
		}
	}
	return best
}

// caughtUp reports whether the member's log is not behind the primary's and is applied. A member applies its whole log
// before it leads, and writes would be held for that time.
func (m *Machine) caughtUp(k *memberState) bool {
	if k == nil || k.status.LogEnd().Less(m.primary.status.LogEnd()) {
		return false
	}
	return k == m.primary || applyLag(k.status) == 0
}

// fallBack ends a planned move without having changed anything at the members.
func (m *Machine) fallBack(now time.Time) {
	cause := CauseNotCaughtUp
	switch {
	case m.move.drainedAt.IsZero():
		cause = CauseNotDrained
	case m.bestTarget(now) == nil:
		cause = CauseNoTarget
	}
	m.delayMoves(now)
	m.failMove(cause, now)
	m.releaseWrites()
	m.enter(PhaseSteady, cause, now)
}

// failMove ends a planned move that did not lead to the new primary.
func (m *Machine) failMove(cause Cause, now time.Time) {
	if m.move == nil {
		return
	}
	m.record(StepSwitchover, cause, m.primary, now, "the planned move has ended without the new primary")
	m.move = nil
	m.attempt.preferred = nil
	m.act(SwitchoverFailed{Cause: cause})
}

// continueMove ends the planned move after a promotion, or goes on when the promoted member has to be emptied itself.
func (m *Machine) continueMove(now time.Time) bool {
	mv := m.move
	if mv == nil {
		return false
	}
	if mv.forced && m.primary.mustLeave() && mv.rounds < maxMoveRounds {
		m.record(StepSwitchover, mv.cause, m.primary, now, "the old primary's log was ahead; moving on from it in the new term")
		m.holdForMove(now)
		return true
	}
	m.move = nil
	m.moveRetries = 0
	return false
}
