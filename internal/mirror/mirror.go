// Package mirror keeps a copy of the entries of a key-value store that an instance is interested in. It lists them once,
// follows the watch, and lists again when the store no longer has the history in between.
package mirror

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/boottime"
)

// ErrCompacted reports that the store no longer has the history after the given revision.
var ErrCompacted = errors.New("history is no longer available")

const (
	// watchWait is how long a watch may wait for an event.
	watchWait = 29 * time.Second
	// minRetry and maxRetry bound the pause after a failed call.
	minRetry = 50 * time.Millisecond
	maxRetry = 800 * time.Millisecond
)

// StartTime is how long a mirror counts as starting.
const StartupPeriod = 4 * time.Second

// Entry is a stored value.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
	// Created is the revision at which the key came into being.
	Created uint64
}

// Event is a change of one key.
type Event struct {
	Entry
	Deleted bool
}

// Source is the store. Its calls return the store's revision as of which the result holds.
type Source interface {
	// List returns all entries below the prefix. Changes after the returned revision may be missing.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Watch waits for changes after a revision, at most wait, and returns them in order, or ErrCompacted.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
}

// Reading says what a call to the store has shown: the content below the prefix as of the revision, and of a moment that
// was not before the call was made.
type SyncPoint struct {
	Prefix      string
	Revision    uint64
	RequestedAt time.Time
}

// Sink takes the changes. Its methods are called by one goroutine.
type Sink interface {
	// Apply takes the changes since the last reading in order; there may be none.
	Apply(events []Event, at SyncPoint)
	// Reset takes the complete content below the prefix.
	Reset(entries []Entry, at SyncPoint)
}

// Mirror follows one prefix.
type Mirror struct {
	Source Source
	Prefix string
	Sink   Sink
	// Clock tells when calls are made.
	Clock boottime.Clock
	// Gather is how long to wait after a change for others to come with it, which saves calls.
	BatchDelay time.Duration
	// SeriesGather, unless 0, is the pause between two lists while one key changes again and again. A watch would deliver each
	// of the versions, which for large values is more than a link or the store can carry.
	RelistInterval time.Duration
	// StartGather is used in its place during the first StartTime.
	StartupBatchDelay time.Duration
	Log               hclog.Logger
	// Connected, unless nil, is told when the store is lost and when it is back.
	OnConnectionChange func(ok bool)

	revision uint64
	// revisions holds the newest change of each key that the sink has been told.
	revisions map[string]uint64
	started   time.Time
	synced    bool
	lost      bool
	// series is true while one key changes again and again.
	series bool
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	retry := minRetry
	m.started = time.Now()
	for ctx.Err() == nil {
		err := m.step(ctx)
		if err == nil {
			retry = minRetry
			m.report(nil)
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
		m.report(err)
		pause(ctx, retry+rand.N(retry))
		retry = min(2*retry, maxRetry)
	}
	return ctx.Err()
}

func (m *Mirror) step(ctx context.Context) error {
	if !m.synced {
		return m.list(ctx)
	}
	asked := m.Clock()
	events, revision, err := m.Source.Watch(ctx, m.Prefix, m.revision, watchWait)
	if err != nil {
		return errors.Wrap(err, "watch")
	}
	m.revision = max(m.revision, revision)
	fresh := m.newer(events)
	latest := newest(fresh)
	m.Sink.Apply(latest, SyncPoint{Prefix: m.Prefix, Revision: m.revision, RequestedAt: asked})
	if len(latest) == 0 {
		return nil
	}
	if len(latest) < len(fresh) && m.RelistInterval > 0 {
		m.series, m.synced = true, false
		pause(ctx, m.RelistInterval)
		return nil
	}
	pause(ctx, m.gather())
	return nil
}

// list takes the complete content. During a series of changes it is taken again until nothing has changed in between.
func (m *Mirror) list(ctx context.Context) error {
	asked := m.Clock()
	entries, revision, err := m.Source.List(ctx, m.Prefix)
	if err != nil {
		return errors.Wrap(err, "list")
	}
	before := m.revisions
	m.revisions = make(map[string]uint64, len(entries))
	for _, e := range entries {
		m.revisions[e.Key] = e.Revision
	}
	m.Sink.Reset(entries, SyncPoint{Prefix: m.Prefix, Revision: revision, RequestedAt: asked})
	m.revision = revision
	m.series = m.series && !maps.Equal(before, m.revisions)
	m.synced = !m.series
	if m.series {
		pause(ctx, m.RelistInterval)
	}
	return nil
}

// newest returns the last of the events of each key, in order.
func newest(events []Event) []Event {
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

func (m *Mirror) gather() time.Duration {
	if time.Since(m.started) < StartupPeriod {
		return max(m.BatchDelay, m.StartupBatchDelay)
	}
	return m.BatchDelay
}

// newer drops the changes that the sink knows already: the pages of a list are not taken at one moment, so that the
// watch repeats some of what they held.
func (m *Mirror) newer(events []Event) []Event {
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

// report logs the loss and the return of the store once each.
func (m *Mirror) report(err error) {
	if lost := err != nil; lost != m.lost {
		m.lost = lost
		if lost {
			m.Log.Warn("lost the store", "prefix", m.Prefix, "revision", m.revision, "error", err)
		} else {
			m.Log.Info("regained the store", "prefix", m.Prefix, "revision", m.revision)
		}
		if m.OnConnectionChange != nil {
			m.OnConnectionChange(!lost)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
