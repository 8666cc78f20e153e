package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { scenarios["setup"] = setup }

// setup: a member fails a part of the requests while consumers with different session values share its connections.
func setup(folder string) (*bed, bool) {
	b := newBed(folder, 0)
	stop := make(chan struct{})
	var work sync.WaitGroup
	for i := range 6 {
		work.Go(func() { b.valued(fmt.Sprintf("v%d", i), b.nodes[i%3], i, stop) })
	}
	time.Sleep(time.Second)
	if b.trouble {
		b.group.misbehave(0, share(0.44, "FAILED"))
	}
	time.Sleep(6500 * time.Millisecond)
	b.group.misbehave(0, nil)
	time.Sleep(2 * time.Second)
	close(stop)
	work.Wait()
	return b, len(b.group.findings) > 0
}

// valued writes and reads until stop is closed, in sessions with values of its own. Each third consumer sets none.
func (b *bed) valued(name string, n *node, i int, stop chan struct{}) {
	r := rand.New(rand.NewPCG(11, uint64(i)))
	for {
		c := b.dial(n, name, "orders")
		c.tries = b.sessions(name)
		c.next()
		for k := range i % 3 {
			c.set(fmt.Sprintf("k%d", k), name)
		}
		for range 20 {
			select {
			case <-stop:
				_ = c.conn.Close()
				return
			case <-time.After(time.Duration(5+r.IntN(20)) * time.Millisecond):
			}
			c.next()
			if r.IntN(2) == 0 {
				c.do(fmt.Sprintf("WRITE %s v%d", name, c.tries))
			} else {
				c.do("READ " + name)
			}
		}
		_ = c.conn.Close()
	}
}
