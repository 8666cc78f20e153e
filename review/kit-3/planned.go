package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["planned"] = planned }

// planned: the primary is replaced while a replica receives nothing and transactions are open. A commit is acknowledged once one replica

// has received it.
func planned(folder string) (*bed, bool) {
	b := newBed(folder, 1)
	g := b.group
	stop := make(chan struct{})
	var work sync.WaitGroup
	for i := range 3 {
		work.Go(func() { b.writer(fmt.Sprintf("w%d", i), b.nodes[i], false, stop) })
	}
	time.Sleep(1500 * time.Millisecond)
	close(stop)
	work.Wait()
	time.Sleep(500 * time.Millisecond)
	if b.trouble {
		g.deafen(g.replicaNear(b.owner()))
	}
	time.Sleep(time.Second)
	for i := range 4 {
		work.Go(func() {
			b.slowTransaction(fmt.Sprintf("t%d", i), b.nodes[i%3], time.Duration(600+150*i)*time.Millisecond)
		})
	}
	time.Sleep(200 * time.Millisecond)
	g.leave(0)
	work.Wait()
	time.Sleep(3 * time.Second)
	missing := b.checkAcknowledged()
	return b, len(missing) > 0
}

// slowTransaction writes, reads at intervals, and commits after the given time.
func (b *bed) slowTransaction(name string, n *node, length time.Duration) {
	c := b.dial(n, name, "orders")
	defer func() { _ = c.conn.Close() }()
	c.next()
	c.do("BEGIN")
	if a, _ := c.do("WRITE " + name + " v1"); !a.OK() {
		return
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(120 * time.Millisecond)
		if a, _ := c.do("READ " + name); !a.OK() {
			return
		}
	}
	if a, id := c.do("COMMIT"); a.OK() {
		b.acknowledged(id)
	}
}
