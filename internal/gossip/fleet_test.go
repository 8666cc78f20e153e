package gossip

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/homes"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/membership"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Guards against goroutines that outlive Run.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testFleet is a fleet of services in one process with a fake network, platform list, store and database groups. The
// tests run in synctest bubbles, whose clock is virtual.
type testFleet struct {
	mu     sync.Mutex
	nodes  map[instance.ID]*testNode
	ids    []instance.ID
	cutOff map[instance.ID]bool
	config *config.Snapshot
	// listDown makes the platform's list fail; storeDown makes the key-value service fail.
	listDown, storeDown bool
	// loseAnswers is the number of handovers that take effect but get no answer; refuse makes instances refuse claims.
	loseAnswers int
	refuse      map[instance.ID]bool
	generations map[upstream.GroupID]uint64
	// conflictingClaims lists claims of groups whose owner was running and had not released them.
	conflictingClaims []string
}

// testNode is one instance of the fleet with a fake home manager.
type testNode struct {
	fleet       *testFleet
	service     *Service
	coordinator *Coordinator
	cancel      context.CancelFunc
	done        sync.WaitGroup
	owned       map[upstream.GroupID]bool
	handovers   []homes.Handover
	revoked     []membership.KeyRef
}

func newTestFleet(instances, groups int) *testFleet {
	f := &testFleet{
		nodes:       make(map[instance.ID]*testNode),
		cutOff:      make(map[instance.ID]bool),
		refuse:      make(map[instance.ID]bool),
		generations: make(map[upstream.GroupID]uint64),
	}
	f.configure(groups)
	for i := range instances {
		f.ids = append(f.ids, instance.ID(fmt.Sprint("i", i)))
	}
	return f
}

func (f *testFleet) configure(groups int, out ...instance.FailureDomain) {
	c := &config.Cluster{Version: 1}
	for i := range groups {
		c.Groups = append(c.Groups, upstream.Group{ID: upstream.GroupID(fmt.Sprint("g", i))})
	}
	for _, d := range out {
		c.FailureDomains = append(c.FailureDomains, config.FailureDomain{Name: d, Out: true})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config = config.NewSnapshot(c)
}

func (f *testFleet) info(id instance.ID) instance.Info {
	i := slices.Index(f.ids, id)
	return instance.Info{
		ID: id, FailureDomain: instance.FailureDomain(fmt.Sprint("d", i%3)), PeerAddress: fmt.Sprint("10.0.0.1:", i),
	}
}

func (f *testFleet) start(t *testing.T, id instance.ID) *testNode {
	n := &testNode{fleet: f, owned: make(map[upstream.GroupID]bool)}
	service, err := New(Options{
		Self: f.info(id), Transport: &fakeTransport{f, id}, Directory: f, Log: hclog.NewNullLogger(),
		Registerer: prometheus.NewRegistry(), Seed: 1, StoreCheck: f.storeCheck,
	})
	if err != nil {
		t.Fatal(err)
	}
	n.service = service
	n.service.Subscribe(Listener{Revocation: func(r membership.Revocation) {
		f.mu.Lock()
		defer f.mu.Unlock()
		n.revoked = append(n.revoked, r.KeyRef)
	}})
	n.coordinator = NewCoordinator(CoordinatorOptions{
		Service: service, Manager: n, Log: hclog.NewNullLogger(), Seed: 1,
		Config: func() *config.Snapshot {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.config
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	for _, run := range []func(context.Context) error{service.Run, n.coordinator.Run} {
		n.done.Go(func() {
			if err := run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[id] = n
	return n
}

// stop ends a process without a graceful shutdown.
func (f *testFleet) stop(id instance.ID) {
	f.mu.Lock()
	n := f.nodes[id]
	delete(f.nodes, id)
	f.mu.Unlock()
	n.cancel()
	n.done.Wait()
}

func (f *testFleet) stopAll() {
	for _, id := range f.ids {
		if f.nodes[id] != nil {
			f.stop(id)
		}
	}
}

// eventually polls a condition in virtual time.
func (f *testFleet) eventually(t *testing.T, what string, limit time.Duration, done func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !done() {
		if time.Since(start) > limit {
			t.Fatalf("%s: not within %s", what, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// set modifies the fleet while its services run.
func (f *testFleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// settled reports whether each group is owned by exactly one running instance and all views contain that owner.
func (f *testFleet) settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.config.Cluster().Groups {
		var owners []instance.ID
		for id, n := range f.nodes {
			if n.owned[g.ID] {
				owners = append(owners, id)
			}
		}
		if len(owners) != 1 {
			return false
		}
		for _, n := range f.nodes {
			if h, _ := n.service.Home(g.ID); h.Owner != owners[0] || h.Released {
				return false
			}
		}
	}
	return true
}

func (f *testFleet) Instances(context.Context) ([]platform.InstanceEntry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listDown {
		return nil, errors.New("list is down")
	}
	var entries []platform.InstanceEntry
	for _, id := range f.ids {
		entries = append(entries, platform.InstanceEntry{Info: f.info(id)})
	}
	return entries, nil
}

func (f *testFleet) storeCheck(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeDown {
		return errors.New("store is down")
	}
	return nil
}

// Acquire emulates the members of a group: a higher generation closes the former home.
func (n *testNode) Acquire(_ context.Context, g upstream.GroupID, h homes.Handover) error {
	f, self := n.fleet, n.service.opts.Self.ID
	f.mu.Lock()
	if f.refuse[self] {
		f.mu.Unlock()
		return errors.New("no majority")
	}
	for id, other := range f.nodes {
		if other.owned[g] && other != n {
			f.conflictingClaims = append(f.conflictingClaims, fmt.Sprintf("%s robs %s of %s", self, id, g))
			delete(other.owned, g)
		}
	}
	f.generations[g]++
	record := membership.Home{Group: g, Owner: self, Generation: f.generations[g]}
	n.owned[g] = true
	if h.Planned() {
		n.handovers = append(n.handovers, h)
	}
	f.mu.Unlock()
	n.service.AnnounceHome(record)
	return nil
}

func (n *testNode) Release(_ context.Context, g upstream.GroupID) (homes.Handover, error) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	delete(n.owned, g)
	return homes.Handover{
		Group: g, From: n.service.opts.Self.ID, Generation: n.fleet.generations[g],
		Buckets: []homes.BucketLevel{{Customer: "c", MicroTokens: 5}},
	}, nil
}

func (n *testNode) Owned() []upstream.GroupID {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var owned []upstream.GroupID
	for g := range n.owned {
		owned = append(owned, g)
	}
	return owned
}

// fakeTransport calls the handlers of other services in the same process. A call to an instance that is cut off or not
// running is not answered.
type fakeTransport struct {
	fleet *testFleet
	self  instance.ID
}

func (x *fakeTransport) target(ctx context.Context, to instance.Info) (*testNode, error) {
	x.fleet.mu.Lock()
	n := x.fleet.nodes[to.ID]
	cutOff := x.fleet.cutOff[x.self] != x.fleet.cutOff[to.ID]
	x.fleet.mu.Unlock()
	if n == nil || cutOff {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return n, nil
}

func deliver[Q, R any](
	ctx context.Context, m *Q, handle func(context.Context, *connect.Request[Q]) (*connect.Response[R], error),
) (*R, error) {
	answer, err := handle(ctx, connect.NewRequest(m))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

func (x *fakeTransport) Gossip(
	ctx context.Context, to instance.Info, m *peerv1.GossipRequest,
) (*peerv1.GossipResponse, error) {
	n, err := x.target(ctx, to)
	if err != nil {
		return nil, err
	}
	return deliver(ctx, m, n.service.Gossip)
}

func (x *fakeTransport) Probe(
	ctx context.Context, to instance.Info, m *peerv1.ProbeRequest,
) (*peerv1.ProbeResponse, error) {
	n, err := x.target(ctx, to)
	if err != nil {
		return nil, err
	}
	return deliver(ctx, m, n.service.Probe)
}

func (x *fakeTransport) Handover(
	ctx context.Context, to instance.Info, m *peerv1.HandoverRequest,
) (*peerv1.HandoverResponse, error) {
	n, err := x.target(ctx, to)
	if err != nil {
		return nil, err
	}
	answer, err := deliver(ctx, m, n.coordinator.Handover)
	x.fleet.mu.Lock()
	defer x.fleet.mu.Unlock()
	if x.fleet.loseAnswers > 0 {
		x.fleet.loseAnswers--
		return nil, errors.New("answer lost")
	}
	return answer, err
}

// runInFleet runs a test in a synctest bubble with a settled fleet.
func runInFleet(t *testing.T, instances, groups int, test func(t *testing.T, f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(instances, groups)
		defer f.stopAll()
		for _, id := range f.ids {
			f.start(t, id)
		}
		f.eventually(t, "first homes", 15*time.Second, f.settled)
		test(t, f)
		is.New(t).Equal(f.conflictingClaims, nil)
	})
}
