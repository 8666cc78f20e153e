// Package homes decides which instance is the home of each database group.
//
// It is pure: time comes in as an argument and random numbers come from a seeded source. Its decisions give no
// authority. The members of a group do that, by accepting a claim with a higher generation.
package homes

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Candidate is an instance that may be a home: live, not leaving, in a failure domain that is in.
type Candidate struct {
	ID     instance.ID
	Domain instance.FailureDomain
}

// Group is a database group with the failure domain of its primary, empty if not known.
type Group struct {
	ID            upstream.GroupID
	PrimaryDomain instance.FailureDomain
}

// candidate is a Candidate with the hash of its id.
type candidate struct {
	Candidate
	hash uint64
}

// ranked is a group with its first candidate.
type ranked struct {
	Group
	hash  uint64
	first candidate
	some  bool
}

// Ranking keeps the first candidate of each group by rendezvous hashing (highest random weight). A change of the
// candidates moves only groups whose first candidate leaves or is beaten by a new one.
type Ranking struct {
	candidates map[instance.ID]candidate
	groups     map[upstream.GroupID]*ranked
}

// NewRanking returns a ranking without groups and candidates.
func NewRanking() *Ranking {
	return &Ranking{
		candidates: make(map[instance.ID]candidate),
		groups:     make(map[upstream.GroupID]*ranked),
	}
}

// weight returns the rendezvous weight of a candidate for a group.
func weight(group, instance uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], group)
	binary.LittleEndian.PutUint64(b[8:], instance)
	return xxhash.Sum64(b[:])
}

// before reports whether a comes before b in the order of the group: by weight, and at equal weight by being in the
// failure domain of the primary, then by id.
func (r *ranked) before(a, b candidate) bool {
	return cmp.Or(
		-cmp.Compare(weight(r.hash, a.hash), weight(r.hash, b.hash)),
		-compareBool(a.Domain == r.PrimaryDomain, b.Domain == r.PrimaryDomain),
		cmp.Compare(a.ID, b.ID),
	) < 0
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// SetGroups replaces the groups. Only new groups and those whose primary changed its failure domain are ranked anew.
func (r *Ranking) SetGroups(groups []Group) {
	keep := make(map[upstream.GroupID]bool, len(groups))
	for _, g := range groups {
		keep[g.ID] = true
		old, known := r.groups[g.ID]
		if known && old.Group == g {
			continue
		}
		entry := &ranked{Group: g, hash: xxhash.Sum64String(string(g.ID))}
		r.rank(entry)
		r.groups[g.ID] = entry
	}
	for id := range r.groups {
		if !keep[id] {
			delete(r.groups, id)
		}
	}
}

// SetCandidates replaces the candidates.
func (r *Ranking) SetCandidates(candidates []Candidate) {
	present := make(map[instance.ID]bool, len(candidates))
	var added []candidate
	for _, c := range candidates {
		present[c.ID] = true
		old, known := r.candidates[c.ID]
		if known && old.Candidate == c {
			continue
		}
		entry := candidate{Candidate: c, hash: xxhash.Sum64String(string(c.ID))}
		r.candidates[c.ID] = entry
		added = append(added, entry)
	}
	for id := range r.candidates {
		if !present[id] {
			delete(r.candidates, id)
		}
	}
	for _, g := range r.groups {
		r.update(g, added)
	}
}

// update adapts the first candidate of a group to changed candidates.
func (r *Ranking) update(g *ranked, added []candidate) {
	if g.some && r.candidates[g.first.ID] != g.first {
		r.rank(g)
		return
	}
	for _, c := range added {
		if !g.some || g.before(c, g.first) {
			g.first, g.some = c, true
		}
	}
}

// rank finds the first candidate of a group among all.
func (r *Ranking) rank(g *ranked) {
	g.some = false
	for _, c := range r.candidates {
		if !g.some || g.before(c, g.first) {
			g.first, g.some = c, true
		}
	}
}

// First returns the first candidate of a group; ok is false for an unknown group and without candidates.
func (r *Ranking) First(id upstream.GroupID) (first instance.ID, ok bool) {
	g, known := r.groups[id]
	if !known || !g.some {
		return "", false
	}
	return g.first.ID, true
}

// Rank returns how many candidates come before the given one, and whether it is a candidate of a known group.
func (r *Ranking) Rank(id upstream.GroupID, of instance.ID) (rank int, ok bool) {
	g, known := r.groups[id]
	own, candidate := r.candidates[of]
	if !known || !candidate {
		return 0, false
	}
	for _, c := range r.candidates {
		if g.before(c, own) {
			rank++
		}
	}
	return rank, true
}

// Order returns all candidates of a group, the first one first.
func (r *Ranking) Order(id upstream.GroupID) []instance.ID {
	g, known := r.groups[id]
	if !known {
		return nil
	}
	all := make([]candidate, 0, len(r.candidates))
	for _, c := range r.candidates {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b candidate) int {
		if g.before(a, b) {
			return -1
		}
		return 1
	})
	ids := make([]instance.ID, 0, len(all))
	for _, c := range all {
		ids = append(ids, c.ID)
	}
	return ids
}
