package failover

import (
	"flag"
	"testing"
	"time"

	"github.com/celerystep/celerystep/internal/upstream"
)

var schedules = flag.Int("schedules", 200, "random schedules of TestRandomSchedules")

// injectFaults makes calls fail and changes the model at random for the given time.
func (w *model) injectFaults(until time.Duration) {
	r := w.random
	w.callFault = func(*promoter, string, *fakeMember) callFault {
		f := callFault{loseRequest: r.IntN(12) == 0, loseAnswer: r.IntN(12) == 0}
		if r.IntN(12) == 0 {
			f.late = time.Duration(r.IntN(1500)) * ms
		}
		if r.IntN(12) == 0 {
			f.again = time.Duration(r.IntN(3000)) * ms
		}
		return f
	}
	for w.now < until {
		w.run(w.now + time.Duration(50+r.IntN(600))*ms)
		p := w.promoters[r.IntN(len(w.promoters))]
		m := w.members[r.IntN(len(w.members))]
		back := time.Duration(100+r.IntN(3000)) * ms
		switch r.IntN(9) {
		case 0:
			m.alive = false
			w.after(back, func() { m.alive = true })
		case 1:
			w.isolate(string(m.Member), true)
			w.after(back, func() { w.isolate(string(m.Member), false) })
		case 2:
			l := [2]string{string(m.Member), p.name}
			w.cut[l] = true
			w.after(back, func() { w.cut[l] = false })
		case 3:
			l := [2]string{string(m.Member), string(w.members[r.IntN(len(w.members))].Member)}
			w.cut[l] = true
			w.after(back, func() { w.cut[l] = false })
		case 4:
			p.pausedUntil = w.now + back
		case 5:
			p.start()
			p.claimAt = w.now + back/4
		case 6:
			p.wants = !p.wants
			if !p.wants {
				p.post(p.stop)
			}
		case 7:
			p.post(func() {
				actions, _ := p.machine.Switchover(SwitchoverRequest{}, p.at())
				p.do(actions)
			})
		case 8:
			w.configure(Member{ID: "a", DomainOut: r.IntN(2) == 0})
		}
	}
}

// heal ends all faults and leaves the first promoter as the only one that wants to be home.
func (w *model) heal() {
	w.callFault = func(*promoter, string, *fakeMember) callFault { return callFault{} }
	w.run(w.now + 4*time.Second)
	clear(w.cut)
	for _, m := range w.members {
		m.alive = true
	}
	w.configure(Member{ID: "a"})
	for i, p := range w.promoters {
		p.wants = i == 0
		if !p.wants {
			p.post(p.stop)
		}
	}
}

// Guards against two primaries in one term, lost records, acknowledgements without a majority and a group that stays
// without primary, under random schedules: two or three competing promoters, three or (in a quarter of them) five
// members, with lost, late and repeated calls, pauses, restarts, crashes and partitions.
func TestRandomSchedules(t *testing.T) {
	var promoted, acked int
	terms := map[upstream.MemberID]int{}
	for seed := range *schedules {
		w := newModel(uint64(seed)+1000, 2+seed%2, 3+2*(seed%4/3))
		for _, p := range w.promoters {
			p.wants = true
		}
		w.injectFaults(20 * time.Second)
		w.heal()
		wrong := append(w.violations, w.settles(w.now+25*time.Second)...)
		if len(wrong) > 0 {
			t.Errorf("seed %d: %v", seed, wrong[:min(len(wrong), 3)])
		}
		promoted += len(w.promoted)
		acked += w.acked
		for _, id := range w.promoted {
			terms[id]++
		}
	}
	t.Logf("schedules=%d promotions=%d %v acknowledged=%d", *schedules, promoted, terms, acked)
	// The schedules must reach what they are about.
	if promoted < 2**schedules || acked < 100**schedules || len(terms) < 3 {
		t.Error("the schedules hardly promote")
	}
}
