package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/celerystep/celerystep/platform/platformtest"
)

// client is a consumer's session.
type client struct {
	f    *fleet
	conn net.Conn
	in   *bufio.Reader
}

// dial opens a session at an instance.
func (f *fleet) dial(in *instance, databaseName string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", in.frontend(), time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{f: f, conn: conn, in: bufio.NewReader(conn)}
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", databaseName, tenantKey); err != nil {
		c.close()
		return nil, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	if a := platformtest.ReadAnswer(c.in); !a.OK() || a.State != "I" {
		c.close()
		return nil, fmt.Errorf("not started: %+v", a)
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// reply is the answer to a statement, with the times of its first byte and of the end of its answer.
type reply struct {
	platformtest.Answer
	id          string
	sent, ended time.Time
	// unsent is true when the statement could not be sent.
	unsent bool
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// do sends a statement and waits for its answer.
func (c *client) do(text string) reply {
	r := reply{id: newID(), sent: time.Now()}
	c.f.record.add("send %s: %s", r.id, text)
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", r.id, text); err != nil {
		r.unsent, r.Broken = true, true
	} else {
		_ = c.conn.SetReadDeadline(time.Now().Add(4 * time.Second))
		r.Answer = platformtest.ReadAnswer(c.in)
	}
	r.ended = time.Now()
	c.f.record.add("answer %s: rows %v receipt %q code %q state %q broken %t", r.id, r.Rows, r.Receipt, r.Code, r.State, r.Broken)
	return r
}
