package usage

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
)

const (
	// maxSkew is the difference between the clocks of two instances that is not corrected. It exceeds the time that a delivery
	// takes.
	maxSkew = time.Second
	// minVotes is the number of instances, the holder included, whose clocks outvote that of one of them.
	minVotes = 3
	// voteLifetime is how long the clock of an instance counts after its last delivery.
	voteLifetime = 20 * time.Second
)

// Clock is an estimate of true time that runs with the boot clock. Steps of the wall clock do not affect it. It is safe for
// concurrent use.
type Clock struct {
	// offset is the difference between true time and the boot clock in nanoseconds.
	offset atomic.Int64
}

// NewClock returns a clock that agrees with the wall clock at present.
func NewClock(wall, boot time.Time) *Clock {
	c := &Clock{}
	c.offset.Store(wall.UnixNano() - boot.UnixNano())
	return c
}

// Time returns the true time at a time of the boot clock.
func (c *Clock) Time(boot time.Time) time.Time {
	return time.Unix(0, boot.UnixNano()+c.offset.Load())
}

// WallStep returns how far the wall clock is ahead of this clock.
func (c *Clock) WallStep(wall, boot time.Time) time.Duration {
	return time.Duration(wall.UnixNano() - c.Time(boot).UnixNano())
}

// Shift corrects the clock.
func (c *Clock) Shift(d time.Duration) { c.offset.Add(int64(d)) }

// Votes compares the clocks of the instances with the holder's. An instance that started while its wall clock was wrong is outvoted by
// the others. It is not safe for concurrent use.
type Votes struct {
	byInstance map[instance.ID]vote
}

type vote struct {
	ahead time.Duration
	at    time.Time
}

// Add records that the instance's clock is ahead of the holder's; now is on the boot clock.
func (v *Votes) Add(id instance.ID, ahead time.Duration, now time.Time) {
	if v.byInstance == nil {
		v.byInstance = make(map[instance.ID]vote)
	}
	v.byInstance[id] = vote{ahead, now}
}

// Median returns how far the clock of the fleet is ahead of the holder's, and the number of clocks that were compared.
func (v *Votes) Median(now time.Time) (time.Duration, int) {
	list := []time.Duration{0} // the holder's own
	for id, x := range v.byInstance {
		if now.Sub(x.at) > voteLifetime {
			delete(v.byInstance, id)
			continue
		}
		list = append(list, x.ahead)
	}
	if len(list) < minVotes {
		return 0, len(list)
	}
	slices.Sort(list)
	low, high := list[(len(list)-1)/2], list[len(list)/2]
	if low.Abs() < high.Abs() {
		return low, len(list) // half of the clocks do not outvote the holder's
	}
	return high, len(list)
}
