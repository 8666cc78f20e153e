package platform

import (
	"sync"
	"time"
)

// Clock gives the server its time, so that tests decide when leases lapse and delays end.
type Clock interface {
	// Now returns the present time.
	Now() time.Time
	// After returns a channel that receives once d has passed.
	After(d time.Duration) <-chan time.Time
}

type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// ManualClock is a Clock that moves only when told to.
type ManualClock struct {
	mu     sync.Mutex
	now    time.Time
	timers []manualTimer
}

type manualTimer struct {
	due time.Time
	c   chan time.Time
}

// NewManualClock returns a clock that stands at the given time.
func NewManualClock(now time.Time) *ManualClock { return &ManualClock{now: now} }

// Now returns the time that the clock stands at.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// After returns a channel that receives when the clock has been advanced by d.
func (c *ManualClock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := manualTimer{due: c.now.Add(d), c: make(chan time.Time, 1)}
	c.timers = append(c.timers, t)
	c.fireLocked()
	return t.c
}

// Advance moves the clock forward and fires the timers that are due.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	c.fireLocked()
}

func (c *ManualClock) fireLocked() {
	var waiting []manualTimer
	for _, t := range c.timers {
		if t.due.After(c.now) {
			waiting = append(waiting, t)
			continue
		}
		t.c <- c.now
	}
	c.timers = waiting
}
