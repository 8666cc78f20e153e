package main

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"github.com/celerystep/celerystep/platform/platformtest"
)

// answerTimeout bounds the wait for an answer.
const answerTimeout = 8 * time.Second

// client is a consumer's session.
type client struct {
	name   string
	conn   net.Conn
	reader *bufio.Reader
	record *recorder
}

// connect opens a session. It returns an error unless the session was accepted.
func connect(name, address, database, key string, r *recorder) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, conn: conn, reader: bufio.NewReaderSize(conn, 64<<10), record: r}
	if err := c.send(fmt.Sprintf("START %s %s\r\n", database, key)); err != nil {
		c.close()
		return nil, err
	}
	if a := c.answer(); !a.OK() {
		c.close()
		return nil, fmt.Errorf("START was answered with %q", a.Code)
	}
	return c, nil
}

// send sends bytes as they are.
func (c *client) send(text string) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(answerTimeout))
	_, err := c.conn.Write([]byte(text))
	return err
}

// answer reads one answer.
func (c *client) answer() platformtest.Answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(answerTimeout))
	return platformtest.ReadAnswer(c.reader)
}

// query sends a statement and returns its answer.
func (c *client) query(id, text string) platformtest.Answer {
	if err := c.send("QUERY " + id + " " + text + "\r\n"); err != nil {
		return platformtest.Answer{Broken: true}
	}
	return c.answer()
}

// logged is query with lines in the record.
func (c *client) logged(id, text string) platformtest.Answer {
	c.record.printf("%s sends: QUERY %s %s", c.name, id, brief(text))
	a := c.query(id, text)
	c.logAnswer(id, a)
	return a
}

func (c *client) logAnswer(id string, a platformtest.Answer) {
	c.record.printf("%s is answered on %s: code %q receipt %q state %q rows %q broken %t", c.name, id, a.Code, a.Receipt, a.State, a.Rows, a.Broken)
}

func (c *client) close() { _ = c.conn.Close() }
