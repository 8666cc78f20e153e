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

// readAtDelegate runs a read at the delegate of its group. It returns false when there is none or it did not serve the read,
// which must then be sent to the owner; the response only tells then how often a member began to run it.
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
	result, err := r.callDelegate(ctx, q, route, claim, mine)
	now := r.Clock()
	r.recordRead(q, claim, result.Decline, err, now)
	if result.Decline != delegation.DeclineNone {
		q.Elapsed += now.Sub(started)
		q.Charged = result.Charged
		return operation.Response{Began: attemptsOf(result, err)}, false
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

// delegable reports whether a delegate may serve the request.
func delegable(q *operation.Request, route *catalog.Route) bool {
	reads := q.Statement.Kind == statement.KindRead || q.Statement.Kind == statement.KindExecute && !q.Statement.Writes()
	return reads && !q.InTransaction && q.Begin == statement.KindInvalid && route != nil && route.Consistency != catalog.Primary
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

// callDelegate sends the read to the delegate.
func (r *Router) callDelegate(ctx context.Context, q *operation.Request, route *catalog.Route, claim ownership.Claim, mine bool) (operation.ReadResult, error) {
	if mine {
		return r.LocalReads.RunRead(ctx, q), nil
	}
	target := route.TargetLatency
	if target <= 0 {
		target = route.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, target*delegateTimeoutPercent/100)
	defer cancel()
	result, err := r.Peers.At(claim.Address).RunRead(ctx, q)
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
	p.backoff.Record(d, now)
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
