// Package eventlog writes log lines without ever blocking those who log. The volume is bounded for each class of line by
// itself, so that routine lines do not displace those of failures, and what was left out is said.
package eventlog

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Limit bounds a class of lines.
type Limit struct {
	// PerSecond is the sustained number of lines a second, Burst the number that may come at once.
	PerSecond float64
	Burst     float64
}

// Limits of the classes.
var (
	// RoutineLimit is for lines at level Info and below.
	RoutineLimit = Limit{PerSecond: 150, Burst: 600}
	// FailureLimit is for lines at level Warn and above.
	FailureLimit = Limit{PerSecond: 300, Burst: 1500}
)

const (
	// queueLines bounds the lines that wait for the output, maxLineBytes the length of each.
	queueLines   = 4096
	maxLineBytes = 8 << 10
	// reportGap is the time between two lines that say how much was left out.
	reportGap = time.Second
)

// Log takes lines from many goroutines and writes them from one.
type Log struct {
	out   io.Writer
	queue chan []byte
	done  chan struct{}
	once  sync.Once
	now   func() time.Time

	routine, failures *class
}

// class counts the lines of one class.
type class struct {
	name  string
	limit Limit
	log   *Log

	mu       sync.Mutex
	tokens   float64
	at       time.Time
	dropped  int
	reported time.Time
}

// New returns a log that writes to out until Close.
func New(out io.Writer) *Log { return newLog(out, time.Now) }

func newLog(out io.Writer, now func() time.Time) *Log {
	l := &Log{out: out, queue: make(chan []byte, queueLines), done: make(chan struct{}), now: now}
	l.routine = &class{name: "routine", limit: RoutineLimit, log: l, tokens: RoutineLimit.Burst, at: now()}
	l.failures = &class{name: "failures", limit: FailureLimit, log: l, tokens: FailureLimit.Burst, at: now()}
	go l.write()
	return l
}

// Writer returns a writer for hclog that sorts lines by their level.
func (l *Log) Writer() io.Writer {
	return hclog.NewLeveledWriter(l.routine, map[hclog.Level]io.Writer{hclog.Warn: l.failures, hclog.Error: l.failures})
}

// Close writes what waits and ends the log.
func (l *Log) Close() {
	l.once.Do(func() {
		l.queue <- nil
		<-l.done
	})
}

func (l *Log) write() {
	defer close(l.done)
	for line := range l.queue {
		if line == nil {
			return
		}
		// There is nowhere to report that the log itself cannot be written.
		_, _ = l.out.Write(line)
	}
}

// Write implements io.Writer. It never fails: a line beyond the limit is counted and left out.
func (c *class) Write(line []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.log.now()
	c.tokens = min(c.limit.Burst, c.tokens+now.Sub(c.at).Seconds()*c.limit.PerSecond)
	c.at = now
	if c.tokens < 1 || !c.enqueue(shorten(line)) {
		c.dropped++
		return len(line), nil
	}
	c.tokens--
	if c.dropped > 0 && now.Sub(c.reported) >= reportGap {
		text := fmt.Appendf(nil, "%s [WARN]  celerystep.log: lines left out: class=%s lines=%d\n",
			now.UTC().Format("2006-01-02T15:04:05.000Z"), c.name, c.dropped)
		if c.enqueue(text) {
			c.dropped, c.reported = 0, now
		}
	}
	return len(line), nil
}

// shorten returns a copy of the line, cut to maxLineBytes.
func shorten(line []byte) []byte {
	if len(line) <= maxLineBytes {
		return append([]byte(nil), line...)
	}
	cut := append([]byte(nil), line[:maxLineBytes]...)
	return fmt.Appendf(cut, "... (%d bytes left out)\n", len(line)-maxLineBytes)
}

func (c *class) enqueue(line []byte) bool {
	select {
	case c.log.queue <- line:
		return true
	default:
		return false
	}
}
