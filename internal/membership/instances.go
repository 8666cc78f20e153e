package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/platform"
)

// instanceList is the latest list of instances from the platform. The list may be stale: it provides addresses for
// joining and announces leaving instances, but never makes an instance live or dead by itself.
type instanceList struct {
	loaded  bool
	entries map[instance.ID]platform.InstanceEntry
	// lastActive holds the incarnation that each instance had when the list last showed it as not leaving.
	lastActive map[instance.ID]uint64
}

func newInstanceList() instanceList {
	return instanceList{
		entries:    make(map[instance.ID]platform.InstanceEntry),
		lastActive: make(map[instance.ID]uint64),
	}
}

// mayBeListed reports whether the list contains the instance or has not been read yet.
func (d *instanceList) mayBeListed(id instance.ID) bool {
	_, ok := d.entries[id]
	return ok || !d.loaded
}

// seeds returns the listed instances that are not known members, sorted by id. It includes leaving instances: in a
// small fleet they may be the only ones that have the state. Once this instance has joined, dead instances are
// excluded; CallReconnect covers them.
func (d *instanceList) seeds(m *Machine) []instance.Info {
	var seeds []instance.Info
	for id, e := range d.entries {
		_, dead := m.tombstones[id]
		if id != m.self && !m.peers.has(id) && !(dead && m.join.done) {
			seeds = append(seeds, e.Info)
		}
	}
	slices.SortFunc(seeds, func(a, b instance.Info) int { return cmp.Compare(a.ID, b.ID) })
	return seeds
}

// pickSeeds returns up to n random seeds.
func (m *Machine) pickSeeds(n int) []instance.Info {
	seeds := m.instanceList.seeds(m)
	m.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds[:min(n, len(seeds))]
}

// ApplyInstanceList processes the platform's list of instances and returns calls to the listed instances that this
// instance does not know yet.
func (m *Machine) ApplyInstanceList(now time.Time, entries []platform.InstanceEntry) []Call {
	m.instanceList.loaded = true
	clear(m.instanceList.entries)
	for _, e := range entries {
		m.instanceList.entries[e.Info.ID] = e
	}
	for _, e := range entries {
		m.applyListedLeaving(now, e)
	}
	m.markUnlistedDead(now)
	if !m.join.done {
		return nil
	}
	var calls []Call
	for _, seed := range m.pickSeeds(JoinFanout) {
		calls = append(calls, m.call(now, CallDigest, seed, m.digestRequest(now)))
	}
	return calls
}

// applyListedLeaving announces an instance as leaving if the list changed it to leaving during its current incarnation.
// An entry that was leaving before, or that belongs to an earlier incarnation, describes a replaced process.
func (m *Machine) applyListedLeaving(now time.Time, e platform.InstanceEntry) {
	record, known := m.state.member(e.Info.ID)
	if !known || record.State == instance.StateDead {
		return
	}
	if !e.Leaving {
		m.instanceList.lastActive[e.Info.ID] = record.Incarnation
		return
	}
	if m.instanceList.lastActive[e.Info.ID] != record.Incarnation {
		return
	}
	delete(m.instanceList.lastActive, e.Info.ID)
	leaving := Member{ID: e.Info.ID, State: instance.StateLeaving, Incarnation: record.Incarnation}
	m.apply(now, leaving, CauseListedLeaving, m.self)
}

// markUnlistedDead declares unreachable peers dead that are no longer in the list. Without it, the permanent loss of
// most of the fleet would leave the remaining instances cut off forever.
func (m *Machine) markUnlistedDead(now time.Time) {
	for id := range m.instanceList.lastActive {
		if _, ok := m.instanceList.entries[id]; !ok {
			delete(m.instanceList.lastActive, id)
		}
	}
	if !m.reachability.cutOff {
		return
	}
	var unlisted []instance.ID
	for id := range m.reachability.unreachable {
		if _, ok := m.instanceList.entries[id]; !ok {
			unlisted = append(unlisted, id)
		}
	}
	slices.Sort(unlisted)
	for _, id := range unlisted {
		record, _ := m.state.member(id)
		m.apply(now, Member{ID: id, State: instance.StateDead, Incarnation: record.Incarnation}, CauseNotListed, m.self)
	}
	m.evaluateReach(now)
}
