package dispatch

import "time"

// submitPrioritized queues an item where priorities differ. It refuses the item only if it could not be served before its
// deadline: a caller that is refused comes back to the same queue with a target that has begun anew, and uses up an attempt.
func (s *Scheduler) submitPrioritized(w *queuedItem, now time.Time) *Refusal {
	s.share(w, now)
	if r := s.refusePrioritized(w, now); r != nil {
		return r
	}
	s.shares[w.Need].charge(w)
	return nil
}

// refusePrioritized returns a refusal when the item could not be served before its deadline, or finds no room in the queue.
func (s *Scheduler) refusePrioritized(w *queuedItem, now time.Time) *Refusal {
	slots, running, free := s.capacity(w, now)
	if free {
		return nil
	}
	var untilPrimary time.Duration
	if slots == 0 {
		if !s.primaryInTime(w, now) {
			return s.newRefusal(ReasonNoMember, w, s.memberRetryAfter(now), 0, now)
		}
		slots, untilPrimary = s.expectedSlots(w.Need), s.primaryExpected.Sub(now)
	}
	delay := untilPrimary + s.priorityDelay(w, slots, running, now)
	maxDelay, reason := s.maxDelay(w, now)
	if delay > maxDelay && !w.Retried {
		return s.newRefusal(reason, w, delay-maxDelay, delay, now)
	}
	if len(s.queue) >= s.limits.QueueLength && !s.displace(w, now) {
		return s.newRefusal(ReasonQueueFull, w, delay, delay, now)
	}
	return nil
}

// maxDelay returns the longest wait for which the item is queued, and the reason to refuse a longer one: until its deadline, or
// until its target for what a customer sends beyond its share, which would fill the queue with work that is late.
func (s *Scheduler) maxDelay(w *queuedItem, now time.Time) (time.Duration, Reason) {
	if w.surplus {
		return w.latestStart.Sub(now), ReasonOverShare
	}
	return latestStart(w.Deadline, w.Cost, now).Sub(now), ReasonQueueTooLong
}

// primaryInTime reports whether a primary is expected before the item's deadline.
func (s *Scheduler) primaryInTime(w *queuedItem, now time.Time) bool {
	return s.primaryExpected.After(now) && s.primaryExpected.Add(w.Cost).Before(w.Deadline)
}

// newRefusal returns a refusal with a retry time after the given delay.
func (s *Scheduler) newRefusal(reason Reason, w *queuedItem, soonest, wait time.Duration, now time.Time) *Refusal {
	return &Refusal{Reason: reason, After: s.scheduleRetry(w, soonest, now), ExpectedWait: wait, QueueLength: len(s.queue)}
}

// displace removes the last item of a full queue that was not attempted before, if the new item goes before it.
func (s *Scheduler) displace(w *queuedItem, now time.Time) bool {
	last := -1
	for i, q := range s.queue {
		if !q.Retried && (last < 0 || s.class(q, now) >= s.class(s.queue[last], now)) {
			last = i
		}
	}
	if last < 0 {
		return false
	}
	q := s.queue[last]
	if c := s.class(w, now); c > s.class(q, now) || c == s.class(q, now) && !s.goesBefore(w, q) {
		return false
	}
	s.remove(last)
	s.displaced = append(s.displaced, Expired{Ticket: q.ticket, Refusal: *s.newRefusal(ReasonShed, q, q.Cost, now.Sub(q.since), now)})
	return true
}

// shed removes the items that could not start before their deadline because of the work that goes before them, the least
// urgent first. An item that nothing goes before stays even if its expected cost exceeds the time that is left: costs are only
// learned from statements that run. An item that a member may have begun stays too: a refusal would say that nothing ran.
func (s *Scheduler) shed(now time.Time, p *Plan) {
	p.Expired, s.displaced = append(p.Expired, s.displaced...), nil
	if !s.limits.Priorities.differ() || len(s.queue) == 0 {
		return
	}
	slots, replicas := s.usableSlots(), s.replicaUsable()
	var work [2]time.Duration
	for c := range numClasses {
		for i := 0; i < len(s.queue); {
			w := s.queue[i]
			if s.class(w, now) != c || slots[w.Need] == 0 {
				i++
				continue
			}
			ahead := work[w.Need]
			if !replicas {
				ahead = work[NeedPrimary] + work[NeedAny]
			}
			wait := ahead / time.Duration(slots[w.Need])
			if excess := wait + w.Cost - w.Deadline.Sub(now); ahead > 0 && excess > 0 && !w.Retried {
				s.remove(i)
				p.Expired = append(p.Expired, Expired{Ticket: w.ticket, Refusal: *s.newRefusal(ReasonShed, w, excess, wait, now)})
				continue
			}
			work[w.Need] += w.Cost
			i++
		}
	}
}

// usableSlots returns the slots that items of each need wait for.
func (s *Scheduler) usableSlots() (slots [2]int) {
	for _, m := range s.members {
		switch {
		case !m.Usable:
		case m.Primary:
			slots[NeedPrimary] += m.Slots
		default:
			slots[NeedAny] += m.Slots
		}
	}
	if slots[NeedAny] == 0 {
		slots[NeedAny] = slots[NeedPrimary]
	}
	return slots
}
