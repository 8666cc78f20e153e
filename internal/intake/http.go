package intake

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// freeCallBytes is the length of a call's request or response that is not charged.
	freeCallBytes = 4 << 10
	// requestCopies is the number of copies of a request that a call holds: the buffer, which grows by doubling, and the decoded
	// message. responseCopies is the same for a response.
	requestCopies, responseCopies = 3, 2
	// bodyTimeout bounds the time for the body of a call.
	bodyTimeout = 15 * time.Second
	// readChunk is the longest part of a body that is charged at once.
	readChunk = 16 << 10
)

// Calls bounds the calls of an HTTP server in progress and charges their large bodies.
type Calls struct {
	next   http.Handler
	budget *Budget
	limit  int64
	// shared is the path of calls whose responses are not charged.
	shared string
	active atomic.Int64
}

// NewCalls returns a handler that bounds the calls to next. Responses of the path shared, which pass the same content on to many
// instances at once, are not charged: closing them would send these instances elsewhere all together. They must still progress.
func NewCalls(next http.Handler, b *Budget, limit int, shared string) *Calls {
	return &Calls{next: next, budget: b, limit: int64(limit), shared: shared}
}

// ServeHTTP implements http.Handler.
func (h *Calls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer h.active.Add(-1)
	if h.active.Add(1) > h.limit {
		h.budget.reporter.limited(CausePeerCalls, r.RemoteAddr, 0)
		http.Error(w, "too many calls", http.StatusServiceUnavailable)
		return
	}
	c := &call{ResponseWriter: w, body: r.Body, handler: h, client: r.RemoteAddr, shared: r.URL.Path == h.shared}
	c.timer = time.AfterFunc(bodyTimeout, c.bodyOverdue)
	defer c.end()
	r.Body = requestBody{c}
	h.next.ServeHTTP(c, r)
}

// call is one call in progress. Its account is opened when it becomes large.
type call struct {
	http.ResponseWriter
	body    io.ReadCloser
	handler *Calls
	client  string
	shared  bool
	account *Account
	read    int
	timer   *time.Timer

	mu    sync.Mutex
	ended bool
}

// Unwrap lets http.ResponseController reach the server's writer.
func (c *call) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// openAccount opens the account of a call that is large.
func (c *call) openAccount() *Account {
	if c.account == nil {
		c.account = c.handler.budget.Open(c.client, c.interrupt)
	}
	return c.account
}

// interrupt makes the reads and writes of the call fail.
func (c *call) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	control := http.NewResponseController(c.ResponseWriter)
	_ = control.SetReadDeadline(time.Unix(1, 0))
	_ = control.SetWriteDeadline(time.Unix(1, 0))
}

func (c *call) bodyOverdue() {
	c.handler.budget.reporter.limited(CauseMessage, c.client, 0)
	c.interrupt()
}

func (c *call) end() {
	c.timer.Stop()
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	c.account.Close()
}

// Write implements http.ResponseWriter. A response that finds no memory ends the call without an outcome.
func (c *call) Write(b []byte) (int, error) {
	if len(b) <= freeCallBytes {
		return c.ResponseWriter.Write(b)
	}
	size := int64(responseCopies * len(b))
	if c.shared {
		size = 0
	}
	if c.openAccount().ChargeResponse(size) != nil {
		panic(http.ErrAbortHandler)
	}
	c.account.phase.Store(phaseWriting)
	written := 0
	for written < len(b) {
		n, err := c.ResponseWriter.Write(b[written:min(len(b), written+writeChunk)])
		written += n
		c.account.moved.Add(int64(n))
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// requestBody charges a body before its parts are read.
type requestBody struct{ c *call }

// Read implements io.Reader.
func (r requestBody) Read(p []byte) (int, error) {
	c := r.c
	if c.read <= freeCallBytes {
		n, err := c.body.Read(p[:min(len(p), freeCallBytes)])
		return c.received(n, err)
	}
	p = p[:min(len(p), readChunk)]
	c.openAccount().MessageBegun()
	if err := c.account.Charge(int64(requestCopies * len(p))); err != nil {
		return 0, err
	}
	n, err := c.body.Read(p)
	c.account.Refund(int64(requestCopies * (len(p) - n)))
	c.account.moved.Add(int64(n))
	return c.received(n, err)
}

// received notes the end of the body.
func (c *call) received(n int, err error) (int, error) {
	c.read += n
	if err != nil {
		c.timer.Stop()
		if c.account != nil {
			c.account.MessageRead()
		}
	}
	return n, err
}

// Close implements io.Closer.
func (r requestBody) Close() error { return r.c.body.Close() }

// ConnLimit bounds the connections of an HTTP server. It closes the connection that has been idle for longest in favor of a new one.
type ConnLimit struct {
	net.Listener
	cause    Cause
	limit    int
	reporter *reporter
	// closesActive allows to close the oldest active connection when none is idle.
	closesActive bool

	mu    sync.Mutex
	conns map[net.Conn]connState
}

// connState is the state of a connection and the time since when it has it.
type connState struct {
	idle  bool
	since time.Time
}

// LimitPeers bounds the connections of other instances to the server, which must not be serving yet.
func LimitPeers(l net.Listener, s *http.Server, b *Budget, limit int) net.Listener {
	return limitConns(l, s, &ConnLimit{cause: CausePeerConns, limit: limit, reporter: b.reporter})
}

// LimitProbes bounds the connections to an endpoint whose requests take no time.
func LimitProbes(l net.Listener, s *http.Server, b *Budget, limit int) net.Listener {
	return limitConns(l, s, &ConnLimit{cause: CauseProbes, limit: limit, reporter: b.reporter, closesActive: true})
}

func limitConns(l net.Listener, s *http.Server, c *ConnLimit) net.Listener {
	c.Listener, c.conns = l, make(map[net.Conn]connState)
	s.ConnState = c.observe
	return c
}

// Accept implements net.Listener.
func (l *ConnLimit) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.admit(c) {
			return c, nil
		}
		_ = c.Close()
	}
}

func (l *ConnLimit) admit(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limit {
		l.reporter.limited(l.cause, c.RemoteAddr().String(), 0)
		victim := l.oldest()
		if victim == nil {
			return false
		}
		_ = victim.Close()
		delete(l.conns, victim)
	}
	l.conns[c] = connState{idle: true, since: time.Now()}
	return true
}

// oldest returns the connection that may be closed. Idle ones come first.
func (l *ConnLimit) oldest() net.Conn {
	var found net.Conn
	var best connState
	for c, s := range l.conns {
		if !s.idle && !l.closesActive {
			continue
		}
		if found == nil || s.idle && !best.idle || s.idle == best.idle && s.since.Before(best.since) {
			found, best = c, s
		}
	}
	return found
}

// observe follows the state of a connection.
func (l *ConnLimit) observe(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.conns[c]; !known {
		return
	}
	switch s {
	case http.StateNew, http.StateIdle:
		l.conns[c] = connState{idle: true, since: time.Now()}
	case http.StateActive:
		l.conns[c] = connState{since: time.Now()}
	default:
		delete(l.conns, c)
	}
}
