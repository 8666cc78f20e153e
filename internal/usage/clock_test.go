package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/instance"
)

// Guards against a holder that follows a minority, or just half, of the clocks.
func TestOnlyAMajorityOutvotesTheHolder(t *testing.T) {
	const fast, slow = 5 * time.Second, -5 * time.Second
	for _, c := range []struct {
		name  string
		ahead []time.Duration
		want  time.Duration
	}{
		{"alone", nil, 0},
		{"one other", []time.Duration{fast}, 0},
		{"two others", []time.Duration{fast, fast}, fast},
		{"one of three", []time.Duration{0, slow}, 0},
		{"half ahead", []time.Duration{0, fast, fast}, 0},
		{"half behind", []time.Duration{0, slow, slow}, 0},
		{"three of four ahead", []time.Duration{fast, fast, fast}, fast},
		{"three of four behind", []time.Duration{slow, slow, slow}, slow},
		{"others on both sides", []time.Duration{slow, fast}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var v Votes
			now := time.Unix(1000, 0)
			for i, ahead := range c.ahead {
				v.Add(instance.ID(rune('a'+i)), ahead, now)
			}
			median, clocks := v.Median(now)
			is.Equal(median, c.want)
			is.Equal(clocks, 1+len(c.ahead))
		})
	}
}
