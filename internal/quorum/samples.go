package quorum

import (
	"time"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// maxSamples bounds the samples kept. With sampleSpacing they reach back about 25 s; for a replica that lags further
// behind, FreshAsOf stops advancing and the age grows.
const maxSamples = 512

// sampleSpacing is the minimum interval between two samples, except that the latest sample is always kept. It bounds the
// error of a lagging replica's age.
const sampleSpacing = 50 * time.Millisecond

// sample is the primary's log end in a round. A member that has applied end holds all data as of sent.
type sample struct {
	sent time.Time
	end  position.Position
}

// samples is a ring buffer of samples in ascending order of send time, numbered from 0.
type samples struct {
	ring [maxSamples]sample
	// next is the number of the next sample.
	next uint64
}

func (s *samples) at(n uint64) *sample { return &s.ring[n%maxSamples] }

// first returns the number of the oldest sample kept.
func (s *samples) first() uint64 {
	if s.next <= maxSamples {
		return 0
	}
	return s.next - maxSamples
}

// add records a sample if it is newer than all others, and reports whether it did. The caller must then advance every
// member.
func (s *samples) add(members []member, sent time.Time, end position.Position) bool {
	if s.next > 0 && !sent.After(s.at(s.next-1).sent) {
		return false
	}
	if s.replacesLatest(end) {
		s.dropLatest(members)
	}
	*s.at(s.next) = sample{sent: sent, end: end}
	s.next++
	return true
}

// replacesLatest reports whether a new sample makes the latest one redundant: both have the same log end, or the latest
// was taken less than sampleSpacing after its predecessor.
func (s *samples) replacesLatest(end position.Position) bool {
	if s.next == 0 {
		return false
	}
	latest := s.at(s.next - 1)
	if latest.end == end {
		return true
	}
	if s.next-s.first() < 2 {
		return false
	}
	return latest.sent.Sub(s.at(s.next-2).sent) < sampleSpacing
}

func (s *samples) dropLatest(members []member) {
	s.next--
	for i := range members {
		members[i].nextSample = min(members[i].nextSample, s.next)
	}
}

// advance updates the member's progress through the samples that it has applied.
func (s *samples) advance(m *member) {
	if m.status == nil {
		return
	}
	m.nextSample = max(m.nextSample, s.first())
	for m.nextSample < s.next {
		next := s.at(m.nextSample)
		if !contains(m.status, next.end) {
			return
		}
		if next.sent.After(m.freshAsOf) {
			m.freshAsOf = next.sent
		}
		m.nextSample++
	}
}

// resetProgress resets the member's progress after its applied position went back, for example in a restart.
func (s *samples) resetProgress(m *member) {
	m.freshAsOf = time.Time{}
	m.nextSample = s.first()
}

// contains reports whether the member has applied p or, if p lies beyond the start of the next term, the log up to that
// start: records beyond it were never acknowledged. The fast path for p in the member's last term avoids searching the
// history.
func contains(s *upstream.MemberStatus, p position.Position) bool {
	if s.History.LastTerm() == p.Term {
		return s.Applied >= p.LSN
	}
	clamped, _ := s.History.Clamp(p)
	return s.History.Contains(s.Applied, clamped)
}
