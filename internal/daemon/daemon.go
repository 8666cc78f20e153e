// Package daemon wires the parts of one proxy instance together.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/celerystep/celerystep/internal/audit"
	"github.com/celerystep/celerystep/internal/certs"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/entry"
	"github.com/celerystep/celerystep/internal/gossip"
	"github.com/celerystep/celerystep/internal/home"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/link"
	"github.com/celerystep/celerystep/internal/membership"
	"github.com/celerystep/celerystep/internal/peer"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/settings"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Options configure a Daemon. Settings, Store, Directory and Port are required.
type Options struct {
	Settings *settings.Settings
	Logger   hclog.Logger
	// Registry collects the metrics; nil means a new one.
	Registry  *prometheus.Registry
	Store     platform.Store
	Directory platform.Directory
	// Port returns the port to a database group.
	Port func(upstream.Group) upstream.Port
	// Route, when set, replaces the addresses at which peers are reached. Tests put relays in between with it.
	Route func(instance.Info) instance.Info
	// Seed makes random choices repeatable; 0 takes a random seed.
	Seed uint64
}

// Daemon is one proxy instance.
type Daemon struct {
	options  Options
	settings *settings.Settings
	info     instance.Info
	log      hclog.Logger
	registry *prometheus.Registry

	callers   net.Listener
	peersAt   net.Listener
	httpAt    net.Listener
	operators net.Listener

	callerCerts *certs.Store
	peerCerts   *certs.Store

	service     *gossip.Service
	coordinator *gossip.Coordinator
	keeper      *config.Keeper
	trail       *audit.Trail
	manager     *home.Manager
	links       *link.Pool
	calls       *peer.Client
	peers       *peer.Handler
	locator     *locator
	entry       *entry.Server
	serversMu   sync.Mutex
	servers     []*http.Server

	started  time.Time
	ready    atomic.Bool
	draining atomic.Bool
	// domainOut is true while operators have taken the failure domain of the instance out.
	domainOut atomic.Bool
	killed    chan struct{}
	killOnce  sync.Once
}

// New listens on the addresses of the settings and builds the parts. Run starts them.
func New(o Options) (*Daemon, error) {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	d := &Daemon{
		options:  o,
		settings: o.Settings,
		log:      o.Logger.With("instance", o.Settings.InstanceID),
		registry: o.Registry,
		started:  time.Now(),
		killed:   make(chan struct{}),
	}
	if err := d.build(); err != nil {
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) build() error {
	if err := d.loadCertificates(); err != nil {
		return err
	}
	if err := d.listen(); err != nil {
		return err
	}
	if err := d.buildMembership(); err != nil {
		return err
	}
	d.buildHomes()
	return d.buildEntry()
}

// Info returns the identity and addresses of the instance.
func (d *Daemon) Info() instance.Info { return d.info }

// HTTPAddress returns the host:port of metrics and health.
func (d *Daemon) HTTPAddress() string { return d.httpAt.Addr().String() }

// OperatorAddress returns the host:port for celerystepctl.
func (d *Daemon) OperatorAddress() string {
	if d.settings.Advertise.Operators != "" {
		return d.settings.Advertise.Operators
	}
	return d.operators.Addr().String()
}

// Ready reports whether the platform should send callers.
func (d *Daemon) Ready() bool { return d.ready.Load() && !d.domainOut.Load() }

// Home returns the announced home of a group.
func (d *Daemon) Home(g upstream.GroupID) (instance.ID, bool) { return d.locator.Home(g) }

// Version returns the configuration version in force, 0 before the first one.
func (d *Daemon) Version() uint64 { return d.keeper.Ref().Version }

// Run serves until ctx ends, then shuts down gracefully, or until Kill.
func (d *Daemon) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, running := errgroup.WithContext(running)
	d.startServers(g)
	d.startParts(g, running)
	g.Go(func() error {
		d.awaitStop(ctx, running)
		stop()
		d.closeServers()
		return nil
	})
	d.trail.Record(audit.Record{Kind: audit.KindInstanceStarted, Cause: "process started"})
	err := g.Wait()
	d.manager.Close()
	d.links.Close()
	d.calls.Close()
	return err
}

func (d *Daemon) startParts(g *errgroup.Group, ctx context.Context) {
	parts := []func(context.Context) error{
		d.service.Run, d.keeper.Run, d.coordinator.Run, d.trail.Run, d.becomeReady, d.publishAddress,
	}
	for _, run := range parts {
		g.Go(func() error {
			if err := run(ctx); err != nil && !errors.Is(err, context.Canceled) {
				return err
			}
			return nil
		})
	}
}

// becomeReady waits for the first configuration and lets callers in.
func (d *Daemon) becomeReady(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-d.keeper.Ready():
	}
	d.ready.Store(true)
	d.log.Info("ready", "version", d.Version(), "callers", d.info.CallerAddress, "peers", d.info.PeerAddress)
	err := d.entry.Serve(d.callers)
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// awaitStop returns when the daemon was killed, failed, or was asked to stop and has drained.
func (d *Daemon) awaitStop(asked, running context.Context) {
	select {
	case <-d.killed:
		return
	case <-running.Done():
		return
	case <-asked.Done():
	}
	d.drain(running)
}

// drain gives up all work without cutting a request.
func (d *Daemon) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Timeouts.Drain.Duration())
	defer cancel()
	began := time.Now()
	d.draining.Store(true)
	d.ready.Store(false)
	d.log.Info("shutdown started")
	d.trail.Record(audit.Record{Kind: audit.KindInstanceDraining, Cause: "stop was asked for"})
	d.service.Leave()
	drained := make(chan error, 1)
	go func() { drained <- d.entry.Drain(ctx) }()
	owned := !d.coordinator.Drain(ctx)
	if err := <-drained; err != nil || owned {
		d.log.Warn("shutdown cut work short", "error", err, "owned", owned)
	}
	if err := d.peers.Drain(ctx); err != nil {
		d.log.Warn("peer streams were cut", "error", err)
	}
	d.service.Stop(ctx)
	flush, stop := context.WithTimeout(context.WithoutCancel(ctx), d.settings.Timeouts.PlatformCall.Duration())
	defer stop()
	if err := d.trail.Flush(flush); err != nil {
		d.log.Warn("audit records were not written", "error", err)
	}
	d.log.Info("shutdown finished", "took", time.Since(began))
}

// Kill ends the instance at once, as a crash does: connections are cut and nothing is announced.
func (d *Daemon) Kill() {
	d.killOnce.Do(func() { close(d.killed) })
	d.ready.Store(false)
	d.closeServers()
}

// describeMember returns the audit record for a change of a peer's state, or false for one that needs none.
func describeMember(c membership.MemberChange) (audit.Record, bool) {
	if c.To != instance.StateDead {
		return audit.Record{}, false
	}
	return audit.Record{
		Kind:   audit.KindInstanceDead,
		Cause:  string(c.Cause),
		Inputs: []audit.Input{{Key: "peer", Value: string(c.ID)}},
		Local:  true,
	}, true
}

func (d *Daemon) closeServers() {
	d.closeListeners()
	d.serversMu.Lock()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.serversMu.Unlock()
	d.entry.Close()
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.callers, d.peersAt, d.httpAt, d.operators} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// ignoreClosed returns err unless it says that the server was closed.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
