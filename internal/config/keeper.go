package config

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/celerystep/celerystep/internal/audit"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/platform"
)

// Gossip spreads news between instances and fetches chunks from them.
type Gossip interface {
	// Announce tells the version in force to the other instances. It does not block.
	Announce(version uint64, root Hash)
	// AnnounceRevocations spreads emergency revocations. It does not block.
	AnnounceRevocations(list []Revocation)
	// FetchChunk returns what Keeper.Chunk holds on the instance from.
	FetchChunk(ctx context.Context, from instance.ID, hash Hash) ([]byte, error)
}

// Membership tells which instances are live.
type Membership interface {
	// Live returns the instances that are neither leaving nor dead, this one included.
	Live() []instance.Info
}

// Recorder takes audit records. It does not block.
type Recorder interface {
	Record(r audit.Record)
}

// KeeperOptions configures a Keeper. All fields are required.
type KeeperOptions struct {
	Self       instance.ID
	Store      platform.Store
	Gossip     Gossip
	Membership Membership
	Audit      Recorder
	Log        hclog.Logger
	// Seed makes the random delays reproducible.
	Seed uint64
}

// Keeper keeps the configuration that is in force on this instance. Its methods are safe for concurrent use.
type Keeper struct {
	o    KeeperOptions
	repo *Repository

	snapshot atomic.Pointer[Snapshot]
	ready    chan struct{}
	// served and previous hold what other instances may fetch.
	served   atomic.Pointer[Encoded]
	previous atomic.Pointer[Encoded]
	// storeAnswer is the time of the last answer of the key-value service in nanoseconds since 1970.
	storeAnswer atomic.Int64
	// revocationList is the set for readers on other goroutines.
	revocationList atomic.Pointer[[]Revocation]

	events   chan event
	readRoot chan struct{}
	stopped  chan struct{}

	// The following fields belong to the goroutine of loop.
	machine     *inForce
	decoder     *Decoder
	loaded      *loadedConfig
	revoked     revocations
	subscribers []func(*Snapshot)
	// random belongs to the goroutine of follow.
	random *rand.Rand
}

// event changes the state machine; it runs on the goroutine of loop.
type event func(m *inForce, now time.Time) []action

// loadedConfig is a configuration that was loaded and checked and is not in force yet.
type loadedConfig struct {
	encoded *Encoded
	cluster *Cluster
}

// eventBuffer holds the events of a burst of gossip.
const eventBuffer = 256

// NewKeeper returns a keeper without a configuration. Run starts it.
func NewKeeper(o KeeperOptions) *Keeper {
	return &Keeper{
		o:        o,
		repo:     NewRepository(o.Store),
		ready:    make(chan struct{}),
		events:   make(chan event, eventBuffer),
		readRoot: make(chan struct{}, 1),
		stopped:  make(chan struct{}),
		machine:  newInForce(rand.New(rand.NewPCG(o.Seed, 1))),
		decoder:  NewDecoder(),
		random:   rand.New(rand.NewPCG(o.Seed, 2)),
	}
}

// Snapshot returns the configuration in force, or nil before the first one is known. Nothing may be served then.
func (k *Keeper) Snapshot() *Snapshot { return k.snapshot.Load() }

// Ready is closed when the first configuration is in force.
func (k *Keeper) Ready() <-chan struct{} { return k.ready }

// Ref returns the identity of the configuration in force; it is zero before the first one.
func (k *Keeper) Ref() Ref {
	if e := k.served.Load(); e != nil {
		return e.Ref()
	}
	return Ref{}
}

// LastStoreAnswer returns the time at which the key-value service answered this instance last, or the zero time.
func (k *Keeper) LastStoreAnswer() time.Time {
	ns := k.storeAnswer.Load()
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

// Subscribe calls f with the configuration in force, now if there is one, and with each later one. All functions are
// called in the order of subscription by one goroutine and must not block. A snapshot with the same version differs
// from the one before by emergency revocations.
func (k *Keeper) Subscribe(f func(*Snapshot)) {
	k.post(func(*inForce, time.Time) []action {
		k.subscribers = append(k.subscribers, f)
		if s := k.snapshot.Load(); s != nil {
			f(s)
		}
		return nil
	})
}

// Heard handles the news that another instance announced a version.
func (k *Keeper) Heard(version uint64, root Hash, from instance.ID) {
	ref := Ref{Version: version, Root: root}
	if ref == k.Ref() {
		return
	}
	k.post(func(m *inForce, now time.Time) []action { return m.heardFrom(now, ref, from) })
}

// HeardRevocations merges emergency revocations of another instance.
func (k *Keeper) HeardRevocations(list []Revocation) {
	k.post(func(_ *inForce, now time.Time) []action { return k.addRevocations(now, list) })
}

// Revoke handles an operator's emergency revocation given to this instance.
func (k *Keeper) Revoke(r Revocation) {
	k.o.Audit.Record(audit.Record{
		Kind:     audit.KindKeyRevoked,
		Customer: r.Customer,
		Operator: r.Operator,
		Inputs:   []audit.Input{{Key: "key", Value: r.Key}},
	})
	k.HeardRevocations([]Revocation{r})
}

// Chunk returns a root or chunk of the configuration in force or of the one before it, for other instances.
func (k *Keeper) Chunk(h Hash) ([]byte, bool) {
	for _, e := range []*Encoded{k.served.Load(), k.previous.Load()} {
		if e == nil {
			continue
		}
		if e.Hash == h {
			return e.Bytes, true
		}
		if p, ok := e.Chunks[h]; ok {
			return p, true
		}
	}
	return nil, false
}

// Run keeps the configuration until ctx ends. Until then the events of all other methods wait.
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return k.loop(ctx, g) })
	g.Go(func() error { return k.follow(ctx) })
	return g.Wait()
}

func (k *Keeper) post(e event) {
	select {
	case k.events <- e:
	case <-k.stopped:
	}
}

// loop owns the state machine.
func (k *Keeper) loop(ctx context.Context, g *errgroup.Group) error {
	defer close(k.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		k.arm(timer)
		select {
		case <-ctx.Done():
			return nil
		case e := <-k.events:
			k.perform(ctx, g, e(k.machine, time.Now()))
		case <-timer.C:
			k.perform(ctx, g, k.machine.tick(time.Now()))
		}
	}
}

// arm sets the timer to the next time at which the state machine wants to act.
func (k *Keeper) arm(timer *time.Timer) {
	now := time.Now()
	d := time.Hour
	if at := k.machine.wakeAt(now); !at.IsZero() {
		d = at.Sub(now)
	}
	timer.Reset(d)
}

// perform carries out actions. What needs I/O runs on its own goroutine and posts its result as an event.
func (k *Keeper) perform(ctx context.Context, g *errgroup.Group, actions []action) {
	for _, a := range actions {
		switch a.kind {
		case actionInstall:
			k.perform(ctx, g, k.install())
		case actionLoad:
			g.Go(func() error { return k.load(ctx, a) })
		case actionWriteBack:
			e := k.served.Load()
			g.Go(func() error { return k.writeBack(ctx, e, a.other) })
		case actionWriteRevocations:
			list := k.revoked.pending(k.snapshot.Load().Cluster())
			g.Go(func() error { return k.writeRevocations(ctx, a.ref, list) })
		case actionReadRoot:
			k.ReadRoot()
		case actionReportBehind, actionReportFork:
			k.reportStore(a)
		}
	}
}

// ReadRoot asks for a read of the root from the key-value service soon, for example to learn whether it answers.
func (k *Keeper) ReadRoot() {
	select {
	case k.readRoot <- struct{}{}:
	default:
	}
}

// install puts the loaded configuration in force.
func (k *Keeper) install() []action {
	l := k.loaded
	before := k.snapshot.Load()
	next := NewSnapshot(l.cluster).withRevocations(k.revoked.refs())
	k.previous.Store(k.served.Load())
	k.served.Store(l.encoded)
	k.snapshot.Store(next)
	if before == nil {
		close(k.ready)
	}
	k.o.Gossip.Announce(l.encoded.Root.Version, l.encoded.Hash)
	k.o.Log.Info("configuration in force", "version", l.encoded.Root.Version, "root", l.encoded.Hash.Short(),
		"operator", l.encoded.Root.Operator, "operation", l.encoded.Root.OperationID)
	k.recordInstall(before, l)
	k.notify(next)
	return k.machine.setPending(time.Now(), len(k.revoked.pending(l.cluster)))
}

func (k *Keeper) notify(s *Snapshot) {
	for _, f := range k.subscribers {
		f(s)
	}
}

func (k *Keeper) addRevocations(now time.Time, list []Revocation) []action {
	added := k.revoked.add(list)
	if len(added) == 0 {
		return nil
	}
	all := k.revoked.list()
	k.revocationList.Store(&all)
	k.o.Gossip.AnnounceRevocations(added)
	for _, r := range added {
		k.o.Log.Warn("key revoked in an emergency", "customer", r.Customer, "key", r.Key, "operator", r.Operator)
	}
	s := k.snapshot.Load()
	if s == nil {
		return nil
	}
	next := s.withRevocations(k.revoked.refs())
	k.snapshot.Store(next)
	k.notify(next)
	return k.machine.setPending(now, len(k.revoked.pending(next.Cluster())))
}

// Revocations returns the emergency revocations that this instance knows of, in order of customer and key.
func (k *Keeper) Revocations() []Revocation {
	if list := k.revocationList.Load(); list != nil {
		return *list
	}
	return nil
}
