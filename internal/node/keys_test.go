package node

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/fanout"
	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/owner"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/upstream"
)

const configName = "config"

// fakeDecoder decodes only the configuration.
type fakeDecoder struct{}

func (fakeDecoder) Decode(e mirror.Event) (Change, bool) {
	if e.Key != configName {
		return Change{}, false
	}
	return Change{Catalog: catalog.New(e.Revision, e.Revision)}, true
}
func (fakeDecoder) ClaimKey(g upstream.GroupID) string     { return "claims/" + string(g) }
func (fakeDecoder) LivenessKey(p ownership.Process) string { return "alive/" + p.ID }
func (fakeDecoder) EncodeClaim(ownership.Claim) []byte     { return nil }
func (fakeDecoder) CatalogKey() string                     { return configName }
func (fakeDecoder) UsageKey() string                       { return "usage" }
func (fakeDecoder) Prefixes() Prefixes {
	return Prefixes{Operators: "operators", Ownership: "own", Members: "members"}
}

// fakeStore holds one version of the configuration and records the calls.
type fakeStore struct {
	calls []string
	// config is the revision of the configuration, revision the one of the store.
	config, revision uint64
	// oldest is the oldest revision that the history still covers.
	oldest uint64
}

func (s *fakeStore) record(call string) { s.calls = append(s.calls, call) }

func (s *fakeStore) entry() mirror.Entry { return mirror.Entry{Key: configName, Revision: s.config} }

func (s *fakeStore) List(context.Context, string) ([]mirror.Entry, mirror.Version, error) {
	s.record("list")
	return []mirror.Entry{s.entry()}, mirror.Version{Revision: s.revision}, nil
}

func (s *fakeStore) Watch(_ context.Context, _ string, after uint64, wait time.Duration) ([]mirror.Event, mirror.Version, error) {
	s.record("watch")
	if wait != 0 {
		panic("a key verification must not wait")
	}
	if after+1 < s.oldest {
		return nil, mirror.Version{}, mirror.ErrCompacted
	}
	if after < s.config {
		return []mirror.Event{{Entry: s.entry()}}, mirror.Version{Revision: s.revision}, nil
	}
	return nil, mirror.Version{Revision: s.revision}, nil
}

func (s *fakeStore) ListStale(context.Context, string) ([]mirror.Entry, error) { panic("not expected") }

func (s *fakeStore) Get(context.Context, string) (mirror.Entry, uint64, error) {
	s.record("get")
	return s.entry(), s.revision, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, expected []Expected, writes []Write) (uint64, error) {
	s.record("swap")
	if len(writes) > 0 {
		panic("a key verification must not write")
	}
	if expected[0].Revision != s.config {
		return 0, &ConflictError{Current: []mirror.Entry{s.entry()}}
	}
	return s.revision, nil
}

func (s *fakeStore) Remove(context.Context, string, uint64) error { panic("not expected") }

func (s *fakeStore) GrantLease(context.Context, time.Duration) (platform.LeaseID, time.Duration, error) {
	panic("not expected")
}
func (s *fakeStore) KeepAlive(context.Context, platform.LeaseID) error { panic("not expected") }
func (s *fakeStore) EndLease(context.Context, platform.LeaseID) error  { panic("not expected") }

// keyFixture is a node with a fake store and a manual clock.
type keyFixture struct {
	now   time.Time
	store *fakeStore
	node  *Node
}

const keyMaxAge = 4 * time.Second

func newKeyFixture() *keyFixture {
	p := &keyFixture{now: time.Unix(1000, 0), store: &fakeStore{config: 5, revision: 20, oldest: 1}}
	p.node = New(Options{
		Settings: Settings{Instance: "a", Process: "p", KeyMaxAge: keyMaxAge},
		Store:    p.store,
		Decoder:  fakeDecoder{},
		Clock:    func() time.Time { return p.now },
		Log:      hclog.NewNullLogger(),
		Owner:    owner.Options{Log: hclog.NewNullLogger()},
	})
	return p
}

// list passes a list of the operators' entries to the node.
func (p *keyFixture) list() {
	p.node.Reset([]mirror.Entry{p.store.entry()}, mirror.SyncPoint{Prefix: "operators", Revision: p.store.revision, RequestedAt: p.now})
}

func TestKeyAgeCountsFromTheRequest(t *testing.T) {
	is := is.New(t)
	p := newKeyFixture()
	is.True(!p.node.KeysFresh())
	p.node.Reset(nil, mirror.SyncPoint{Prefix: "operators", Revision: 3, RequestedAt: p.now})
	is.True(!p.node.KeysFresh()) // there was no configuration
	p.node.Apply(nil, mirror.SyncPoint{Prefix: "members", Revision: 20, RequestedAt: p.now})
	is.True(!p.node.KeysFresh()) // the prefix does not contain the configuration
	p.list()
	p.now = p.now.Add(keyMaxAge)
	is.True(p.node.KeysFresh())
	p.now = p.now.Add(time.Nanosecond)
	is.True(!p.node.KeysFresh())
}

func TestAnOlderSyncPointIsIgnored(t *testing.T) {
	is := is.New(t)
	p := newKeyFixture()
	p.list()
	asked := p.now.Add(-time.Minute)
	p.node.Apply(nil, mirror.SyncPoint{Prefix: "operators", Revision: 9, RequestedAt: asked}) // a watch that was sent a minute ago
	p.now = p.now.Add(keyMaxAge)
	is.True(p.node.KeysFresh())
	is.NoErr(p.node.verifyKeys(context.Background(), 0))
	is.Equal(p.store.calls, []string{"watch"})
}

func TestKeyVerificationAvoidsReadingTheValue(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(*keyFixture)
		calls   string
		version uint64
	}{
		{"nothing has changed", func(*keyFixture) {}, "watch", 5},
		{"the configuration has changed", func(p *keyFixture) { p.store.config, p.store.revision = 30, 30 }, "watch", 30},
		{"the history was compacted", func(p *keyFixture) { p.store.revision, p.store.oldest = 40, 35 }, "watch swap", 5},
		{"the history was compacted, the configuration has changed", func(p *keyFixture) {
			p.store.config, p.store.revision, p.store.oldest = 30, 40, 35
		}, "watch swap get", 30},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newKeyFixture()
			p.list()
			c.change(p)
			p.now = p.now.Add(keyMaxAge + time.Second)
			is.NoErr(p.node.verifyKeys(context.Background(), 0))
			is.True(p.node.KeysFresh())
			is.Equal(strings.Join(p.store.calls, " "), c.calls)
			is.Equal(p.node.Catalog().Version, c.version)
			p.store.calls = nil
			is.NoErr(p.node.verifyKeys(context.Background(), 0))
			is.Equal(p.store.calls, []string{"watch"}) // from the revision of the previous verification
		})
	}
}

// readerMaxAge is the age from which a reader's content is not passed on any more.
const readerMaxAge = 2600 * time.Millisecond

// slowStore answers a key verification after a delay, with a manual clock.
type slowStore struct {
	*fakeStore
	fixture *keyFixture
	delay   time.Duration
}

func (s *slowStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]mirror.Event, mirror.Version, error) {
	s.fixture.now = s.fixture.now.Add(s.delay)
	return s.fakeStore.Watch(ctx, prefix, after, wait)
}

// TestVerificationsCountFromTheirRequest guards against content of a reader that is too old in every round while the store
// answers slowly, which sends a whole fleet to the store.
func TestVerificationsCountFromTheirRequest(t *testing.T) {
	is := is.New(t)
	p := newKeyFixture()
	store := &slowStore{fakeStore: p.store, fixture: p, delay: 400 * time.Millisecond} // a store that is a hundred times slower
	p.node.shared = fanout.NewSource(store, nil, func() fanout.Route { return fanout.Route{} }, func() time.Time { return p.now }, hclog.NewNullLogger(), nil)
	p.list()
	for range 5 {
		is.NoErr(p.node.verifyKeys(context.Background(), 0))
		gap := verificationGap(p.node.keyAge())
		is.True(gap >= minVerifyGap)
		p.now = p.now.Add(gap)
		is.True(p.node.keyAge()+store.delay < readerMaxAge) // when the next answer arrives
	}
	is.Equal(verificationGap(time.Hour), minVerifyGap)
}
