package home

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/mutation"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/retry"
)

var errTransactionLost = errors.New("the transaction was rolled back because its connection or home was lost")

// sessionState is what a group holds for a session: a running request, an open transaction, or the fact that its
// transaction was lost. It is guarded by the group's lock.
type sessionState struct {
	id       request.SessionID
	customer string
	call     *call
	// conn is the connection of the open transaction.
	conn *conn
	// lost is true from the loss of a transaction until the session ends it.
	lost bool
	// ended is true once End was called while a request was running.
	ended bool
}

// admits checks that the session may start the request.
func (s *sessionState) admits(c *call) *retry.Error {
	if s.call != nil {
		return c.notRun(retry.CodeProtocol, "session", errors.New("the session has a request that is still running"))
	}
	if s.customer != c.r.Customer {
		return c.notRun(retry.CodeAuthentication, "session", errors.New("the session belongs to another customer"))
	}
	return nil
}

// runPinned runs a statement of an open transaction. It is never retried, because a failure ends the transaction.
func (g *Group) runPinned(c *call) request.Result {
	if e := g.await(c); e != nil {
		return g.failed(c, &failure{Error: e})
	}
	res, f := g.execute(c)
	if f != nil {
		return g.failed(c, f)
	}
	return res
}

// loseTransaction rolls back what is left of the call's transaction. It returns false when there is none: the request
// was outside of one, or it ended with the request.
func (g *Group) loseTransaction(c *call, cause *retry.Error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := c.session
	if s.conn == nil && (!c.pinned || c.ended) {
		return false
	}
	s.lost = true
	e := Event{Kind: EventTransactionEnd, Cause: cause.Code, Step: cause.Step, Customer: c.r.Customer,
		Trace: c.r.Trace, Text: "The transaction was rolled back: " + cause.Message()}
	if s.conn != nil {
		e.Member = s.conn.member
		g.rollBack(s)
	}
	g.record(e)
	return true
}

// rollBackIdle rolls back the open transaction of a session that runs no request.
func (g *Group) rollBackIdle(s *sessionState, cause string) {
	if s.conn == nil {
		return
	}
	g.record(Event{Kind: EventTransactionEnd, Cause: cause, Member: s.conn.member, Customer: s.customer,
		Text: "An idle transaction was rolled back."})
	s.lost = true
	g.rollBack(s)
}

// pin keeps the connection for the session's transaction.
func (g *Group) pin(s *sessionState, cn *conn, now time.Time) {
	s.conn = cn
	cn.session = s
	cn.since = now
}

// unpin ends the session's hold on the connection, if any.
func (g *Group) unpin(cn *conn) {
	if cn.session == nil {
		return
	}
	cn.session.conn = nil
	cn.session = nil
}

// endIdleTransactions rolls back transactions whose sessions have been idle for too long.
func (g *Group) endIdleTransactions(now time.Time) {
	for _, cn := range g.conns {
		if s := cn.session; s != nil && s.call == nil && now.Sub(cn.since) > g.o.IdleTransactionTimeout {
			g.rollBackIdle(s, "idle_transaction")
		}
	}
}

// rollBack takes the connection from the session and resets it in its own goroutine.
func (g *Group) rollBack(s *sessionState) {
	cn := s.conn
	g.unpin(cn)
	if g.phase == phaseClosed {
		g.forget(cn.id)
		return
	}
	g.pool.Reset(cn.id)
	if mutation.On(mutation.SkipReset) {
		g.pool.Release(cn.id, g.now())
		return
	}
	g.task(func() { g.check(cn, g.resetConn) })
}

// endSession releases what the session holds.
func (g *Group) endSession(id request.SessionID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.sessions[id]
	if s == nil {
		return
	}
	if c := s.call; c != nil {
		s.ended = true
		g.stopLocked(c, stopAbandoned)
		return
	}
	g.rollBackIdle(s, "session_ended")
	s.lost = false
	g.tidy(s)
}

// cancelSession stops the running request of the session.
func (g *Group) cancelSession(id request.SessionID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.sessions[id]; s != nil && s.call != nil {
		g.stopLocked(s.call, stopCanceled)
	}
}

func (g *Group) stop(c *call, cause uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopLocked(c, cause)
}

// stopLocked stops the call wherever it is. A statement that runs gets a short time to end by itself.
func (g *Group) stopLocked(c *call, cause uint32) {
	if c.session.call != c || !c.stopped.CompareAndSwap(stopNone, cause) {
		return
	}
	switch c.state {
	case callGranted:
		cn := c.conn
		time.AfterFunc(cancelGrace, func() { g.cutOff(c, cn) })
	case callSettling:
		g.dropCommitLocked(c.commit, errCommitStop)
	default:
		if c.index != nil {
			g.leaveRound(c.index)
			return
		}
		g.withdraw(c, g.now(), func() *retry.Error { return c.canceled(request.OutcomeNotRun, "") })
	}
}

// cutOff closes the connection if the stopped call still runs on it.
func (g *Group) cutOff(c *call, cn *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.state == callGranted && c.conn == cn {
		cn.close()
	}
}

// checkDrained reports that a draining group has nothing left to wait for. The group must be locked.
func (g *Group) checkDrained() {
	if g.phase != phaseDraining && g.phase != phaseClosed {
		return
	}
	if g.phase == phaseDraining && (g.active > 0 || g.openTransactions() > 0) && !mutation.On(mutation.CutDrain) {
		return
	}
	select {
	case <-g.drained:
	default:
		close(g.drained)
	}
}

func (g *Group) openTransactions() int {
	n := 0
	for _, cn := range g.conns {
		if cn.session != nil {
			n++
		}
	}
	return n
}
