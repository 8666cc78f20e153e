package experiment

import (
	"sync"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/upstream"
)

// target shows a fleet to the load generator as the platform's balancer would.
type target struct {
	fleet    Fleet
	topology *Topology
	mode     Mode

	mu      sync.Mutex
	domains map[instance.ID]instance.FailureDomain
}

func newTarget(f Fleet, t *Topology, m Mode) *target {
	return &target{fleet: f, topology: t, mode: m, domains: make(map[instance.ID]instance.FailureDomain)}
}

// Endpoints returns the ready instances, or in ModeDirect the group's primary.
func (t *target) Endpoints(database string) []load.Endpoint {
	if t.mode == ModeDirect {
		return t.primary(database)
	}
	list := t.fleet.Instances()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range list {
		t.domains[e.Instance] = e.FailureDomain
	}
	return list
}

func (t *target) primary(database string) []load.Endpoint {
	m, err := t.fleet.Primary(t.Group(database))
	if err != nil {
		return nil
	}
	return []load.Endpoint{{Instance: instance.ID(m.ID), FailureDomain: m.FailureDomain, Address: m.Address}}
}

// Credential returns the customer's newest key.
func (t *target) Credential(customer string) (load.Credential, error) {
	return t.fleet.Credential(customer)
}

// Group returns the group behind a database name, empty when there is none.
func (t *target) Group(database string) upstream.GroupID {
	g, ok := t.topology.database(database)
	if !ok {
		return ""
	}
	return g.ID
}

// instanceDomains returns the failure domains of all instances that callers were ever sent to.
func (t *target) instanceDomains() map[instance.ID]instance.FailureDomain {
	t.mu.Lock()
	defer t.mu.Unlock()
	domains := make(map[instance.ID]instance.FailureDomain, len(t.domains))
	for id, d := range t.domains {
		domains[id] = d
	}
	return domains
}
