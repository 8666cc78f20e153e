package home

import (
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/exchange"
	"github.com/celerystep/celerystep/internal/mutation"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/retry"
	"github.com/celerystep/celerystep/internal/upstream"
)

// flushBytes is the number of response bytes that are buffered before they are forwarded to the caller.
const flushBytes = 32 << 10

// maxPooledBuffer is the maximum capacity of a response buffer that is kept for reuse.
const maxPooledBuffer = 256 << 10

var buffers = sync.Pool{New: func() any { return new([]byte) }}

// execution is one attempt to run a call on its connection.
type execution struct {
	g      *Group
	c      *call
	cn     *conn
	ex     *exchange.Exchange
	answer *exchange.Answer
	buffer *[]byte
}

// execute runs the call on the connection granted to it.
func (g *Group) execute(c *call) (request.Result, *failure) {
	e := execution{g: g, c: c, cn: c.conn}
	if f := e.prepare(); f != nil {
		return request.Result{}, f
	}
	e.buffer = buffers.Get().(*[]byte)
	e.answer = exchange.NewAnswer(&e.cn.state, e.ex, e.cn.txStatus, c.r.Kind == request.KindWrite, *e.buffer)
	defer e.recycle()
	if f := e.send(); f != nil {
		return request.Result{}, f
	}
	if err := e.receive(func() bool { return e.answer.Done() }); err != nil {
		return request.Result{}, e.failSent("receive", err)
	}
	return e.complete()
}

func (e *execution) recycle() {
	b := e.answer.Buffer()
	if cap(b) > maxPooledBuffer {
		return
	}
	*e.buffer = b[:0]
	buffers.Put(e.buffer)
}

// prepare translates the request for the connection.
func (e *execution) prepare() *failure {
	ex, err := exchange.Build(&e.cn.state, e.c.r, e.cn.txStatus)
	if err != nil {
		e.releaseUnused()
		return &failure{Error: e.c.notRun(retry.CodeProtocol, "translate", err)}
	}
	e.ex = ex
	return nil
}

// send sends the settings and the statement. It waits until the member has accepted the session's settings, so that the statement
// does not run after one was refused. Only the customer's name for the upstream's logs is sent together with the statement.
func (e *execution) send() *failure {
	if err := e.cn.port.SetDeadline(e.attemptDeadline()); err != nil {
		return e.failUnsent("deadline", err)
	}
	sendBuffer := e.cn.sendBuffer[:0]
	if changesSession(e.ex.Changes) {
		if f := e.applySettings(); f != nil {
			return f
		}
	} else {
		sendBuffer = append(sendBuffer, e.ex.Settings...)
	}
	if f := e.checkBeforeSend(); f != nil {
		return f
	}
	if len(sendBuffer) > 0 {
		sendBuffer = append(sendBuffer, e.ex.Statement...)
		e.cn.sendBuffer = sendBuffer
	} else {
		sendBuffer = e.ex.Statement
	}
	e.c.sent = true
	e.c.attempt++
	if err := e.cn.port.Send(sendBuffer); err != nil {
		return e.failSent("send", err)
	}
	return nil
}

// attemptDeadline returns the deadline of this attempt. The first attempt of a read or idempotent request reserves a
// quarter of its time for a retry on another member, in case the connection is silent. Reserving more would time out
// requests that are merely slow.
func (e *execution) attemptDeadline() time.Time {
	c := e.c
	if c.pinned || c.attempt > 0 || c.r.Kind != request.KindRead && !c.r.Idempotent {
		return c.deadline
	}
	now := e.g.now()
	return now.Add(c.deadline.Sub(now) * 3 / 4)
}

func (e *execution) applySettings() *failure {
	if err := e.cn.port.Send(e.ex.Settings); err != nil {
		return e.failUnsent("settings", err)
	}
	if err := e.receive(e.answer.SettingsDone); err != nil {
		return e.failUnsent("settings", err)
	}
	refused := e.answer.SettingErr()
	if refused == nil {
		return nil
	}
	e.g.recordRefusedSetting(e.c, e.cn, refused)
	e.releaseUnused()
	return &failure{Error: e.c.failure(request.OutcomeNotRun, refused.Code, "settings", string(e.cn.member), refused)}
}

// checkBeforeSend repeats, right before the statement is sent, the checks whose result may have changed since the call
// left the queue.
func (e *execution) checkBeforeSend() *failure {
	c, g := e.c, e.g
	now := g.now()
	switch {
	case c.stopped.Load() != stopNone:
		e.releaseUnused()
		return &failure{Error: c.canceled(request.OutcomeNotRun, "")}
	case !now.Before(c.deadline):
		e.releaseUnused()
		return &failure{Error: c.notRun(retry.CodeQueueDeadline, "start", errors.New("the deadline passed before the start"))}
	case !g.confirmed(now):
		e.releaseUnused()
		return &failure{Error: c.notRun(retry.CodeUnavailable, "start", errNoAuthority), again: true}
	case c.snapshot != g.o.Snapshot() || g.o.Revoked(c.r.Customer, c.r.Key):
		return e.revalidate()
	default:
		return nil
	}
}

// revalidate validates the call against a configuration that came into force while it waited.
func (e *execution) revalidate() *failure {
	e.g.mu.Lock()
	e.g.refreshConfig(e.g.now())
	refusal := e.g.validate(e.c)
	e.g.mu.Unlock()
	if refusal == nil {
		return nil
	}
	e.releaseUnused()
	return &failure{Error: refusal}
}

// receive reads backend messages until done reports true, and forwards to the caller those that are ready.
func (e *execution) receive(done func() bool) error {
	for !done() {
		m, err := e.cn.port.Receive()
		if err != nil {
			return err
		}
		if err := e.answer.Process(m); err != nil {
			return err
		}
		if ready := e.answer.Ready(); len(ready) >= flushBytes {
			e.forward(ready)
			e.answer.DropReady()
		}
	}
	return nil
}

// forward writes response bytes to the caller. If the caller has disconnected, the rest of the response is discarded;
// it is still read, so that the connection stays in sync.
func (e *execution) forward(p []byte) {
	if len(p) == 0 || e.c.abandoned {
		return
	}
	e.c.answerBegun = true
	if _, err := e.c.answer.Write(p); err != nil {
		e.c.abandoned = true
	}
}

// complete releases the connection, waits for quorum receipt of a commit and forwards the rest of the response.
func (e *execution) complete() (request.Result, *failure) {
	if err := e.answer.SettingErr(); err != nil {
		// The statement ran without a setting of the session.
		e.g.recordRefusedSetting(e.c, e.cn, err)
		return request.Result{}, e.failSent("settings", err)
	}
	member := e.cn.member
	res := request.Result{
		Outcome:  request.OutcomeDone,
		TxStatus: e.answer.TxStatus(),
		Member:   member,
		Replica:  e.c.replica,
		Floor:    e.c.floor.Position,
		HasFloor: e.c.floor.Known(),
	}
	e.g.endStatement(e.c, e.cn, res.TxStatus)
	if p, ok := e.answer.Position(); ok {
		if err := e.g.awaitReceipt(e.c, p); err != nil {
			return request.Result{}, &failure{Error: e.c.unknown("commit", member, err), cause: err}
		}
		res.Floor, res.HasFloor = p, true
	}
	e.answer.Acknowledged()
	e.forward(e.answer.Ready())
	return res, nil
}

// releaseUnused releases the connection without having sent the statement.
func (e *execution) releaseUnused() { e.g.endStatement(e.c, e.cn, e.cn.txStatus) }

// failUnsent fails an attempt whose connection failed before the statement was sent.
func (e *execution) failUnsent(step string, err error) *failure {
	e.dropConn(err)
	return &failure{
		Error: e.c.failure(request.OutcomeNotRun, retry.CodeUnavailable, step, string(e.cn.member), err),
		again: !e.c.pinned,
		cause: err,
	}
}

// failSent fails an attempt whose connection failed after the statement may have reached the member.
func (e *execution) failSent(step string, err error) *failure {
	e.dropConn(err)
	member := e.cn.member
	e.c.avoid = member
	if e.c.stopped.Load() != stopNone && !e.c.answerBegun {
		return &failure{Error: e.c.canceled(request.OutcomeUnknown, string(member)), cause: err}
	}
	if errors.Is(err, exchange.ErrHeldTooLarge) {
		return &failure{Error: e.c.failure(request.OutcomeUnknown, retry.CodeAnswerTooLarge, step, string(member), err), cause: err}
	}
	return &failure{Error: e.c.unknown(step, member, err), cause: err}
}

// unknown returns the error of a call that may have run. A read gets its own code, because it has no effect.
func (c *call) unknown(step string, member upstream.MemberID, err error) *retry.Error {
	if mutation.On(mutation.UnknownAsNotRun) {
		return c.failure(request.OutcomeNotRun, retry.CodeUnavailable, step, string(member), err)
	}
	code := retry.CodeOutcomeUnknown
	if c.r.Kind == request.KindRead {
		code = retry.CodeReadFailed
	}
	return c.failure(request.OutcomeUnknown, code, step, string(member), err)
}

// dropConn closes the connection of a failed attempt and unpins it from the session.
func (e *execution) dropConn(err error) {
	g, c := e.g, e.c
	g.mu.Lock()
	now := g.now()
	c.state = callNew
	c.conn = nil
	g.unpin(e.cn)
	g.queue.Done(c.ticket, now.Sub(c.granted), now)
	if mutation.On(mutation.ReuseUnfinished) && isTimeout(err) {
		g.pool.Release(e.cn.id, now)
		g.mu.Unlock()
		return
	}
	g.mu.Unlock()
	g.handleConnFailure(e.cn, err)
}

// endStatement ends the call's use of its connection. The connection stays pinned to the session while a transaction is
// open. Otherwise it returns to the pool, after a reset if the session left state on it.
func (g *Group) endStatement(c *call, cn *conn, txStatus byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	held := now.Sub(c.granted)
	g.queue.Done(c.ticket, held, now)
	if m := g.member(cn.member); m != nil && c.r.Kind == request.KindRead && c.sent {
		m.latency.Add(held)
	}
	c.state = callNew
	c.conn = nil
	c.transactionEnded = c.sent && txStatus == 'I'
	cn.txStatus = txStatus
	g.unpin(cn)
	switch {
	case g.phase == phaseClosed:
		g.removeConn(cn.id)
		return
	case txStatus != 'I':
		g.pin(c.session, cn, now)
		g.pool.Pin(cn.id)
	case cn.state.Dirty():
		g.pool.Reset(cn.id)
		g.spawn(func() { g.checkConn(cn, g.resetConn) })
	default:
		g.clearWriting(cn)
		if !g.pool.Release(cn.id, now) {
			g.removeConn(cn.id)
		}
	}
	g.dispatch(now)
	if g.reportDrain {
		g.wakeLoop()
	}
}

// changesSession reports whether one of the changes concerns the session, and not only the customer's name for the upstream's logs.
func changesSession(changes []exchange.Setting) bool {
	return slices.ContainsFunc(changes, func(s exchange.Setting) bool { return s.Name != exchange.CustomerSetting })
}

func (g *Group) recordRefusedSetting(c *call, cn *conn, err *exchange.SettingError) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record(Event{Kind: EventSetting, Cause: err.Code, Step: "settings", Member: cn.member, Customer: c.r.Customer,
		Trace: c.r.Trace, Text: err.Error()})
}
