// Package admission bounds each customer's rate with token buckets and shares a group's slots fairly between customers.
// It has no goroutines, sockets or clock reads; none of its types is safe for concurrent use.
package admission

import (
	"time"

	"github.com/celerystep/celerystep/internal/config"
)

// MicroTokens counts millionths of a token. One token admits one statement.
type MicroTokens int64

// Token is one token in micro-tokens.
const Token MicroTokens = 1_000_000

// Source gives the tokens of one customer.
type Source interface {
	// Take consumes n tokens, or none and returns false.
	Take(n int, now time.Time) bool
	// Next returns the earliest time at which Take(n) can succeed. It returns false when that depends on an event
	// other than time, such as a preset change or an answer of another home; Queue.Refresh must then be called.
	Next(n int, now time.Time) (time.Time, bool)
}

// Bucket is a strict token bucket: over every window of length t the tokens taken are at most burst + rate*t. It counts
// in integers and rounds down, so that no rounding adds up.
type Bucket struct{}

// NewBucket returns a bucket with the given level that refills from refillFrom on, which may lie in the future. After an
// unplanned takeover the level is 0 and refillFrom the end of the old home's authority; after a planned move they are
// the level handed over and the present time. A level above the burst is cut.
func NewBucket(c config.Contract, level MicroTokens, refillFrom time.Time) *Bucket { return &Bucket{} }

// Set puts another contract in force from now on. The level is cut to the new burst and never raised.
func (b *Bucket) Set(c config.Contract, now time.Time) {}

// Take consumes n tokens, or none and returns false.
func (b *Bucket) Take(n int, now time.Time) bool { return false }

// Next returns the time at which n tokens will be there, and false when the rate is 0 or the burst below n.
func (b *Bucket) Next(n int, now time.Time) (time.Time, bool) { return time.Time{}, false }

// Level returns the level at now, for a handover and for the status.
func (b *Bucket) Level(now time.Time) MicroTokens { return 0 }

// Grants is the Source of a customer whose bucket lives at another home. It holds tokens that the other home granted
// for work that waits here.
type Grants struct{}

// Add records n tokens that the customer's home granted. The answer must have arrived within the time limit that the
// design sets (V, 200 ms after the sending of the call).
func (g *Grants) Add(n int) {}

// Drop removes tokens beyond the n that waiting work can use, so that grants are never hoarded, and returns how many
// were dropped.
func (g *Grants) Drop(n int) int { return 0 }

// Take consumes n granted tokens, or none and returns false.
func (g *Grants) Take(n int, now time.Time) bool { return false }

// Next returns false: only Add brings tokens.
func (g *Grants) Next(n int, now time.Time) (time.Time, bool) { return time.Time{}, false }
