package matrix

import (
	"fmt"
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Customers of a cell. overCustomer sends several times its rate; the key of withdrawnCustomer is the one that the
// fault withdraws.
const (
	plainCustomer     = "plain"
	withdrawnCustomer = "second"
	overCustomer      = "over"
)

// contracts holds each customer's contract under the ordinary preset and under the one that the fault puts in force.
var contracts = map[string][2]config.Contract{
	plainCustomer:     {{RatePerSecond: 5000, Burst: 500, Share: 2}, {RatePerSecond: 4000, Burst: 400, Share: 1}},
	withdrawnCustomer: {{RatePerSecond: 5000, Burst: 500, Share: 2}, {RatePerSecond: 4000, Burst: 400, Share: 1}},
	overCustomer:      {{RatePerSecond: 60, Burst: 6, Share: 1}, {RatePerSecond: 30, Burst: 3, Share: 1}},
}

// presetBy is the time in which a change of preset that the homes were told of is in force in one process.
const presetBy = 300 * time.Millisecond

// keyOf returns the name of the customer's key, which stands in for a secret: no upstream may see it.
func keyOf(customer string) string { return "key-of-" + customer + "-7f3a" }

// cluster returns the first configuration.
func (w *world) cluster() *config.Cluster {
	c := &config.Cluster{
		Version:        1,
		Preset:         config.PresetOrdinary,
		FailureDomains: []config.FailureDomain{{Name: "d1"}, {Name: "d2"}, {Name: "d3"}},
	}
	var names []string
	for name, k := range contracts {
		names = append(names, name)
		c.Customers = append(c.Customers, config.Customer{
			Name:      name,
			MainGroup: mainGroup,
			Contracts: map[config.Preset]config.Contract{config.PresetOrdinary: k[0], config.PresetPeak: k[1]},
			Keys:      []config.Key{{Name: keyOf(name)}},
		})
	}
	slices.Sort(names)
	for _, id := range w.order {
		c.Groups = append(c.Groups, w.groups[id].Upstream())
		c.Routes = append(c.Routes, config.Route{Database: routeOf(id), Group: id, Customers: names})
	}
	return c
}

func routeOf(id upstream.GroupID) string { return "db-" + string(id) }

func (w *world) bursts() map[string]int {
	list := make(map[string]int)
	for name, k := range contracts {
		list[name] = k[0].Burst
	}
	return list
}

// configure puts the configuration in force at all instances and notes its contracts.
func (w *world) configure(c *config.Cluster) {
	from := time.Now()
	old := w.snapshot.Swap(config.NewSnapshot(c))
	w.mu.Lock()
	homes := slices.Clone(w.homes)
	for _, customer := range c.Customers {
		k := customer.Contracts[c.Preset]
		if before, ok := contractIn(old, customer.Name); ok && before == k {
			continue
		}
		w.contracts = append(w.contracts, check.Contract{
			Customer: customer.Name, From: from, By: from.Add(presetBy), Rate: k.RatePerSecond, Burst: k.Burst,
		})
	}
	w.mu.Unlock()
	// The fault may arise inside a home, whose lock the call would wait for.
	w.tasks.Go(func() {
		for _, h := range homes {
			h.manager.ConfigChanged()
		}
	})
}

// change puts a changed copy of the configuration in force.
func (w *world) change(f func(*config.Cluster)) {
	w.changes.Lock()
	defer w.changes.Unlock()
	c := *w.snapshot.Load().Cluster()
	c.Version++
	c.OperationID = fmt.Sprintf("operation-%d", c.Version)
	c.FailureDomains = slices.Clone(c.FailureDomains)
	c.Customers = slices.Clone(c.Customers)
	c.Groups = slices.Clone(c.Groups)
	for i := range c.Groups {
		c.Groups[i].Members = slices.Clone(c.Groups[i].Members)
	}
	f(&c)
	w.configure(&c)
}

func setOut(c *config.Cluster, d instance.FailureDomain) {
	for i := range c.FailureDomains {
		if c.FailureDomains[i].Name == d {
			c.FailureDomains[i].Out = true
		}
	}
}

func setLeaving(c *config.Cluster, id upstream.MemberID) {
	for i := range c.Groups[0].Members {
		if c.Groups[0].Members[i].ID == id {
			c.Groups[0].Members[i].State = upstream.MemberLeaving
		}
	}
}

func contractIn(s *config.Snapshot, customer string) (config.Contract, bool) {
	if s == nil {
		return config.Contract{}, false
	}
	return s.Contract(customer)
}

// drain notes that the member must get no new work.
func (w *world) drain(id upstream.MemberID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = id
	w.drainingSince = time.Now()
}
