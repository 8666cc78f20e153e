package retry

import "time"

const (
	// budgetWindow is the time over which requests and retries are counted.
	budgetWindow = time.Second
	// budgetBuckets divides the window; counts expire one bucket at a time.
	budgetBuckets = 10
	bucketWidth   = budgetWindow / budgetBuckets
	// budgetShare is the share of recent requests that may be retries. It keeps retries from multiplying the load
	// on a group that is failing because it is overloaded.
	budgetShare = 0.10
	// budgetFloor is the number of retries allowed in a window however few requests there are.
	budgetFloor = 10
)

type bucket struct {
	requests int
	retries  int
}

// Budget bounds the retries of one group to a share of its recent requests. It is not safe for concurrent use.
type Budget struct {
	buckets  [budgetBuckets]bucket
	requests int
	retries  int
	// slot is the number of bucket widths since the epoch of the bucket in use.
	slot int64
}

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.buckets[b.index()].requests++
	b.requests++
}

// Take counts a retry and reports whether the budget allows it.
func (b *Budget) Take(now time.Time) bool {
	b.advance(now)
	if b.retries >= b.limit() {
		return false
	}
	b.buckets[b.index()].retries++
	b.retries++
	return true
}

func (b *Budget) limit() int {
	return max(budgetFloor, int(budgetShare*float64(b.requests)))
}

func (b *Budget) index() int { return int(b.slot % budgetBuckets) }

// advance expires the buckets that left the window. A clock that goes back is ignored.
func (b *Budget) advance(now time.Time) {
	slot := now.UnixNano() / int64(bucketWidth)
	if slot <= b.slot {
		return
	}
	steps := min(slot-b.slot, budgetBuckets)
	for range steps {
		b.slot++
		b.expire()
	}
	b.slot = slot
}

func (b *Budget) expire() {
	old := &b.buckets[b.index()]
	b.requests -= old.requests
	b.retries -= old.retries
	*old = bucket{}
}
