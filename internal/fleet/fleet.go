// Package fleet starts a whole fleet in one process: database groups, the key-value service, and instances of the
// daemon. celerystep-local and the load tool use it. Kills and pauses are carried out on the network of the fleet.
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
	// Logger receives one line per event; nil means none.
	Logger hclog.Logger
	// Capture keeps the bytes that reach the groups, for tests that search them.
	Capture bool
	// CallerAddresses are the host:port at which the instances serve callers, in their order. Without one, an
	// instance takes a free port of 127.0.0.1.
	CallerAddresses []string
	// PlatformAddress is the host:port of the key-value service; empty means a free port of 127.0.0.1.
	PlatformAddress string
	// Plain connects the parts without relays. Pauses and latencies have no effect then.
	NoRelays bool
	// CallerTLS names the certificate that the instances show to callers. Without files they serve plain connections.
	CallerTLS settings.CallerTLS
	// FaultFunctions lets clients of the groups switch faults with the SQL function group_fault.
	FaultFunctions bool
	// Mode selects what stands before the groups; empty means celerystep.
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
	// first is the configuration that the fleet started with.
	first *config.Snapshot
	// generation counts the instances that were ever built, so that each has an id of its own.
	generation int
}

// server is what runs at a place of an instance.
type server interface {
	info() instance.Info
	start()
	waitReady(ctx context.Context, t *experiment.Topology) error
	// running reports whether it has not ended, accepting whether the platform sends callers to it.
	running() bool
	accepting() bool
	// callers is the host:port for callers.
	callers() string
	setLeaving(on bool)
	stop(ctx context.Context) error
	kill()
}

// Starter returns a function that starts fleets for the load tool.
func Starter(log hclog.Logger) experiment.Starter {
	return func(ctx context.Context, m experiment.Mode, t *experiment.Topology) (experiment.Fleet, error) {
		return Start(ctx, t, Options{Logger: log, Mode: m})
	}
}

// readyTimeout bounds the start of the fleet until every group has a home.
const readyTimeout = 30 * time.Second

// Start starts all parts and returns when callers can be served.
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

// nextID returns an id that no instance had before.
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

// waitReady waits until every instance is ready and knows the home of every group.
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

// cluster returns the first configuration for the topology, with one key for each customer.
func (f *Fleet) cluster() (*config.Cluster, map[string]load.Credential, error) {
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

// contracts returns the customer's contracts; a preset that the topology leaves out has the ordinary one.
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

// CallerAddresses returns the host:port at which each instance itself listens for callers, in their order. Connections
// to them pass no relay.
func (f *Fleet) CallerAddresses() []string {
	var out []string
	for _, n := range f.list() {
		out = append(out, n.info().CallerAddress)
	}
	return out
}

// HTTPAddresses returns the host:port at which each instance of celerystep serves metrics.
func (f *Fleet) HTTPAddresses() []string {
	var out []string
	for _, at := range f.list() {
		if n, ok := at.(*node); ok {
			out = append(out, n.daemon.HTTPAddress())
		}
	}
	return out
}

// Registries returns the metrics of each instance of celerystep.
func (f *Fleet) Registries() []*prometheus.Registry {
	var out []*prometheus.Registry
	for _, at := range f.list() {
		if n, ok := at.(*node); ok {
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

// PauseInstance implements experiment.InstanceControl. All bytes from and to the instance are held for d; its timers
// go on, as in a process whose machine has lost its network and gets it back.
func (f *Fleet) PauseInstance(ctx context.Context, i int, d time.Duration) error {
	n, err := f.node(i)
	if err != nil {
		return err
	}
	f.network.setCut(string(n.info().ID), true)
	defer f.network.setCut(string(n.info().ID), false)
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
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
	f.network.forget(string(old.info().ID))
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

// Platform returns the stand-in for the key-value service.
func (f *Fleet) Platform() *standin.Server { return f.platform }

// Group returns the stand-in of a database group.
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

// Home returns the instance that is the home of the group, as the first instance of celerystep knows it. It returns
// false for the baselines, which have no homes.
func (f *Fleet) Home(id upstream.GroupID) (instance.ID, bool) {
	for _, s := range f.list() {
		if n, ok := s.(*node); ok {
			return n.daemon.Home(id)
		}
	}
	return "", false
}
