package capacity

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

var fullSizes = flag.Bool("gossip-sizes", false, "measure the control plane at all sizes up to 1,200 instances")

// Budgets of the control plane (design page, section 14).
const (
	budgetBytesPerSecond = 26 * 1024
	budgetBytesHeap      = 32 << 20
	boundSpread          = 4 * time.Second
)

// Guards against control traffic that grows with the fleet or exceeds its budget, and against news that arrives late.
func TestMeasureGossip(t *testing.T) {
	sizes := GossipSizes[:2]
	if *fullSizes {
		sizes = GossipSizes
	}
	steady := make(map[int]float64)
	for _, n := range sizes {
		is := is.New(t)
		results, err := MeasureGossip(n, 1)
		is.NoErr(err)
		is.NoErr(WriteGossip(os.Stdout, results))
		for _, r := range results {
			is.True(r.BytesPerSecond <= budgetBytesPerSecond)
			switch r.Scenario {
			case "steady":
				steady[n] = r.BytesPerSecond
				is.Equal(r.WrongDeaths, 0)
			case "one death", "one configuration":
				is.True(r.Spread <= boundSpread)
				is.Equal(r.WrongDeaths, 0)
			}
		}
		is.True(steady[n] <= steady[sizes[0]]*1.05) // does not depend on the size of the fleet
	}
}

// Guards against a state that does not fit the memory and processor time of a daemon at the size to build towards.
func TestMeasureFootprint(t *testing.T) {
	is := is.New(t)
	f := MeasureFootprint(1200)
	fmt.Printf("%d instances, %d groups: heap %d KB, planner first update %s, further %s, decide %s\n",
		f.Instances, f.Groups, f.HeapBytes/1024, f.FirstUpdate, f.Update, f.Decide)
	is.True(f.HeapBytes <= budgetBytesHeap)
	is.True(f.Update*5 <= f.FirstUpdate) // a change must not rank everything anew
}
