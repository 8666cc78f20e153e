package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// recentNews lists the records that changed lately, the newest last, for pulls. A key appears once.
type recentNews struct {
	entries []recentEntry
	latest  map[newsKey]time.Time
}

type recentEntry struct {
	key newsKey
	at  time.Time
}

// add notes a change of a record.
func (r *recentNews) add(now time.Time, k newsKey) {
	if r.latest == nil {
		r.latest = make(map[newsKey]time.Time)
	}
	r.latest[k] = now
	r.entries = append(r.entries, recentEntry{key: k, at: now})
	// Entries of keys that changed again are dropped here as well, so that the list stays bounded.
	if len(r.entries) > 2*len(r.latest)+MaxPullRecords {
		r.prune(now)
	}
}

// prune drops old entries and those whose key changed again.
func (r *recentNews) prune(now time.Time) {
	kept := r.entries[:0]
	for _, e := range r.entries {
		switch {
		case !r.latest[e.key].Equal(e.at):
		case now.Sub(e.at) > RecentTime:
			delete(r.latest, e.key)
		default:
			kept = append(kept, e)
		}
	}
	r.entries = kept
}

// newest returns the recent keys, at most MaxPullRecords.
func (r *recentNews) newest(now time.Time) []recentEntry {
	r.prune(now)
	return r.entries[max(0, len(r.entries)-MaxPullRecords):]
}

// spread queues a changed record to be sent.
func (m *Machine) spread(now time.Time, k newsKey) {
	if m.join.copying && k.member != m.self {
		return
	}
	m.news.add(k)
	m.recent.add(now, k)
}

// pulling reports whether there is so much news, here or at a peer that pulled, that pulls spread it at less cost than
// pushes. Instances that have not heard of most of it yet must pull as well.
func (m *Machine) pulling(now time.Time) bool {
	if len(m.recent.entries) >= PullThreshold && len(m.recent.newest(now)) >= PullThreshold {
		m.pullUntil = now.Add(PullTime)
	}
	return now.Before(m.pullUntil)
}

// pulls asks a random peer for recent news. A record that most instances have reaches the rest sooner by pulls: the
// share of instances without it is squared with each round of pulls, but only divided by a constant with each push.
func (m *Machine) pulls(now time.Time) []Call {
	if !m.pulling(now) {
		return nil
	}
	m.budget.refill(now)
	recent := m.recent.newest(now)
	cost := CallOverheadBytes + recentHashBytes*len(recent)
	if m.budget.left() < cost {
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

// recentHashBytes is the size of a hash in a pull. A missing record is taken for present with a probability of
// MaxPullRecords/65536 or less; the next pull has another salt.
const recentHashBytes = 2

// recentHash returns the salted hash of the present value of a record.
func (m *Machine) recentHash(k newsKey, salt uint32) uint16 {
	s := m.state
	home, _ := s.home(k.group)
	member, _ := s.member(k.member)
	hash := s.hashHome(home)
	s.begin(k.kind)
	s.number(uint64(salt))
	s.number(hash)
	s.text(string(member.ID))
	s.number(uint64(member.State))
	s.number(member.Incarnation)
	return uint16(xxhash.Sum64(s.scratch))
}

// answerPull adds the recent news that the peer lacks, from a random place on, so that the peer gets different records
// from different instances. What the peer has need not be sent as often any more.
func (m *Machine) answerPull(now time.Time, reply *Message, d *Digest) {
	known := make(map[uint16]bool, len(d.Recent)/recentHashBytes)
	for i := 0; i+recentHashBytes <= len(d.Recent); i += recentHashBytes {
		known[binary.LittleEndian.Uint16(d.Recent[i:])] = true
	}
	if len(known) >= PullThreshold {
		m.pullUntil = now.Add(PullTime)
	}
	recent := m.recent.newest(now)
	if len(recent) == 0 {
		return
	}
	m.budget.refill(now)
	room := min(MaxPullBytes, m.budget.left())
	limit := retransmissions(m.peers.len()+1, NewsMargin)
	offset, used := m.rng.IntN(len(recent)), 0
	for i := range recent {
		k := recent[(i+offset)%len(recent)].key
		if known[m.recentHash(k, d.Salt)] {
			m.news.raise(k, limit)
			continue
		}
		size := m.newsSize(k)
		if used+size > room {
			continue
		}
		used += size
		m.attach(reply, k)
		m.news.raise(k, limit)
	}
	m.budget.spend(used)
}
