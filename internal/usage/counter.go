package usage

import (
	"maps"
	"sync"
	"time"
)

// maxCounterWindows bounds the windows that a counter keeps while no holder confirms that they are fixed.
const maxCounterWindows = 60

// Counter keeps the cumulative counts of one process by window. It is safe for concurrent use.
type Counter struct {
	settings Settings

	mu sync.Mutex
	// sequence is the number of changes so far.
	sequence uint64
	windows  map[WindowID]map[string]tally
	// pending is the number of statements in flight by the time of their arrival, in multiples of pendingResolution.
	pending map[int64]int
}

// pendingResolution is the resolution of the arrival times of statements in flight.
const pendingResolution = 100 * time.Millisecond

// tally is the count of one customer in one window.
type tally struct {
	operations uint64
	// changed is the counter's sequence after the last change.
	changed uint64
}

// NewCounter returns a counter without counts.
func NewCounter(s Settings) *Counter {
	return &Counter{settings: s, windows: make(map[WindowID]map[string]tally), pending: make(map[int64]int)}
}

// Began counts n operations of the customer that members began to run at the given true time.
func (c *Counter) Began(customer string, n uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	id := c.settings.At(at)
	w := c.windows[id]
	if w == nil {
		w = make(map[string]tally)
		c.windows[id] = w
		c.forgetBefore(id)
	}
	w[customer] = tally{w[customer].operations + n, c.sequence}
}

// forgetBefore drops the windows that are too old to be kept beside the given one.
func (c *Counter) forgetBefore(newest WindowID) {
	maps.DeleteFunc(c.windows, func(id WindowID, _ map[string]tally) bool { return id+maxCounterWindows <= newest })
}

// Since returns the counts that changed after the sequence number, and the present one. 0 returns all counts.
func (c *Counter) Since(sequence uint64) ([]Window, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Window
	for id, w := range c.windows {
		counts := make(Counts)
		for customer, t := range w {
			if t.changed > sequence {
				counts[customer] = t.operations
			}
		}
		if len(counts) > 0 {
			list = append(list, Window{id, counts})
		}
	}
	return list, c.sequence
}

// Arrived records that a statement is in flight since the given time on the boot clock.
func (c *Counter) Arrived(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[at.UnixNano()/int64(pendingResolution)]++
}

// Answered records the end of a statement that Arrived has recorded. It is called after Began.
func (c *Counter) Answered(arrived time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	slot := arrived.UnixNano() / int64(pendingResolution)
	if c.pending[slot]--; c.pending[slot] <= 0 {
		delete(c.pending, slot)
	}
}

// Through returns the time on the boot clock up to which the counts are complete: statements that arrived earlier are not in flight.
func (c *Counter) Through(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	for slot := range c.pending {
		if at := time.Unix(0, slot*int64(pendingResolution)); at.Before(now) {
			now = at
		}
	}
	return now
}

// Forget drops the windows up to id, whose counts are fixed.
func (c *Counter) Forget(id WindowID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.windows, func(w WindowID, _ map[string]tally) bool { return w <= id })
}

// Shift moves all counts after the clock was found to be wrong by d.
func (c *Counter) Shift(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	moved := make(map[WindowID]map[string]tally, len(c.windows))
	for id, w := range c.windows {
		middle := c.settings.End(id).Add(d - c.settings.Window/2)
		to := c.settings.At(middle)
		if moved[to] == nil {
			moved[to] = make(map[string]tally)
		}
		for customer, t := range w {
			moved[to][customer] = tally{moved[to][customer].operations + t.operations, c.sequence}
		}
	}
	c.windows = moved
}
