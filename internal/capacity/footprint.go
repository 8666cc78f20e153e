package capacity

import (
	"runtime"
	"time"

	"github.com/celerystep/celerystep/internal/homes"
)

// footprintUpdates is the number of updates over which the planner's processor time is averaged.
const footprintUpdates = 50

// Footprint is what the state of one instance costs.
type Footprint struct {
	Instances int
	Groups    int
	// HeapBytes is the heap held by the membership state and the planner.
	HeapBytes uint64
	// FirstUpdate is the processor time of the first update of the planner, which ranks all instances for all groups.
	FirstUpdate time.Duration
	// Update is the processor time of one update of the planner after an instance left or came back.
	Update time.Duration
	// Decide is the processor time of one round of decisions when nothing changed.
	Decide time.Duration
}

// MeasureFootprint builds the state of one instance in a fleet of n and measures it. Nothing else may run in the
// process meanwhile.
func MeasureFootprint(n int) Footprint {
	before := heapBytes()
	f := &gossipFleet{Network: NewNetwork(1), n: n}
	f.addNodes()
	view := f.fullView()
	p := homes.NewPlanner(f.Nodes[0].Info.ID, 1)
	situation := homes.ClusterView{MayClaim: true, State: view.State, Home: view.Home}
	for i := range f.groups() {
		situation.Groups = append(situation.Groups, homes.Group{ID: f.home(i, 1, f.Nodes[0]).Group})
	}
	for _, m := range view.Live() {
		situation.Candidates = append(situation.Candidates, homes.Candidate{ID: m.ID, Domain: m.Info.FailureDomain})
	}
	start := processorTime()
	p.Update(f.Now, situation)
	result := Footprint{Instances: n, Groups: f.groups(), FirstUpdate: processorTime() - start}
	result.HeapBytes = heapBytes() - before
	result.Update = f.measureUpdates(p, situation)
	start = processorTime()
	for range footprintUpdates {
		p.Decide(f.Now)
	}
	result.Decide = (processorTime() - start) / footprintUpdates
	runtime.KeepAlive(view)
	return result
}

// measureUpdates lets one instance after the other leave and come back.
func (f *gossipFleet) measureUpdates(p *homes.Planner, full homes.ClusterView) time.Duration {
	start := processorTime()
	for i := range footprintUpdates / 2 {
		without := full
		without.Candidates = append([]homes.Candidate(nil), full.Candidates[:i]...)
		without.Candidates = append(without.Candidates, full.Candidates[i+1:]...)
		p.Update(f.Now, without)
		p.Update(f.Now, full)
	}
	return (processorTime() - start) / footprintUpdates
}

// addNodes puts the instances on the network.
func (f *gossipFleet) addNodes() {
	for i := range f.n {
		f.Add(gossipInfo(i))
	}
}

// heapBytes returns the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
