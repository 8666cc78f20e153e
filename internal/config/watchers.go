package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/celerystep/celerystep/internal/instance"
)

// WatchersPerDomain is the number of instances in each failure domain that hold a watch on the root. Two of them may
// fail at once without delay for the others.
const WatchersPerDomain = 3

// Watchers returns the instances that hold a watch: in each failure domain the WatchersPerDomain live instances with
// the highest rendezvous hash. Each instance computes it from its own view; a difference between views only adds or
// misses a watch for a while.
func Watchers(live []instance.Info) map[instance.ID]bool {
	domains := make(map[instance.FailureDomain][]instance.ID)
	for _, i := range live {
		domains[i.FailureDomain] = append(domains[i.FailureDomain], i.ID)
	}
	out := make(map[instance.ID]bool)
	for _, ids := range domains {
		slices.SortFunc(ids, func(a, b instance.ID) int {
			return cmp.Or(cmp.Compare(watchWeight(b), watchWeight(a)), cmp.Compare(a, b))
		})
		for _, id := range ids[:min(len(ids), WatchersPerDomain)] {
			out[id] = true
		}
	}
	return out
}

func watchWeight(id instance.ID) uint64 { return xxhash.Sum64String(rootKey + "\x00" + string(id)) }
