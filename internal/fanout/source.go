package fanout

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/boottime"
	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/mirror"
)

const (
	// maxWait is how long a reader may wait for a change. It bounds how late an instance learns that its reader hangs.
	maxWait = 2 * time.Second
	// answerTimeout bounds a call to a reader beyond its wait: a large value takes that long on a slow link.
	answerTimeout = 1200 * time.Millisecond
	// pollTimeout bounds a call that does not wait.
	pollTimeout = 700 * time.Millisecond
	// maxAge is the age of a reader's content from which it is not used: a little more than the time between two
	// confirmations by the store, so that one that is late does not matter.
	maxAge = 2600 * time.Millisecond
)

// Errors of a reader. After each of them the asking instance tries another one.
var (
	// ErrNotReader reports that the asked instance does not read the store itself.
	ErrNotReader = errors.New("the instance is not a reader")
	// ErrTooOld reports that the reader's content has not been confirmed by the store for too long.
	ErrTooOld = errors.New("the reader's content is too old")
)

// Peers makes calls to readers.
type Peers interface {
	Follow(ctx context.Context, address string, r Request) (Answer, error)
}

// Source reads the store, through a reader if there is one. It implements mirror.Source and is safe for concurrent use.
type Source struct {
	store mirror.Source
	peers Peers
	route func() Route
	clock boottime.Clock
	log   hclog.Logger

	mu       sync.Mutex
	selector Selector
	// last is the reader that the previous call used, the zero Reader for the store; started is false before the first call.
	last    Reader
	started bool
	// revisions holds the highest revision that was returned for each prefix.
	revisions map[string]uint64
}

// NewSource returns a source. Random returns a number in [0, 1).
func NewSource(store mirror.Source, peers Peers, route func() Route, clock boottime.Clock, log hclog.Logger, random func() float64) *Source {
	return &Source{
		store: store, peers: peers, route: route, clock: clock, log: log, selector: Selector{Random: random}, revisions: make(map[string]uint64),
	}
}

// List implements mirror.Source.
func (s *Source) List(ctx context.Context, prefix string) ([]mirror.Entry, mirror.Version, error) {
	var entries []mirror.Entry
	version, err := s.read(ctx, Request{Prefix: prefix}, func(Target) (mirror.Version, error) {
		var v mirror.Version
		var err error
		entries, v, err = s.store.List(ctx, prefix)
		return v, err
	}, func(events []mirror.Event) {
		entries = make([]mirror.Entry, len(events))
		for i, e := range events {
			entries[i] = e.Entry
		}
	})
	return entries, version, err
}

// Watch implements mirror.Source.
func (s *Source) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]mirror.Event, mirror.Version, error) {
	return s.watch(ctx, Request{Prefix: prefix, After: after, Wait: wait})
}

// Poll returns the changes after a revision without waiting for one. A reader whose content is older than atLeast is asked
// to read the store first.
func (s *Source) Poll(ctx context.Context, prefix string, after, atLeast uint64) ([]mirror.Event, mirror.Version, error) {
	return s.watch(ctx, Request{Prefix: prefix, After: after, AtLeast: atLeast})
}

func (s *Source) watch(ctx context.Context, r Request) ([]mirror.Event, mirror.Version, error) {
	var events []mirror.Event
	version, err := s.read(ctx, r, func(t Target) (mirror.Version, error) {
		wait := r.Wait
		if t.Fallback {
			wait = min(wait, directPeriod)
		}
		var v mirror.Version
		var err error
		events, v, err = s.store.Watch(ctx, r.Prefix, r.After, wait)
		return v, err
	}, func(answered []mirror.Event) { events = answered })
	return events, version, err
}

// read makes calls to readers or the store until one succeeds. It returns the store's error when the store and the readers
// fail. use receives the events of a reader.
func (s *Source) read(ctx context.Context, r Request, readStore func(Target) (mirror.Version, error), use func([]mirror.Event)) (mirror.Version, error) {
	var storeErr error
	for {
		t := s.next()
		if storeErr != nil && (t.Store() || t.Delay > 0) {
			return mirror.Version{}, storeErr
		}
		if !ctxtime.Sleep(ctx, t.Delay) {
			return mirror.Version{}, ctx.Err()
		}
		if !t.Store() {
			events, v, err := s.ask(ctx, t.Reader, r)
			if err == nil || errors.Is(err, mirror.ErrCompacted) {
				use(events)
				return v, err
			}
			continue
		}
		v, err := readStore(t)
		if err == nil || errors.Is(err, mirror.ErrCompacted) || ctx.Err() != nil {
			s.recordStoreSuccess(r.Prefix, v.Revision)
			return v, err
		}
		storeErr = err
		if !s.recordStoreFailure(r.Prefix, t, err) {
			return mirror.Version{}, err
		}
	}
}

// recordStoreFailure records that the store did not answer, and reports whether readers may be asked instead.
func (s *Source) recordStoreFailure(prefix string, t Target, err error) bool {
	route := s.route()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.StoreFailed(t.Fallback && !route.Reads, s.clock())
	if len(route.Readers) == 0 {
		return false
	}
	s.log.Info("the store did not answer; asking a reader", "prefix", prefix, "error", err)
	return true
}

// next returns the target of the next call, which must wait for its delay.
func (s *Source) next() Target {
	route := s.route()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.selector.Next(route, s.clock())
	if t.Reader != s.last || !s.started {
		s.last, s.started = t.Reader, true
		s.log.Info("reads shared entries", "reader", t.Reader.Instance, "store", t.Store(), "fallback", t.Fallback, "delay", t.Delay, "readers", len(route.Readers), "reads", route.Reads)
	}
	return t
}

// ask makes one call to a reader. Any error but mirror.ErrCompacted leaves the reader out for a while.
func (s *Source) ask(ctx context.Context, reader Reader, r Request) ([]mirror.Event, mirror.Version, error) {
	r.Wait = min(r.Wait, maxWait)
	limit := pollTimeout
	if r.Wait > 0 || r.After == 0 {
		limit = r.Wait + answerTimeout
	}
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	a, err := s.peers.Follow(call, reader.Address, r)
	var events []mirror.Event
	if err == nil {
		events, err = s.check(r, a)
	}
	if err != nil {
		s.reportFailure(ctx, reader, r, err)
		return nil, mirror.Version{}, err
	}
	v := s.reportSuccess(reader, r.Prefix, a)
	if a.Compacted {
		return nil, v, mirror.ErrCompacted
	}
	return events, v, nil
}

// reportFailure records that a reader failed, unless the caller gave up.
func (s *Source) reportFailure(ctx context.Context, reader Reader, r Request, err error) {
	if ctx.Err() != nil {
		return
	}
	s.log.Info("a reader did not answer as needed", "reader", reader.Instance, "prefix", r.Prefix, "after", r.After, "error", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.Failed(reader, s.clock())
}

// reportSuccess records an answer of a reader and returns its version.
func (s *Source) reportSuccess(reader Reader, prefix string, a Answer) mirror.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.Succeeded(reader)
	s.revisions[prefix] = max(s.revisions[prefix], a.Revision)
	return mirror.Version{Revision: a.Revision, Age: a.Age}
}

// check decompresses the events and rejects an answer that is too old to be used.
func (s *Source) check(r Request, a Answer) ([]mirror.Event, error) {
	if a.Age > maxAge {
		return nil, errors.Wrapf(ErrTooOld, "age %v", a.Age)
	}
	s.mu.Lock()
	known := s.revisions[r.Prefix]
	s.mu.Unlock()
	if r.After == 0 && a.Revision < known {
		return nil, errors.Errorf("the reader's content has revision %d, %d is known already", a.Revision, known)
	}
	events := make([]mirror.Event, len(a.Changes))
	for i, c := range a.Changes {
		e, err := c.event()
		if err != nil {
			return nil, err
		}
		events[i] = e
	}
	return events, nil
}

// recordStoreSuccess records the revision that the store returned for a prefix.
func (s *Source) recordStoreSuccess(prefix string, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.StoreSucceeded()
	s.revisions[prefix] = max(s.revisions[prefix], revision)
}
