package caller

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/boottime"
	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/intake"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/statement"
)

const (
	// startTimeout bounds the wait for the start message of a caller.
	startTimeout = 5 * time.Second
	// drainSpread is the period over which idle sessions are closed during a shutdown, to avoid a burst of
	// reconnections.
	drainSpread = 1500 * time.Millisecond
	// firstStatementTimeout bounds the wait for the first statement of a session that is opened during a shutdown. If
	// less time is left, the session is refused so that its caller reconnects elsewhere immediately.
	firstStatementTimeout = time.Second
	// catalogTimeout bounds how long a new session waits for the first configuration of a process that has just
	// started. It is below the two seconds after which callers give up.
	catalogTimeout = 1500 * time.Millisecond
	// catalogPollInterval is the interval between checks for the first configuration.
	catalogPollInterval = 10 * time.Millisecond
	// drainIdleTimeout is how long a session must be idle during a shutdown before it is closed. The next statement of
	// an operation follows the previous answer immediately.
	drainIdleTimeout = 250 * time.Millisecond
	// drainAnswerTime is the time before the hard deadline of Drain at which running statements are cancelled, so that their callers
	// still get an answer.
	drainAnswerTime = 300 * time.Millisecond
)

// Start is the start message of a caller.
type Start struct {
	Database string
	Key      string
}

// ErrMalformedStart is returned by Codec.ReadStart for a message that is no start message.
var ErrMalformedStart = errors.New("the start message cannot be read")

// Codec implements a wire protocol on one connection.
type Codec interface {
	ReadStart() (Start, error)
	// Ready accepts the session. Reject refuses it; the connection is closed afterwards.
	Ready() error
	Reject(code statement.Code, detail string) error
	// Read returns the next statement, with KindInvalid if it cannot be decoded. An error ends the session.
	Read() (statement.Statement, error)
	Write(id string, r operation.Response) error
}

// Server accepts callers' connections and serves their sessions.
type Server struct {
	Instance instance.ID
	Catalog  func() *catalog.Catalog
	Runner   operation.Runner
	NewCodec func(net.Conn) Codec
	Clock    boottime.Clock
	Log      hclog.Logger
	Metrics  *Metrics

	numbers  atomic.Uint64
	draining atomic.Bool
	// drainDeadline is the soft deadline of Drain. It is set before draining.
	drainDeadline time.Time
	mu            sync.Mutex
	conns         map[net.Conn]*connState
	// cancelStatements cancels the running statements.
	cancelStatements context.CancelFunc
	wg               sync.WaitGroup
}

// connState is the state of a connection, guarded by the server's lock.
type connState struct {
	// busy is true from the arrival of a statement to its answer.
	busy bool
	// closeAfterAnswer is true when the session must end after the current answer.
	closeAfterAnswer bool
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	statements, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.conns, s.cancelStatements = make(map[net.Conn]*connState), cancel
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			s.Log.Warn("accept failed", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.wg.Add(1)
		s.mu.Lock()
		s.conns[c] = &connState{}
		s.mu.Unlock()
		go s.serve(ctx, statements, c)
	}
}

// Sessions returns the number of open connections.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Drain closes sessions as they become idle outside transactions. When soft ends it closes those without a running
// statement. Shortly before hard ends it cancels the running statements, which are answered then, and when hard ends it
// closes the rest. It returns when all are closed.
func (s *Server) Drain(soft, hard context.Context) {
	s.drainDeadline, _ = soft.Deadline()
	s.draining.Store(true)
	s.mu.Lock()
	for c := range s.conns {
		// The deadline interrupts the read of an idle session, which then ends.
		_ = c.SetReadDeadline(time.Now().Add(rand.N(drainSpread)))
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	cancelAt := time.NewTimer(timeLeft(hard) - drainAnswerTime)
	defer cancelAt.Stop()
	softEnd := soft.Done()
	for {
		select {
		case <-done:
			return
		case <-softEnd:
			softEnd = nil
			s.closeSessions(false)
		case <-cancelAt.C:
			s.cancelRunning()
		case <-hard.Done():
			s.closeSessions(true)
			<-done
			return
		}
	}
}

// timeLeft returns the time until the deadline of ctx, or the longest time if there is none.
func timeLeft(ctx context.Context) time.Duration {
	if at, ok := ctx.Deadline(); ok {
		return time.Until(at)
	}
	return math.MaxInt64
}

// cancelRunning cancels the running statements and ends all sessions after their answers.
func (s *Server) cancelRunning() {
	s.closeSessions(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelStatements != nil {
		s.cancelStatements()
	}
}

// closeSessions closes the sessions without a running statement, or all. Those with a running statement end after its
// answer.
func (s *Server) closeSessions(all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, a := range s.conns {
		s.Log.Info("closing a session that did not end in time", "caller", c.RemoteAddr(), "statement_running", a.busy, "all", all)
		a.closeAfterAnswer = true
		if all || !a.busy {
			_ = c.Close()
		}
	}
}

// setBusy records whether a statement of the session is running. It returns false if the session must end.
func (s *Server) setBusy(c net.Conn, busy bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.conns[c]
	a.busy = busy
	return !a.closeAfterAnswer
}

func (s *Server) removeConn(c net.Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	_ = c.Close()
	s.wg.Done()
}

// recoverSession ends a session that panicked, so that the fault of one request does not end the sessions of all callers.
// The caller sees a closed connection, which promises nothing about its statement.
func (s *Server) recoverSession(c net.Conn) {
	if r := recover(); r != nil {
		s.Metrics.Panics.Inc()
		s.Log.Error("session ended by a panic", "caller", c.RemoteAddr(), "panic", r, "stack", string(debug.Stack()))
	}
}

// serve runs one session.
// The statements are run until their context ends, and the session is ended within ctx.
func (s *Server) serve(ctx, statements context.Context, c net.Conn) {
	defer s.removeConn(c)
	defer s.recoverSession(c)
	codec := s.NewCodec(c)
	session := s.openSession(c, codec)
	if session == nil {
		return
	}
	s.Metrics.Sessions.Inc()
	defer s.Metrics.Sessions.Dec()
	defer session.Close(ctx)
	for {
		st, err := codec.Read()
		if err != nil {
			if s.keepReading(c, session, err) {
				continue
			}
			return
		}
		s.setBusy(c, true)
		started := time.Now()
		resp := session.Do(statements, st)
		s.Metrics.observe(st.Kind, resp.Code, time.Since(started))
		if resp.Code != statement.CodeOK {
			s.Log.Warn("request failed", "request", st.ID, "session", session.id.Number, "kind", st.Kind, "database", session.database,
				"outcome", resp.Code, "reason", resp.Detail, "retry_after", resp.RetryAfter, "took", time.Since(started), "config", s.Catalog().Version)
		}
		if err := codec.Write(st.ID, resp); err != nil {
			s.Log.Debug("caller is gone", "session", session.id.Number, "request", st.ID, "error", err)
			return
		}
		if !s.setBusy(c, false) {
			return
		}
		if s.draining.Load() {
			_ = c.SetReadDeadline(time.Now().Add(drainIdleTimeout))
		}
	}
}

// keepReading reports whether a session whose read was interrupted by Drain must continue because it is in a
// transaction.
func (s *Server) keepReading(c net.Conn, session *Session, err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) || session.State() == statement.TxIdle {
		return false
	}
	// The deadline is set again after the next answer.
	return c.SetReadDeadline(time.Time{}) == nil
}

// awaitCatalog waits until a configuration is in force. Without one, database names and keys cannot be checked.
func (s *Server) awaitCatalog() bool {
	for end := time.Now().Add(catalogTimeout); s.Catalog().Revision == 0; time.Sleep(catalogPollInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// reject refuses a session.
func (s *Server) reject(codec Codec, start Start, code statement.Code, reason string) {
	s.Metrics.Rejected.WithLabelValues(code.String()).Inc()
	s.Log.Info("session rejected", "database", start.Database, "code", code, "reason", reason, "version", s.Catalog().Version)
	if err := codec.Reject(code, reason); err != nil {
		s.Log.Debug("caller is gone", "error", err)
	}
}

// openSession reads the start message and opens a session. It returns nil if the caller was refused or the connection
// failed.
func (s *Server) openSession(c net.Conn, codec Codec) *Session {
	_ = c.SetReadDeadline(time.Now().Add(startTimeout))
	start, err := codec.ReadStart()
	if errors.Is(err, ErrMalformedStart) {
		s.reject(codec, start, statement.CodeMalformed, err.Error())
		return nil
	}
	if limited, ok := c.(*intake.Conn); ok && errors.Is(err, os.ErrDeadlineExceeded) {
		limited.StartOverdue()
	}
	if err != nil {
		s.Log.Debug("connection ended before its start message", "caller", c.RemoteAddr(), "error", err)
		return nil
	}
	deadline := time.Time{}
	if s.draining.Load() {
		deadline = time.Now().Add(firstStatementTimeout)
		if deadline.After(s.drainDeadline) {
			s.reject(codec, start, statement.CodeBusy, "the instance is shutting down; connect again")
			return nil
		}
	}
	if !s.awaitCatalog() {
		s.reject(codec, start, statement.CodeBusy, "the instance has no configuration yet; connect again")
		return nil
	}
	_ = c.SetReadDeadline(deadline)
	session := &Session{
		id:       s.newSessionID(),
		newID:    s.newSessionID,
		database: start.Database,
		key:      start.Key,
		catalog:  s.Catalog,
		runner:   s.Runner,
		clock:    s.Clock,
	}
	if limited, ok := c.(*intake.Conn); ok {
		session.account = limited.Account
	}
	if code := session.Check(); code != statement.CodeOK {
		s.reject(codec, start, code, "no such database or key")
		return nil
	}
	if codec.Ready() != nil {
		return nil
	}
	return session
}

func (s *Server) newSessionID() operation.SessionID {
	return operation.SessionID{Instance: s.Instance, Number: s.numbers.Add(1)}
}
