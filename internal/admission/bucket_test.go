package admission

import (
	"math/big"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/celerystep/celerystep/internal/config"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func contract(rate float64, burst int) config.Contract {
	return config.Contract{RatePerSecond: rate, Burst: burst, Share: 1}
}

// exactBucket is a reference token bucket in rational arithmetic.
type exactBucket struct {
	rate, burst, level *big.Rat
	at                 time.Time
}

func (e *exactBucket) set(c config.Contract) {
	e.rate = new(big.Rat).SetFloat64(c.RatePerSecond)
	e.burst = new(big.Rat).SetInt64(int64(c.Burst))
}

func (e *exactBucket) refill(now time.Time) {
	if now.After(e.at) {
		e.level.Add(e.level, new(big.Rat).Mul(e.rate, big.NewRat(int64(now.Sub(e.at)), int64(time.Second))))
		e.at = now
	}
	if e.level.Cmp(e.burst) > 0 {
		e.level.Set(e.burst)
	}
}

// Guards against admitting more than the exact bucket in any sequence of calls, preset changes and handovers, which
// would exceed burst + rate*t in some window, and against losing more tokens than by rounding rates and levels to
// micro-tokens.
func TestBucketMatchesExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() config.Contract {
			rate := rapid.SampledFrom([]float64{0, 0.1, 1, 7.3, 333.3333333, 1e5, 1e9}).Draw(t, "rate")
			return contract(rate, rapid.IntRange(0, 20).Draw(t, "burst"))
		}
		c := draw()
		now := start
		b := NewBucket(c, 3*Token, now)
		e := &exactBucket{level: big.NewRat(3, 1), at: now}
		e.set(c)
		e.refill(now)
		slack := new(big.Rat)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			step := time.Duration(rapid.SampledFrom([]int64{-5, 0, 1, 3, 999, 1e6 + 1, 12_345_678, 1e9, 1e15}).Draw(t, "step"))
			now = now.Add(step)
			e.refill(now)
			// The rate is rounded down to whole micro-tokens per second, and the level to whole micro-tokens.
			slack.Add(slack, big.NewRat(max(int64(step), 0), 1e15))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				c = draw()
				b.SetContract(c, now)
				e.set(c)
				e.refill(now)
			case 1:
				if !now.Before(e.at) {
					b = NewBucket(c, b.Level(now), now)
					slack.Add(slack, big.NewRat(1, 1e6))
				}
			}
			n := rapid.IntRange(1, 3).Draw(t, "tokens")
			next, known := b.Next(n, now)
			took := b.Take(n, now)
			if took != (known && !next.After(now)) {
				t.Fatalf("Take %v, Next %v %v at %v", took, next, known, now)
			}
			want := new(big.Rat).SetInt64(int64(n))
			if took {
				if e.level.Cmp(want) < 0 {
					t.Fatalf("admitted %d with an exact level of %s", n, e.level.FloatString(9))
				}
				e.level.Sub(e.level, want)
				continue
			}
			limit := new(big.Rat).Add(want, new(big.Rat).Add(slack, big.NewRat(1, 1e6)))
			if e.level.Cmp(limit) >= 0 {
				t.Fatalf("refused %d with an exact level of %s", n, e.level.FloatString(9))
			}
			if known && next.Sub(now) < time.Hour {
				early := *b
				if early.Take(n, next.Add(-1)) {
					t.Fatalf("Take before Next succeeded")
				}
				if late := *b; !late.Take(n, next) {
					t.Fatalf("Take at Next failed")
				}
			}
		}
	})
}

// Guards against surplus tokens after a takeover or a preset change, and for a contract without a rate.
func TestBucketEdges(t *testing.T) {
	is := is.New(t)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	b := NewBucket(contract(10, 5), 0, at(500*time.Millisecond))
	is.True(!b.Take(1, at(599*time.Millisecond))) // the refill starts when the old home's authority has expired
	is.True(b.Take(1, at(600*time.Millisecond)))
	is.Equal(b.Level(at(time.Hour)), 5*Token)
	b.SetContract(contract(10, 2), at(time.Hour))
	is.Equal(b.Level(at(time.Hour)), 2*Token)
	b.SetContract(contract(10, 5), at(time.Hour))
	is.Equal(b.Level(at(time.Hour)), 2*Token) // a higher burst does not raise the level
	_, known := b.Next(6, at(time.Hour))
	is.True(!known)
	b.SetContract(contract(0, 5), at(time.Hour))
	_, known = b.Next(3, at(2*time.Hour))
	is.True(!known)
	is.Equal(NewBucket(contract(1, 2), 9*Token, start).Level(start), 2*Token)
	is.Equal(NewBucket(contract(-1, -2), 9*Token, start).Level(at(time.Hour)), MicroTokens(0))
}

// Guards against keeping granted tokens for later work.
func TestGrants(t *testing.T) {
	is := is.New(t)
	var g Grants
	g.Add(3)
	is.True(!g.Take(4, start))
	is.True(g.Take(1, start))
	_, known := g.Next(2, start)
	is.True(known)
	is.Equal([]int{g.Trim(1), g.Available()}, []int{1, 1})
}

func BenchmarkBucketTake(b *testing.B) {
	k := NewBucket(contract(1e6, 1000), 0, start)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		k.Take(1, now)
	}
}

// Guards against more than burst + rate*t admissions in any window, including across handovers and contract changes.
func TestBucketWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 50.0, 10
		now := start
		b := NewBucket(contract(rate, burst), 0, now)
		var taken []time.Time
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 40_000_000).Draw(t, "gap")))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				b = NewBucket(contract(rate, burst), b.Level(now), now)
			case 1:
				b.SetContract(contract(rate/2, burst/2), now)
				b.SetContract(contract(rate, burst), now)
			}
			for b.Take(1, now) {
				taken = append(taken, now)
			}
		}
		for i, from := range taken {
			for j := i; j < len(taken); j++ {
				allowed := burst + rate*taken[j].Sub(from).Seconds()
				if float64(j-i+1) > allowed+1e-9 {
					t.Fatalf("%d admitted in %v", j-i+1, taken[j].Sub(from))
				}
			}
		}
	})
}
