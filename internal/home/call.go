package home

import (
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/admission"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/exchange"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/retry"
	"github.com/celerystep/celerystep/internal/router"
	"github.com/celerystep/celerystep/internal/session"
	"github.com/celerystep/celerystep/internal/upstream"
)

// callState is where a request is on its way through the home.
type callState uint8

const (
	callNew callState = iota
	// callQueued waits in the fair queue.
	callQueued
	// callParked took its token and waits for a particular member, outside the fair queue.
	callParked
	// callGranted holds a connection and a slot.
	callGranted
	// callRefused left the queue without a connection.
	callRefused
	// callSettling waits for quorum receipt of its commit.
	callSettling
)

// Causes for which a request is stopped from outside.
const (
	stopNone uint32 = iota
	// stopCanceled: the caller asked for cancellation.
	stopCanceled
	// stopAbandoned: the caller or its entry instance is gone.
	stopAbandoned
)

// call is one request inside Run.
type call struct {
	r        *request.Request
	answer   request.Answer
	session  *sessionState
	customer *customer
	arrived  time.Time
	deadline time.Time
	tokens   int
	// pinned is true for a statement of an open transaction.
	pinned bool
	// prepaid is true once the call's tokens were taken.
	prepaid bool
	// attempt counts the attempts that were sent.
	attempt int
	// begun is true once answer bytes were passed on, sent once the statement may have reached a member in the
	// present attempt. Both belong to the goroutine of Run.
	begun bool
	sent  bool
	// ended is true once the exchange left no transaction open.
	ended bool
	// abandoned is true once the answer cannot be delivered any more.
	abandoned bool
	// snapshot is the configuration that the call was checked against last.
	snapshot *config.Snapshot
	// stopped says whether and why the request was stopped from outside.
	stopped atomic.Uint32

	// The fields below are guarded by the group's lock.

	state   callState
	class   admission.Class
	handle  admission.Handle
	ticket  admission.Ticket
	conn    *conn
	granted time.Time
	// replica is true when the granted member serves as a replica.
	replica bool
	refusal *retry.Error
	// ready gets one value when a waiting call is granted or refused.
	ready chan struct{}
	route router.Request
	// waitFrom is when the read began to wait for a replica to reach its floor.
	waitFrom time.Time
	// retryAt is when a parked read must be routed again at the latest.
	retryAt time.Time
	// avoid is the member on which the previous attempt failed.
	avoid  upstream.MemberID
	floor  session.Floor
	index  *indexWaiter
	commit *commitWaiter
}

func newCall(r *request.Request, a request.Answer, now time.Time) *call {
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &call{
		r:        r,
		answer:   a,
		arrived:  now,
		deadline: now.Add(timeout),
		tokens:   exchange.CountStatements(r.Messages),
		ready:    make(chan struct{}, 1),
	}
}

// failure builds the error of the call.
func (c *call) failure(o request.Outcome, code, step, peer string, err error) *retry.Error {
	return &retry.Error{Outcome: o, Code: code, Step: step, Peer: peer, Trace: c.r.Trace, Err: err}
}

func (c *call) notRun(code, step string, err error) *retry.Error {
	return c.failure(request.OutcomeNotRun, code, step, "", err)
}

// enqueue puts the call into the fair queue and lets work leave it. The group must be locked.
func (g *Group) enqueue(c *call, now time.Time) *retry.Error {
	c.class = g.classOf(c, now)
	item := admission.Item[*call]{
		Customer: c.r.Customer,
		Class:    c.class,
		First:    c.pinned || c.prepaid,
		Prepaid:  c.prepaid || c.tokens == 0,
		Tokens:   c.tokens,
		Deadline: c.deadline,
		Value:    c,
	}
	if c.pinned && !item.Prepaid {
		item.TokenDeadline = now.Add(tokenLimit)
	}
	handle, err := g.queue.Push(item, now)
	if err != nil {
		return c.pushRefusal(err)
	}
	c.state = callQueued
	c.handle = handle
	g.dispatch(now)
	if c.state == callQueued {
		g.wakeForQueue()
	}
	return nil
}

func (c *call) pushRefusal(err error) *retry.Error {
	switch {
	case errors.Is(err, admission.ErrQueueFull):
		return c.notRun(retry.CodeRateLimited, "queue", err)
	case errors.Is(err, admission.ErrExpired):
		return c.notRun(retry.CodeQueueDeadline, "queue", err)
	case errors.Is(err, admission.ErrUnknownCustomer):
		return c.notRun(retry.CodeAuthentication, "queue", err)
	default:
		return c.notRun(retry.CodeUnavailable, "queue", err)
	}
}

// classOf returns the queue class of the resource that the call needs.
func (g *Group) classOf(c *call, now time.Time) admission.Class {
	if c.pinned {
		if m := g.member(c.session.conn.member); m != nil {
			return m.class
		}
	}
	switch {
	case c.r.Kind != request.KindRead:
		return classWrites
	case c.route.PrimaryOnly || !g.anyReplica(now):
		return classPrimaryReads
	default:
		return classReads
	}
}

func (g *Group) anyReplica(now time.Time) bool {
	for _, m := range g.members {
		if m.spec.ID != g.primary && m.usable(now) && !m.draining() {
			return true
		}
	}
	return false
}

// grant gives the call its connection and wakes it.
func (g *Group) grant(c *call, cn *conn, now time.Time) {
	c.state = callGranted
	c.conn = cn
	c.granted = now
	c.replica = cn.member != g.primary
	c.prepaid = true
	if c.r.Kind == request.KindWrite && !cn.writing {
		cn.writing = true
		g.writers++
	}
	c.ready <- struct{}{}
}

// refuse ends the wait of a call that is queued or parked.
func (g *Group) refuse(c *call, e *retry.Error) {
	c.state = callRefused
	c.refusal = e
	c.ready <- struct{}{}
}

// expire refuses the calls whose deadline passed in the queue.
func (g *Group) expire(now time.Time) {
	for _, d := range g.queue.Expire(now) {
		c := d.Value
		switch d.Cause {
		case admission.CauseRate:
			g.refuse(c, c.notRun(retry.CodeRateLimited, "token", errors.Errorf("customer %s has no token left", c.r.Customer)))
		case admission.CauseRemoved:
			g.refuse(c, c.notRun(retry.CodeAuthentication, "queue", errors.Errorf("customer %s was removed", c.r.Customer)))
		default:
			g.refuse(c, c.notRun(retry.CodeQueueDeadline, "queue", g.waitReason(now)))
		}
	}
	g.expireParked(now)
}

// waitReason says what queued work is waiting for.
func (g *Group) waitReason(now time.Time) error {
	switch {
	case !g.tracker.HasAuthority(now):
		return errNoAuthority
	case !g.primaryServes(now):
		return errNoPrimary
	case g.commitsStalled(now):
		return errNoReceipt
	default:
		return errors.New("no slot became free in time")
	}
}

// refuseWaiting refuses all calls that wait, queued or parked, except statements of open transactions while draining.
func (g *Group) refuseWaiting(cause error) {
	for _, s := range g.sessions {
		c := s.call
		if c == nil || c.pinned && g.phase == phaseDraining {
			continue
		}
		g.withdraw(c, g.now(), func() *retry.Error { return c.notRun(retry.CodeUnavailable, "home", cause) })
	}
}

// refuseInvalid refuses waiting calls whose customer, key or route is no longer valid.
func (g *Group) refuseInvalid() {
	for _, s := range g.sessions {
		c := s.call
		if c == nil || c.state != callQueued && c.state != callParked {
			continue // a call that does not wait is checked again before its statement is sent
		}
		if e := g.validate(c); e != nil {
			g.withdraw(c, g.now(), func() *retry.Error { return e })
		}
	}
}

// withdraw refuses the call if it waits, and reports whether it did.
func (g *Group) withdraw(c *call, now time.Time, e func() *retry.Error) bool {
	switch c.state {
	case callQueued:
		if !g.queue.Remove(c.handle, now) {
			return false // dropped by the queue; the next expire refuses it
		}
	case callParked:
		g.unpark(c)
	default:
		return false
	}
	g.refuse(c, e())
	return true
}

// wakeForQueue makes the loop run in time for the queue's next event.
func (g *Group) wakeForQueue() {
	if wake, ok := g.queue.NextWake(); ok {
		g.wakeBy(wake)
	}
}

// wakeBy makes the loop run at t at the latest.
func (g *Group) wakeBy(t time.Time) {
	if t.Before(g.nextPass) {
		g.wakeLoop()
	}
}
