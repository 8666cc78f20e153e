// Package catalog holds one version of the operators' configuration, indexed for lookups on the request path: routes by database
// name, customers by key, and database groups. It serves the instances on the Kestrel Grid platform; package config is the
// configuration model of celerystepd. A Catalog is immutable once it is built.
package catalog

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/upstream"
)

// Consistency is the consistency level of the reads of a route.
type Consistency uint8

// Consistency levels.
const (
	// Primary reads see every acknowledged commit.
	Primary Consistency = iota
	// BoundedStaleness reads see every commit that was acknowledged more than Route.MaxStaleness ago.
	BoundedStaleness
	// ReadYourWrites reads are BoundedStaleness reads that also see the session's own commits.
	ReadYourWrites
)

// Route maps a database name to a group.
type Route struct {
	Name        string
	Database    string
	Group       upstream.GroupID
	Consistency Consistency
	// MaxStaleness is the staleness that reads accept; it is not used with Primary.
	MaxStaleness time.Duration
	// Timeout bounds a single statement. TargetLatency is the latency objective of a whole operation.
	Timeout       time.Duration
	TargetLatency time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// Public routes need no key.
	Public bool
}

// Group is the configuration of a replicated database group.
type Group struct {
	ID upstream.GroupID
	// MaxConnections bounds the connections from the whole fleet to one member.
	MaxConnections int
	// SyncReplicas is the number of replicas that hold a commit before it is acknowledged.
	SyncReplicas int
	// WarmupPerSecond bounds the rate of requests to a member that has just started; 0 means no limit.
	WarmupPerSecond float64
}

// Customer is an account with its contract.
type Customer struct {
	Name string
	// Rate, in operations per second, and Burst, in operations, are the fleet-wide token-bucket limits.
	Rate     float64
	Burst    float64
	Priority int
}

// keyHash is the SHA-256 hash of a key. Keys are stored only as hashes, so that lookups do not compare secrets and logs cannot
// contain them.
type keyHash [sha256.Size]byte

// Catalog is one version of the configuration.
type Catalog struct {
	Version uint64
	// Revision is the revision of this version in the store. It orders versions.
	Revision uint64
	// IdleInTransactionTimeout bounds the time between two statements of a transaction.
	IdleInTransactionTimeout time.Duration

	Routes    map[string]*Route
	Groups    map[upstream.GroupID]*Group
	customers map[keyHash]*Customer
	byName    map[string]*Customer
}

// New returns an empty catalog.
func New(version, revision uint64) *Catalog {
	return &Catalog{
		Version:   version,
		Revision:  revision,
		Routes:    make(map[string]*Route),
		Groups:    make(map[upstream.GroupID]*Group),
		customers: make(map[keyHash]*Customer),
		byName:    make(map[string]*Customer),
	}
}

// AddCustomer adds a customer and its keys. It must not be called once the catalog is in use.
func (c *Catalog) AddCustomer(customer *Customer, keys []string) {
	c.byName[customer.Name] = customer
	for _, k := range keys {
		c.customers[sha256.Sum256([]byte(k))] = customer
	}
}

// CustomerByKey returns the customer that holds the key, or nil.
func (c *Catalog) CustomerByKey(key string) *Customer {
	if key == "" {
		return nil
	}
	return c.customers[sha256.Sum256([]byte(key))]
}

// CustomerNameByKey returns the name of the customer that holds the key, or "".
func (c *Catalog) CustomerNameByKey(key string) string {
	if h := c.CustomerByKey(key); h != nil {
		return h.Name
	}
	return ""
}

// Customer returns the customer with the name, or nil.
func (c *Catalog) Customer(name string) *Customer { return c.byName[name] }

// CustomerCount returns the number of customers.
func (c *Catalog) CustomerCount() int { return len(c.byName) }

// Customers calls f for each customer, in no particular order.
func (c *Catalog) Customers(f func(*Customer)) {
	for _, v := range c.byName {
		f(v)
	}
}

// GroupIDs returns the ids of all groups in ascending order.
func (c *Catalog) GroupIDs() []upstream.GroupID {
	ids := make([]upstream.GroupID, 0, len(c.Groups))
	for id := range c.Groups {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// PriorityRange returns the highest and the lowest priority of the group's routes, or zeros if it has none.
func (c *Catalog) PriorityRange(g upstream.GroupID) (highest, lowest int) {
	found := false
	for _, r := range c.Routes {
		switch {
		case r.Group != g:
		case !found:
			found, highest, lowest = true, r.Priority, r.Priority
		default:
			highest, lowest = min(highest, r.Priority), max(lowest, r.Priority)
		}
	}
	return highest, lowest
}

// CustomerNamesByRate returns the names of all customers, those with the highest rate first.
func (c *Catalog) CustomerNamesByRate() []string {
	list := make([]*Customer, 0, len(c.byName))
	for _, v := range c.byName {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b *Customer) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Name, b.Name))
	})
	names := make([]string, len(list))
	for i, v := range list {
		names[i] = v.Name
	}
	return names
}
