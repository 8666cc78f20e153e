package config

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/audit"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/platform/platformtest"
)

const (
	gossipDelay    = 50 * time.Millisecond
	gossipInterval = 200 * time.Millisecond
)

// fleet runs keepers over a store in memory and a network that delivers all gossip. It belongs to a synctest bubble,
// so its waits take no real time.
type fleet struct {
	t     *testing.T
	ctx   context.Context
	store *platformtest.Store

	wg sync.WaitGroup

	mu      sync.Mutex
	nodes   map[instance.ID]*node
	live    []instance.Info
	records []audit.Record
	faults  []string
}

// node is one daemon's keeper with the versions that it had in force.
type node struct {
	fleet   *fleet
	id      instance.ID
	keeper  *Keeper
	stop    context.CancelFunc
	stopped chan struct{}
	// seen is the version of the newest snapshot; atLeast is what a replaced process had in force.
	seen    uint64
	atLeast uint64
}

// newFleet starts four keepers in one failure domain and one in another: four watchers and one that only hears gossip.
func newFleet(t *testing.T, ctx context.Context, store *platformtest.Store) *fleet {
	f := &fleet{t: t, ctx: ctx, store: store, nodes: make(map[instance.ID]*node)}
	for i := range 5 {
		domain := instance.FailureDomain("north-a")
		if i == 4 {
			domain = "north-b"
		}
		f.live = append(f.live, instance.Info{ID: instance.ID(fmt.Sprintf("p%d", i)), FailureDomain: domain})
	}
	for _, i := range f.live {
		f.start(i.ID, 0)
	}
	return f
}

func (f *fleet) start(id instance.ID, atLeast uint64) {
	ctx, stop := context.WithCancel(f.ctx)
	n := &node{fleet: f, id: id, stop: stop, stopped: make(chan struct{}), atLeast: atLeast}
	n.keeper = NewKeeper(KeeperOptions{
		Self: id, Store: f.store, Gossip: n, Membership: f, Audit: f, Seed: uint64(id[1]),
		Log: hclog.New(&hclog.LoggerOptions{Output: io.Discard}),
	})
	n.keeper.Subscribe(n.observe)
	f.mu.Lock()
	f.nodes[id] = n
	f.mu.Unlock()
	f.wg.Go(func() { defer close(n.stopped); _ = n.keeper.Run(ctx) })
	f.wg.Go(func() { n.gossip(ctx) })
}

// replace stops a process and starts another one with the same id.
func (f *fleet) replace(id instance.ID) {
	n := f.node(id)
	n.stop()
	<-n.stopped
	f.start(id, n.keeper.Ref().Version)
}

func (f *fleet) node(id instance.ID) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[id]
}

func (f *fleet) all() []*node {
	var out []*node
	for _, i := range f.live {
		out = append(out, f.node(i.ID))
	}
	return out
}

// Live implements Membership.
func (f *fleet) Live() []instance.Info { return f.live }

// Record implements Recorder.
func (f *fleet) Record(r audit.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, r)
}

func (f *fleet) fault(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

// inForce returns the highest version in force, as an operator learns it from the instances.
func (f *fleet) inForce() uint64 {
	highest := uint64(0)
	for _, n := range f.all() {
		highest = max(highest, n.keeper.Ref().Version)
	}
	return highest
}

// everywhere reports whether all keepers have a configuration in force that fulfils the condition.
func (f *fleet) everywhere(holds func(*Snapshot) bool) bool {
	for _, n := range f.all() {
		if s := n.keeper.Snapshot(); s == nil || !holds(s) {
			return false
		}
	}
	return true
}

// await waits for a condition and returns how long it took.
func (f *fleet) await(limit time.Duration, holds func() bool) (time.Duration, bool) {
	start := time.Now()
	for !holds() {
		if time.Since(start) >= limit {
			return limit, false
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start), true
}

// observe checks that the version in force never goes down.
func (n *node) observe(s *Snapshot) {
	if s.Version() < n.seen {
		n.fleet.fault("%s went from version %d to %d", n.id, n.seen, s.Version())
	}
	if n.seen == 0 && s.Version() < n.atLeast {
		n.fleet.fault("%s restarted with version %d after %d", n.id, s.Version(), n.atLeast)
	}
	n.seen = s.Version()
}

// gossip repeats the version in force and the revocations to the others, as the daemons' gossip does.
func (n *node) gossip(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if ref := n.keeper.Ref(); !ref.IsZero() {
			n.Announce(ref.Version, ref.Root)
		}
	}
}

// Announce implements Gossip.
func (n *node) Announce(version uint64, root Hash) {
	for _, other := range n.fleet.all() {
		time.AfterFunc(gossipDelay, func() { other.keeper.Heard(version, root, n.id) })
	}
}

// AnnounceRevocations implements Gossip.
func (n *node) AnnounceRevocations(list []Revocation) {
	for _, other := range n.fleet.all() {
		time.AfterFunc(gossipDelay, func() { other.keeper.HeardRevocations(list) })
	}
}

// FetchChunk implements Gossip.
func (n *node) FetchChunk(_ context.Context, from instance.ID, h Hash) ([]byte, error) {
	time.Sleep(time.Millisecond)
	p, ok := n.fleet.node(from).keeper.Chunk(h)
	if !ok {
		return nil, errors.New("chunk not held")
	}
	return p, nil
}

// change makes a change as an operator with celerystepctl does: it repeats after each failure, with the same operation
// id, and watches until the change is in force everywhere. It returns false when that takes too long.
func (f *fleet) change(ctx context.Context, id string, mutate func(*Cluster) error) bool {
	r := NewRepository(f.store)
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, 10*time.Second)
		accepted, err := f.tryChange(bounded, r, id, mutate)
		cancel()
		if err == nil && f.confirm(ctx, r, accepted) {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

func (f *fleet) tryChange(ctx context.Context, r *Repository, id string, mutate func(*Cluster) error) (*Accepted, error) {
	stored, err := r.Load(ctx)
	if err != nil {
		return nil, err
	}
	return r.Propose(ctx, Proposal{
		Base: stored.Version(), Mutate: mutate, Operator: "op-" + id, OperationID: id, InForce: f.inForce(),
		Now: time.Now(),
	})
}

// confirm waits until the change is in force everywhere, and stores it again when the store has lost it meanwhile. It
// returns false when another configuration took its version, so that the change has to be made again.
func (f *fleet) confirm(ctx context.Context, r *Repository, a *Accepted) bool {
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, 5*time.Second)
		_, err := r.Restore(bounded, a.Encoded)
		kept, found := r.Contains(bounded, a.Encoded.Root.OperationID)
		cancel()
		if err == nil && found == nil && !kept {
			return false
		}
		if err == nil && found == nil && f.everywhere(func(s *Snapshot) bool { return s.Version() >= a.Ref.Version }) {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
