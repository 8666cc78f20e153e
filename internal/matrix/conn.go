package matrix

import (
	"bytes"
	"encoding/binary"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/celerystep/celerystep/internal/upstream"
)

// statementKind says what a message asks for.
type statementKind uint8

const (
	kindOther statementKind = iota
	kindBegin
	kindWrite
	kindRead
	kindCommit
	kindReset
)

var sendSteps = map[statementKind]Step{kindBegin: StepSendBegin, kindWrite: StepSendWrite, kindRead: StepSendRead,
	kindCommit: StepSendCommit, kindReset: StepSendReset}

var receiveSteps = map[statementKind]Step{kindBegin: StepReceiveBegin, kindWrite: StepReceiveWrite,
	kindRead: StepReceiveRead, kindCommit: StepReceiveCommit, kindReset: StepReceiveReset}

// kindOf classifies a statement by its first word.
func kindOf(text string) statementKind {
	word, _, _ := strings.Cut(strings.TrimSpace(text), " ")
	switch strings.ToUpper(word) {
	case "BEGIN":
		return kindBegin
	case "INSERT", "UPDATE":
		return kindWrite
	case "SELECT":
		return kindRead
	case "COMMIT":
		return kindCommit
	case "ROLLBACK", "DISCARD":
		return kindReset
	default:
		return kindOther
	}
}

// faultyConn is a statement connection that applies faults.
type faultyConn struct {
	inner upstream.Conn
	port  *port
	// kind is that of the exchange under way, of which answers counts the messages that arrived.
	kind    statementKind
	answers int
	// kinds holds the kinds of prepared statements by name. It belongs to the goroutine that sends.
	kinds map[string]statementKind

	mu       sync.Mutex
	deadline time.Time
	// deaf loses what arrives, mute what is sent; broken fails the next Receive.
	deaf, mute, broken bool
	// hold keeps the connection open on the member's side after Close until the time.
	hold   time.Time
	once   sync.Once
	closed chan struct{}
}

// messages calls f with type and body of each encoded message.
func messages(p []byte, f func(kind byte, body []byte)) {
	const header = 5
	for len(p) >= header {
		n := int(binary.BigEndian.Uint32(p[1:header])) + 1
		if n < header || n > len(p) {
			return
		}
		f(p[0], p[header:n])
		p = p[n:]
	}
}

// classify returns the kind of the last statement in the messages.
func (c *faultyConn) classify(p []byte) statementKind {
	kind := kindOther
	messages(p, func(typ byte, body []byte) {
		switch typ {
		case 'Q':
			kind = kindOf(string(bytes.TrimRight(body, "\x00")))
		case 'P':
			name, rest, _ := bytes.Cut(body, []byte{0})
			query, _, _ := bytes.Cut(rest, []byte{0})
			c.kinds[string(name)] = kindOf(string(query))
		case 'B':
			_, rest, _ := bytes.Cut(body, []byte{0})
			name, _, _ := bytes.Cut(rest, []byte{0})
			kind = c.kinds[string(name)]
		}
	})
	return kind
}

// at passes a point of the exchange under way.
func (c *faultyConn) at(steps map[statementKind]Step, m Moment) Fault {
	step, ok := steps[c.kind]
	if !ok {
		return ""
	}
	f := c.port.in.at(step, m, c.port.home)
	c.port.home.gate.pass()
	return f
}

// Send implements upstream.Conn.
func (c *faultyConn) Send(p []byte) error {
	c.port.home.gate.pass()
	c.kind = c.classify(p)
	c.answers = 0
	if f := c.at(sendSteps, BeforeSend); f != "" {
		return c.instead(f, p)
	}
	if c.isMute() {
		return nil
	}
	err := c.inner.Send(p)
	if f := c.at(sendSteps, AfterSend); f != "" {
		c.apply(f)
	}
	return err
}

// instead applies a fault in place of the sending of p.
func (c *faultyConn) instead(f Fault, p []byte) error {
	switch f {
	case FaultReset:
		_ = c.inner.Close()
		return syscall.ECONNRESET
	case FaultDelay:
		c.sendLate(append([]byte(nil), p...))
		return nil
	case FaultOneWay:
		c.apply(f)
		return c.inner.Send(p)
	default:
		c.apply(f)
		c.set(func() { c.mute = true })
		return nil
	}
}

// sendLate delivers p after the deadline of the exchange, also when the home has closed the connection by then.
func (c *faultyConn) sendLate(p []byte) {
	var at time.Time
	c.set(func() {
		c.deaf, c.mute = true, true
		at = c.deadline.Add(lateBy)
		c.hold = at.Add(2 * lateBy)
	})
	c.port.late.Go(func() {
		time.Sleep(time.Until(at))
		_ = c.inner.Send(p)
	})
}

func (c *faultyConn) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// apply changes the state of the connection after something was sent or received.
func (c *faultyConn) apply(f Fault) {
	c.set(func() {
		switch f {
		case FaultReset, FaultLost:
			c.broken = true
		case FaultSilent:
			c.deaf, c.mute = true, true
		case FaultOneWay:
			c.deaf = true
		}
	})
	if f == FaultReset {
		_ = c.inner.Close()
	}
	if f == FaultDelay {
		c.waitPastDeadline()
	}
}

func (c *faultyConn) isMute() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mute
}

// waitPastDeadline blocks until the deadline has passed or the connection is closed.
func (c *faultyConn) waitPastDeadline() {
	for {
		c.mu.Lock()
		left := time.Until(c.deadline)
		c.mu.Unlock()
		if left <= -lateBy {
			return
		}
		t := time.NewTimer(left + lateBy)
		select {
		case <-c.closed:
			t.Stop()
			return
		case <-t.C:
		}
	}
}

// Receive implements upstream.Conn.
func (c *faultyConn) Receive() ([]byte, error) {
	c.port.home.gate.pass()
	if c.answers == 0 {
		if f := c.at(receiveSteps, BeforeSend); f != "" {
			c.apply(f)
		}
	}
	if err := c.fails(); err != nil {
		return nil, err
	}
	m, err := c.inner.Receive()
	c.port.home.gate.pass()
	if err != nil {
		return nil, err
	}
	c.answers++
	if f := c.momentOf(m); f != "" {
		c.apply(f)
		if err := c.fails(); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// momentOf passes the points that the arrival of m reaches.
func (c *faultyConn) momentOf(m []byte) Fault {
	if c.answers == 1 {
		if f := c.at(receiveSteps, AfterSend); f != "" {
			return f
		}
	}
	if m[0] != 'Z' {
		return ""
	}
	c.answers = 0
	if f := c.at(receiveSteps, AfterAnswer); f != "" {
		return f
	}
	if f := c.at(sendSteps, AfterAnswer); f != "" {
		// The answer got through; the fault meets the next exchange.
		defer c.apply(f)
	}
	return ""
}

// fails returns the error of a connection that is broken or hears nothing any more.
func (c *faultyConn) fails() error {
	c.mu.Lock()
	broken, deaf := c.broken, c.deaf
	c.mu.Unlock()
	if broken {
		return syscall.ECONNRESET
	}
	if deaf {
		c.waitPastDeadline()
		return os.ErrDeadlineExceeded
	}
	return nil
}

// SetDeadline implements upstream.Conn.
func (c *faultyConn) SetDeadline(t time.Time) error {
	c.set(func() { c.deadline = t })
	return c.inner.SetDeadline(t)
}

// Close implements upstream.Conn. The member does not learn of it while the connection is silent.
func (c *faultyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.mu.Lock()
	mute, hold := c.mute, c.hold
	c.mu.Unlock()
	switch {
	case !hold.IsZero():
		c.port.late.Go(func() {
			time.Sleep(time.Until(hold))
			_ = c.inner.Close()
		})
		return nil
	case mute:
		c.port.keep(c.inner)
		return nil
	default:
		return c.inner.Close()
	}
}
