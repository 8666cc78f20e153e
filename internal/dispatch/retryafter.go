package dispatch

import "time"

// retrySchedule holds, by priority, until when the capacity is taken by the retries of refused statements.
type retrySchedule map[int]time.Time

// scheduleRetry returns the retry delay for a refused item: at least the given delay, and after the retries of items of the
// same or a higher priority that were refused before, so that a burst of retries is spread over the capacity.
func (s *Scheduler) scheduleRetry(w *queuedItem, soonest time.Duration, now time.Time) time.Duration {
	schedule := s.retries[w.Need]
	at := now.Add(max(soonest, minRetryAfter))
	for priority, until := range schedule {
		switch {
		case !until.After(now):
			delete(schedule, priority)
		case priority <= w.Priority && until.After(at):
			at = until
		}
	}
	// A caller whose deadline is earlier does not come back, and needs no capacity.
	if at.Before(w.Deadline) {
		schedule[w.Priority] = at.Add(w.Cost / time.Duration(s.expectedSlots(w.Need)))
	}
	return at.Sub(now)
}

// expectedSlots returns the slots that will run statements with the need: those of one member while none is usable.
func (s *Scheduler) expectedSlots(need Need) int {
	if slots := s.usableSlots()[need]; slots > 0 {
		return slots
	}
	slots := 1
	for _, m := range s.members {
		slots = max(slots, m.Slots)
	}
	return slots
}
