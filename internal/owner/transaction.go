package owner

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/statement"
)

// txMode describes how a transaction was opened on its member.
type txMode struct {
	// begin is the kind of the statement that opened it there; KindInvalid outside transactions.
	begin statement.Kind
	// guarded is true for a read or a read-only transaction of the caller that runs in a plain transaction, so that a
	// member which lost the lead refuses it.
	guarded bool
	// wrote is true once a statement of the transaction has changed data.
	wrote bool
}

// transaction is the open transaction of a session.
type transaction struct {
	memberConn *memberConn
	mode       txMode
	// primary is true when the transaction runs on the primary.
	primary bool
	busy    bool
	// abandoned is true when the caller left while a statement was running.
	abandoned bool
	lastUsed  time.Time
}

// keepTransaction records the transaction that the call has opened. The session's instance may have given up an earlier first
// statement that was still running here, so a transaction that the session has already is rolled back. The group is locked.
func (g *Group) keepTransaction(c *call, l *memberConn, primary bool) {
	if old := g.txs[c.r.Session]; old != nil {
		g.log.Info("rolling back a transaction that its session has replaced", "session", c.r.Session.Number, "instance", c.r.Session.Instance)
		if old.busy {
			old.abandoned = true
		} else {
			g.rollBack(c.r.Session, old)
		}
	}
	now := g.o.Clock()
	l.markAnswered()
	c.tx.wrote = c.r.Statement.Writes()
	g.txs[c.r.Session] = &transaction{memberConn: l, mode: c.tx, primary: primary, lastUsed: now}
	g.scheduler.Done(l.id, true, now)
	g.applyPlan(now)
}

// readOnlyDetail explains the refusal of a write in a guarded read-only transaction, which its member would accept.
const readOnlyDetail = "the transaction is read-only"

// runInTransaction runs a statement on the connection of the session's transaction.
func (g *Group) runInTransaction(caller context.Context, r *operation.Request) operation.Response {
	c, refused := g.admit(r)
	g.mu.Lock()
	t := g.txs[r.Session]
	switch {
	case t == nil || t.busy:
		g.mu.Unlock()
		return aborted("the transaction was rolled back")
	case refused != nil || t.memberConn.customer != c.customerName():
		g.rollBack(r.Session, t)
		g.mu.Unlock()
		detail := "the key belongs to another customer now"
		if refused != nil {
			detail = refused.Detail
		}
		g.logRefusal(r, "aborted", detail)
		return aborted(detail)
	case g.covers != nil && !g.covers(t.memberConn, g.o.Clock()):
		g.abandonTransaction(r.Session, t, errLoanEnded)
		g.mu.Unlock()
		return aborted(errLoanEnded.Error())
	case t.mode.guarded && r.Statement.Writes():
		g.rollBack(r.Session, t)
		g.mu.Unlock()
		g.logRefusal(r, statement.CodeReadOnly.String(), readOnlyDetail)
		return operation.Response{Answer: statement.Answer{Code: statement.CodeReadOnly, Detail: readOnlyDetail, State: statement.TxFailed}}
	}
	c.tx, c.claim = t.mode, g.claim.Revision
	l := t.memberConn
	if c.commits() && t.primary && !g.machine.MayCommit(l.member.ID) {
		g.rollBack(r.Session, t)
		g.mu.Unlock()
		g.logRefusal(r, "aborted", primaryChangeDetail, "member", l.member.ID)
		return aborted(primaryChangeDetail)
	}
	t.busy = true
	l.markSent(g.o.Clock())
	g.scheduler.Resume(l.id, g.o.Clock())
	g.mu.Unlock()

	ctx, cancel := context.WithDeadline(caller, time.Now().Add(c.deadline.Sub(g.o.Clock())))
	defer cancel()
	answer, err := g.executeInTransaction(ctx, c, l, t.primary)
	if g.answered != nil && caller.Err() == nil {
		g.answered(answer.Code, err)
	}
	c.begun.finish(answer.Code, err)
	g.countAnswer(t.primary, answer.Code)
	if err == nil && answer.Code == statement.CodeOK {
		g.logAnswer(c, l, t.primary, answer)
	}
	resp := g.completeInTransaction(ctx, c, t, answer, err)
	c.begun.record(&resp, c.arrived)
	return resp
}

// completeInTransaction keeps or ends the transaction after a statement.
func (g *Group) completeInTransaction(ctx context.Context, c *call, t *transaction, answer statement.Answer, err error) operation.Response {
	l := t.memberConn
	ends := c.r.Statement.Kind == statement.KindCommit
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock()
	t.busy, t.lastUsed = false, now
	if err != nil {
		g.forgetTransaction(c.r.Session, t)
		g.recordLoss(l, err, now)
		g.releaseConn(l, err)
		if ends && t.primary || c.ranElsewhere(err) {
			g.logFailure(c, l, "in_doubt", err.Error(), false)
			return operation.Response{Answer: statement.Answer{Code: statement.CodeInDoubt, Detail: inDoubtDetail(err), State: statement.TxIdle}}
		}
		g.logFailure(c, l, "aborted", err.Error(), false)
		return aborted("the connection to the member broke in the transaction")
	}
	if answer.Code == statement.CodeOK && answer.State == statement.TxOpen && !ends && !t.abandoned {
		t.mode.wrote = t.mode.wrote || c.r.Statement.Writes()
		l.markAnswered()
		g.scheduler.Done(l.id, true, now)
		g.applyPlan(now)
		return operation.Response{Answer: answer}
	}
	g.forgetTransaction(c.r.Session, t)
	if answer.Code != statement.CodeOK {
		g.logFailure(c, l, answer.Code.String(), answer.Detail, false)
		if answer.Code == statement.CodeReadOnly && t.primary {
			g.machine.ReportedNotPrimary(l.member.ID, now)
			g.signal()
		}
	}
	g.releaseConn(l, nil)
	if answer.Code != statement.CodeOK && answer.State != statement.TxIdle {
		answer.State = statement.TxFailed
	}
	return operation.Response{Answer: answer}
}

func (g *Group) openTransactions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.txs)
}

func (g *Group) hasTransaction(s operation.SessionID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.txs[s] != nil
}

// endTransaction rolls back the session's transaction.
func (g *Group) endTransaction(s operation.SessionID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.txs[s]
	if t == nil {
		return
	}
	if t.busy {
		t.abandoned = true
		return
	}
	g.rollBack(s, t)
}

// endUnclaimed rolls back the transaction that the request has opened if its sender has given the request up. The sender's end may
// have arrived before the transaction was open.
func (g *Group) endUnclaimed(ctx context.Context, r *operation.Request) {
	if ctx.Err() != nil && r.Begin != statement.KindInvalid {
		g.endTransaction(r.Session)
	}
}

// rollBack ends an idle transaction in the background. The group is locked.
func (g *Group) rollBack(s operation.SessionID, t *transaction) {
	g.forgetTransaction(s, t)
	g.rollBackConn(t.memberConn)
}

// forgetTransaction removes the transaction unless its session has another one by now.
func (g *Group) forgetTransaction(s operation.SessionID, t *transaction) {
	if g.txs[s] == t {
		delete(g.txs, s)
	}
}

// abandonTransaction closes the connection of a transaction, which ends the transaction at its member. A statement that runs on it
// fails. The group is locked.
func (g *Group) abandonTransaction(s operation.SessionID, t *transaction, cause error) {
	l := t.memberConn
	g.log.Info("transaction aborted", "session", s.Number, "instance", s.Instance, "member", l.member.ID, "busy", t.busy, "cause", cause)
	l.close(cause)
	if t.busy {
		return
	}
	g.forgetTransaction(s, t)
	delete(g.conns, l.id)
	g.scheduler.Closed(l.id)
}

// dropTransaction removes the idle transaction of a lost connection.
func (g *Group) dropTransaction(l *memberConn) {
	for s, t := range g.txs {
		if t.memberConn == l && !t.busy {
			g.log.Info("transaction lost with its connection", "session", s.Number, "instance", s.Instance, "member", l.member.ID)
			delete(g.txs, s)
		}
	}
}
