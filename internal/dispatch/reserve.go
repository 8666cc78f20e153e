package dispatch

import "slices"

// reservedConnectionPercent is the percentage of a member's connections that only transactions of the most urgent statements
// may hold, beside Limits.TransactionPercent.
const reservedConnectionPercent = 10

// lessUrgent reports whether an item must leave the reserves for the most urgent ones: also one beyond its customer's share.
func (s *Scheduler) lessUrgent(w *queuedItem) bool {
	return s.limits.Priorities.differ() && (w.Priority > s.limits.Priorities.Highest || w.surplus)
}

// lessReserve returns how many statements may be in flight at the member for the item, given the limit for the most urgent ones.
func (s *Scheduler) lessReserve(limit int, m *member, w *queuedItem) int {
	if m.Primary && s.lessUrgent(w) && !w.delayed {
		return max(limit-1, 1)
	}
	return limit
}

// transactionRoom reports whether another of the member's connections may be held by a transaction. Where priorities differ, those
// of one customer hold at most half of the connections that transactions may hold.
func (s *Scheduler) transactionRoom(m *member, w *queuedItem) bool {
	percent := s.limits.TransactionPercent
	if s.lessUrgent(w) {
		percent -= reservedConnectionPercent
	}
	if !s.heldBelow(m, percent) {
		return false
	}
	return !s.limits.Priorities.differ() || m.heldBy(w.Customer)*200 < s.allowance(m)*percent
}

// heldBelow reports whether transactions hold less than the percentage of the connections that the member may have.
func (s *Scheduler) heldBelow(m *member, percent int) bool {
	return m.heldConns*100 < s.allowance(m)*percent
}

// transactionFits reports whether the item opens no transaction or a member has room for one.
func (s *Scheduler) transactionFits(w *queuedItem) bool {
	return !w.OpensTransaction || slices.ContainsFunc(s.members, func(m *member) bool {
		return m.Usable && (m.Primary || w.Need == NeedAny) && s.transactionRoom(m, w)
	})
}

// heldBy returns the number of connections that the customer's transactions hold.
func (m *member) heldBy(customer string) int {
	n := 0
	for _, c := range m.conns {
		if c.customer == customer && c.inTransaction() {
			n++
		}
	}
	return n
}
