package quota

import (
	"time"

	"github.com/celerystep/celerystep/internal/ownership"
)

const (
	// unleasedShare is the part of its share that an owner may spend once its lease has ended and another process may own the group. The
	// successor leaves that part to it.
	unleasedShare = 0.5
	// leasedPredecessorShare is the part that a successor spends while its predecessor may hold a valid lease and spend everything: it was
	// taken for dead because it refused connections.
	leasedPredecessorShare = 1.0 / 3
)

// Predecessor is an earlier owner of a group that may not have noticed its replacement.
type Predecessor struct {
	Process ownership.Process
	// LeaseEnd is the time by which the predecessor's lease has ended.
	LeaseEnd time.Time
}

// Succession decides which part of the customers' contracts an owner may spend, so that the parts of all processes that may act
// as owner of one group add up to the contract. It is not safe for concurrent use.
type Succession struct {
	period       time.Duration
	predecessors []Predecessor
}

// NewSuccession returns the succession of an owner. Period is how long after the end of its lease an owner may spend; it is the
// same at all instances.
func NewSuccession(period time.Duration, predecessors []Predecessor) *Succession {
	return &Succession{period: period, predecessors: predecessors}
}

// Ended records that the predecessor spends nothing any more.
func (s *Succession) Ended(p ownership.Process) {
	kept := s.predecessors[:0]
	for _, other := range s.predecessors {
		if other.Process != p {
			kept = append(kept, other)
		}
	}
	s.predecessors = kept
}

// Share returns the part of the contracts that an owner with a valid lease may spend. Each predecessor that may still act halves it.
func (s *Succession) Share(now time.Time) float64 {
	share := 1.0
	for _, p := range s.predecessors {
		switch {
		case now.Before(p.LeaseEnd):
			share *= leasedPredecessorShare
		case now.Before(p.LeaseEnd.Add(s.period)):
			share *= 1 - unleasedShare
		}
	}
	return share
}

// UnleasedShare returns the part of the contracts that an owner may spend whose lease ended at the given time.
func (s *Succession) UnleasedShare(leaseEnd, now time.Time) float64 {
	if !now.Before(leaseEnd.Add(s.period)) {
		return 0
	}
	return s.Share(now) * unleasedShare
}

// portion is the part of the contracts that an owner may spend.
type portion struct {
	share float64
	// changed is when share changed last. start is the time from which a bucket without use would have filled, at the present share,
	// to the level that it has reached at the earlier ones.
	changed, start time.Time
}

func newPortion(start time.Time) portion { return portion{share: 1, changed: start, start: start} }

// SetShare sets the part of the contracts that may be spent from the given time on.
func (p *portion) SetShare(share float64, from time.Time) {
	if share > p.share {
		p.start = from.Add(-time.Duration(float64(from.Sub(p.start)) * p.share / share))
	}
	p.share, p.changed = share, from
}

// changeTime returns the time of the change to the present share for a bucket with another one, and now for a bucket with this one.
func (p *portion) changeTime(share float64, now time.Time) time.Time {
	if share == p.share {
		return now
	}
	return p.changed
}
