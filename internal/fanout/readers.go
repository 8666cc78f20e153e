package fanout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/celerystep/celerystep/internal/instance"
)

const (
	// readersPerDomain is the number of readers in a failure domain. Two let the loss of one be covered nearby.
	readersPerDomain = 2
	// minReaders is the number of owners from which the fleet has readers. With fewer of them, the loss of one or two
	// would send every instance to the store at once, so each reads the store itself.
	minReaders = 4
	// minReadersOfManyGroups replaces minReaders when there are as many groups as minReaders. Such a fleet may be large while
	// few instances own all groups, for example after others were cut off; if each of its instances read the store, they
	// would make far more calls than the loss of a reader does.
	minReadersOfManyGroups = 2
)

// Reader is an instance that may read the store for others.
type Reader struct {
	Instance instance.ID
	// Process distinguishes successive processes of one instance.
	Process string
	// Address is the host:port at which peers reach it.
	Address string
	Domain  instance.FailureDomain
	// Cores is its CPU time in cores; 0 when unknown.
	Cores float64
}

// Choose returns the readers among the owners of groups, one entry for each group: in each failure domain those with the most
// CPU time. It returns none when there are too few owners. The order of owners does not matter.
func Choose(owners []Reader) []Reader {
	byInstance := make(map[instance.ID]Reader, len(owners))
	for _, o := range owners {
		// Two processes of one instance may appear for a moment; all instances keep the same one.
		if known, ok := byInstance[o.Instance]; !ok || known.Process < o.Process {
			byInstance[o.Instance] = o
		}
	}
	required := minReaders
	if len(owners) >= minReaders {
		required = minReadersOfManyGroups
	}
	if len(byInstance) < required {
		return nil
	}
	byDomain := make(map[instance.FailureDomain][]Reader)
	for _, o := range byInstance {
		byDomain[o.Domain] = append(byDomain[o.Domain], o)
	}
	var readers []Reader
	for _, candidates := range byDomain {
		slices.SortFunc(candidates, func(a, b Reader) int {
			return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.hash(""), b.hash("")), cmp.Compare(a.Instance, b.Instance))
		})
		readers = append(readers, candidates[:min(readersPerDomain, len(candidates))]...)
	}
	slices.SortFunc(readers, func(a, b Reader) int { return cmp.Compare(a.Instance, b.Instance) })
	return readers
}

// Order returns the readers in the order in which an instance tries them: those of its own failure domain first, then by
// a hash that spreads the instances over the readers.
func Order(self instance.ID, domain instance.FailureDomain, readers []Reader) []Reader {
	ordered := slices.Clone(readers)
	slices.SortFunc(ordered, func(a, b Reader) int {
		return cmp.Or(compareBool(a.Domain == domain, b.Domain == domain), cmp.Compare(a.hash(self), b.hash(self)))
	})
	return ordered
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

func (r Reader) hash(salt instance.ID) uint64 {
	return xxhash.Sum64String(string(salt) + "/" + string(r.Instance))
}
