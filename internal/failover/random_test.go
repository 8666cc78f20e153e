package failover

import (
	"flag"
	"testing"
	"time"

	"github.com/celerystep/celerystep/internal/upstream"
)

var schedules = flag.Int("schedules", 200, "random schedules of TestRandomSchedules")

// injectFaults runs the simulation until the given time with random call faults, crashes, partitions, pauses, restarts
// and operator requests.
func (sim *simulation) injectFaults(until time.Duration) {
	r := sim.random
	sim.callFault = func(*promoter, string, *fakeMember) callFault {
		f := callFault{loseRequest: r.IntN(12) == 0, loseAnswer: r.IntN(12) == 0}
		if r.IntN(12) == 0 {
			f.late = time.Duration(r.IntN(1500)) * ms
		}
		if r.IntN(12) == 0 {
			f.again = time.Duration(r.IntN(3000)) * ms
		}
		return f
	}
	for sim.now < until {
		sim.run(sim.now + time.Duration(50+r.IntN(600))*ms)
		p := sim.promoters[r.IntN(len(sim.promoters))]
		m := sim.members[r.IntN(len(sim.members))]
		back := time.Duration(100+r.IntN(3000)) * ms
		switch r.IntN(9) {
		case 0:
			m.alive = false
			sim.after(back, func() { m.alive = true })
		case 1:
			sim.isolate(string(m.Member), true)
			sim.after(back, func() { sim.isolate(string(m.Member), false) })
		case 2:
			l := [2]string{string(m.Member), p.name}
			sim.partitioned[l] = true
			sim.after(back, func() { sim.partitioned[l] = false })
		case 3:
			l := [2]string{string(m.Member), string(sim.members[r.IntN(len(sim.members))].Member)}
			sim.partitioned[l] = true
			sim.after(back, func() { sim.partitioned[l] = false })
		case 4:
			p.pausedUntil = sim.now + back
		case 5:
			p.start()
			p.claimAt = sim.now + back/4
		case 6:
			p.wantsHome = !p.wantsHome
			if !p.wantsHome {
				p.post(p.stop)
			}
		case 7:
			p.post(func() {
				actions, _ := p.machine.Switchover(SwitchoverRequest{}, p.at())
				p.do(actions)
			})
		case 8:
			sim.configure(Member{ID: "a", DomainOut: r.IntN(2) == 0})
		}
	}
}

// heal removes all faults and leaves the first promoter as the only candidate for the home role.
func (sim *simulation) heal() {
	sim.callFault = func(*promoter, string, *fakeMember) callFault { return callFault{} }
	sim.run(sim.now + 4*time.Second)
	clear(sim.partitioned)
	for _, m := range sim.members {
		m.alive = true
	}
	sim.configure(Member{ID: "a"})
	for i, p := range sim.promoters {
		p.wantsHome = i == 0
		if !p.wantsHome {
			p.post(p.stop)
		}
	}
}

// Guards against two primaries in one term, lost records, acknowledgements without a majority and a group that remains
// without a primary, under random schedules: two or three competing promoters, three or (in a quarter of them) five
// members, with lost, late and repeated calls, pauses, restarts, crashes and partitions.
func TestRandomSchedules(t *testing.T) {
	var promoted, acked int
	terms := map[upstream.MemberID]int{}
	for seed := range *schedules {
		sim := newModel(uint64(seed)+1000, 2+seed%2, 3+2*(seed%4/3))
		for _, p := range sim.promoters {
			p.wantsHome = true
		}
		sim.injectFaults(20 * time.Second)
		sim.heal()
		wrong := append(sim.violations, sim.waitUntilSettled(sim.now+25*time.Second)...)
		if len(wrong) > 0 {
			t.Errorf("seed %d: %v", seed, wrong[:min(len(wrong), 3)])
		}
		promoted += len(sim.promoted)
		acked += sim.acked
		for _, id := range sim.promoted {
			terms[id]++
		}
	}
	t.Logf("schedules=%d promotions=%d %v acknowledged=%d", *schedules, promoted, terms, acked)
	// The schedules must actually cause promotions.
	if promoted < 2**schedules || acked < 100**schedules || len(terms) < 3 {
		t.Error("the schedules hardly promote")
	}
}
