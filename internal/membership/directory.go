package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/platform"
)

// directory is what the platform's list of instances showed last. The list lags behind reality: it gives addresses
// to join through and announces leaving instances, but never makes an instance live or dead by itself.
type directory struct {
	read    bool
	entries map[instance.ID]platform.InstanceEntry
	// notLeaving holds the incarnation that each instance had when the list last showed it as not leaving.
	notLeaving map[instance.ID]uint64
}

func newDirectory() directory {
	return directory{
		entries:    make(map[instance.ID]platform.InstanceEntry),
		notLeaving: make(map[instance.ID]uint64),
	}
}

// mayExist reports whether the list shows the instance or has never been read.
func (d *directory) mayExist(id instance.ID) bool {
	_, ok := d.entries[id]
	return ok || !d.read
}

// seeds returns the listed instances that this instance does not know as members, sorted by id. Leaving ones count:
// in a small fleet they may be the only ones that have the state. Dead ones are left to the attempts to reconnect.
func (d *directory) seeds(m *Machine) []instance.Info {
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

// pickSeeds returns up to n random listed instances that are not known as members.
func (m *Machine) pickSeeds(n int) []instance.Info {
	seeds := m.directory.seeds(m)
	m.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds[:min(n, len(seeds))]
}

// ApplyInstanceList processes the platform's list of instances and returns calls to the listed instances that this
// instance does not know yet.
func (m *Machine) ApplyInstanceList(now time.Time, entries []platform.InstanceEntry) []Call {
	m.directory.read = true
	clear(m.directory.entries)
	for _, e := range entries {
		m.directory.entries[e.Info.ID] = e
	}
	for _, e := range entries {
		m.noteLeaving(now, e)
	}
	m.dropUnlisted(now)
	if !m.join.done {
		return nil
	}
	var calls []Call
	for _, seed := range m.pickSeeds(JoinFanout) {
		calls = append(calls, m.call(now, CallDigest, seed, m.digestRequest(now)))
	}
	return calls
}

// noteLeaving announces an instance as leaving when the list changes it to leaving while its incarnation stays. A row
// that was leaving before, or that belongs to an earlier incarnation, is old news of a replaced process.
func (m *Machine) noteLeaving(now time.Time, e platform.InstanceEntry) {
	record, known := m.state.member(e.Info.ID)
	if !known || record.State == instance.StateDead {
		return
	}
	if !e.Leaving {
		m.directory.notLeaving[e.Info.ID] = record.Incarnation
		return
	}
	if m.directory.notLeaving[e.Info.ID] != record.Incarnation {
		return
	}
	delete(m.directory.notLeaving, e.Info.ID)
	leaving := Member{ID: e.Info.ID, State: instance.StateLeaving, Incarnation: record.Incarnation}
	m.apply(now, leaving, CauseListedLeaving, m.self)
}

// dropUnlisted declares peers dead that cannot be reached and that the list no longer shows. Without it, the loss of
// most of the fleet for good would leave the rest cut off for ever.
func (m *Machine) dropUnlisted(now time.Time) {
	for id := range m.directory.notLeaving {
		if _, ok := m.directory.entries[id]; !ok {
			delete(m.directory.notLeaving, id)
		}
	}
	if !m.reach.cut {
		return
	}
	var gone []instance.ID
	for id := range m.reach.unreachable {
		if _, ok := m.directory.entries[id]; !ok {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	for _, id := range gone {
		record, _ := m.state.member(id)
		m.apply(now, Member{ID: id, State: instance.StateDead, Incarnation: record.Incarnation}, CauseNotListed, m.self)
	}
	m.evaluateReach(now)
}
