// Package fleet runs a complete fleet in one process for celerystep-local and the load tool: simulated database groups and
// key-value service, and instances of the daemon, connected by relays that inject network latency and pauses. Package simfleet, by
// contrast, simulates the instances as well.
package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/experiment"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/keys"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/platform/client"
	"github.com/celerystep/celerystep/internal/settings"
	"github.com/celerystep/celerystep/internal/standin/group"
	standin "github.com/celerystep/celerystep/internal/standin/platform"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Options configure a fleet.
type Options struct {
	// Logger receives the logs of all parts; nil disables logging.
	Logger hclog.Logger
	// Capture records the bytes that the groups receive, for tests that search them.
	Capture bool
	// CallerAddresses are the host:port addresses at which the instances listen for callers, by instance index. Instances without
	// an address use a free port of 127.0.0.1.
	CallerAddresses []string
	// PlatformAddress is the host:port of the key-value service; empty means a free port of 127.0.0.1.
	PlatformAddress string
	// NoRelays connects the parts directly, without relays. Pauses and latencies then have no effect.
	NoRelays bool
	// CallerTLS holds the certificate files for connections of callers. Without files the connections are not encrypted.
	CallerTLS settings.CallerTLS
	// FaultFunctions enables the SQL function group_fault, with which clients of the groups inject faults.
	FaultFunctions bool
	// Mode selects the proxy in front of the groups: celerystep, the default, or a baseline.
	Mode experiment.Mode
}

// Fleet is a running fleet. It implements experiment.Fleet.
type Fleet struct {
	options  Options
	topology *experiment.Topology
	log      hclog.Logger
	network  *network
	platform *standin.Server
	store    *client.Client
	groups   map[upstream.GroupID]*group.Group
	operator *operator

	mu    sync.RWMutex
	nodes []server
	// initialConfig is the configuration at the start of the fleet.
	initialConfig *config.Snapshot
	// generation counts all instances created so far; it makes instance ids unique.
	generation int
}

// server is an instance of the fleet: of celerystep or of the naive baseline.
type server interface {
	info() instance.Info
	start()
	waitReady(ctx context.Context, t *experiment.Topology) error
	// running reports whether the instance has not terminated, accepting whether the platform sends callers to it.
	running() bool
	accepting() bool
	// callers returns the host:port for callers.
	callers() string
	setLeaving(on bool)
	stop(ctx context.Context) error
	kill()
}

// Starter returns a function with which the load tool starts fleets.
func Starter(log hclog.Logger) experiment.Starter {
	return func(ctx context.Context, m experiment.Mode, t *experiment.Topology) (experiment.Fleet, error) {
		return Start(ctx, t, Options{Logger: log, Mode: m})
	}
}

// readyTimeout bounds the wait until every instance knows the home of every group.
const readyTimeout = 30 * time.Second

// Start starts all parts and returns when the fleet is ready for callers.
func Start(ctx context.Context, t *experiment.Topology, o Options) (*Fleet, error) {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	f := &Fleet{
		options:  o,
		topology: t,
		log:      o.Logger,
		network:  newNetwork(t.DomainLatency.D(), o.NoRelays),
		groups:   make(map[upstream.GroupID]*group.Group),
	}
	if err := f.start(ctx); err != nil {
		closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), readyTimeout)
		defer cancel()
		return nil, errors.Join(err, f.Close(closing))
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	server, err := standin.Start(standin.Options{Address: f.options.PlatformAddress})
	if err != nil {
		return errors.Wrap(err, "start key-value service")
	}
	f.platform = server
	f.platform.SetDelay(f.topology.Platform.Latency.D())
	f.store = client.New(client.Options{Address: server.Addr()})
	if err := f.startGroups(); err != nil {
		return err
	}
	if err := f.startOperator(ctx); err != nil {
		return err
	}
	if f.options.Mode == experiment.ModeDirect {
		return nil
	}
	for i := range f.topology.Instances {
		n, err := f.newServer(i)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		f.register(n, false)
	}
	for _, n := range f.nodes {
		n.start()
	}
	return f.waitReady(ctx)
}

func (f *Fleet) newServer(i int) (server, error) {
	if f.options.Mode == experiment.ModeNaive {
		return f.newNaiveNode(i)
	}
	return f.newNode(i, f.callerAddress(i))
}

// nextID returns a new unique id for the instance with index i.
func (f *Fleet) nextID(i int) instance.ID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.generation++
	return instanceID(i, f.generation)
}

func (f *Fleet) callerAddress(i int) string {
	if i < len(f.options.CallerAddresses) {
		return f.options.CallerAddresses[i]
	}
	return "127.0.0.1:0"
}

// waitReady waits until every instance serves callers and knows the home of every group.
func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range f.list() {
		if err := n.waitReady(ctx, f.topology); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) list() []server {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return slices.Clone(f.nodes)
}

// initialCluster returns the initial configuration for the topology, with one key per customer.
func (f *Fleet) initialCluster() (*config.Cluster, map[string]load.Credential, error) {
	c := &config.Cluster{Preset: config.PresetOrdinary}
	for _, d := range f.topology.FailureDomains {
		c.FailureDomains = append(c.FailureDomains, config.FailureDomain{Name: d, Region: f.topology.Region})
	}
	for i := range f.topology.Groups {
		t := &f.topology.Groups[i]
		u := f.groups[t.ID].Upstream()
		u.Slots, u.Connections = t.Slots, t.Connections
		for k := range u.Members {
			u.Members[k].State = upstream.MemberActive
		}
		c.Groups = append(c.Groups, u)
		c.Routes = append(c.Routes, config.Route{Database: t.Database, Group: t.ID})
	}
	credentials := make(map[string]load.Credential)
	for i := range f.topology.Customers {
		t := &f.topology.Customers[i]
		secret, key, err := keys.Issue("k1")
		if err != nil {
			return nil, nil, errors.Wrapf(err, "issue key for %s", t.Name)
		}
		credentials[t.Name] = load.Credential{User: t.Name + "." + key.Name, Password: secret.Reveal()}
		c.Customers = append(c.Customers, config.Customer{
			Name: t.Name, MainGroup: t.MainGroup, Contracts: contracts(t), Keys: []config.Key{key},
		})
		for k := range c.Routes {
			if slices.Contains(t.Databases, c.Routes[k].Database) {
				c.Routes[k].Customers = append(c.Routes[k].Customers, t.Name)
			}
		}
	}
	return c, credentials, nil
}

// contracts returns the customer's contract for each preset. Presets that the topology does not define use the ordinary contract.
func contracts(t *experiment.Customer) map[config.Preset]config.Contract {
	all := make(map[config.Preset]config.Contract)
	for _, p := range config.Presets() {
		k, ok := t.Contracts[p]
		if !ok {
			k = t.Contracts[config.PresetOrdinary]
		}
		all[p] = k
	}
	return all
}

// Instances implements experiment.InstanceControl.
func (f *Fleet) Instances() []load.Endpoint {
	var out []load.Endpoint
	for _, n := range f.list() {
		if n.accepting() {
			out = append(out, load.Endpoint{Instance: n.info().ID, FailureDomain: n.info().FailureDomain, Address: n.callers()})
		}
	}
	return out
}

// CallerAddresses returns the host:port at which each instance listens for callers, by instance index. Connections to these
// addresses bypass the relays.
func (f *Fleet) CallerAddresses() []string {
	var out []string
	for _, n := range f.list() {
		out = append(out, n.info().CallerAddress)
	}
	return out
}

// HTTPAddresses returns the host:port of the metrics endpoint of each celerystep instance.
func (f *Fleet) HTTPAddresses() []string {
	var out []string
	for _, s := range f.list() {
		if n, ok := s.(*node); ok {
			out = append(out, n.daemon.HTTPAddress())
		}
	}
	return out
}

// Registries returns the metrics registry of each celerystep instance.
func (f *Fleet) Registries() []*prometheus.Registry {
	var out []*prometheus.Registry
	for _, s := range f.list() {
		if n, ok := s.(*node); ok {
			out = append(out, n.registry)
		}
	}
	return out
}

func (f *Fleet) node(i int) (server, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if i < 0 || i >= len(f.nodes) {
		return nil, errors.Errorf("no instance %d", i)
	}
	return f.nodes[i], nil
}

// KillInstance implements experiment.InstanceControl.
func (f *Fleet) KillInstance(_ context.Context, i int) error {
	n, err := f.node(i)
	if err != nil {
		return err
	}
	n.kill()
	return nil
}

// PauseInstance implements experiment.InstanceControl. All network traffic of the instance is held for d while the process keeps
// running, like on a machine with a temporary network outage.
func (f *Fleet) PauseInstance(ctx context.Context, i int, d time.Duration) error {
	n, err := f.node(i)
	if err != nil {
		return err
	}
	f.network.holdTraffic(string(n.info().ID), true)
	defer f.network.holdTraffic(string(n.info().ID), false)
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return nil
}

// StopInstance implements experiment.InstanceControl.
func (f *Fleet) StopInstance(ctx context.Context, i int) error {
	n, err := f.node(i)
	if err != nil {
		return err
	}
	f.register(n, true)
	err = n.stop(ctx)
	f.platform.Unregister(n.info().ID)
	return err
}

// ReplaceInstance implements experiment.InstanceControl.
func (f *Fleet) ReplaceInstance(ctx context.Context, i int) error {
	old, err := f.node(i)
	if err != nil {
		return err
	}
	if old.running() {
		if err := f.StopInstance(ctx, i); err != nil {
			return err
		}
	}
	f.platform.Unregister(old.info().ID)
	f.network.removeEndpoint(string(old.info().ID))
	n, err := f.newServer(i)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.nodes[i] = n
	f.mu.Unlock()
	f.register(n, false)
	n.start()
	return n.waitReady(ctx, f.topology)
}

func (f *Fleet) domain(i int) instance.FailureDomain {
	return f.topology.FailureDomains[i%len(f.topology.FailureDomains)]
}

// PlatformDown implements experiment.PlatformControl.
func (f *Fleet) PlatformDown(_ context.Context, down bool) error {
	f.platform.SetDown(down)
	return nil
}

// PlatformSlow implements experiment.PlatformControl.
func (f *Fleet) PlatformSlow(_ context.Context, d time.Duration) error {
	f.platform.SetDelay(f.topology.Platform.Latency.D() + d)
	return nil
}

// PlatformLoseAnswers implements experiment.PlatformControl.
func (f *Fleet) PlatformLoseAnswers(_ context.Context, n int) error {
	f.platform.LoseAnswers(n)
	return nil
}

// Platform returns the simulated key-value service.
func (f *Fleet) Platform() *standin.Server { return f.platform }

// Group returns the simulated database group.
func (f *Fleet) Group(id upstream.GroupID) *group.Group { return f.groups[id] }

// Close implements experiment.Fleet.
func (f *Fleet) Close(context.Context) error {
	var wg sync.WaitGroup
	for _, n := range f.list() {
		wg.Go(n.kill)
	}
	wg.Wait()
	f.network.close()
	var err error
	for _, g := range f.groups {
		err = errors.Join(err, g.Close())
	}
	if f.store != nil {
		f.store.Close()
	}
	if f.platform != nil {
		err = errors.Join(err, f.platform.Close())
	}
	return err
}

func instanceID(i, generation int) instance.ID {
	return instance.ID(fmt.Sprintf("i%d-%d", i+1, generation))
}

// Home returns the home of the group according to the first celerystep instance. It returns false for the baselines, which have
// no homes.
func (f *Fleet) Home(id upstream.GroupID) (instance.ID, bool) {
	for _, s := range f.list() {
		if n, ok := s.(*node); ok {
			return n.daemon.Home(id)
		}
	}
	return "", false
}
