package home

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/exchange"
	"github.com/celerystep/celerystep/internal/mutation"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/retry"
	"github.com/celerystep/celerystep/internal/router"
	"github.com/celerystep/celerystep/internal/session"
	"github.com/celerystep/celerystep/internal/upstream"
)

// failure ends an attempt.
type failure struct {
	*retry.Error
	// again is true when the statement was not sent and may simply return to the queue.
	again bool
	// cause is the error of the connection, if any.
	cause error
}

// run executes the request in the caller's goroutine.
func (g *Group) run(ctx context.Context, r *request.Request, a request.Answer) request.Result {
	c := newCall(r, a, g.now())
	if e := g.begin(c); e != nil {
		return g.refused(c, e)
	}
	res := g.runBegun(ctx, c)
	g.finish(c, &res)
	return res
}

func (g *Group) runBegun(ctx context.Context, c *call) request.Result {
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, func() { g.stop(c, stopAbandoned) })
		defer stop()
	}
	if c.session.lost {
		return g.runLost(c)
	}
	if c.pinned {
		return g.runPinned(c)
	}
	return g.runFree(c)
}

// refused counts and returns the result of a request that did not get past its checks.
func (g *Group) refused(c *call, e *retry.Error) request.Result {
	res := g.result(c, e, g.txStatus(c.r.Session))
	var m *customerMetrics
	if c.customer != nil {
		m = c.customer.metrics
	}
	g.metrics.finished(m, c.r, &res)
	return res
}

// txStatus returns the transaction status of a session whose request was refused. An open transaction stays open: were
// it reported as idle, the entry instance would not send the End that rolls it back, and its locks would stay.
func (g *Group) txStatus(id request.SessionID) byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.sessions[id]; s != nil && s.conn != nil && g.phase != phaseClosed {
		return 'T'
	}
	return 'I'
}

// result converts the failure to a result. A request refused because the home is elsewhere names it if it is known.
func (g *Group) result(c *call, e *retry.Error, txStatus byte) request.Result {
	res := e.Result(txStatus)
	if errors.Is(e, errNotHome) || errors.Is(e, errMoved) {
		if id, ok := g.o.Locate(g.id); ok && id != g.o.Info.ID {
			res.Home = id
		}
	}
	return res
}

// begin checks the request and registers it with its session.
func (g *Group) begin(c *call) *retry.Error {
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
		return c.notRun(retry.CodeUnavailable, "home", errMoved)
	}
	if s == nil {
		s = &sessionState{id: c.r.Session, customer: c.r.Customer}
		g.sessions[s.id] = s
	}
	if e := s.admits(c); e != nil {
		return e
	}
	s.call = c
	c.session = s
	c.customer = g.customers[c.r.Customer]
	c.pinned = s.conn != nil
	s.lost = s.lost || c.r.InTransaction && !c.pinned
	g.active++
	g.retry.Request(now)
	g.routeRequest(c)
	return nil
}

// routeRequest prepares what the router needs to know of the call.
func (g *Group) routeRequest(c *call) {
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

// setFloor resolves the floor against the group's history. A token whose position is missing from the log is a fault;
// the session is then served by the primary.
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
	code, err := check(g.snapshot, c.r)
	if err == nil && c.r.Key != "" && g.o.Revoked(c.r.Customer, c.r.Key) {
		code, err = retry.CodeAuthentication, errors.Errorf("key %s.%s was revoked", c.r.Customer, c.r.Key)
	}
	if err == nil {
		c.snapshot = g.snapshot
		return nil
	}
	if c.r.ConfigVersion > g.snapshot.Version() {
		// The entry knows a newer configuration, so the request may be valid there.
		code = retry.CodeUnavailable
		err = errors.Wrapf(err, "configuration %d is behind the entry's %d", g.snapshot.Version(), c.r.ConfigVersion)
	}
	return c.notRun(code, "validate", err)
}

// check returns the SQLSTATE and the reason why the configuration does not allow the request.
func check(s *config.Snapshot, r *request.Request) (string, error) {
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

// finish takes the call off its session.
func (g *Group) finish(c *call, res *request.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := c.session
	s.call = nil
	g.active--
	if c.customer != nil {
		g.metrics.finished(c.customer.metrics, c.r, res)
	}
	if res.Outcome == request.OutcomeUnknown {
		g.record(Event{Kind: EventOutcomeUnknown, Cause: res.Code, Step: res.Step, Member: res.Member,
			Customer: c.r.Customer, Trace: c.r.Trace, Text: res.Message})
	}
	if s.ended {
		g.rollBackIdle(s, "session_ended")
		s.lost = false
	}
	g.tidy(s)
}

// tidy forgets a session that holds nothing.
func (g *Group) tidy(s *sessionState) {
	if s.call == nil && s.conn == nil && !s.lost && g.sessions[s.id] == s {
		delete(g.sessions, s.id)
	}
	g.checkDrained()
}

// runFree runs a request outside of a transaction, again if that is safe.
func (g *Group) runFree(c *call) request.Result {
	for {
		res, f := g.attempt(c)
		if f == nil {
			return res
		}
		if f.again && c.stopped.Load() == stopNone {
			continue
		}
		if !g.retryAfter(c, f) {
			return g.failed(c, f)
		}
	}
}

// failed ends a request that is not retried. A transaction that it left open or belonged to is rolled back, and its
// session must end it before it can run anything else.
func (g *Group) failed(c *call, f *failure) request.Result {
	e := c.afterAttempts(f.Error)
	if g.loseTransaction(c, e) {
		return g.result(c, e, 'E')
	}
	return g.result(c, e, 'I')
}

// afterAttempts corrects the refusal of a repeated attempt: an earlier one was sent, so the request may have run.
func (c *call) afterAttempts(e *retry.Error) *retry.Error {
	if e.Outcome != request.OutcomeNotRun || c.attempt == 0 {
		return e
	}
	if e.Code == retry.CodeCanceled {
		return c.failure(request.OutcomeUnknown, e.Code, e.Step, e.Peer, e.Err)
	}
	return c.unknown(e.Step, upstream.MemberID(e.Peer), e.Err)
}

// retryAfter decides on a failed attempt and waits out the delay before the next.
func (g *Group) retryAfter(c *call, f *failure) bool {
	if f.Outcome == request.OutcomeNotRun {
		return false // nothing was sent, and the queue has already waited as long as it may
	}
	g.mu.Lock()
	now := g.now()
	d := g.retry.Decide(retry.Context{
		Kind:        c.r.Kind,
		Idempotent:  c.r.Idempotent,
		Sent:        c.sent,
		AnswerBegun: c.begun,
		Canceled:    c.stopped.Load() != stopNone,
		Attempt:     c.attempt,
		Remaining:   c.deadline.Sub(now),
	}, now)
	open := g.phase == phaseServing
	g.mu.Unlock()
	g.metrics.retried(string(d.Reason))
	if !d.Retry || !open {
		return false
	}
	g.log.Info("retrying", "trace", c.r.Trace, "attempt", c.attempt, "step", f.Step, "member", f.Peer, "delay", d.After, "error", f.Err)
	sleep(g.ctx, d.After)
	c.sent = false
	return true
}

// attempt gets a floor and a connection for the request and executes it.
func (g *Group) attempt(c *call) (request.Result, *failure) {
	if c.r.Kind == request.KindRead && !c.route.HasFloor {
		if e := g.readIndex(c); e != nil {
			return request.Result{}, &failure{Error: e}
		}
	}
	if e := g.await(c); e != nil {
		return request.Result{}, &failure{Error: e}
	}
	return g.execute(c)
}

// await puts the call into the queue and blocks until it has a connection.
func (g *Group) await(c *call) *retry.Error {
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

func (g *Group) stoppedOrClosed(c *call) *retry.Error {
	if c.stopped.Load() != stopNone {
		return c.canceled(request.OutcomeNotRun, "")
	}
	if g.phase == phaseClosed || g.phase == phaseDraining && !c.pinned {
		return c.notRun(retry.CodeUnavailable, "home", errMoved)
	}
	return nil
}

// readIndex gets the floor of a session that has none from the next status round.
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

// canceled builds the error of a request that was stopped.
func (c *call) canceled(o request.Outcome, peer string) *retry.Error {
	err := errors.New("canceled by the caller")
	if c.stopped.Load() == stopAbandoned {
		err = errors.New("the caller is gone")
	}
	return c.failure(o, retry.CodeCanceled, "cancel", peer, err)
}

// runLost answers for a transaction that was lost: its end is answered as a rollback, everything else is refused.
func (g *Group) runLost(c *call) request.Result {
	answer, ended := exchange.EndLostTransaction(c.r)
	if !ended {
		return g.result(c, c.notRun(retry.CodeTransactionLost, "transaction", errTransactionLost), 'E')
	}
	g.mu.Lock()
	c.session.lost = false
	g.mu.Unlock()
	c.answer.Write(answer)
	return request.Result{Outcome: request.OutcomeDone, TxStatus: 'I'}
}
