package delegation

import "time"

// Decline is the cause for which a read is sent to the owner instead of the delegate's replica.
type Decline uint8

// Causes of a decline.
const (
	DeclineNone Decline = iota
	// DeclineNoGrant: the delegate has no loan at present.
	DeclineNoGrant
	// DeclineNotAdmitted: the delegate's configuration or the proof of its keys does not admit the read.
	DeclineNotAdmitted
	// DeclineOverRate: the delegate got no token of the customer.
	DeclineOverRate
	// DeclineFloorUnknown: the delegate does not know which commits the read must include.
	DeclineFloorUnknown
	// DeclineBusy: the delegate cannot serve the read in time.
	DeclineBusy
	// DeclineFailed: the replica failed to serve the read, or its log lacks a commit.
	DeclineFailed
	// DeclineUnreachable: the delegate cannot be reached, or its response was lost.
	DeclineUnreachable
	declines
)

// DeclineFromWire returns the cause that a peer sent.
func DeclineFromWire(n uint32) Decline {
	if n >= uint32(declines) {
		return DeclineFailed
	}
	return Decline(n)
}

// String returns the name used in logs and metrics.
func (d Decline) String() string {
	return [...]string{"none", "no_grant", "not_admitted", "over_rate", "floor_unknown", "busy", "failed", "unreachable"}[d]
}

// Refusal is the cause for which an owner lends nothing.
type Refusal uint8

// Causes of a refusal.
const (
	RefusalNone Refusal = iota
	// RefusalNotOwner: the receiver does not own the group, or its lease has expired.
	RefusalNotOwner
	// RefusalIneligible: reads of the group are not delegated, or the owner is in the same failure domain.
	RefusalIneligible
	// RefusalNoPrimary: the primary is being replaced.
	RefusalNoPrimary
	// RefusalNoReplica: the failure domain has no replica in service.
	RefusalNoReplica
	// RefusalHeld: another delegate holds the replica.
	RefusalHeld
	// RefusalNoRoom: too little of the replica is free.
	RefusalNoRoom
	// RefusalUnreachable: the owner gave no answer.
	RefusalUnreachable
	refusals
)

// RefusalFromWire returns the cause that a peer sent.
func RefusalFromWire(n uint32) Refusal {
	if n >= uint32(refusals) {
		return RefusalNotOwner
	}
	return Refusal(n)
}

// String returns the name used in logs.
func (r Refusal) String() string {
	return [...]string{"none", "not_owner", "ineligible", "no_primary", "no_replica", "held", "no_room", "unreachable"}[r]
}

const (
	// minBackoff and maxBackoff bound the time for which a caller's instance sends no reads to a delegate that cannot serve.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// Backoff tells a caller's instance when to try a delegate. It doubles with each failure. The zero Backoff is over.
type Backoff struct {
	until time.Time
	delay time.Duration
}

// Over reports whether the delegate may be tried.
func (b *Backoff) Over(now time.Time) bool { return !now.Before(b.until) }

// Record records the outcome of a read at the delegate. Causes that concern a single read or customer leave the backoff as it
// is.
func (b *Backoff) Record(d Decline, now time.Time) {
	switch d {
	case DeclineNone:
		*b = Backoff{}
	case DeclineNoGrant, DeclineUnreachable:
		if b.Over(now) {
			b.delay = min(max(2*b.delay, minBackoff), maxBackoff)
			b.until = now.Add(b.delay)
		}
	default:
	}
}
