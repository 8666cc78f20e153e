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
}

// Ask reports whether a request for a loan is due, and marks it as in progress. Granted or Refused must be called.
func (b *Borrower) Ask(now time.Time) bool {
	if b.asking || now.Before(b.askAt) {
		return false
	}
	b.asking, b.askAt = true, now.Add(renewInterval)
	return true
}

// Granted records the response to a request that was sent at the given time. It returns false for an offer that has lapsed on
// its way, or that comes from an earlier owner than the loan in use.
func (b *Borrower) Granted(o Offer, sent, now time.Time) bool {
	b.asking = false
	g := Grant{Offer: o, Until: sent.Add(min(o.TTL, TTL))}
	if current, ok := b.Grant(now); !now.Before(g.Until) || ok && o.Revision < current.Revision {
		return false
	}
	b.grant = g
	return true
}

// Refused records that a request got no loan. The current loan stays in use until it lapses.
func (b *Borrower) Refused(now time.Time) { b.asking, b.askAt = false, now.Add(refusedPause) }

// Drop gives the current loan up, for example because its member does not answer.
func (b *Borrower) Drop(now time.Time) { b.grant, b.askAt = Grant{}, now.Add(refusedPause) }

// Grant returns the loan in use, or false if there is none.
func (b *Borrower) Grant(now time.Time) (Grant, bool) { return b.grant, now.Before(b.grant.Until) }
