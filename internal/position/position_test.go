package position

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against comparing positions of different terms by LSN only.
func TestContainsAcrossTerms(t *testing.T) {
	is := is.New(t)
	h := History{{Term: 1, Start: 0}, {Term: 3, Start: 10}}
	is.True(h.Contains(12, Position{Term: 1, LSN: 10}))
	is.True(!h.Contains(12, Position{Term: 1, LSN: 11})) // written by a replaced primary after the new term began
	is.True(!h.Contains(12, Position{Term: 4, LSN: 1}))  // a term that the log does not know yet
	is.True(!h.Contains(9, Position{Term: 1, LSN: 10}))  // not applied yet
	is.True(h.Contains(0, Position{}))
}

// Guards against a clamp that changes a position inside its own term or leaves one beyond the next term's start.
func TestClampAgreesWithContains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h History
		term, start := Term(0), LSN(0)
		for range rapid.IntRange(1, 5).Draw(t, "terms") {
			term += Term(rapid.IntRange(1, 3).Draw(t, "step"))
			h = append(h, TermStart{Term: term, Start: start})
			start += LSN(rapid.IntRange(1, 10).Draw(t, "records"))
		}
		p := Position{Term: Term(rapid.IntRange(0, int(term)).Draw(t, "term")), LSN: LSN(rapid.IntRange(0, int(start)).Draw(t, "lsn"))}
		clamped, beyond := h.Clamp(p)
		if !h.Contains(start, clamped) {
			t.Fatalf("history %v does not contain the clamped position %v", h, clamped)
		}
		if beyond == h.Contains(start, p) && !p.IsZero() {
			t.Fatalf("position %v: beyond=%v contradicts Contains", p, beyond)
		}
	})
}

// Guards against a text form that does not round-trip.
func TestParse(t *testing.T) {
	is := is.New(t)
	p, err := Parse("3/17")
	is.NoErr(err)
	is.Equal(p, Position{Term: 3, LSN: 17})
	for _, bad := range []string{"", "3", "a/1", "1/b", "-1/2"} {
		_, err := Parse(bad)
		is.True(err != nil)
	}
}
