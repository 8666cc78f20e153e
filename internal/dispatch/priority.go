package dispatch

import (
	"slices"
	"time"
)

// minimumShareDivisor gives a tenth of the slots to less urgent statements while more urgent ones keep arriving.
const minimumShareDivisor = 10

// Priorities is the range of the priorities of a group's routes; 0 is the highest priority. Where they are all equal,
// statements are ordered by due time alone.
type Priorities struct {
	Highest, Lowest int
}

// differ reports whether the routes have different priorities.
func (p Priorities) differ() bool { return p.Highest < p.Lowest }

// class is the precedence of a queued item over items of any priority in later classes.
type class uint8

const (
	// classInTime holds the items that can still meet their target.
	classInTime class = iota
	// classLate holds the items that are worth less now, and are served when no item of classInTime is waiting.
	classLate
	numClasses
)

// class returns the item's class.
func (s *Scheduler) class(w *queuedItem, now time.Time) class {
	if !w.Due.After(now) || s.limits.Priorities.differ() && now.After(w.latestStart) {
		return classLate
	}
	return classInTime
}

// latestStart returns when an item must start to meet a target or deadline. A quarter of the time is reserved for statements
// that take longer than expected.
func latestStart(end time.Time, cost time.Duration, now time.Time) time.Time {
	return now.Add(max(end.Sub(now)*3/4-cost, minWait))
}

// goesBefore reports whether a goes before b of the same class. Items beyond their customers' shares go last, by the priority of
// the contracts where that of the routes is equal.
func (s *Scheduler) goesBefore(a, b *queuedItem) bool {
	if s.limits.Priorities.differ() {
		switch {
		case a.surplus != b.surplus:
			return b.surplus
		case a.Priority != b.Priority:
			return a.Priority < b.Priority
		case a.surplus && a.CustomerPriority != b.CustomerPriority:
			return a.CustomerPriority < b.CustomerPriority
		}
	}
	return a.effectiveDue.Before(b.effectiveDue)
}

// insert adds an item to the queue, behind those that it does not go before.
func (s *Scheduler) insert(w *queuedItem) {
	i := len(s.queue)
	for i > 0 && s.goesBefore(w, s.queue[i-1]) {
		i--
	}
	s.queue = slices.Insert(s.queue, i, w)
}

// reorder sorts the queue after a change of the priorities.
func (s *Scheduler) reorder() {
	slices.SortStableFunc(s.queue, func(a, b *queuedItem) int {
		switch {
		case s.goesBefore(a, b):
			return -1
		case s.goesBefore(b, a):
			return 1
		}
		return 0
	})
}

// saturated reports whether all members that could run the item have as many statements in flight as they may get. It is cheap, as
// it is called for all of a long queue. Members may have less room than that: see hasRoom.
func (s *Scheduler) saturated(w *queuedItem) bool {
	return !slices.ContainsFunc(s.members, func(m *member) bool {
		return m.Usable && (m.Primary || w.Need == NeedAny) && m.running < s.lessReserve(m.Slots+s.limits.ExtraInFlight, m, w)
	})
}

// replicaUsable reports whether reads have other slots than those of the primary.
func (s *Scheduler) replicaUsable() bool {
	return slices.ContainsFunc(s.members, func(m *member) bool { return m.Usable && !m.Primary })
}

// priorityDelay estimates how long the item waits for a slot: only for the work that goes before it.
func (s *Scheduler) priorityDelay(w *queuedItem, slots, running int, now time.Time) time.Duration {
	var work time.Duration
	own := s.class(w, now)
	replicas := s.replicaUsable()
	for _, q := range s.queue {
		c := s.class(q, now)
		if (q.Need == w.Need || !replicas) && (c < own || c == own && !s.goesBefore(w, q)) {
			work += q.Cost
		}
	}
	// Running statements are half done on average.
	work += time.Duration(running) * w.Cost / 2
	return work / time.Duration(slots)
}

// assignMinimumShare assigns connections to less urgent items that more urgent ones have delayed for long enough.
func (s *Scheduler) assignMinimumShare(now time.Time, p *Plan) {
	if !s.limits.Priorities.differ() {
		return
	}
	for _, need := range []Need{NeedPrimary, NeedAny} {
		i := s.delayedItem(need, now)
		if i < 0 {
			s.delaying[need] = 0
			continue
		}
		cost := s.queue[i].Cost * (minimumShareDivisor - 1)
		if s.delaying[need] < cost {
			continue
		}
		w := s.queue[i]
		w.delayed = true
		if s.assignItem(i, now, p) {
			s.delaying[need] -= cost
			continue
		}
		// Further delay gives no claim to several slots at once, nor to the reserves as one of many items.
		w.delayed, s.delaying[need] = false, cost
	}
}

// dueBefore reports whether a is of an earlier class than b, or due before it in the same one.
func (s *Scheduler) dueBefore(a, b *queuedItem, now time.Time) bool {
	if x, y := s.class(a, now), s.class(b, now); x != y {
		return x < y
	}
	return a.effectiveDue.Before(b.effectiveDue)
}

// delayedItem returns the index of the item that was due first among those that wait behind more urgent ones, or -1.
// Transactions for which members have no connections left wait for those, not for slots.
func (s *Scheduler) delayedItem(need Need, now time.Time) int {
	first, best := -1, -1
	for i, q := range s.queue {
		if q.Need != need || q.surplus {
			continue
		}
		if first < 0 {
			first = i
		}
		if q.Priority == s.queue[first].Priority {
			continue
		}
		if (best < 0 || s.dueBefore(q, s.queue[best], now)) && s.transactionFits(q) {
			best = i
		}
	}
	return best
}

// countDelay adds the work of an item that is assigned while less urgent ones wait for the same slots.
func (s *Scheduler) countDelay(w *queuedItem) {
	for _, q := range slices.Backward(s.queue) {
		if q.surplus {
			continue
		}
		if q.Priority <= w.Priority {
			return
		}
		if q.Need == w.Need {
			s.delaying[w.Need] += w.Cost
			return
		}
	}
}
