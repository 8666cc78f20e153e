package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["returned"] = returned }

// returned: a key is withdrawn; later the store is away for a moment, all processes are killed meanwhile, and the store comes back from a copy.
func returned(folder string) (*bed, bool) {
	b := newBed(folder, 0)
	stop := make(chan struct{})
	var work sync.WaitGroup
	var mu sync.Mutex
	var reads []served
	guestServed := func(id string, sent time.Time) {
		mu.Lock()
		defer mu.Unlock()
		reads = append(reads, served{id, sent})
	}
	for i := range 3 {
		work.Go(func() { b.reader(fmt.Sprintf("g%d", i), b.nodes[i], "key-guest", stop, guestServed) })
		work.Go(func() { b.reader(fmt.Sprintf("s%d", i), b.nodes[i], "key-mill", stop, func(string, time.Time) {}) })
	}
	time.Sleep(500 * time.Millisecond)
	backup := b.store.TakeCopy()
	time.Sleep(500 * time.Millisecond)
	b.configure(2, 0, "key-other")
	acked := time.Now()
	b.record("the key of guest is withdrawn")
	time.Sleep(4 * time.Second)
	writeAgain := func() {}
	b.store.Down.Store(true)
	b.record("the store is away")
	time.Sleep(500 * time.Millisecond)
	for _, n := range b.nodes {
		n.restart()
	}
	time.Sleep(500 * time.Millisecond)
	if b.trouble {
		writeAgain = b.store.ReturnFromCopy(backup)
	}
	b.store.Down.Store(false)
	b.record("the store is back")
	time.Sleep(2 * time.Second)
	writeAgain()
	b.record("operators and members have written again")
	time.Sleep(5 * time.Second)
	close(stop)
	work.Wait()
	broken := false
	for _, s := range reads {
		if late := s.sent.Sub(acked); late > 5*time.Second {
			broken = true
			b.record("CONFIG %s was sent %v after the key was withdrawn, and was served", s.id, late)
		}
	}
	return b, broken
}

// served is a read with the withdrawn key that succeeded.
type served struct {
	id   string
	sent time.Time
}
