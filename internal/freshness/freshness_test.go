package freshness

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/celerystep/celerystep/internal/position"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func pos(term, lsn int) position.Position {
	return position.Position{Term: position.Term(term), LSN: position.LSN(lsn)}
}

func TestFloorNeedsAnAnswerToALaterRequest(t *testing.T) {
	is := is.New(t)
	var l History
	_, ok := l.FloorAt(at(0))
	is.True(!ok) // nothing is known
	l.Observe(pos(1, 5), at(100))
	_, ok = l.FloorAt(at(101))
	is.True(!ok) // a commit at 100.5 may be missing
	p, ok := l.FloorAt(at(100))
	is.True(ok)
	is.Equal(p, pos(1, 5))
}

func TestFloorIsDatedBeforeItsFirstSight(t *testing.T) {
	is := is.New(t)
	var l History
	l.Observe(pos(1, 5), at(0))
	l.Observe(pos(1, 9), at(100))
	l.Observe(pos(1, 9), at(200))
	p, _ := l.FloorAt(at(0))
	is.Equal(p, pos(1, 5)) // 9 was acknowledged at 0 at the earliest
	p, _ = l.FloorAt(at(1))
	is.Equal(p, pos(1, 9))
}

func TestClampAfterAPromotion(t *testing.T) {
	is := is.New(t)
	var l History
	l.Observe(pos(1, 9), at(0))
	l.Observe(pos(2, 7), at(100))
	is.Equal(l.Clamp(pos(1, 9)), pos(2, 7)) // reads need not include records that did not survive
	is.Equal(l.Clamp(pos(2, 8)), pos(2, 8))
	is.Equal(l.Clamp(position.Position{}), position.Position{})
	l.Observe(pos(1, 12), at(200))
	is.Equal(l.Latest(), pos(2, 7)) // answers of the former primary are ignored
}

// TestFloorCoversEveryAcknowledgedCommit simulates commits and answers that the network reorders, and compares each floor
// with the commits acknowledged by then.
func TestFloorCoversEveryAcknowledgedCommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type answer struct{ sent, ran, came int }
		var l History
		answers := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) answer {
			sent := rapid.IntRange(0, 2000).Draw(t, "sent")
			ran := sent + rapid.IntRange(0, 50).Draw(t, "run")
			return answer{sent, ran, ran + rapid.IntRange(0, 50).Draw(t, "back")}
		}), 1, 60).Draw(t, "answers")
		commits := rapid.SliceOfN(rapid.IntRange(0, 2100), 0, 60).Draw(t, "commits")
		logAt := func(ms int) int {
			n := 0
			for _, c := range commits {
				if c <= ms {
					n++
				}
			}
			return n
		}
		for now := 0; now <= 2200; now++ {
			for _, a := range answers {
				if a.came == now {
					l.Observe(pos(1, 1+logAt(a.ran)), at(a.sent))
				}
			}
			if now%50 != 0 {
				continue
			}
			then := now - rapid.IntRange(0, 300).Draw(t, "age")
			p, ok := l.FloorAt(at(then))
			if ok && int(p.LSN) < 1+logAt(then-1) {
				t.Fatalf("at %d the floor for %d is %v, but %d commits were acknowledged", now, then, p, logAt(then-1))
			}
		}
	})
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	var l History
	for i := range 5 * maxSamples {
		l.Observe(pos(1, i+1), at(i))
	}
	is.True(len(l.samples) <= maxSamples)
	p, ok := l.FloorAt(at(0))
	is.True(ok)
	is.True(!p.Less(pos(1, 1))) // a floor may be too high after merging, never too low
}
