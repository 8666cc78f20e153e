package membership

import (
	"encoding/binary"
	"maps"

	"github.com/cespare/xxhash/v2"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

// BucketCount is the number of buckets into which the state is divided by the hash of the record key. With 1,200
// members and 2,300 homes a bucket holds about 27 records, so one differing record costs about 2 KB to repair.
const BucketCount = 128

// recordKind distinguishes the kinds of records in hashes and in the update queue.
type recordKind uint8

const (
	kindMember recordKind = iota + 1
	kindHome
	kindConfig
	kindRevocation
)

// bucket is one part of the state. It is immutable once shared with a View.
type bucket struct {
	members     map[instance.ID]Member
	homes       map[upstream.GroupID]Home
	revocations map[KeyRef]Revocation
	// hash is the XOR of the hashes of the records, excluding dead members.
	hash uint64
}

// state holds all records. Buckets are copied on write, once after each snapshot.
type state struct {
	buckets [BucketCount]*bucket
	shared  [BucketCount]bool
	config  ConfigVersion
	// root is the XOR of the hashes of all buckets and of the configuration version.
	root uint64
	// scratch is the buffer in which records are encoded for hashing.
	scratch []byte
}

func newState() *state {
	s := &state{}
	for i := range s.buckets {
		s.buckets[i] = &bucket{
			members:     make(map[instance.ID]Member),
			homes:       make(map[upstream.GroupID]Home),
			revocations: make(map[KeyRef]Revocation),
		}
	}
	return s
}

// bucketOf returns the bucket index of a key.
func bucketOf(key string) int { return int(xxhash.Sum64String(key) % BucketCount) }

// writable returns the bucket for modification and copies it first if a snapshot shares it.
func (s *state) writable(i int) *bucket {
	if s.shared[i] {
		b := *s.buckets[i]
		b.members = maps.Clone(b.members)
		b.homes = maps.Clone(b.homes)
		b.revocations = maps.Clone(b.revocations)
		s.buckets[i] = &b
		s.shared[i] = false
	}
	return s.buckets[i]
}

func (s *state) member(id instance.ID) (Member, bool) {
	m, ok := s.buckets[bucketOf(string(id))].members[id]
	return m, ok
}

func (s *state) home(g upstream.GroupID) (Home, bool) {
	h, ok := s.buckets[bucketOf(string(g))].homes[g]
	return h, ok
}

func (s *state) revocation(k KeyRef) (Revocation, bool) {
	r, ok := s.buckets[bucketOf(k.Customer)].revocations[k]
	return r, ok
}

// mergeMember merges the record into the state and returns the record before and after. known is false if there was no
// record before.
func (s *state) mergeMember(m Member) (before, after Member, known bool) {
	i := bucketOf(string(m.ID))
	before, known = s.buckets[i].members[m.ID]
	after = m
	if known {
		after = before.Merge(m)
	}
	if known && after == before {
		return before, after, known
	}
	b := s.writable(i)
	s.rehash(b, s.hashMember(before), s.hashMember(after))
	b.members[m.ID] = after
	return before, after, known
}

// removeMember deletes a record. Deletion is not a join, so it is used only for expired tombstones.
func (s *state) removeMember(id instance.ID) {
	i := bucketOf(string(id))
	b := s.writable(i)
	s.rehash(b, s.hashMember(b.members[id]), 0)
	delete(b.members, id)
}

// mergeHome merges the record into the state and reports whether the state changed.
func (s *state) mergeHome(h Home) (after Home, changed bool) {
	i := bucketOf(string(h.Group))
	before, known := s.buckets[i].homes[h.Group]
	after = h
	if known {
		after = before.Merge(h)
	}
	if known && after == before {
		return before, false
	}
	b := s.writable(i)
	s.rehash(b, s.hashHome(before), s.hashHome(after))
	b.homes[h.Group] = after
	return after, true
}

// mergeRevocation merges the record into the state and reports whether the state changed.
func (s *state) mergeRevocation(r Revocation) (after Revocation, changed bool) {
	i := bucketOf(r.Customer)
	before, known := s.buckets[i].revocations[r.KeyRef]
	after = r
	if known {
		after = before.Merge(r)
	}
	if known && after == before {
		return before, false
	}
	b := s.writable(i)
	s.rehash(b, s.hashRevocation(before), s.hashRevocation(after))
	b.revocations[r.KeyRef] = after
	return after, true
}

// mergeConfig merges the version into the state and reports whether the state changed.
func (s *state) mergeConfig(c ConfigVersion) bool {
	after := s.config.Merge(c)
	if after == s.config {
		return false
	}
	s.root ^= s.hashConfig(s.config) ^ s.hashConfig(after)
	s.config = after
	return true
}

func (s *state) rehash(b *bucket, before, after uint64) {
	b.hash ^= before ^ after
	s.root ^= before ^ after
}

// hashMember returns 0 for a dead member, because instances drop tombstones at different times.
func (s *state) hashMember(m Member) uint64 {
	if m.ID == "" || m.State == instance.StateDead {
		return 0
	}
	s.resetHash(kindMember)
	s.hashString(string(m.ID))
	s.hashUint(uint64(m.State))
	s.hashUint(m.Incarnation)
	s.hashUint(m.InfoIncarnation)
	s.hashString(string(m.Info.FailureDomain))
	s.hashString(m.Info.PeerAddress)
	s.hashString(m.Info.CallerAddress)
	return xxhash.Sum64(s.scratch)
}

func (s *state) hashHome(h Home) uint64 {
	if h.Group == "" {
		return 0
	}
	s.resetHash(kindHome)
	s.hashString(string(h.Group))
	s.hashString(string(h.Owner))
	s.hashUint(h.Generation)
	s.hashString(string(h.Primary))
	s.hashUint(uint64(h.Term))
	if h.Released {
		s.hashUint(1)
	}
	return xxhash.Sum64(s.scratch)
}

func (s *state) hashRevocation(r Revocation) uint64 {
	if r.KeyRef == (KeyRef{}) {
		return 0
	}
	s.resetHash(kindRevocation)
	s.hashString(r.Customer)
	s.hashString(r.Key)
	s.hashString(r.Operator)
	s.hashUint(uint64(r.UnixMilli))
	return xxhash.Sum64(s.scratch)
}

func (s *state) hashConfig(c ConfigVersion) uint64 {
	if c.Version == 0 {
		return 0
	}
	s.resetHash(kindConfig)
	s.hashUint(c.Version)
	s.hashString(c.OperationID)
	s.hashString(c.Root)
	return xxhash.Sum64(s.scratch)
}

func (s *state) resetHash(k recordKind) { s.scratch = append(s.scratch[:0], byte(k)) }

func (s *state) hashUint(v uint64) { s.scratch = binary.AppendUvarint(s.scratch, v) }

func (s *state) hashString(v string) {
	s.hashUint(uint64(len(v)))
	s.scratch = append(s.scratch, v...)
}
