package fleet

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/xdg-go/scram"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/experiment"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/keys"
	"github.com/celerystep/celerystep/internal/naive"
)

// memberUser is the user name for direct connections to members.
const memberUser = "celerystep"

// naiveNode is an instance of the naive baseline.
type naiveNode struct {
	fleet *Fleet
	id    instance.Info
	proxy *naive.Proxy
	ended atomic.Bool
}

// newNaiveNode starts a naive proxy with index i and a static share of the connections and rate limits.
func (f *Fleet) newNaiveNode(i int) (server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the naive proxy")
	}
	id := instance.Info{ID: f.nextID(i), FailureDomain: f.domain(i), CallerAddress: l.Addr().String()}
	local := endpoint{string(id.ID), id.FailureDomain}
	n := f.topology.Instances
	c := naive.Config{User: memberUser, Lookup: f.lookup, Limits: make(map[string]naive.Limit)}
	for i := range f.topology.Groups {
		g := &f.topology.Groups[i]
		share := naive.Group{Database: g.Database, Connections: naive.Share(g.Connections, n)}
		for _, m := range f.groups[g.ID].Upstream().Members {
			at := endpoint{memberEndpoint(g.ID, m.ID), m.FailureDomain}
			share.Members = append(share.Members, f.network.route(local, at, m.Address))
		}
		c.Groups = append(c.Groups, share)
	}
	for i := range f.topology.Customers {
		t := &f.topology.Customers[i]
		k := t.Contracts[config.PresetOrdinary]
		c.Limits[t.Name] = naive.Limit{Rate: k.RatePerSecond / float64(n), Burst: naive.Share(k.Burst, n)}
	}
	return &naiveNode{fleet: f, id: id, proxy: naive.Start(l, c)}, nil
}

// lookup returns the stored SCRAM credentials of a caller.
func (f *Fleet) lookup(user string) (scram.StoredCredentials, error) {
	_, key, ok := keys.Find(f.initialConfig, user)
	if !ok {
		return scram.StoredCredentials{}, errors.Errorf("unknown user %q", user)
	}
	return keys.Credentials(key), nil
}

func (n *naiveNode) info() instance.Info                                   { return n.id }
func (n *naiveNode) start()                                                {}
func (n *naiveNode) running() bool                                         { return !n.ended.Load() }
func (n *naiveNode) accepting() bool                                       { return !n.ended.Load() }
func (n *naiveNode) waitReady(context.Context, *experiment.Topology) error { return nil }
func (n *naiveNode) setLeaving(bool)                                       {}

func (n *naiveNode) callers() string {
	to := endpoint{string(n.id.ID), n.id.FailureDomain}
	return n.fleet.network.route(endpoint{"callers", n.id.FailureDomain}, to, n.id.CallerAddress)
}

func (n *naiveNode) stop(context.Context) error {
	n.kill()
	return nil
}

func (n *naiveNode) kill() {
	if !n.ended.Swap(true) {
		n.proxy.Close()
	}
}
