// Package freshness derives, from the log positions that a primary reports, the position that a read must see. It has no
// goroutines, sockets or clock reads.
//
// Every answer of the primary carries its log position. A position that first shows in an answer may have been committed
// and acknowledged, by whomever, at any time since the previous answer's request was sent; it is dated with that time.
package freshness

import (
	"time"

	"github.com/celerystep/celerystep/internal/position"
)

// maxSamples bounds the history. Positions beyond it merge into the oldest one.
const maxSamples = 512

// sample says that the log held position p at the latest, and at the earliest at since.
type sample struct {
	p     position.Position
	since time.Time
}

// Log is the history of a primary's positions. It is not safe for concurrent use.
type History struct {
	samples []sample
	// lastSent is when the newest observed request was sent.
	lastSent time.Time
	epoch    position.Position
}

// Observe records that a request sent to the primary at the given time was answered with the log at p.
func (l *History) Observe(p position.Position, sent time.Time) {
	if p.IsZero() || p.Term < l.epoch.Term {
		return
	}
	if p.Term > l.epoch.Term {
		l.begin(p)
	}
	if n := len(l.samples); n == 0 || l.samples[n-1].p.Less(p) {
		l.append(sample{p: p, since: l.lastSent})
	}
	if sent.After(l.lastSent) {
		l.lastSent = sent
	}
}

// begin starts the history of a new term: what the log held at its first answer holds from the start of the term.
func (l *History) begin(p position.Position) {
	l.epoch = p
	l.samples = l.samples[:0]
	l.lastSent = time.Time{}
}

func (l *History) append(s sample) {
	if len(l.samples) == maxSamples {
		// The merged sample keeps the later position and the earlier date, so that a floor is never too low.
		half := maxSamples / 2
		l.samples[half-1].since = l.samples[0].since
		l.samples = append(l.samples[:0], l.samples[half-1:]...)
	}
	l.samples = append(l.samples, s)
}

// Term returns the term of the primary that was observed last.
func (l *History) Term() position.Term { return l.epoch.Term }

// Latest returns the newest known position.
func (l *History) Latest() position.Position {
	if len(l.samples) == 0 {
		return position.Position{}
	}
	return l.samples[len(l.samples)-1].p
}

// FloorAt returns a position that covers every commit acknowledged before t. It returns false when no request that was
// sent to the primary after t has been answered yet: then only the primary itself is sure to cover them.
func (l *History) FloorAt(t time.Time) (position.Position, bool) {
	if len(l.samples) == 0 || l.lastSent.Before(t) {
		return position.Position{}, false
	}
	for i := len(l.samples) - 1; i >= 0; i-- {
		if l.samples[i].since.Before(t) {
			return l.samples[i].p, true
		}
	}
	return l.samples[0].p, true
}

// Known returns when a position was first known to be in the log, as an upper bound of its age. Positions of earlier terms
// have the zero time.
func (l *History) FirstKnownAt(p position.Position) time.Time {
	for _, s := range l.samples {
		if !s.p.Less(p) {
			return s.since
		}
	}
	return l.lastSent
}

// Clamp translates a position of an earlier term into the present one: what survived the change of primary is part of the
// log at the start of the term, and what did not survive is no longer owed.
func (l *History) Clamp(p position.Position) position.Position {
	if p.Term < l.epoch.Term && !p.IsZero() {
		return l.epoch
	}
	return p
}
