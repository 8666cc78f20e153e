package dispatch

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// hardLoads are the loads of docs/hard-load.md on one group, for 10 s of arrivals.
var hardLoads = []struct {
	name string
	add  func(l *loadSimulation)
}{
	{"calm", func(*loadSimulation) {}},
	{"burst", func(l *loadSimulation) { l.offer(at(2000), at(5000), 0.7, "") }},
	{"customer", func(l *loadSimulation) { l.offer(at(2000), at(8500), 6.5/8, "c0") }},
	{"idle transactions", func(l *loadSimulation) { l.idleInTransaction(15, "", at(2000), at(8000)) }},
	{"slow member", func(l *loadSimulation) { l.slowMember(at(2000), at(8000)) }},
	{"no primary", func(l *loadSimulation) { l.losePrimary(at(4000)) }},
	{"burst and slow member", func(l *loadSimulation) {
		l.offer(at(2000), at(5000), 0.7, "")
		l.slowMember(at(2000), at(8000))
	}},
	{"customer and slow member", func(l *loadSimulation) {
		l.offer(at(2000), at(8500), 6.5/8, "c0")
		l.slowMember(at(2000), at(8000))
	}},
	{"burst and no primary", func(l *loadSimulation) {
		l.offer(at(2000), at(5000), 0.7, "")
		l.losePrimary(at(3000))
	}},
	{"customer, no primary and idle transactions", func(l *loadSimulation) {
		l.offer(at(2000), at(8500), 6.5/8, "c0")
		l.losePrimary(at(4000))
		l.idleInTransaction(15, "", at(2000), at(8000))
	}},
	{"threefold load and slow member", func(l *loadSimulation) {
		l.offer(at(2000), at(6000), 2, "")
		l.slowMember(at(2000), at(8000))
	}},
	{"fourfold load", func(l *loadSimulation) { l.offer(at(2000), at(6000), 3, "") }},
}

func simulate(add func(*loadSimulation), seed uint64, prioritized bool) *loadSimulation {
	l := newOperationSimulation(seed, prioritized)
	l.offer(epoch, at(10_000), 1, "")
	add(l)
	l.run(at(20_000))
	return l
}

// logResults logs what the callers of each route got.
func (l *loadSimulation) logResults(t *testing.T, when string) {
	t.Helper()
	t.Logf("%s: worth %.3f, refused attempts per served operation %.2f", when, l.worth(), l.refusedPerServed())
	for _, r := range l.routes {
		t.Logf("    %s", r)
	}
}

// Guards against priority inversion, and against refusals that only make callers come back to the same queue.
func TestPrioritiesServeCallersBetter(t *testing.T) {
	for _, load := range hardLoads {
		t.Run(load.name, func(t *testing.T) {
			is := is.New(t)
			before, after := simulate(load.add, 7, false), simulate(load.add, 7, true)
			before.logResults(t, "by due time")
			after.logResults(t, "by priority")
			is.True(after.worth() >= before.worth())
			is.True(after.refusedPerServed() <= max(before.refusedPerServed()/2, 0.23)) // half of 0.46
			urgent, urgentBefore := after.routes[0], before.routes[0]
			is.True(urgent.failed <= urgentBefore.failed)
			if !strings.Contains(load.name, "no primary") {
				is.True(urgent.inTime*1000 >= urgent.operations*999) // its work alone is far below the capacity
			}
			if urgentBefore.failed+urgentBefore.late == 0 {
				for i, r := range after.routes {
					is.True(r.inTime*1000 >= before.routes[i].inTime*999) // nothing is worse in calm
				}
			}
		})
	}
}

// Guards against a large customer whose urgent statements crowd out the less urgent ones of others: alone they would fill the
// primary almost twice.
func TestUrgentStatementsOfOneCustomerLeaveOthersTheirShare(t *testing.T) {
	is := is.New(t)
	l := simulate(func(l *loadSimulation) {
		all := l.routes
		l.routes = all[:1]
		l.offer(at(2000), at(4500), 65, "c0")
		l.routes = all
	}, 8, true)
	l.logResults(t, "by priority")
	for _, r := range l.routes {
		is.True(r.servedInTime("c0") >= 0.98)
	}
}

// Guards against other customers that pay for one at 7.5 times its rate while capacity is short.
func TestACustomerAboveItsRateLeavesOthersTheirShare(t *testing.T) {
	is := is.New(t)
	l := simulate(func(l *loadSimulation) {
		l.offer(at(2000), at(8500), 5, "c0") // 41 times its rate
		l.slowMember(at(2000), at(8000))
	}, 8, true)
	l.logResults(t, "by priority")
	for _, r := range l.routes {
		is.True(r.servedInTime("c0") >= 0.95)
	}
}

// Guards against transactions of one customer, left idle, that take the connections from the transactions of others.
func TestIdleTransactionsOfOneCustomerLeaveConnectionsForOthers(t *testing.T) {
	is := is.New(t)
	l := simulate(func(l *loadSimulation) { l.idleInTransaction(60, "c0", at(2000), at(8000)) }, 8, true)
	l.logResults(t, "by priority")
	for _, r := range l.routes {
		is.True(r.servedInTime("c0") >= 0.98)
	}
}
