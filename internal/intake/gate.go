package intake

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minStartingAge is the age from which a connection without a start message may be closed in favor of a new one.
	minStartingAge = time.Second
	// startingWait is how long a new connection waits for others to complete their start messages. It is longer than the pauses of
	// a machine that has a small share of a core.
	startingWait = 250 * time.Millisecond
	// writeChunk is the length of the parts in which large responses are written, so that progress is seen.
	writeChunk = 16 << 10
)

// Gate accepts the connections of callers within the limits. It implements net.Listener.
type Gate struct {
	net.Listener
	budget *Budget
	limits Limits

	mu       sync.Mutex
	open     int
	starting map[*Conn]time.Time
	// left receives a value when a connection has left starting.
	left chan struct{}
}

// NewGate returns a gate before a listener.
func NewGate(l net.Listener, b *Budget, limits Limits) *Gate {
	return &Gate{Listener: l, budget: b, limits: limits, starting: make(map[*Conn]time.Time), left: make(chan struct{}, 1)}
}

// Accept implements net.Listener. Connections beyond the limits are closed; nothing has run on them.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		raw, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := g.admit(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// admit returns nil if the connection is refused.
func (g *Gate) admit(raw net.Conn) *Conn {
	client := raw.RemoteAddr().String()
	cause, victim := g.awaitRoom()
	if cause != "" {
		g.budget.reporter.limited(cause, client, 0)
		if victim == nil {
			return nil
		}
		_ = victim.Close()
	}
	c := &Conn{Conn: raw, gate: g}
	c.Account = g.budget.OpenConn(client, func() { _ = raw.Close() })
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open++
	g.starting[c] = time.Now()
	return c
}

// awaitRoom returns the result of full. In a burst, Accept can be ahead of the sessions, whose start messages have arrived and are
// not read yet; it waits for them, at most for startingWait, rather than refuse the next caller.
func (g *Gate) awaitRoom() (Cause, *Conn) {
	cause, victim := g.full(time.Now())
	if cause != CauseStarting || victim != nil {
		return cause, victim
	}
	timer := time.NewTimer(startingWait)
	defer timer.Stop()
	for cause == CauseStarting && victim == nil {
		select {
		case <-g.left:
			cause, victim = g.full(time.Now())
		case <-timer.C:
			return g.full(time.Now())
		}
	}
	return cause, victim
}

// leaveStarting records that the connection has completed its start message or ended. The gate is locked.
func (g *Gate) leaveStarting(c *Conn) {
	delete(g.starting, c)
	select {
	case g.left <- struct{}{}:
	default:
	}
}

// full returns the limit that has been reached, if any, and the oldest connection without a start message that may be closed.
func (g *Gate) full(now time.Time) (Cause, *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	cause := Cause("")
	switch {
	case g.open >= g.limits.Sessions:
		cause = CauseSessions
	case len(g.starting) >= g.limits.Starting:
		cause = CauseStarting
	default:
		return "", nil
	}
	var oldest *Conn
	at := now.Add(-minStartingAge)
	for c, since := range g.starting {
		if since.Before(at) {
			oldest, at = c, since
		}
	}
	return cause, oldest
}

// Conn is a caller's connection with its account. A nil Conn has a nil account.
type Conn struct {
	net.Conn
	*Account
	gate   *Gate
	closed atomic.Bool
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.phase.Store(phaseReading)
		c.moved.Add(int64(n))
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.phase.Store(phaseWriting)
	defer c.phase.Store(phaseIdle)
	written := 0
	for {
		n, err := c.Conn.Write(b[written:min(len(b), written+writeChunk)])
		written += n
		c.moved.Add(int64(n))
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return nil
	}
	c.gate.mu.Lock()
	c.gate.open--
	c.gate.leaveStarting(c)
	c.gate.mu.Unlock()
	err := c.Conn.Close()
	c.Account.Close()
	return err
}

// StartOverdue records that the start message was not complete in time.
func (c *Conn) StartOverdue() { c.gate.budget.reporter.limited(CauseStart, c.name, 0) }

// Started records that the start message is complete.
func (c *Conn) Started() {
	c.MessageRead()
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.leaveStarting(c)
}

// MessageBegun records that a part of the next message was received with the previous one.
func (a *Account) MessageBegun() {
	if a != nil {
		a.phase.Store(phaseReading)
	}
}

// MessageRead records that a message is complete.
func (a *Account) MessageRead() {
	if a == nil {
		return
	}
	a.messages.Add(1)
	a.phase.Store(phaseRunning)
}
