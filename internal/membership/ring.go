package membership

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/celerystep/celerystep/internal/instance"
)

// ring arranges instances in a circle. Each failure domain is sorted by hash of id and spaced evenly around the circle,
// so neighbours lie in different failure domains as far as the domain sizes allow. An instance probes its next
// neighbours, so every instance is probed by the same number of others.
type ring struct {
	domains []ringDomain
}

// ringDomain is one failure domain of the ring.
type ringDomain struct {
	name    instance.FailureDomain
	entries []ringEntry
}

type ringEntry struct {
	hash uint64
	id   instance.ID
}

func compareEntries(a, b ringEntry) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
}

// add inserts an instance; it has no effect if the instance is present.
func (r *ring) add(id instance.ID, name instance.FailureDomain) {
	d, found := r.domain(name)
	if !found {
		r.domains = slices.Insert(r.domains, d, ringDomain{name: name})
	}
	e := ringEntry{hash: xxhash.Sum64String(string(id)), id: id}
	i, found := slices.BinarySearchFunc(r.domains[d].entries, e, compareEntries)
	if !found {
		r.domains[d].entries = slices.Insert(r.domains[d].entries, i, e)
	}
}

// remove deletes an instance; it has no effect if the instance is not present.
func (r *ring) remove(id instance.ID, name instance.FailureDomain) {
	d, i, found := r.find(id, name)
	if !found {
		return
	}
	r.domains[d].entries = slices.Delete(r.domains[d].entries, i, i+1)
	if len(r.domains[d].entries) == 0 {
		r.domains = slices.Delete(r.domains, d, d+1)
	}
}

func (r *ring) domain(name instance.FailureDomain) (int, bool) {
	return slices.BinarySearchFunc(r.domains, name, func(d ringDomain, n instance.FailureDomain) int {
		return cmp.Compare(d.name, n)
	})
}

func (r *ring) find(id instance.ID, name instance.FailureDomain) (domain, index int, found bool) {
	d, found := r.domain(name)
	if !found {
		return 0, 0, false
	}
	e := ringEntry{hash: xxhash.Sum64String(string(id)), id: id}
	i, found := slices.BinarySearchFunc(r.domains[d].entries, e, compareEntries)
	return d, i, found
}

// ringPosition is a position on the circle as numerator/denominator of a turn. The numerator includes whole turns.
type ringPosition struct {
	numerator   int
	denominator int
	domain      int
	id          instance.ID
}

func comparePositions(a, b ringPosition) int {
	return cmp.Or(
		cmp.Compare(a.numerator*b.denominator, b.numerator*a.denominator),
		cmp.Compare(a.domain, b.domain),
	)
}

// positionOf returns the position of the i-th instance of a domain. An index beyond the size of the domain continues
// into later turns.
func (r *ring) positionOf(domain, i int) ringPosition {
	n := len(r.domains[domain].entries)
	turn, rank := i/n, i%n
	return ringPosition{
		numerator:   2*rank + 1 + 2*n*turn,
		denominator: 2 * n,
		domain:      domain,
		id:          r.domains[domain].entries[rank].id,
	}
}

// successors returns the k instances that follow the given one on the circle, or all others if there are fewer.
func (r *ring) successors(id instance.ID, name instance.FailureDomain, k int) []instance.ID {
	own, rank, found := r.find(id, name)
	if !found {
		return nil
	}
	from := r.positionOf(own, rank)
	var following []ringPosition
	for d := range r.domains {
		n := len(r.domains[d].entries)
		first := sort.Search(n, func(i int) bool { return comparePositions(r.positionOf(d, i), from) > 0 })
		for i := first; i < first+min(k, n); i++ {
			following = append(following, r.positionOf(d, i))
		}
	}
	slices.SortFunc(following, comparePositions)
	ids := make([]instance.ID, 0, k)
	for _, p := range following {
		if p.id != id && len(ids) < k {
			ids = append(ids, p.id)
		}
	}
	return ids
}
