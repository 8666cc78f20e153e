package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/celerystep/celerystep/internal/capacity"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/membership"
)

// faultTime is how long a fault lasts in each cell.
const faultTime = 2 * time.Second

// step is a part of the protocol that a fault hits.
type step struct {
	name  string
	kinds []membership.CallKind
	// missed lists the kinds of probe that the suspect does not get at first, which leads to the step.
	missed []membership.CallKind
	// victim restricts the fault to messages from and to the suspect.
	victim bool
}

var steps = []step{
	{name: "probe", kinds: []membership.CallKind{membership.CallProbe}},
	{
		name:   "indirect probe",
		kinds:  []membership.CallKind{membership.CallIndirectProbe, membership.CallRelay},
		missed: []membership.CallKind{membership.CallProbe},
	},
	{
		name:   "suspicion",
		missed: []membership.CallKind{membership.CallProbe, membership.CallRelay, membership.CallSample},
		victim: true,
	},
	{name: "push", kinds: []membership.CallKind{membership.CallPush}},
	{name: "full exchange", kinds: []membership.CallKind{membership.CallDigest, membership.CallFetch}},
}

// fault changes the delivery of a message that it hits.
type fault struct {
	name    string
	deliver func(f *fleet, l capacity.Leg) capacity.Delivery
	pause   bool
	// mayDie is true when a suspect cannot refute in SuspectTimeout. It must be taken back all the same.
	mayDie bool
}

const usualDelay = time.Millisecond

var faults = []fault{
	{name: "lost before", deliver: func(_ *fleet, l capacity.Leg) capacity.Delivery {
		return capacity.Delivery{Lost: !l.Answer, Delay: usualDelay}
	}},
	{name: "answer lost", deliver: func(_ *fleet, l capacity.Leg) capacity.Delivery {
		return capacity.Delivery{Lost: l.Answer, Delay: usualDelay}
	}},
	{name: "delayed", deliver: func(*fleet, capacity.Leg) capacity.Delivery {
		return capacity.Delivery{Delay: 70 * time.Millisecond}
	}},
	// A refutation takes a round trip of 800 ms here when both messages are delayed.
	{name: "delayed over timeout", mayDie: true, deliver: func(*fleet, capacity.Leg) capacity.Delivery {
		return capacity.Delivery{Delay: 2 * membership.ProbeTimeout}
	}},
	{name: "duplicated", deliver: func(*fleet, capacity.Leg) capacity.Delivery {
		return capacity.Delivery{Duplicate: true, Delay: usualDelay}
	}},
	{name: "reordered", deliver: func(f *fleet, _ capacity.Leg) capacity.Delivery {
		return capacity.Delivery{Delay: time.Duration(f.Rand().IntN(90)) * time.Millisecond}
	}},
	{name: "one-way cut", deliver: func(f *fleet, l capacity.Leg) capacity.Delivery {
		return capacity.Delivery{Lost: l.From == f.Nodes[1].Info.ID, Delay: usualDelay}
	}},
	{name: "prober paused", pause: true, deliver: func(*fleet, capacity.Leg) capacity.Delivery {
		return capacity.Delivery{Delay: usualDelay}
	}},
}

// hits reports whether the fault applies to a message of the step.
func (s step) hits(f *fleet, l capacity.Leg) bool {
	if s.victim {
		// Half of the messages: if all were lost, the suspect would rightly be declared dead.
		victim := f.Nodes[2].Info.ID
		return (l.From == victim || l.To == victim) && f.Rand().IntN(2) == 0
	}
	return slices.Contains(s.kinds, l.Kind)
}

// runCell applies one fault to one step of a fleet of nine while an instance dies, a configuration is announced and
// an instance joins. It returns what went wrong.
func runCell(t *testing.T, ft fault, st step, seed uint64) []string {
	f := newFleet(t, 9, seed)
	joiner := f.Add(info(9))
	start, paused := f.Now, false
	suspect := f.Nodes[2].Info.ID
	f.Deliver = func(l capacity.Leg) capacity.Delivery {
		age := l.Now.Sub(start)
		if l.To == suspect && slices.Contains(st.missed, l.Kind) && age < 600*time.Millisecond {
			return capacity.Delivery{Lost: true}
		}
		if age > faultTime || !st.hits(f, l) {
			return capacity.Delivery{Delay: usualDelay}
		}
		if ft.pause && !paused && !l.Answer && f.Node(l.From) != joiner {
			paused = true
			prober := f.Node(l.From)
			f.Pause(prober)
			f.exempt = func(id instance.ID) bool { return id == prober.Info.ID }
			f.After(membership.SuspectTimeout*2, func() { f.Resume(prober) })
		}
		return ft.deliver(f, l)
	}
	f.start(joiner)
	f.Nodes[0].Machine.AnnounceConfig(membership.ConfigVersion{Version: 1, OperationID: "o"})
	f.Nodes[0].Machine.AnnounceHome(f.Now, membership.Home{Group: "g", Owner: "i0", Generation: 1})
	f.Run(500 * time.Millisecond)
	dead := f.Nodes[8]
	f.Stop(dead, false)
	var failures []string
	expect := func(what string, limit time.Duration, done func() bool) {
		if _, ok := f.RunUntil(limit, done); !ok {
			failures = append(failures, what)
		}
	}
	expect("configuration in 4 s", 3500*time.Millisecond, func() bool {
		return f.all(func(v *membership.View) bool { return v.Config().Version == 1 })
	})
	f.RunUntil(faultTime+3*time.Second-f.Now.Sub(start), func() bool { return false })
	if !f.deadEverywhere(dead) {
		failures = append(failures, "death known 3 s after the fault")
	}
	expect("agreement and joining", 15*time.Second, func() bool {
		return f.agree(9) && f.all(func(v *membership.View) bool {
			h, ok := v.Home("g")
			return ok && h.Owner == "i0"
		})
	})
	for _, n := range f.Nodes {
		if n.Up() && n.Machine.View().State(suspect) != instance.StateLive {
			failures = append(failures, fmt.Sprintf("%s does not take the suspect back", n.Info.ID))
		}
	}
	if ft.mayDie && st.victim {
		return failures
	}
	return append(failures, f.wrongDeaths...)
}

// Guards against faults in single steps of the protocol that lead to wrong deaths, lost news or missed deaths.
func TestFaultTable(t *testing.T) {
	const seeds = 3
	run, held := 0, 0
	for _, ft := range faults {
		for _, st := range steps {
			for seed := range uint64(seeds) {
				run++
				failures := runCell(t, ft, st, seed)
				if len(failures) == 0 {
					held++
				}
				for _, failure := range failures {
					t.Errorf("%s x %s, seed %d: %s", ft.name, st.name, seed, failure)
				}
			}
		}
	}
	t.Logf("%d faults x %d steps x %d seeds: %d cells run, %d held", len(faults), len(steps), seeds, run, held)
}
