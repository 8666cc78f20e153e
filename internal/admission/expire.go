package admission

import "time"

// Cause is the reason why an item was dropped.
type Cause uint8

// Causes for dropping an item.
const (
	// CauseDeadline means that no slot became free before the deadline.
	CauseDeadline Cause = iota + 1
	// CauseRate means that the customer had no tokens before the deadline or token deadline.
	CauseRate
	// CauseRemoved means that the customer was removed from the queue.
	CauseRemoved
)

// String returns the name used in logs and audit records.
func (c Cause) String() string {
	switch c {
	case CauseDeadline:
		return "queue_deadline"
	case CauseRate:
		return "rate"
	case CauseRemoved:
		return "customer_removed"
	default:
		return "unknown"
	}
}

// Dropped is an item that was dropped from the queue and never ran.
type Dropped[T any] struct {
	Value  T
	Cause  Cause
	Waited time.Duration
}

// Remove removes a waiting item, for example because its caller disconnected. It returns false if the item is no longer
// waiting.
func (q *Queue[T]) Remove(h Handle, now time.Time) bool {
	if h.generation == 0 || int(h.id) >= len(q.nodes) {
		return false
	}
	n := q.nodes[h.id]
	if !n.waiting || n.generation != h.generation {
		return false
	}
	q.removeWaiting(&n.itemBase)
	return true
}

// Expire drops the items whose deadline has passed, and returns all items dropped since the last call. The slice is
// valid until the next method call.
func (q *Queue[T]) Expire(now time.Time) []Dropped[T] {
	if q.droppedReturned {
		clear(q.dropped)
		q.dropped = q.dropped[:0]
	}
	q.droppedReturned = false
	q.dropExpired(now, q.nanos(now))
	q.droppedReturned = true
	return q.dropped
}

// NextWake returns the next time at which a token becomes available or a deadline passes, so that Pop or Expire may
// return more items. It returns false if there is none.
func (q *Queue[T]) NextWake() (time.Time, bool) {
	next := int64(noDeadline)
	if !q.throttled.empty() {
		next = q.throttled.top().wake
	}
	if !q.expiring.empty() {
		next = min(next, q.expiring.top().expiry)
	}
	if next == noDeadline {
		return time.Time{}, false
	}
	return q.epoch.Add(time.Duration(next)), true
}

// dropExpired drops the items whose deadline has passed.
func (q *Queue[T]) dropExpired(now time.Time, t int64) {
	for !q.expiring.empty() {
		it := q.expiring.top().itemBase
		if it.expiry > t {
			return
		}
		lacksToken := !it.hasToken(now)
		switch {
		case lacksToken:
			q.drop(it, CauseRate, t)
		case it.deadline <= t:
			q.drop(it, CauseDeadline, t)
		default:
			it.expiry = it.deadline
			q.updateExpiry(it)
		}
	}
}

// updateExpiry restores the deadline heap after the item's expiry changed.
func (s *scheduler) updateExpiry(it item) {
	if it.expiry == noDeadline {
		s.expiring.remove(expiringItem{it})
		return
	}
	s.expiring.fix(expiringItem{it})
}

// hasToken reports whether the customer has enough tokens for the item at now.
func (it *itemBase) hasToken(now time.Time) bool {
	if it.priority == priorityPrepaid {
		return true
	}
	at, known := it.flow.account.source.Next(it.tokens, now)
	return known && !at.After(now)
}

func (q *Queue[T]) drop(it item, cause Cause, t int64) {
	if q.droppedReturned {
		clear(q.dropped)
		q.dropped = q.dropped[:0]
		q.droppedReturned = false
	}
	value := q.removeWaiting(it)
	q.dropped = append(q.dropped, Dropped[T]{Value: value, Cause: cause, Waited: time.Duration(t - it.pushed)})
}

// removeWaiting removes a waiting item without serving it, and returns its value.
func (q *Queue[T]) removeWaiting(it item) T {
	f := it.flow
	wasHead := f.head() == it
	q.removeItem(it)
	n := q.release(it)
	value := n.value
	var none T
	n.value = none
	f.account.trimGrants()
	switch {
	case f.head() == nil:
		q.detach(f)
	case wasHead && f.state != flowReady:
		// The new head may need fewer tokens, or none.
		q.makeReady(f)
	}
	return value
}
