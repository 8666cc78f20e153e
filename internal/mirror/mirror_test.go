package mirror

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// script is a Source that answers each call with the next step.
type script struct {
	steps []any
	after []uint64
	stop  context.CancelFunc
}

type listing struct {
	entries  []Entry
	revision uint64
}

type watched struct {
	events   []Event
	revision uint64
}

func (s *script) next() any {
	if len(s.steps) == 0 {
		s.stop()
		return errors.New("end of the script")
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step
}

func (s *script) List(context.Context, string) ([]Entry, Version, error) {
	switch step := s.next().(type) {
	case listing:
		return step.entries, Version{Revision: step.revision}, nil
	case error:
		return nil, Version{}, step
	default:
		panic("the script has a watch where the mirror lists")
	}
}

func (s *script) Watch(_ context.Context, _ string, after uint64, _ time.Duration) ([]Event, Version, error) {
	s.after = append(s.after, after)
	switch step := s.next().(type) {
	case watched:
		return step.events, Version{Revision: step.revision}, nil
	case error:
		return nil, Version{}, step
	default:
		panic("the script has a list where the mirror watches")
	}
}

// record is a Sink that records its calls.
type record struct {
	resets   int
	keys     []string
	readings []SyncPoint
}

func (r *record) Apply(events []Event, at SyncPoint) {
	r.readings = append(r.readings, at)
	for _, e := range events {
		r.keys = append(r.keys, e.Key)
	}
}

func (r *record) Reset(_ []Entry, at SyncPoint) {
	r.readings = append(r.readings, at)
	r.resets++
}

func play(steps ...any) (*script, *record, []bool) {
	ctx, stop := context.WithCancel(context.Background())
	s := &script{steps: steps, stop: stop}
	r := &record{}
	var states []bool
	m := Mirror{Source: s, Sink: r, Clock: time.Now, Log: hclog.NewNullLogger(), OnConnectionChange: func(ok bool) { states = append(states, ok) }}
	_ = m.Run(ctx)
	return s, r, states
}

func event(key string, revision uint64) Event {
	return Event{Entry: Entry{Key: key, Revision: revision}}
}

func TestFollowsFromTheListsRevision(t *testing.T) {
	is := is.New(t)
	s, r, _ := play(
		listing{revision: 7},
		watched{events: []Event{event("a", 8)}, revision: 8},
		watched{revision: 8},
		watched{events: []Event{event("b", 9)}, revision: 9},
	)
	is.Equal(s.after[:4], []uint64{7, 8, 8, 9})
	is.Equal(r.keys, []string{"a", "b"})
	var revisions []uint64
	for _, at := range r.readings {
		revisions = append(revisions, at.Revision)
	}
	is.Equal(revisions, []uint64{7, 8, 8, 9}) // a watch without events yields a sync point too
	is.Equal(r.resets, 1)
}

func TestListsAgainAfterCompaction(t *testing.T) {
	is := is.New(t)
	_, r, states := play(listing{revision: 7}, ErrCompacted, listing{revision: 20}, watched{events: []Event{event("a", 21)}, revision: 21})
	is.Equal(r.resets, 2)
	is.Equal(r.keys, []string{"a"})
	is.Equal(len(states), 0) // the store was never lost
}

// TestDropsWhatTheListHeldAlready guards against applying a change twice when later pages of a list are newer than the
// list's revision.
func TestDropsWhatTheListHeldAlready(t *testing.T) {
	is := is.New(t)
	_, r, _ := play(
		listing{entries: []Entry{{Key: "a", Revision: 9}}, revision: 7},
		watched{events: []Event{event("a", 8), event("a", 9), event("b", 8)}, revision: 9},
	)
	is.Equal(r.keys, []string{"b"})
}

func TestReportsLossAndReturnOnce(t *testing.T) {
	is := is.New(t)
	_, _, states := play(listing{revision: 1}, errors.New("away"), errors.New("away"), watched{revision: 1})
	is.Equal(states, []bool{false, true})
}

// TestASeriesOfChangesIsNotFollowedVersionByVersion guards against following every version of a rapidly changing key.
// After a batch with several versions of one key, the content is listed until it no longer changes, and only the last
// version of each key is applied.
func TestASeriesOfChangesIsNotFollowedVersionByVersion(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	s := &script{stop: stop, steps: []any{
		listing{entries: []Entry{{Key: "a", Revision: 7}}, revision: 7},
		watched{events: []Event{event("a", 8), event("b", 9), event("a", 10)}, revision: 10},
		listing{entries: []Entry{{Key: "a", Revision: 14}, {Key: "b", Revision: 9}}, revision: 14},
		listing{entries: []Entry{{Key: "a", Revision: 19}, {Key: "b", Revision: 9}}, revision: 19},
		listing{entries: []Entry{{Key: "a", Revision: 19}, {Key: "b", Revision: 9}}, revision: 21},
		watched{events: []Event{event("a", 22)}, revision: 22},
		watched{revision: 22},
	}}
	r := &record{}
	m := Mirror{Source: s, Sink: r, Clock: time.Now, Log: hclog.NewNullLogger(), RelistInterval: time.Millisecond}
	_ = m.Run(ctx)
	is.Equal(r.keys, []string{"b", "a", "a"})
	is.Equal(r.resets, 4)
	is.Equal(s.after[:3], []uint64{7, 21, 22})
}
