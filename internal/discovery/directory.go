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
}

// New returns an empty directory of a process that has not reached the store yet.
func New() *Directory {
	return &Directory{entries: make(map[upstream.MemberID]entry), storeLost: true}
}

// StoreFailed records that a call to the store has failed.
func (d *Directory) StoreFailed() { d.storeLost = true }

// StoreAnswered records that the store has answered a call.
func (d *Directory) StoreAnswered(now time.Time) {
	if d.storeLost {
		d.storeLost, d.settledAt = false, now.Add(SettleTime)
	}
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

// Put records a member's entry.
func (d *Directory) Put(m member.Member) { d.entries[m.ID] = entry{member: m} }

// Remove forgets a member whose entry names no member any more.
func (d *Directory) Remove(id upstream.MemberID) { delete(d.entries, id) }

// Expired records that a known member has no entry. It returns whether the member is kept, until the entry is back or
// Expire drops the member.
func (d *Directory) Expired(id upstream.MemberID, now time.Time) (kept bool) {
	e, ok := d.entries[id]
	if !ok {
		return false
	}
	if e.member.Leaving || !d.settling(now) {
		delete(d.entries, id)
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
			delete(d.entries, id)
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
