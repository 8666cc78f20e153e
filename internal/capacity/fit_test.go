package capacity

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// TestFit guards against a wrong slope or error, on points with a known regression.
func TestFit(t *testing.T) {
	is := is.New(t)
	s, err := Fit("f", "B", "group", "", []Point{{1, 2}, {2, 4}, {3, 5}, {4, 4}, {5, 5}})
	is.NoErr(err)
	is.True(math.Abs(s.Slope-0.6) < 1e-9)
	is.True(math.Abs(s.Base-2.2) < 1e-9)
	is.True(math.Abs(s.Error-math.Sqrt(2.4/3/10)) < 1e-9)
	is.True(math.Abs(s.At(10)-8.2) < 1e-9)
}

// TestFitNeedsThreePoints guards against a slope whose error is unknown.
func TestFitNeedsThreePoints(t *testing.T) {
	_, err := Fit("f", "B", "group", "", []Point{{1, 2}, {2, 4}})
	is.New(t).True(err != nil)
}
