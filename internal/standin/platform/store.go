package platform

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/celerystep/celerystep/internal/platform"
)

// entry is a stored value. Its value is never changed in place.
type entry struct {
	value    []byte
	revision uint64
	lease    uint64
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// store is the state of the key-value service. It is not safe for concurrent use and takes the time as an argument.
type store struct {
	revision  uint64
	nextLease uint64
	entries   map[string]entry
	leases    map[uint64]lease
}

func newStore() *store {
	return &store{entries: make(map[string]entry), leases: make(map[uint64]lease)}
}

func (s *store) clone() *store {
	return &store{
		revision:  s.revision,
		nextLease: s.nextLease,
		entries:   maps.Clone(s.entries),
		leases:    maps.Clone(s.leases),
	}
}

// expire deletes lapsed leases with their keys and reports whether there were any.
func (s *store) expire(now time.Time) bool {
	lapsed := false
	for id, l := range s.leases {
		if now.Before(l.expiry) {
			continue
		}
		lapsed = true
		s.dropLease(id)
	}
	return lapsed
}

func (s *store) dropLease(id uint64) {
	delete(s.leases, id)
	for k, e := range s.entries {
		if e.lease == id {
			s.revision++
			delete(s.entries, k)
		}
	}
}

func (s *store) dropAllLeases() {
	for id := range s.leases {
		s.dropLease(id)
	}
}

// nextExpiry returns the time at which the first lease lapses, or the zero time.
func (s *store) nextExpiry() time.Time {
	var first time.Time
	for _, l := range s.leases {
		if first.IsZero() || l.expiry.Before(first) {
			first = l.expiry
		}
	}
	return first
}

func (s *store) get(key string) (platform.Entry, error) {
	e, ok := s.entries[key]
	if !ok {
		return platform.Entry{}, platform.ErrNotFound
	}
	return platform.Entry{Key: key, Value: e.value, Revision: e.revision}, nil
}

// list returns the entries with the prefix in key order; limit 0 means all.
func (s *store) list(prefix string, limit int) []platform.Entry {
	var keys []string
	for k := range s.entries {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
	}
	out := make([]platform.Entry, 0, len(keys))
	for _, k := range keys {
		e := s.entries[k]
		out = append(out, platform.Entry{Key: k, Value: e.value, Revision: e.revision})
	}
	return out
}

func (s *store) compareAndSwap(key string, expected uint64, value []byte, id uint64) (platform.Entry, error) {
	if len(value) > platform.MaxValueBytes {
		return platform.Entry{}, platform.ErrTooLarge
	}
	if s.entries[key].revision != expected {
		return platform.Entry{}, platform.ErrConflict
	}
	if _, ok := s.leases[id]; id != 0 && !ok {
		return platform.Entry{}, platform.ErrLeaseExpired
	}
	s.revision++
	e := entry{value: slices.Clone(value), revision: s.revision, lease: id}
	s.entries[key] = e
	return platform.Entry{Key: key, Value: e.value, Revision: e.revision}, nil
}

func (s *store) delete(key string, expected uint64) error {
	e, ok := s.entries[key]
	if !ok {
		return platform.ErrNotFound
	}
	if e.revision != expected {
		return platform.ErrConflict
	}
	s.revision++
	delete(s.entries, key)
	return nil
}

func (s *store) grantLease(ttl time.Duration, now time.Time) uint64 {
	s.nextLease++
	s.leases[s.nextLease] = lease{ttl: ttl, expiry: now.Add(ttl)}
	return s.nextLease
}

func (s *store) keepAlive(id uint64, now time.Time) error {
	l, ok := s.leases[id]
	if !ok {
		return platform.ErrLeaseExpired
	}
	l.expiry = now.Add(l.ttl)
	s.leases[id] = l
	return nil
}
