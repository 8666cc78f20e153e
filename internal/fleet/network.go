package fleet

import (
	"sync"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/netfault"
)

// network puts a relay between each pair of ends, with the latency between their failure domains and with the cuts of
// paused or isolated ends. Without latency and faults to come it hands out the plain addresses.
type network struct {
	// roundTrip is the time between two failure domains and back.
	roundTrip time.Duration
	noRelays  bool

	mu     sync.Mutex
	relays map[path]*netfault.Relay
	held   map[string]bool
}

// path is a direction of connection set-up. Ends are named by instance, member or "callers".
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

// end is one side of a connection.
type endpoint struct {
	name   string
	domain instance.FailureDomain
}

// route returns the address at which from reaches to, whose own address is given.
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

// setCut holds the bytes of all connections from and to an end, or lets them go on.
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

// forget closes the relays of an end that is gone.
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
