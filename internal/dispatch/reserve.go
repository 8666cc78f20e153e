package dispatch

// reservedConnectionPercent is the percentage of a member's connections that only transactions of the most urgent statements
// may hold, beside Limits.TransactionPercent.
const reservedConnectionPercent = 10

// lessUrgent reports whether an item must leave the reserves for the most urgent ones: also one beyond its customer's share.
func (s *Scheduler) lessUrgent(w *queuedItem) bool {
	return s.limits.Priorities.differ() && (w.Priority > s.limits.Priorities.Highest || w.surplus) && !w.delayed
}

// reservedSlots returns how many statements in flight at the member are kept available for more urgent items.
func (s *Scheduler) reservedSlots(m *member, w *queuedItem) int {
	if m.Primary && w.Need == NeedPrimary && s.lessUrgent(w) {
		return 1
	}
	return 0
}

// transactionPercent returns the percentage of a member's connections that may be held when the item opens a transaction.
func (s *Scheduler) transactionPercent(w *queuedItem) int {
	if s.lessUrgent(w) {
		return s.limits.TransactionPercent - reservedConnectionPercent
	}
	return s.limits.TransactionPercent
}

// mayOpen reports whether another connection of the item's customer to the member can be of use: no more statements than
// slots allow are in flight. Further connections would take room from other customers.
func (s *Scheduler) mayOpen(m *member, w *queuedItem) bool {
	if !s.limits.Priorities.differ() {
		return true
	}
	usable := 0
	for _, c := range m.conns {
		if c.customer == w.Customer && !c.inTransaction() {
			usable++
		}
	}
	return usable < m.Slots+s.limits.ExtraInFlight
}
