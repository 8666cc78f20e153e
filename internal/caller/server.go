package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/boottime"
	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/statement"
)

const (
	// startTimeout bounds the time for a caller to say who it is.
	startTimeout = 5 * time.Second
	// drainSpread is the time over which idle sessions are closed during a shutdown.
	drainSpread = 1500 * time.Millisecond
	// firstStatement is how long a session that is opened during a shutdown may take to its first statement. With less
	// time left it is refused, so that its caller goes elsewhere at once.
	firstStatement = time.Second
	// catalogWait is how long a new session waits for the configuration of a process that has just started. Callers give up
	// after two seconds.
	catalogWait = 1500 * time.Millisecond
	// catalogPoll is the time between two looks for it.
	catalogPoll = 10 * time.Millisecond
	// quietTime is how long a session must say nothing during a shutdown before it is closed: the next statement of an
	// operation follows its answer at once.
	quietTime = 250 * time.Millisecond
)

// Start is what a caller says when it connects.
type Start struct {
	Database string
	Key      string
}

// Codec speaks a wire protocol on one connection.
type Codec interface {
	ReadStart() (Start, error)
	// Ready accepts the session, Reject refuses it; the connection is closed afterwards.
	Ready() error
	Reject(code statement.Code, detail string) error
	// Read returns the next statement; its Kind is KindInvalid when it cannot be read. An error ends the session.
	Read() (statement.Statement, error)
	Write(id string, r operation.Response) error
}

// Server accepts callers.
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
	// drainEnd is when the rest of the sessions is closed; it is set before draining.
	drainEnd time.Time
	mu       sync.Mutex
	conns    map[net.Conn]*activity
	wg       sync.WaitGroup
}

// activity tells what a session does; the server's lock guards it.
type activity struct {
	// busy is true from the arrival of a statement to its answer.
	busy bool
	// ends is true when the session has to end after its answer.
	ends bool
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.mu.Lock()
	s.conns = make(map[net.Conn]*activity)
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
		s.conns[c] = &activity{}
		s.mu.Unlock()
		go s.serve(ctx, c)
	}
}

// Sessions returns the number of open connections.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Drain closes sessions as they become idle. When soft ends it closes those that are between two statements, and when hard
// ends the rest. It returns when all are closed.
func (s *Server) Drain(soft, hard context.Context) {
	s.drainEnd, _ = soft.Deadline()
	s.draining.Store(true)
	s.mu.Lock()
	for c := range s.conns {
		// An idle session wakes up from its read at this time and ends.
		_ = c.SetReadDeadline(time.Now().Add(rand.N(drainSpread)))
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	for _, limit := range []context.Context{soft, hard} {
		select {
		case <-done:
			return
		case <-limit.Done():
			s.cut(limit == hard)
		}
	}
	<-done
}

// cut closes the sessions that are between two statements, or all.
func (s *Server) cut(all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, a := range s.conns {
		s.Log.Info("closing a session that did not end in time", "caller", c.RemoteAddr(), "statement_running", a.busy, "all", all)
		a.ends = true
		if all || !a.busy {
			_ = c.Close()
		}
	}
}

// setBusy notes that a statement of the session runs or has been answered. It returns false when the session has to end.
func (s *Server) setBusy(c net.Conn, busy bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.conns[c]
	a.busy = busy
	return !a.ends
}

func (s *Server) forget(c net.Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	_ = c.Close()
	s.wg.Done()
}

// serve runs one session.
func (s *Server) serve(ctx context.Context, c net.Conn) {
	defer s.forget(c)
	codec := s.NewCodec(c)
	session := s.open(c, codec)
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
		resp := session.Do(ctx, st)
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
			_ = c.SetReadDeadline(time.Now().Add(quietTime))
		}
	}
}

// keepReading reports whether a session whose read was woken up has to go on because it is in a transaction.
func (s *Server) keepReading(c net.Conn, session *Session, err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) || session.State() == statement.TxIdle {
		return false
	}
	// Its next answer sets a deadline again.
	return c.SetReadDeadline(time.Time{}) == nil
}

// awaitCatalog waits until the process knows a configuration. Without one it cannot tell a wrong name or key from a right one.
func (s *Server) awaitCatalog() bool {
	for end := time.Now().Add(catalogWait); s.Catalog().Revision == 0; time.Sleep(catalogPoll) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// open reads the start of a session. It returns nil when the caller was refused.
func (s *Server) open(c net.Conn, codec Codec) *Session {
	_ = c.SetReadDeadline(time.Now().Add(startTimeout))
	start, err := codec.ReadStart()
	if err != nil {
		return nil
	}
	deadline := time.Time{}
	if s.draining.Load() {
		deadline = time.Now().Add(firstStatement)
		if deadline.After(s.drainEnd) {
			s.Metrics.Rejected.WithLabelValues(statement.CodeBusy.String()).Inc()
			_ = codec.Reject(statement.CodeBusy, "the instance is shutting down; connect again")
			return nil
		}
	}
	if !s.awaitCatalog() {
		s.Metrics.Rejected.WithLabelValues(statement.CodeBusy.String()).Inc()
		s.Log.Warn("session rejected", "database", start.Database, "code", statement.CodeBusy, "reason", "no configuration yet")
		_ = codec.Reject(statement.CodeBusy, "the instance has no configuration yet; connect again")
		return nil
	}
	_ = c.SetReadDeadline(deadline)
	session := &Session{
		id:       operation.SessionID{Instance: s.Instance, Number: s.numbers.Add(1)},
		database: start.Database,
		key:      start.Key,
		catalog:  s.Catalog,
		runner:   s.Runner,
		clock:    s.Clock,
	}
	if code := session.Check(); code != statement.CodeOK {
		s.Metrics.Rejected.WithLabelValues(code.String()).Inc()
		s.Log.Info("session rejected", "database", start.Database, "code", code, "version", s.Catalog().Version)
		_ = codec.Reject(code, "no such database or key")
		return nil
	}
	if codec.Ready() != nil {
		return nil
	}
	return session
}
