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

// errServerClosed is the cause given to sessions that are still open when the server is closed.
var errServerClosed = errors.New("server is closed")

// acceptRetryDelay is the delay after a failed accept, for example when the process has no file descriptors left.
const acceptRetryDelay = 10 * time.Millisecond

// Server accepts caller connections and serves their sessions.
type Server struct {
	settings     Settings
	deps         Dependencies
	log          hclog.Logger
	metrics      *Metrics
	decoy        *keys.Decoy
	sessionIndex *sessionIndex
	number       uint16
	snapshot     atomic.Pointer[config.Snapshot]
	draining     atomic.Bool
	// evicting is set while the failure domain is taken out: callers are disconnected, but the server keeps listening.
	evicting atomic.Bool
	callers  atomic.Int64
	// ctx is cancelled when the server is closed. It is the parent of all session contexts.
	ctx    context.Context
	cancel context.CancelCauseFunc
	work   sync.WaitGroup

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	// starting holds the connections whose start-up has not completed.
	starting map[net.Conn]struct{}
}

// NewServer returns a server that refuses callers until Apply has been called.
func NewServer(s Settings, p Dependencies) *Server {
	if p.Log == nil {
		p.Log = hclog.NewNullLogger()
	}
	if p.Metrics == nil {
		p.Metrics = NewMetrics(nil)
	}
	v := &Server{
		settings:     s.withDefaults(),
		deps:         p,
		log:          p.Log,
		metrics:      p.Metrics,
		decoy:        keys.NewDecoy(),
		sessionIndex: newSessionIndex(),
		number:       instanceNumber(s.Instance),
		listeners:    make(map[net.Listener]struct{}),
		starting:     make(map[net.Conn]struct{}),
	}
	v.ctx, v.cancel = context.WithCancelCause(context.Background())
	return v
}

// Apply installs a configuration and terminates the sessions that it no longer admits, cancelling their running
// requests.
func (v *Server) Apply(s *config.Snapshot) {
	v.snapshot.Store(s)
	reasons := make(map[identity]*pgwire.Error)
	refused := func(i *identity) bool {
		if reason := i.rejection(s); reason != nil {
			reasons[*i] = reason
			return true
		}
		return false
	}
	v.sessionIndex.forEachMatching(refused, func(x *session) { x.end(reasons[*x.identity]) })
}

// EndKey terminates the sessions of a key immediately, without waiting for a configuration that lacks the key.
func (v *Server) EndKey(customer, key string) {
	reason := &pgwire.Error{Code: pgwire.CodeInvalidAuth, Message: "terminating connection: the key was withdrawn"}
	match := func(i *identity) bool { return i.customer == customer && i.key == key }
	v.sessionIndex.forEachMatching(match, func(x *session) { x.end(reason) })
}

// Callers returns the number of open connections, including those still in start-up.
func (v *Server) Callers() int { return int(v.callers.Load()) }

// Serve accepts connections until the listener is closed by Drain, by Close or externally.
func (v *Server) Serve(ln net.Listener) error {
	if !v.addListener(ln) {
		return errServerClosed
	}
	defer v.removeListener(ln)
	for {
		conn, err := ln.Accept()
		switch {
		case err == nil:
			v.startConn(conn)
		case v.draining.Load() || errors.Is(err, net.ErrClosed):
			return nil
		default:
			v.log.Error("accept failed", "step", "accept", "error", err)
			if !v.waitOrClosed(acceptRetryDelay) {
				return nil
			}
		}
	}
}

// waitOrClosed waits for d. It returns false if the server is closed first.
func (v *Server) waitOrClosed(d time.Duration) bool {
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

// startConn registers a connection and starts its goroutine.
func (v *Server) startConn(conn net.Conn) {
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
		v.handleConn(conn)
	})
}

// removeStarting unregisters a connection that has become a session or was refused.
func (v *Server) removeStarting(conn net.Conn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.starting, conn)
}

// handleConn serves one connection. Start-up runs in a separate call, which keeps its frames off the stack of an idle
// session.
func (v *Server) handleConn(conn net.Conn) {
	s := v.openSession(conn)
	if s == nil {
		return
	}
	s.serve()
}

// Evict disconnects callers while the failure domain of the instance is taken out. It terminates sessions between
// requests and outside transactions, and refuses new ones until it is called with false.
func (v *Server) Evict(on bool) {
	if v.evicting.Swap(on) == on || !on {
		return
	}
	v.sessionIndex.forEach((*session).drain)
}

// Drain stops accepting connections, terminates sessions between requests, and waits for open transactions and requests
// to finish. If ctx ends first, it terminates sessions that are idle in a transaction, and returns an error that wraps
// ctx's if sessions remain after drainGrace.
func (v *Server) Drain(ctx context.Context) error {
	v.stopAccepting()
	v.sessionIndex.forEach((*session).drain)
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
	v.sessionIndex.forEach((*session).drainTransaction)
	select {
	case <-done:
		return nil
	case <-time.After(drainGrace):
		return errors.Wrapf(ctx.Err(), "drain: %d callers are left", v.Callers())
	}
}

// drainGrace is how long sessions may take to end after the deadline of Drain.
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

// Close terminates all sessions and waits for their goroutines to return.
func (v *Server) Close() {
	v.stopAccepting()
	v.cancel(errServerClosed)
	v.mu.Lock()
	for conn := range v.starting {
		_ = conn.Close()
	}
	v.mu.Unlock()
	reason := &pgwire.Error{Code: pgwire.CodeShutdown, Message: "terminating connection: the instance stopped"}
	v.sessionIndex.forEach(func(s *session) { s.end(reason) })
	v.work.Wait()
}

// newTrace returns a random trace ID.
func newTrace() request.TraceID {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], rand.Uint64())
	var text [2 * len(raw)]byte
	hex.Encode(text[:], raw[:])
	return request.TraceID(text[:])
}
