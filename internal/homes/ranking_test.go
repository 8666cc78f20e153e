package homes

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

func testCandidate(i int) Candidate {
	return Candidate{ID: instance.ID(fmt.Sprint("i", i)), Domain: instance.FailureDomain(fmt.Sprint("d", i%3))}
}

func testGroup(i int) Group { return Group{ID: upstream.GroupID(fmt.Sprint("g", i))} }

// Guards against an incremental ranking that differs from a full ranking, and against moving groups that a joining or
// leaving instance does not affect.
func TestRankingAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRanking()
		var before map[upstream.GroupID]instance.ID
		var present []Candidate
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			c := testCandidate(rapid.IntRange(0, 12).Draw(t, "instance"))
			changed := c.ID
			if i := slices.Index(present, c); i >= 0 {
				present = slices.Delete(present, i, i+1)
			} else {
				present = append(present, c)
			}
			var groups []Group
			for i := range rapid.IntRange(10, 12).Draw(t, "groups") {
				groups = append(groups, testGroup(i))
			}
			r.SetGroups(groups)
			r.SetCandidates(present)
			after := make(map[upstream.GroupID]instance.ID)
			fresh := NewRanking()
			fresh.SetCandidates(present)
			fresh.SetGroups(groups)
			for _, g := range groups {
				first, ok := r.First(g.ID)
				order := fresh.Order(g.ID)
				if ok != (len(order) > 0) || ok && first != order[0] {
					t.Fatalf("%s: first is %q, naive order %v", g.ID, first, order)
				}
				for rank, id := range order {
					if got, _ := r.Rank(g.ID, id); got != rank {
						t.Fatalf("%s: rank of %s is %d, want %d", g.ID, id, got, rank)
					}
				}
				after[g.ID] = first
				if old := before[g.ID]; old != "" && old != first && old != changed && first != changed {
					t.Fatalf("%s moved from %s to %s when %s changed", g.ID, old, first, changed)
				}
			}
			before = after
		}
	})
}

// Guards against an uneven distribution of homes over the instances.
func TestRankingBalance(t *testing.T) {
	is := is.New(t)
	const instances, groups = 100, 10000
	r := NewRanking()
	var candidates []Candidate
	for i := range instances {
		candidates = append(candidates, testCandidate(i))
	}
	var all []Group
	for i := range groups {
		all = append(all, testGroup(i))
	}
	r.SetCandidates(candidates)
	r.SetGroups(all)
	count := make(map[instance.ID]int)
	for _, g := range all {
		first, _ := r.First(g.ID)
		count[first]++
	}
	for _, n := range count {
		is.True(n > 60 && n < 140) // mean 100, standard deviation 10
	}
}

// Guards against using the primary's failure domain for more than a tie-break.
func TestPrimaryDomainBreaksTiesOnly(t *testing.T) {
	is := is.New(t)
	entry := rankedGroup{Group: Group{ID: "g", PrimaryDomain: "d1"}}
	a := candidate{Candidate: Candidate{ID: "a", Domain: "d0"}, hash: 7}
	b := candidate{Candidate: Candidate{ID: "b", Domain: "d1"}, hash: 7}
	is.True(entry.before(b, a)) // equal weight
	for hash := range uint64(100) {
		b.hash = hash
		if weight(0, b.hash) < weight(0, a.hash) {
			is.True(entry.before(a, b))
		}
	}
}
