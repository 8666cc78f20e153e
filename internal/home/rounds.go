package home

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/quorum"
	"github.com/celerystep/celerystep/internal/upstream"
)

// maxRoundWait is how long a round without a majority of responses delays the next round.
const maxRoundWait = 5 * time.Millisecond

// rounds is the state of the status rounds, which periodically confirm the claim and provide read indexes. A status
// round is one status request to all members.
type rounds struct {
	// due is the latest time at which the next round starts.
	due time.Time
	// open is the round in flight that has no majority of responses yet, or 0; sent is when it started.
	open    quorum.RoundID
	sent    time.Time
	waiters []*indexWaiter
}

// indexWaiter waits for the read index of round id or a later one.
type indexWaiter struct {
	id    quorum.RoundID
	index position.Position
	// ok is true once index is set. It stays false if the wait ends without a read index.
	ok   bool
	done chan struct{}
}

// joinRound adds a waiter to the next round. It starts that round now, or after maxRoundWait at the latest if another
// one is in flight.
func (g *Group) joinRound(now time.Time) *indexWaiter {
	w := &indexWaiter{id: g.tracker.NextRound(), done: make(chan struct{})}
	g.rounds.waiters = append(g.rounds.waiters, w)
	if g.rounds.open == 0 || now.Sub(g.rounds.sent) >= maxRoundWait {
		g.startRound(now)
		return w
	}
	if next := g.rounds.sent.Add(maxRoundWait); next.Before(g.rounds.due) {
		g.rounds.due = next
		g.wakeLoop()
	}
	return w
}

// leaveRound removes a waiter whose request no longer waits.
func (g *Group) leaveRound(w *indexWaiter) {
	for i, other := range g.rounds.waiters {
		if other == w {
			g.rounds.waiters = append(g.rounds.waiters[:i], g.rounds.waiters[i+1:]...)
			close(w.done)
			return
		}
	}
}

func (g *Group) startDueRound(now time.Time) {
	if !now.Before(g.rounds.due) {
		g.startRound(now)
	}
}

// startRound requests the status of all members. now must have been read before the call.
func (g *Group) startRound(now time.Time) {
	id := g.tracker.StartRound(now)
	g.rounds.open = id
	g.rounds.sent = now
	g.rounds.due = now.Add(quorum.RoundInterval)
	g.metrics.rounds.Inc()
	for _, m := range g.members {
		m.requestRound(id)
	}
}

// requestRound makes id the member's pending round. It replaces an earlier one, because a response to a later round
// also counts for earlier rounds.
func (m *member) requestRound(id quorum.RoundID) {
	select {
	case <-m.pendingRound:
	default:
	}
	m.pendingRound <- id
}

// pollMember requests the member's status for each pending round, one at a time. A slow member skips rounds.
func (g *Group) pollMember(ctx context.Context, m *member) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-m.pendingRound:
			g.requestStatus(ctx, m, id)
		}
	}
}

func (g *Group) requestStatus(ctx context.Context, m *member, id quorum.RoundID) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	s, err := g.port.Status(ctx, g.specOf(m))
	if err != nil {
		return // the status stream detects unreachable members
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.phase != phaseClosed {
		g.handleRoundResponse(id, &s)
	}
}

// handleRoundResponse processes a member's response to a round.
func (g *Group) handleRoundResponse(id quorum.RoundID, s *upstream.MemberStatus) {
	now := g.now()
	res := g.tracker.Answer(id, s, now)
	if res.IndexReady {
		g.completeIndexWaiters(id, res.Index, now)
	}
	g.handleStatusChange(res.Change, now)
	if res.Authority {
		g.dispatch(now)
	}
}

// completeIndexWaiters passes the read index to the requests that joined the round or an earlier one, and starts the
// next round if others wait.
func (g *Group) completeIndexWaiters(id quorum.RoundID, index position.Position, now time.Time) {
	left := g.rounds.waiters[:0]
	for _, w := range g.rounds.waiters {
		if w.id > id {
			left = append(left, w)
			continue
		}
		w.index = index
		w.ok = true
		close(w.done)
	}
	clear(g.rounds.waiters[len(left):])
	g.rounds.waiters = left
	if id < g.rounds.open {
		return
	}
	g.rounds.open = 0
	if len(left) > 0 {
		g.startRound(now)
	}
}

// failRounds ends all waits without a read index, because the group is closed.
func (g *Group) failRounds() {
	for _, w := range g.rounds.waiters {
		close(w.done)
	}
	g.rounds.waiters = nil
}
