package dispatch

import (
	"time"

	"github.com/celerystep/celerystep/internal/balance"
)

const (
	// lagRetryInterval is how often a read is tried on a replica that is not known to have reached its position.
	lagRetryInterval = 100 * time.Millisecond
	// minWait is the minimum time for which an item may queue even if it will be late.
	minWait = 30 * time.Millisecond
	// noMemberRetryAfter is the retry delay sent with a refusal when no member is expected to be available.
	noMemberRetryAfter = 400 * time.Millisecond
	// minRetryAfter is the minimum retry delay sent with a refusal.
	minRetryAfter = 20 * time.Millisecond
)

// choose returns the member that is expected to serve the item first, with an idle connection if it has one; otherwise
// a connection to it should be opened. It returns nil when no member has room.
func (s *Scheduler) choose(w *queuedItem, now time.Time) (*member, *conn) {
	if m, c := s.probe(w, now); c != nil {
		return m, c
	}
	replicas := w.Need == NeedAny && s.replicaEligible(w, now)
	s.candidates, s.options = s.candidates[:0], s.options[:0]
	for _, m := range s.members {
		if !s.eligible(m, w, now) || !s.hasRoom(m, w, replicas, now) {
			continue
		}
		c := m.idleConn(w.Customer)
		t := s.estimate(m, w, c != nil, now)
		if m.Primary && replicas {
			t += w.Cost
		}
		s.options = append(s.options, option{m, c})
		s.candidates = append(s.candidates, balance.Candidate{
			Expected: t, InFlight: m.running, Capacity: s.state(m, now).Capacity(m.Slots), Opens: c == nil, Connections: len(m.conns),
		})
	}
	i := s.pick(s.candidates)
	if i < 0 {
		return nil, nil
	}
	return s.options[i].member, s.options[i].conn
}

// option is a member that may run an item, with an idle connection or nil.
type option struct {
	member *member
	conn   *conn
}

// replicaEligible reports whether a replica that is not failing may run the item.
func (s *Scheduler) replicaEligible(w *queuedItem, now time.Time) bool {
	for _, m := range s.members {
		if !m.Primary && s.eligible(m, w, now) && !s.state(m, now).Failing {
			return true
		}
	}
	return false
}

// anyUsable reports whether a member can run the item now, or once its log has caught up.
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

// holdsFloor reports whether the replica's log has reached the item's floor, or is due to be tried again.
func (m *member) holdsFloor(w *queuedItem, now time.Time) bool {
	if !m.lastPosition.Less(w.Floor) {
		return true
	}
	return now.Sub(m.lastPositionAt) >= lagRetryInterval
}

// hasRoom reports whether another statement may be sent to the member.
func (s *Scheduler) hasRoom(m *member, w *queuedItem, replicas bool, now time.Time) bool {
	limit := s.lessReserve(m.Slots+s.limits.ExtraInFlight, m, w)
	if m.Primary && replicas {
		// Reads that a replica can serve leave a slot free for statements that only the primary can run.
		limit = m.Slots - 1
	}
	limit = min(limit, s.balancedLimit(m, w, now))
	if m.running >= limit || !m.withinWarmupRate(now) {
		return false
	}
	return !w.OpensTransaction || s.transactionRoom(m, w)
}

// TransactionRoom reports whether another transaction may hold a connection to any usable member.
func (s *Scheduler) TransactionRoom() bool {
	for _, m := range s.members {
		if m.Usable && s.heldBelow(m, s.limits.TransactionPercent) {
			return true
		}
	}
	return false
}

// estimate returns the expected time until the member has run the item, beyond the item's cost at a normal member.
func (s *Scheduler) estimate(m *member, w *queuedItem, connected bool, now time.Time) time.Duration {
	slowdown := s.state(m, now).Slowdown
	slower := scale(w.Cost, slowdown-1)
	if connected {
		// A member that is slow but in time is preferred to another connection, which costs the members more than the
		// caller gains.
		slower = min(slower, s.limits.Handshake*9/10)
	}
	t := m.RoundTrip + slower
	if over := m.running + 1 - m.Slots; over > 0 && m.Slots > 0 {
		t += scale(w.Cost, slowdown) * time.Duration(over) / time.Duration(m.Slots)
	}
	switch {
	case connected:
		return t
	case s.balancer != nil && len(m.conns) >= s.connLimit(m, now):
		// The customer whose connection is evicted has to open another.
		return t + 2*s.limits.Handshake
	default:
		return t + s.limits.Handshake
	}
}

// idleConn returns the customer's most recently used idle connection, or nil.
func (m *member) idleConn(customer string) *conn {
	var newest *conn
	for _, c := range m.conns {
		if c.state == connIdle && c.customer == customer && (newest == nil || c.since.After(newest.since)) {
			newest = c
		}
	}
	return newest
}

// withinWarmupRate reports whether a member that is warming up may get another statement.
func (m *member) withinWarmupRate(now time.Time) bool {
	if m.WarmupRate <= 0 {
		return true
	}
	m.warmupTokens += now.Sub(m.warmupAt).Seconds() * m.WarmupRate
	// The burst is a tenth of a second's worth of tokens, so that no second exceeds 1.1 times the rate.
	m.warmupTokens = min(m.warmupTokens, max(1, m.WarmupRate/10))
	m.warmupAt = now
	return m.warmupTokens >= 1
}

func (m *member) spendWarmupToken(now time.Time) {
	if m.WarmupRate > 0 && m.withinWarmupRate(now) {
		m.warmupTokens--
	}
}

// fairShare returns how long the customer's queued work takes when it has the slots alone, and how much longer when it
// shares them with the other customers in the queue.
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

// refuse returns a refusal when the item could not be served in time. fairnessDelay is the item's wait when customers with
// less queued work go first.
func (s *Scheduler) refuse(w *queuedItem, fairnessDelay time.Duration, now time.Time) *Refusal {
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
	queueDelay := max(s.queueDelay(w, slots, running), fairnessDelay)
	// A quarter of the time is reserved for statements that take longer than expected.
	maxWait := max(w.Due.Sub(now)*3/4-w.Cost, minWait)
	if queueDelay <= maxWait {
		return nil
	}
	return &Refusal{Reason: ReasonQueueTooLong, After: max(queueDelay-maxWait, minRetryAfter), ExpectedWait: queueDelay, QueueLength: len(s.queue)}
}

// refuseWithoutMember refuses the item unless a primary is expected in time.
func (s *Scheduler) refuseWithoutMember(it *Item, now time.Time) *Refusal {
	if s.primaryExpected.After(now) && s.primaryExpected.Add(it.Cost).Before(it.Due) {
		return nil
	}
	return &Refusal{Reason: ReasonNoMember, After: s.memberRetryAfter(now), QueueLength: len(s.queue)}
}

// memberRetryAfter returns the retry delay to send while no member can serve.
func (s *Scheduler) memberRetryAfter(now time.Time) time.Duration {
	if s.primaryExpected.After(now) {
		return max(s.primaryExpected.Sub(now), minRetryAfter)
	}
	return noMemberRetryAfter
}

// capacity returns the number of slots of normal members that do the work of those that can run the item, the number of
// statements running in them, and whether one is free.
func (s *Scheduler) capacity(w *queuedItem, now time.Time) (slots, running int, free bool) {
	replicas := w.Need == NeedAny && s.replicaEligible(w, now)
	var capacity, busy float64
	for _, m := range s.members {
		if !s.eligible(m, w, now) || m.Primary && replicas {
			continue
		}
		c, r := s.balancedCapacity(m, w, now)
		capacity, busy = capacity+c, busy+r
		free = free || s.hasRoom(m, w, replicas, now) && len(s.queue) == 0
	}
	if capacity > 0 {
		slots, running = max(1, round(capacity)), round(busy)
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
	// Running statements are half done on average.
	work += time.Duration(running) * w.Cost / 2
	return work / time.Duration(slots)
}
