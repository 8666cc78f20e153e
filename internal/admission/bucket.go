// Package admission bounds each customer's rate with token buckets and shares a group's slots fairly between customers.
// It has no goroutines, sockets or clock reads; none of its types is safe for concurrent use.
package admission

import (
	"math"
	"math/bits"
	"time"

	"github.com/celerystep/celerystep/internal/config"
)

// MicroTokens counts millionths of a token. One token admits one statement.
type MicroTokens int64

// Token is one token in micro-tokens.
const Token MicroTokens = 1_000_000

// maxTokens bounds rates and bursts, so that all products fit into 128 bits.
const maxTokens = 1_000_000_000

// nanosPerSecond converts a rate per second to one per nanosecond.
const nanosPerSecond = uint64(time.Second)

// Source gives the tokens of one customer.
type Source interface {
	// Take consumes n tokens, or none and returns false.
	Take(n int, now time.Time) bool
	// Next returns the earliest time at which Take(n) can succeed; that is now when the tokens are there. It returns
	// false when that depends on an event other than time, such as a preset change or an answer of another home;
	// Queue.Refresh must then be called.
	Next(n int, now time.Time) (time.Time, bool)
}

// Bucket is a strict token bucket: over every window of length t the tokens taken are at most burst + rate*t. It counts
// in integers and rounds down, so that no rounding adds up.
type Bucket struct {
	// rate is in micro-tokens per second.
	rate  uint64
	burst MicroTokens
	level MicroTokens
	// remainder is the refill below one micro-token, in billionths of a micro-token.
	remainder uint64
	// refilled is the time up to which the level counts.
	refilled time.Time
}

// NewBucket returns a bucket with the given level that refills from refillFrom on, which may lie in the future. After an
// unplanned takeover the level is 0 and refillFrom the end of the old home's authority; after a planned move they are
// the level handed over and the present time. A level above the burst is cut.
func NewBucket(c config.Contract, level MicroTokens, refillFrom time.Time) *Bucket {
	b := &Bucket{refilled: refillFrom}
	b.apply(c)
	b.level = min(max(level, 0), b.burst)
	return b
}

// apply sets rate and burst. Values that are negative or no numbers count as 0.
func (b *Bucket) apply(c config.Contract) {
	rate := c.RatePerSecond
	if !(rate > 0) {
		rate = 0
	}
	b.rate = uint64(math.Floor(math.Min(rate, maxTokens) * float64(Token)))
	b.burst = MicroTokens(min(max(c.Burst, 0), maxTokens)) * Token
}

// SetContract puts another contract in force from now on. The level is cut to the new burst and never raised.
func (b *Bucket) SetContract(c config.Contract, now time.Time) {
	b.refill(now)
	b.apply(c)
	if b.level >= b.burst {
		b.fill()
	}
}

// refill adds the tokens of the time since the last refill. A time before that adds none.
func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilled)
	if elapsed <= 0 {
		return
	}
	b.refilled = now
	high, low := bits.Mul64(uint64(elapsed), b.rate)
	low, carry := bits.Add64(low, b.remainder, 0)
	high += carry
	if high >= nanosPerSecond {
		b.fill()
		return
	}
	added, remainder := bits.Div64(high, low, nanosPerSecond)
	if added >= uint64(b.burst-b.level) {
		b.fill()
		return
	}
	b.level += MicroTokens(added)
	b.remainder = remainder
}

func (b *Bucket) fill() {
	b.level = b.burst
	b.remainder = 0
}

// Take consumes n tokens, or none and returns false.
func (b *Bucket) Take(n int, now time.Time) bool {
	b.refill(now)
	need := MicroTokens(n) * Token
	if n > maxTokens || b.level < need {
		return false
	}
	b.level -= need
	return true
}

// Next returns the time at which n tokens will be there, and false when the rate is 0 or the burst below n.
func (b *Bucket) Next(n int, now time.Time) (time.Time, bool) {
	b.refill(now)
	need := MicroTokens(min(n, maxTokens+1)) * Token
	if b.level >= need {
		return now, true
	}
	if b.rate == 0 || need > b.burst {
		return time.Time{}, false
	}
	high, low := bits.Mul64(uint64(need-b.level), nanosPerSecond)
	low, borrow := bits.Sub64(low, b.remainder, 0)
	high -= borrow
	if high >= b.rate {
		return time.Time{}, false
	}
	wait, rest := bits.Div64(high, low, b.rate)
	if rest > 0 {
		wait++
	}
	return b.refilled.Add(time.Duration(min(wait, math.MaxInt64))), true
}

// Level returns the level at now, for a handover and for the status.
func (b *Bucket) Level(now time.Time) MicroTokens {
	b.refill(now)
	return b.level
}

// Grants is the Source of a customer whose bucket lives at another home. It holds tokens that the other home granted
// for work that waits here.
type Grants struct{ tokens int }

// Add records n tokens that the customer's home granted. The answer must have arrived within the time limit that the
// design sets (V, 200 ms after the sending of the call).
func (g *Grants) Add(n int) { g.tokens += max(n, 0) }

// Available returns the number of granted tokens that are not taken.
func (g *Grants) Available() int { return g.tokens }

// Trim removes tokens beyond the n that waiting work can use, so that none is kept for later work, and returns how many
// were dropped.
func (g *Grants) Trim(n int) int {
	dropped := max(g.tokens-max(n, 0), 0)
	g.tokens -= dropped
	return dropped
}

// Take consumes n granted tokens, or none and returns false.
func (g *Grants) Take(n int, _ time.Time) bool {
	if g.tokens < n {
		return false
	}
	g.tokens -= n
	return true
}

// Next returns now when n tokens are granted, and false otherwise: only Add brings more.
func (g *Grants) Next(n int, now time.Time) (time.Time, bool) {
	if g.tokens < n {
		return time.Time{}, false
	}
	return now, true
}
