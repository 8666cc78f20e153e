package fleet

import (
	"sync"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/netfault"
)

// network connects the endpoints of the fleet through relays. The relays add the latency between failure domains and hold the
// traffic of paused endpoints. With noRelays set, it returns the addresses unchanged.
type network struct {
	// roundTrip is the round-trip time between two failure domains.
	roundTrip time.Duration
	noRelays  bool

	mu     sync.Mutex
	relays map[path]*netfault.Relay
	held   map[string]bool
}

// path identifies a relay by the endpoint that connects, the endpoint that accepts and the target address. Endpoints are named by
// instance id, by group and member id, or "callers" and "platform".
type path struct {
	from, to string
	address  string
}

func newNetwork(roundTrip time.Duration, noRelays bool) *network {
	return &network{
		roundTrip: roundTrip,
		noRelays:  noRelays,
		relays:    make(map[path]*netfault.Relay),
		held:      make(map[string]bool),
	}
}

// endpoint is one side of a connection.
type endpoint struct {
	name   string
	domain instance.FailureDomain
}

// route returns the address that from must dial to reach to, which listens at address. If no relay can be started, it returns
// address itself.
func (n *network) route(from, to endpoint, address string) string {
	if n.noRelays {
		return address
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p := path{from.name, to.name, address}
	if r, ok := n.relays[p]; ok {
		return r.Addr()
	}
	r, err := netfault.Start(address)
	if err != nil {
		return address
	}
	if from.domain != to.domain {
		r.SetDelay(n.roundTrip / 2)
	}
	n.relays[p] = r
	n.apply(p, r)
	return r.Addr()
}

// holdTraffic holds the traffic of all connections from and to an endpoint, or releases it.
func (n *network) holdTraffic(name string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held[name] = on
	for p, r := range n.relays {
		if p.from == name || p.to == name {
			n.apply(p, r)
		}
	}
}

func (n *network) apply(p path, r *netfault.Relay) {
	mode := netfault.Forward
	if n.held[p.from] || n.held[p.to] {
		mode = netfault.Hold
	}
	r.SetMode(netfault.ToTarget, mode)
	r.SetMode(netfault.ToClient, mode)
}

// removeEndpoint closes the relays of an endpoint that no longer exists.
func (n *network) removeEndpoint(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.held, name)
	for p, r := range n.relays {
		if p.from == name || p.to == name {
			r.Close()
			delete(n.relays, p)
		}
	}
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p, r := range n.relays {
		r.Close()
		delete(n.relays, p)
	}
}
