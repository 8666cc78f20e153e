package fleet

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/celerystep/celerystep/internal/daemon"
	"github.com/celerystep/celerystep/internal/experiment"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/platform/client"
	"github.com/celerystep/celerystep/internal/settings"
	"github.com/celerystep/celerystep/internal/upstream"
	"github.com/celerystep/celerystep/internal/upstream/pgport"
)

// pollInterval is the interval between checks whether an instance is ready.
const pollInterval = 5 * time.Millisecond

// platformEndpoint is the endpoint name of the key-value service.
const platformEndpoint = "platform"

// tokenKey is the fixed key that signs session tokens; it protects nothing outside the process.
const tokenKey = "Y2VsZXJ5c3RlcC1sb2NhbC10b2tlbi1rZXktMDEyMzQ1"

// node is a celerystep instance of the fleet.
type node struct {
	fleet  *Fleet
	self   instance.Info
	daemon *daemon.Daemon
	// registry holds the metrics of the instance.
	registry *prometheus.Registry
	store    *client.Client

	stopped chan struct{}
	cancel  context.CancelFunc
	// leaving is true when the platform no longer sends callers to the instance.
	leaving atomic.Bool

	mu  sync.Mutex
	err error
}

// newNode builds the instance with index i. It has a new id even if it replaces another instance.
func (f *Fleet) newNode(i int, callers string) (server, error) {
	id := f.nextID(i)
	n := &node{fleet: f, stopped: make(chan struct{}), registry: prometheus.NewRegistry()}
	local := endpoint{string(id), f.domain(i)}
	n.store = client.New(client.Options{Address: f.network.route(local, endpoint{name: platformEndpoint, domain: local.domain}, f.platform.Addr())})
	d, err := daemon.New(daemon.Options{
		Settings:  f.settings(id, local.domain, callers),
		Logger:    f.log,
		Registry:  n.registry,
		Store:     n.store,
		Directory: n.store,
		Port:      func(g upstream.Group) upstream.Port { return f.port(local, g) },
		Route:     func(to instance.Info) instance.Info { return f.routePeer(local, to) },
	})
	if err != nil {
		return nil, errors.Wrapf(err, "build instance %s", id)
	}
	n.daemon = d
	n.self = d.Info()
	return n, nil
}

func (f *Fleet) settings(id instance.ID, d instance.FailureDomain, callers string) *settings.Settings {
	s := settings.Default()
	s.InstanceID = id
	s.FailureDomain = d
	s.Region = f.topology.Region
	s.Listen = settings.Listen{Callers: callers, Peers: "127.0.0.1:0", HTTP: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	s.Platform.Address = f.platform.Addr()
	s.TLS.Callers = f.options.CallerTLS
	s.TokenKeys = []settings.TokenKey{{ID: 1, Secret: tokenKey}}
	return &s
}

// port returns a port to a group whose connections pass through the network.
func (f *Fleet) port(from endpoint, g upstream.Group) upstream.Port {
	route := func(m upstream.Member) upstream.Member {
		m.Address = f.network.route(from, endpoint{memberEndpoint(g.ID, m.ID), m.FailureDomain}, m.Address)
		return m
	}
	return &routedPort{Port: pgport.New(pgport.Options{}), route: route}
}

func memberEndpoint(g upstream.GroupID, m upstream.MemberID) string {
	return string(g) + "/" + string(m)
}

func (f *Fleet) routePeer(from endpoint, to instance.Info) instance.Info {
	to.PeerAddress = f.network.route(from, endpoint{string(to.ID), to.FailureDomain}, to.PeerAddress)
	return to
}

// register adds the instance to the platform's instance list or updates its entry.
func (f *Fleet) register(n server, leaving bool) {
	n.setLeaving(leaving)
	f.platform.Register(platform.InstanceEntry{Info: n.info(), Leaving: leaving})
}

func (n *node) info() instance.Info { return n.self }

func (n *node) setLeaving(on bool) { n.leaving.Store(on) }

func (n *node) start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.stopped)
		err := n.daemon.Run(ctx)
		n.mu.Lock()
		n.err = err
		n.mu.Unlock()
		if err != nil {
			n.fleet.log.Error("instance failed", "instance", n.self.ID, "error", err)
		}
		n.store.Close()
	}()
}

func (n *node) running() bool {
	select {
	case <-n.stopped:
		return false
	default:
		return true
	}
}

func (n *node) accepting() bool { return n.running() && !n.leaving.Load() && n.daemon.Ready() }

// callers returns the address for callers. It passes through the network, so that a pause affects callers too.
func (n *node) callers() string {
	to := endpoint{string(n.self.ID), n.self.FailureDomain}
	return n.fleet.network.route(endpoint{"callers", n.self.FailureDomain}, to, n.self.CallerAddress)
}

// waitReady waits until the instance serves callers and knows the home of every group.
func (n *node) waitReady(ctx context.Context, t *experiment.Topology) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !n.hasCompleteState(t) {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "instance %s is not ready; missing %s", n.self.ID, n.missingState(t))
		case <-n.stopped:
			return errors.Errorf("instance %s ended before it was ready", n.self.ID)
		case <-ticker.C:
		}
	}
	return nil
}

func (n *node) hasCompleteState(t *experiment.Topology) bool { return n.missingState(t) == "" }

// missingState lists the state that the instance still lacks.
func (n *node) missingState(t *experiment.Topology) string {
	var list []string
	if n.daemon.Version() == 0 {
		list = append(list, "configuration")
	}
	for i := range t.Groups {
		if _, ok := n.daemon.Home(t.Groups[i].ID); !ok {
			list = append(list, "home of "+string(t.Groups[i].ID))
		}
	}
	return strings.Join(list, ", ")
}

// stop shuts the instance down gracefully and returns its error.
func (n *node) stop(ctx context.Context) error {
	if n.cancel == nil {
		return nil
	}
	n.cancel()
	select {
	case <-n.stopped:
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "stop instance %s", n.self.ID)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

// kill terminates the instance immediately.
func (n *node) kill() {
	n.daemon.Kill()
	if n.cancel != nil {
		<-n.stopped
		n.cancel()
	}
}
