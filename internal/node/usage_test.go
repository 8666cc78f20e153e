package node

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/usage"
)

// usageFakeStore holds one entry and answers writes with a conflict that shows the entries in current.
type usageFakeStore struct {
	fakeStore
	stored   mirror.Entry
	current  []mirror.Entry
	expected []Expected
}

func (s *usageFakeStore) Get(context.Context, string) (mirror.Entry, uint64, error) {
	if s.stored.Revision == 0 {
		return mirror.Entry{}, 0, platform.ErrNotFound
	}
	return s.stored, 50, nil
}

func (s *usageFakeStore) CompareAndSwap(_ context.Context, expected []Expected, _ []Write) (uint64, error) {
	s.expected = expected
	return 0, &ConflictError{Current: s.current}
}

// Guards against a holder that takes the loss of its claim for a change of the counts or the other way round, and against counts that
// are stored without the claim.
func TestConflictsOfTheUsageKey(t *testing.T) {
	entry := mirror.Entry{Key: "usage", Value: []byte("v"), Revision: 30}
	for _, c := range []struct {
		name     string
		stored   mirror.Entry
		current  []mirror.Entry
		revision uint64
		changed  bool
	}{
		{"counts changed, entry shown", entry, []mirror.Entry{entry}, 20, true},
		{"counts changed, entry not shown", entry, nil, 20, true},
		{"claim lost, entry shown", entry, []mirror.Entry{entry}, 30, false},
		{"claim lost, entry not shown", entry, nil, 30, false},
		{"claim lost before the first counts", mirror.Entry{}, nil, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := newKeyFixture().node
			config := catalog.New(1, 1)
			config.Groups["g"] = &catalog.Group{ID: "g"}
			n.catalog.Store(config)
			store := &usageFakeStore{stored: c.stored, current: c.current}
			n.opts.Store = store
			_, err := usageStore{n}.Save(context.Background(), nil, c.revision, 40)
			is.Equal(store.expected, []Expected{{Key: "usage", Revision: c.revision}, {Key: "claims/g", Revision: 40}})
			conflict := (*usage.ConflictError)(nil)
			is.Equal(errors.As(err, &conflict), c.changed)
			is.Equal(errors.Is(err, usage.ErrClaimLost), !c.changed)
			if c.changed {
				is.Equal(*conflict, usage.ConflictError{Value: entry.Value, Revision: entry.Revision})
			}
		})
	}
}
