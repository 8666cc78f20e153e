package home

import (
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// fakeConn is a connection to a fakeMember that supports the simple query protocol.
type fakeConn struct {
	port       *fakePort
	m          *fakeMember
	id         int
	generation uint64
	tx         byte
	wrote      bool
	tag        string
	answers    [][]byte
	wake       chan struct{}
	broken     chan struct{}
	closed     bool
	// silent discards all messages without closing the connection.
	silent   bool
	deadline time.Time
}

func (c *fakeConn) breakLocked() {
	if !c.closed {
		c.closed = true
		c.m.g.open--
		delete(c.m.conns, c)
		close(c.broken)
	}
}

func (c *fakeConn) Close() error {
	c.m.g.update(c.breakLocked)
	return nil
}

func (c *fakeConn) SetDeadline(t time.Time) error {
	c.m.g.update(func() { c.deadline = t })
	return nil
}

func (c *fakeConn) Send(p []byte) error {
	c.port.waitIfPaused()
	c.m.g.mu.Lock()
	defer c.m.g.mu.Unlock()
	if c.closed {
		return errBroken
	}
	if c.silent || c.m.partitioned || c.port.unreachable[c.m.id] {
		return nil
	}
	for len(p) > 0 {
		n := int(p[1])<<24 | int(p[2])<<16 | int(p[3])<<8 | int(p[4]) + 1
		body := string(p[5:n])
		if p[0] == 'S' {
			c.push(&pgproto3.ReadyForQuery{TxStatus: c.tx})
		} else {
			c.query(strings.TrimSuffix(body, "\x00"))
		}
		p = p[n:]
	}
	return nil
}

func (c *fakeConn) push(messages ...pgproto3.Message) {
	for _, m := range messages {
		p, _ := m.Encode(nil)
		c.answers = append(c.answers, p)
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// query runs the statement with the fault that the member injects.
func (c *fakeConn) query(text string) {
	fault := faultNone
	if c.m.fault != nil {
		fault = c.m.fault(text)
	}
	if fault == faultBefore {
		c.breakLocked()
		return
	}
	if fault == faultRefused {
		c.push(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "22023"}, &pgproto3.ReadyForQuery{TxStatus: c.tx})
		return
	}
	before := len(c.answers)
	c.run(text)
	switch fault {
	case faultAfter:
		c.answers = c.answers[:before]
		c.breakLocked()
	case faultMidway:
		c.answers = c.answers[:before]
		c.push(&pgproto3.DataRow{Values: [][]byte{make([]byte, 64<<10)}})
		c.breakAfterAnswers()
	case faultSilent:
		c.answers = c.answers[:before]
		c.silent = true
	}
}

func (c *fakeConn) breakAfterAnswers() {
	after(time.Millisecond, func() { c.m.g.update(c.breakLocked) })
}

func (c *fakeConn) run(text string) {
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "SET" {
		fmt.Sscanf(rest, "celerystep.customer = '%s", &c.tag)
		c.tag = strings.TrimSuffix(c.tag, "'")
	} else {
		c.m.g.executed = append(c.m.g.executed, fakeStatement{member: c.m.id, conn: c.id, tag: c.tag, text: text})
	}
	done := func() { c.push(&pgproto3.ReadyForQuery{TxStatus: c.tx}) }
	complete := func(tag string) { c.push(&pgproto3.CommandComplete{CommandTag: []byte(tag)}) }
	switch verb {
	case "BEGIN":
		c.tx, c.wrote = 'T', false
	case "COMMIT":
		c.tx = 'I'
		complete("COMMIT")
		c.commitWrites()
		done()
		return
	case "ROLLBACK":
		c.tx = 'I'
	case "DISCARD":
		text, verb = "", "DISCARD ALL"
	case "INSERT":
		c.wrote = true
		complete("INSERT 0 1")
		if c.tx == 'I' {
			c.commitWrites()
		}
		done()
		return
	case "SLEEP":
		d, _ := time.ParseDuration(rest)
		after(d, func() { c.m.g.update(func() { complete("SLEEP"); done() }) })
		return
	case "SELECT":
		for range c.m.rows {
			c.push(&pgproto3.DataRow{Values: [][]byte{make([]byte, 1024)}})
		}
		if c.m.rows > 0 {
			verb = "SELECT 1"
			break
		}
		c.push(&pgproto3.DataRow{Values: [][]byte{[]byte(fmt.Sprint(c.m.applied))}})
		verb = "SELECT 1"
	}
	complete(verb)
	done()
}

func (c *fakeConn) commitWrites() {
	if c.wrote {
		p := c.m.commit()
		c.push(&pgproto3.ParameterStatus{Name: "group_position", Value: p.String()})
	}
	c.wrote = false
}

type timeoutError struct{}

func (timeoutError) Error() string { return "i/o timeout" }
func (timeoutError) Timeout() bool { return true }

func (c *fakeConn) Receive() ([]byte, error) {
	c.port.waitIfPaused()
	for {
		c.m.g.mu.Lock()
		if len(c.answers) > 0 && !c.m.partitioned && !c.silent {
			p := c.answers[0]
			c.answers = c.answers[1:]
			c.m.g.mu.Unlock()
			return p, nil
		}
		closed, deadline := c.closed, c.deadline
		c.m.g.mu.Unlock()
		if closed {
			return nil, errBroken
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-c.wake:
		case <-c.broken:
		case <-timer.C:
			return nil, timeoutError{}
		}
		timer.Stop()
	}
}
