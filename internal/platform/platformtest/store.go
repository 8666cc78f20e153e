// Package platformtest is test support: a key-value service in memory whose calls tests can delay, fail and observe.
package platformtest

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/celerystep/celerystep/internal/platform"
)

// Call describes one call to a Store.
type Call struct {
	// Op is one of get, list, swap, delete and watch.
	Op string
	// Key is the key or prefix.
	Key string
}

// Hook runs around each call, without a lock held. An error from Before fails the call without effect; an error from
// After fails it although it took effect.
type Hook struct {
	Before func(ctx context.Context, c Call) error
	After  func(ctx context.Context, c Call) error
}

// Store is a platform.Store in memory. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	entries  map[string]platform.Entry
	revision uint64
	changed  chan struct{}
	broken   chan struct{}
	hook     Hook
	calls    map[string]int
}

var _ platform.Store = (*Store)(nil)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		entries: make(map[string]platform.Entry),
		changed: make(chan struct{}),
		broken:  make(chan struct{}),
		calls:   make(map[string]int),
	}
}

// SetHook replaces the hook.
func (s *Store) SetHook(h Hook) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hook = h
}

// Calls returns the number of calls of an operation so far.
func (s *Store) Calls(op string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[op]
}

// Keys returns the stored keys with the prefix, in order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k := range s.entries {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

// Snapshot is the content of a store at one time.
type Snapshot struct {
	entries  map[string]platform.Entry
	revision uint64
}

// Snapshot returns the present content.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{entries: maps.Clone(s.entries), revision: s.revision}
}

// Restore puts an earlier content back, as a restart from an old copy does: revisions go back too, and waiting watches
// fail.
func (s *Store) Restore(old Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = maps.Clone(old.entries)
	s.revision = old.revision
	close(s.broken)
	s.broken = make(chan struct{})
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// run performs one call between the hooks.
func (s *Store) run(ctx context.Context, c Call, f func() error) error {
	s.mu.Lock()
	h := s.hook
	s.calls[c.Op]++
	s.mu.Unlock()
	if h.Before != nil {
		if err := h.Before(ctx, c); err != nil {
			return err
		}
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	s.mu.Lock()
	err := f()
	h = s.hook // a watch may have waited while the hook was replaced
	s.mu.Unlock()
	if err == nil && h.After != nil {
		return h.After(ctx, c)
	}
	return err
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Entry, error) {
	var out platform.Entry
	err := s.run(ctx, Call{Op: "get", Key: key}, func() error {
		e, ok := s.entries[key]
		if !ok {
			return platform.ErrNotFound
		}
		out = e
		return nil
	})
	return out, err
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string, limit int) ([]platform.Entry, error) {
	var out []platform.Entry
	err := s.run(ctx, Call{Op: "list", Key: prefix}, func() error {
		for _, k := range slices.Sorted(maps.Keys(s.entries)) {
			if strings.HasPrefix(k, prefix) && (limit <= 0 || len(out) < limit) {
				out = append(out, s.entries[k])
			}
		}
		return nil
	})
	return out, err
}

// CompareAndSwap implements platform.Store. Leases are not supported.
func (s *Store) CompareAndSwap(
	ctx context.Context, key string, expected uint64, value []byte, _ platform.LeaseID,
) (platform.Entry, error) {
	var out platform.Entry
	err := s.run(ctx, Call{Op: "swap", Key: key}, func() error {
		if len(value) > platform.MaxValueBytes {
			return platform.ErrTooLarge
		}
		if s.entries[key].Revision != expected {
			return platform.ErrConflict
		}
		s.revision++
		out = platform.Entry{Key: key, Value: slices.Clone(value), Revision: s.revision}
		s.entries[key] = out
		s.notify()
		return nil
	})
	return out, err
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key string, expected uint64) error {
	return s.run(ctx, Call{Op: "delete", Key: key}, func() error {
		e, ok := s.entries[key]
		if !ok {
			return platform.ErrNotFound
		}
		if e.Revision != expected {
			return platform.ErrConflict
		}
		delete(s.entries, key)
		s.notify()
		return nil
	})
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, key string, after uint64) (platform.Entry, error) {
	var out platform.Entry
	err := s.run(ctx, Call{Op: "watch", Key: key}, func() error {
		broken := s.broken
		for {
			e, ok := s.entries[key]
			if !ok && after > 0 {
				return platform.ErrNotFound
			}
			if e.Revision > after {
				out = e
				return nil
			}
			changed := s.changed
			s.mu.Unlock()
			err := wait(ctx, changed, broken)
			s.mu.Lock()
			if err != nil {
				return err
			}
		}
	})
	return out, err
}

var errBroken = errors.New("connection broken by a restart")

func wait(ctx context.Context, changed, broken <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-broken:
		return errBroken
	case <-changed:
		return nil
	}
}

// GrantLease implements platform.Store.
func (s *Store) GrantLease(context.Context, time.Duration) (platform.LeaseID, error) {
	return 0, platform.ErrLeaseExpired
}

// KeepAlive implements platform.Store.
func (s *Store) KeepAlive(context.Context, platform.LeaseID) error { return platform.ErrLeaseExpired }
