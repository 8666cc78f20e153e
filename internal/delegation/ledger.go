package delegation

import (
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/upstream"
)

// TTL is how long a loan lasts without a renewal.
const TTL = time.Second

// Ledger records what the owner of a group has lent. The zero Ledger is empty.
type Ledger struct {
	loans map[upstream.MemberID]*loan
}

// loan is what one delegate holds of a replica. A renewal with another share does not end the earlier part: its response may
// be lost, and the delegate then goes on under the earlier one.
type loan struct {
	holder ownership.Process
	parts  []part
}

type part struct {
	Share
	until time.Time
}

// Lapsed is a loan that was not renewed.
type Lapsed struct {
	Member upstream.MemberID
	Holder ownership.Process
}

// Lend records that a share is lent to the delegate in a response composed now. It returns false when another delegate, or
// another process of the same one, still holds a share of the replica. first is true for a loan that is not a renewal.
func (l *Ledger) Lend(id upstream.MemberID, holder ownership.Process, s Share, now time.Time) (first, ok bool) {
	if l.loans == nil {
		l.loans = make(map[upstream.MemberID]*loan)
	}
	known := l.loans[id]
	if known != nil {
		known.expire(now)
	}
	if known == nil || len(known.parts) == 0 {
		l.loans[id] = &loan{holder: holder, parts: []part{{s, now.Add(TTL)}}}
		return true, true
	}
	if known.holder != holder {
		return false, false
	}
	if last := &known.parts[len(known.parts)-1]; last.Share == s {
		last.until = now.Add(TTL)
	} else {
		known.parts = append(known.parts, part{s, now.Add(TTL)})
	}
	return false, true
}

// Lent returns what may be in use by a delegate of the replica.
func (l *Ledger) Lent(id upstream.MemberID, now time.Time) Share {
	var lent Share
	if k := l.loans[id]; k != nil {
		k.expire(now)
		for _, p := range k.parts {
			lent = lent.max(p.Share)
		}
	}
	return lent
}

// Expire removes the loans that have lapsed and returns them.
func (l *Ledger) Expire(now time.Time) []Lapsed {
	var lapsed []Lapsed
	for id, k := range l.loans {
		if k.expire(now); len(k.parts) == 0 {
			lapsed = append(lapsed, Lapsed{Member: id, Holder: k.holder})
			delete(l.loans, id)
		}
	}
	return lapsed
}

func (k *loan) expire(now time.Time) {
	k.parts = slices.DeleteFunc(k.parts, func(p part) bool { return !now.Before(p.until) })
}
