package fanout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/mirror"
)

const (
	playInstances  = 300
	playOwners     = 20
	playDomains    = 5
	playConfig     = "operators/config"
	playOperators  = "operators/"
	playOwnership  = "own/"
	storeLatency   = 4 * time.Millisecond
	peerLatency    = time.Millisecond
	verifyInterval = 1900 * time.Millisecond
	// batchDelay is the delay after a change that instances use for the configuration.
	batchDelay = 500 * time.Millisecond
	// forceLimit is the time in which a change must be in force everywhere while nothing fails.
	forceLimit = 1500 * time.Millisecond
	// callLimit is the number of store calls a second of the whole fleet while nothing fails.
	callLimit = 30
)

var errCut = errors.New("cut off")

// sleep waits for d and returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	ctxtime.Sleep(ctx, d)
	return ctx.Err()
}

// playStore is a store with a configuration key that changes. All times are virtual.
type playStore struct {
	mu       sync.Mutex
	revision uint64
	// changes holds the time of each change of the configuration by revision, in order.
	changes []playChange
	calls   int
	changed chan struct{}
}

type playChange struct {
	revision uint64
	at       time.Time
}

func (s *playStore) change() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changes = append(s.changes, playChange{s.revision, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// configAt returns the revision of the configuration at a time.
func (s *playStore) configAt(at time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found uint64
	for _, c := range s.changes {
		if !c.at.After(at) {
			found = c.revision
		}
	}
	return found
}

func (s *playStore) read(prefix string, after uint64) ([]mirror.Event, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.changes[len(s.changes)-1].revision
	if prefix != playOperators || last <= after {
		return nil, s.revision, s.changed
	}
	return []mirror.Event{{Entry: mirror.Entry{Key: playConfig, Revision: last, Value: fmt.Append(nil, last)}}}, s.revision, s.changed
}

func (s *playStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *playStore) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

// playInstance is one instance of the play. It implements mirror.Source for its own view of the store, mirror.Sink and Peers.
type playInstance struct {
	play   *play
	reader Reader
	reads  bool
	source *Source
	server *Server
	// operators and ownership are its copies.
	operators, ownership *Copy

	mu sync.Mutex
	// cut is true while the store is out of its reach; killed while its process is gone; frozen while it hangs.
	cut, killed, frozen bool
	delay               time.Duration
}

type play struct {
	store     *playStore
	instances []*playInstance
	byAddress map[string]*playInstance
}

func (p *playInstance) state() (cut, killed, frozen bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut, p.killed, p.frozen, p.delay
}

// reachStore waits for the store's latency. It fails while the store is out of reach.
func (p *playInstance) reachStore(ctx context.Context) error {
	p.play.store.count()
	cut, killed, frozen, _ := p.state()
	if cut || killed || frozen {
		_ = sleep(ctx, time.Second)
		return errCut
	}
	return sleep(ctx, storeLatency)
}

func (p *playInstance) List(ctx context.Context, prefix string) ([]mirror.Entry, mirror.Version, error) {
	if err := p.reachStore(ctx); err != nil {
		return nil, mirror.Version{}, err
	}
	events, revision, _ := p.play.store.read(prefix, 0)
	var entries []mirror.Entry
	for _, e := range events {
		entries = append(entries, e.Entry)
	}
	return entries, mirror.Version{Revision: revision}, nil
}

func (p *playInstance) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]mirror.Event, mirror.Version, error) {
	if err := p.reachStore(ctx); err != nil {
		return nil, mirror.Version{}, err
	}
	for end := time.Now().Add(wait); ; {
		events, revision, changed := p.play.store.read(prefix, after)
		if len(events) > 0 || !time.Now().Before(end) {
			return events, mirror.Version{Revision: revision}, nil
		}
		t := time.NewTimer(time.Until(end))
		select {
		case <-ctx.Done():
			return nil, mirror.Version{}, ctx.Err()
		case <-changed:
		case <-t.C:
		}
		t.Stop()
		if cut, killed, frozen, _ := p.state(); cut || killed || frozen {
			// A connection that is cut is noticed by its keep-alive probes.
			_ = sleep(ctx, 3*time.Second)
			return nil, mirror.Version{}, errCut
		}
	}
}

func (p *playInstance) Follow(ctx context.Context, address string, r Request) (Answer, error) {
	to := p.play.byAddress[address]
	if _, killed, _, _ := p.state(); killed {
		return Answer{}, errCut
	}
	_, killed, frozen, delay := to.state()
	if killed {
		return Answer{}, errors.New("connection refused")
	}
	if frozen {
		<-ctx.Done()
		return Answer{}, ctx.Err()
	}
	if err := sleep(ctx, peerLatency); err != nil {
		return Answer{}, err
	}
	a, err := to.server.Follow(ctx, r)
	if err != nil {
		return a, err
	}
	// A frozen instance sends its answer when it wakes up, or never.
	for {
		if _, _, frozen, _ := to.state(); !frozen {
			return a, sleep(ctx, delay+peerLatency)
		}
		if err := sleep(ctx, 10*time.Millisecond); err != nil {
			return Answer{}, err
		}
	}
}

func (p *playInstance) copyOf(prefix string) *Copy {
	if prefix == playOperators {
		return p.operators
	}
	return p.ownership
}

func (p *playInstance) Apply(events []mirror.Event, at mirror.SyncPoint) {
	p.copyOf(at.Prefix).Apply(events, at)
}

func (p *playInstance) Reset(entries []mirror.Entry, at mirror.SyncPoint) {
	p.copyOf(at.Prefix).Reset(entries, at)
}

// config returns the revision of the configuration in force.
func (p *playInstance) config() uint64 {
	var newest uint64
	for _, c := range p.operators.Since(0).Changes {
		newest = max(newest, c.Revision)
	}
	return newest
}

// verify confirms the content regularly, as readers do.
func (p *playInstance) verify(ctx context.Context) {
	for sleep(ctx, verifyInterval) == nil {
		revision, _, _ := p.operators.State()
		asked := time.Now()
		events, v, err := p.source.Poll(ctx, playOperators, revision, 0)
		if err == nil {
			p.Apply(events, mirror.SyncPoint{Prefix: playOperators, After: revision, Revision: max(revision, v.Revision), RequestedAt: asked.Add(-v.Age)})
		}
	}
}

func newPlay() *play {
	p := &play{store: &playStore{changed: make(chan struct{})}, byAddress: make(map[string]*playInstance)}
	p.store.change()
	var owners []Reader
	for i := range playInstances {
		r := Reader{
			Instance: instance.ID(fmt.Sprintf("instance-%d", i)), Process: "p", Address: fmt.Sprint(i),
			Domain: instance.FailureDomain(fmt.Sprint(i % playDomains)), Cores: 0.2,
		}
		in := &playInstance{play: p, reader: r, operators: NewCopy(), ownership: NewCopy()}
		p.instances, p.byAddress[r.Address] = append(p.instances, in), in
		if i < playOwners {
			owners = append(owners, r)
		}
	}
	readers := Choose(owners)
	for i, in := range p.instances {
		route := Route{}
		for _, r := range Order(in.reader.Instance, in.reader.Domain, readers) {
			if r == in.reader {
				route.Reads = true
			} else {
				route.Readers = append(route.Readers, r)
			}
		}
		in.reads = route.Reads
		in.source = NewSource(in, in, func() Route { return route }, time.Now, hclog.NewNullLogger(), rand.New(rand.NewPCG(1, uint64(i))).Float64)
		in.server = &Server{
			Copies: map[string]*Copy{playOperators: in.operators, playOwnership: in.ownership}, Confirmed: in.operators,
			Reads: func() bool { return in.reads }, CatchUp: func(context.Context, uint64) {}, Clock: time.Now,
		}
	}
	return p
}

// run starts all instances.
func (p *play) run(ctx context.Context, work *sync.WaitGroup) {
	for _, in := range p.instances {
		for _, prefix := range []string{playOperators, playOwnership} {
			m := &mirror.Mirror{Source: in.source, Prefix: prefix, Sink: in, Clock: time.Now, Log: hclog.NewNullLogger(), BatchDelay: batchDelay}
			work.Go(func() { _ = m.Run(ctx) })
		}
		work.Go(func() { in.verify(ctx) })
	}
}

// awaitForce returns how long it takes until the configuration is in force on all instances that run and are not cut off.
func (p *play) awaitForce(t *testing.T, revision uint64, limit time.Duration) time.Duration {
	t.Helper()
	started := time.Now()
	for {
		late := 0
		for _, in := range p.instances {
			if _, killed, frozen, _ := in.state(); !killed && !frozen && in.config() < revision {
				late++
			}
		}
		if late == 0 {
			return time.Since(started)
		}
		if time.Since(started) > limit {
			t.Fatalf("%d instances lack revision %d after %v", late, revision, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// checkConfirmed fails the test when an instance believes content to be current that was not, or goes back to older content.
func (p *play) checkConfirmed(ctx context.Context, t *testing.T) {
	newest := make([]uint64, len(p.instances))
	for sleep(ctx, 50*time.Millisecond) == nil {
		for i, in := range p.instances {
			// The time of the confirmation is read first; the content may be newer.
			_, confirmedAt, _ := in.operators.State()
			have := in.config()
			if want := p.store.configAt(confirmedAt); have < want {
				t.Errorf("%s: has revision %d, which it holds current as of %v, when %d was in force", in.reader.Instance, have, confirmedAt, want)
			}
			if have < newest[i] {
				t.Errorf("%s: went back from revision %d to %d", in.reader.Instance, newest[i], have)
			}
			newest[i] = max(newest[i], have)
		}
	}
}

// measureCalm checks the number of store calls and the time to force while nothing fails.
func (p *play) measureCalm(t *testing.T, random *rand.Rand) {
	t.Helper()
	before, period := p.store.callCount(), 20*time.Second
	time.Sleep(period)
	perSecond := float64(p.store.callCount()-before) / period.Seconds()
	t.Logf("calm: %.1f store calls a second", perSecond)
	if perSecond > callLimit {
		t.Errorf("%.1f store calls a second, want at most %d", perSecond, callLimit)
	}
	for range 5 {
		t.Logf("a change is in force everywhere after %v", p.awaitForce(t, p.store.change(), forceLimit))
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
	}
}

// injectFaults sets a new combination of faults of the readers.
func (p *play) injectFaults(random *rand.Rand) {
	for _, in := range p.instances {
		if !in.reads {
			continue
		}
		in.mu.Lock()
		in.cut, in.frozen, in.killed = random.IntN(4) == 0, random.IntN(6) == 0, random.IntN(6) == 0
		in.delay = 0
		if random.IntN(4) == 0 {
			in.delay = time.Duration(random.IntN(900)) * time.Millisecond
		}
		in.mu.Unlock()
	}
}

// reconnectAll lets all instances reach the store again.
func (p *play) reconnectAll() {
	for _, in := range p.instances {
		in.mu.Lock()
		in.cut = false
		in.mu.Unlock()
	}
}

// TestAFleetReadsThroughItsReaders plays 300 instances, ten of them readers, in virtual time: first calm, then with readers
// that are killed, frozen, cut off from the store and slow while the configuration changes every few hundred milliseconds.
// No instance may hold content for current that was not, or go back to older content.
func TestAFleetReadsThroughItsReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		p := newPlay()
		ctx, stop := context.WithCancel(t.Context())
		var work sync.WaitGroup
		p.run(ctx, &work)
		work.Go(func() { p.checkConfirmed(ctx, t) })
		p.awaitForce(t, 1, 5*time.Second)
		time.Sleep(5 * time.Second)
		p.measureCalm(t, random)
		for round := range 12 {
			p.injectFaults(random)
			before := p.store.callCount()
			var last uint64
			for range 8 {
				time.Sleep(time.Duration(random.IntN(900)) * time.Millisecond)
				last = p.store.change()
			}
			p.reconnectAll()
			took := p.awaitForce(t, last, 8*time.Second)
			t.Logf("round %d: in force after %v, %d store calls", round, took, p.store.callCount()-before)
		}
		stop()
		work.Wait()
	})
}
