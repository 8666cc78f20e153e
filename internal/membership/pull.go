package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// recentUpdates lists the recently changed records for pulls, newest last. Only the last entry of a key is valid.
type recentUpdates struct {
	entries []recentEntry
	latest  map[updateKey]time.Time
}

type recentEntry struct {
	key       updateKey
	changedAt time.Time
}

// add records a change of a record.
func (r *recentUpdates) add(now time.Time, k updateKey) {
	if r.latest == nil {
		r.latest = make(map[updateKey]time.Time)
	}
	r.latest[k] = now
	r.entries = append(r.entries, recentEntry{key: k, changedAt: now})
	// Pruning here as well drops stale entries and keeps the list bounded.
	if len(r.entries) > 2*len(r.latest)+MaxPullRecords {
		r.prune(now)
	}
}

// prune drops expired entries and entries whose key changed again.
func (r *recentUpdates) prune(now time.Time) {
	kept := r.entries[:0]
	for _, e := range r.entries {
		switch {
		case !r.latest[e.key].Equal(e.changedAt):
		case now.Sub(e.changedAt) > RecentWindow:
			delete(r.latest, e.key)
		default:
			kept = append(kept, e)
		}
	}
	r.entries = kept
}

// newest returns the newest recent entries, at most MaxPullRecords.
func (r *recentUpdates) newest(now time.Time) []recentEntry {
	r.prune(now)
	return r.entries[max(0, len(r.entries)-MaxPullRecords):]
}

// enqueueUpdate queues a changed record for dissemination. Records copied while joining are not queued, except this
// instance's own.
func (m *Machine) enqueueUpdate(now time.Time, k updateKey) {
	if m.join.copying && k.member != m.self {
		return
	}
	m.updates.add(k)
	m.recent.add(now, k)
}

// pulling reports whether there are so many recent updates, here or at a peer that pulled, that pulls disseminate them
// at lower cost than pushes. Instances that have received few of them must pull as well.
func (m *Machine) pulling(now time.Time) bool {
	if len(m.recent.entries) >= PullThreshold && len(m.recent.newest(now)) >= PullThreshold {
		m.pullUntil = now.Add(PullDuration)
	}
	return now.Before(m.pullUntil)
}

// pullCalls asks a random peer for recent updates. Pulls complete the dissemination of a widely known record faster
// than pushes: each round of pulls squares the share of instances without the record, whereas each push only divides it
// by a constant.
func (m *Machine) pullCalls(now time.Time) []Call {
	if !m.pulling(now) {
		return nil
	}
	m.budget.refill(now)
	recent := m.recent.newest(now)
	cost := CallOverheadBytes + recentHashBytes*len(recent)
	if m.budget.remaining() < cost {
		return nil
	}
	var calls []Call
	for _, id := range m.pickPeers(1) {
		salt := m.rng.Uint32() | 1
		msg := &Message{From: m.self, StoreAge: m.storeAge(now), Digest: &Digest{Joined: m.join.done, Salt: salt}}
		for _, e := range recent {
			hash := m.recentHash(e.key, salt)
			msg.Digest.Recent = binary.LittleEndian.AppendUint16(msg.Digest.Recent, hash)
		}
		if c, ok := m.gossipCall(now, CallPull, id, msg); ok {
			m.budget.spend(cost)
			calls = append(calls, c)
		}
	}
	return calls
}

// recentHashBytes is the size of a hash in a pull. The probability that a missing record is mistaken for a known one is
// at most MaxPullRecords/65536; the next pull uses another salt.
const recentHashBytes = 2

// recentHash returns the salted hash of the current value of a record.
func (m *Machine) recentHash(k updateKey, salt uint32) uint16 {
	s := m.state
	home, _ := s.home(k.group)
	member, _ := s.member(k.member)
	hash := s.hashHome(home)
	s.resetHash(k.kind)
	s.hashUint(uint64(salt))
	s.hashUint(hash)
	s.hashString(string(member.ID))
	s.hashUint(uint64(member.State))
	s.hashUint(member.Incarnation)
	return uint16(xxhash.Sum64(s.scratch))
}

// answerPull adds the recent updates that the peer lacks, starting at a random entry so that the peer gets different
// records from different instances. Every record that the peer has or is sent counts as sent once more.
func (m *Machine) answerPull(now time.Time, reply *Message, d *Digest) {
	known := make(map[uint16]bool, len(d.Recent)/recentHashBytes)
	for i := 0; i+recentHashBytes <= len(d.Recent); i += recentHashBytes {
		known[binary.LittleEndian.Uint16(d.Recent[i:])] = true
	}
	if len(known) >= PullThreshold {
		m.pullUntil = now.Add(PullDuration)
	}
	recent := m.recent.newest(now)
	if len(recent) == 0 {
		return
	}
	m.budget.refill(now)
	maxBytes := min(MaxPullBytes, m.budget.remaining())
	limit := transmitLimit(m.peers.len()+1, TransmitMargin)
	offset, used := m.rng.IntN(len(recent)), 0
	for i := range recent {
		k := recent[(i+offset)%len(recent)].key
		if known[m.recentHash(k, d.Salt)] {
			m.updates.countSend(k, limit)
			continue
		}
		size := m.updateSize(k)
		if used+size > maxBytes {
			continue
		}
		used += size
		m.appendUpdate(reply, k)
		m.updates.countSend(k, limit)
	}
	m.budget.spend(used)
}
