package group

import (
	"sync"
	"sync/atomic"
)

// broadcast wakes all goroutines that wait for a change.
type broadcast struct {
	mu sync.Mutex
	c  chan struct{}
}

// wait returns a channel that the next send closes. A caller takes it before it looks at the state it waits for.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.c == nil {
		b.c = make(chan struct{})
	}
	return b.c
}

func (b *broadcast) send() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.c != nil {
		close(b.c)
		b.c = nil
	}
}

// gate stops goroutines while it is shut.
type gate struct{ c atomic.Pointer[chan struct{}] }

func (g *gate) shut() {
	c := make(chan struct{})
	g.c.CompareAndSwap(nil, &c)
}

func (g *gate) open() {
	if c := g.c.Swap(nil); c != nil {
		close(*c)
	}
}

func (g *gate) isShut() bool { return g.c.Load() != nil }

// pass waits until the gate is open and returns false when done closes first.
func (g *gate) pass(done <-chan struct{}) bool {
	for {
		c := g.c.Load()
		if c == nil {
			return true
		}
		select {
		case <-*c:
		case <-done:
			return false
		}
	}
}
