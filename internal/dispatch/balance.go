package dispatch

import (
	"math"
	"time"

	"github.com/celerystep/celerystep/internal/balance"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// unansweredAfter is the minimum time after which a statement without an answer counts as a failure of its member.
	unansweredAfter = 300 * time.Millisecond
	// unansweredFactor is the same time as a multiple of the expected cost: one statement in a thousand takes longer.
	unansweredFactor = 10
	// inTimeFactor is the multiple of the expected time that a slow member must have: one statement in 40 takes longer.
	inTimeFactor = 3
	// unansweredInterval is the time between two searches for statements without an answer.
	unansweredInterval = 20 * time.Millisecond
	// maxUnansweredInterval is the longest such time while this process runs: its regular steps are 40 ms apart. After a
	// longer one, answers that arrived meanwhile may not have been read yet.
	maxUnansweredInterval = 200 * time.Millisecond
)

// SetBalancer sets what learns the speed and the failures of the members. Without it all members count as equally good,
// and the first of those with the same expected time gets the statement.
func (s *Scheduler) SetBalancer(b *balance.Balancer) { s.balancer = b }

// updateBalancer tells the balancer the members, and notes whether others send statements to them.
func (s *Scheduler) updateBalancer() {
	s.shared = false
	ids := make([]upstream.MemberID, 0, len(s.members))
	primary := upstream.MemberID("")
	for _, m := range s.members {
		s.shared = s.shared || m.Shared
		ids = append(ids, m.ID)
		if m.Primary {
			primary = m.ID
		}
	}
	if s.balancer != nil {
		s.balancer.SetMembers(ids, primary)
	}
}

// state returns what is known about the member.
func (s *Scheduler) state(m *member, now time.Time) balance.State {
	if s.balancer == nil {
		return balance.State{Slowdown: 1}
	}
	return s.balancer.State(m.ID, now)
}

// States returns what is known about each member.
func (s *Scheduler) States(now time.Time) map[upstream.MemberID]balance.State {
	states := make(map[upstream.MemberID]balance.State, len(s.members))
	for _, m := range s.members {
		states[m.ID] = s.state(m, now)
	}
	return states
}

// Judgements returns the changes of the judgement of members since the last call.
func (s *Scheduler) Judgements() []balance.Change {
	if s.balancer == nil {
		return nil
	}
	return s.balancer.Changes()
}

// pick returns the index of the candidate to take, -1 if there are none.
func (s *Scheduler) pick(list []balance.Candidate) int {
	if s.balancer != nil {
		return s.balancer.Choose(list, s.shared)
	}
	best := -1
	for i, c := range list {
		if best < 0 || c.Expected < list[best].Expected {
			best = i
		}
	}
	return best
}

// alternative reports whether a member other than m may run the item, and is neither failing nor too slow for it.
func (s *Scheduler) alternative(m *member, w *queuedItem, now time.Time) bool {
	for _, other := range s.members {
		if other == m || !s.eligible(other, w, now) {
			continue
		}
		if state := s.state(other, now); !state.Failing && (state.Slowdown <= 1 || inTimeAt(state, w, now)) {
			return true
		}
	}
	return false
}

// balancedLimit returns how many statements may be in flight at the member when the item is one of them. A member that
// is slow or failing is not limited for items that no other one can run.
func (s *Scheduler) balancedLimit(m *member, w *queuedItem, now time.Time) int {
	state := s.state(m, now)
	if state.Slowdown <= 1 && !state.Failing || !s.alternative(m, w, now) {
		return m.Slots + s.limits.ExtraInFlight
	}
	if !inTimeAt(state, w, now) {
		return 0
	}
	return state.Limit(m.Slots, s.limits.ExtraInFlight)
}

// inTimeAt reports whether a member in the state is nearly certain to run the item within the caller's target or, if that
// has passed, within its deadline.
func inTimeAt(state balance.State, w *queuedItem, now time.Time) bool {
	end := w.Due
	if !end.After(now) {
		end = w.Deadline
	}
	return !now.Add(scale(inTimeFactor*w.Cost, state.Slowdown)).After(end)
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// probe returns a member that is slow or failing, with a connection, if the item should test whether it has recovered. Only reads
// that can be repeated at another member in time do so, and no connection is opened for it.
func (s *Scheduler) probe(w *queuedItem, now time.Time) (*member, *conn) {
	if s.balancer == nil || w.Need != NeedAny || w.OpensTransaction || w.Retried || w.Deadline.Sub(now) < 2*unansweredAfter {
		return nil, nil
	}
	for _, m := range s.members {
		if m.Primary || !s.balancer.ProbeDue(m.ID, now) || !s.eligible(m, w, now) || !inTimeAt(s.state(m, now), w, now) {
			continue
		}
		if m.running >= m.Slots+s.limits.ExtraInFlight || !m.withinWarmupRate(now) {
			continue
		}
		if c := m.idleConn(w.Customer); c != nil {
			s.balancer.Probed(m.ID, now)
			return m, c
		}
	}
	return nil, nil
}

// balancedCapacity returns the number of slots of normal members that do the work of the member, and how many of them are
// busy.
func (s *Scheduler) balancedCapacity(m *member, w *queuedItem, now time.Time) (slots, running float64) {
	state := s.state(m, now)
	if state.Failing && s.alternative(m, w, now) {
		return 0, 0
	}
	slots = state.Capacity(m.Slots)
	return slots, float64(m.running) * slots / float64(max(m.Slots, 1))
}

func round(x float64) int { return int(math.Round(x)) }

// ObserveAnswer records how long the member of the connection took for a statement, and returns the time from which its
// cost is to be learned: that of a replica of normal speed. What only the primary runs has no cost elsewhere.
func (s *Scheduler) ObserveAnswer(id ConnID, cost, took time.Duration, now time.Time) time.Duration {
	c := s.conns[id]
	if c == nil || s.balancer == nil {
		return took
	}
	m := c.member
	expected := cost + cost*time.Duration(c.ahead)/time.Duration(max(m.Slots, 1))
	s.balancer.Answered(m.ID, expected, max(took-m.RoundTrip, took/2), now)
	if m.Primary {
		return took
	}
	return scale(took, 1/s.balancer.State(m.ID, now).Slowdown)
}

// ObserveFailedRead records that the member failed a read which a later attempt has run.
func (s *Scheduler) ObserveFailedRead(id upstream.MemberID, now time.Time) {
	if s.balancer != nil && findMember(s.members, id) != nil {
		s.balancer.Failed(id, now)
	}
}

// ObserveFailure records that the member of the connection lost the statement on it or did not answer.
func (s *Scheduler) ObserveFailure(id ConnID, now time.Time) {
	c := s.conns[id]
	if c == nil || s.balancer == nil || c.failureCounted {
		return
	}
	c.failureCounted = true
	s.balancer.Failed(c.member.ID, now)
}

// observeUnanswered records the statements that members leave unanswered, and returns the connections of those that
// should be run elsewhere instead: reads on a replica that is judged failing.
func (s *Scheduler) observeUnanswered(now time.Time) []ConnID {
	elapsed := now.Sub(s.unansweredAt)
	if s.balancer == nil || elapsed < unansweredInterval {
		return nil
	}
	s.unansweredAt = now
	if elapsed > maxUnansweredInterval {
		s.runningSince = now
	}
	var unanswered []*conn
	for _, m := range s.members {
		for _, c := range m.conns {
			if s.unanswered(c, now) {
				s.ObserveFailure(c.id, now)
				unanswered = append(unanswered, c)
			}
		}
	}
	// All members are observed before one is judged, as the cause may be one that they have in common.
	var abandoned []ConnID
	for _, c := range unanswered {
		if c.repeatable && !c.member.Primary && s.state(c.member, now).Failing && s.anotherServes(c.member, now) {
			c.repeatable = false
			abandoned = append(abandoned, c.id)
		}
	}
	return abandoned
}

// anotherServes reports whether a member other than m is usable and not failing.
func (s *Scheduler) anotherServes(m *member, now time.Time) bool {
	for _, other := range s.members {
		if other != m && other.Usable && !s.state(other, now).Failing {
			return true
		}
	}
	return false
}

// unanswered reports whether the statement on the connection takes so long that it counts as failed.
func (s *Scheduler) unanswered(c *conn, now time.Time) bool {
	if c.state != connBusy && c.state != connHeldBusy {
		return false
	}
	since := c.started
	if s.runningSince.After(since) {
		since = s.runningSince
	}
	return now.Sub(since) >= max(unansweredAfter, scale(unansweredFactor*c.cost, s.state(c.member, now).Slowdown))
}
