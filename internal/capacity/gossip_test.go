package capacity

import (
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"
)

var fullSizes = flag.Bool("gossip-sizes", false, "measure the control plane at all sizes up to 1,200 instances")

// Guards against control traffic that grows with the fleet or exceeds the budget of 26 KB a second.
func TestMeasureGossip(t *testing.T) {
	sizes := GossipSizes[:2]
	if *fullSizes {
		sizes = GossipSizes
	}
	for _, n := range sizes {
		is := is.New(t)
		results, err := MeasureGossip(n, 1)
		is.NoErr(WriteGossip(os.Stdout, results))
		is.NoErr(err)
	}
}
