package dispatch

import (
	"time"
)

const (
	// lagProbe is how often a replica that lacked a position is tried again.
	lagProbe = 100 * time.Millisecond
	// minPatience is the shortest time for which an item may wait although it will be late.
	minPatience = 30 * time.Millisecond
	// noMemberRetry is told to a refused caller when no member is in sight.
	noMemberRetry = 400 * time.Millisecond
	// comeBack is the least time told to a refused caller.
	comeBack = 20 * time.Millisecond
)

// choose returns the member that serves the item soonest, with a free connection if there is one. A member without a
// connection is one to which a connection should be opened. It returns nil when no member has room.
func (s *Scheduler) choose(w *waiting, now time.Time) (*member, *conn) {
	var best *member
	var bestConn *conn
	var bestTime time.Duration
	replicas := w.Need == NeedAny && s.anyEligible(w, now)
	for _, m := range s.members {
		if !s.eligible(m, w, now) || !s.hasRoom(m, w, replicas, now) {
			continue
		}
		c := m.idle(w.Customer)
		t := s.expect(m, w, c != nil)
		if m.Primary && replicas {
			t += w.Cost
		}
		if best == nil || t < bestTime {
			best, bestConn, bestTime = m, c, t
		}
	}
	return best, bestConn
}

// anyEligible reports whether a replica can run the item.
func (s *Scheduler) anyEligible(w *waiting, now time.Time) bool {
	for _, m := range s.members {
		if !m.Primary && s.eligible(m, w, now) {
			return true
		}
	}
	return false
}

// anyUsable reports whether a member can run the item now or once its log has caught up.
func (s *Scheduler) anyUsable(w *waiting) bool {
	for _, m := range s.members {
		if m.Usable && (m.Primary || w.Need == NeedAny) {
			return true
		}
	}
	return false
}

// eligible reports whether the member may run the item.
func (s *Scheduler) eligible(m *member, w *waiting, now time.Time) bool {
	if !m.Usable || m.ID == w.Avoid && len(s.members) > 1 && w.Need == NeedAny {
		return false
	}
	if m.Primary {
		return true
	}
	if w.Need == NeedPrimary {
		return false
	}
	return m.holds(w, now)
}

// holds reports whether the replica's log holds the item's floor, or is likely to hold it by now.
func (m *member) holds(w *waiting, now time.Time) bool {
	if !m.known.Less(w.Floor) {
		return true
	}
	return now.Sub(m.knownAt) >= lagProbe
}

// hasRoom reports whether another statement may be sent to the member.
func (s *Scheduler) hasRoom(m *member, w *waiting, replicas bool, now time.Time) bool {
	limit := m.Slots + s.limits.ExtraInFlight
	if m.Primary && replicas {
		// Reads that a replica can serve leave a slot for what only the primary can run.
		limit = m.Slots - 1
	}
	if m.running >= limit || !m.warm(now) {
		return false
	}
	return !w.OpensTransaction || m.held*100 < s.limits.Connections*s.limits.TransactionPercent
}

// expect estimates the time until the member has run the item.
func (s *Scheduler) expect(m *member, w *waiting, connected bool) time.Duration {
	t := m.RoundTrip
	if over := m.running + 1 - m.Slots; over > 0 && m.Slots > 0 {
		t += w.Cost * time.Duration(over) / time.Duration(m.Slots)
	}
	if !connected {
		t += s.limits.Handshake
	}
	return t
}

// idle returns the customer's idle connection that was used last, or nil.
func (m *member) idle(customer string) *conn {
	var newest *conn
	for _, c := range m.conns {
		if c.state == connIdle && c.customer == customer && (newest == nil || c.since.After(newest.since)) {
			newest = c
		}
	}
	return newest
}

// warm reports whether a starting member may get another statement.
func (m *member) warm(now time.Time) bool {
	if m.WarmupRate <= 0 {
		return true
	}
	m.warmTokens += now.Sub(m.warmAt).Seconds() * m.WarmupRate
	// A tenth of a second's worth is the burst, so that no second holds more than 1.1 times the rate.
	m.warmTokens = min(m.warmTokens, max(1, m.WarmupRate/10))
	m.warmAt = now
	return m.warmTokens >= 1
}

func (m *member) spendWarm(now time.Time) {
	if m.WarmupRate > 0 && m.warm(now) {
		m.warmTokens--
	}
}

// share returns how long the customer's waiting work takes in the slots by itself, and how much longer when the slots are
// shared with the other waiting customers.
func (s *Scheduler) share(w *waiting, now time.Time) (alone, putOff time.Duration) {
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
func (s *Scheduler) refuse(w *waiting, fairWait time.Duration, now time.Time) *Refusal {
	if len(s.queue) >= s.limits.QueueLength {
		return &Refusal{Reason: ReasonQueueFull, After: w.Cost + comeBack, QueueLength: len(s.queue)}
	}
	slots, running, idle := s.capacity(w, now)
	if slots == 0 {
		return s.refuseWithoutMember(&w.Item, now)
	}
	if w.Retried || idle {
		return nil
	}
	ahead := max(s.ahead(w, slots, running), fairWait)
	// A quarter of the time is kept for statements that take longer than expected.
	patience := max(w.Due.Sub(now)*3/4-w.Cost, minPatience)
	if ahead <= patience {
		return nil
	}
	return &Refusal{Reason: ReasonQueueTooLong, After: max(ahead-patience, comeBack), ExpectedWait: ahead, QueueLength: len(s.queue)}
}

// refuseWithoutMember lets the item wait for a member that is expected in time.
func (s *Scheduler) refuseWithoutMember(it *Item, now time.Time) *Refusal {
	if s.primaryExpected.After(now) && s.primaryExpected.Add(it.Cost).Before(it.Due) {
		return nil
	}
	return &Refusal{Reason: ReasonNoMember, After: s.nextMember(now), QueueLength: len(s.queue)}
}

// nextMember returns when a member may be able to serve again, while none is.
func (s *Scheduler) nextMember(now time.Time) time.Duration {
	if s.primaryExpected.After(now) {
		return max(s.primaryExpected.Sub(now), comeBack)
	}
	return noMemberRetry
}

// capacity returns the slots that can run the item, the statements running in them, and whether one is free.
func (s *Scheduler) capacity(w *waiting, now time.Time) (slots, running int, free bool) {
	replicas := w.Need == NeedAny && s.anyEligible(w, now)
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

// ahead estimates how long the item waits for a slot.
func (s *Scheduler) ahead(w *waiting, slots, running int) time.Duration {
	var work time.Duration
	for _, q := range s.queue {
		if q.Need == w.Need && !q.order.After(w.order) {
			work += q.Cost
		}
	}
	// What runs now is half done on average.
	work += time.Duration(running) * w.Cost / 2
	return work / time.Duration(slots)
}
