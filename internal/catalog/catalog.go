// Package catalog holds one version of the operators' configuration in the form that the request path uses: routes by
// database, customers by key, database groups. A Catalog is immutable.
package catalog

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/upstream"
)

// Consistency is what the reads of a route must see.
type Consistency uint8

// Consistencies of a route.
const (
	// Primary reads see every acknowledged commit.
	Primary Consistency = iota
	// BoundedStaleness reads see every commit acknowledged longer than Route.MaxAge ago.
	BoundedStaleness
	// ReadYourWrites reads are like BoundedStaleness and see the session's own commits as well.
	ReadYourWrites
)

// Route leads callers of one database name to a group.
type Route struct {
	Name        string
	Database    string
	Group       upstream.GroupID
	Consistency Consistency
	// MaxAge is the data age that reads accept; it is not used with Primary.
	MaxStaleness time.Duration
	// Timeout bounds a single statement, Target is the aim for a whole operation.
	Timeout       time.Duration
	TargetLatency time.Duration
	// Priority orders routes; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
}

// Group is a replicated database group as operators declare it.
type Group struct {
	ID upstream.GroupID
	// MaxConnections bounds the connections to one member from the whole fleet.
	MaxConnections int
	// SyncReplicas is the number of replicas that hold a commit before it is acknowledged.
	SyncReplicas int
	// WarmupPerSecond bounds the requests to a member that has just started; 0 means no bound.
	WarmupPerSecond float64
}

// Customer is a caller's account with its contract.
type Customer struct {
	Name string
	// Rate is in operations a second; Burst is in operations. They hold for the whole fleet.
	Rate     float64
	Burst    float64
	Priority int
}

// keyHash is the form in which keys are kept, so that no secret is compared byte by byte or printed.
type keyHash [sha256.Size]byte

// Catalog is one version of the configuration.
type Catalog struct {
	Version uint64
	// Revision is the store's revision of this version; it orders versions.
	Revision uint64
	// IdleInTransaction is how long a transaction may stay without a statement.
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

// AddCustomer adds a customer with its keys while the catalog is built.
func (c *Catalog) AddCustomer(customer *Customer, keys []string) {
	c.byName[customer.Name] = customer
	for _, k := range keys {
		c.customers[sha256.Sum256([]byte(k))] = customer
	}
}

// Holder returns the customer that holds the key, or nil.
func (c *Catalog) CustomerByKey(key string) *Customer {
	if key == "" {
		return nil
	}
	return c.customers[sha256.Sum256([]byte(key))]
}

// HolderName returns the name of the customer that holds the key, or "".
func (c *Catalog) CustomerNameByKey(key string) string {
	if h := c.CustomerByKey(key); h != nil {
		return h.Name
	}
	return ""
}

// Customer returns the customer of the name, or nil.
func (c *Catalog) Customer(name string) *Customer { return c.byName[name] }

// Customers calls f with each customer.
func (c *Catalog) Customers(f func(*Customer)) {
	for _, v := range c.byName {
		f(v)
	}
}

// GroupIDs returns the groups in order of name.
func (c *Catalog) GroupIDs() []upstream.GroupID {
	ids := make([]upstream.GroupID, 0, len(c.Groups))
	for id := range c.Groups {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// CustomerNames returns the customers, those with the highest rate first.
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
