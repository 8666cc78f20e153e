package matrix

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// lateBy is how long after its timeout a delayed request or answer arrives.
	lateBy = 20 * time.Millisecond
	// streamSilence is the silence after which a port reports a status stream as broken, as pgport does.
	streamSilence = 300 * time.Millisecond
	// detached bounds an operation that goes on after its caller gave up.
	detached = time.Second
)

var errLost = errors.New("injected: no answer")

// port counts the operations of one home on a group and applies the faults.
type port struct {
	inner upstream.Port
	in    *injector
	home  *homeInstance
	late  *sync.WaitGroup
	// keep takes connections that stay open on the member's side although the home closed them.
	keep func(upstream.Conn)
	// isolated names the member whose status connections are cut, while statements on open connections go on.
	isolated func() upstream.MemberID

	mu      sync.Mutex
	streams map[upstream.MemberID]*stream
}

// stream is an open status stream.
type stream struct {
	cancel context.CancelFunc
	muted  bool
	failed error
}

func newPort(inner upstream.Port, in *injector, h *homeInstance, w *world) *port {
	return &port{inner: inner, in: in, home: h, late: &w.late, keep: w.keep, isolated: w.isolatedMember,
		streams: make(map[upstream.MemberID]*stream)}
}

type call func(context.Context) (upstream.MemberStatus, error)

// operate runs an operation through its three moments.
func (p *port) operate(ctx context.Context, step Step, m upstream.Member, run call) (upstream.MemberStatus, error) {
	p.home.gate.pass()
	before := p.in.at(step, BeforeSend, p.home)
	p.home.gate.pass()
	if before != "" {
		return p.beforeSend(ctx, before, step, m, run)
	}
	if p.isolated() == m.ID {
		return p.withhold(ctx, FaultSilent, step, m)
	}
	after := p.in.at(step, AfterSend, p.home)
	s, err := run(ctx)
	p.home.gate.pass()
	if after != "" {
		return p.withhold(ctx, after, step, m)
	}
	if f := p.in.at(step, AfterAnswer, p.home); f != "" {
		p.breakStream(m.ID, f)
	}
	p.home.gate.pass()
	return s, err
}

func (p *port) beforeSend(ctx context.Context, f Fault, step Step, m upstream.Member, run call) (upstream.MemberStatus, error) {
	switch f {
	case FaultReset:
		return upstream.MemberStatus{}, failed(upstream.ErrRefused, step, m, syscall.ECONNRESET)
	case FaultDelay:
		<-ctx.Done()
		p.late.Go(func() {
			late, cancel := context.WithTimeout(context.Background(), detached)
			defer cancel()
			time.Sleep(lateBy)
			_, _ = run(late)
		})
	case FaultOneWay:
		_, _ = run(ctx)
	}
	return p.withhold(ctx, f, step, m)
}

// withhold loses the answer of an operation.
func (p *port) withhold(ctx context.Context, f Fault, step Step, m upstream.Member) (upstream.MemberStatus, error) {
	p.breakStream(m.ID, f)
	if f == FaultReset {
		return upstream.MemberStatus{}, failed(upstream.ErrUnreachable, step, m, syscall.ECONNRESET)
	}
	<-ctx.Done()
	return upstream.MemberStatus{}, failed(upstream.ErrUnreachable, step, m, errLost)
}

func failed(k upstream.ErrorKind, step Step, m upstream.Member, err error) error {
	return &upstream.MemberError{Kind: k, Step: string(step), Member: m.ID, Err: err}
}

// breakStream applies a fault of the member's status connection to the stream that shares it.
func (p *port) breakStream(id upstream.MemberID, f Fault) {
	p.mu.Lock()
	s := p.streams[id]
	if s == nil {
		p.mu.Unlock()
		return
	}
	s.muted = f != FaultReset
	s.failed = syscall.ECONNRESET
	p.mu.Unlock()
	if f == FaultReset {
		s.cancel()
		return
	}
	time.AfterFunc(streamSilence, s.cancel)
}

// Watch passes on the statuses of a member until the stream breaks.
func (p *port) Watch(ctx context.Context, m upstream.Member, f func(upstream.MemberStatus)) error {
	p.home.gate.pass()
	switch fault := p.in.at(StepWatch, BeforeSend, p.home); fault {
	case "":
	case FaultReset:
		return failed(upstream.ErrRefused, StepWatch, m, syscall.ECONNRESET)
	case FaultDelay:
		ctxtime.Sleep(ctx, streamSilence+lateBy)
	default:
		ctxtime.Sleep(ctx, streamSilence)
		return failed(upstream.ErrUnreachable, StepWatch, m, errLost)
	}
	p.home.gate.pass()
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &stream{cancel: cancel}
	p.mu.Lock()
	p.streams[m.ID] = s
	p.mu.Unlock()
	err := p.inner.Watch(inner, m, func(st upstream.MemberStatus) { p.deliver(ctx, m, s, st, f) })
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.streams[m.ID] == s {
		delete(p.streams, m.ID)
	}
	if ctx.Err() == nil && s.failed != nil {
		kind := upstream.ErrRefused
		if s.muted {
			kind = upstream.ErrUnreachable
		}
		return failed(kind, StepWatch, m, s.failed)
	}
	return err
}

// deliver passes one status through the moments of the step.
func (p *port) deliver(ctx context.Context, m upstream.Member, s *stream, st upstream.MemberStatus, f func(upstream.MemberStatus)) {
	p.home.gate.pass()
	if p.isMuted(s) {
		return
	}
	if p.isolated() == m.ID {
		p.breakStream(m.ID, FaultSilent)
		return
	}
	if fault := p.in.at(StepWatch, AfterSend, p.home); fault != "" {
		if fault == FaultDelay {
			ctxtime.Sleep(ctx, streamSilence+lateBy)
			f(st)
			return
		}
		p.breakStream(m.ID, fault)
		return
	}
	p.home.gate.pass()
	f(st)
	if fault := p.in.at(StepWatch, AfterAnswer, p.home); fault != "" {
		p.breakStream(m.ID, fault)
	}
	p.home.gate.pass()
}

func (p *port) isMuted(s *stream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.muted
}

// Status implements upstream.Port.
func (p *port) Status(ctx context.Context, m upstream.Member) (upstream.MemberStatus, error) {
	return p.operate(ctx, StepStatus, m, func(ctx context.Context) (upstream.MemberStatus, error) { return p.inner.Status(ctx, m) })
}

// Claim implements upstream.Port.
func (p *port) Claim(ctx context.Context, m upstream.Member, c upstream.Claim) (upstream.MemberStatus, error) {
	return p.operate(ctx, StepClaim, m, func(ctx context.Context) (upstream.MemberStatus, error) { return p.inner.Claim(ctx, m, c) })
}

// Fence implements upstream.Port.
func (p *port) Fence(ctx context.Context, m upstream.Member, t position.Term, owner instance.ID) (upstream.MemberStatus, error) {
	return p.operate(ctx, StepFence, m, func(ctx context.Context) (upstream.MemberStatus, error) {
		return p.inner.Fence(ctx, m, t, owner)
	})
}

// Promote implements upstream.Port.
func (p *port) Promote(ctx context.Context, m upstream.Member, t position.Term, owner instance.ID) (upstream.MemberStatus, error) {
	return p.operate(ctx, StepPromote, m, func(ctx context.Context) (upstream.MemberStatus, error) {
		return p.inner.Promote(ctx, m, t, owner)
	})
}

// Follow implements upstream.Port.
func (p *port) Follow(
	ctx context.Context, m upstream.Member, t position.Term, owner instance.ID, primary upstream.Member,
) (upstream.MemberStatus, error) {
	return p.operate(ctx, StepFollow, m, func(ctx context.Context) (upstream.MemberStatus, error) {
		return p.inner.Follow(ctx, m, t, owner, primary)
	})
}

// Dial implements upstream.Port.
func (p *port) Dial(ctx context.Context, m upstream.Member, c upstream.Claim) (upstream.Conn, error) {
	d := &dialing{keep: p.keep}
	_, err := p.operate(ctx, StepDial, m, func(ctx context.Context) (upstream.MemberStatus, error) {
		conn, err := p.inner.Dial(ctx, m, c)
		if err == nil {
			d.opened(conn)
		}
		return upstream.MemberStatus{}, err
	})
	if err != nil {
		d.abandon()
		return nil, err
	}
	return &faultyConn{inner: d.conn, port: p, kinds: make(map[string]statementKind), closed: make(chan struct{})}, nil
}

// dialing is a connection that may open after its home gave up; it then stays open on the member's side.
type dialing struct {
	keep func(upstream.Conn)

	mu        sync.Mutex
	conn      upstream.Conn
	abandoned bool
}

func (d *dialing) opened(c upstream.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.abandoned {
		d.keep(c)
		return
	}
	d.conn = c
}

func (d *dialing) abandon() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.abandoned = true
	if d.conn != nil {
		d.keep(d.conn)
	}
}
