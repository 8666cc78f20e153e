package membership

import (
	"math"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

// updateKey identifies a record that is being disseminated. The record itself is read from the state when it is sent,
// so the latest value is sent.
type updateKey struct {
	kind   recordKind
	member instance.ID
	group  upstream.GroupID
	key    KeyRef
}

// queueEntry is a queued key. It is stale if the key was queued again later, that is, if its sequence differs from the
// one in updateQueue.positions.
type queueEntry struct {
	key      updateKey
	sequence uint64
}

// updateQueue holds the records that are being disseminated, in levels by the number of times they were sent. Records
// sent least often go first, so older updates do not delay new ones.
type updateQueue struct {
	levels    [][]queueEntry
	positions map[updateKey]queuePosition
	sequence  uint64
}

// queuePosition is the current position of a key in the queue.
type queuePosition struct {
	sequence uint64
	level    int
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{positions: make(map[updateKey]queuePosition)}
}

// add queues a record with a send count of zero, even if it is already queued.
func (q *updateQueue) add(k updateKey) { q.push(k, 0) }

func (q *updateQueue) push(k updateKey, level int) {
	for len(q.levels) <= level {
		q.levels = append(q.levels, nil)
	}
	q.sequence++
	q.positions[k] = queuePosition{sequence: q.sequence, level: level}
	q.levels[level] = append(q.levels[level], queueEntry{key: k, sequence: q.sequence})
}

func (q *updateQueue) len() int { return len(q.positions) }

// countSend increases the send count of a record by one because a peer is known to have it. The record leaves the queue
// at limit.
func (q *updateQueue) countSend(k updateKey, limit int) {
	pos, ok := q.positions[k]
	if !ok {
		return
	}
	if pos.level+1 >= limit {
		delete(q.positions, k)
		return
	}
	q.push(k, pos.level+1)
}

// drain calls send for the records sent fewer than maxSends times, least-sent first, until send returns sendStop. The
// send count of an added record grows by copies; the record leaves the queue at limit.
func (q *updateQueue) drain(copies, maxSends, limit int, send func(updateKey) sendResult) {
	var sent []queueEntry
	var levels []int
	for level := range min(maxSends, len(q.levels)) {
		kept := q.levels[level][:0]
		stopped := false
		for i, e := range q.levels[level] {
			if q.positions[e.key].sequence != e.sequence {
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
			delete(q.positions, e.key)
			continue
		}
		q.push(e.key, levels[i])
	}
}

// sendResult is the outcome of offering a record to a message.
type sendResult uint8

const (
	// sendAdded means that the record was added to the message.
	sendAdded sendResult = iota
	// sendSkipped means that the receiver already has the record.
	sendSkipped
	// sendStop means that the message is full.
	sendStop
)

// transmitLimit returns how many times each of n instances sends a record. After ln(n)+c sends by each instance, about
// exp(-c) instances have not received the record; anti-entropy exchanges repair those.
func transmitLimit(n int, margin float64) int {
	return int(math.Ceil(math.Log(float64(n)) + margin))
}

// byteBudget is a token bucket over bytes.
type byteBudget struct {
	available float64
	last      time.Time
}

// refill adds the bytes accrued since the last call.
func (b *byteBudget) refill(now time.Time) {
	if b.last.IsZero() {
		b.available = UpdateBurstBytes
	} else if now.After(b.last) {
		b.available += now.Sub(b.last).Seconds() * UpdateBytesPerSecond
	}
	b.available = min(b.available, UpdateBurstBytes)
	b.last = now
}

// remaining returns the number of whole bytes that may be sent now.
func (b *byteBudget) remaining() int { return max(0, int(b.available)) }

func (b *byteBudget) spend(n int) { b.available -= float64(n) }
