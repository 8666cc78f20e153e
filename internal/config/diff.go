package config

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/celerystep/celerystep/internal/upstream"
)

// ChangeType tells changes with consequences of their own from the others.
type ChangeType string

// Types of change.
const (
	ChangeOther        ChangeType = ""
	ChangePreset       ChangeType = "preset"
	ChangeDomainOut    ChangeType = "failure_domain_out"
	ChangeDomainIn     ChangeType = "failure_domain_in"
	ChangeKeyWithdrawn ChangeType = "key_withdrawn"
)

// Change is one difference between two configurations.
type Change struct {
	Type ChangeType `json:"type,omitempty"`
	// From and To are set for ChangePreset, Key for ChangeKeyWithdrawn.
	From Preset `json:"from,omitempty"`
	To   Preset `json:"to,omitempty"`
	Key  string `json:"key,omitempty"`
	// Kind is one of preset, failure domain, group, customer and route; Name identifies the object.
	Kind string `json:"kind"`
	Name string `json:"name,omitempty"`
	// Text says what changed, for example "contract peak: rate 100/s -> 250/s".
	Text string `json:"text"`
}

// String formats the change as one line.
func (c Change) String() string {
	if c.Name == "" {
		return c.Kind + ": " + c.Text
	}
	return c.Kind + " " + c.Name + ": " + c.Text
}

// Diff returns what must change in a to get b, in words and in a fixed order. Versions are not compared.
func Diff(a, b *Cluster) []Change {
	d := &differ{}
	if a.Preset != b.Preset {
		d.add("preset", "", "%s -> %s", a.Preset, b.Preset)
		last := d.last()
		last.Type, last.From, last.To = ChangePreset, a.Preset, b.Preset
	}
	diffObjects(d, "failure domain", a.FailureDomains, b.FailureDomains, domainName, d.domain)
	diffObjects(d, "group", a.Groups, b.Groups, groupName, d.group)
	diffObjects(d, "customer", a.Customers, b.Customers, customerName, d.customer)
	diffObjects(d, "route", a.Routes, b.Routes, routeName, d.route)
	return d.changes
}

func domainName(d FailureDomain) string { return string(d.Name) }
func groupName(g upstream.Group) string { return string(g.ID) }
func customerName(c Customer) string    { return c.Name }
func routeName(r Route) string          { return r.Database }
func memberName(m upstream.Member) string {
	return string(m.ID)
}
func keyName(k Key) string { return k.Name }

type differ struct {
	changes []Change
}

func (d *differ) add(kind, name, format string, args ...any) {
	d.changes = append(d.changes, Change{Kind: kind, Name: name, Text: fmt.Sprintf(format, args...)})
}

// last returns the change added last.
func (d *differ) last() *Change { return &d.changes[len(d.changes)-1] }

// diffObjects reports added and removed objects and calls each for those in both lists, in order of name.
func diffObjects[T any](d *differ, kind string, a, b []T, name func(T) string, each func(a, b T)) {
	before, after := byName(a, name), byName(b, name)
	for _, n := range unionOfNames(before, after) {
		x, hadBefore := before[n]
		y, hasAfter := after[n]
		switch {
		case !hadBefore:
			d.add(kind, n, "added%s", describe(y))
		case !hasAfter:
			d.add(kind, n, "removed")
		default:
			each(x, y)
		}
	}
}

func byName[T any](list []T, name func(T) string) map[string]T {
	out := make(map[string]T, len(list))
	for _, x := range list {
		out[name(x)] = x
	}
	return out
}

func unionOfNames[T any](a, b map[string]T) []string {
	names := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(names)
	return slices.Compact(names)
}

// describe adds what matters about a new object.
func describe(x any) string {
	switch v := x.(type) {
	case Route:
		return " for group " + string(v.Group)
	case upstream.Group:
		return fmt.Sprintf(" with %d members, %d slots, %d connections", len(v.Members), v.Slots, v.Connections)
	case Customer:
		return fmt.Sprintf(" with %d keys", len(v.Keys))
	}
	return ""
}

func (d *differ) domain(a, b FailureDomain) {
	if a.Out != b.Out {
		d.add("failure domain", string(b.Name), "%s -> %s", inOrOut(a.Out), inOrOut(b.Out))
		d.last().Type = ChangeDomainIn
		if b.Out {
			d.last().Type = ChangeDomainOut
		}
	}
	if a.Region != b.Region {
		d.add("failure domain", string(b.Name), "region %s -> %s", a.Region, b.Region)
	}
}

func inOrOut(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

func (d *differ) group(a, b upstream.Group) {
	name := string(b.ID)
	if a.Slots != b.Slots {
		d.add("group", name, "slots %d -> %d", a.Slots, b.Slots)
	}
	if a.Connections != b.Connections {
		d.add("group", name, "connections %d -> %d", a.Connections, b.Connections)
	}
	d.members(name, a.Members, b.Members)
}

func (d *differ) members(group string, a, b []upstream.Member) {
	before, after := byName(a, memberName), byName(b, memberName)
	for _, n := range unionOfNames(before, after) {
		x, hadBefore := before[n]
		y, hasAfter := after[n]
		switch {
		case !hadBefore:
			d.add("group", group, "member %s added at %s in %s, %s", n, y.Address, y.FailureDomain, y.State)
		case !hasAfter:
			d.add("group", group, "member %s removed", n)
		default:
			d.member(group, x, y)
		}
	}
}

func (d *differ) member(group string, a, b upstream.Member) {
	if a.State != b.State {
		d.add("group", group, "member %s: %s -> %s", b.ID, a.State, b.State)
	}
	if a.Address != b.Address {
		d.add("group", group, "member %s: address %s -> %s", b.ID, a.Address, b.Address)
	}
	if a.FailureDomain != b.FailureDomain {
		d.add("group", group, "member %s: failure domain %s -> %s", b.ID, a.FailureDomain, b.FailureDomain)
	}
}

func (d *differ) customer(a, b Customer) {
	if a.MainGroup != b.MainGroup {
		d.add("customer", b.Name, "main group %q -> %q", a.MainGroup, b.MainGroup)
	}
	for _, p := range Presets() {
		d.contract(b.Name, p, a.Contracts[p], b.Contracts[p])
	}
	d.keys(b.Name, a.Keys, b.Keys)
}

func (d *differ) contract(customer string, p Preset, a, b Contract) {
	if a.RatePerSecond != b.RatePerSecond {
		d.add("customer", customer, "contract %s: rate %v/s -> %v/s", p, a.RatePerSecond, b.RatePerSecond)
	}
	if a.Burst != b.Burst {
		d.add("customer", customer, "contract %s: burst %d -> %d", p, a.Burst, b.Burst)
	}
	if a.Share != b.Share {
		d.add("customer", customer, "contract %s: share %d -> %d", p, a.Share, b.Share)
	}
}

func (d *differ) keys(customer string, a, b []Key) {
	before, after := byName(a, keyName), byName(b, keyName)
	for _, n := range unionOfNames(before, after) {
		x, hadBefore := before[n]
		y, hasAfter := after[n]
		switch {
		case !hadBefore:
			d.add("customer", customer, "key %s issued", n)
		case !hasAfter:
			d.add("customer", customer, "key %s removed", n)
		case !x.Withdrawn && y.Withdrawn:
			d.add("customer", customer, "key %s withdrawn", n)
			d.last().Type, d.last().Key = ChangeKeyWithdrawn, n
		case x.Withdrawn && !y.Withdrawn:
			d.add("customer", customer, "key %s reinstated", n)
		case !sameVerifier(x, y):
			d.add("customer", customer, "key %s has another verifier", n)
		}
	}
}

func sameVerifier(a, b Key) bool {
	return a.Iterations == b.Iterations && bytes.Equal(a.Salt, b.Salt) &&
		bytes.Equal(a.StoredKey, b.StoredKey) && bytes.Equal(a.ServerKey, b.ServerKey)
}

func (d *differ) route(a, b Route) {
	if a.Group != b.Group {
		d.add("route", b.Database, "group %s -> %s", a.Group, b.Group)
	}
	if a.OpenCustomer != b.OpenCustomer {
		d.add("route", b.Database, "%s -> %s", openFor(a.OpenCustomer), openFor(b.OpenCustomer))
	}
	for _, name := range b.Customers {
		if !slices.Contains(a.Customers, name) {
			d.add("route", b.Database, "customer %s allowed", name)
		}
	}
	for _, name := range a.Customers {
		if !slices.Contains(b.Customers, name) {
			d.add("route", b.Database, "customer %s no longer allowed", name)
		}
	}
}

func openFor(customer string) string {
	if customer == "" {
		return "closed to callers without a key"
	}
	return "open to callers without a key as customer " + customer
}
