// Package freshness derives, from the log positions that a primary reports, the position that a read must include. Unlike
// package quorum, it uses only the answers of the primary. It has no goroutines, sockets or clock reads.
//
// Every answer of the primary carries its log position. A position that first appears in an answer may have been
// committed and acknowledged, by any client, at any time since the latest earlier request was sent; it gets that time.
package freshness

import (
	"time"

	"github.com/celerystep/celerystep/internal/position"
)

// maxSamples bounds the history. When it is full, its older half is merged into one sample.
const maxSamples = 512

// sample is a log position p and the earliest time at which the log may have reached it.
type sample struct {
	p     position.Position
	since time.Time
}

// History is the history of a primary's positions. It is not safe for concurrent use.
type History struct {
	samples []sample
	// lastSent is when the newest observed request was sent.
	lastSent  time.Time
	termStart position.Position
}

// Observe records that a request sent to the primary at the given time was answered with the log at p.
func (l *History) Observe(p position.Position, sent time.Time) {
	if p.IsZero() || p.Term < l.termStart.Term {
		return
	}
	if p.Term > l.termStart.Term {
		l.startTerm(p)
	}
	if n := len(l.samples); n == 0 || l.samples[n-1].p.Less(p) {
		l.append(sample{p: p, since: l.lastSent})
	}
	if sent.After(l.lastSent) {
		l.lastSent = sent
	}
}

// startTerm starts the history of a new term. The position in its first answer counts as reached from the start of the
// term.
func (l *History) startTerm(p position.Position) {
	l.termStart = p
	l.samples = l.samples[:0]
	l.lastSent = time.Time{}
}

func (l *History) append(s sample) {
	if len(l.samples) == maxSamples {
		// The merged sample keeps the latest position and the earliest time, so that a floor is never too low.
		half := maxSamples / 2
		l.samples[half-1].since = l.samples[0].since
		l.samples = append(l.samples[:0], l.samples[half-1:]...)
	}
	l.samples = append(l.samples, s)
}

// Term returns the highest term observed.
func (l *History) Term() position.Term { return l.termStart.Term }

// Latest returns the newest known position.
func (l *History) Latest() position.Position {
	if len(l.samples) == 0 {
		return position.Position{}
	}
	return l.samples[len(l.samples)-1].p
}

// Known returns the newest position and a time: every commit that was acknowledged before that time is at or below the
// position. Observed by another History, the pair keeps its floors valid.
func (l *History) Known() (position.Position, time.Time) { return l.Latest(), l.lastSent }

// FloorAt returns a position that covers every commit acknowledged before t. It returns false if no request sent to the
// primary at or after t has been answered yet; then only the primary itself is certain to cover them.
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

// FirstKnownAt returns the earliest time at which the log may have reached the position, which gives an upper bound of
// its age. Positions of earlier terms have the zero time.
func (l *History) FirstKnownAt(p position.Position) time.Time {
	for _, s := range l.samples {
		if !s.p.Less(p) {
			return s.since
		}
	}
	return l.lastSent
}

// Clamp translates a position of an earlier term into the current one. Records that survived the promotion are part of
// the log at the start of the term, and reads need not include those that did not.
func (l *History) Clamp(p position.Position) position.Position {
	if p.Term < l.termStart.Term && !p.IsZero() {
		return l.termStart
	}
	return p
}
