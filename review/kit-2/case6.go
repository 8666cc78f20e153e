package main

import (
	"syscall"
	"time"
)

func init() {
	cases["6"] = slowMessageDuringStop
	optionsOf["6"] = options{instances: 2, lags: []time.Duration{0, 5 * time.Millisecond, 5 * time.Millisecond}}
}

// pieceGap is the time between the two pieces of a message, stopAfter the time from the first piece to SIGTERM.
const (
	pieceGap  = 2300 * time.Millisecond
	stopAfter = 300 * time.Millisecond
)

// slowMessageDuringStop sends one message in two pieces. Between them the instance gets SIGTERM. Members must receive only the
// statements that the consumer sent.
func slowMessageDuringStop(e *environment) (bool, error) {
	const id, head, tail = "w1", "WRITE plant-7 ", "QUERY w2 WRITE plant-8 stop-line"
	p := e.processes[0]
	c, err := connect("consumer", p.callers(), "orders", "key-mill1", e.record)
	if err != nil {
		return false, err
	}
	defer c.close()
	if a := c.logged("b1", "BEGIN"); !a.OK() {
		return false, errNotServed
	}
	e.record.printf("consumer sends the first piece of one message: QUERY %s %s", id, head)
	if err := c.send("QUERY " + id + " " + head); err != nil {
		return false, err
	}
	time.Sleep(stopAfter)
	if e.trouble {
		p.signal(syscall.SIGTERM)
	}
	time.Sleep(pieceGap - stopAfter)
	e.record.printf("consumer sends the rest of that message: %s", tail)
	if err := c.send(tail + "\r\n"); err != nil {
		e.record.printf("the connection is closed: %v", err)
	} else {
		a := c.answer()
		c.logAnswer(id, a)
		if a.OK() {
			c.logged("c1", "COMMIT")
		}
	}
	time.Sleep(500 * time.Millisecond)
	sent := map[string]string{id: head + tail, "c1": "COMMIT"}
	broken := false
	for _, r := range e.group.snapshot() {
		if r.text == "WRITE probe 1" {
			continue
		}
		if sent[r.id] != r.text {
			e.record.printf("UNASKED: member %s received a statement that no consumer sent: id %s, text %q", r.member, r.id, r.text)
			broken = true
		}
	}
	return broken, nil
}
