// Package mirror maintains a local copy of the entries of a key-value store below a prefix. It lists them once, follows
// changes with a watch, and lists them again when the store has compacted the history in between.
package mirror

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/boottime"
	"github.com/celerystep/celerystep/internal/ctxtime"
)

// ErrCompacted reports that the store has compacted the history after the given revision.
var ErrCompacted = errors.New("history is no longer available")

const (
	// watchWait is how long one watch call may wait for an event.
	watchWait = 29 * time.Second
	// minRetry and maxRetry bound the backoff after a failed call, before jitter.
	minRetry = 50 * time.Millisecond
	maxRetry = 800 * time.Millisecond
)

// StartupPeriod is how long after Run began a mirror uses StartupBatchDelay.
const StartupPeriod = 4 * time.Second

// Entry is a stored value.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
	// Created is the revision at which the key was created.
	Created uint64
}

// Event is a change of one key.
type Event struct {
	Entry
	Deleted bool
}

// Version tells which state of the store a result reflects.
type Version struct {
	// Revision is the revision of the store.
	Revision uint64
	// Age is how long before the call that state may have been current last; 0 when the store itself answered.
	Age time.Duration
}

// Source is the store, or an instance that passes on what it has read there.
type Source interface {
	// List returns all entries below the prefix. Changes after the returned revision may be missing.
	List(ctx context.Context, prefix string) ([]Entry, Version, error)
	// Watch waits up to wait for changes after a revision and returns them in order, or ErrCompacted.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, Version, error)
}

// SyncPoint identifies the state of the store that a call returned: the content below the prefix as of Revision, which was
// current at some time after RequestedAt.
type SyncPoint struct {
	Prefix string
	// After is the revision after which the call returned the changes; 0 when it returned the complete content.
	After       uint64
	Revision    uint64
	RequestedAt time.Time
}

// Sink receives the changes. Its methods are called from one goroutine.
type Sink interface {
	// Apply receives the changes since the last sync point in order; there may be none.
	Apply(events []Event, at SyncPoint)
	// Reset receives the complete content below the prefix.
	Reset(entries []Entry, at SyncPoint)
}

// Mirror follows one prefix.
type Mirror struct {
	Source Source
	Prefix string
	Sink   Sink
	// Clock is read before each call to the store.
	Clock boottime.Clock
	// BatchDelay is how long to wait after a change before the next call, so that it returns several changes at once.
	BatchDelay time.Duration
	// RelistInterval, unless 0, is the interval at which the mirror lists instead of watching while a key changes
	// rapidly. A watch would deliver every version, which for large values can overload a link or the store.
	RelistInterval time.Duration
	// StartupBatchDelay, if longer, replaces BatchDelay during the StartupPeriod.
	StartupBatchDelay time.Duration
	Log               hclog.Logger
	// OnConnectionChange, unless nil, is called when the store becomes unreachable (false) and reachable again (true).
	OnConnectionChange func(ok bool)

	revision uint64
	// revisions holds the revision of the latest change of each key that the sink has received.
	revisions    map[string]uint64
	started      time.Time
	synced       bool
	disconnected bool
	// burst is true while a key changes rapidly.
	burst bool
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	retry := minRetry
	m.started = time.Now()
	for ctx.Err() == nil {
		err := m.step(ctx)
		if err == nil {
			retry = minRetry
			m.reportConnection(nil)
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, ErrCompacted) {
			m.Log.Warn("the store has dropped its history; listing again", "prefix", m.Prefix, "after", m.revision)
			m.synced = false
			continue
		}
		m.reportConnection(err)
		ctxtime.Sleep(ctx, retry+rand.N(retry))
		retry = min(2*retry, maxRetry)
	}
	return ctx.Err()
}

func (m *Mirror) step(ctx context.Context) error {
	if !m.synced {
		return m.list(ctx)
	}
	asked := m.Clock()
	after := m.revision
	events, version, err := m.Source.Watch(ctx, m.Prefix, after, watchWait)
	if err != nil {
		return errors.Wrap(err, "watch")
	}
	m.revision = max(after, version.Revision)
	fresh := m.dropKnown(events)
	latest := latestPerKey(fresh)
	m.Sink.Apply(latest, SyncPoint{Prefix: m.Prefix, After: after, Revision: m.revision, RequestedAt: asked.Add(-version.Age)})
	if len(latest) == 0 {
		return nil
	}
	if len(latest) < len(fresh) && m.RelistInterval > 0 {
		m.burst, m.synced = true, false
		ctxtime.Sleep(ctx, m.RelistInterval)
		return nil
	}
	ctxtime.Sleep(ctx, m.batchDelay())
	return nil
}

// list reads the complete content. During a burst of changes it is repeated until two lists in a row are equal.
func (m *Mirror) list(ctx context.Context) error {
	asked := m.Clock()
	entries, version, err := m.Source.List(ctx, m.Prefix)
	if err != nil {
		return errors.Wrap(err, "list")
	}
	before := m.revisions
	m.revisions = make(map[string]uint64, len(entries))
	for _, e := range entries {
		m.revisions[e.Key] = e.Revision
	}
	m.Sink.Reset(entries, SyncPoint{Prefix: m.Prefix, Revision: version.Revision, RequestedAt: asked.Add(-version.Age)})
	m.revision = version.Revision
	m.burst = m.burst && !maps.Equal(before, m.revisions)
	m.synced = !m.burst
	if m.burst {
		ctxtime.Sleep(ctx, m.RelistInterval)
	}
	return nil
}

// latestPerKey returns the last event of each key, in order.
func latestPerKey(events []Event) []Event {
	last := make(map[string]int, len(events))
	for i, e := range events {
		last[e.Key] = i
	}
	var kept []Event
	for i, e := range events {
		if last[e.Key] == i {
			kept = append(kept, e)
		}
	}
	return kept
}

func (m *Mirror) batchDelay() time.Duration {
	if time.Since(m.started) < StartupPeriod {
		return max(m.BatchDelay, m.StartupBatchDelay)
	}
	return m.BatchDelay
}

// dropKnown drops the changes that the sink has already received. The pages of a list are not read at one revision, so
// the watch may repeat changes that later pages included.
func (m *Mirror) dropKnown(events []Event) []Event {
	kept := events[:0]
	for _, e := range events {
		if e.Revision <= m.revisions[e.Key] {
			continue
		}
		m.revisions[e.Key] = e.Revision
		kept = append(kept, e)
	}
	return kept
}

// reportConnection logs and reports each change of the connection state once.
func (m *Mirror) reportConnection(err error) {
	if disconnected := err != nil; disconnected != m.disconnected {
		m.disconnected = disconnected
		if disconnected {
			m.Log.Warn("lost the store", "prefix", m.Prefix, "revision", m.revision, "error", err)
		} else {
			m.Log.Info("regained the store", "prefix", m.Prefix, "revision", m.revision)
		}
		if m.OnConnectionChange != nil {
			m.OnConnectionChange(!disconnected)
		}
	}
}
