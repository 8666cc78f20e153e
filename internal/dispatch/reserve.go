package dispatch

// reservedConnectionPercent is the percentage of a member's connections that only transactions of the most urgent statements
// may hold, beside Limits.TransactionPercent.
const reservedConnectionPercent = 10

// lessUrgent reports whether an item must leave the reserves for the most urgent ones: also one beyond its customer's share.
func (s *Scheduler) lessUrgent(w *queuedItem) bool {
	return s.limits.Priorities.differ() && (w.Priority > s.limits.Priorities.Highest || w.surplus) && !w.delayed
}

// lessReserve returns how many statements may be in flight at the member for the item, given the limit for the most urgent ones.
func (s *Scheduler) lessReserve(limit int, m *member, w *queuedItem) int {
	if m.Primary && s.lessUrgent(w) {
		return max(limit-1, 1)
	}
	return limit
}

// transactionPercent returns the percentage of a member's connections that may be held when the item opens a transaction.
func (s *Scheduler) transactionPercent(w *queuedItem) int {
	if s.lessUrgent(w) {
		return s.limits.TransactionPercent - reservedConnectionPercent
	}
	return s.limits.TransactionPercent
}
