package daemon

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/audit"
	"github.com/celerystep/celerystep/internal/gossip"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/retry"
	"github.com/celerystep/celerystep/internal/upstream"
)

// isolationGuard refuses new work while the instance is cut off from the key-value service and from most peers, because
// a key may have been withdrawn elsewhere. Open transactions go on.
type isolationGuard struct {
	service *gossip.Service
	next    request.Runner
}

// Run implements request.Runner.
func (g *isolationGuard) Run(ctx context.Context, r *request.Request, a request.Answer) request.Result {
	if r.InTransaction || !g.service.Isolated() {
		return g.next.Run(ctx, r, a)
	}
	return request.Result{
		Outcome:  request.OutcomeNotRun,
		TxStatus: 'I',
		Code:     retry.CodeUnavailable,
		Message:  "not run: this instance is cut off from the key-value service and from most other instances",
		Step:     stepIsolated,
	}
}

// stepIsolated names the refusal of an isolated instance.
const stepIsolated = "isolated"

// End implements request.Runner.
func (g *isolationGuard) End(ctx context.Context, id upstream.GroupID, s request.SessionID) {
	g.next.End(ctx, id, s)
}

// Cancel implements request.Runner.
func (g *isolationGuard) Cancel(ctx context.Context, id upstream.GroupID, s request.SessionID) {
	g.next.Cancel(ctx, id, s)
}

// auditedRunner notes refusals and unknown outcomes, so that they can be explained by trace, customer and group.
type auditedRunner struct {
	next  request.Runner
	trail *audit.Trail
}

// Run implements request.Runner.
func (n *auditedRunner) Run(ctx context.Context, r *request.Request, a request.Answer) request.Result {
	res := n.next.Run(ctx, r, a)
	if res.Outcome != request.OutcomeDone {
		n.note(r, &res, time.Now())
	}
	return res
}

func (n *auditedRunner) note(r *request.Request, res *request.Result, now time.Time) {
	n.trail.Traces().Note(audit.TraceEntry{
		Trace: r.Trace, Time: now, Customer: r.Customer, Group: r.Group,
		Outcome: res.Outcome, Code: res.Code, Step: res.Step, Peer: res.Peer, Member: res.Member,
	})
	if res.Outcome == request.OutcomeNotRun {
		n.trail.Refusals().Note(now, r.Customer, r.Group, refusalCause(res), r.Trace)
	}
}

// refusalCause maps a refusal to a cause of the audit trail.
func refusalCause(res *request.Result) string {
	switch {
	case res.Step == stepIsolated:
		return audit.RefusalIsolated
	case res.Code == retry.CodeRateLimited:
		return audit.RefusalRate
	case res.Code == retry.CodeQueueDeadline:
		return audit.RefusalDeadline
	default:
		return audit.RefusalUnavailable
	}
}

// End implements request.Runner.
func (n *auditedRunner) End(ctx context.Context, id upstream.GroupID, s request.SessionID) {
	n.next.End(ctx, id, s)
}

// Cancel implements request.Runner.
func (n *auditedRunner) Cancel(ctx context.Context, id upstream.GroupID, s request.SessionID) {
	n.next.Cancel(ctx, id, s)
}
