// Package admission provides the token buckets that limit each customer's rate, and the fair queue that shares a
// group's slots between customers. It works on a single group; package quota divides a customer's contract between
// the owners of its groups, and package dispatch schedules the statements of package owner.
//
// The package does no I/O, starts no goroutines and does not read the clock. Its types are not safe for concurrent use.
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

// maxTokens bounds rates and bursts, so that all products fit in 128 bits.
const maxTokens = 1_000_000_000

// nanosPerSecond converts rates per second to rates per nanosecond.
const nanosPerSecond = uint64(time.Second)

// Source provides the tokens of one customer.
type Source interface {
	// Take consumes n tokens, or none and returns false.
	Take(n int, now time.Time) bool
	// Next returns the earliest time at which Take(n) can succeed, which is now if the tokens are available. It returns
	// false if that depends on an event other than time, such as a preset change or a grant of another home. After such
	// an event, Queue.Refresh must be called.
	Next(n int, now time.Time) (time.Time, bool)
}

// Bucket is a strict token bucket: in every window of length t, at most burst + rate*t tokens are taken. It uses
// integer arithmetic that rounds down and keeps the remainder, so rounding errors do not accumulate.
type Bucket struct {
	// rate is in micro-tokens per second.
	rate  uint64
	burst MicroTokens
	level MicroTokens
	// remainder is the fraction of a micro-token left over by the last refill, in billionths of a micro-token.
	remainder uint64
	// refilled is the time of the last refill.
	refilled time.Time
}

// NewBucket returns a bucket with the given level, capped at the burst, that starts to refill at refillFrom, which may
// be in the future. After an unplanned takeover, the level is 0 and refillFrom the time at which the old home's
// authority expires. After a planned move, they are the level handed over and the current time.
func NewBucket(c config.Contract, level MicroTokens, refillFrom time.Time) *Bucket {
	b := &Bucket{refilled: refillFrom}
	b.apply(c)
	b.level = min(max(level, 0), b.burst)
	return b
}

// apply sets the rate and burst. Negative values and NaN count as 0.
func (b *Bucket) apply(c config.Contract) {
	rate := c.RatePerSecond
	if !(rate > 0) {
		rate = 0
	}
	b.rate = uint64(math.Floor(math.Min(rate, maxTokens) * float64(Token)))
	b.burst = MicroTokens(min(max(c.Burst, 0), maxTokens)) * Token
}

// SetContract applies a new contract from now on. The level is capped at the new burst and never raised.
func (b *Bucket) SetContract(c config.Contract, now time.Time) {
	b.refill(now)
	b.apply(c)
	if b.level >= b.burst {
		b.fill()
	}
}

// refill adds the tokens for the time since the last refill. It has no effect if now is before that.
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

// Next returns the time at which n tokens will be available, and false if the rate is 0 or the burst is below n.
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

// Level returns the level at now.
func (b *Bucket) Level(now time.Time) MicroTokens {
	b.refill(now)
	return b.level
}

// Grants is the Source of a customer whose bucket is kept by another home. It holds the tokens that the other home
// granted for waiting work.
type Grants struct{ tokens int }

// Add adds n tokens granted by the customer's home. The caller must discard grants that arrive later than 200 ms after
// the request was sent (V in the design).
func (g *Grants) Add(n int) { g.tokens += max(n, 0) }

// Available returns the number of granted tokens that have not been taken.
func (g *Grants) Available() int { return g.tokens }

// Trim discards tokens beyond the n that waiting work can use, so that none are kept for later work, and returns how
// many were discarded.
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

// Next returns now if n tokens are available, and false otherwise, because only Add provides more.
func (g *Grants) Next(n int, now time.Time) (time.Time, bool) {
	if g.tokens < n {
		return time.Time{}, false
	}
	return now, true
}
