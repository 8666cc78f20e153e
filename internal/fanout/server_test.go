package fanout

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/mirror"
)

const testPrefix = "operators/"

// newTestServer returns the server of a reader whose content was confirmed just now.
func newTestServer() (*Server, *Copy, *atomic.Bool) {
	c := NewCopy()
	c.Reset([]mirror.Entry{put("a", 3).Entry}, mirror.SyncPoint{Revision: 10, RequestedAt: time.Now()})
	reads := &atomic.Bool{}
	reads.Store(true)
	s := &Server{
		Copies: map[string]*Copy{testPrefix: c}, Confirmed: c, Reads: reads.Load, CatchUp: func(context.Context, uint64) {}, Clock: time.Now,
	}
	return s, c, reads
}

func TestAReaderAnswersWhenSomethingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, c, _ := newTestServer()
		time.AfterFunc(700*time.Millisecond, func() {
			c.Apply([]mirror.Event{put("a", 12)}, mirror.SyncPoint{After: 10, Revision: 12, RequestedAt: time.Now()})
		})
		started := time.Now()
		a, err := s.Follow(t.Context(), Request{Prefix: testPrefix, After: 10, Wait: maxWait})
		is.NoErr(err)
		is.Equal(describe(a), "12 a@12")
		is.Equal(a.Age, time.Duration(0))
		is.Equal(time.Since(started), 700*time.Millisecond)
		a, err = s.Follow(t.Context(), Request{Prefix: testPrefix, After: 12, Wait: time.Hour})
		is.NoErr(err)
		is.Equal(a.Age, maxWait) // nothing has confirmed the content meanwhile
	})
}

// TestAReaderStopsToAnswerWhenTheStoreIsAway guards against a reader that passes on old content as if it were current.
func TestAReaderStopsToAnswerWhenTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _, _ := newTestServer()
		time.Sleep(maxAge - 200*time.Millisecond)
		started := time.Now()
		_, err := s.Follow(t.Context(), Request{Prefix: testPrefix, After: 10, Wait: maxWait})
		is.True(errors.Is(err, ErrTooOld))
		is.Equal(time.Since(started), 200*time.Millisecond)
	})
}

// TestAReaderThatStopsReleasesItsCallers guards against a planned stop that waits for the calls of instances which wait
// for a change, and against readers that answer after they have given up reading.
func TestAReaderThatStopsReleasesItsCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, c, reads := newTestServer()
		time.AfterFunc(300*time.Millisecond, func() {
			reads.Store(false)
			c.Wake()
		})
		started := time.Now()
		_, err := s.Follow(t.Context(), Request{Prefix: testPrefix, After: 10, Wait: maxWait})
		is.True(errors.Is(err, ErrNotReader))
		is.Equal(time.Since(started), 300*time.Millisecond)
	})
}

// TestANewReaderIsAwaited guards against a whole fleet that turns to the store because its readers have just restarted.
func TestANewReaderIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _, reads := newTestServer()
		reads.Store(false)
		time.AfterFunc(startTimeout/2, func() { reads.Store(true) })
		_, err := s.Follow(t.Context(), Request{Prefix: testPrefix})
		is.NoErr(err)
		reads.Store(false)
		_, err = s.Follow(t.Context(), Request{Prefix: testPrefix})
		is.True(errors.Is(err, ErrNotReader))
	})
}

// onePeer answers every request with the next of its answers.
type onePeer struct{ answers []Answer }

func (p *onePeer) Follow(context.Context, string, Request) (Answer, error) {
	if len(p.answers) == 0 {
		return Answer{}, errors.New("connection refused")
	}
	a := p.answers[0]
	p.answers = p.answers[1:]
	return a, nil
}

// oneStore is a store with a fixed revision that may be out of reach.
type oneStore struct {
	revision uint64
	err      error
	calls    int
}

func (s *oneStore) List(context.Context, string) ([]mirror.Entry, mirror.Version, error) {
	s.calls++
	return nil, mirror.Version{Revision: s.revision}, s.err
}

func (s *oneStore) Watch(context.Context, string, uint64, time.Duration) ([]mirror.Event, mirror.Version, error) {
	s.calls++
	return nil, mirror.Version{Revision: s.revision}, s.err
}

// TestOldAnswersAreNotUsed guards against content that is too old, or older than what this instance has returned before.
func TestOldAnswersAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &oneStore{revision: 30}
		peer := &onePeer{answers: []Answer{{Revision: 20, Age: time.Second}, {Revision: 40, Age: maxAge + 1}, {Revision: 19, Age: time.Second}}}
		readers := []Reader{owner("a", "x", 1), owner("b", "x", 1), owner("c", "x", 1)}
		s := NewSource(store, peer, func() Route { return Route{Readers: readers} }, time.Now, hclog.NewNullLogger(), func() float64 { return 0.5 })
		_, v, err := s.List(t.Context(), testPrefix)
		is.NoErr(err)
		is.Equal(v, mirror.Version{Revision: 20, Age: time.Second})
		_, v, err = s.List(t.Context(), testPrefix) // one answer is too old, the other has an older revision
		is.NoErr(err)
		is.Equal(v, mirror.Version{Revision: 30})
		is.Equal(store.calls, 1)
	})
}

// TestTheStoresErrorIsReturnedWhenReadersFailToo guards against a loop that never reports a lost store.
func TestTheStoresErrorIsReturnedWhenReadersFailToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		away := errors.New("away")
		readers := []Reader{owner("a", "x", 1), owner("b", "x", 1), owner("c", "x", 1)}
		for _, reads := range []bool{false, true} {
			store := &oneStore{err: away}
			s := NewSource(store, &onePeer{}, func() Route { return Route{Readers: readers, Reads: reads} }, time.Now, hclog.NewNullLogger(), func() float64 { return 0.5 })
			_, _, err := s.Watch(t.Context(), testPrefix, 1, time.Second)
			is.True(errors.Is(err, away))
			is.Equal(store.calls, 1)
		}
	})
}
