package home

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/failover"
	"github.com/celerystep/celerystep/internal/upstream"
)

// executeActions executes actions of the failover state machine. Operations on members run in separate goroutines and
// report their results to the state machine. The group must be locked.
func (g *Group) executeActions(actions []failover.Action) {
	// The state machine reuses the slice, and some actions call the state machine.
	own := append([]failover.Action(nil), actions...)
	for _, a := range own {
		g.executeAction(a)
	}
}

func (g *Group) executeAction(action failover.Action) {
	switch a := action.(type) {
	case failover.Probe:
		g.probeMember(a)
	case failover.Claim:
		g.runOperation(a.Op, a.Member, a.Timeout, func(ctx context.Context, m upstream.Member) (upstream.MemberStatus, error) {
			return g.port.Claim(ctx, m, a.Claim)
		})
	case failover.Fence:
		delay := g.fenceDelay(a.Member)
		g.runOperation(a.Op, a.Member, a.Timeout, func(ctx context.Context, m upstream.Member) (upstream.MemberStatus, error) {
			ctxtime.Sleep(ctx, delay)
			return g.port.Fence(ctx, m, a.Term, a.Owner)
		})
	case failover.Promote:
		g.runOperation(a.Op, a.Member, a.Timeout, func(ctx context.Context, m upstream.Member) (upstream.MemberStatus, error) {
			return g.port.Promote(ctx, m, a.Term, a.Owner)
		})
	case failover.Follow:
		g.follow(a)
	case failover.Claimed:
		g.handleClaimed(a)
	case failover.Announce:
		g.announcePrimary(a)
	case failover.ReleaseHome:
		g.loseRole(a.Cause)
	case failover.HoldWrites:
		g.holdWrites(a)
	case failover.ReleaseWrites:
		g.writesHeld = false
		g.reportDrain = false
		g.dispatch(g.now())
	case failover.SwitchoverFailed:
		g.failSwitchovers(errors.Errorf("the switchover ended without a new primary: %s", a.Cause))
	case failover.Record:
		g.recordExplanation(a.Explanation)
	}
}

// primaryFenceDelay lets the replicas respond to a fence request before the old primary does. The state machine
// promotes the member with the longest log among the first majority to respond. If the old primary is among them, its
// log is the longest and it is promoted again, which happened in 4 of 12 partitions and extended the write gap from 1.9
// s to as much as 5.9 s.
const primaryFenceDelay = 20 * time.Millisecond

// fenceDelay returns how long to wait before fencing the member.
func (g *Group) fenceDelay(id upstream.MemberID) time.Duration {
	if id != g.primary {
		return 0
	}
	return primaryFenceDelay
}

func (g *Group) probeMember(a failover.Probe) {
	m := g.member(a.Member)
	if m == nil {
		return
	}
	spec := m.spec
	g.spawn(func() {
		ctx, cancel := context.WithTimeout(g.ctx, a.Timeout)
		defer cancel()
		s, err := g.port.Status(ctx, spec)
		g.report(&s, err, a.Member, "probe", func(s *upstream.MemberStatus, e *upstream.MemberError, now time.Time) []failover.Action {
			return g.machine.ProbeDone(a.Member, s, e, now)
		})
	})
}

// operation changes the state of a member and returns the member's new status.
type operation func(context.Context, upstream.Member) (upstream.MemberStatus, error)

func (g *Group) runOperation(op failover.OperationID, id upstream.MemberID, timeout time.Duration, run operation) {
	m := g.member(id)
	if m == nil {
		return
	}
	spec := m.spec
	g.spawn(func() {
		ctx, cancel := context.WithTimeout(g.ctx, timeout)
		defer cancel()
		s, err := run(ctx, spec)
		g.report(&s, err, id, "operation", func(s *upstream.MemberStatus, e *upstream.MemberError, now time.Time) []failover.Action {
			return g.machine.OperationDone(op, s, e, now)
		})
	})
}

func (g *Group) follow(a failover.Follow) {
	p := g.member(a.Primary)
	if p == nil {
		return
	}
	primary := p.spec
	g.runOperation(a.Op, a.Member, a.Timeout, func(ctx context.Context, m upstream.Member) (upstream.MemberStatus, error) {
		return g.port.Follow(ctx, m, a.Term, a.Owner, primary)
	})
}

// reporter passes the result of an operation to the state machine.
type reporter func(*upstream.MemberStatus, *upstream.MemberError, time.Time) []failover.Action

// report delivers the result of an operation to the state machine. A returned status is also processed like one from
// the status stream.
func (g *Group) report(s *upstream.MemberStatus, err error, id upstream.MemberID, step string, deliver reporter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.phase == phaseClosed {
		return
	}
	now := g.now()
	if err != nil {
		g.executeActions(deliver(nil, memberError(err, id, step), now))
		return
	}
	change := g.tracker.Observe(s, now)
	g.executeActions(deliver(s, nil, now))
	if g.phase != phaseClosed {
		g.handleStatusChange(change, now)
	}
}

// memberError returns err as a *MemberError, which is the only error type that a port should return. Any other error is
// treated as a lost response.
func memberError(err error, id upstream.MemberID, step string) *upstream.MemberError {
	var e *upstream.MemberError
	if errors.As(err, &e) {
		return e
	}
	return &upstream.MemberError{Kind: upstream.ErrUnreachable, Step: step, Member: id, Err: err}
}

// spawn runs f in a goroutine that the group waits for when it closes.
func (g *Group) spawn(f func()) { g.tasks.Go(f) }

// handleClaimed starts serving. After an unplanned takeover, the buckets start to refill only once the authority of the
// old home has expired. That period is counted from now, because the old home's last confirmation came before this
// majority accepted the claim.
func (g *Group) handleClaimed(a failover.Claimed) {
	now := g.now()
	if g.phase != phaseClaiming {
		g.handleReclaimed(a, now)
		return
	}
	g.claim = a.Claim
	g.phase = phaseServing
	g.tracker.SetClaim(a.Claim)
	g.startBuckets(now)
	g.startRound(now)
	g.record(Event{Kind: EventClaim, Cause: string(failover.CauseStart), Text: g.claimText()})
	close(g.claimedOrLost)
	g.wakeLoop()
}

// handleReclaimed continues under a higher generation, with which the state machine reclaimed members that another
// instance had claimed. The members have closed the connections of the lower generation.
func (g *Group) handleReclaimed(a failover.Claimed, now time.Time) {
	g.claim = a.Claim
	g.tracker.SetClaim(a.Claim)
	for _, m := range g.members {
		for _, drop := range g.pool.DropMember(m.spec.ID) {
			g.removeConn(drop.Conn)
		}
	}
	g.record(Event{Kind: EventClaim, Cause: "claimed_again", Text: "A majority accepted a higher generation of this home; connections are opened anew."})
	g.startRound(now)
	g.wakeLoop()
}

func (g *Group) claimText() string {
	if g.handoverValid() {
		return "A majority accepted the claim after a handover; buckets continue at their levels."
	}
	return "A majority accepted the claim; buckets start empty."
}

// announcePrimary makes a.Primary the target of writes.
func (g *Group) announcePrimary(a failover.Announce) {
	now := g.now()
	old := g.primary
	if g.primary == a.Primary && g.term == a.Term {
		return
	}
	g.primary = a.Primary
	g.term = a.Term
	g.pool.SetPrimary(a.Primary)
	if old != "" && old != a.Primary {
		g.trackWriteGap(now)
		g.metrics.recordPrimaryChange(g.writeGapDuration(now))
		g.closeWriteConns(old)
	}
	g.completeCommits()
	g.log.Info("primary announced", "primary", a.Primary, "term", a.Term, "previous", old)
	g.finishSwitchovers()
	if f := g.o.OnChange; f != nil {
		o := g.ownership()
		g.manager.tasks.Go(func() { f(o) })
	}
	g.probeIdleConns(now)
	g.dispatch(now)
	g.wakeLoop()
}

// probeIdleConns makes the pool probe all idle connections before they are reused. A change of primary may have broken
// them, and a write sent on a broken connection has an unknown outcome.
func (g *Group) probeIdleConns(now time.Time) {
	for _, m := range g.members {
		g.pool.ProbeMember(m.spec.ID, now)
	}
	g.planPool(now)
}

// writeGapDuration returns how long the group has been without a primary that accepts writes.
func (g *Group) writeGapDuration(now time.Time) time.Duration {
	if g.writeGapSince.IsZero() {
		return 0
	}
	return now.Sub(g.writeGapSince)
}

// closeWriteConns closes the connections to the replaced primary that run a write or have an open write transaction.
// Their commits can no longer be acknowledged, so waiting for responses would only delay the callers.
func (g *Group) closeWriteConns(old upstream.MemberID) {
	for _, cn := range g.conns {
		if cn.member == old && cn.writing {
			cn.close()
		}
	}
}

// holdWrites keeps new writes in the queue during a switchover.
func (g *Group) holdWrites(a failover.HoldWrites) {
	g.writesHeld = true
	g.reportDrain = a.Drain
	g.holdDeadline = a.Deadline
	g.checkWriteHold(g.now())
}

// checkWriteHold notifies the state machine once the active writes have drained. After the hold deadline, it rolls back
// idle write transactions.
func (g *Group) checkWriteHold(now time.Time) {
	if !g.reportDrain {
		return
	}
	if g.activeWrites == 0 {
		g.reportDrain = false
		g.executeActions(g.machine.WritesDrained(now))
		return
	}
	if now.Before(g.holdDeadline) {
		return
	}
	for _, cn := range g.conns {
		if s := cn.session; s != nil && s.call == nil && cn.writing {
			g.rollBackIdle(s, "switchover")
		}
	}
}
