package home

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/exchange"
	"github.com/celerystep/celerystep/internal/mutation"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/retry"
	"github.com/celerystep/celerystep/internal/router"
	"github.com/celerystep/celerystep/internal/session"
	"github.com/celerystep/celerystep/internal/upstream"
)

// failure is a failed attempt.
type failure struct {
	*retry.Error
	// again is true if the statement was not sent and the call may simply be queued again.
	again bool
	// cause is the connection error, if any.
	cause error
}

// run executes the request in the calling goroutine.
func (g *Group) run(ctx context.Context, r *request.Request, a request.Answer) request.Result {
	c := newCall(r, a, g.now())
	if e := g.register(c); e != nil {
		return g.refusedResult(c, e)
	}
	res := g.runRegistered(ctx, c)
	g.finish(c, &res)
	return res
}

func (g *Group) runRegistered(ctx context.Context, c *call) request.Result {
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, func() { g.stop(c, stopAbandoned) })
		defer stop()
	}
	if c.session.transactionLost {
		return g.runInLostTransaction(c)
	}
	if c.pinned {
		return g.runPinned(c)
	}
	return g.runWithRetries(c)
}

// refusedResult returns and counts the result of a request that failed its initial checks.
func (g *Group) refusedResult(c *call, e *retry.Error) request.Result {
	res := g.result(c, e, g.txStatus(c.r.Session))
	var m *customerMetrics
	if c.customer != nil {
		m = c.customer.metrics
	}
	g.metrics.recordResult(m, c.r, &res)
	return res
}

// txStatus returns the transaction status of a session whose request was refused. An open transaction stays open and
// must be reported as such: if it were reported as idle, the entry instance would not send the End that rolls it back,
// and the transaction would keep its locks.
func (g *Group) txStatus(id request.SessionID) byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.sessions[id]; s != nil && s.conn != nil && g.phase != phaseClosed {
		return 'T'
	}
	return 'I'
}

// result converts the error to a result. If the request was refused because another instance is the home, the result
// names that instance if it is known.
func (g *Group) result(c *call, e *retry.Error, txStatus byte) request.Result {
	res := e.Result(txStatus)
	if errors.Is(e, errNotHome) || errors.Is(e, errMoving) {
		if id, ok := g.o.Locate(g.id); ok && id != g.o.Info.ID {
			res.Home = id
		}
	}
	return res
}

// register checks the request and registers it with its session.
func (g *Group) register(c *call) *retry.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := c.arrived
	if g.phase != phaseServing && g.phase != phaseDraining {
		return c.notRun(retry.CodeUnavailable, "home", errNotHome)
	}
	g.refreshConfig(now)
	if e := g.validate(c); e != nil {
		return e
	}
	s := g.sessions[c.r.Session]
	if g.phase == phaseDraining && (s == nil || s.conn == nil) {
		return c.notRun(retry.CodeUnavailable, "home", errMoving)
	}
	if s == nil {
		s = &sessionState{id: c.r.Session, customer: c.r.Customer}
		g.sessions[s.id] = s
	}
	if e := s.checkStart(c); e != nil {
		return e
	}
	s.call = c
	c.session = s
	c.customer = g.customers[c.r.Customer]
	c.pinned = s.conn != nil
	s.transactionLost = s.transactionLost || c.r.InTransaction && !c.pinned
	g.activeRequests++
	g.retry.Request(now)
	g.prepareRoute(c)
	return nil
}

// prepareRoute sets the routing input of a read outside a transaction.
func (g *Group) prepareRoute(c *call) {
	if c.r.Kind != request.KindRead || c.pinned {
		return
	}
	c.route = router.Request{Kind: router.KindRead, MaxAge: c.r.MaxAge}
	if !c.r.HasFloor {
		return
	}
	origin := session.OriginReadIndex
	if c.r.FloorFromToken {
		origin = session.OriginToken
	}
	g.setFloor(c, session.Floor{Position: c.r.Floor, Origin: origin})
}

// setFloor resolves the floor against the group's term history. If the floor's position is missing from the log, the
// fault is recorded and the call is routed to the primary.
func (g *Group) setFloor(c *call, f session.Floor) {
	p, fault := session.Resolve(g.id, f, g.tracker.History())
	if mutation.On(mutation.IgnoreFloor) {
		p, fault = position.Position{}, nil
	}
	c.floor = f
	c.route.Floor = p
	c.route.HasFloor = true
	if fault == nil {
		return
	}
	c.route.PrimaryOnly = true
	g.record(Event{Kind: EventFloorFault, Cause: "token_beyond_term", Customer: c.r.Customer, Trace: c.r.Trace, Text: fault.Error()})
}

// validate checks customer, key, route and group against the configuration in force. The group must be locked.
func (g *Group) validate(c *call) *retry.Error {
	if c.snapshot == g.snapshot && !g.o.Revoked(c.r.Customer, c.r.Key) {
		return nil
	}
	code, err := checkConfig(g.snapshot, c.r)
	if err == nil && c.r.Key != "" && g.o.Revoked(c.r.Customer, c.r.Key) {
		code, err = retry.CodeAuthentication, errors.Errorf("key %s.%s was revoked", c.r.Customer, c.r.Key)
	}
	if err == nil {
		c.snapshot = g.snapshot
		return nil
	}
	if c.r.ConfigVersion > g.snapshot.Version() {
		// The entry instance has a newer configuration, in which the request may be valid.
		code = retry.CodeUnavailable
		err = errors.Wrapf(err, "configuration %d is behind the entry's %d", g.snapshot.Version(), c.r.ConfigVersion)
	}
	return c.notRun(code, "validate", err)
}

// checkConfig returns an error and its SQLSTATE if the configuration does not allow the request.
func checkConfig(s *config.Snapshot, r *request.Request) (string, error) {
	if _, ok := s.Customer(r.Customer); !ok {
		return retry.CodeAuthentication, errors.Errorf("customer %q is not in the configuration", r.Customer)
	}
	route, ok := s.Route(r.Route)
	if !ok || route.Group != r.Group {
		return retry.CodeNotAllowed, errors.Errorf("route %q does not lead to group %q", r.Route, r.Group)
	}
	if _, ok := s.Group(r.Group); !ok {
		return retry.CodeNotAllowed, errors.Errorf("group %q is not in the configuration", r.Group)
	}
	if r.Key == "" {
		if route.OpenCustomer == "" || route.OpenCustomer != r.Customer {
			return retry.CodeAuthentication, errors.Errorf("route %q needs a key", r.Route)
		}
		return "", nil
	}
	if _, ok := s.Key(r.Customer, r.Key); !ok {
		return retry.CodeAuthentication, errors.Errorf("key %s.%s is unknown or withdrawn", r.Customer, r.Key)
	}
	if !route.Allows(r.Customer) {
		return retry.CodeNotAllowed, errors.Errorf("customer %q may not use route %q", r.Customer, r.Route)
	}
	return "", nil
}

// finish removes the call from its session and counts its result.
func (g *Group) finish(c *call, res *request.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := c.session
	s.call = nil
	g.activeRequests--
	if c.customer != nil {
		g.metrics.recordResult(c.customer.metrics, c.r, res)
	}
	if res.Outcome == request.OutcomeUnknown {
		g.record(Event{Kind: EventOutcomeUnknown, Cause: res.Code, Step: res.Step, Member: res.Member,
			Customer: c.r.Customer, Trace: c.r.Trace, Text: res.Message})
	}
	if s.endRequested {
		g.rollBackIdle(s, "session_ended")
		s.transactionLost = false
	}
	g.removeIdleSession(s)
}

// removeIdleSession removes a session that has no request in progress and no open or lost transaction.
func (g *Group) removeIdleSession(s *sessionState) {
	if s.call == nil && s.conn == nil && !s.transactionLost && g.sessions[s.id] == s {
		delete(g.sessions, s.id)
	}
	g.checkDrained()
}

// runWithRetries runs a request outside a transaction and retries it if that is safe.
func (g *Group) runWithRetries(c *call) request.Result {
	for {
		res, f := g.attempt(c)
		if f == nil {
			return res
		}
		if f.again && c.stopped.Load() == stopNone {
			continue
		}
		if !g.waitForRetry(c, f) {
			return g.failedResult(c, f)
		}
	}
}

// failedResult returns the result of a request that is not retried. A transaction that the request belongs to or left
// open is rolled back, and the session must end it before it can run other statements.
func (g *Group) failedResult(c *call, f *failure) request.Result {
	e := c.correctOutcome(f.Error)
	if g.loseTransaction(c, e) {
		return g.result(c, e, 'E')
	}
	return g.result(c, e, 'I')
}

// correctOutcome changes a not-run outcome to unknown if an earlier attempt was sent, because the request may have run.
func (c *call) correctOutcome(e *retry.Error) *retry.Error {
	if e.Outcome != request.OutcomeNotRun || c.attempt == 0 {
		return e
	}
	if e.Code == retry.CodeCanceled {
		return c.failure(request.OutcomeUnknown, e.Code, e.Step, e.Peer, e.Err)
	}
	return c.unknown(e.Step, upstream.MemberID(e.Peer), e.Err)
}

// waitForRetry reports whether the failed attempt may be retried, after waiting for the backoff.
func (g *Group) waitForRetry(c *call, f *failure) bool {
	if f.Outcome == request.OutcomeNotRun {
		return false // nothing was sent, and the call has already used up its time in the queue
	}
	g.mu.Lock()
	now := g.now()
	d := g.retry.Decide(retry.Context{
		Kind:        c.r.Kind,
		Idempotent:  c.r.Idempotent,
		Sent:        c.sent,
		AnswerBegun: c.answerBegun,
		Canceled:    c.stopped.Load() != stopNone,
		Attempt:     c.attempt,
		Remaining:   c.deadline.Sub(now),
	}, now)
	open := g.phase == phaseServing
	g.mu.Unlock()
	g.metrics.recordRetry(string(d.Reason))
	if !d.Retry || !open {
		return false
	}
	g.log.Info("retrying", "trace", c.r.Trace, "attempt", c.attempt, "step", f.Step, "member", f.Peer, "delay", d.After, "error", f.Err)
	ctxtime.Sleep(g.ctx, d.After)
	c.sent = false
	return true
}

// attempt gets a read index if needed, waits for a connection and executes the call.
func (g *Group) attempt(c *call) (request.Result, *failure) {
	if c.r.Kind == request.KindRead && !c.route.HasFloor {
		if e := g.readIndex(c); e != nil {
			return request.Result{}, &failure{Error: e}
		}
	}
	if e := g.awaitConn(c); e != nil {
		return request.Result{}, &failure{Error: e}
	}
	return g.execute(c)
}

// awaitConn queues the call and blocks until it is granted a connection or refused.
func (g *Group) awaitConn(c *call) *retry.Error {
	g.mu.Lock()
	if e := g.stoppedOrClosed(c); e != nil {
		g.mu.Unlock()
		return e
	}
	e := g.enqueue(c, g.now())
	g.mu.Unlock()
	if e != nil {
		return e
	}
	<-c.ready
	return c.refusal
}

// stoppedOrClosed returns an error if the call was stopped or the group no longer accepts it.
func (g *Group) stoppedOrClosed(c *call) *retry.Error {
	if c.stopped.Load() != stopNone {
		return c.canceled(request.OutcomeNotRun, "")
	}
	if g.phase == phaseClosed || g.phase == phaseDraining && !c.pinned {
		return c.notRun(retry.CodeUnavailable, "home", errMoving)
	}
	return nil
}

// readIndex waits for the read index of the next status round and sets it as the floor of a call that has none.
func (g *Group) readIndex(c *call) *retry.Error {
	g.mu.Lock()
	if e := g.stoppedOrClosed(c); e != nil {
		g.mu.Unlock()
		return e
	}
	now := g.now()
	w := g.joinRound(now)
	c.index = w
	g.mu.Unlock()
	timer := time.NewTimer(c.deadline.Sub(now))
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaveRound(w)
	c.index = nil
	if !w.ok {
		if e := g.stoppedOrClosed(c); e != nil {
			return e
		}
		return c.notRun(retry.CodeUnavailable, "read_index", errors.New("no majority of members answered in time"))
	}
	g.setFloor(c, session.Floor{Position: w.index, Origin: session.OriginReadIndex})
	return nil
}

// canceled returns the error of a call that was stopped.
func (c *call) canceled(o request.Outcome, peer string) *retry.Error {
	err := errors.New("canceled by the caller")
	if c.stopped.Load() == stopAbandoned {
		err = errors.New("the caller is gone")
	}
	return c.failure(o, retry.CodeCanceled, "cancel", peer, err)
}

// runInLostTransaction handles a request in a transaction that was lost. A statement that ends the transaction is
// answered as a rollback; all others are refused.
func (g *Group) runInLostTransaction(c *call) request.Result {
	answer, ended := exchange.EndLostTransaction(c.r)
	if !ended {
		return g.result(c, c.notRun(retry.CodeTransactionLost, "transaction", errTransactionLost), 'E')
	}
	g.mu.Lock()
	c.session.transactionLost = false
	g.mu.Unlock()
	c.answer.Write(answer)
	return request.Result{Outcome: request.OutcomeDone, TxStatus: 'I'}
}
