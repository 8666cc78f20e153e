package dispatch

import (
	"time"
)

const (
	// lagRetryInterval is how often a replica that lacked a position is tried again.
	lagRetryInterval = 100 * time.Millisecond
	// minWait is the shortest time for which an item may wait although it will be late.
	minWait = 30 * time.Millisecond
	// noMemberRetryAfter is told to a refused caller when no member is in sight.
	noMemberRetryAfter = 400 * time.Millisecond
	// minRetryAfter is the least time told to a refused caller.
	minRetryAfter = 20 * time.Millisecond
)

// choose returns the member that serves the item soonest, with a free connection if there is one. A member without a
// connection is one to which a connection should be opened. It returns nil when no member has room.
func (s *Scheduler) choose(w *queuedItem, now time.Time) (*member, *conn) {
	var best *member
	var bestConn *conn
	var bestTime time.Duration
	replicas := w.Need == NeedAny && s.replicaEligible(w, now)
	for _, m := range s.members {
		if !s.eligible(m, w, now) || !s.hasRoom(m, w, replicas, now) {
			continue
		}
		c := m.idleConn(w.Customer)
		t := s.estimate(m, w, c != nil)
		if m.Primary && replicas {
			t += w.Cost
		}
		if best == nil || t < bestTime {
			best, bestConn, bestTime = m, c, t
		}
	}
	return best, bestConn
}

// replicaEligible reports whether a replica can run the item.
func (s *Scheduler) replicaEligible(w *queuedItem, now time.Time) bool {
	for _, m := range s.members {
		if !m.Primary && s.eligible(m, w, now) {
			return true
		}
	}
	return false
}

// anyUsable reports whether a member can run the item now or once its log has caught up.
func (s *Scheduler) anyUsable(w *queuedItem) bool {
	for _, m := range s.members {
		if m.Usable && (m.Primary || w.Need == NeedAny) {
			return true
		}
	}
	return false
}

// eligible reports whether the member may run the item.
func (s *Scheduler) eligible(m *member, w *queuedItem, now time.Time) bool {
	if !m.Usable || m.ID == w.Avoid && len(s.members) > 1 && w.Need == NeedAny {
		return false
	}
	if m.Primary {
		return true
	}
	if w.Need == NeedPrimary {
		return false
	}
	return m.holdsFloor(w, now)
}

// holdsFloor reports whether the replica's log holds the item's floor, or is likely to hold it by now.
func (m *member) holdsFloor(w *queuedItem, now time.Time) bool {
	if !m.lastPosition.Less(w.Floor) {
		return true
	}
	return now.Sub(m.lastPositionAt) >= lagRetryInterval
}

// hasRoom reports whether another statement may be sent to the member.
func (s *Scheduler) hasRoom(m *member, w *queuedItem, replicas bool, now time.Time) bool {
	limit := m.Slots + s.limits.ExtraInFlight
	if m.Primary && replicas {
		// Reads that a replica can serve leave a slot for what only the primary can run.
		limit = m.Slots - 1
	}
	if m.running >= limit || !m.withinWarmupRate(now) {
		return false
	}
	return !w.OpensTransaction || m.heldConns*100 < s.limits.Connections*s.limits.TransactionPercent
}

// estimate estimates the time until the member has run the item.
func (s *Scheduler) estimate(m *member, w *queuedItem, connected bool) time.Duration {
	t := m.RoundTrip
	if over := m.running + 1 - m.Slots; over > 0 && m.Slots > 0 {
		t += w.Cost * time.Duration(over) / time.Duration(m.Slots)
	}
	if !connected {
		t += s.limits.Handshake
	}
	return t
}

// idleConn returns the customer's idle connection that was used last, or nil.
func (m *member) idleConn(customer string) *conn {
	var newest *conn
	for _, c := range m.conns {
		if c.state == connIdle && c.customer == customer && (newest == nil || c.since.After(newest.since)) {
			newest = c
		}
	}
	return newest
}

// withinWarmupRate reports whether a starting member may get another statement.
func (m *member) withinWarmupRate(now time.Time) bool {
	if m.WarmupRate <= 0 {
		return true
	}
	m.warmupTokens += now.Sub(m.warmupAt).Seconds() * m.WarmupRate
	// A tenth of a second's worth is the burst, so that no second holds more than 1.1 times the rate.
	m.warmupTokens = min(m.warmupTokens, max(1, m.WarmupRate/10))
	m.warmupAt = now
	return m.warmupTokens >= 1
}

func (m *member) spendWarmupToken(now time.Time) {
	if m.WarmupRate > 0 && m.withinWarmupRate(now) {
		m.warmupTokens--
	}
}

// fairShare returns how long the customer's waiting work takes in the slots by itself, and how much longer when the slots are
// shared with the other waiting customers.
func (s *Scheduler) fairShare(w *queuedItem, now time.Time) (alone, fairnessDelay time.Duration) {
	var own time.Duration
	others := make(map[string]bool)
	for _, q := range s.queue {
		switch {
		case q.Need != w.Need:
		case q.Customer == w.Customer:
			own += q.Cost
		default:
			others[q.Customer] = true
		}
	}
	slots, _, _ := s.capacity(w, now)
	if slots == 0 {
		return 0, 0
	}
	alone = own / time.Duration(slots)
	return alone, alone * time.Duration(len(others))
}

// refuse returns a refusal when the item could not be served in time. fairWait is how long it waits when customers with
// less waiting work go first.
func (s *Scheduler) refuse(w *queuedItem, fairWait time.Duration, now time.Time) *Refusal {
	if len(s.queue) >= s.limits.QueueLength {
		return &Refusal{Reason: ReasonQueueFull, After: w.Cost + minRetryAfter, QueueLength: len(s.queue)}
	}
	slots, running, idle := s.capacity(w, now)
	if slots == 0 {
		return s.refuseWithoutMember(&w.Item, now)
	}
	if w.Retried || idle {
		return nil
	}
	queueDelay := max(s.queueDelay(w, slots, running), fairWait)
	// A quarter of the time is kept for statements that take longer than expected.
	patience := max(w.Due.Sub(now)*3/4-w.Cost, minWait)
	if queueDelay <= patience {
		return nil
	}
	return &Refusal{Reason: ReasonQueueTooLong, After: max(queueDelay-patience, minRetryAfter), ExpectedWait: queueDelay, QueueLength: len(s.queue)}
}

// refuseWithoutMember lets the item wait for a member that is expected in time.
func (s *Scheduler) refuseWithoutMember(it *Item, now time.Time) *Refusal {
	if s.primaryExpected.After(now) && s.primaryExpected.Add(it.Cost).Before(it.Due) {
		return nil
	}
	return &Refusal{Reason: ReasonNoMember, After: s.memberRetryAfter(now), QueueLength: len(s.queue)}
}

// memberRetryAfter returns when a member may be able to serve again, while none is.
func (s *Scheduler) memberRetryAfter(now time.Time) time.Duration {
	if s.primaryExpected.After(now) {
		return max(s.primaryExpected.Sub(now), minRetryAfter)
	}
	return noMemberRetryAfter
}

// capacity returns the slots that can run the item, the statements running in them, and whether one is free.
func (s *Scheduler) capacity(w *queuedItem, now time.Time) (slots, running int, free bool) {
	replicas := w.Need == NeedAny && s.replicaEligible(w, now)
	for _, m := range s.members {
		if !s.eligible(m, w, now) || m.Primary && replicas {
			continue
		}
		slots += m.Slots
		running += m.running
		free = free || s.hasRoom(m, w, replicas, now) && len(s.queue) == 0
	}
	return slots, running, free
}

// queueDelay estimates how long the item waits for a slot.
func (s *Scheduler) queueDelay(w *queuedItem, slots, running int) time.Duration {
	var work time.Duration
	for _, q := range s.queue {
		if q.Need == w.Need && !q.effectiveDue.After(w.effectiveDue) {
			work += q.Cost
		}
	}
	// What runs now is half done on average.
	work += time.Duration(running) * w.Cost / 2
	return work / time.Duration(slots)
}
