package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/platform"
)

// storeMonitor passes calls on to the store and reports when it stops and starts to answer.
type storeMonitor struct {
	store Store
	// failed is true while the last call has failed. A new process has not reached the store yet.
	failed atomic.Bool
	// changed is called with the new state after each change of failed, answered with each revision that the store returns.
	changed  func(failed bool)
	answered func(revision uint64)
}

func newStoreMonitor(s Store, changed func(failed bool), answered func(revision uint64)) *storeMonitor {
	m := &storeMonitor{store: s, changed: changed, answered: answered}
	m.failed.Store(true)
	return m
}

// record records the result of a call and the revision that it returned, 0 for none. A call that its caller gave up says nothing about the store.
func (m *storeMonitor) record(ctx context.Context, revision uint64, err error) {
	if revision != 0 {
		m.answered(revision)
	}
	failed := !isAnswer(err)
	if failed && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if m.failed.CompareAndSwap(!failed, failed) {
		m.changed(failed)
	}
}

// isAnswer reports whether a call with the result has been processed by the store.
func isAnswer(err error) bool {
	return err == nil || errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrConflict) ||
		errors.Is(err, platform.ErrLeaseExpired) || errors.Is(err, mirror.ErrCompacted)
}

// List implements mirror.Source.
func (m *storeMonitor) List(ctx context.Context, prefix string) ([]mirror.Entry, mirror.Version, error) {
	entries, v, err := m.store.List(ctx, prefix)
	m.record(ctx, v.Revision, err)
	return entries, v, err
}

// Watch implements mirror.Source.
func (m *storeMonitor) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]mirror.Event, mirror.Version, error) {
	events, v, err := m.store.Watch(ctx, prefix, after, wait)
	m.record(ctx, v.Revision, err)
	return events, v, err
}

// ListStale implements Store.
func (m *storeMonitor) ListStale(ctx context.Context, prefix string) ([]mirror.Entry, error) {
	entries, err := m.store.ListStale(ctx, prefix)
	m.record(ctx, 0, err)
	return entries, err
}

// Get implements Store.
func (m *storeMonitor) Get(ctx context.Context, key string) (mirror.Entry, uint64, error) {
	e, revision, err := m.store.Get(ctx, key)
	m.record(ctx, revision, err)
	return e, revision, err
}

// CompareAndSwap implements Store.
func (m *storeMonitor) CompareAndSwap(ctx context.Context, expected []Expected, writes []Write) (uint64, error) {
	revision, err := m.store.CompareAndSwap(ctx, expected, writes)
	m.record(ctx, revision, err)
	return revision, err
}

// Remove implements Store.
func (m *storeMonitor) Remove(ctx context.Context, key string, expected uint64) error {
	err := m.store.Remove(ctx, key, expected)
	m.record(ctx, 0, err)
	return err
}

// GrantLease implements Store.
func (m *storeMonitor) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, time.Duration, error) {
	id, granted, err := m.store.GrantLease(ctx, ttl)
	m.record(ctx, 0, err)
	return id, granted, err
}

// KeepAlive implements Store.
func (m *storeMonitor) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	err := m.store.KeepAlive(ctx, id)
	m.record(ctx, 0, err)
	return err
}

// EndLease implements Store.
func (m *storeMonitor) EndLease(ctx context.Context, id platform.LeaseID) error {
	err := m.store.EndLease(ctx, id)
	m.record(ctx, 0, err)
	return err
}
