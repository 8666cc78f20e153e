// Package gossip runs the state machine of package membership: it performs its calls to peers, answers calls from
// peers, reads the platform's list of instances and publishes immutable views. Its Coordinator executes the decisions
// about the homes of groups.
package gossip

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/membership"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// maxCalls bounds the concurrent calls to peers. The state machine makes at most about 100 calls a second of at
	// most one second each; a call beyond the bound counts as failed.
	maxCalls = 256
	// minorityClaimDelay is how long an instance that reaches the store but not most peers waits before it claims
	// homes. The loss of most of a fleet must be survived, but during a short partition only one side must claim.
	minorityClaimDelay = 2 * time.Second
)

// Options configure a Service. Self, Transport, Directory, Log and Registerer are required.
type Options struct {
	Self       instance.Info
	Transport  Transport
	Directory  platform.Directory
	Log        hclog.Logger
	Registerer prometheus.Registerer
	// StoreCheck requests any answer from the key-value service. It is called every storeCheckInterval, and only while
	// this instance cannot reach most peers. If nil, the instance never counts as isolated.
	StoreCheck func(ctx context.Context) error
	// Seed makes random choices reproducible; 0 selects the start time.
	Seed uint64
}

// Listener receives changes, in order, from one goroutine. Nil functions are skipped.
type Listener struct {
	// View is called after a change of members, homes, the configuration version or revocations.
	View func(*membership.View)
	// Member is called after a change of the state of an instance, for the audit trail.
	Member     func(membership.MemberChange)
	Home       func(membership.Home)
	Config     func(membership.ConfigVersion)
	Revocation func(membership.Revocation)
	// Isolated is called when the instance becomes isolated and when it ceases to be.
	Isolated func(bool)
	// Replaced is called once, when a later process with the same id was seen. The process should exit.
	Replaced func()
}

// Service runs the membership of one instance. Its methods are safe for concurrent use.
type Service struct {
	opts      Options
	log       hclog.Logger
	metrics   *metrics
	listeners []Listener

	mu      sync.Mutex
	machine *membership.Machine

	view            atomic.Pointer[membership.View]
	isolated        atomic.Bool
	mayClaim        atomic.Bool
	replaced        atomic.Bool
	lastStoreAnswer atomic.Pointer[time.Time]

	calls      errgroup.Group
	storeCheck chan struct{}
	events     eventQueue
}

// New returns a service that knows only its own instance until Run is called.
func New(o Options) (*Service, error) {
	now := time.Now()
	seed := o.Seed
	if seed == 0 {
		seed = uint64(now.UnixNano())
	}
	s := &Service{
		opts: o,
		log:  o.Log.Named("gossip"),
		machine: membership.New(now, membership.Config{
			Self:        o.Self,
			Incarnation: uint64(now.UnixMilli()),
			Seed:        seed,
		}),
		storeCheck: make(chan struct{}, 1),
	}
	s.calls.SetLimit(maxCalls)
	s.events.signal = make(chan struct{}, 1)
	s.view.Store(s.machine.View())
	m, err := newMetrics(o.Registerer, s)
	if err != nil {
		return nil, errors.Wrap(err, "register gossip metrics")
	}
	s.metrics = m
	return s, nil
}

// Subscribe adds a listener. It must be called before Run.
func (s *Service) Subscribe(l Listener) { s.listeners = append(s.listeners, l) }

// Run runs the service until ctx ends and then returns nil.
func (s *Service) Run(ctx context.Context) error {
	g, running := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context) error{s.tickLoop, s.directoryLoop, s.storeLoop, s.dispatchLoop} {
		g.Go(func() error { return loop(running) })
	}
	err := g.Wait()
	callErr := s.calls.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return errors.Join(err, callErr)
}

// View returns the latest snapshot of the membership.
func (s *Service) View() *membership.View { return s.view.Load() }

// Live returns the instances that are live or suspect, sorted by id. The caller must not modify the slice.
func (s *Service) Live() []membership.Member { return s.View().Live() }

// Home returns the announced home of a group.
func (s *Service) Home(g upstream.GroupID) (membership.Home, bool) { return s.View().Home(g) }

// Address returns the addresses of a known instance.
func (s *Service) Address(id instance.ID) (instance.Info, bool) { return s.View().Address(id) }

// Isolated reports whether this instance must refuse new requests (design page, section 10).
func (s *Service) Isolated() bool { return s.isolated.Load() }

// Replaced reports whether a later process with the same id was seen.
func (s *Service) Replaced() bool { return s.replaced.Load() }

// AnnounceHome disseminates the record of a home. A generation lower than the known one has no effect.
func (s *Service) AnnounceHome(h membership.Home) {
	s.step(context.Background(), func(now time.Time) []membership.Call {
		s.machine.AnnounceHome(now, h)
		return nil
	})
}

// AnnounceConfig disseminates a configuration version. A version lower than the known one has no effect.
func (s *Service) AnnounceConfig(c membership.ConfigVersion) {
	s.step(context.Background(), func(time.Time) []membership.Call {
		s.machine.AnnounceConfig(c)
		return nil
	})
}

// AnnounceRevocation disseminates an emergency revocation of a key.
func (s *Service) AnnounceRevocation(r membership.Revocation) {
	s.step(context.Background(), func(time.Time) []membership.Call {
		s.machine.AnnounceRevocation(r)
		return nil
	})
}

// Leave announces that this instance is shutting down. It gets no new homes afterwards.
func (s *Service) Leave() {
	s.step(context.Background(), func(now time.Time) []membership.Call {
		s.machine.Leave(now)
		return nil
	})
}

// Stop notifies some peers that this instance stops, so the fleet need not detect it by probes. It is the last step of
// a graceful shutdown, before the context of Run ends.
func (s *Service) Stop(ctx context.Context) {
	var calls []membership.Call
	s.step(ctx, func(now time.Time) []membership.Call {
		calls = s.machine.Stop(now)
		return nil
	})
	var g errgroup.Group
	for _, c := range calls {
		g.Go(func() error {
			s.send(ctx, c)
			return nil
		})
	}
	// Ignore the result: peers that were not notified detect the stop by probes.
	_ = g.Wait()
}

// RecordStoreAnswer records that the key-value service answered this instance.
func (s *Service) RecordStoreAnswer() {
	now := time.Now()
	s.lastStoreAnswer.Store(&now)
	s.step(context.Background(), func(now time.Time) []membership.Call {
		s.machine.RecordStoreAnswer(now)
		return nil
	})
}

// StoreAge returns the time since the key-value service is known to have answered any instance; ok is false if that is
// not known.
func (s *Service) StoreAge() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.StoreAge(time.Now())
}

// step runs f on the state machine, publishes the changes and starts the resulting calls.
func (s *Service) step(ctx context.Context, f func(now time.Time) []membership.Call) {
	s.mu.Lock()
	calls := f(time.Now())
	changes := s.machine.Changes()
	if !changes.Empty() {
		s.view.Store(s.machine.View())
	}
	replaced := s.machine.Replaced()
	s.events.add(event{changes: changes, view: s.view.Load()})
	s.mu.Unlock()
	if replaced && s.replaced.CompareAndSwap(false, true) {
		s.events.add(event{replaced: true})
	}
	s.startCalls(ctx, calls)
}
