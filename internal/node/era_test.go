package node

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/owner"
	"github.com/celerystep/celerystep/internal/revision"
)

// numberDecoder decodes configurations whose version is the store's own revision.
type numberDecoder struct{ fakeDecoder }

func (numberDecoder) Decode(e mirror.Event) (Change, bool) {
	return Change{Catalog: catalog.New(revision.Number(e.Revision), e.Revision)}, e.Key == configName
}

func newEraNode(now *time.Time) *Node {
	return New(Options{
		Store: &fakeStore{}, Decoder: numberDecoder{}, Clock: func() time.Time { return *now }, Log: hclog.NewNullLogger(),
		Owner: owner.Options{Log: hclog.NewNullLogger()},
	})
}

// Guards against a list that was read beside the mirror and replaces later changes.
func TestALateListDoesNotReplaceLaterChanges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := newEraNode(&now)
	n.Reset(nil, mirror.SyncPoint{Prefix: "operators", Revision: 9})
	err := n.resetNow(nil, mirror.SyncPoint{Prefix: "operators", Revision: 8})
	is.True(errors.Is(err, errSuperseded))
	is.NoErr(n.resetNow(nil, mirror.SyncPoint{Prefix: "operators", Revision: 9}))
	n.Apply(nil, mirror.SyncPoint{Prefix: "operators", After: 9, Revision: 10})
	is.True(n.resetNow(nil, mirror.SyncPoint{Prefix: "operators", Revision: 9}) != nil)
}

// Guards against an older configuration that is put in force, and against keys that a store proves which has not caught up.
func TestAnOlderConfigurationNeitherComesInForceNorProvesKeys(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := newEraNode(&now)
	entry := func(r uint64) []mirror.Event {
		return []mirror.Event{{Entry: mirror.Entry{Key: configName, Revision: r}}}
	}
	at := func(r uint64) mirror.SyncPoint {
		return mirror.SyncPoint{Prefix: "operators", Revision: r, RequestedAt: now}
	}
	n.Reset(nil, at(5))
	n.Apply(entry(7), at(7))
	is.Equal(n.Catalog().Version, uint64(7))
	proven := n.keysVerifiedAt.Load()

	now = now.Add(time.Second)
	n.Reset([]mirror.Entry{{Key: configName, Revision: revision.Of(1, 6)}}, at(revision.Of(1, 6)))
	is.Equal(n.Catalog().Version, uint64(7))
	is.True(n.settling())
	now = now.Add(10 * time.Second)
	n.Apply(nil, at(revision.Of(1, 8)))
	is.Equal(n.keysVerifiedAt.Load(), proven) // the store has not got the version in force back yet

	n.Apply(entry(revision.Of(1, 9)), at(revision.Of(1, 9)))
	is.Equal(n.Catalog().Version, uint64(9))
	is.True(n.keysVerifiedAt.Load() > proven)
}

// Guards against keys that are proven by a copy which lacks the newest version, right after the store's return.
func TestKeysAreNotProvenUntilTheStoreHasCaughtUp(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := newEraNode(&now)
	at := func(r uint64) mirror.SyncPoint {
		return mirror.SyncPoint{Prefix: "operators", Revision: r, RequestedAt: now}
	}
	n.Reset([]mirror.Entry{{Key: configName, Revision: 7}}, at(7))
	proven := n.keysVerifiedAt.Load()
	now = now.Add(time.Second)
	n.Reset([]mirror.Entry{{Key: configName, Revision: revision.Of(1, 7)}}, at(revision.Of(1, 7)))
	is.Equal(n.keysVerifiedAt.Load(), proven)
	now = now.Add(10 * time.Second)
	n.Apply(nil, at(revision.Of(1, 8)))
	is.True(n.keysVerifiedAt.Load() > proven)
}
