// Package homes decides which instance should be the home of each database group, that is, which instance claims a
// group and when a home moves. Package home implements the home role itself. Package ownership is the counterpart
// for claims in the platform's key-value store.
//
// The package is deterministic: times are passed as arguments and random numbers come from a seeded source. Its
// decisions confer no authority; an instance becomes the home of a group only when a majority of the group's members
// accepts its claim with a higher generation.
package homes

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Candidate is an instance that may be a home: it is live and not leaving, and its failure domain is not taken out.
type Candidate struct {
	ID     instance.ID
	Domain instance.FailureDomain
}

// Group is a database group. PrimaryDomain is the failure domain of its primary, empty if unknown.
type Group struct {
	ID            upstream.GroupID
	PrimaryDomain instance.FailureDomain
}

// candidate is a Candidate and the hash of its id.
type candidate struct {
	Candidate
	hash uint64
}

// rankedGroup is a group, the hash of its id and its first candidate, if hasFirst.
type rankedGroup struct {
	Group
	hash     uint64
	first    candidate
	hasFirst bool
}

// Ranking ranks the candidates of each group by rendezvous hashing (highest random weight) and caches the first one. A
// change of the candidates affects only groups whose first candidate is removed or outranked by a new one.
type Ranking struct {
	candidates map[instance.ID]candidate
	groups     map[upstream.GroupID]*rankedGroup
}

// NewRanking returns a ranking without groups or candidates.
func NewRanking() *Ranking {
	return &Ranking{
		candidates: make(map[instance.ID]candidate),
		groups:     make(map[upstream.GroupID]*rankedGroup),
	}
}

// weight returns the rendezvous weight of a candidate for a group.
func weight(group, instance uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], group)
	binary.LittleEndian.PutUint64(b[8:], instance)
	return xxhash.Sum64(b[:])
}

// before reports whether a ranks before b for the group. The order is by weight; ties are broken in favor of the
// primary's failure domain, then by id.
func (r *rankedGroup) before(a, b candidate) bool {
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

// SetGroups replaces the groups. Only new groups and those whose primary moved to another failure domain are re-ranked.
func (r *Ranking) SetGroups(groups []Group) {
	keep := make(map[upstream.GroupID]bool, len(groups))
	for _, g := range groups {
		keep[g.ID] = true
		old, known := r.groups[g.ID]
		if known && old.Group == g {
			continue
		}
		entry := &rankedGroup{Group: g, hash: xxhash.Sum64String(string(g.ID))}
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

// update updates the first candidate of a group after a change of the candidates.
func (r *Ranking) update(g *rankedGroup, added []candidate) {
	if g.hasFirst && r.candidates[g.first.ID] != g.first {
		r.rank(g)
		return
	}
	for _, c := range added {
		if !g.hasFirst || g.before(c, g.first) {
			g.first, g.hasFirst = c, true
		}
	}
}

// rank determines the first candidate of a group.
func (r *Ranking) rank(g *rankedGroup) {
	g.hasFirst = false
	for _, c := range r.candidates {
		if !g.hasFirst || g.before(c, g.first) {
			g.first, g.hasFirst = c, true
		}
	}
}

// First returns the first candidate of a group. ok is false if the group is unknown or there are no candidates.
func (r *Ranking) First(id upstream.GroupID) (first instance.ID, ok bool) {
	g, known := r.groups[id]
	if !known || !g.hasFirst {
		return "", false
	}
	return g.first.ID, true
}

// Rank returns the zero-based rank of an instance for a group. ok is false if the group is unknown or the instance is
// not a candidate.
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

// Order returns all candidates of a group in order of rank.
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
