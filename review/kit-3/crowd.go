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

func init() { scenarios["crowd"] = crowd }

const (
	// memoryLimit is the memory of a machine. The platform kills a process that exceeds it, and starts it again after restartDelay.
	memoryLimit  = 284 << 20
	restartDelay = 500 * time.Millisecond
	// crowdSize is the number of sessions at an instance, longText the length of the text that they read. A message is at most 1 MiB.
	crowdSize = 1500
	longText  = 1_000_000
	// pressTime bounds the time for which a crowd reads at an instance.
	pressTime = 46 * time.Second
)

// crowd: many sessions read a long text at once, at one of the instances that do not own the group, and then at the other.
func crowd(folder string) (*bed, bool) {
	work = time.Millisecond
	b := newBed(folder, 0)
	owner := b.owner()
	length := longText
	if !b.trouble {
		length = 100
	}
	c := b.dial(owner, "w0", "orders")
	c.quiet = true
	c.next()
	if a, _ := c.do("WRITE long " + strings.Repeat("x", length)); !a.OK() {
		panic(cannotRun{fmt.Errorf("the text could not be written: %s", a.Code)})
	}
	_ = c.conn.Close()
	often := 0
	for _, n := range b.nodes {
		if n != owner && b.press(n) >= 3 {
			often++
		}
	}
	return b, often >= 2
}

// press lets a crowd read at the instance until its process was killed three times, at most for pressTime. It returns the number of kills.
func (b *bed) press(n *node) int {
	stop := make(chan struct{})
	var work sync.WaitGroup
	var answered, refused, broken atomic.Int64
	for i := range crowdSize {
		work.Go(func() {
			for b.readLong(fmt.Sprintf("r%d", i), n, stop, &answered, &refused, &broken) {
			}
		})
	}
	kills, most := 0, 0
	var downUntil time.Time
	for end := time.Now().Add(pressTime); time.Now().Before(end) && kills < 3; time.Sleep(20 * time.Millisecond) {
		b.watch(n, &kills, &most, &downUntil)
	}
	close(stop)
	work.Wait()
	b.record("%s: %d kills, most bytes held %d; reads answered %d, refused %d, cut %d", n.name, kills, most, answered.Load(), refused.Load(), broken.Load())
	return kills
}

// watch kills the process if it holds too much memory, and starts it again later.
func (b *bed) watch(n *node, kills, most *int, downUntil *time.Time) {
	if !downUntil.IsZero() {
		if time.Now().After(*downUntil) {
			*downUntil = time.Time{}
			n.restart()
		}
		return
	}
	size := n.residentBytes()
	*most = max(*most, size)
	if size > memoryLimit {
		b.record("%s holds %d MB of %d: the platform kills it", n.name, size>>20, memoryLimit>>20)
		*kills++
		_ = n.cmd.Process.Kill()
		*downUntil = time.Now().Add(restartDelay)
	}
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

// readLong opens a session and reads the long text again and again until the session ends. It returns false when stop is closed.
func (b *bed) readLong(name string, n *node, stop chan struct{}, answered, refused, broken *atomic.Int64) bool {
	select {
	case <-stop:
		return false
	case <-time.After(50 * time.Millisecond):
	}
	c, err := b.connect(n, name, "views", "key-mill")
	if err != nil {
		return true
	}
	defer func() { _ = c.conn.Close() }()
	for number := 1; ; number++ {
		select {
		case <-stop:
			return false
		default:
		}
		_ = c.conn.SetDeadline(time.Now().Add(answerLimit))
		id := fmt.Sprintf("%s-%d", name, number)
		b.mu.Lock()
		b.held[id] = nil
		b.mu.Unlock()
		_, _ = fmt.Fprintf(c.conn, "QUERY %s READ long\r\n", id)
		code, cut := c.skipAnswer()
		b.record("%s sent %s: code %q, cut %t", name, id, code, cut)
		switch {
		case cut:
			broken.Add(1)
			return true
		case code == "":
			answered.Add(1)
		default:
			refused.Add(1)
			time.Sleep(300 * time.Millisecond)
		}
	}
}

// skipAnswer reads an answer without keeping its rows. It returns the code of a refusal, and whether the connection ended before the answer did.
func (c *consumer) skipAnswer() (code string, cut bool) {
	for {
		line, err := c.r.ReadSlice('\n')
		switch {
		case err != nil && len(line) < c.r.Size():
			return code, true
		case err != nil:
			continue // a part of a long line
		case strings.HasPrefix(string(line[:min(len(line), 8)]), "ERROR"):
			code = strings.TrimSpace(strings.TrimPrefix(string(line), "ERROR"))
		case strings.HasPrefix(string(line[:min(len(line), 8)]), "READY"):
			return code, false
		}
	}
}
