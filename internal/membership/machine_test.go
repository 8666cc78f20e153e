package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/capacity"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/membership"
	"github.com/celerystep/celerystep/internal/platform"
)

// fleet is a simulated fleet in three failure domains whose instances have all joined.
type fleet struct {
	*capacity.Network
	// falseDeaths lists instances declared dead while their process was running.
	falseDeaths []string
	// expectedDead selects instances that did not answer for a while and are correctly declared dead.
	expectedDead func(instance.ID) bool
}

func newFleet(t *testing.T, n int, seed uint64) *fleet {
	f := &fleet{Network: capacity.NewNetwork(seed)}
	for i := range n {
		f.Add(info(i))
	}
	for _, node := range f.Nodes {
		f.start(node)
	}
	if _, ok := f.RunUntil(10*time.Second, func() bool { return f.converged(n) }); !ok {
		t.Fatal("the fleet did not converge")
	}
	f.Run(3 * time.Second)
	f.falseDeaths = nil
	return f
}

func info(i int) instance.Info {
	return instance.Info{
		ID:            instance.ID(fmt.Sprint("i", i)),
		FailureDomain: instance.FailureDomain(fmt.Sprint("d", i%3)),
		PeerAddress:   fmt.Sprint("10.0.0.1:", 7000+i),
	}
}

func (f *fleet) start(n *capacity.Node) {
	n.OnChange = func(_ time.Time, c membership.Changes) {
		for _, change := range c.MemberChanges {
			subject := f.Node(change.ID)
			wrong := change.To == instance.StateDead && subject.Up() && change.Incarnation >= subject.Incarnation
			if wrong && (f.expectedDead == nil || !f.expectedDead(change.ID)) {
				f.falseDeaths = append(f.falseDeaths, fmt.Sprintf("%s says %+v", n.Info.ID, change))
			}
		}
	}
	f.Start(n)
	n.Machine.ApplyInstanceList(f.Now, f.instanceList())
}

func (f *fleet) instanceList() []platform.InstanceEntry {
	var entries []platform.InstanceEntry
	for _, n := range f.Nodes {
		entries = append(entries, platform.InstanceEntry{Info: n.Info})
	}
	return entries
}

// all reports whether the condition holds in the views of all running instances.
func (f *fleet) all(condition func(*membership.View) bool) bool {
	for _, n := range f.Nodes {
		if n.Up() && !condition(n.Machine.View()) {
			return false
		}
	}
	return true
}

func (f *fleet) converged(live int) bool {
	return f.all(func(v *membership.View) bool { return v.Joined && !v.CutOff && len(v.Live()) == live })
}

// deadEverywhere reports whether all running instances consider the node dead.
func (f *fleet) deadEverywhere(n *capacity.Node) bool {
	return f.all(func(v *membership.View) bool { return v.State(n.Info.ID) == instance.StateDead })
}

// Guards against late detection of a dead instance and against its revival by a stale platform list.
func TestDeadInstanceStaysDeadWhileListed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6, 1)
	victim := f.Nodes[2]
	f.Stop(victim, false)
	d, ok := f.RunUntil(3*time.Second, func() bool { return f.deadEverywhere(victim) })
	is.True(ok)
	is.True(d <= 1500*time.Millisecond) // 1.3 s of detection and one push
	for range 4 {
		f.Run(5 * time.Second)
		for _, n := range f.Nodes {
			if n.Up() {
				n.Machine.ApplyInstanceList(f.Now, f.instanceList())
			}
		}
	}
	is.True(f.deadEverywhere(victim))
	f.start(victim) // a replacement that kept the id has a higher incarnation
	_, ok = f.RunUntil(5*time.Second, func() bool { return f.converged(6) })
	is.True(ok)
	is.Equal(len(f.falseDeaths), 0)
}

// Guards against a paused process that was declared dead and is not considered live again after it resumes.
func TestPausedInstanceRefutes(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 9, 2)
	paused := f.Nodes[4]
	f.Pause(paused)
	_, ok := f.RunUntil(3*time.Second, func() bool {
		n := 0
		for _, other := range f.Nodes {
			if other != paused && other.Machine.View().State(paused.Info.ID) == instance.StateDead {
				n++
			}
		}
		return n == 8
	})
	is.True(ok)
	f.falseDeaths = nil
	f.Resume(paused)
	d, ok := f.RunUntil(5*time.Second, func() bool { return f.converged(9) })
	is.True(ok)
	is.True(d <= 2*time.Second)
	is.Equal(len(f.falseDeaths), 0) // the paused instance must not suspect its peers
}

// Guards against a paused process that keeps running after another process replaced it under the same id.
func TestReplacedProcessMakesNoCalls(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6, 3)
	f.Run(2 * time.Second)
	old := f.Nodes[1].Machine
	f.start(f.Nodes[1])
	_, ok := f.RunUntil(5*time.Second, func() bool { return f.converged(6) })
	is.True(ok)
	reply := f.Nodes[0].Machine.Gossip(f.Now, &membership.Message{From: info(1).ID})
	reply.Members = append(reply.Members, f.Nodes[1].Machine.View().Self)
	old.Gossip(f.Now, reply)
	is.True(old.Replaced())
	is.Equal(len(old.Tick(f.Now)), 0)
}

// Guards against applying a leaving entry of the list to a later process with the same id.
func TestListedLeavingIsAnnounced(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6, 4)
	f.Nodes[0].Machine.ApplyInstanceList(f.Now, f.instanceList())
	leaving := f.instanceList()
	leaving[3].Leaving = true
	f.Nodes[0].Machine.ApplyInstanceList(f.Now, leaving)
	_, ok := f.RunUntil(4*time.Second, func() bool { return f.converged(5) })
	is.True(ok)
	is.Equal(f.Nodes[3].Machine.View().Self.State, instance.StateLeaving)
	f.Stop(f.Nodes[3], true)
	f.Run(time.Second)
	is.True(f.deadEverywhere(f.Nodes[3]))
	f.start(f.Nodes[3])
	f.Nodes[0].Machine.ApplyInstanceList(f.Now, leaving) // the list is stale
	_, ok = f.RunUntil(5*time.Second, func() bool { return f.converged(6) })
	is.True(ok)
	f.Nodes[0].Machine.ApplyInstanceList(f.Now, leaving)
	f.Run(2 * time.Second)
	is.True(f.converged(6))
}

// Guards against live instances being declared dead because single messages are lost.
func TestFalseDeathsUnderLoss(t *testing.T) {
	is := is.New(t)
	const minutes = 10
	f := newFleet(t, 20, 5)
	f.Deliver = f.lossy(100)
	suspicions := 0
	for _, n := range f.Nodes {
		onChange := n.OnChange
		n.OnChange = func(now time.Time, c membership.Changes) {
			onChange(now, c)
			suspicions += c.Refutations
		}
	}
	f.Run(minutes * time.Minute)
	t.Logf("20 instances, %d minutes, 1 %% loss: %d wrong deaths, %d refuted suspicions", minutes, len(f.falseDeaths), suspicions)
	is.Equal(len(f.falseDeaths), 0)
}

// lossy drops one in n messages.
func (f *fleet) lossy(n int) func(capacity.Leg) capacity.Delivery {
	return func(capacity.Leg) capacity.Delivery {
		return capacity.Delivery{Lost: f.Rand().IntN(n) == 0, Delay: time.Millisecond}
	}
}

// Guards against an instance that keeps serving while it is cut off, and against one that stops while it can reach the
// store or most peers.
func TestIsolation(t *testing.T) {
	for _, n := range []int{2, 6, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, n, 6)
			cutOff := f.Nodes[0]
			f.Deliver = func(l capacity.Leg) capacity.Delivery {
				return capacity.Delivery{Lost: l.From == cutOff.Info.ID || l.To == cutOff.Info.ID, Delay: time.Millisecond}
			}
			isolated := func(storeReachable bool) func() bool {
				return func() bool {
					for _, other := range f.Nodes[1:] {
						if n > 2 && other.Machine.Isolated(f.Now, false) {
							t.Fatalf("%s is isolated", other.Info.ID)
						}
					}
					return cutOff.Machine.Isolated(f.Now, storeReachable)
				}
			}
			_, ok := f.RunUntil(10*time.Second, isolated(true))
			is.True(!ok)
			f.Deliver = nil
			f.RunUntil(20*time.Second, func() bool { return f.converged(n) })
			is.True(f.converged(n))
			f.Run(3 * time.Second)
			f.Deliver = func(l capacity.Leg) capacity.Delivery {
				return capacity.Delivery{Lost: l.From == cutOff.Info.ID || l.To == cutOff.Info.ID, Delay: time.Millisecond}
			}
			d, ok := f.RunUntil(10*time.Second, isolated(false))
			is.True(ok)
			is.True(d >= membership.IsolationDelay)
			is.True(d <= 4*time.Second) // maximum use of withdrawn keys
		})
	}
}

// Guards against a minority that makes the majority declare its own live instances dead after a partition heals.
func TestHealedPartitionSpreadsNoFalseDeaths(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 30, 7)
	isMinority := func(id instance.ID) bool { return f.Node(id).Info.FailureDomain == "d0" }
	f.Deliver = func(l capacity.Leg) capacity.Delivery {
		return capacity.Delivery{Lost: isMinority(l.From) != isMinority(l.To), Delay: time.Millisecond}
	}
	f.Run(30 * time.Second)
	for _, n := range f.Nodes {
		is.Equal(n.Machine.View().CutOff, isMinority(n.Info.ID))
	}
	// The majority correctly declared the minority dead, and minority instances may learn that of each other before the
	// refutations arrive. No instance of the majority may be declared dead.
	f.falseDeaths = nil
	f.expectedDead = isMinority
	f.Deliver = nil
	d, ok := f.RunUntil(30*time.Second, func() bool { return f.converged(30) })
	is.True(ok)
	refuted := 0
	for _, n := range f.Nodes {
		if !isMinority(n.Info.ID) && n.Machine.View().Self.Incarnation != n.Incarnation {
			refuted++
		}
	}
	t.Logf("healed after %s; %d of 20 instances of the larger side had to refute", d, refuted)
	is.True(d <= 3*time.Second)
	is.True(refuted <= 5) // suspicions raised before the minority detects that it is cut off
	is.Equal(len(f.falseDeaths), 0)
}
