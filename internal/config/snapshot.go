package config

import (
	"cmp"
	"slices"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/mutation"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Snapshot is an immutable, indexed view of one version of the configuration.
type Snapshot struct {
	cluster   *Cluster
	customers map[string]*Customer
	routes    map[string]*Route
	groups    map[upstream.GroupID]*upstream.Group
	out       map[instance.FailureDomain]bool
	main      map[string]upstream.GroupID
	served    map[string]int
	// revoked holds emergency revocations that the configuration does not know of.
	revoked map[KeyRef]bool
}

// NewSnapshot indexes c, which must be valid and must not change afterwards.
func NewSnapshot(c *Cluster) *Snapshot {
	s := &Snapshot{
		cluster:   c,
		customers: make(map[string]*Customer, len(c.Customers)),
		routes:    make(map[string]*Route, len(c.Routes)),
		groups:    make(map[upstream.GroupID]*upstream.Group, len(c.Groups)),
		out:       make(map[instance.FailureDomain]bool),
		main:      make(map[string]upstream.GroupID, len(c.Customers)),
		served:    make(map[string]int, len(c.Customers)),
	}
	for i := range c.Customers {
		s.customers[c.Customers[i].Name] = &c.Customers[i]
	}
	for i := range c.Groups {
		s.groups[c.Groups[i].ID] = &c.Groups[i]
	}
	for _, d := range c.FailureDomains {
		s.out[d.Name] = d.Out
	}
	s.indexRoutes()
	return s
}

func (s *Snapshot) indexRoutes() {
	order := make([]*Route, 0, len(s.cluster.Routes))
	for i := range s.cluster.Routes {
		order = append(order, &s.cluster.Routes[i])
	}
	slices.SortFunc(order, func(a, b *Route) int { return cmp.Compare(a.Database, b.Database) })
	groups := make(map[string]map[upstream.GroupID]bool)
	for _, r := range order {
		s.routes[r.Database] = r
		for _, name := range r.users() {
			if _, ok := s.main[name]; !ok {
				s.main[name] = r.Group
			}
			if groups[name] == nil {
				groups[name] = make(map[upstream.GroupID]bool)
			}
			groups[name][r.Group] = true
		}
	}
	for name, set := range groups {
		s.served[name] = len(set)
	}
	for name, c := range s.customers {
		if c.MainGroup != "" {
			s.main[name] = c.MainGroup
		}
	}
}

// users returns the customers whose work may come through the route.
func (r *Route) users() []string {
	if r.OpenCustomer == "" {
		return r.Customers
	}
	return append(slices.Clone(r.Customers), r.OpenCustomer)
}

// Allows reports whether the customer may use the route with a key.
func (r *Route) Allows(customer string) bool { return slices.Contains(r.Customers, customer) }

// withRevocations returns the snapshot with a set of revoked keys, which must not change afterwards.
func (s *Snapshot) withRevocations(revoked map[KeyRef]bool) *Snapshot {
	out := *s
	out.revoked = revoked
	return &out
}

// Cluster returns the configuration behind the snapshot; the caller must not change it.
func (s *Snapshot) Cluster() *Cluster { return s.cluster }

// Version returns the version of the configuration.
func (s *Snapshot) Version() uint64 { return s.cluster.Version }

// Customer returns the named customer.
func (s *Snapshot) Customer(name string) (*Customer, bool) {
	c, ok := s.customers[name]
	return c, ok
}

// Key returns the customer's key of the given name; a withdrawn or revoked key is not found.
func (s *Snapshot) Key(customer, key string) (*Key, bool) {
	if s.revoked[KeyRef{Customer: customer, Key: key}] {
		return nil, false
	}
	c, ok := s.customers[customer]
	if !ok {
		return nil, false
	}
	for i := range c.Keys {
		if c.Keys[i].Name == key && (!c.Keys[i].Withdrawn || mutation.On(mutation.AcceptWithdrawnKeys)) {
			return &c.Keys[i], true
		}
	}
	return nil, false
}

// Route returns the route for a database name.
func (s *Snapshot) Route(database string) (*Route, bool) {
	r, ok := s.routes[database]
	return r, ok
}

// Group returns the group with the given id; the caller must not change it.
func (s *Snapshot) Group(id upstream.GroupID) (*upstream.Group, bool) {
	g, ok := s.groups[id]
	return g, ok
}

// DomainOut reports whether operators have taken the failure domain out.
func (s *Snapshot) DomainOut(d instance.FailureDomain) bool {
	return s.out[d] && !mutation.On(mutation.IgnoreDomainOut)
}

// MainGroup returns the group at whose home the customer's bucket lives.
func (s *Snapshot) MainGroup(customer string) (upstream.GroupID, bool) {
	g, ok := s.main[customer]
	return g, ok
}

// GroupCount returns the number of groups that the customer's routes lead to.
func (s *Snapshot) GroupCount(customer string) int { return s.served[customer] }

// Contract returns the customer's contract under the preset in force.
func (s *Snapshot) Contract(customer string) (Contract, bool) {
	c, ok := s.customers[customer]
	if !ok {
		return Contract{}, false
	}
	k, ok := c.Contracts[s.cluster.Preset]
	return k, ok
}
