package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against less urgent statements that wait until their deadline although urgent ones leave no time for them, and
// against urgent statements that a full queue refuses.
func TestUrgentStatementsShedLessUrgentOnes(t *testing.T) {
	for _, c := range []struct {
		name                string
		queueLength, urgent int
	}{
		{"no time before the deadline", 400, 250},
		{"no room in the queue", 100, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := prioritized(21)
			s.limits.QueueLength = c.queueLength
			lessUrgent := submit(t, s, prioritizedWrite(2, epoch), epoch) // its deadline is at 800 ms
			for range c.urgent {                                          // 3.3 ms of all slots each
				it := prioritizedWrite(0, epoch)
				it.Due, it.Deadline = at(4000), at(8000)
				submit(t, s, it, epoch)
			}
			expired := s.Plan(epoch).Expired
			is.Equal(len(expired), 1)
			is.Equal(expired[0].Ticket, lessUrgent)
			is.Equal(expired[0].Refusal.Reason, ReasonShed)
			is.True(expired[0].Refusal.After > 0)
		})
	}
}

// Guards against a customer that fills the queue with late statements while others wait; alone, it may use all slots.
func TestStatementsBeyondTheShareAreRefusedWhileOthersWait(t *testing.T) {
	for _, others := range []bool{false, true} {
		t.Run(fmt.Sprint("others wait: ", others), func(t *testing.T) {
			is := is.New(t)
			s := prioritized(21)
			if others {
				it := prioritizedWrite(2, epoch)
				it.Customer = "b"
				submit(t, s, it, epoch)
			}
			var refusal *Refusal
			for range 120 { // 400 ms of work for three slots; the target is 150 ms, the deadline 800 ms
				if _, refusal = s.Submit(prioritizedWrite(0, epoch), epoch); refusal != nil {
					break
				}
			}
			is.Equal(refusal != nil, others)
			if others {
				is.Equal(refusal.Reason, ReasonOverShare)
			}
		})
	}
}

// Guards against rejected callers that all come back at the same time, and before more urgent ones.
func TestRetriesAreSpreadInOrderOfPriority(t *testing.T) {
	is := is.New(t)
	s := prioritized(21)
	s.SetMembers(members()[1:], epoch)
	var after []time.Duration
	for _, priority := range []int{1, 1, 0, 2} {
		_, refusal := s.Submit(prioritizedWrite(priority, epoch), epoch)
		is.Equal(refusal.Reason, ReasonNoMember)
		after = append(after, refusal.After)
	}
	step := 10 * time.Millisecond / 3 // the statements run in three slots
	is.Equal(after, []time.Duration{noMemberRetryAfter, noMemberRetryAfter + step, noMemberRetryAfter, noMemberRetryAfter + 2*step})
}

// Guards against a route that is never served again once its expected cost exceeds its deadline.
func TestACostlyStatementUsesAFreeSlot(t *testing.T) {
	is := is.New(t)
	s := prioritized(21)
	for range 2 {
		it := prioritizedWrite(1, epoch)
		it.Cost, it.Deadline = 2*time.Second, at(800)
		ticket := submit(t, s, it, epoch)
		assigned := connect(s, s.Plan(epoch), epoch)
		is.Equal(len(assigned), 1)
		is.Equal(assigned[0].Ticket, ticket)
	}
}

// Guards against retry times that grow without bound by the retries of callers who have given up.
func TestRetryTimesDoNotExceedTheDeadline(t *testing.T) {
	is := is.New(t)
	s := prioritized(21)
	s.SetMembers(members()[1:], epoch)
	for range 1000 { // 3.3 s of work
		it := prioritizedWrite(0, epoch)
		_, refusal := s.Submit(it, epoch)
		is.True(refusal.After <= it.Deadline.Sub(epoch)+it.Cost)
	}
}

// Guards against statements that wait for a primary although the work before them then takes until their deadline.
func TestTheWaitIncludesTheTimeUntilAPrimary(t *testing.T) {
	is := is.New(t)
	s := prioritized(21)
	s.SetMembers(members()[1:], epoch)
	s.SetPrimaryExpected(at(500))
	var refusal *Refusal
	queued := 0
	for ; queued < 100; queued++ { // 3.3 ms of all slots each; the deadline is at 800 ms
		if _, refusal = s.Submit(prioritizedWrite(0, epoch), epoch); refusal != nil {
			break
		}
	}
	is.True(refusal != nil)
	is.Equal(refusal.Reason, ReasonQueueTooLong)
	is.True(queued > 0)
	is.True(refusal.ExpectedWait > 500*time.Millisecond)
}

// Guards against refusals of statements that a member may have begun to run: a refusal says that nothing ran.
func TestStatementsAttemptedBeforeAreNotShed(t *testing.T) {
	for _, queueLength := range []int{400, 100} { // no time before the deadline, no room in the queue
		is := is.New(t)
		s := prioritized(21)
		s.limits.QueueLength = queueLength
		attempted := prioritizedWrite(2, epoch)
		attempted.Retried = true
		ticket := submit(t, s, attempted, epoch)
		for range queueLength - 1 {
			it := prioritizedWrite(0, epoch)
			it.Due, it.Deadline = at(4000), at(8000)
			submit(t, s, it, epoch)
		}
		_, _ = s.Submit(prioritizedWrite(0, epoch), epoch)
		for _, e := range s.Plan(epoch).Expired {
			is.True(e.Ticket != ticket)
		}
	}
}
