package membership

import (
	"cmp"
	"iter"
	"slices"
	"sync"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

// View is an immutable snapshot of the fleet as known to one instance. It is safe for concurrent use.
type View struct {
	// Self is the record of the instance that created the view.
	Self Member
	// Joined is true once the instance has had a complete copy of the fleet's state.
	Joined bool
	// CutOff is true while the instance cannot reach more than half of the peers it knows.
	CutOff bool
	// MembersVersion increases with each change of a member or of its reachability.
	MembersVersion uint64
	// HomesVersion increases with each change of a home.
	HomesVersion uint64

	buckets     [BucketCount]*bucket
	config      ConfigVersion
	unreachable map[instance.ID]struct{}

	liveOnce sync.Once
	live     []Member
}

// Member returns the record of an instance.
func (v *View) Member(id instance.ID) (Member, bool) {
	m, ok := v.buckets[bucketOf(string(id))].members[id]
	return m, ok
}

// State returns the effective state of an instance. An unknown instance is dead; so is an unreachable one while this
// instance is cut off from most peers.
func (v *View) State(id instance.ID) instance.State {
	if _, ok := v.unreachable[id]; ok {
		return instance.StateDead
	}
	m, ok := v.Member(id)
	if !ok {
		return instance.StateDead
	}
	return m.State
}

// Address returns the addresses of a known instance.
func (v *View) Address(id instance.ID) (instance.Info, bool) {
	m, ok := v.Member(id)
	return m.Info, ok && m.HasAddress()
}

// Live returns the instances that are live or suspect, sorted by id, including this one. The caller must not modify the
// slice.
func (v *View) Live() []Member {
	v.liveOnce.Do(func() {
		for m := range v.Members() {
			state := v.State(m.ID)
			if m.HasAddress() && (state == instance.StateLive || state == instance.StateSuspect) {
				v.live = append(v.live, m)
			}
		}
		slices.SortFunc(v.live, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	})
	return v.live
}

// Members iterates over all known instances, including dead ones, in no particular order.
func (v *View) Members() iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for _, b := range v.buckets {
			for _, m := range b.members {
				if !yield(m) {
					return
				}
			}
		}
	}
}

// Home returns the record of the home of a group.
func (v *View) Home(g upstream.GroupID) (Home, bool) {
	h, ok := v.buckets[bucketOf(string(g))].homes[g]
	return h, ok
}

// Homes iterates over the records of all homes in no particular order.
func (v *View) Homes() iter.Seq[Home] {
	return func(yield func(Home) bool) {
		for _, b := range v.buckets {
			for _, h := range b.homes {
				if !yield(h) {
					return
				}
			}
		}
	}
}

// Config returns the highest announced configuration version.
func (v *View) Config() ConfigVersion { return v.config }

// Revoked reports whether an emergency revocation of the key is known.
func (v *View) Revoked(k KeyRef) bool {
	_, ok := v.buckets[bucketOf(k.Customer)].revocations[k]
	return ok
}

// Revocations iterates over all emergency revocations in no particular order.
func (v *View) Revocations() iter.Seq[Revocation] {
	return func(yield func(Revocation) bool) {
		for _, b := range v.buckets {
			for _, r := range b.revocations {
				if !yield(r) {
					return
				}
			}
		}
	}
}
