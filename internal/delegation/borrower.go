package delegation

import (
	"time"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// renewInterval is the time between two requests for a loan while reads arrive.
	renewInterval = 150 * time.Millisecond
	// refusedPause is the time after which a delegate that was refused a loan asks again.
	refusedPause = 400 * time.Millisecond
	// failingPause is the time for which a delegate uses no loan after too many of its reads have failed. The owner can choose
	// another replica, the delegate cannot.
	failingPause = 2 * time.Second
	// failureWeight is the weight of one read in the moving average of failures, maxFailures the average from which a loan is
	// given up.
	failureWeight = 0.1
	maxFailures   = 0.25
)

// Offer is an owner's response to a request for a loan.
type Offer struct {
	Member upstream.MemberID
	// Address and Born identify the process of the member.
	Address string
	Born    int64
	Share   Share
	// TTL is how long the loan lasts, counted at the delegate from before it sent the request.
	TTL time.Duration
	// Revision is the revision of the owner's claim.
	Revision uint64
	// Every commit that was acknowledged Age or more before the response was composed is at or below Position.
	Position position.Position
	Age      time.Duration
}

// Grant is an offer with the time until which the delegate may use it.
type Grant struct {
	Offer
	Until time.Time
}

// Borrower is a delegate's side of a loan.
type Borrower struct {
	grant  Grant
	asking bool
	askAt  time.Time
	// droppedUntil is the time until which no loan is used.
	droppedUntil time.Time
	// failures is the moving average of the share of reads that failed.
	failures float64
}

// Ask reports whether a request for a loan is due, and marks it as in progress. Granted or Refused must be called.
func (b *Borrower) Ask(now time.Time) bool {
	if b.asking || now.Before(b.askAt) || now.Before(b.droppedUntil) {
		return false
	}
	b.asking, b.askAt = true, now.Add(renewInterval)
	return true
}

// Granted records the response to a request that was sent at the given time. It returns false for an offer that has lapsed on
// its way, that comes from an earlier owner than the loan in use, or that arrives too soon after a loan was given up.
func (b *Borrower) Granted(o Offer, sent, now time.Time) bool {
	b.asking = false
	g := Grant{Offer: o, Until: sent.Add(min(o.TTL, TTL))}
	if current, ok := b.Grant(now); !now.Before(g.Until) || now.Before(b.droppedUntil) || ok && o.Revision < current.Revision {
		return false
	}
	b.grant = g
	return true
}

// Refused records that a request got no loan. The current loan stays in use until it lapses.
func (b *Borrower) Refused(now time.Time) { b.asking, b.askAt = false, now.Add(refusedPause) }

// Drop gives the current loan up because its member does not answer. The loan lapses during the pause.
func (b *Borrower) Drop(now time.Time) {
	b.droppedUntil, b.failures = now.Add(failingPause), 0
}

// Record records whether a read on the borrowed replica failed. It returns true when that gives the loan up.
func (b *Borrower) Record(failed bool, now time.Time) bool {
	b.failures *= 1 - failureWeight
	if failed {
		b.failures += failureWeight
	}
	if b.failures < maxFailures {
		return false
	}
	b.Drop(now)
	return true
}

// Grant returns the last loan and whether it may be used. One that was given up keeps the time at which it lapses, as running reads
// must end by then.
func (b *Borrower) Grant(now time.Time) (Grant, bool) {
	return b.grant, now.Before(b.grant.Until) && !now.Before(b.droppedUntil)
}
