package home

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/quorum"
	"github.com/celerystep/celerystep/internal/upstream"
)

// maxRoundWait is the time after which a round without a majority no longer keeps the next one from being sent.
const maxRoundWait = 5 * time.Millisecond

// rounds shares status rounds between the periodic confirmation of the claim and requests that need a read index.
type rounds struct {
	// due is when the next round is sent at the latest.
	due time.Time
	// open is the round that has no majority yet, or 0; sent is when it was sent.
	open    quorum.RoundID
	sent    time.Time
	waiters []*indexWaiter
}

// indexWaiter waits for the read index of the round with the id, or of a later one.
type indexWaiter struct {
	id    quorum.RoundID
	index position.Position
	// ok is false when the group was closed before a round completed.
	ok   bool
	done chan struct{}
}

// joinRound adds a waiter to the next round that has not been sent and sends it unless another one is under way.
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

// leaveRound removes a waiter whose request ended.
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

// startRound asks all members for their status. now must have been read before.
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

// ask replaces the round that the member has not been asked for yet; its answer to a later round serves earlier ones.
func (m *member) requestRound(id quorum.RoundID) {
	select {
	case <-m.pendingRound:
	default:
	}
	m.pendingRound <- id
}

// answerRounds asks the member for its status once for each round that it can keep up with.
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
		return // a member that does not answer is found by its status stream
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.phase != phaseClosed {
		g.handleRoundResponse(id, &s)
	}
}

// answered takes a member's answer to a round.
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

// indexReady serves the requests that joined the round or an earlier one, and sends the next round when others wait.
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

// failRounds ends all waiters because the group is closed.
func (g *Group) failRounds() {
	for _, w := range g.rounds.waiters {
		close(w.done)
	}
	g.rounds.waiters = nil
}
