package config

import (
	"cmp"
	"maps"
	"slices"

	"github.com/celerystep/celerystep/internal/upstream"
)

// Clone returns a deep copy of the configuration. Verifiers are shared because they are never changed in place.
func (c *Cluster) Clone() *Cluster {
	out := *c
	out.FailureDomains = slices.Clone(c.FailureDomains)
	out.Groups = slices.Clone(c.Groups)
	for i := range out.Groups {
		out.Groups[i].Members = slices.Clone(out.Groups[i].Members)
	}
	out.Customers = slices.Clone(c.Customers)
	for i := range out.Customers {
		out.Customers[i].Contracts = maps.Clone(out.Customers[i].Contracts)
		out.Customers[i].Keys = slices.Clone(out.Customers[i].Keys)
	}
	out.Routes = slices.Clone(c.Routes)
	for i := range out.Routes {
		out.Routes[i].Customers = slices.Clone(out.Routes[i].Customers)
	}
	return &out
}

// Normalize puts every list in order of name, so that equal configurations have equal encodings. Keys keep the order
// in which they were issued.
func (c *Cluster) Normalize() {
	c.sortLists()
	for _, g := range c.Groups {
		slices.SortFunc(g.Members, func(a, b upstream.Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	for i := range c.Customers {
		if len(c.Customers[i].Keys) == 0 {
			c.Customers[i].Keys = []Key{}
		}
	}
	for i := range c.Routes {
		slices.Sort(c.Routes[i].Customers)
	}
}

// sortLists orders the lists of objects and leaves the objects as they are.
func (c *Cluster) sortLists() {
	slices.SortFunc(c.FailureDomains, func(a, b FailureDomain) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Groups, func(a, b upstream.Group) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(c.Customers, func(a, b Customer) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Routes, func(a, b Route) int { return cmp.Compare(a.Database, b.Database) })
}
