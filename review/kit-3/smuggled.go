package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/celerystep/celerystep/platform/platformtest"
)

func init() { scenarios["smuggled"] = smuggled }

// smuggled: an instance is stopped while a consumer sends a statement of its transaction in two pieces. The text that it writes holds the text

// of another statement.
func smuggled(folder string) (*bed, bool) {
	b := newBed(folder, 0)
	n := b.nodes[1]
	c := b.dial(n, "p0", "orders")
	defer func() { _ = c.conn.Close() }()
	c.next()
	c.do("BEGIN")
	c.do("WRITE stock 7")
	inner := "QUERY p0-9.9 WRITE stock 0"
	text := "WRITE note seen in the log: " + inner
	c.number++
	id := fmt.Sprintf("p0-%d.%d", c.tries, c.number)
	b.mu.Lock()
	b.held[id] = nil
	b.mu.Unlock()
	first := strings.TrimSuffix("QUERY "+id+" "+text, inner)
	b.record("p0 sends the first piece of %s: %q", id, first)
	_ = c.conn.SetDeadline(time.Now().Add(answerLimit))
	_, _ = fmt.Fprint(c.conn, first)
	if b.trouble {
		time.Sleep(50 * time.Millisecond)
		b.record("SIGTERM to %s", n.name)
		_ = n.cmd.Process.Signal(syscall.SIGTERM)
	}
	time.Sleep(1700 * time.Millisecond)
	b.record("p0 sends the rest of %s: %q", id, inner)
	_, _ = fmt.Fprintf(c.conn, "%s\r\n", inner)
	a := platformtest.ReadAnswer(c.r)
	b.record("p0 gets for %s: code %q receipt %q state %q broken %t", id, a.Code, a.Receipt, a.State, a.Broken)
	if a.OK() {
		c.do("COMMIT")
	}
	time.Sleep(2 * time.Second)
	return b, len(b.group.findings) > 0
}
