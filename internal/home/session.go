package home

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/mutation"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/retry"
)

var errTransactionLost = errors.New("the transaction was rolled back because its connection or home was lost")

// sessionState is the state that a group keeps for a session while it has a request in progress, an open transaction
// or a lost transaction. It is guarded by the group's lock.
type sessionState struct {
	id       request.SessionID
	customer string
	call     *call
	// conn is the connection of the open transaction.
	conn *conn
	// transactionLost is true after the open transaction was lost, until the session ends it.
	transactionLost bool
	// endRequested is true if End was called while a request was in progress.
	endRequested bool
}

// checkStart returns an error if the session may not start the call.
func (s *sessionState) checkStart(c *call) *retry.Error {
	if s.call != nil {
		return c.notRun(retry.CodeProtocol, "session", errors.New("the session has a request that is still running"))
	}
	if s.customer != c.r.Customer {
		return c.notRun(retry.CodeAuthentication, "session", errors.New("the session belongs to another customer"))
	}
	return nil
}

// runPinned runs a statement of an open transaction. It never retries, because a failure ends the transaction.
func (g *Group) runPinned(c *call) request.Result {
	if e := g.awaitConn(c); e != nil {
		return g.failedResult(c, &failure{Error: e})
	}
	res, f := g.execute(c)
	if f != nil {
		return g.failedResult(c, f)
	}
	return res
}

// loseTransaction rolls back the call's transaction and marks it as lost. It returns false if there is none: the call
// was outside a transaction, or the transaction ended with the call.
func (g *Group) loseTransaction(c *call, cause *retry.Error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := c.session
	if s.conn == nil && (!c.pinned || c.transactionEnded) {
		return false
	}
	s.transactionLost = true
	e := Event{Kind: EventTransactionEnd, Cause: cause.Code, Step: cause.Step, Customer: c.r.Customer,
		Trace: c.r.Trace, Text: "The transaction was rolled back: " + cause.Message()}
	if s.conn != nil {
		e.Member = s.conn.member
		g.rollBack(s)
	}
	g.record(e)
	return true
}

// rollBackIdle rolls back the open transaction of a session without a request in progress.
func (g *Group) rollBackIdle(s *sessionState, cause string) {
	if s.conn == nil {
		return
	}
	g.record(Event{Kind: EventTransactionEnd, Cause: cause, Member: s.conn.member, Customer: s.customer,
		Text: "An idle transaction was rolled back."})
	s.transactionLost = true
	g.rollBack(s)
}

// pin reserves the connection for the session's open transaction.
func (g *Group) pin(s *sessionState, cn *conn, now time.Time) {
	s.conn = cn
	cn.session = s
	cn.idleSince = now
}

// unpin ends the reservation of the connection, if any.
func (g *Group) unpin(cn *conn) {
	if cn.session == nil {
		return
	}
	cn.session.conn = nil
	cn.session = nil
}

// endIdleTransactions rolls back transactions that exceed the idle timeout.
func (g *Group) endIdleTransactions(now time.Time) {
	for _, cn := range g.conns {
		if s := cn.session; s != nil && s.call == nil && now.Sub(cn.idleSince) > g.o.IdleTransactionTimeout {
			g.rollBackIdle(s, "idle_transaction")
		}
	}
}

// rollBack unpins the connection of the session and resets it in a separate goroutine.
func (g *Group) rollBack(s *sessionState) {
	cn := s.conn
	g.unpin(cn)
	if g.phase == phaseClosed {
		g.removeConn(cn.id)
		return
	}
	g.pool.Reset(cn.id)
	if mutation.On(mutation.SkipReset) {
		g.pool.Release(cn.id, g.now())
		return
	}
	g.spawn(func() { g.checkConn(cn, g.resetConn) })
}

// endSession releases the resources of the session.
func (g *Group) endSession(id request.SessionID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.sessions[id]
	if s == nil {
		return
	}
	if c := s.call; c != nil {
		s.endRequested = true
		g.stopLocked(c, stopAbandoned)
		return
	}
	g.rollBackIdle(s, "session_ended")
	s.transactionLost = false
	g.removeIdleSession(s)
}

// cancelSession stops the session's request in progress.
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

// stopLocked stops the call in whichever state it is. A running statement gets a grace period to finish.
func (g *Group) stopLocked(c *call, cause uint32) {
	if c.session.call != c || !c.stopped.CompareAndSwap(stopNone, cause) {
		return
	}
	switch c.state {
	case callGranted:
		cn := c.conn
		time.AfterFunc(cancelGracePeriod, func() { g.closeIfRunning(c, cn) })
	case callAwaitingQuorum:
		g.abortCommitWaitLocked(c.commit, errCommitStopped)
	default:
		if c.index != nil {
			g.leaveRound(c.index)
			return
		}
		g.withdraw(c, g.now(), func() *retry.Error { return c.canceled(request.OutcomeNotRun, "") })
	}
}

// closeIfRunning closes the connection if the stopped call still uses it.
func (g *Group) closeIfRunning(c *call, cn *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.state == callGranted && c.conn == cn {
		cn.close()
	}
}

// checkDrained closes drained once a draining group has no requests and transactions left, or the group is closed. The
// group must be locked.
func (g *Group) checkDrained() {
	if g.phase != phaseDraining && g.phase != phaseClosed {
		return
	}
	if g.phase == phaseDraining && (g.activeRequests > 0 || g.openTransactions() > 0) && !mutation.On(mutation.CutDrain) {
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
