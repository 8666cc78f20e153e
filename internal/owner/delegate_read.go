package owner

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/delegation"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/statement"
)

const (
	// delegateWaitPercent and delegateRunPercent are the percentages of a route's target latency by which a read must have a
	// connection, and its answer. Later it falls back to the owner.
	delegateWaitPercent = 50
	delegateRunPercent  = 70
)

// runRead runs a read, or opens a read-only transaction with its first read, if the loan, the customer's rate and the known
// positions permit it. It takes tokens from the rate limiter of an owned group.
func (d *Delegate) runRead(ctx context.Context, r *operation.Request, tokens *Group) operation.ReadResult {
	if !d.borrowed() {
		return operation.ReadResult{Decline: delegation.DeclineNoGrant}
	}
	c, refused := d.g.admit(r)
	if refused != nil || !c.delegable() {
		return operation.ReadResult{Decline: delegation.DeclineNotAdmitted}
	}
	if decline := d.precheck(c); decline != delegation.DeclineNone {
		return operation.ReadResult{Decline: decline}
	}
	if ok, _ := tokens.takeToken(ctx, c); !ok {
		return operation.ReadResult{Decline: delegation.DeclineOverRate}
	}
	result := d.attempt(ctx, c)
	if !result.Charged && (result.Decline != delegation.DeclineNone || result.Response.Code.NotRun()) {
		tokens.returnToken(c)
	}
	result.Response.CatalogRevision = c.catalog.Revision
	return result
}

// delegable reports whether a delegate may run the call.
func (c *call) delegable() bool {
	return c.reads() && !c.r.Statement.Writes() && !c.r.InTransaction && c.route.Consistency != catalog.Primary
}

// precheck declines at once a call whose floor is not known, and a transaction that would have to wait for the end of another.
func (d *Delegate) precheck(c *call) delegation.Decline {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	if _, ok := d.g.floor(c); !ok {
		return delegation.DeclineFloorUnknown
	}
	if c.r.Begin != statement.KindInvalid && !d.g.scheduler.TransactionRoom() {
		return delegation.DeclineBusy
	}
	return delegation.DeclineNone
}

// attempt queues the read and runs it once.
func (d *Delegate) attempt(caller context.Context, c *call) operation.ReadResult {
	g := d.g
	target := c.due.Sub(c.arrived)
	c.due = c.arrived.Add(target * delegateWaitPercent / 100)
	left := c.arrived.Sub(g.o.Clock())
	run, cancel := context.WithTimeout(caller, left+target*delegateRunPercent/100)
	defer cancel()
	queue, leave := context.WithTimeout(run, left+target*delegateWaitPercent/100)
	defer leave()
	l, _, refused := g.acquire(queue, c)
	if refused != nil {
		return operation.ReadResult{Decline: delegation.DeclineBusy}
	}
	if decline := d.recheck(c, l); decline != delegation.DeclineNone {
		g.releaseUnused(l)
		return operation.ReadResult{Decline: decline}
	}
	c.attempts++
	answer, err := g.execute(run, c, l, false)
	if caller.Err() == nil {
		d.recordOutcome(answer.Code, err)
	}
	c.begun.finish(answer.Code, err)
	resp, again := g.completeAttempt(run, c, l, false, answer, err)
	c.begun.record(&resp, c.arrived)
	if again || err != nil || resp.Code == statement.CodeTimeout {
		return operation.ReadResult{Decline: delegation.DeclineFailed, Charged: !resp.Code.NotRun()}
	}
	return operation.ReadResult{Response: resp}
}

// recordOutcome records whether a statement on the replica failed, which may give the loan up. The replica is not the cause when the
// loan has ended or the connection could not be set up for the session.
func (d *Delegate) recordOutcome(code statement.Code, err error) {
	if errors.Is(err, errLoanLapsed) || errors.Is(err, errLoanEnded) || errors.Is(err, errSessionState) {
		return
	}
	failed := err != nil || code == statement.CodeFailed
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	now := d.g.o.Clock()
	grant, _, ok := d.loan(now)
	if ok && d.borrower.Record(failed, now) {
		d.g.log.Info("too many reads on the borrowed replica fail", "member", grant.Member)
		d.g.signal()
	}
}

// recheck repeats, right before the read is sent, the checks whose result may have changed since: the process may have been
// frozen, or the read was queued.
func (d *Delegate) recheck(c *call, l *memberConn) delegation.Decline {
	if d.g.revalidate(c) != nil {
		return delegation.DeclineNotAdmitted
	}
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	_, m, ok := d.loan(d.g.o.Clock())
	if !ok || !l.isTo(m) {
		return delegation.DeclineNoGrant
	}
	// The route may have changed, and positions of a new term may be known. Without a floor the replica would answer on any log.
	floor, ok := d.g.floor(c)
	if !ok {
		return delegation.DeclineFloorUnknown
	}
	c.floor = floor
	return delegation.DeclineNone
}
