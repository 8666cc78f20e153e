package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/balance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func pos(lsn int) position.Position { return position.Position{Term: 1, LSN: position.LSN(lsn)} }

func members() []MemberConfig {
	return []MemberConfig{
		{ID: "p", Slots: 3, Primary: true, Usable: true},
		{ID: "r1", Slots: 3, Usable: true},
		{ID: "r2", Slots: 3, Usable: true, RoundTrip: 3 * time.Millisecond},
	}
}

func newScheduler(connections int) *Scheduler {
	s := New(DefaultLimits(connections))
	s.SetBalancer(balance.New(1))
	s.SetMembers(members(), epoch)
	return s
}

func write(customer string, now time.Time) Item {
	return Item{Customer: customer, Need: NeedPrimary, Due: now.Add(150 * time.Millisecond), Deadline: now.Add(800 * time.Millisecond), Cost: 10 * time.Millisecond}
}

func read(customer string, floor position.Position, now time.Time) Item {
	it := write(customer, now)
	it.Need, it.Floor = NeedAny, floor
	return it
}

// submit queues an item and fails the test when it is refused.
func submit(t *testing.T, s *Scheduler, it Item, now time.Time) Ticket {
	t.Helper()
	ticket, refusal := s.Submit(it, now)
	if refusal != nil {
		t.Fatalf("refused: %s", refusal.Reason)
	}
	return ticket
}

// connect opens the requested connections until none are requested, and returns all assignments.
func connect(s *Scheduler, p Plan, now time.Time) []Assignment {
	assigned := p.Assignments
	for len(p.Opens) > 0 {
		for _, o := range p.Opens {
			s.Opened(o.Conn, now)
		}
		p = s.Plan(now)
		assigned = append(assigned, p.Assignments...)
	}
	return assigned
}

func TestOpensAConnectionOfTheCustomer(t *testing.T) {
	is := is.New(t)
	s := newScheduler(21)
	submit(t, s, write("a", epoch), epoch)
	p := s.Plan(epoch)
	is.Equal(len(p.Opens), 1)
	is.Equal(p.Opens[0].Customer, "a")
	is.Equal(p.Opens[0].Member, upstream.MemberID("p"))
	is.Equal(len(s.Plan(epoch).Opens), 0) // one connection is enough
	assigned := connect(s, p, at(12))
	is.Equal(len(assigned), 1)
	s.Done(assigned[0].Conn, false, at(20))
	submit(t, s, write("b", at(20)), at(20))
	p = s.Plan(at(20))
	is.Equal(len(p.Assignments), 0) // a's connection is not b's
	is.Equal(p.Opens[0].Customer, "b")
}

func TestReadsGoToReplicasThatHoldTheFloor(t *testing.T) {
	is := is.New(t)
	s := newScheduler(21)
	s.Observe("p", pos(10), epoch)
	s.Observe("r1", pos(4), epoch)
	s.Observe("r2", pos(9), epoch)
	submit(t, s, read("a", pos(8), epoch), epoch)
	assigned := connect(s, s.Plan(epoch), epoch)
	is.Equal(assigned[0].Member, upstream.MemberID("r2")) // r1 is in the same domain, but has not reached the floor
	submit(t, s, read("a", pos(10), epoch), epoch)
	assigned = connect(s, s.Plan(epoch), epoch)
	is.Equal(assigned[0].Member, upstream.MemberID("p")) // no replica holds it
}

func TestOneStatementAtATimeTriesALaggingReplica(t *testing.T) {
	is := is.New(t)
	s := newScheduler(21)
	s.SetMembers(members()[:2], epoch)
	s.Observe("r1", pos(4), epoch)
	later := at(int(lagRetryInterval.Milliseconds()) + 1)
	for range 4 {
		submit(t, s, read("a", pos(8), later), later)
	}
	onReplica := 0
	for _, a := range connect(s, s.Plan(later), later) {
		if a.Member == "r1" {
			onReplica++
		}
	}
	is.Equal(onReplica, 1)
}

func TestFewStatementsAreInFlight(t *testing.T) {
	is := is.New(t)
	s := newScheduler(21)
	running := 0
	for range 10 {
		submit(t, s, write("a", epoch), epoch)
	}
	for range 20 {
		running += len(connect(s, s.Plan(epoch), epoch))
	}
	is.Equal(running, 4) // three slots and one statement that hides the network delay
	is.Equal(s.Len(), 6)
}

func TestDueTimeOrdersTheQueue(t *testing.T) {
	is := is.New(t)
	s := newScheduler(21)
	late := write("a", epoch)
	late.Due = epoch.Add(-time.Millisecond)
	relaxed := write("a", epoch)
	relaxed.Due = at(500)
	s.limits.ExtraInFlight = -2 // one at a time
	lateTicket := submit(t, s, late, epoch)
	relaxedTicket := submit(t, s, relaxed, epoch)
	urgentTicket := submit(t, s, write("a", epoch), epoch)
	var order []Ticket
	for range 6 {
		for _, a := range connect(s, s.Plan(epoch), epoch) {
			order = append(order, a.Ticket)
			s.Done(a.Conn, false, epoch)
		}
	}
	is.Equal(order, []Ticket{urgentTicket, relaxedTicket, lateTicket}) // late statements go last
}

func TestAnIdleConnectionIsEvicted(t *testing.T) {
	is := is.New(t)
	s := newScheduler(2) // one connection to a member
	submit(t, s, write("a", epoch), epoch)
	a := connect(s, s.Plan(epoch), epoch)[0]
	submit(t, s, write("b", epoch), epoch)
	is.Equal(len(s.Plan(epoch).Opens), 0) // the only connection is in use
	s.Done(a.Conn, false, at(10))
	p := s.Plan(at(10 + int(minEvictIdle.Milliseconds())))
	is.Equal(p.Closes, []ConnID{a.Conn})
	is.Equal(p.Opens[0].Customer, "b")
}

func TestTransactionsLeaveConnectionsForOthers(t *testing.T) {
	is := is.New(t)
	s := newScheduler(11) // ten connections to a member, of which seven may be held
	held := 0
	now := epoch
	for range 20 {
		it := write("a", now)
		it.OpensTransaction = true
		if _, refusal := s.Submit(it, now); refusal != nil {
			break
		}
		for _, a := range connect(s, s.Plan(now), now) {
			held++
			s.Done(a.Conn, true, now)
		}
	}
	is.Equal(held, 7)
	submit(t, s, write("a", now), now)
	is.Equal(len(connect(s, s.Plan(now), now)), 1)
}

func TestStatementsOfTransactionsDoNotWait(t *testing.T) {
	is := is.New(t)
	s := newScheduler(21)
	it := write("a", epoch)
	it.OpensTransaction = true
	submit(t, s, it, epoch)
	a := connect(s, s.Plan(epoch), epoch)[0]
	s.Done(a.Conn, true, epoch)
	s.Resume(a.Conn, epoch)
	is.Equal(findMember(s.members, "p").running, 1)
	s.Done(a.Conn, false, at(5))
	is.Equal(findMember(s.members, "p").running, 0)
	is.Equal(findMember(s.members, "p").heldConns, 0)
}

func TestRefusesWithoutAMember(t *testing.T) {
	is := is.New(t)
	s := newScheduler(21)
	s.SetMembers(members()[1:], epoch)
	_, refusal := s.Submit(write("a", epoch), epoch)
	is.True(refusal != nil)
	is.Equal(refusal.Reason, ReasonNoMember)
	s.SetPrimaryExpected(at(600))
	_, refusal = s.Submit(write("a", epoch), epoch)
	is.Equal(refusal.After, 600*time.Millisecond) // when a primary is expected
	s.SetPrimaryExpected(at(50))
	submit(t, s, write("a", epoch), epoch) // in time for the caller
}

// Guards against statements that wait until their deadline after all suitable members have become unavailable: they are
// refused immediately unless a primary is expected in time.
func TestQueuedStatementsAreRefusedWhenNoMemberCanServeThem(t *testing.T) {
	is := is.New(t)
	s := newScheduler(21)
	ticket := submit(t, s, write("a", epoch), epoch)
	reader := submit(t, s, read("a", pos(5), epoch), epoch)
	unavailable := members()
	unavailable[0].Usable, unavailable[0].Primary = false, false
	s.SetMembers(unavailable, at(10))
	s.SetPrimaryExpected(at(600))
	is.Equal(len(s.Plan(at(10)).Expired), 0) // the deadline is at 800 ms
	s.SetPrimaryExpected(time.Time{})
	p := s.Plan(at(100))
	is.Equal(len(p.Expired), 1)
	is.Equal(p.Expired[0].Ticket, ticket)
	is.Equal(p.Expired[0].Refusal.Reason, ReasonNoMember)
	is.True(p.Expired[0].Refusal.After > 0)
	unavailable[1].Usable, unavailable[2].Usable = false, false // now the replicas as well
	s.SetMembers(unavailable, at(110))
	is.Equal(s.Plan(at(110)).Expired[0].Ticket, reader)
}

func TestDeadlinesEndTheWait(t *testing.T) {
	is := is.New(t)
	s := newScheduler(21)
	ticket := submit(t, s, write("a", epoch), epoch)
	p := s.Plan(at(800))
	is.Equal(p.Expired[0].Ticket, ticket)
	is.Equal(s.Len(), 0)
	is.True(!s.Cancel(ticket))
}

func TestMembersThatLeaveAreNotUsed(t *testing.T) {
	is := is.New(t)
	s := newScheduler(21)
	submit(t, s, read("a", position.Position{}, epoch), epoch)
	a := connect(s, s.Plan(epoch), epoch)[0]
	s.Done(a.Conn, false, epoch)
	list := members()
	for i := range list {
		list[i].Usable = list[i].ID != a.Member
	}
	s.SetMembers(list, epoch)
	is.Equal(s.Plan(epoch).Closes, []ConnID{a.Conn})
	submit(t, s, read("a", position.Position{}, epoch), epoch)
	is.True(connect(s, s.Plan(epoch), epoch)[0].Member != a.Member)
}

func TestTrimToLimitClosesTheLongestIdle(t *testing.T) {
	is := is.New(t)
	s := newScheduler(21)
	var conns []ConnID
	for i, customer := range []string{"a", "b", "c"} {
		submit(t, s, write(customer, at(i)), at(i))
		a := connect(s, s.Plan(at(i)), at(i))[0]
		s.Done(a.Conn, false, at(i))
		conns = append(conns, a.Conn)
	}
	s.limits.Connections = 1
	s.TrimToLimit()
	is.Equal(s.Plan(at(3)).Closes, conns[:2])
}

// Guards against idle connections that use up the members' limit: members keep the connections of an owner that lost
// power for seconds, and the next owner needs room.
func TestIdleConnectionsLeaveRoomForAnotherOwner(t *testing.T) {
	is := is.New(t)
	s := newScheduler(6)
	is.Equal(s.limits.Connections, 5)
	var held []ConnID
	for i, customer := range []string{"a", "b", "c", "d", "e"} {
		it := write(customer, at(i))
		submit(t, s, it, at(i))
		held = append(held, connect(s, s.Plan(at(i)), at(i))[0].Conn)
		s.Done(held[i], false, at(i))
	}
	s.CloseExpiredIdle(at(100))
	is.Equal(len(s.Plan(at(100)).Closes), 0) // they may be needed again soon
	s.CloseExpiredIdle(at(3000))
	is.Equal(s.Plan(at(3000)).Closes, held[:2]) // those that were idle for longest
	s.CloseExpiredIdle(at(9000))
	is.Equal(len(s.Plan(at(9000)).Closes), 0) // half of the limit stays
}

func TestAMemberThatWarmsUpIsRateLimited(t *testing.T) {
	is := is.New(t)
	s := newScheduler(21)
	list := members()[:2]
	list[1].WarmupRate = 10
	s.SetMembers(list, epoch)
	for _, o := range s.Prewarm([]string{"a"}, epoch) {
		s.Opened(o.Conn, epoch)
	}
	cold := 0
	for ms := 0; ms < 1000; ms += 5 {
		submit(t, s, read("a", position.Position{}, at(ms)), at(ms))
		for _, a := range connect(s, s.Plan(at(ms)), at(ms)) {
			if a.Member == "r1" {
				cold++
			}
			s.Done(a.Conn, false, at(ms))
		}
	}
	is.True(cold <= 11)
	is.True(cold >= 5)
}
