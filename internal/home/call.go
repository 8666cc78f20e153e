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

// callState is the processing state of a request.
type callState uint8

const (
	callNew callState = iota
	// callQueued: waits in the fair queue.
	callQueued
	// callParked: has left the fair queue with its tokens taken, and waits for a member that can serve it.
	callParked
	// callGranted: holds a connection and a slot.
	callGranted
	// callRefused: left the queue without a connection.
	callRefused
	// callAwaitingQuorum: waits for quorum receipt of its commit.
	callAwaitingQuorum
)

// Reasons why a request is stopped before it completes.
const (
	stopNone uint32 = iota
	// stopCanceled: the caller canceled it.
	stopCanceled
	// stopAbandoned: the caller or its entry instance disconnected.
	stopAbandoned
)

// call is the state of one request inside Run.
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
	// prepaid is true once the call's tokens have been taken.
	prepaid bool
	// attempt counts the attempts that were sent.
	attempt int
	// answerBegun is true once response bytes were forwarded to the caller. sent is true once the statement may have
	// reached a member in the current attempt. Only the goroutine of Run uses them.
	answerBegun bool
	sent        bool
	// transactionEnded is true if no transaction was open after the statement.
	transactionEnded bool
	// abandoned is true once writing the response to the caller has failed.
	abandoned bool
	// snapshot is the configuration against which the call was last validated.
	snapshot *config.Snapshot
	// stopped is one of the stop constants.
	stopped atomic.Uint32

	// The fields below are guarded by the group's lock.

	state   callState
	class   admission.Class
	handle  admission.Handle
	ticket  admission.Ticket
	conn    *conn
	granted time.Time
	// replica is true if the granted member is not the primary.
	replica bool
	refusal *retry.Error
	// ready receives one value when a waiting call is granted or refused.
	ready chan struct{}
	route router.Request
	// waitFrom is when the read started to wait for a replica to reach its floor.
	waitFrom time.Time
	// retryAt is the latest time at which a parked read is routed again.
	retryAt time.Time
	// avoid is the member on which the previous attempt failed.
	avoid upstream.MemberID
	floor session.Floor
	// index is set while the call waits for a read index, and commit while it waits for quorum receipt.
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

// failure returns an error with the trace of the call.
func (c *call) failure(o request.Outcome, code, step, peer string, err error) *retry.Error {
	return &retry.Error{Outcome: o, Code: code, Step: step, Peer: peer, Trace: c.r.Trace, Err: err}
}

func (c *call) notRun(code, step string, err error) *retry.Error {
	return c.failure(request.OutcomeNotRun, code, step, "", err)
}

// enqueue adds the call to the fair queue and dispatches queued work. The group must be locked.
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
		item.TokenDeadline = now.Add(tokenWaitTimeout)
	}
	handle, err := g.queue.Push(item, now)
	if err != nil {
		return c.pushError(err)
	}
	c.state = callQueued
	c.handle = handle
	g.dispatch(now)
	if c.state == callQueued {
		g.wakeForQueue()
	}
	return nil
}

func (c *call) pushError(err error) *retry.Error {
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

// classOf returns the queue class for the resource that the call needs.
func (g *Group) classOf(c *call, now time.Time) admission.Class {
	if c.pinned {
		if m := g.member(c.session.conn.member); m != nil {
			return m.class
		}
	}
	switch {
	case c.r.Kind != request.KindRead:
		return classWrites
	case c.route.PrimaryOnly || !g.hasUsableReplica(now):
		return classPrimaryReads
	default:
		return classReads
	}
}

func (g *Group) hasUsableReplica(now time.Time) bool {
	for _, m := range g.members {
		if m.spec.ID != g.primary && m.usable(now) && !m.draining() {
			return true
		}
	}
	return false
}

// grant assigns the connection to the call and wakes it.
func (g *Group) grant(c *call, cn *conn, now time.Time) {
	c.state = callGranted
	c.conn = cn
	c.granted = now
	c.replica = cn.member != g.primary
	c.prepaid = true
	if c.r.Kind == request.KindWrite && !cn.writing {
		cn.writing = true
		g.activeWrites++
	}
	c.ready <- struct{}{}
}

// refuse ends the wait of a queued or parked call with the error.
func (g *Group) refuse(c *call, e *retry.Error) {
	c.state = callRefused
	c.refusal = e
	c.ready <- struct{}{}
}

// expireCalls refuses queued and parked calls whose deadline has passed.
func (g *Group) expireCalls(now time.Time) {
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

// waitReason returns an error that describes what queued work is waiting for.
func (g *Group) waitReason(now time.Time) error {
	switch {
	case !g.tracker.HasAuthority(now):
		return errNoAuthority
	case !g.primaryAvailable(now):
		return errNoPrimary
	case g.commitsStalled(now):
		return errNoReceipt
	default:
		return errors.New("no slot became free in time")
	}
}

// refuseWaiting refuses all queued and parked calls, except statements of open transactions while draining.
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
			continue // checkBeforeSend covers calls that are not waiting
		}
		if e := g.validate(c); e != nil {
			g.withdraw(c, g.now(), func() *retry.Error { return e })
		}
	}
}

// withdraw refuses the call if it is queued or parked, and reports whether it was.
func (g *Group) withdraw(c *call, now time.Time, e func() *retry.Error) bool {
	switch c.state {
	case callQueued:
		if !g.queue.Remove(c.handle, now) {
			return false // the queue has dropped it; the next expireCalls refuses it
		}
	case callParked:
		g.unpark(c)
	default:
		return false
	}
	g.refuse(c, e())
	return true
}

// wakeForQueue schedules a pass of the loop for the queue's next event.
func (g *Group) wakeForQueue() {
	if wake, ok := g.queue.NextWake(); ok {
		g.wakeBy(wake)
	}
}

// wakeBy makes sure that the loop runs no later than t.
func (g *Group) wakeBy(t time.Time) {
	if t.Before(g.nextPass) {
		g.wakeLoop()
	}
}
