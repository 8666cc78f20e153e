package usage

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against missing, late and inexact reports and against many calls to the store, with traffic and without.
func TestEachWindowIsReportedExactly(t *testing.T) {
	is := is.New(t)
	f := newSimulation(t, 5)
	f.run(40 * time.Second)
	for _, n := range f.nodes {
		n.quiet = true
	}
	f.run(80 * time.Second)
	f.check(0)
	is.Equal(len(f.reports[terms.At(fleetStart.Add(50*time.Second))]), 0) // nothing ran
	is.True(f.saves <= 40)                                                // one in two seconds on average
}

// Guards against lost and double counts and diverging reports when the holder dies at any time, together with another instance,
// while answers of the store or the service are lost.
func TestTheDutyIsTakenOverHalfway(t *testing.T) {
	for crash := 20 * time.Second; crash < 25*time.Second; crash += 250 * time.Millisecond {
		for _, lost := range []string{"nothing", "store", "service"} {
			t.Run(fmt.Sprintf("%v %s", crash, lost), func(t *testing.T) {
				f := newSimulation(t, 6)
				f.run(crash - 3*time.Second)
				// What a process has not delivered dies with it.
				f.nodes[0].quiet, f.nodes[1].quiet = true, true
				f.run(crash - 500*time.Millisecond)
				f.storeLoses, f.serviceLoses = lost == "store", lost == "service"
				f.run(crash)
				f.nodes[0].alive, f.nodes[1].alive = false, false
				f.storeLoses, f.serviceLoses = false, false
				f.run(crash + 1800*time.Millisecond)
				f.claim(2)
				f.run(60 * time.Second)
				f.check(0)
			})
		}
	}
}

// Guards against a holder that acts again within the lease after another one has acted.
func TestTheDutyComesBack(t *testing.T) {
	f := newSimulation(t, 3)
	for i, at := 1, 20*time.Second; at < 40*time.Second; i, at = i+1, at+700*time.Millisecond {
		f.run(at)
		f.claim(i % 2)
	}
	f.run(70 * time.Second)
	f.checkTurns()
	is := is.New(t)
	is.True(len(f.reports) >= 10)
}

// Guards against holders that act in turns within the lease, or that call again with a rejected token, when the duty moves at any time:
// to its present holder, back before the other one has stored anything, or without a holder that notices it. Lost answers leave reports
// to repeat.
func TestTheDutyMovesAtRandom(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 0))
			f := newSimulation(t, 4)
			f.run(16 * time.Second)
			for f.now < 60*time.Second {
				f.serviceLoses = r.IntN(2) == 0
				f.claim(r.IntN(2))
				if r.IntN(4) == 0 {
					f.highest = f.token + 1
					f.clock = f.highest
				}
				if n := f.nodes[r.IntN(2)]; r.IntN(8) == 0 {
					n.start()
				}
				f.run(f.now + time.Duration(1+r.IntN(30))*50*time.Millisecond)
			}
			f.serviceLoses = false
			f.run(100 * time.Second)
			f.checkTurns()
			for id := range f.truth {
				_, reported := f.reports[id]
				if !reported && terms.End(id).Add(terms.Late).Before(fleetStart.Add(f.now)) {
					t.Errorf("window %d was not reported", id)
				}
			}
		})
	}
}

// Guards against a second call under a rejected token by a holder that seemed to lose the duty meanwhile.
func TestARejectedTokenStaysRejected(t *testing.T) {
	f := newSimulation(t, 3)
	f.run(17 * time.Second)
	f.serviceDown = true // a window remains unreported
	f.run(20 * time.Second)
	f.serviceDown = false
	f.highest = f.token + 1000
	own := f.token
	f.each = func() { f.holder, f.token = 0, own } // the renewal does not succeed
	for f.now < 24*time.Second {
		f.run(f.now + 400*time.Millisecond)
		f.holder = 1
		f.nodes[0].report(context.Background())
		f.holder = 0
	}
	is.New(t).True(f.rejected[own])
}

// Guards against counts that are lost or counted twice when instances, also the holder, restart.
func TestInstancesRestart(t *testing.T) {
	f := newSimulation(t, 4)
	for i, at := 0, 12*time.Second; i < 4; i, at = i+1, at+6*time.Second {
		n := f.nodes[i]
		f.run(at)
		n.quiet = true
		f.run(at + 1500*time.Millisecond)
		n.start()
		if i == 0 {
			f.claim(0)
		}
		n.quiet = false
	}
	f.run(60 * time.Second)
	f.check(0)
}

// Guards against window numbers that follow a step of the wall clock, also of an instance or a holder that starts during one.
func TestTheWallClockSteps(t *testing.T) {
	for _, step := range []time.Duration{-5 * time.Second, 5 * time.Second, time.Hour} {
		for _, restarted := range []int{0, 1} {
			t.Run(fmt.Sprint(step, restarted), func(t *testing.T) {
				f := newSimulation(t, 5)
				f.run(21 * time.Second)
				for _, n := range f.nodes[:3] {
					n.wall = step
				}
				n := f.nodes[restarted]
				n.quiet = true
				f.run(23 * time.Second)
				n.start()
				if restarted == f.holder {
					f.claim(restarted)
				}
				n.quiet = false
				f.run(27 * time.Second)
				for _, n := range f.nodes {
					n.wall = 0
				}
				f.run(60 * time.Second)
				f.check(0.02) // where the counts made before the correction belong is known to half a window
			})
		}
	}
}

// Guards against decisions without the store, and against reports that are lost with it.
func TestTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	f := newSimulation(t, 4)
	f.run(21 * time.Second)
	f.storeDown = true
	before := f.saves
	f.run(28 * time.Second)
	is.True(f.saves-before <= 6) // retries back off
	_, reported := f.reports[terms.At(fleetStart.Add(19*time.Second))]
	is.True(!reported) // it was not fixed
	f.storeDown = false
	f.run(60 * time.Second)
	f.check(0)
}

// Guards against a second call under a token that was rejected, and against a duty that ends with it.
func TestARejectedTokenIsRenewed(t *testing.T) {
	is := is.New(t)
	f := newSimulation(t, 3)
	f.run(16 * time.Second)
	f.highest, f.clock = 1000, 1000
	f.run(21 * time.Second)
	is.True(f.token > 1000)
	f.run(60 * time.Second)
	f.check(0)
}

// Guards against counts that change when deliveries arrive late, again and out of order.
func TestLateDuplicatesChangeNothing(t *testing.T) {
	f := newSimulation(t, 4)
	r := rand.New(rand.NewPCG(1, 2))
	f.each = func() {
		if n := len(f.deliveries); n > 0 {
			f.nodes[f.holder].Receive(f.deliveries[r.IntN(n)])
		}
	}
	f.run(50 * time.Second)
	f.check(0)
}

// Guards against diverging reports, and against repeated calls to the store, while two instances believe that they hold the duty.
func TestTwoHoldersAtOnce(t *testing.T) {
	f := newSimulation(t, 5)
	for at := 20 * time.Second; at < 60*time.Second; at += 8300 * time.Millisecond {
		f.claim(0)
		f.run(at)
		f.nodes[0].believes = f.token
		f.claim(1)
		f.run(at + 3*time.Second)
		f.nodes[0].believes = 0
	}
	f.run(80 * time.Second)
	f.check(0)
	is.New(t).True(f.lostClaims <= 5) // one for each time
}

// Guards against a new holder that fixes windows before it has all counts: the first delivery leads to one of all counts at once.
func TestANewHolderGetsAllCountsAtOnce(t *testing.T) {
	is := is.New(t)
	f := newSimulation(t, 4)
	f.run(17 * time.Second)
	f.claim(1)
	f.nodes[1].updateLedger(context.Background())
	f.nodes[1].updateLedger(context.Background())
	from := f.nodes[2].o.Self
	id := terms.At(fleetStart.Add(10 * time.Second)) // it has ended, so its counts do not change
	before := f.nodes[0].holding.ledger.cells[id][from]
	f.nodes[2].Deliver(context.Background())
	is.True(len(before) > 0)
	is.Equal(f.nodes[1].holding.ledger.cells[id][from], before)
}

// Guards against windows that wait for long for an instance that cannot reach the holder, and against losing its counts.
func TestAnInstanceIsCutOffFromTheHolder(t *testing.T) {
	f := newSimulation(t, 4)
	f.run(19 * time.Second)
	f.nodes[3].cutOff = true
	f.run(26 * time.Second)
	f.nodes[3].cutOff = false
	f.run(60 * time.Second)
	f.check(0)
}

// Guards against a service whose answers are lost: windows are reported nevertheless, and none delays the others.
func TestAnswersOfTheServiceAreLost(t *testing.T) {
	f := newSimulation(t, 3)
	f.run(15 * time.Second)
	f.serviceLoses = true
	f.run(60 * time.Second)
	f.check(0)
}

// Guards against a new window that waits for the repeated reports of earlier ones.
func TestNewWindowsAreReportedFirst(t *testing.T) {
	is := is.New(t)
	l := NewLedger(terms)
	var order []WindowID
	for id := WindowID(1); id <= 3; id++ {
		l.Merge(State{Progress: Progress{FixedThrough: id, Fixed: append(l.Progress().Fixed, Window{ID: id})}})
		for range 2 {
			w, _ := l.NextReport()
			l.Attempted(w.ID)
			order = append(order, w.ID)
		}
	}
	is.Equal(order, []WindowID{1, 1, 2, 2, 3, 3})
	l.Reported(2)
	w, _ := l.NextReport()
	is.Equal(w.ID, WindowID(1))
}

// Guards against deliveries that were delayed, by a pause of the holder or of the sender: they must not move a clock.
func TestOldDeliveriesDoNotMoveTheClock(t *testing.T) {
	is := is.New(t)
	f := newSimulation(t, 5)
	f.run(20 * time.Second)
	old := f.deliveries[len(f.deliveries)-20:]
	f.run(25 * time.Second)
	for _, d := range old {
		f.nodes[0].Receive(d)
	}
	f.run(40 * time.Second)
	f.pause = 5 * time.Second
	f.run(60 * time.Second)
	f.check(0)
	for _, n := range f.nodes {
		is.True(n.clock.Time(n.o.Boot()).Equal(fleetStart.Add(f.now)))
	}
}

// Guards against windows that are fixed while statements which arrived in them have no answer yet.
func TestSlowStatementsAreCounted(t *testing.T) {
	f := newSimulation(t, 4)
	f.slow = 5500 * time.Millisecond
	f.run(60 * time.Second)
	f.check(0)
}

// Guards against memory that grows without bound during a long outage of the store, and against wrong reports after it.
func TestTheStoreIsDownForLong(t *testing.T) {
	is := is.New(t)
	f := newSimulation(t, 2)
	f.run(21 * time.Second)
	f.storeDown = true
	f.run(15 * time.Minute)
	is.True(len(f.nodes[0].holding.ledger.cells) <= maxCells)
	f.storeDown = false
	f.run(16 * time.Minute)
	for id, counts := range f.reports {
		is.Equal(counts, f.truth[id])
	}
	is.True(len(f.reports) >= maxBacklog)
}

// Guards against a state that grows until the store refuses it during a long outage of the service.
func TestTheServiceIsDownForLong(t *testing.T) {
	is := is.New(t)
	f := newSimulation(t, 2)
	f.run(21 * time.Second)
	f.serviceDown = true
	f.run(15 * time.Minute)
	state, err := DecodeState(f.value)
	is.NoErr(err)
	is.Equal(len(state.Fixed), maxBacklog)
	is.Equal(state.Fixed[maxBacklog-1].ID, state.FixedThrough)
	f.serviceDown = false
	f.run(16 * time.Minute)
	for id, counts := range f.reports {
		is.Equal(counts, f.truth[id])
	}
	is.Equal(len(f.nodes[0].holding.ledger.Progress().Fixed), 0)
}

// Guards against a state above the limit of the store: the newest windows are kept.
func TestALargeStateIsCut(t *testing.T) {
	is := is.New(t)
	f := newSimulation(t, 1)
	n := f.nodes[0]
	f.run(time.Second)
	counts := make(Counts)
	for i := range 1000 {
		counts[fmt.Sprintf("customer-with-a-long-name-%d", i)] = 1
	}
	var progress Progress
	for id := WindowID(1); id <= 100; id++ {
		progress.FixedThrough = id
		progress.Fixed = append(progress.Fixed, Window{id, counts})
	}
	n.holding.ledger.Merge(State{Progress: progress})
	c, err := n.newCheckpoint(n.holding, nil, 1)
	is.NoErr(err)
	is.True(len(c.value) <= maxStateBytes)
	state, err := DecodeState(c.value)
	is.NoErr(err)
	is.Equal(state.Progress, c.progress)
	is.Equal(state.FixedThrough, WindowID(100))
	is.True(len(state.Fixed) > 10)
	is.Equal(state.Fixed[len(state.Fixed)-1].ID, WindowID(100))
}

// Guards against thousands of reports after an outage of the whole fleet, and against none at all.
func TestTheFleetWasDown(t *testing.T) {
	is := is.New(t)
	f := newSimulation(t, 3)
	f.run(30 * time.Second)
	f.now += time.Hour
	back := f.now
	for i, n := range f.nodes {
		n.start()
		f.claim(i)
	}
	f.run(back + 60*time.Second)
	is.True(len(f.reports) <= maxBacklog+20)
	for id := terms.At(fleetStart.Add(back)); terms.End(id).Add(terms.Late).Before(fleetStart.Add(f.now)); id++ {
		is.Equal(f.reports[id], f.truth[id])
	}
}

// Guards against counts that a shutdown leaves behind.
func TestCloseDeliversTheLastCounts(t *testing.T) {
	f := newSimulation(t, 4)
	for i := 3; i > 0; i-- {
		f.run(time.Duration(30-5*i) * time.Second)
		f.nodes[i].Close(context.Background())
		f.nodes[i].alive = false
	}
	f.run(60 * time.Second)
	f.check(0)
}

// Guards against a stored state that cannot be read again.
func TestTheStateIsStoredCompletely(t *testing.T) {
	is := is.New(t)
	f := newSimulation(t, 3)
	f.run(30 * time.Second)
	state := f.nodes[0].holding.ledger.Snapshot(f.nodes[0].o.Self, nil)
	encoded, err := EncodeState(state)
	is.NoErr(err)
	decoded, err := DecodeState(encoded)
	is.NoErr(err)
	copied := NewLedger(terms)
	copied.Merge(decoded)
	now := fleetStart.Add(45 * time.Second)
	is.Equal(copied.Due(now), f.nodes[0].holding.ledger.Due(now))
	is.True(len(copied.Due(now)) > 0)
	_, err = DecodeState([]byte{0xff})
	is.True(err != nil)
}
