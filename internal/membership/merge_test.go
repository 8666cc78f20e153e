package membership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// small draws from few values, so equal keys, ties and conflicts are frequent.
func small(t *rapid.T, label string) uint64 { return rapid.Uint64Range(1, 3).Draw(t, label) }

func drawMember(t *rapid.T) Member {
	m := Member{
		ID:          instance.ID(fmt.Sprint("i", small(t, "id"))),
		State:       rapid.SampledFrom([]instance.State{0, 1, 2, 3}).Draw(t, "state"),
		Incarnation: small(t, "incarnation"),
	}
	if rapid.Bool().Draw(t, "has info") {
		m.InfoIncarnation = small(t, "info incarnation")
		m.Info = instance.Info{ID: m.ID, PeerAddress: fmt.Sprint("a", small(t, "address"))}
	}
	return m
}

func drawHome(t *rapid.T) Home {
	return Home{
		Group:      upstream.GroupID(fmt.Sprint("g", small(t, "group"))),
		Owner:      instance.ID(fmt.Sprint("i", small(t, "owner"))),
		Generation: small(t, "generation"),
		Primary:    upstream.MemberID(fmt.Sprint("m", small(t, "primary"))),
		Term:       position.Term(small(t, "term")),
		Released:   rapid.Bool().Draw(t, "released"),
	}
}

func drawConfig(t *rapid.T) ConfigVersion {
	return ConfigVersion{Version: small(t, "version"), OperationID: fmt.Sprint("o", small(t, "operation"))}
}

func drawRevocation(t *rapid.T) Revocation {
	key := KeyRef{Customer: fmt.Sprint("c", small(t, "customer")), Key: "k"}
	return Revocation{KeyRef: key, Operator: fmt.Sprint("o", small(t, "operator")), UnixMilli: int64(small(t, "time"))}
}

func checkJoin[T comparable](t *rapid.T, a, b, c T, merge func(x, y T) T) {
	if merge(a, b) != merge(b, a) {
		t.Fatalf("not commutative: %v and %v", merge(a, b), merge(b, a))
	}
	if merge(merge(a, b), c) != merge(a, merge(b, c)) {
		t.Fatalf("not associative: %v and %v", merge(merge(a, b), c), merge(a, merge(b, c)))
	}
	if merge(a, a) != a || merge(merge(a, b), b) != merge(a, b) {
		t.Fatalf("not idempotent: %v", merge(a, b))
	}
}

// Guards against merges that depend on the order or the number of deliveries of a record.
func TestMergeIsJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawMember(t), drawMember(t), drawMember(t)
		for _, m := range []*Member{&b, &c} {
			m.ID, m.Info.ID = a.ID, ""
		}
		a.Info.ID = ""
		checkJoin(t, a, b, c, Member.Merge)
		g, h, i := drawHome(t), drawHome(t), drawHome(t)
		h.Group, i.Group = g.Group, g.Group
		checkJoin(t, g, h, i, Home.Merge)
		checkJoin(t, drawConfig(t), drawConfig(t), drawConfig(t), ConfigVersion.Merge)
		r, s, u := drawRevocation(t), drawRevocation(t), drawRevocation(t)
		s.KeyRef, u.KeyRef = r.KeyRef, r.KeyRef
		checkJoin(t, r, s, u, Revocation.Merge)
	})
}

// referenceState is a simple model of state: plain maps, and a digest computed from all records.
type referenceState struct {
	members     map[instance.ID]Member
	homes       map[upstream.GroupID]Home
	revocations map[KeyRef]Revocation
	config      ConfigVersion
}

func (n *referenceState) root() uint64 {
	s := newState()
	root := s.hashConfig(n.config)
	for _, r := range n.members {
		root ^= s.hashMember(r)
	}
	for _, r := range n.homes {
		root ^= s.hashHome(r)
	}
	for _, r := range n.revocations {
		root ^= s.hashRevocation(r)
	}
	return root
}

// Guards against buckets, copy-on-write and incremental digests that deviate from the model, and against snapshots that
// change after they were taken.
func TestStateAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := referenceState{map[instance.ID]Member{}, map[upstream.GroupID]Home{}, map[KeyRef]Revocation{}, ConfigVersion{}}
		s, reversed := newState(), newState()
		var deliveries []func(*state)
		snapshots := make(map[*View]uint64)
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			m, h, c, r := drawMember(t), drawHome(t), drawConfig(t), drawRevocation(t)
			if old, ok := n.members[m.ID]; ok {
				n.members[m.ID] = old.Merge(m)
			} else {
				n.members[m.ID] = m
			}
			n.homes[h.Group] = n.homes[h.Group].Merge(h)
			if old, ok := n.revocations[r.KeyRef]; ok {
				n.revocations[r.KeyRef] = old.Merge(r)
			} else {
				n.revocations[r.KeyRef] = r
			}
			n.config = n.config.Merge(c)
			deliver := func(to *state) {
				to.mergeMember(m)
				to.mergeHome(h)
				to.mergeConfig(c)
				to.mergeRevocation(r)
			}
			deliver(s)
			deliveries = append(deliveries, deliver)
			if rapid.Bool().Draw(t, "snapshot") {
				snapshots[snapshot(s)] = s.root ^ s.hashConfig(s.config)
			}
		}
		for _, deliver := range slices.Backward(deliveries) {
			deliver(reversed)
			deliver(reversed)
		}
		if s.root != n.root() || reversed.root != s.root {
			t.Fatalf("digests differ: %x, reversed %x, naive %x", s.root, reversed.root, n.root())
		}
		for id, want := range n.members {
			if got, _ := s.member(id); got != want {
				t.Fatalf("member %s: got %v, want %v", id, got, want)
			}
		}
		for v, root := range snapshots {
			if rootOf(v) != root {
				t.Fatal("a snapshot changed after it was taken")
			}
		}
	})
}

func snapshot(s *state) *View {
	for i := range s.shared {
		s.shared[i] = true
	}
	return &View{buckets: s.buckets}
}

func rootOf(v *View) uint64 {
	n := referenceState{map[instance.ID]Member{}, map[upstream.GroupID]Home{}, map[KeyRef]Revocation{}, ConfigVersion{}}
	for m := range v.Members() {
		n.members[m.ID] = m
	}
	for h := range v.Homes() {
		n.homes[h.Group] = h
	}
	for r := range v.Revocations() {
		n.revocations[r.KeyRef] = r
	}
	return n.root()
}
