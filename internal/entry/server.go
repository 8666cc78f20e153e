package entry

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/keys"
	"github.com/celerystep/celerystep/internal/pgwire"
	"github.com/celerystep/celerystep/internal/request"
)

// errServerClosed ends sessions that are left when the server is closed.
var errServerClosed = errors.New("server is closed")

// acceptRetry is the pause after a failed accept, which happens when the process is out of file descriptors.
const acceptRetry = 10 * time.Millisecond

// Server serves callers.
type Server struct {
	settings Settings
	deps     Dependencies
	log      hclog.Logger
	metrics  *Metrics
	decoy    *keys.Decoy
	index    *index
	number   uint16
	snapshot atomic.Pointer[config.Snapshot]
	draining atomic.Bool
	// evicting is set while callers are sent away although the server goes on.
	evicting atomic.Bool
	callers  atomic.Int64
	// ctx ends when the server is closed; the contexts of all sessions come from it.
	ctx    context.Context
	cancel context.CancelCauseFunc
	work   sync.WaitGroup

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	// starting holds the connections that are not yet sessions.
	starting map[net.Conn]struct{}
}

// NewServer returns a server that refuses callers until Apply was called.
func NewServer(s Settings, p Dependencies) *Server {
	if p.Log == nil {
		p.Log = hclog.NewNullLogger()
	}
	if p.Metrics == nil {
		p.Metrics = NewMetrics(nil)
	}
	v := &Server{
		settings:  s.withDefaults(),
		deps:      p,
		log:       p.Log,
		metrics:   p.Metrics,
		decoy:     keys.NewDecoy(),
		index:     newIndex(),
		number:    instanceNumber(s.Instance),
		listeners: make(map[net.Listener]struct{}),
		starting:  make(map[net.Conn]struct{}),
	}
	v.ctx, v.cancel = context.WithCancelCause(context.Background())
	return v
}

// Apply puts a configuration in force and ends the sessions that it does not admit any more. A request of such a session
// is cancelled.
func (v *Server) Apply(s *config.Snapshot) {
	v.snapshot.Store(s)
	reasons := make(map[identity]*pgwire.Error)
	refused := func(i *identity) bool {
		if reason := i.check(s); reason != nil {
			reasons[*i] = reason
			return true
		}
		return false
	}
	v.index.selectBy(refused, func(x *session) { x.end(reasons[*x.identity]) })
}

// EndKey ends the sessions of a key at once, before a configuration without it is in force.
func (v *Server) EndKey(customer, key string) {
	reason := &pgwire.Error{Code: pgwire.CodeInvalidAuth, Message: "terminating connection: the key was withdrawn"}
	match := func(i *identity) bool { return i.customer == customer && i.key == key }
	v.index.selectBy(match, func(x *session) { x.end(reason) })
}

// Callers returns the number of connections.
func (v *Server) Callers() int { return int(v.callers.Load()) }

// Serve accepts callers until the listener is closed by Drain, Close or its owner.
func (v *Server) Serve(ln net.Listener) error {
	if !v.addListener(ln) {
		return errServerClosed
	}
	defer v.removeListener(ln)
	for {
		conn, err := ln.Accept()
		switch {
		case err == nil:
			v.begin(conn)
		case v.draining.Load() || errors.Is(err, net.ErrClosed):
			return nil
		default:
			v.log.Error("accept failed", "step", "accept", "error", err)
			if !v.pause(acceptRetry) {
				return nil
			}
		}
	}
}

// pause waits and returns false when the server was closed meanwhile.
func (v *Server) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-v.ctx.Done():
		return false
	}
}

func (v *Server) addListener(ln net.Listener) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.draining.Load() {
		_ = ln.Close()
		return false
	}
	v.listeners[ln] = struct{}{}
	return true
}

func (v *Server) removeListener(ln net.Listener) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.listeners, ln)
}

// begin starts the goroutine of a connection.
func (v *Server) begin(conn net.Conn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.draining.Load() {
		_ = conn.Close()
		return
	}
	v.starting[conn] = struct{}{}
	v.callers.Add(1)
	v.metrics.callers.Inc()
	v.work.Go(func() {
		defer v.metrics.callers.Dec()
		defer v.callers.Add(-1)
		v.handle(conn)
	})
}

// started notes that a connection has become a session or was refused.
func (v *Server) started(conn net.Conn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.starting, conn)
}

// handle serves one connection. It runs the start-up in a call of its own, so that the stack of an idle session does not
// hold it.
func (v *Server) handle(conn net.Conn) {
	s := v.open(conn)
	if s == nil {
		return
	}
	s.serve()
}

// Evict sends callers away while the failure domain of the instance is out: it ends them between requests and outside
// transactions, and refuses new ones until it is called with false.
func (v *Server) Evict(on bool) {
	if v.evicting.Swap(on) == on || !on {
		return
	}
	v.index.each((*session).drain)
}

// Drain stops accepting, ends callers between requests, and waits until transactions and requests have finished. When
// ctx ends first, it ends the sessions that wait inside a transaction, and returns ctx's error if requests still run.
func (v *Server) Drain(ctx context.Context) error {
	v.stopAccepting()
	v.index.each((*session).drain)
	done := make(chan struct{})
	go func() {
		v.work.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	v.index.each((*session).drainTransaction)
	select {
	case <-done:
		return nil
	case <-time.After(drainGrace):
		return errors.Wrapf(ctx.Err(), "drain: %d callers are left", v.Callers())
	}
}

// drainGrace is the time that sessions get to end after the deadline of Drain.
const drainGrace = 200 * time.Millisecond

func (v *Server) stopAccepting() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.draining.Store(true)
	for ln := range v.listeners {
		_ = ln.Close()
	}
	for conn := range v.starting {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// Close cuts all connections and waits until their goroutines have ended.
func (v *Server) Close() {
	v.stopAccepting()
	v.cancel(errServerClosed)
	v.mu.Lock()
	for conn := range v.starting {
		_ = conn.Close()
	}
	v.mu.Unlock()
	reason := &pgwire.Error{Code: pgwire.CodeShutdown, Message: "terminating connection: the instance stopped"}
	v.index.each(func(s *session) { s.end(reason) })
	v.work.Wait()
}

// newTrace returns a random trace id.
func newTrace() request.TraceID {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], rand.Uint64())
	var text [2 * len(raw)]byte
	hex.Encode(text[:], raw[:])
	return request.TraceID(text[:])
}
