// Package discovery holds the members of database groups as the service discovery lists them, and decides when a member whose
// entry is missing has left. Entries expire while the key-value service is unavailable, although the members work; those
// that live write them again within a short time after its return. The package starts no goroutines, opens no sockets and
// reads no clock.
package discovery

import (
	"time"

	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// entryReturnTime is the time after a return of the store within which live members have written their entries again.
	entryReturnTime = 2 * time.Second
	// entryReturnMargin covers the delay until this process learns of such an entry.
	entryReturnMargin = 500 * time.Millisecond
	// SettleTime is the time after a return of the store during which a missing entry does not mean that the member has left.
	SettleTime = entryReturnTime + entryReturnMargin
	// departureMemory is how long it is remembered that a member has left. The store's copies are some seconds old.
	departureMemory = time.Minute
)

// entry is a member and whether its entry has expired.
type entry struct {
	member  member.Member
	expired bool
}

// Directory holds the known members. It is not safe for concurrent use.
type Directory struct {
	entries map[upstream.MemberID]entry
	// storeLost is true while the last call to the store has failed. A new process does not know whether the store has just returned.
	storeLost bool
	// settledAt is when entries that are missing since the last outage mean that their members have left.
	settledAt time.Time
	// completeAt is when the known members are all that live.
	completeAt time.Time
	// restoredUntil is the end of the time in which entries may be from an older copy of the store's data; gone holds the members that
	// have left.
	restoredUntil time.Time
	gone          map[upstream.MemberID]departure
}

// departure tells which process of a member left and when.
type departure struct {
	born int64
	at   time.Time
}

// New returns an empty directory of a process that has not reached the store yet.
func New() *Directory {
	return &Directory{entries: make(map[upstream.MemberID]entry), gone: make(map[upstream.MemberID]departure), storeLost: true}
}

// StoreFailed records that a call to the store has failed.
func (d *Directory) StoreFailed() { d.storeLost = true }

// StoreAnswered records that the store has answered a call.
func (d *Directory) StoreAnswered(now time.Time) {
	if d.storeLost {
		d.storeLost, d.settledAt = false, now.Add(SettleTime)
	}
}

// StoreRestored records that the store has come back from an older copy of its data.
func (d *Directory) StoreRestored(now time.Time) {
	d.storeLost, d.settledAt = false, now.Add(SettleTime)
	d.restoredUntil = d.settledAt
}

// settling reports whether live members may lack an entry because of an outage.
func (d *Directory) settling(now time.Time) bool { return d.storeLost || now.Before(d.settledAt) }

// CompleteAt returns the time from which the known members are all that live: an earlier list may have been read before
// some of them were back.
func (d *Directory) CompleteAt() time.Time { return d.completeAt }

// Get returns a known member.
func (d *Directory) Get(id upstream.MemberID) (member.Member, bool) {
	e, ok := d.entries[id]
	return e.member, ok
}

// All calls f with each known member.
func (d *Directory) All(f func(member.Member)) {
	for _, e := range d.entries {
		f(e.member)
	}
}

// Put records a member's entry and returns the member as it is known now; false if it is known to have left. While entries may be
// from an older copy, neither a member that has left nor the state before the announcement of a shutdown comes back.
func (d *Directory) Put(m member.Member, now time.Time) (member.Member, bool) {
	if now.Before(d.restoredUntil) {
		if g, ok := d.gone[m.ID]; ok && g.born == m.Born {
			return member.Member{}, false
		}
		if old, ok := d.entries[m.ID]; ok && old.member.Born == m.Born {
			m.Leaving = m.Leaving || old.member.Leaving
		}
	}
	delete(d.gone, m.ID)
	d.entries[m.ID] = entry{member: m}
	return m, true
}

// Remove forgets a member that has left, or whose entry names no member any more.
func (d *Directory) Remove(id upstream.MemberID, now time.Time) {
	e, ok := d.entries[id]
	if !ok {
		return
	}
	delete(d.entries, id)
	for other, g := range d.gone {
		if now.Sub(g.at) > departureMemory {
			delete(d.gone, other)
		}
	}
	d.gone[id] = departure{born: e.member.Born, at: now}
}

// Expired records that a known member has no entry. It returns whether the member is kept, until the entry is back or
// Expire drops the member.
func (d *Directory) Expired(id upstream.MemberID, now time.Time) (kept bool) {
	e, ok := d.entries[id]
	if !ok {
		return false
	}
	if e.member.Leaving || !d.settling(now) {
		d.Remove(id, now)
		return false
	}
	e.expired = true
	d.entries[id] = e
	return true
}

// Missing returns the known members that are not listed.
func (d *Directory) Missing(listed map[upstream.MemberID]bool) []member.Member {
	var missing []member.Member
	for id, e := range d.entries {
		if !listed[id] {
			missing = append(missing, e.member)
		}
	}
	return missing
}

// Restart prepares for a list after a time in which changes were not followed: what is known may be out of date and what
// the list lacks may come back.
func (d *Directory) Restart(now time.Time) {
	d.entries = make(map[upstream.MemberID]entry)
	d.completeAt = time.Time{}
	if d.settling(now) {
		d.completeAt = d.settledAt
	}
}

// Expire drops the members whose entries are not back in time and returns them.
func (d *Directory) Expire(now time.Time) []member.Member {
	if d.settling(now) {
		return nil
	}
	var gone []member.Member
	for id, e := range d.entries {
		if e.expired {
			gone = append(gone, e.member)
			d.Remove(id, now)
		}
	}
	return gone
}

// NextExpiry returns when Expire may drop a member; false when that takes an event first.
func (d *Directory) NextExpiry() (time.Time, bool) {
	if d.storeLost {
		return time.Time{}, false
	}
	for _, e := range d.entries {
		if e.expired {
			return d.settledAt, true
		}
	}
	return time.Time{}, false
}
