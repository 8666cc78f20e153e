// Package speed finds out whether the machine has become slow, from the time that a fixed piece of work takes. It has no
// goroutines or clock reads.
package speed

import "slices"

const (
	// window is the number of samples whose median is the present speed, so that single delays do not count.
	window = 5
	// history is the number of samples whose median is the usual speed.
	history = 50
	// minHistory is the number of samples before any verdict.
	minHistory = 20
	// slowFactor is the slowdown from which a machine counts as slow, and fairFactor that below which it no longer does.
	slowFactor = 3
	fairFactor = 2
	// leastShare is the part of the usual time below which a sample is no measurement: the clock was set back.
	leastShare = 0.25
)

// Meter compares the present speed with the usual one. It is not safe for concurrent use.
type Meter struct {
	present []float64
	past    []float64
	usual   float64
	slow    bool
}

// Add records how long the work took, in any unit.
func (m *Meter) Add(took float64) {
	if took <= 0 || took < m.usual*leastShare {
		return
	}
	m.present = keep(m.present, took, window)
	if len(m.present) < window {
		return
	}
	now := median(m.present)
	switch {
	case len(m.past) < minHistory:
	case now >= slowFactor*m.usual:
		m.slow = true
	case now < fairFactor*m.usual:
		m.slow = false
	}
	if !m.slow {
		// A slow time does not become the usual one.
		m.past = keep(m.past, now, history)
		m.usual = median(m.past)
	}
}

// Slowdown returns how many times longer than usual the work takes; 1 while nothing is known.
func (m *Meter) Slowdown() float64 {
	if m.usual == 0 {
		return 1
	}
	return max(1, median(m.present)/m.usual)
}

// Slow reports whether the machine is so slow that others should do its work.
func (m *Meter) Slow() bool { return m.slow }

// keep appends a value and drops the oldest beyond the limit.
func keep(list []float64, v float64, limit int) []float64 {
	list = append(list, v)
	return list[max(0, len(list)-limit):]
}

func median(list []float64) float64 {
	return slices.Sorted(slices.Values(list))[len(list)/2]
}
