package owner

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/dispatch"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// maxAttempts limits the attempts of a statement that is known not to have run, or that only reads.
	maxAttempts = 4
	// staleCatalogRetryAfter is the retry delay sent when the owner's configuration is older than that of the caller's
	// instance.
	staleCatalogRetryAfter = 250 * time.Millisecond
	// commitRetryAfter is the retry delay sent when commits cannot be accepted because the primary may be replaced.
	commitRetryAfter = 100 * time.Millisecond
	// primaryChangeDetail explains the refusal of a commit.
	primaryChangeDetail = "the primary is being replaced or not confirmed yet"
	// defaultTimeout is the statement timeout of routes that have none.
	defaultTimeout = 2 * time.Second
)

// call is the state of one statement while the owner processes it.
type call struct {
	r        *operation.Request
	route    *catalog.Route
	customer *catalog.Customer
	catalog  *catalog.Catalog
	arrived  time.Time
	deadline time.Time
	due      time.Time
	attempts int
	avoid    upstream.MemberID
	// failedOn lists the members that failed the read in earlier attempts.
	failedOn []upstream.MemberID
	// primaryOnly is true after a replica could not serve the read.
	primaryOnly bool
	// need specifies which members could run the last attempt.
	need   dispatch.Need
	waited time.Duration
	// tx is the mode of the transaction that the last attempt opened or runs in.
	tx txMode
	// floor is the position that a replica's log had to reach in the last attempt, claim the revision of the claim under which
	// it was made.
	floor position.Position
	claim uint64
	// begun counts the attempts that a member began.
	begun begun
}

// reads reports whether neither the statement nor its transaction can change data.
func (c *call) reads() bool {
	s := c.r.Statement
	if c.r.Begin == statement.KindBeginRead {
		return true
	}
	return c.r.Begin == statement.KindInvalid && !s.Writes()
}

// commits reports whether success of the statement acknowledges changes of data.
func (c *call) commits() bool {
	if c.r.Statement.Kind == statement.KindCommit {
		return c.tx.wrote
	}
	return c.r.Statement.Writes() && c.r.Begin == statement.KindInvalid && !c.r.InTransaction
}

// mayCommit reports whether a commit may be sent on the connection.
func (g *Group) mayCommit(l *memberConn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.MayCommit(l.member.ID)
}

// admit checks the route and the key, and determines the deadline.
func (g *Group) admit(r *operation.Request) (*call, *operation.Response) {
	now := g.o.Clock()
	c := g.o.Catalog()
	route := c.Routes[r.Database]
	customer := c.CustomerByKey(r.Key)
	if c.Revision < r.CatalogRevision && !g.sameAccess(c, r) {
		return nil, refusal(statement.CodeBusy, "this owner does not know the newest configuration yet", staleCatalogRetryAfter)
	}
	if route == nil || route.Group != g.id {
		return nil, refusal(statement.CodeUnknownDatabase, "no route leads to the database", 0)
	}
	if customer == nil && !route.Public {
		return nil, refusal(statement.CodeUnauthenticated, "the key is not known", 0)
	}
	if !route.Public && !g.o.Authority.KeysFresh() {
		return nil, refusal(statement.CodeBusy, "keys cannot be checked while the store is away", 500*time.Millisecond)
	}
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	arrived := now.Add(-r.Elapsed)
	k := &call{r: r, route: route, customer: customer, catalog: c, arrived: arrived, deadline: arrived.Add(timeout)}
	k.due = arrived.Add(route.TargetLatency)
	if route.TargetLatency <= 0 || k.due.After(k.deadline) {
		k.due = k.deadline
	}
	return k, nil
}

// sameAccess reports whether this older configuration resolves the request's route and key as the sender's newer one
// does.
func (g *Group) sameAccess(c *catalog.Catalog, r *operation.Request) bool {
	route := c.Routes[r.Database]
	return route != nil && route.Group == g.id && c.CustomerNameByKey(r.Key) == r.Customer
}

func refusal(code statement.Code, detail string, after time.Duration) *operation.Response {
	r := operation.Refuse(code, detail, after)
	return &r
}

// customerName returns the customer's name as it is sent to members.
func (c *call) customerName() string {
	if c.customer == nil {
		return publicCustomer
	}
	return c.customer.Name
}

// publicCustomer is the customer name of callers without a key, on routes that need none.
const publicCustomer = "public"

// runFirst runs a statement outside a transaction, or the first statement of a transaction.
func (g *Group) runFirst(ctx context.Context, r *operation.Request) operation.Response {
	c, refused := g.admit(r)
	if refused != nil {
		g.logRefusal(r, refused.Code.String(), refused.Detail, "retry_after", refused.RetryAfter)
		return *refused
	}
	if ok, after := g.takeToken(ctx, c); !ok {
		g.logRefusal(r, "busy", operation.DetailOverRate, "customer", c.customerName(), "rate", c.customer.Rate, "retry_after", after)
		resp := operation.Refuse(statement.CodeBusy, operation.DetailOverRate, after)
		resp.OverRate = true
		return resp
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(c.deadline.Sub(g.o.Clock())))
	defer cancel()
	for {
		resp, retry := g.attempt(ctx, c)
		if retry && c.attempts < maxAttempts && ctx.Err() == nil {
			continue
		}
		if c.refundable(resp.Code) {
			g.returnToken(c)
		}
		resp.CatalogRevision = c.catalog.Revision
		c.begun.record(&resp, c.arrived)
		return resp
	}
}

// refundable reports whether the call's token can be returned: nothing ran, in this attempt or an earlier one.
func (c *call) refundable(last statement.Code) bool {
	return last.NotRun() && !c.r.Charged && c.begun.count == 0
}

// attempt queues the statement and runs it once. again is true when another attempt may succeed and cannot run the
// statement twice.
func (g *Group) attempt(ctx context.Context, c *call) (resp operation.Response, retry bool) {
	l, primary, refused := g.acquire(ctx, c)
	if refused != nil {
		return *refused, false
	}
	stale := g.revalidate(c)
	if stale == nil && c.commits() && !g.mayCommit(l) {
		stale = refusal(statement.CodeBusy, primaryChangeDetail, commitRetryAfter)
	}
	if stale != nil {
		g.releaseUnused(l)
		g.logRefusal(c.r, stale.Code.String(), stale.Detail, "waited", c.waited)
		return *stale, false
	}
	c.attempts++
	answer, err := g.execute(ctx, c, l, primary)
	c.begun.finish(answer.Code, err)
	return g.completeAttempt(ctx, c, l, primary, answer, err)
}

// acquire queues the call and waits for a connection.
func (g *Group) acquire(ctx context.Context, c *call) (*memberConn, bool, *operation.Response) {
	g.mu.Lock()
	now := g.o.Clock()
	if g.released || g.stopped {
		g.mu.Unlock()
		return nil, false, &operation.Response{Answer: statement.Answer{Code: statement.CodeBusy, Detail: "the group is being handed over"}, NotOwner: true}
	}
	queueItem := g.queueItem(c, now)
	ticket, refused := g.scheduler.Submit(queueItem, now)
	if refused != nil {
		g.mu.Unlock()
		return nil, false, g.refusalResponse(c, *refused)
	}
	w := make(chan queueResult, 1)
	g.waiters[ticket] = w
	g.applyPlan(now)
	g.mu.Unlock()

	var v queueResult
	select {
	case v = <-w:
	case <-ctx.Done():
		if g.cancelWait(ticket) {
			return nil, false, refusal(statement.CodeBusy, "the caller gave up or the deadline passed in the queue", queueItem.Cost)
		}
		v = <-w
	}
	if v.refusal != nil {
		if g.isReleased() {
			return nil, false, &operation.Response{Answer: statement.Answer{Code: statement.CodeBusy, Detail: "the group is being handed over"}, NotOwner: true}
		}
		return nil, false, g.refusalResponse(c, *v.refusal)
	}
	c.waited += v.assignment.Waited
	g.o.Metrics.QueueWait.Observe(v.assignment.Waited.Seconds())
	g.o.Metrics.PriorityWait.WithLabelValues(priorityLabel(c.route.Priority)).Observe(v.assignment.Waited.Seconds())
	return g.takeConn(v.assignment, c)
}

func (g *Group) isReleased() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.released || g.stopped
}

func (g *Group) cancelWait(t dispatch.Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiters[t] == nil {
		return false
	}
	delete(g.waiters, t)
	return g.scheduler.Cancel(t)
}

// takeConn returns the assigned connection, and whether the statement must run as on the primary. That is so for a statement
// that only the primary can run even when the primary has been lost since the assignment: the member then refuses it, while it
// would answer an unguarded read on an old log.
func (g *Group) takeConn(a dispatch.Assignment, c *call) (*memberConn, bool, *operation.Response) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.conns[a.Conn]
	now := g.o.Clock()
	if l == nil || l.isClosed() {
		g.scheduler.Closed(a.Conn)
		return nil, false, refusal(statement.CodeBusy, "the connection to the member broke", failedAttemptRetryAfter)
	}
	l.markSent(now)
	c.claim = g.claim.Revision
	return l, c.need == dispatch.NeedPrimary || a.Member == g.servingPrimary, nil
}

// releaseUnused returns a connection on which nothing was run.
func (g *Group) releaseUnused(l *memberConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseConn(l, nil)
}

// queueItem returns the call as a queue item for the scheduler. The group is locked.
func (g *Group) queueItem(c *call, now time.Time) dispatch.Item {
	it := dispatch.Item{
		Customer:         c.customerName(),
		Need:             dispatch.NeedPrimary,
		Due:              c.due,
		Deadline:         c.deadline,
		Cost:             g.costs.estimate(c.route, c.r.Statement),
		OpensTransaction: c.r.Begin != statement.KindInvalid,
		Avoid:            c.avoid,
		Retried:          c.attempts > 0,
		Priority:         c.route.Priority,
	}
	if c.customer != nil {
		it.CustomerPriority, it.Weight = c.customer.Priority, c.customer.Rate
	}
	c.floor = position.Position{}
	if floor, ok := g.floor(c); ok && !c.primaryOnly {
		it.Need, it.Floor = dispatch.NeedAny, floor
		c.floor = floor
	}
	c.need = it.Need
	return it
}

// floor returns the position that a replica's log must have reached to serve the call; false when only the primary can
// serve it.
func (g *Group) floor(c *call) (position.Position, bool) {
	if !c.reads() || c.route.Consistency == catalog.Primary {
		return position.Position{}, false
	}
	floor, ok := g.history.FloorAt(c.arrived.Add(stalenessMargin - c.route.MaxStaleness))
	if !ok {
		return position.Position{}, false
	}
	if c.route.Consistency == catalog.ReadYourWrites {
		floor = position.Max(floor, g.history.Clamp(c.r.Floor))
	}
	return floor, true
}

// stalenessMargin is subtracted from a route's maximum staleness, for the time between the arrival of a request and the
// first byte of its answer.
const stalenessMargin = 100 * time.Millisecond

// revalidate repeats, right before the statement is sent, the checks whose result may have changed while the call was
// queued.
func (g *Group) revalidate(c *call) *operation.Response {
	now := g.o.Catalog()
	if now.Revision != c.catalog.Revision {
		route := now.Routes[c.r.Database]
		if route == nil || route.Group != g.id {
			return refusal(statement.CodeUnknownDatabase, "no route leads to the database any more", 0)
		}
		if !route.Public && now.CustomerByKey(c.r.Key) == nil {
			return refusal(statement.CodeUnauthenticated, "the key is not known any more", 0)
		}
		if holder := now.CustomerByKey(c.r.Key); holder != nil && holder.Name != c.customerName() {
			return refusal(statement.CodeBusy, "the key has another holder now", 0)
		}
		c.catalog, c.route = now, route
	}
	if !c.route.Public && !g.o.Authority.KeysFresh() {
		return refusal(statement.CodeBusy, "keys cannot be checked while the store is away", 500*time.Millisecond)
	}
	return nil
}
