// Package usage counts how many operations of each customer members begin to run, and reports the counts of the whole fleet once for
// each window of time. Counter keeps the counts of one process, Ledger those of the fleet, and Clock the time by which windows are
// numbered; they start no goroutines, open no sockets and read no clock. Reporter connects them with the store, the other instances
// and the service that takes the reports.
package usage

import (
	"time"

	"github.com/celerystep/celerystep/internal/instance"
)

// WindowID is the number of a window: the time since the Unix epoch divided by the length of a window.
type WindowID uint64

// Counts holds numbers of operations by customer.
type Counts map[string]uint64

// Window holds counts of one window.
type Window struct {
	ID     WindowID
	Counts Counts
}

// Total returns the number of operations of all customers.
func (w Window) Total() uint64 {
	var n uint64
	for _, v := range w.Counts {
		n += v
	}
	return n
}

// Source is a process that counts operations.
type Source struct {
	Instance instance.ID
	Process  string
}

// Delivery holds counts that a process sends to the holder of the duty to report.
type Delivery struct {
	From Source
	// At is the sender's time, Through the time up to which its counts are complete.
	At, Through time.Time
	// Ledger identifies the ledger that has accepted all counts which the windows leave out; empty if they leave out nothing.
	Ledger  string
	Windows []Window
}

// Receipt is the answer to a Delivery.
type Receipt struct {
	// NotHolder is true if the receiver does not hold the duty, or not yet; it has kept nothing.
	NotHolder bool
	// Ledger identifies the ledger that has accepted the counts; empty if they were not accepted.
	Ledger string
	// FixedThrough is the last window whose counts are fixed.
	FixedThrough WindowID
	// Shift is what the sender must add to its clock to agree with the fleet.
	Shift time.Duration
	// Interval is the time until the sender's next delivery.
	Interval time.Duration
}

// Settings are the terms of the duty.
type Settings struct {
	// Window is the length of a window.
	Window time.Duration
	// Late is the time after the end of a window when its report is due.
	Late time.Duration
	// Lease is the time within which two holders must not act in turns.
	Lease time.Duration
}

// At returns the window that the time belongs to.
func (s Settings) At(t time.Time) WindowID {
	return WindowID(max(0, t.UnixNano()) / int64(s.Window))
}

// End returns the end of a window.
func (s Settings) End(id WindowID) time.Time {
	return time.Unix(0, int64(id+1)*int64(s.Window))
}

const (
	// settlePercent and patiencePercent are the times after the end of a window, as a percentage of Settings.Late, when its counts
	// are fixed at the earliest, and when they are fixed although a known process has not delivered all of its counts. What
	// remains is for retries of the report.
	settlePercent   = 30
	patiencePercent = 70
	// minInterval is the shortest time between two deliveries of a process.
	minInterval = time.Second
	// intervalPerSource limits the holder's processor time, which is about 50 microseconds for a delivery, to 1% of a core.
	intervalPerSource = 5 * time.Millisecond
	// settleMargin is the time for a delivery to arrive, in addition to the interval.
	settleMargin = time.Second
)

// interval returns the time between two deliveries of each of the given number of processes.
func (s Settings) interval(sources int) time.Duration {
	limit := max(minInterval, s.Late/100*patiencePercent-settleMargin)
	return min(max(minInterval, time.Duration(sources)*intervalPerSource), limit)
}

// settle returns the time after the end of a window when its counts are fixed at the earliest.
func (s Settings) settle(sources int) time.Duration {
	return max(s.Late/100*settlePercent, s.interval(sources)+settleMargin)
}
