package caller

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/boottime"
	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/fleetlink"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// ownerWaitDivisor is the divisor of a route's target latency that gives how long a statement waits for a new
	// owner.
	ownerWaitDivisor = 4
	// ownerRetryAfter is the retry delay sent to callers whose group has no reachable owner.
	ownerRetryAfter = 150 * time.Millisecond
	// defaultTimeout is the statement timeout of databases without a route.
	defaultTimeout = 2 * time.Second
	// answerMargin is added to a statement timeout, which another instance enforces, for the way of the answer.
	answerMargin = 150 * time.Millisecond
)

// Claims provides the ownership claims of the groups.
type Claims interface {
	// Current returns the last known claim, whether this process holds it, and a channel that is closed when either
	// changes.
	Current(g upstream.GroupID) (claim ownership.Claim, mine bool, changed <-chan struct{})
	// ClaimLearned reports a claim that another instance knows.
	ClaimLearned(claim ownership.Claim)
	// ClaimDoubted reports that the claim's owner denied owning the group. The implementation may look for a newer
	// claim, but must return quickly.
	ClaimDoubted(ctx context.Context, claim ownership.Claim)
	// OwnerRefused reports that nothing listens at the owner's address: its process has probably ended, but it may also be cut
	// off from this instance. at is a time before the connection was refused; a claim that was learned later is not affected.
	OwnerRefused(claim ownership.Claim, at time.Time)
}

// Router forwards operations to the owners of their groups. It implements operation.Runner.
type Router struct {
	Local   operation.Runner
	Peers   *fleetlink.Peers
	Claims  Claims
	Catalog func() *catalog.Catalog
	// CatchUp requests a configuration with at least the given revision.
	CatchUp func(ctx context.Context, revision uint64)
	Clock   boottime.Clock
	Log     hclog.Logger
	// Usage counts the operations that members began to run; nil if they are not counted.
	Usage UsageCounter

	// Delegates is nil unless reads may run at delegates. LocalReads runs those of which this instance is the delegate.
	Delegates  Delegates
	LocalReads operation.ReadRunner
	Metrics    *Metrics

	overRate overRate
	// paths maps upstream.GroupID to *delegatePath.
	paths sync.Map
	// delegated maps operation.SessionID to the delegateRef of the process that holds the session's transaction.
	delegated sync.Map
}

// UsageCounter counts operations by customer. Times are on the boot clock.
type UsageCounter interface {
	// Arrived records that a statement has arrived, with which members may begin to run an operation.
	Arrived(at time.Time)
	// Answered records the end of that statement: members began n times to run it, the last time after its arrival by the given
	// time.
	Answered(arrived time.Time, customer string, n uint32, after time.Duration)
}

// Run implements operation.Runner.
func (r *Router) Run(ctx context.Context, q *operation.Request) operation.Response {
	if r.Usage == nil || !countsAsUsage(q) {
		return r.run(ctx, q)
	}
	arrived := r.Clock().Add(-q.Elapsed)
	r.Usage.Arrived(arrived)
	var resp operation.Response
	defer func() { r.Usage.Answered(arrived, q.Customer, resp.Began, resp.BeganAfter) }()
	resp = r.run(ctx, q)
	return resp
}

// countsAsUsage reports whether the attempts at the request count as usage of its customer. An operation is a single statement or a
// transaction, so of a transaction only the first statement counts. Callers without a key belong to no customer.
func countsAsUsage(q *operation.Request) bool {
	return q.Customer != "" && !q.InTransaction
}

func (r *Router) run(ctx context.Context, q *operation.Request) operation.Response {
	if q.InTransaction {
		if d, ok := r.holder(q.Session); ok {
			return r.continueAtDelegate(ctx, q, d)
		}
		return r.route(ctx, q)
	}
	customer := r.Catalog().CustomerByKey(q.Key)
	if customer == nil {
		return r.route(ctx, q)
	}
	if remaining := r.overRate.remaining(customer, q.Group, r.Clock()); remaining > 0 {
		return operation.Refuse(statement.CodeBusy, operation.DetailOverRate, remaining)
	}
	resp, served := r.readAtDelegate(ctx, q)
	if !served {
		began := resp.Began
		resp = r.route(ctx, q)
		resp.Began += began
	}
	if resp.OverRate || resp.Code == statement.CodeOK {
		r.overRate.record(customer, q.Group, resp.OverRate, r.Clock())
	}
	return resp
}

// route runs the statement at the owner of the group, waiting for a new owner if there is none.
func (r *Router) route(ctx context.Context, q *operation.Request) (final operation.Response) {
	started := r.Clock()
	// An owner that hands the group over may have begun the statement before the last attempt.
	var begun uint32
	defer func() { final.Began += begun }()
	route := r.Catalog().Routes[q.Database]
	ownerWait := ownerRetryAfter
	timeout := defaultTimeout
	if route != nil {
		ownerWait = max(route.TargetLatency/ownerWaitDivisor, 20*time.Millisecond)
		timeout = max(route.Timeout, ownerWait)
	}
	// The owner enforces the statement timeout. This longer one covers an owner that does not answer.
	ctx, cancel := context.WithTimeout(ctx, timeout+answerMargin)
	defer cancel()
	elapsed := q.Elapsed
	for {
		claim, mine, changed := r.Claims.Current(q.Group)
		resp, err := r.call(ctx, q, claim, mine)
		if err == nil && !resp.NotOwner {
			r.learnRevision(ctx, &resp)
			return resp
		}
		begun += resp.Began
		if err != nil && !notExecuted(err) {
			return r.refuseLost(ctx, q, claim, err)
		}
		if q.InTransaction {
			return r.refuse(q, statement.CodeAborted, "the owner of the transaction has ended", claim, err, 0)
		}
		if err == nil && !mine {
			if resp.Owner.Revision > claim.Revision {
				r.Claims.ClaimLearned(resp.Owner)
				continue
			}
			r.Claims.ClaimDoubted(ctx, claim)
		}
		left := ownerWait - r.Clock().Sub(started)
		if left <= 0 || !waitForChange(ctx, changed, left) {
			return r.refuse(q, statement.CodeBusy, "the group has no owner that can be reached", claim, err, ownerRetryAfter)
		}
		q.Elapsed = elapsed + r.Clock().Sub(started)
	}
}

// learnRevision requests the configuration that the response shows to be newer than the one in force here.
func (r *Router) learnRevision(ctx context.Context, resp *operation.Response) {
	if resp.CatalogRevision > r.Catalog().Revision {
		go r.CatchUp(context.WithoutCancel(ctx), resp.CatalogRevision)
	}
}

// call sends the request to the claim's owner.
func (r *Router) call(ctx context.Context, q *operation.Request, claim ownership.Claim, mine bool) (operation.Response, error) {
	if mine {
		return r.Local.Run(ctx, q), nil
	}
	if claim.Address == "" {
		return operation.Response{}, errNoOwner
	}
	resp, err := r.Peers.At(claim.Address).Run(ctx, q)
	if refused := (*fleetlink.RefusedError)(nil); errors.As(err, &refused) {
		r.Claims.OwnerRefused(claim, refused.At)
	}
	return resp, err
}

var errNoOwner = errors.New("the group has no owner")

// notExecuted reports whether the error proves that the request was not executed.
func notExecuted(err error) bool {
	return errors.Is(err, errNoOwner) || errors.Is(err, fleetlink.ErrConnectionRefused) || errors.Is(err, fleetlink.ErrUnreachable) ||
		errors.Is(err, fleetlink.ErrUnresponsive)
}

// refuseLost answers a request that the owner may have executed. It counts as one that a member began.
func (r *Router) refuseLost(ctx context.Context, q *operation.Request, claim ownership.Claim, err error) operation.Response {
	resp := r.lostResponse(ctx, q, claim, err)
	resp.Began = 1
	return resp
}

func (r *Router) lostResponse(ctx context.Context, q *operation.Request, claim ownership.Claim, err error) operation.Response {
	commits := q.Statement.Kind == statement.KindCommit
	inTransaction := q.InTransaction || q.Begin != statement.KindInvalid
	switch {
	case inTransaction && !commits:
		// No commit was requested, so the owner rolls the transaction back.
		go r.End(context.WithoutCancel(ctx), q.Group, q.Session)
		return r.refuse(q, statement.CodeAborted, "the connection to the owner broke in the transaction", claim, err, ownerRetryAfter)
	case commits || q.Statement.Writes():
		return r.refuse(q, statement.CodeInDoubt, "the owner's answer was lost", claim, err, 0)
	case ctx.Err() != nil:
		return r.refuse(q, statement.CodeTimeout, "no answer from the owner", claim, err, 0)
	default:
		return r.refuse(q, statement.CodeFailed, "the connection to the owner broke", claim, err, 0)
	}
}

func (r *Router) refuse(q *operation.Request, code statement.Code, detail string, claim ownership.Claim, err error, after time.Duration) operation.Response {
	r.Log.Warn("not served by an owner", "request", q.Statement.ID, "kind", q.Statement.Kind, "database", q.Database, "group", q.Group,
		"owner", claim.Owner, "claim", claim.Revision, "outcome", code, "reason", detail, "error", err)
	return operation.Refuse(code, detail, after)
}

// End implements operation.Runner.
func (r *Router) End(ctx context.Context, g upstream.GroupID, s operation.SessionID) {
	if d, ok := r.holder(s); ok {
		r.delegated.Delete(s)
		r.endAtDelegate(ctx, g, s, d)
		return
	}
	r.Local.End(ctx, g, s)
	claim, mine, _ := r.Claims.Current(g)
	if mine || claim.Address == "" {
		return
	}
	if err := r.Peers.At(claim.Address).End(ctx, g, s); err != nil {
		r.Log.Debug("could not end a transaction at its owner; it ends when it is idle", "group", g, "owner", claim.Owner, "error", err)
	}
}

// waitForChange waits until the channel is closed. It returns false if the limit or ctx expires first.
func waitForChange(ctx context.Context, changed <-chan struct{}, limit time.Duration) bool {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-t.C:
		return false
	case <-ctx.Done():
		return false
	}
}
