package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/upstream"
)

// worstToMean is the highest permitted utilization of a member in relation to the mean of its kind.
const worstToMean = 1.25

// beforeAndAfter simulates the same load without and with a balancer.
func beforeAndAfter(t *testing.T, simulate func(balanced bool) *fleetSimulation) (before, after *fleetSimulation) {
	t.Helper()
	before, after = simulate(false), simulate(true)
	t.Log("utilization: before", before.perMember(0, 25), "after", after.perMember(0, 25))
	t.Log("before:", before)
	t.Log("after: ", after)
	return before, after
}

// Guards against a busiest member at twice the mean load because ties go to the first in order, and against connections
// opened for the sake of evenness.
func TestOneChooserSpreadsLoadEvenly(t *testing.T) {
	for _, perSecond := range []float64{100, 250} { // 17 % and 44 % of the replicas' slots
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			is := is.New(t)
			before, after := beforeAndAfter(t, func(balanced bool) *fleetSimulation {
				f := newFleet(1, 1, 0, balanced, 4, 4, 4)
				f.arrive(perSecond, 14*time.Millisecond, 30_000)
				f.run(30_000)
				return f
			})
			t.Logf("worst to mean: before %.2f, after %.2f", before.worst(0, 30, 1, 2), after.worst(0, 30, 1, 2))
			is.True(after.worst(0, 30, 1, 2) <= worstToMean)
			is.True(after.opens <= before.opens)
			is.True(after.lost() <= before.lost())
		})
	}
}

// Guards against herding of choosers whose knowledge is up to two seconds old: members overloaded in turn, or one that is
// overloaded because it is slower or smaller than the others.
func TestManyChoosersOfUnevenMembers(t *testing.T) {
	is := is.New(t)
	replicas := []int{1, 2, 3, 4}
	before, after := beforeAndAfter(t, func(balanced bool) *fleetSimulation {
		f := newFleet(2, 12, 2*time.Second, balanced, 4, 4, 4, 8, 2)
		f.members[1].slowdown = always(1.5)
		f.arrive(55, 14*time.Millisecond, 30_000) // about half of the replicas' slots
		f.run(30_000)
		return f
	})
	t.Logf("worst to mean: before %.2f, after %.2f", before.worst(2, 30, replicas...), after.worst(2, 30, replicas...))
	is.True(after.worst(2, 30, replicas...) <= worstToMean)
	for s := 2; s < 30; s += 2 {
		is.True(after.worst(s, s+2, replicas...) <= 2*worstToMean) // no oscillation
		for _, m := range replicas {
			is.True(after.utilization(s, s+2, m) <= 1) // none is overloaded
		}
	}
	is.True(after.opens <= before.opens)
	is.True(after.lost() <= before.lost())
}

// Guards against a member five times slower that keeps its share, and against one that has recovered and does not get
// it back within two seconds.
func TestASlowMemberKeepsWhatItServesInTime(t *testing.T) {
	is := is.New(t)
	var opens, lost int
	for seed := range uint64(3) {
		before, after := beforeAndAfter(t, func(balanced bool) *fleetSimulation {
			f := newFleet(3+seed, 1, 0, balanced, 4, 4, 4)
			f.members[1].slowdown = during(5000, 15_000, 5, 1)
			f.arrive(250, 14*time.Millisecond, 25_000)
			f.run(25_000)
			return f
		})
		r1, r2 := after.members[1], after.members[2]
		t.Logf("statements at the slow member in 10 s: before %d, after %d", sum(before.members[1].began, 5, 15), sum(r1.began, 5, 15))
		is.True(after.late*100 <= after.inTime)
		is.True(after.utilization(6, 15, 1) <= 1)                 // no queue builds up
		is.True(sum(r1.began, 6, 15)*100 >= sum(r2.began, 6, 15)) // it is still tested
		is.True(after.worst(17, 25, 1, 2) <= worstToMean)         // its share is back after two seconds
		opens += after.opens - before.opens
		lost += after.lost() - before.lost()
	}
	is.True(opens <= 0)
	is.True(lost <= 0)
}

// Guards against a member that fails or hangs 45 % of its statements and keeps its share, and against reads that wait for
// it until their deadline.
func TestAFailingMemberGetsFewStatements(t *testing.T) {
	for _, c := range []struct {
		hangs bool
		// even is the second from which the load is even again. Connections on which statements hung are closed, and
		// prewarming opens two a second.
		even int
	}{{false, 17}, {true, 20}} {
		t.Run(fmt.Sprintf("hangs %t", c.hangs), func(t *testing.T) {
			is := is.New(t)
			before, after := beforeAndAfter(t, func(balanced bool) *fleetSimulation {
				f := newFleet(4, 1, 0, balanced, 4, 4, 4)
				fault := during(5000, 15_000, 0.45, 0)
				if c.hangs {
					f.members[1].hanging = fault
				} else {
					f.members[1].failing = fault
				}
				f.arrive(200, 14*time.Millisecond, 25_000)
				f.run(25_000)
				return f
			})
			r1, r2 := after.members[1], after.members[2]
			t.Logf("lost statements: before %d, after %d", sum(before.members[1].lost, 5, 15), sum(r1.lost, 5, 15))
			t.Logf("worst to mean after the fault: %.2f", after.worst(c.even, 25, 1, 2))
			is.True(sum(r1.began, 6, 15)*10 <= sum(r2.began, 6, 15))
			is.True(after.failed*200 <= after.inTime) // less than 0.5 %
			is.True(after.lost() <= before.lost())
			is.True(after.worst(c.even, 25, 1, 2) <= worstToMean)
			is.True(after.opens <= before.opens)
		})
	}
}

// Guards against overload of a member that joins cold, of those that remain when one leaves, and of one that flaps. Each
// member takes each role, as without a balancer the order of the members decides.
func TestMembersThatJoinLeaveAndFlap(t *testing.T) {
	is := is.New(t)
	var opensBefore, opensAfter, lostBefore, lostAfter int
	for turn := range 3 {
		before, after := beforeAndAfter(t, func(balanced bool) *fleetSimulation { return joinLeaveAndFlap(balanced, turn) })
		t.Logf("worst to mean: before %.2f, after %.2f", before.worst(10, 16, 1, 2, 3), after.worst(10, 16, 1, 2, 3))
		is.True(after.worst(10, 16, 1, 2, 3) <= worstToMean)
		opensBefore, opensAfter = opensBefore+before.opens, opensAfter+after.opens
		lostBefore, lostAfter = lostBefore+before.lost(), lostAfter+after.lost()
	}
	is.True(lostAfter <= lostBefore)
	is.True(opensAfter <= opensBefore)
}

// joinLeaveAndFlap simulates a member that joins cold after 5 s, one that leaves after 16 s and one that flaps from 19 s on.
func joinLeaveAndFlap(balanced bool, turn int) *fleetSimulation {
	f := newFleet(5, 8, time.Second, balanced, 4, 4, 4, 4)
	joins, leaves, flaps := 1+turn, 1+(turn+1)%3, 1+(turn+2)%3
	f.members[joins].slowdown = during(5000, 8000, 3, 1)
	f.setUsable(joins, 0, false)
	f.setUsable(joins, 5000, true)
	f.setUsable(leaves, 16_000, false)
	for ms := 19_000; ms < 29_000; ms += 2800 {
		f.kill(flaps, ms, ms+1400)
	}
	f.arrive(45, 14*time.Millisecond, 29_000)
	f.run(29_000)
	return f
}

// Guards against writes that a slow primary's limit keeps waiting, as no other member can run them, and against
// refusals that assume its usual speed.
func TestASlowPrimaryIsOnlyExpectedToTakeLonger(t *testing.T) {
	is := is.New(t)
	s := newScheduler(21)
	slots, _, _ := s.capacity(&queuedItem{Item: write("a", epoch)}, epoch)
	is.Equal(slots, 3)
	for range 20 {
		s.balancer.Answered("p", 10*time.Millisecond, 50*time.Millisecond, epoch)
	}
	w := &queuedItem{Item: write("a", epoch)}
	slots, _, _ = s.capacity(w, epoch)
	is.Equal(slots, 1)
	is.Equal(s.balancedLimit(s.members[0], w, epoch), 4)
}

// Guards against a replica that is slow from the start and is never noticed, as the expected cost is learned from it too.
func TestAMemberThatIsSlowFromTheStartIsNoticed(t *testing.T) {
	is := is.New(t)
	for _, cost := range []time.Duration{4500 * time.Microsecond, 14 * time.Millisecond, 34 * time.Millisecond} {
		f := newFleet(6, 1, 0, true, 4, 4, 4)
		f.members[1].slowdown = always(5)
		f.arrive(2/cost.Seconds(), cost, 5000) // a quarter of the replicas' slots
		c, learned := f.choosers[0], time.Duration(0)
		for ms := 1000; ms < 5000; ms += 100 {
			f.after(nil, at(ms), func() { learned += c.cost / 40 })
		}
		f.run(5000)
		slow, normal := sum(f.members[1].began, 1, 5), sum(f.members[2].began, 1, 5)
		t.Log(f, "mean cost", learned, "statements", slow, normal)
		is.True(learned >= cost*2/3 && learned <= cost*3/2)
		is.True(slow*2 <= normal)
	}
}

// Guards against reads that a slow replica gets although it cannot run them in time.
func TestASlowReplicaGetsNoReadThatItServesLate(t *testing.T) {
	is := is.New(t)
	s := newScheduler(21)
	for range 20 {
		s.balancer.Answered("r1", 10*time.Millisecond, 50*time.Millisecond, epoch)
		s.balancer.Answered("r2", 10*time.Millisecond, 10*time.Millisecond, epoch)
	}
	w := &queuedItem{Item: read("a", pos(0), epoch)}
	w.Due = at(100)
	is.Equal(s.balancedLimit(s.members[1], w, epoch), 0)
	w.Due = at(250)
	is.Equal(s.balancedLimit(s.members[1], w, epoch), 2) // of three slots
	w.Due = at(-1)
	is.Equal(s.balancedLimit(s.members[1], w, epoch), 2) // late, but before its deadline
}

// Guards against connections that evict those of others although another member has room for one.
func TestConnectionsAreOpenedWhereNoneIsEvicted(t *testing.T) {
	is := is.New(t)
	s := newScheduler(3) // two connections to a member
	for range 2 {
		o, _ := s.open(s.members[1], "a", epoch)
		s.Opened(o.Conn, epoch)
	}
	for range 2 { // r2 is farther away and busier
		o, _ := s.open(s.members[2], "b", epoch)
		s.Opened(o.Conn, epoch)
		s.members[2].running++
	}
	s.removeConn(s.members[2].conns[0])
	submit(t, s, read("c", pos(0), at(100)), at(100))
	p := s.Plan(at(100))
	is.Equal(p.Opens[0].Member, upstream.MemberID("r2"))
	is.Equal(len(p.Closes), 0)
}

// startReads starts a read of each of n customers on the member.
func startReads(s *Scheduler, m *member, n int, now time.Time) {
	for i := range n {
		w := &queuedItem{Item: read(fmt.Sprint(m.ID, i), pos(0), now)}
		o, _ := s.open(m, w.Customer, now)
		s.Opened(o.Conn, now)
		s.start(s.conns[o.Conn], w, now)
	}
}

// planEvery calls Plan in the regular steps of an owner and returns the number of abandoned reads.
func planEvery(s *Scheduler, from, until int) int {
	abandoned := 0
	for ms := from; ms <= until; ms += 40 {
		abandoned += len(s.Plan(at(ms)).Abandoned)
	}
	return abandoned
}

// Guards against members that are judged failing after a pause of this process, when their answers have not been read yet.
func TestAPauseOfThisProcessIsNoFailureOfAMember(t *testing.T) {
	is := is.New(t)
	s := newScheduler(21)
	is.Equal(planEvery(s, 0, 40), 0)
	startReads(s, s.members[1], 4, at(50))
	is.Equal(planEvery(s, 2000, 2000+280), 0)
	is.True(s.state(s.members[1], at(2280)).Normal())
	is.Equal(planEvery(s, 2320, 2320), 4) // unanswered for 300 ms since the pause
}

// Guards against reads that are abandoned at the first of two replicas that both leave all statements unanswered.
func TestReadsStayWhereAllReplicasLeaveThemUnanswered(t *testing.T) {
	is := is.New(t)
	s := newScheduler(21)
	is.Equal(planEvery(s, 0, 0), 0)
	for _, m := range s.members[1:] {
		startReads(s, m, 3, at(0))
	}
	is.Equal(planEvery(s, 40, 1000), 0)
	is.True(s.state(s.members[1], at(1000)).Normal())
}

// Guards against reads that queue at a busy member of normal speed although opening a connection to another is faster.
func TestLongReadsAreNotQueuedToAvoidAConnection(t *testing.T) {
	is := is.New(t)
	s := newScheduler(21)
	s.SetMembers(members()[1:], epoch) // two replicas of three slots
	startReads(s, s.members[0], 3, epoch)
	o, _ := s.open(s.members[0], "a", epoch)
	s.Opened(o.Conn, epoch)
	w := read("a", pos(0), epoch)
	w.Cost, w.Due, w.Deadline = 120*time.Millisecond, at(1000), at(6000) // 40 ms in the queue, 15 ms for a connection
	submit(t, s, w, epoch)
	p := s.Plan(epoch)
	is.Equal(len(p.Assignments), 0)
	is.Equal(p.Opens[0].Member, upstream.MemberID("r2"))
}

// Guards against reads that no member gets, each being left to another one that is too slow as well.
func TestAReadIsRunWhereAllMembersAreTooSlow(t *testing.T) {
	is := is.New(t)
	s := newScheduler(21)
	list := members()
	list[0].Usable = false // no primary
	list = append(list, MemberConfig{ID: "r3", Slots: 3, Usable: true})
	s.SetMembers(list, epoch)
	for range 20 {
		s.balancer.Answered("r1", 10*time.Millisecond, 50*time.Millisecond, epoch)
		s.balancer.Answered("r2", 10*time.Millisecond, 50*time.Millisecond, epoch)
		s.balancer.Answered("r3", 10*time.Millisecond, 10*time.Millisecond, epoch)
	}
	w := &queuedItem{Item: read("a", pos(0), epoch)}
	w.Due, w.Avoid = at(100), "r3"
	is.Equal(s.balancedLimit(s.members[1], w, epoch), 4)
	w.Avoid = ""
	is.Equal(s.balancedLimit(s.members[1], w, epoch), 0)
}
