package revision

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against revisions of a later era that come before earlier ones, and against parts that are not recovered.
func TestRevisionsAreOrderedByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		era, number := rapid.Uint64Range(0, 1<<12).Draw(t, "era"), rapid.Uint64Range(1, maxNumber).Draw(t, "number")
		other := rapid.Uint64Range(1, maxNumber).Draw(t, "other")
		r := Of(era, number)
		is.Equal(Era(r), era)
		is.Equal(Number(r), number)
		is.True(r < Of(era+1, other))
		is.Equal(number < other, r < Of(era, other))
		is.Equal(uint64(float64(r)), r) // some decoders of JSON use floating point
		is.Equal(Of(era, 0), uint64(0))
	})
}
