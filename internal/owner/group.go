package owner

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/balance"
	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/delegation"
	"github.com/celerystep/celerystep/internal/dispatch"
	"github.com/celerystep/celerystep/internal/freshness"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/promotion"
	"github.com/celerystep/celerystep/internal/quota"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// stepInterval is the time between two steps of a group without events.
	stepInterval = 40 * time.Millisecond
	// silenceTimeout is how long a member may leave a statement unanswered, without any other answer, before it is
	// probed.
	silenceTimeout = 300 * time.Millisecond
	// housekeepingInterval is the time between two checks for idle connections and transactions.
	housekeepingInterval = 500 * time.Millisecond
	// unleasedConnDivisor divides the connection limit of an owner whose lease has expired: another instance may own
	// the group by now and need its share of the members' limit.
	unleasedConnDivisor = 3
	// defaultIdleInTransaction is the idle timeout of transactions when the configuration has none.
	defaultIdleInTransaction = 3 * time.Second
)

// queueResult is the outcome of a queued statement: an assignment or a refusal.
type queueResult struct {
	assignment dispatch.Assignment
	refusal    *dispatch.Refusal
}

// Group serves one database group that this instance owns.
type Group struct {
	o      Options
	id     upstream.GroupID
	log    hclog.Logger
	wake   chan struct{}
	cancel context.CancelFunc

	mu          sync.Mutex
	claim       ownership.Claim
	scheduler   *dispatch.Scheduler
	history     freshness.History
	machine     *promotion.Machine
	limiter     *quota.LocalLimiter
	coordinator *quota.Coordinator
	// succession decides which part of the contracts this owner may spend; share is the part that is in force.
	succession *quota.Succession
	share      float64
	members    map[upstream.MemberID]member.Member
	conns      map[dispatch.ConnID]*memberConn
	waiters    map[dispatch.Ticket]chan queueResult
	txs        map[operation.SessionID]*transaction
	costs      costs
	released   bool
	stopped    bool
	// servingPrimary is the member that the scheduler uses as primary.
	servingPrimary upstream.MemberID
	limits         dispatch.Limits
	// priorities is the range of the priorities of the group's routes in prioritiesFrom.
	priorities     dispatch.Priorities
	prioritiesFrom *catalog.Catalog
	// tokenRequests holds, by customer, a channel that is closed when the pending request for tokens has been answered.
	tokenRequests map[string]chan struct{}
	// lent records what delegates may use of the members. refusals holds the cause of the last refusal by failure domain.
	lent     delegation.Ledger
	refusals map[instance.FailureDomain]delegation.Refusal
	// delegated is true for the group of a Delegate: this instance does not own it.
	delegated bool
	// covers reports whether a transaction on the connection may go on; nil if that needs no check. The group is locked.
	covers func(l *memberConn, now time.Time) bool
	// answered is called with the outcome of each statement that ran in an open transaction; nil if nobody needs it.
	answered         func(code statement.Code, err error)
	lastHousekeeping time.Time
	lastPrewarm      time.Time
}

func newGroup(o Options, claim ownership.Claim, reclaimed bool, predecessors ...quota.Predecessor) *Group {
	now := o.Clock()
	scheduler := dispatch.New(dispatch.DefaultLimits(1))
	scheduler.SetBalancer(balance.New(claim.Revision))
	return &Group{
		o:             o,
		id:            claim.Group,
		log:           o.Log.With("group", claim.Group),
		wake:          make(chan struct{}, 1),
		claim:         claim,
		scheduler:     scheduler,
		machine:       promotion.New(promotion.DefaultTiming(), now),
		limiter:       quota.NewLocalLimiter(now),
		coordinator:   quota.NewCoordinator(now, reclaimed),
		succession:    quota.NewSuccession(o.SuccessionPeriod, predecessors),
		share:         1,
		members:       make(map[upstream.MemberID]member.Member),
		conns:         make(map[dispatch.ConnID]*memberConn),
		waiters:       make(map[dispatch.Ticket]chan queueResult),
		txs:           make(map[operation.SessionID]*transaction),
		tokenRequests: make(map[string]chan struct{}),
		refusals:      make(map[instance.FailureDomain]delegation.Refusal),
	}
}

// renew applies a claim with a higher revision.
func (g *Group) renew(claim ownership.Claim) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if claim.Revision > g.claim.Revision {
		g.log.Info("claim renewed", "token", claim.Revision, "before", g.claim.Revision)
		g.claim = claim
		g.machine.TokenRenewed()
	}
}

// release refuses new and waiting statements and closes idle connections. Open transactions may finish.
func (g *Group) release(cause string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.released = true
	g.machine.HandOver()
	g.log.Info("group released", "cause", cause, "open_transactions", len(g.txs), "waiting", len(g.waiters))
	for t, w := range g.waiters {
		if g.scheduler.Cancel(t) {
			delete(g.waiters, t)
			w <- queueResult{refusal: &dispatch.Refusal{Reason: dispatch.ReasonNoMember}}
		}
	}
	g.scheduler.CloseIdle()
	g.applyPlan(g.o.Clock())
}

// stop ends the group and closes its connections immediately.
func (g *Group) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	if g.cancel != nil {
		g.cancel()
	}
	for id, l := range g.conns {
		l.close(errGroupStopped)
		delete(g.conns, id)
	}
}

func (g *Group) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// run steps the group on each signal and at least every stepInterval until ctx ends.
func (g *Group) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.mu.Lock()
	g.cancel = cancel
	stopped := g.stopped
	g.mu.Unlock()
	if stopped {
		return
	}
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		g.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-ticker.C:
		}
	}
}

// step applies the configuration and the passage of time: failure detection, promotion, housekeeping, token requests
// and scheduling.
func (g *Group) step(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	now := g.o.Clock()
	c := g.o.Catalog()
	g.configure(c)
	g.detectSilentMembers(now)
	g.machine.SetMembers(g.memberInfos(now), now)
	g.machine.SetMembersCompleteAt(g.o.Authority.MembersCompleteAt())
	if !g.released {
		if g.primaryIdle() {
			g.machine.PrimaryIdle()
		}
		for _, a := range g.machine.Tick(now) {
			g.perform(ctx, a)
		}
	}
	for _, e := range g.machine.Explanations() {
		g.log.Info("primary", "token", g.claim.Revision, "decision", e)
	}
	g.expireLoans(now)
	g.applyMembers(now)
	if now.Sub(g.lastHousekeeping) >= housekeepingInterval {
		g.lastHousekeeping = now
		g.housekeep(c, now)
	}
	g.applyShare(now)
	g.requestTokensAhead(ctx, c, now)
	g.applyPlan(now)
}

// configure applies the group's limits from the configuration.
func (g *Group) configure(c *catalog.Catalog) {
	declared := c.Groups[g.id]
	if declared == nil {
		return
	}
	g.machine.SetSyncReplicas(declared.SyncReplicas)
	l := dispatch.DefaultLimits(declared.MaxConnections)
	l.Priorities = g.routePriorities(c)
	switch {
	case !g.o.Authority.KeysFresh():
		// Nothing can be served, and another instance may need all connections.
		l.Connections = 0
	case !g.o.Authority.Leased(g.claim):
		l.Connections = max(1, l.Connections/unleasedConnDivisor)
	}
	if l != g.limits {
		g.log.Info("connection limit per member", "connections", l.Connections, "before", g.limits.Connections,
			"highest_priority", l.Priorities.Highest, "lowest_priority", l.Priorities.Lowest)
		g.limits = l
		g.scheduler.SetLimits(l)
		g.scheduler.TrimToLimit()
	}
}

// routePriorities returns the range of the priorities of the group's routes.
func (g *Group) routePriorities(c *catalog.Catalog) dispatch.Priorities {
	if g.prioritiesFrom != c {
		g.prioritiesFrom = c
		g.priorities.Highest, g.priorities.Lowest = c.PriorityRange(g.id)
	}
	return g.priorities
}

// primaryIdle reports whether no statement or transaction is open on the current primary.
func (g *Group) primaryIdle() bool {
	id, _, _ := g.machine.Primary()
	for _, t := range g.txs {
		if t.memberConn.member.ID == id {
			return false
		}
	}
	for _, l := range g.conns {
		if l.member.ID == id && l.busy() {
			return false
		}
	}
	return true
}

// applyPlan carries out the scheduler's decisions.
func (g *Group) applyPlan(now time.Time) {
	plan := g.scheduler.Plan(now)
	for _, e := range plan.Expired {
		refusal := e.Refusal
		g.deliver(e.Ticket, queueResult{refusal: &refusal})
	}
	for _, a := range plan.Assignments {
		if !g.deliver(a.Ticket, queueResult{assignment: a}) {
			g.scheduler.Done(a.Conn, false, now)
		}
	}
	for _, o := range plan.Opens {
		g.openConn(o)
	}
	for _, id := range plan.Abandoned {
		if l := g.conns[id]; l != nil {
			l.close(errUnanswered)
		}
	}
	g.logJudgements()
	for _, id := range plan.Closes {
		if l := g.conns[id]; l != nil {
			delete(g.conns, id)
			l.close(errIdleClosed)
		}
	}
}

func (g *Group) deliver(t dispatch.Ticket, v queueResult) bool {
	w := g.waiters[t]
	if w == nil {
		return false
	}
	delete(g.waiters, t)
	w <- v
	return true
}

// housekeep closes idle connections, rolls back idle transactions and opens connections ahead of demand.
func (g *Group) housekeep(c *catalog.Catalog, now time.Time) {
	g.scheduler.CloseExpiredIdle(now)
	g.recordStates(now)
	g.endIdleTransactions(c, now)
	if !g.released && now.Sub(g.lastPrewarm) >= time.Second {
		g.prewarm(c, now)
	}
}

// endIdleTransactions rolls back the transactions whose idle timeout has passed.
func (g *Group) endIdleTransactions(c *catalog.Catalog, now time.Time) {
	limit := c.IdleInTransactionTimeout
	if limit <= 0 {
		limit = defaultIdleInTransaction
	}
	for s, t := range g.txs {
		if !t.busy && now.Sub(t.lastUsed) > limit {
			g.log.Info("rolling back an idle transaction", "session", s.Number, "instance", s.Instance, "idle", now.Sub(t.lastUsed))
			g.rollBack(s, t)
		}
	}
}

// prewarm opens connections ahead of demand.
func (g *Group) prewarm(c *catalog.Catalog, now time.Time) {
	g.lastPrewarm = now
	if _, _, leads := g.machine.Primary(); !leads {
		return
	}
	for _, o := range g.scheduler.Prewarm(c.CustomerNamesByRate(), now) {
		g.openConn(o)
	}
}
