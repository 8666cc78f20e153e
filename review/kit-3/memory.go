package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["memory"] = memory }

const (
	// memoryLimit is the memory of a machine. The platform kills a process that exceeds it.
	memoryLimit = 284 << 20
	// shapeBytes is the length of a statement that a client prepares; its message is within the limit of 1 MiB.
	shapeBytes = 1_000_000
	// restartDelay is the time after which the platform starts an ended process again.
	restartDelay = 500 * time.Millisecond
)

// memory: clients that misbehave prepare long statements, each in a session of its own, and execute them once.
func memory(folder string) (*bed, bool) {
	b := newBed(folder, 0)
	stop := make(chan struct{})
	var work sync.WaitGroup
	for i := range 3 {
		work.Go(func() { b.reader(fmt.Sprintf("s%d", i), b.nodes[i], "key-mill", stop, func(string, time.Time) {}) })
	}
	if b.trouble {
		for i := range 2 {
			work.Go(func() { b.hostile(fmt.Sprintf("h%d", i), b.nodes[i], stop) })
		}
	}
	kills := make([]int, len(b.nodes))
	downUntil := make([]time.Time, len(b.nodes))
	most := make([]int, len(b.nodes))
	broken := false
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && !broken; time.Sleep(20 * time.Millisecond) {
		often := 0
		for i, n := range b.nodes {
			if !downUntil[i].IsZero() {
				if time.Now().After(downUntil[i]) {
					downUntil[i] = time.Time{}
					n.restart()
				}
				continue
			}
			size := n.residentBytes()
			most[i] = max(most[i], size)
			if size > memoryLimit {
				b.record("%s holds %d MB of %d: the platform kills it", n.name, size>>20, memoryLimit>>20)
				kills[i]++
				_ = n.cmd.Process.Kill()
				downUntil[i] = time.Now().Add(restartDelay)
			}
			if kills[i] >= 3 {
				often++
			}
		}
		broken = often >= 2
	}
	close(stop)
	work.Wait()
	b.record("kills %v, most bytes held %v, statements of misbehaving clients %d", kills, most, prepared.Load())
	return b, broken
}

// residentBytes returns the memory of the process.
func (n *node) residentBytes() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.Atoi(strings.Fields(string(raw))[1])
	return pages * syscall.Getpagesize()
}

var prepared atomic.Int64

func (b *bed) hostile(name string, n *node, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		c, err := b.connect(n, name, "orders", "key-mill")
		if err != nil {
			continue
		}
		c.tries = b.sessions(name)
		c.quiet = true
		shape := fmt.Sprintf("q%d", prepared.Add(1))
		if a, _ := c.do("PREPARE s READ " + shape + strings.Repeat("x", shapeBytes-len(shape))); a.OK() {
			c.do("EXECUTE s x")
		}
		_ = c.conn.Close()
	}
}
