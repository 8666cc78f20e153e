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

// faultDuration is how long a fault is active in each case.
const faultDuration = 2 * time.Second

// protocolStep is a part of the protocol to which a fault applies.
type protocolStep struct {
	name  string
	kinds []membership.CallKind
	// lostFirst lists the kinds of probes to the suspect that are lost at first, so the protocol reaches the step.
	lostFirst []membership.CallKind
	// victim restricts the fault to messages from and to the suspect.
	victim bool
}

var steps = []protocolStep{
	{name: "probe", kinds: []membership.CallKind{membership.CallProbe}},
	{
		name:      "indirect probe",
		kinds:     []membership.CallKind{membership.CallIndirectProbe, membership.CallRelay},
		lostFirst: []membership.CallKind{membership.CallProbe},
	},
	{
		name:      "suspicion",
		lostFirst: []membership.CallKind{membership.CallProbe, membership.CallRelay, membership.CallSample},
		victim:    true,
	},
	{name: "push", kinds: []membership.CallKind{membership.CallPush}},
	{name: "full exchange", kinds: []membership.CallKind{membership.CallDigest, membership.CallFetch}},
}

// fault changes the delivery of affected messages.
type fault struct {
	name    string
	deliver func(f *fleet, l capacity.Leg) capacity.Delivery
	pause   bool
	// suspectMayDie is true if a suspect cannot refute within SuspectTimeout. It must be considered live again
	// afterwards.
	suspectMayDie bool
}

const defaultDelay = time.Millisecond

var faults = []fault{
	{name: "lost before", deliver: func(_ *fleet, l capacity.Leg) capacity.Delivery {
		return capacity.Delivery{Lost: !l.Answer, Delay: defaultDelay}
	}},
	{name: "answer lost", deliver: func(_ *fleet, l capacity.Leg) capacity.Delivery {
		return capacity.Delivery{Lost: l.Answer, Delay: defaultDelay}
	}},
	{name: "delayed", deliver: func(*fleet, capacity.Leg) capacity.Delivery {
		return capacity.Delivery{Delay: 70 * time.Millisecond}
	}},
	// If both messages are delayed, a refutation takes 800 ms.
	{name: "delayed over timeout", suspectMayDie: true, deliver: func(*fleet, capacity.Leg) capacity.Delivery {
		return capacity.Delivery{Delay: 2 * membership.ProbeTimeout}
	}},
	{name: "duplicated", deliver: func(*fleet, capacity.Leg) capacity.Delivery {
		return capacity.Delivery{Duplicate: true, Delay: defaultDelay}
	}},
	{name: "reordered", deliver: func(f *fleet, _ capacity.Leg) capacity.Delivery {
		return capacity.Delivery{Delay: time.Duration(f.Rand().IntN(90)) * time.Millisecond}
	}},
	{name: "one-way cut", deliver: func(f *fleet, l capacity.Leg) capacity.Delivery {
		return capacity.Delivery{Lost: l.From == f.Nodes[1].Info.ID, Delay: defaultDelay}
	}},
	{name: "prober paused", pause: true, deliver: func(*fleet, capacity.Leg) capacity.Delivery {
		return capacity.Delivery{Delay: defaultDelay}
	}},
}

// affects reports whether the fault applies to a message of the step.
func (s protocolStep) affects(f *fleet, l capacity.Leg) bool {
	if s.victim {
		// Half of the messages: if all were lost, the suspect would correctly be declared dead.
		victim := f.Nodes[2].Info.ID
		return (l.From == victim || l.To == victim) && f.Rand().IntN(2) == 0
	}
	return slices.Contains(s.kinds, l.Kind)
}

// runCell applies one fault to one step of a fleet of nine while an instance dies, a configuration is announced and an
// instance joins. It returns the failed expectations.
func runCell(t *testing.T, ft fault, st protocolStep, seed uint64) []string {
	f := newFleet(t, 9, seed)
	joiner := f.Add(info(9))
	start, paused := f.Now, false
	suspect := f.Nodes[2].Info.ID
	f.Deliver = func(l capacity.Leg) capacity.Delivery {
		age := l.Now.Sub(start)
		if l.To == suspect && slices.Contains(st.lostFirst, l.Kind) && age < 600*time.Millisecond {
			return capacity.Delivery{Lost: true}
		}
		if age > faultDuration || !st.affects(f, l) {
			return capacity.Delivery{Delay: defaultDelay}
		}
		if ft.pause && !paused && !l.Answer && f.Node(l.From) != joiner {
			paused = true
			prober := f.Node(l.From)
			f.Pause(prober)
			f.expectedDead = func(id instance.ID) bool { return id == prober.Info.ID }
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
	expectWithin := func(what string, limit time.Duration, done func() bool) {
		if _, ok := f.RunUntil(limit, done); !ok {
			failures = append(failures, what)
		}
	}
	expectWithin("configuration in 4 s", 3500*time.Millisecond, func() bool {
		return f.all(func(v *membership.View) bool { return v.Config().Version == 1 })
	})
	f.RunUntil(faultDuration+3*time.Second-f.Now.Sub(start), func() bool { return false })
	if !f.deadEverywhere(dead) {
		failures = append(failures, "death known 3 s after the fault")
	}
	expectWithin("agreement and joining", 15*time.Second, func() bool {
		return f.converged(9) && f.all(func(v *membership.View) bool {
			h, ok := v.Home("g")
			return ok && h.Owner == "i0"
		})
	})
	for _, n := range f.Nodes {
		if n.Up() && n.Machine.View().State(suspect) != instance.StateLive {
			failures = append(failures, fmt.Sprintf("%s does not consider the suspect live again", n.Info.ID))
		}
	}
	if ft.suspectMayDie && st.victim {
		return failures
	}
	return append(failures, f.falseDeaths...)
}

// Guards against message faults in single protocol steps that cause false deaths, lost updates or undetected deaths.
func TestFaultTable(t *testing.T) {
	const seeds = 3
	run, passed := 0, 0
	for _, ft := range faults {
		for _, st := range steps {
			for seed := range uint64(seeds) {
				run++
				failures := runCell(t, ft, st, seed)
				if len(failures) == 0 {
					passed++
				}
				for _, failure := range failures {
					t.Errorf("%s x %s, seed %d: %s", ft.name, st.name, seed, failure)
				}
			}
		}
	}
	t.Logf("%d faults x %d steps x %d seeds: %d cells run, %d held", len(faults), len(steps), seeds, run, passed)
}
