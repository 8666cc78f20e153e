package home

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/exchange"
	"github.com/celerystep/celerystep/internal/mutation"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/retry"
	"github.com/celerystep/celerystep/internal/upstream"
)

// flushBytes is the amount of answer that is collected before it is passed on.
const flushBytes = 32 << 10

// maxPooledBuffer bounds the answer buffers that are kept for reuse.
const maxPooledBuffer = 256 << 10

var buffers = sync.Pool{New: func() any { return new([]byte) }}

// execution is one attempt of a call on its connection.
type execution struct {
	g      *Group
	c      *call
	cn     *conn
	x      *exchange.Exchange
	answer *exchange.Answer
	buffer *[]byte
}

// execute runs the call on the connection that it was granted.
func (g *Group) execute(c *call) (request.Result, *failure) {
	e := execution{g: g, c: c, cn: c.conn}
	if f := e.prepare(); f != nil {
		return request.Result{}, f
	}
	e.buffer = buffers.Get().(*[]byte)
	e.answer = exchange.NewAnswer(&e.cn.state, e.x, e.cn.tx, c.r.Kind == request.KindWrite, *e.buffer)
	defer e.recycle()
	if f := e.start(); f != nil {
		return request.Result{}, f
	}
	if err := e.receive(func() bool { return e.answer.Done() }); err != nil {
		return request.Result{}, e.lost("receive", err)
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
	x, err := exchange.Build(&e.cn.state, e.c.r, e.cn.tx)
	if err != nil {
		e.giveBack()
		return &failure{Error: e.c.notRun(retry.CodeProtocol, "translate", err)}
	}
	e.x = x
	return nil
}

// start sends the settings and the statement. Settings that some member of the group has accepted before go out with
// the statement; others are awaited first, so that no statement runs under a setting that was refused.
func (e *execution) start() *failure {
	if err := e.cn.port.SetDeadline(e.attemptDeadline()); err != nil {
		return e.notSent("deadline", err)
	}
	out := e.cn.out[:0]
	if len(e.x.Settings) > 0 && !e.g.settingsAccepted(e.x.Changes) {
		if f := e.applySettings(); f != nil {
			return f
		}
	} else {
		out = append(out, e.x.Settings...)
	}
	if f := e.mayStart(); f != nil {
		return f
	}
	if len(out) > 0 {
		out = append(out, e.x.Statement...)
		e.cn.out = out
	} else {
		out = e.x.Statement
	}
	e.c.sent = true
	e.c.attempt++
	if err := e.cn.port.Send(out); err != nil {
		return e.lost("send", err)
	}
	return nil
}

// attemptDeadline bounds this attempt. A read keeps a quarter of its time for another member, in case the connection went
// silent. A larger part would cut reads that are merely slow.
func (e *execution) attemptDeadline() time.Time {
	c := e.c
	if c.pinned || c.attempt > 0 || c.r.Kind != request.KindRead && !c.r.Idempotent {
		return c.deadline
	}
	now := e.g.now()
	return now.Add(c.deadline.Sub(now) * 3 / 4)
}

func (e *execution) applySettings() *failure {
	if err := e.cn.port.Send(e.x.Settings); err != nil {
		return e.notSent("settings", err)
	}
	if err := e.receive(e.answer.SettingsDone); err != nil {
		return e.notSent("settings", err)
	}
	refused := e.answer.SettingErr()
	if refused == nil {
		e.g.acceptSettings(e.x.Changes)
		return nil
	}
	e.g.settingRefused(e.c, e.cn, refused)
	e.giveBack()
	return &failure{Error: e.c.failure(request.OutcomeNotRun, refused.Code, "settings", string(e.cn.member), refused)}
}

// mayStart checks, right before the statement is sent, what may have changed since it left the queue.
func (e *execution) mayStart() *failure {
	c, g := e.c, e.g
	now := g.now()
	switch {
	case c.stopped.Load() != stopNone:
		e.giveBack()
		return &failure{Error: c.canceled(request.OutcomeNotRun, "")}
	case !now.Before(c.deadline):
		e.giveBack()
		return &failure{Error: c.notRun(retry.CodeQueueDeadline, "start", errors.New("the deadline passed before the start"))}
	case !g.confirmed(now):
		e.giveBack()
		return &failure{Error: c.notRun(retry.CodeUnavailable, "start", errNoAuthority), again: true}
	case c.snapshot != g.o.Snapshot() || g.o.Revoked(c.r.Customer, c.r.Key):
		return e.recheck()
	default:
		return nil
	}
}

// recheck validates the request against a configuration that came into force while it waited.
func (e *execution) recheck() *failure {
	e.g.mu.Lock()
	e.g.refreshConfig(e.g.now())
	refusal := e.g.validate(e.c)
	e.g.mu.Unlock()
	if refusal == nil {
		return nil
	}
	e.giveBack()
	return &failure{Error: refusal}
}

// receive takes backend messages until done reports true, and passes on what may go to the caller.
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
			e.pass(ready)
			e.answer.DropReady()
		}
	}
	return nil
}

// pass gives answer bytes to the caller. When the caller is gone, the rest of the answer is read and dropped, so that
// the connection stays in step.
func (e *execution) pass(p []byte) {
	if len(p) == 0 || e.c.abandoned {
		return
	}
	e.c.begun = true
	if _, err := e.c.answer.Write(p); err != nil {
		e.c.abandoned = true
	}
}

// complete frees the connection, waits for quorum receipt of a commit and passes on the rest of the answer.
func (e *execution) complete() (request.Result, *failure) {
	if err := e.answer.SettingErr(); err != nil {
		// The statement ran under settings that are not the session's.
		e.g.settingRefused(e.c, e.cn, err)
		return request.Result{}, e.lost("settings", err)
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
	e.pass(e.answer.Ready())
	return res, nil
}

// giveBack returns the connection unused: the statement was not sent.
func (e *execution) giveBack() { e.g.endStatement(e.c, e.cn, e.cn.tx) }

// notSent ends an attempt whose connection failed before the statement was sent.
func (e *execution) notSent(step string, err error) *failure {
	e.drop(err)
	return &failure{
		Error: e.c.failure(request.OutcomeNotRun, retry.CodeUnavailable, step, string(e.cn.member), err),
		again: !e.c.pinned,
		cause: err,
	}
}

// lost ends an attempt whose connection failed after the statement may have reached the member.
func (e *execution) lost(step string, err error) *failure {
	e.drop(err)
	member := e.cn.member
	e.c.avoid = member
	if e.c.stopped.Load() != stopNone && !e.c.begun {
		return &failure{Error: e.c.canceled(request.OutcomeUnknown, string(member)), cause: err}
	}
	if errors.Is(err, exchange.ErrHeldTooLarge) {
		return &failure{Error: e.c.failure(request.OutcomeUnknown, retry.CodeAnswerTooLarge, step, string(member), err), cause: err}
	}
	return &failure{Error: e.c.unknown(step, member, err), cause: err}
}

// unknown builds the error of a request that may have run. A lost read has no effect.
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

// drop closes the connection of a failed attempt and takes it from the session.
func (e *execution) drop(err error) {
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
	g.broken(e.cn, err)
}

// endStatement ends the call's use of its connection: it stays with the session while a transaction is open, and
// otherwise returns to the pool, after a reset if the session left something on it.
func (g *Group) endStatement(c *call, cn *conn, tx byte) {
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
	c.ended = c.sent && tx == 'I'
	cn.tx = tx
	g.unpin(cn)
	switch {
	case g.phase == phaseClosed:
		g.forget(cn.id)
		return
	case tx != 'I':
		g.pin(c.session, cn, now)
		g.pool.Pin(cn.id)
	case cn.state.Dirty():
		g.pool.Reset(cn.id)
		g.task(func() { g.check(cn, g.resetConn) })
	default:
		g.stopWriting(cn)
		if !g.pool.Release(cn.id, now) {
			g.forget(cn.id)
		}
	}
	g.dispatch(now)
	if g.holdDrain {
		g.wakeLoop()
	}
}

// settingsAccepted reports whether members of the group accepted all these settings before.
func (g *Group) settingsAccepted(changes []exchange.Setting) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range changes {
		if !s.Reset && !g.accepted[s] {
			return false
		}
	}
	return true
}

// maxAccepted bounds the remembered settings; callers choose the values.
const maxAccepted = 4096

func (g *Group) acceptSettings(changes []exchange.Setting) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.accepted) > maxAccepted {
		clear(g.accepted)
	}
	for _, s := range changes {
		g.accepted[s] = true
	}
}

func (g *Group) settingRefused(c *call, cn *conn, err *exchange.SettingError) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.accepted, err.Setting)
	g.record(Event{Kind: EventSetting, Cause: err.Code, Step: "settings", Member: cn.member, Customer: c.r.Customer,
		Trace: c.r.Trace, Text: err.Error()})
}
