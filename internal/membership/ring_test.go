package membership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/celerystep/celerystep/internal/instance"
)

// Guards against instances without probers, and against probers in the failure domain of their target.
func TestRingProbesEachInstanceEqually(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r ring
		domains := make(map[instance.ID]instance.FailureDomain)
		equal := rapid.Bool().Draw(t, "equal domains")
		for i := range rapid.IntRange(1, 60).Draw(t, "instances") {
			d := i % 3
			if !equal {
				d = rapid.IntRange(0, 4).Draw(t, "domain")
			}
			id := instance.ID(fmt.Sprint("i", i))
			domains[id] = instance.FailureDomain(fmt.Sprint("d", d))
			r.add(id, domains[id])
			r.add(id, domains[id])
		}
		for i := range len(domains) / 2 {
			id := instance.ID(fmt.Sprint("i", i))
			if !equal && rapid.Bool().Draw(t, "removed") {
				r.remove(id, domains[id])
				delete(domains, id)
			}
		}
		probers := make(map[instance.ID]int)
		for id, d := range domains {
			foreign := 0
			for _, p := range r.successors(id, d, ProbePartners) {
				probers[p]++
				if domains[p] != d {
					foreign++
				}
			}
			if equal && len(domains)%3 == 0 && foreign < 2 {
				t.Fatalf("%s probes only %d instances of other domains", id, foreign)
			}
		}
		for id := range domains {
			if want := min(ProbePartners, len(domains)-1); probers[id] != want {
				t.Fatalf("%s of %d has %d probers, want %d", id, len(domains), probers[id], want)
			}
		}
	})
}
