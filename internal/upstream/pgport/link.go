package pgport

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/upstream"
)

// link holds the status connection to one member and runs one operation at a time on it.
type link struct {
	port   *Port
	member upstream.Member
	// turn is held by the operation that uses the connection.
	turn chan struct{}

	mu      sync.Mutex
	closed  bool
	conn    *statusConn
	streams int
	idle    *time.Timer
}

func newLink(p *Port, m upstream.Member) *link {
	return &link{port: p, member: m, turn: make(chan struct{}, 1)}
}

func (l *link) fail(k upstream.ErrorKind, step string, err error) error {
	return memberError(k, step, l.member, err)
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.idle != nil {
		l.idle.Stop()
	}
	if l.conn != nil {
		l.conn.fail(errClosed)
	}
}

// takeTurn waits until no other operation uses the connection.
func (l *link) takeTurn(ctx context.Context, step string) error {
	select {
	case l.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return l.fail(upstream.ErrUnreachable, step, errors.Wrap(ctx.Err(), "wait for the status connection"))
	}
}

// operate runs a function of the member and returns the status that it answers with.
func (l *link) operate(ctx context.Context, step string, readOnly bool, sql string) (upstream.MemberStatus, error) {
	text, err := l.query(ctx, step, readOnly, sql)
	if err != nil {
		return upstream.MemberStatus{}, err
	}
	s, err := decodeStatus(text)
	if err != nil {
		return upstream.MemberStatus{}, l.fail(upstream.ErrUnreachable, step, err)
	}
	return s, nil
}

// query runs a query on the status connection and returns the value that it answers with.
func (l *link) query(ctx context.Context, step string, readOnly bool, sql string) (string, error) {
	if err := l.takeTurn(ctx, step); err != nil {
		return "", err
	}
	defer l.endTurn()
	c, err := l.connection(ctx, step)
	if err != nil {
		return "", err
	}
	text, err := c.exchange(ctx, sql)
	if unsent := (*sendError)(nil); errors.As(err, &unsent) {
		// The member had closed the kept connection, as a process that was restarted has. All queries are idempotent.
		if c, err = l.connection(ctx, step); err != nil {
			return "", err
		}
		text, err = c.exchange(ctx, sql)
	}
	if err != nil {
		return "", l.fail(answerKind(err, readOnly), step, err)
	}
	return text, nil
}

// endTurn lets the next operation in and closes the connection when it stays unused.
func (l *link) endTurn() {
	<-l.turn
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeWhenIdleLocked()
}

func (l *link) closeWhenIdleLocked() {
	if l.idle != nil {
		l.idle.Stop()
		l.idle = nil
	}
	if l.streams > 0 || l.conn == nil || l.closed {
		return
	}
	l.idle = time.AfterFunc(l.port.options.IdleTimeout, l.closeIdle)
}

func (l *link) closeIdle() {
	select {
	case l.turn <- struct{}{}:
	default:
		return
	}
	defer func() { <-l.turn }()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams == 0 && l.conn != nil {
		l.conn.fail(errClosed)
		l.conn = nil
	}
}

// connection returns the status connection and opens one when there is none, or when the present one is silent. The
// caller holds the turn.
func (l *link) connection(ctx context.Context, step string) (*statusConn, error) {
	l.mu.Lock()
	c, closed := l.conn, l.closed
	l.mu.Unlock()
	if closed {
		return nil, l.fail(upstream.ErrUnreachable, step, errClosed)
	}
	if c != nil {
		if c.isSilent(l.port.options.SilenceLimit) {
			c.fail(errSilent)
		}
		if !c.hasEnded() {
			return c, nil
		}
	}
	conn, err := l.port.connect(ctx, l.member, step, map[string]string{"celerystep.status": "on"})
	if err != nil {
		return nil, err
	}
	c = newStatusConn(conn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.fail(errClosed)
		return nil, l.fail(upstream.ErrUnreachable, step, errClosed)
	}
	l.conn = c
	return c, nil
}

// watch carries a status stream until ctx ends or the connection breaks.
func (l *link) watch(ctx context.Context, f func(upstream.MemberStatus)) error {
	const step = "watch"
	l.addStream(1)
	defer l.addStream(-1)
	c, w, err := l.subscribe(ctx, step)
	if err != nil {
		return err
	}
	defer c.unsubscribe(w)
	limit := l.port.options.SilenceLimit
	check := time.NewTicker(limit / 2)
	defer check.Stop()
	for {
		select {
		case s := <-w.latest:
			f(s)
		case <-check.C:
			if c.isSilent(limit) {
				c.fail(errSilent)
			}
		case <-c.ended:
			return l.fail(answerKind(c.err, true), step, c.err)
		case <-ctx.Done():
			return l.fail(upstream.ErrUnreachable, step, ctx.Err())
		}
	}
}

func (l *link) addStream(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams += n
	l.closeWhenIdleLocked()
}

// subscribe opens the stream on the connection.
func (l *link) subscribe(ctx context.Context, step string) (*statusConn, *watcher, error) {
	if err := l.takeTurn(ctx, step); err != nil {
		return nil, nil, err
	}
	defer l.endTurn()
	c, err := l.connection(ctx, step)
	if err != nil {
		return nil, nil, err
	}
	w := c.subscribe()
	if err := c.listen(ctx); err != nil {
		c.unsubscribe(w)
		return nil, nil, l.fail(answerKind(err, true), step, err)
	}
	return c, w, nil
}

// statusConn is a status connection. A goroutine reads it and hands answers to the running operation and reports to
// the watchers.
type statusConn struct {
	conn    *Conn
	answers chan answer
	// ended is closed after err is set.
	ended chan struct{}

	mu        sync.Mutex
	err       error
	listening bool
	last      time.Time
	watchers  map[*watcher]struct{}
}

// answer is the outcome of one operation.
type answer struct {
	text string
	err  error
}

// watcher receives the latest report.
type watcher struct{ latest chan upstream.MemberStatus }

func newStatusConn(c *Conn) *statusConn {
	s := &statusConn{
		conn:     c,
		answers:  make(chan answer, 1),
		ended:    make(chan struct{}),
		last:     time.Now(),
		watchers: make(map[*watcher]struct{}),
	}
	go s.read()
	return s
}

// fail ends the connection; the first error counts.
func (s *statusConn) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return
	}
	s.err = err
	close(s.ended)
	_ = s.conn.Close()
}

func (s *statusConn) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// isSilent reports whether a stream that should carry regular reports has been silent for longer than limit.
func (s *statusConn) isSilent(limit time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listening && time.Since(s.last) > limit
}

func (s *statusConn) subscribe() *watcher {
	w := &watcher{latest: make(chan upstream.MemberStatus, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[w] = struct{}{}
	return w
}

func (s *statusConn) unsubscribe(w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, w)
}

// listen starts the stream of the connection, once.
func (s *statusConn) listen(ctx context.Context) error {
	s.mu.Lock()
	listening := s.listening
	s.mu.Unlock()
	if listening {
		return nil
	}
	if _, err := s.exchange(ctx, "LISTEN group_status"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listening, s.last = true, time.Now()
	return nil
}

// exchange sends a query and waits for its answer. A connection whose answer is outstanding is closed, because a late
// answer must not be taken for that of the next operation.
func (s *statusConn) exchange(ctx context.Context, sql string) (string, error) {
	b, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return "", errors.Wrap(err, "encode query")
	}
	d, _ := ctx.Deadline()
	_ = s.conn.net.SetWriteDeadline(d)
	if err := s.conn.Send(b); err != nil {
		s.fail(err)
		return "", &sendError{err}
	}
	select {
	case a := <-s.answers:
		return a.text, a.err
	case <-s.ended:
		return "", errors.Wrap(s.err, "receive")
	case <-ctx.Done():
		s.fail(ctx.Err())
		return "", errors.Wrap(ctx.Err(), "receive")
	}
}
