package caller

import (
	"context"
	"sync"
	"time"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/delegation"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// declineLogInterval bounds the log lines about reads of one group that a delegate did not serve.
	declineLogInterval = 5 * time.Second
	// delegateTimeoutPercent is the percentage of a route's target latency after which a read without an answer from the
	// delegate is sent to the owner. A delegate gives a read up earlier by itself.
	delegateTimeoutPercent = 80
)

// Delegates provides the delegates of groups in the failure domain of this instance.
type Delegates interface {
	// Delegate returns a claim of the delegate and whether it is this process; ok is false if there is none.
	Delegate(g upstream.GroupID) (claim ownership.Claim, mine, ok bool)
}

// delegatePath is what is known of the delegate of one group.
type delegatePath struct {
	mu         sync.Mutex
	process    ownership.Process
	backoff    delegation.Backoff
	loggedAt   time.Time
	suppressed int
}

// path returns the state of the group's delegate.
func (r *Router) path(g upstream.GroupID) *delegatePath {
	if p, ok := r.paths.Load(g); ok {
		return p.(*delegatePath)
	}
	p, _ := r.paths.LoadOrStore(g, &delegatePath{})
	return p.(*delegatePath)
}

// delegateRef identifies the process of a delegate.
type delegateRef struct {
	claim ownership.Claim
	mine  bool
}

// holder returns the delegate that holds the session's transaction, or false if none does.
func (r *Router) holder(s operation.SessionID) (delegateRef, bool) {
	d, ok := r.delegated.Load(s)
	if !ok {
		return delegateRef{}, false
	}
	return d.(delegateRef), true
}

// recordHolder records whether the delegate holds the session's transaction after the response.
func (r *Router) recordHolder(s operation.SessionID, d delegateRef, resp *operation.Response) {
	if resp.Code == statement.CodeOK && resp.State == statement.TxOpen {
		r.delegated.Store(s, d)
	} else {
		r.delegated.Delete(s)
	}
}

// readAtDelegate runs a read, or the first read of a read-only transaction, at the delegate of its group. It returns false when
// there is none or it did not serve the read, which must then be sent to the owner; the response only tells then how often a
// member began to run it.
func (r *Router) readAtDelegate(ctx context.Context, q *operation.Request) (operation.Response, bool) {
	route := r.Catalog().Routes[q.Database]
	if r.Delegates == nil || !delegable(q, route) {
		return operation.Response{}, false
	}
	claim, mine, ok := r.Delegates.Delegate(q.Group)
	if _, known := r.paths.Load(q.Group); !ok && !known {
		return operation.Response{}, false
	}
	started := r.Clock()
	if !r.mayTry(q.Group, claim, ok, started) {
		return operation.Response{}, false
	}
	d := delegateRef{claim, mine}
	result, err := r.callDelegate(ctx, q, route, d)
	now := r.Clock()
	r.recordRead(q, claim, result.Decline, err, now)
	if result.Decline != delegation.DeclineNone {
		if q.Begin != statement.KindInvalid && err != nil && !notExecuted(err) {
			// The delegate may have opened the transaction.
			go r.endAtDelegate(context.WithoutCancel(ctx), q.Group, q.Session, d)
		}
		q.Elapsed += now.Sub(started)
		q.Charged = result.Charged
		return operation.Response{Began: attemptsOf(result, err)}, false
	}
	if q.Begin != statement.KindInvalid {
		r.recordHolder(q.Session, d, &result.Response)
	}
	r.learnRevision(ctx, &result.Response)
	return result.Response, true
}

// attemptsOf returns how often a member began to run a read that the delegate did not serve. A lost answer counts as one.
func attemptsOf(result operation.ReadResult, err error) uint32 {
	if result.Charged || err != nil && !notExecuted(err) {
		return 1
	}
	return 0
}

// continueAtDelegate runs a statement of a transaction at the delegate that holds it. If that is not possible the transaction is
// aborted, since its statements must run on one connection and it has changed nothing.
func (r *Router) continueAtDelegate(ctx context.Context, q *operation.Request, d delegateRef) operation.Response {
	timeout := defaultTimeout
	if route := r.Catalog().Routes[q.Database]; route != nil && route.Timeout > 0 {
		timeout = route.Timeout
	}
	// The delegate enforces the statement timeout. This longer one covers a delegate that does not answer.
	ctx, cancel := context.WithTimeout(ctx, timeout+answerMargin)
	defer cancel()
	result, err := r.readAt(ctx, q, d)
	if err != nil || result.Decline != delegation.DeclineNone {
		r.delegated.Delete(q.Session)
		r.recordRead(q, d.claim, delegation.DeclineUnreachable, err, r.Clock())
		go r.endAtDelegate(context.WithoutCancel(ctx), q.Group, q.Session, d)
		return r.refuse(q, statement.CodeAborted, "the delegate that holds the transaction does not answer", d.claim, err, 0)
	}
	r.recordHolder(q.Session, d, &result.Response)
	outcome := "served"
	if result.Response.Code == statement.CodeAborted {
		outcome = "aborted"
	}
	r.Metrics.DelegateReads.WithLabelValues(outcome).Inc()
	return result.Response
}

// endAtDelegate rolls back the session's transaction at the delegate.
func (r *Router) endAtDelegate(ctx context.Context, g upstream.GroupID, s operation.SessionID, d delegateRef) {
	if d.mine {
		r.LocalReads.EndRead(ctx, g, s)
		return
	}
	if err := r.Peers.At(d.claim.Address).EndRead(ctx, g, s); err != nil {
		r.Log.Debug("could not end a transaction at its delegate; it ends when it is idle", "group", g, "delegate", d.claim.Owner, "error", err)
	}
}

// readAt runs the statement at the delegate.
func (r *Router) readAt(ctx context.Context, q *operation.Request, d delegateRef) (operation.ReadResult, error) {
	if d.mine {
		return r.LocalReads.RunRead(ctx, q), nil
	}
	return r.Peers.At(d.claim.Address).RunRead(ctx, q)
}

// delegable reports whether a delegate may serve the request.
func delegable(q *operation.Request, route *catalog.Route) bool {
	reads := q.Statement.Kind == statement.KindRead || q.Statement.Kind == statement.KindExecute && !q.Statement.Writes()
	return reads && !q.InTransaction && q.Begin != statement.KindBegin && route != nil && route.Consistency != catalog.Primary
}

// mayTry reports whether the delegate exists and is not backed off from. It records a change of the delegate.
func (r *Router) mayTry(g upstream.GroupID, claim ownership.Claim, ok bool, now time.Time) bool {
	p := r.path(g)
	p.mu.Lock()
	defer p.mu.Unlock()
	if process := claim.OwnerProcess(); process != p.process {
		r.Log.Info("delegate", "group", g, "delegate", process.Instance, "process", process.ID, "before", p.process.Instance)
		p.process, p.backoff = process, delegation.Backoff{}
	}
	return ok && p.backoff.Over(now)
}

// callDelegate sends the read to the delegate, which must leave time for the owner.
func (r *Router) callDelegate(ctx context.Context, q *operation.Request, route *catalog.Route, d delegateRef) (operation.ReadResult, error) {
	if d.mine {
		return r.readAt(ctx, q, d)
	}
	target := route.TargetLatency
	if target <= 0 {
		target = route.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, target*delegateTimeoutPercent/100)
	defer cancel()
	result, err := r.readAt(ctx, q, d)
	if err != nil {
		return operation.ReadResult{Decline: delegation.DeclineUnreachable}, err
	}
	return result, nil
}

// recordRead records the outcome of a read at the delegate.
func (r *Router) recordRead(q *operation.Request, claim ownership.Claim, d delegation.Decline, err error, now time.Time) {
	p := r.path(q.Group)
	p.mu.Lock()
	defer p.mu.Unlock()
	if claim.OwnerProcess() == p.process {
		p.backoff.Record(d, now)
	}
	if d == delegation.DeclineNone {
		r.Metrics.DelegateReads.WithLabelValues("served").Inc()
		return
	}
	r.Metrics.DelegateReads.WithLabelValues(d.String()).Inc()
	if now.Sub(p.loggedAt) < declineLogInterval {
		p.suppressed++
		return
	}
	r.Log.Info("read not served by the delegate", "request", q.Statement.ID, "group", q.Group, "delegate", claim.Owner, "cause", d,
		"error", err, "not_logged", p.suppressed)
	p.loggedAt, p.suppressed = now, 0
}
