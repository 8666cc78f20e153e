// Package configcheck finds entries of a valid configuration that have no effect and limits that contradict each other.
// The functions are pure: they read no files, clocks or services.
package configcheck

import (
	"fmt"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Severity tells what a finding means for the change.
type Severity string

// Severities.
const (
	// SeverityError marks a configuration that the fleet refuses.
	SeverityError Severity = "error"
	// SeverityWarning marks an entry that the fleet accepts and that cannot work as written.
	SeverityWarning Severity = "warning"
)

// Finding is one result of the check.
type Finding struct {
	Severity Severity `json:"severity"`
	config.Problem
}

// String formats the finding as "warning: line 4: path: message".
func (f Finding) String() string { return string(f.Severity) + ": " + f.Problem.String() }

// Errors returns the problems that a check of package config found as findings.
func Errors(problems []config.Problem) []Finding {
	out := make([]Finding, 0, len(problems))
	for _, p := range problems {
		out = append(out, Finding{Severity: SeverityError, Problem: p})
	}
	return out
}

// Inspect returns the warnings about a configuration that config.Check accepts. Paths hold the positions in c.
func Inspect(c *config.Cluster) []Finding {
	i := newInspector(c)
	for n := range c.Groups {
		i.group(fmt.Sprintf("groups[%d]", n), &c.Groups[n])
	}
	for n := range c.Customers {
		i.customer(fmt.Sprintf("customers[%d]", n), &c.Customers[n])
	}
	for n := range c.Routes {
		i.route(fmt.Sprintf("routes[%d]", n), &c.Routes[n])
	}
	return i.findings
}

// inspector collects the findings of one configuration.
type inspector struct {
	cluster  *config.Cluster
	findings []Finding
	out      map[instance.FailureDomain]bool
	groups   map[upstream.GroupID]*upstream.Group
	routed   map[upstream.GroupID]bool
	// served lists the groups that a customer's routes lead to.
	served map[string]map[upstream.GroupID]bool
	// open holds the customers of open routes; their callers need no key.
	open map[string]bool
	// usable holds the customers with a key that is not withdrawn.
	usable map[string]bool
	// verifiers maps a stored key to the path of the first key that has it.
	verifiers map[string]string
}

func newInspector(c *config.Cluster) *inspector {
	i := &inspector{
		cluster:   c,
		out:       make(map[instance.FailureDomain]bool),
		groups:    make(map[upstream.GroupID]*upstream.Group, len(c.Groups)),
		routed:    make(map[upstream.GroupID]bool),
		served:    make(map[string]map[upstream.GroupID]bool),
		open:      make(map[string]bool),
		usable:    make(map[string]bool),
		verifiers: make(map[string]string),
	}
	for _, d := range c.FailureDomains {
		i.out[d.Name] = d.Out
	}
	for n := range c.Groups {
		i.groups[c.Groups[n].ID] = &c.Groups[n]
	}
	for _, x := range c.Customers {
		i.served[x.Name] = make(map[upstream.GroupID]bool)
		for _, k := range x.Keys {
			i.usable[x.Name] = i.usable[x.Name] || !k.Withdrawn
		}
	}
	for n := range c.Routes {
		i.indexRoute(&c.Routes[n])
	}
	return i
}

func (i *inspector) indexRoute(r *config.Route) {
	i.routed[r.Group] = true
	for _, name := range r.Customers {
		i.served[name][r.Group] = true
	}
	if r.OpenCustomer != "" {
		i.served[r.OpenCustomer][r.Group] = true
		i.open[r.OpenCustomer] = true
	}
}

func (i *inspector) warn(path, format string, args ...any) {
	problem := config.Problem{Path: path, Message: fmt.Sprintf(format, args...)}
	i.findings = append(i.findings, Finding{Severity: SeverityWarning, Problem: problem})
}

// working counts the members that get new work.
func (i *inspector) working(g *upstream.Group) int {
	n := 0
	for _, m := range g.Members {
		if m.State == upstream.MemberActive && !i.out[m.FailureDomain] {
			n++
		}
	}
	return n
}

func (i *inspector) group(path string, g *upstream.Group) {
	if !i.routed[g.ID] {
		i.warn(path, "no route leads to group %q", g.ID)
	}
	working := i.working(g)
	if working == 0 {
		i.warn(path+".members", "no member of group %q is active in a failure domain that is in", g.ID)
	}
	// Each member holds one status connection, which runs no statements.
	free := g.Connections - len(g.Members)
	if slots := g.Slots * working; free < slots {
		i.warn(path+".connections", "%d connections leave %d for statements; the %d slots of the members cannot all be used",
			g.Connections, free, slots)
	}
}

func (i *inspector) customer(path string, c *config.Customer) {
	if len(i.served[c.Name]) == 0 {
		i.warn(path, "no route allows customer %q", c.Name)
	}
	if !i.usable[c.Name] && !i.open[c.Name] {
		i.warn(path+".keys", "customer %q has no key that works and no open route", c.Name)
	}
	if c.MainGroup != "" && !i.served[c.Name][c.MainGroup] {
		i.warn(path+".main_group", "no route of customer %q leads to its main group %q", c.Name, c.MainGroup)
	}
	for n := range c.Keys {
		i.key(fmt.Sprintf("%s.keys[%d]", path, n), &c.Keys[n])
	}
	for _, p := range config.Presets() {
		i.contract(fmt.Sprintf("%s.contracts.%s", path, p), c, c.Contracts[p])
	}
}

// key reports two names of one secret: withdrawing one of them leaves the secret in use.
func (i *inspector) key(path string, k *config.Key) {
	verifier := string(k.StoredKey)
	if earlier, ok := i.verifiers[verifier]; ok {
		i.warn(path+".stored_key", "key %q has the verifier of %s; withdrawing one of them leaves the secret valid", k.Name, earlier)
		return
	}
	i.verifiers[verifier] = path
}

func (i *inspector) route(path string, r *config.Route) {
	if len(r.Customers) == 0 && r.OpenCustomer == "" {
		i.warn(path, "route %q allows no customer and is not open", r.Database)
	}
	for n, name := range r.Customers {
		switch {
		case i.usable[name]:
		case r.OpenCustomer != "":
			i.warn(fmt.Sprintf("%s.customers[%d]", path, n),
				"customer %q has no key that works; its callers count as customer %q, for which the route is open", name, r.OpenCustomer)
		default:
			i.warn(fmt.Sprintf("%s.customers[%d]", path, n), "customer %q has no key that works and cannot use the route", name)
		}
	}
}
