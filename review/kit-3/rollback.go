package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { scenarios["rollback"] = rollback }

// rollback: a member refuses a part of the requests while consumers roll transactions back and others write.
func rollback(folder string) (*bed, bool) {
	b := newBed(folder, 0)
	stop := make(chan struct{})
	var work sync.WaitGroup
	for i := range 6 {
		work.Go(func() { b.writer(fmt.Sprintf("w%d", i), b.nodes[i%3], i%2 == 0, stop) })
	}
	time.Sleep(time.Second)
	if b.trouble {
		b.group.misbehave(0, share(0.44, "BUSY"))
	}
	time.Sleep(6500 * time.Millisecond)
	b.group.misbehave(0, nil)
	time.Sleep(4 * time.Second)
	close(stop)
	work.Wait()
	time.Sleep(3 * time.Second)
	missing := b.checkAcknowledged()
	return b, len(missing) > 0 || len(b.group.findings) > 0
}

// writer runs operations until stop is closed: transactions, half of which it rolls back, or single writes.
func (b *bed) writer(name string, n *node, transactions bool, stop chan struct{}) {
	r := rand.New(rand.NewPCG(7, uint64(len(name))+uint64(name[1])))
	c := b.dial(n, name, "orders")
	defer func() { _ = c.conn.Close() }()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(10+r.IntN(30)) * time.Millisecond):
		}
		c.next()
		if !transactions {
			if a, id := c.do(fmt.Sprintf("WRITE %s v%d", name, c.tries)); a.OK() {
				b.acknowledged(id)
			}
			continue
		}
		if a, _ := c.do("BEGIN"); !a.OK() {
			continue
		}
		a, _ := c.do(fmt.Sprintf("WRITE %s v%d", name, c.tries))
		if a.OK() && r.IntN(2) == 0 {
			if a, id := c.do("COMMIT"); a.OK() {
				b.acknowledged(id)
			}
			continue
		}
		c.do("ROLLBACK")
	}
}
