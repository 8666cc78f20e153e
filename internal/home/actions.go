package home

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/failover"
	"github.com/celerystep/celerystep/internal/upstream"
)

// executeActions carries out the actions of the failover state machine. Operations on members run in their own goroutines and
// report back. The group must be locked.
func (g *Group) executeActions(actions []failover.Action) {
	// The machine reuses the slice, and some actions call the machine again.
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
			sleep(ctx, delay)
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

// primaryFenceDelay lets the replicas answer a fence before the primary that is to be replaced. The state machine chooses
// among the first majority; with the old primary in it, the old primary was promoted again in 4 of 12 partitions, because
// its log is the longest, and the gap grew from 1.9 s to as much as 5.9 s.
const primaryFenceDelay = 20 * time.Millisecond

// fenceDelay returns the time to wait before the member is fenced.
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

type reporter func(*upstream.MemberStatus, *upstream.MemberError, time.Time) []failover.Action

// report gives the result of an operation to the state machine. A status in the answer is news like any other.
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

// memberError returns err as a *MemberError. The port returns nothing else; an unexpected error counts as an answer
// that did not arrive.
func memberError(err error, id upstream.MemberID, step string) *upstream.MemberError {
	var e *upstream.MemberError
	if errors.As(err, &e) {
		return e
	}
	return &upstream.MemberError{Kind: upstream.ErrUnreachable, Step: step, Member: id, Err: err}
}

// spawn runs f in a goroutine of the group.
func (g *Group) spawn(f func()) { g.tasks.Go(f) }

// handleClaimed starts serving. The buckets of an unplanned takeover refill only when the authority of the old home must
// have ended, counted from now, because the old home's last confirmation came before this majority accepted the claim.
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

// handleReclaimed goes on under a higher generation, with which the state machine took back members that another instance
// had claimed. Members have closed the connections of the lower generation.
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

// announcePrimary makes the primary the target of writes.
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

// probeIdleConns verifies all idle connections before they are used again. A change of primary may have broken them, and a
// write that is sent on a broken connection ends as unknown.
func (g *Group) probeIdleConns(now time.Time) {
	for _, m := range g.members {
		g.pool.ProbeMember(m.spec.ID, now)
	}
	g.planPool(now)
}

// writeGapDuration returns how long the group has been without a primary that takes writes.
func (g *Group) writeGapDuration(now time.Time) time.Duration {
	if g.writeGapSince.IsZero() {
		return 0
	}
	return now.Sub(g.writeGapSince)
}

// closeWriteConns closes the connections on which the replaced primary runs a write or holds a write transaction. Nothing
// that it still accepts can be acknowledged, so waiting for its answers would only delay the callers.
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

// checkWriteHold reports to the state machine once no write runs any more, and rolls back idle transactions that would
// outlast the hold.
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
