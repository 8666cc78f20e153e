package membership

import (
	"math"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

// newsKey names a record that is being spread. The record itself is read from the state when it is sent, so that its
// newest value goes out.
type newsKey struct {
	kind   recordKind
	member instance.ID
	group  upstream.GroupID
	key    KeyRef
}

// newsEntry is a queued key. It is stale when the key was queued again since, which the sequence tells.
type newsEntry struct {
	key      newsKey
	sequence uint64
}

// newsQueue keeps the records that are being spread, in levels by the number of times they were sent. Records sent
// least often go first, so that new news is not held up by old.
type newsQueue struct {
	levels   [][]newsEntry
	current  map[newsKey]newsPlace
	sequence uint64
}

// newsPlace is where a key is queued.
type newsPlace struct {
	sequence uint64
	level    int
}

func newNewsQueue() *newsQueue {
	return &newsQueue{current: make(map[newsKey]newsPlace)}
}

// add queues a record as never sent, also when it is queued already.
func (q *newsQueue) add(k newsKey) { q.put(k, 0) }

func (q *newsQueue) put(k newsKey, level int) {
	for len(q.levels) <= level {
		q.levels = append(q.levels, nil)
	}
	q.sequence++
	q.current[k] = newsPlace{sequence: q.sequence, level: level}
	q.levels[level] = append(q.levels[level], newsEntry{key: k, sequence: q.sequence})
}

func (q *newsQueue) len() int { return len(q.current) }

// raise counts a record as sent once more, because a peer is known to have it.
func (q *newsQueue) raise(k newsKey, limit int) {
	place, ok := q.current[k]
	if !ok {
		return
	}
	if place.level+1 >= limit {
		delete(q.current, k)
		return
	}
	q.put(k, place.level+1)
}

// take calls send for the records sent less than below times, those sent least often first, until it returns stop. A
// record that was sent counts as sent copies more times and leaves the queue at limit.
func (q *newsQueue) take(copies, below, limit int, send func(newsKey) sendResult) {
	var sent []newsEntry
	var levels []int
	for level := range min(below, len(q.levels)) {
		kept := q.levels[level][:0]
		stopped := false
		for i, e := range q.levels[level] {
			if q.current[e.key].sequence != e.sequence {
				continue
			}
			result := send(e.key)
			if result == sendStop {
				kept = append(kept, q.levels[level][i:]...)
				stopped = true
				break
			}
			if result == sendSkipped {
				kept = append(kept, e)
				continue
			}
			sent = append(sent, e)
			levels = append(levels, level+copies)
		}
		q.levels[level] = kept
		if stopped {
			break
		}
	}
	for i, e := range sent {
		if levels[i] >= limit {
			delete(q.current, e.key)
			continue
		}
		q.put(e.key, levels[i])
	}
}

// sendResult says what became of a record offered to a message.
type sendResult uint8

const (
	// sendDone means that the record is in the message.
	sendDone sendResult = iota
	// sendSkipped means that the receiver has the record.
	sendSkipped
	// sendStop means that the message is full.
	sendStop
)

// retransmissions returns how often each of n instances sends a record. After ln(n)+c sends by each instance, about
// exp(-c) instances have not received the record; the exchange of states repairs these.
func retransmissions(n int, margin float64) int {
	return int(math.Ceil(math.Log(float64(n)) + margin))
}

// byteBudget is a token bucket over bytes.
type byteBudget struct {
	available float64
	last      time.Time
}

// refill adds what has accrued since the last call.
func (b *byteBudget) refill(now time.Time) {
	if b.last.IsZero() {
		b.available = NewsBurstBytes
	} else if now.After(b.last) {
		b.available += now.Sub(b.last).Seconds() * NewsBytesPerSecond
	}
	b.available = min(b.available, NewsBurstBytes)
	b.last = now
}

// left returns the whole bytes that may be sent now.
func (b *byteBudget) left() int { return max(0, int(b.available)) }

func (b *byteBudget) spend(n int) { b.available -= float64(n) }
