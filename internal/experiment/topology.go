package experiment

import (
	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Mode selects what stands between the callers and the groups.
type Mode string

// Modes. The baselines have no celerystep in them.
const (
	// ModeCelerystep runs the instances of celerystep.
	ModeCelerystep Mode = "celerystep"
	// ModeNaive runs a plain session-pooling proxy at each instance (internal/naive).
	ModeNaive Mode = "naive"
	// ModeDirect lets callers connect to each group's primary.
	ModeDirect Mode = "direct"
)

// Topology describes the fleet and what surrounds it.
type Topology struct {
	Region         string                   `json:"region"`
	FailureDomains []instance.FailureDomain `json:"failure_domains"`
	// DomainLatency is the round trip between two failure domains, ClientLatency that between callers and instances.
	DomainLatency load.Duration `json:"domain_latency"`
	ClientLatency load.Duration `json:"client_latency"`
	// Instances is the number of entry instances, which are spread over the failure domains in turn.
	Instances int        `json:"instances"`
	Groups    []Group    `json:"groups"`
	Customers []Customer `json:"customers"`
	Platform  Platform   `json:"platform"`
}

// Group is a database group with the behaviour of its stand-in.
type Group struct {
	ID upstream.GroupID `json:"id"`
	// Database is the name that callers ask for.
	Database string   `json:"database"`
	Members  []Member `json:"members"`
	// Slots is the number of statements that one member runs at once.
	Slots int `json:"slots"`
	// Connections bounds the open connections to all members together.
	Connections int `json:"connections"`
	// ConnectTime is the set-up time of a connection, ServiceTime the time that a statement holds its slot.
	ConnectTime load.Duration `json:"connect_time"`
	ServiceTime load.Duration `json:"service_time"`
	// ReplicaLag is how long replicas apply after they received.
	ReplicaLag load.Duration `json:"replica_lag"`
}

// Member is a member of a group. The first one starts as primary.
type Member struct {
	ID            upstream.MemberID      `json:"id"`
	FailureDomain instance.FailureDomain `json:"failure_domain"`
}

// Customer is a customer with its contracts and the databases that it may use.
type Customer struct {
	Name      string                            `json:"name"`
	MainGroup upstream.GroupID                  `json:"main_group,omitempty"`
	Databases []string                          `json:"databases"`
	Contracts map[config.Preset]config.Contract `json:"contracts"`
}

// Platform describes the key-value service.
type Platform struct {
	Latency         load.Duration `json:"latency"`
	ReadsPerSecond  int           `json:"reads_per_second"`
	WritesPerSecond int           `json:"writes_per_second"`
}

// group returns the group with the id.
func (t *Topology) group(id upstream.GroupID) (*Group, bool) {
	for i := range t.Groups {
		if t.Groups[i].ID == id {
			return &t.Groups[i], true
		}
	}
	return nil, false
}

// database returns the group behind a database name.
func (t *Topology) database(name string) (*Group, bool) {
	for i := range t.Groups {
		if t.Groups[i].Database == name {
			return &t.Groups[i], true
		}
	}
	return nil, false
}

// customer returns the customer with the name.
func (t *Topology) customer(name string) (*Customer, bool) {
	for i := range t.Customers {
		if t.Customers[i].Name == name {
			return &t.Customers[i], true
		}
	}
	return nil, false
}

// validate checks the topology by itself. Errors carry the JSON path.
func (t *Topology) validate() error {
	if len(t.FailureDomains) == 0 || t.Instances <= 0 || len(t.Groups) == 0 || len(t.Customers) == 0 {
		return errors.New("failure_domains, instances, groups, customers: must be given")
	}
	for i := range t.Groups {
		if err := t.Groups[i].validate(t); err != nil {
			return errors.Wrapf(err, "groups[%d]", i)
		}
	}
	for i := range t.Customers {
		c := &t.Customers[i]
		if _, ok := c.Contracts[config.PresetOrdinary]; !ok {
			return errors.Errorf("customers[%d].contracts.ordinary: must be given", i)
		}
		for j, d := range c.Databases {
			if _, ok := t.database(d); !ok {
				return errors.Errorf("customers[%d].databases[%d]: no group has database %q", i, j, d)
			}
		}
	}
	return nil
}

func (g *Group) validate(t *Topology) error {
	if g.ID == "" || g.Database == "" || len(g.Members) == 0 || g.Slots <= 0 || g.Connections <= 0 {
		return errors.New("id, database, members, slots, connections: must be given")
	}
	for i, m := range g.Members {
		if !t.hasDomain(m.FailureDomain) {
			return errors.Errorf("members[%d].failure_domain: unknown %q", i, m.FailureDomain)
		}
	}
	return nil
}

func (t *Topology) hasDomain(d instance.FailureDomain) bool {
	for _, known := range t.FailureDomains {
		if known == d {
			return true
		}
	}
	return false
}
