package retry

import "time"

const (
	// budgetWindow is the sliding window over which requests and retries are counted.
	budgetWindow = time.Second
	// budgetBuckets is the number of buckets in the window; counts expire one bucket at a time.
	budgetBuckets = 10
	bucketWidth   = budgetWindow / budgetBuckets
	// budgetShare is the maximum ratio of retries to recent requests. It prevents retries from multiplying the load on
	// a group that fails because it is overloaded.
	budgetShare = 0.10
	// budgetFloor is the number of retries that a window always allows, however few requests there are.
	budgetFloor = 10
)

type bucket struct {
	requests int
	retries  int
}

// Budget is the retry budget of one group: it limits retries to a share of the recent requests. It is not safe for
// concurrent use.
type Budget struct {
	buckets  [budgetBuckets]bucket
	requests int
	retries  int
	// slot is the current bucket, in bucket widths since the Unix epoch.
	slot int64
}

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.buckets[b.index()].requests++
	b.requests++
}

// Take reports whether the budget allows a retry, and counts it if so.
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

// advance clears the buckets that have left the window. A time before the current bucket is ignored.
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
