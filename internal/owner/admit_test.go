package owner

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/statement"
)

var epoch = time.Unix(1000, 0)

// fakeAuthority grants everything except what its fields deny.
type fakeAuthority struct{ keysStale, unleased, domainOut bool }

func (a *fakeAuthority) Leased(ownership.Claim) bool           { return !a.unleased }
func (a *fakeAuthority) KeysFresh() bool                       { return !a.keysStale }
func (a *fakeAuthority) LeaseEnd() time.Time                   { return epoch }
func (a *fakeAuthority) MembersCompleteAt() time.Time          { return time.Time{} }
func (a *fakeAuthority) DomainOut(instance.FailureDomain) bool { return a.domainOut }

// newCatalog returns a configuration with one route and one customer.
func newCatalog(revision uint64, database, customer, key string) *catalog.Catalog {
	c := catalog.New(revision, revision)
	c.Groups["g"] = &catalog.Group{ID: "g", MaxConnections: 20}
	c.Routes[database] = &catalog.Route{Name: database, Database: database, Group: "g", Timeout: time.Second, TargetLatency: 100 * time.Millisecond}
	c.AddCustomer(&catalog.Customer{Name: customer, Rate: 100, Burst: 100}, []string{key})
	return c
}

func newTestGroup(c *catalog.Catalog, a Authority) *Group {
	return newGroup(Options{
		Authority: a, Catalog: func() *catalog.Catalog { return c }, Clock: func() time.Time { return epoch }, Log: hclog.NewNullLogger(),
	}, ownership.Claim{Group: "g"}, false)
}

// Guards against an owner that is disconnected from the store rejecting for good what a newer configuration allows.
func TestAnOlderConfigurationDoesNotRejectNewRoutesOrKeys(t *testing.T) {
	for _, c := range []struct {
		name    string
		own     *catalog.Catalog
		request operation.Request
		want    statement.Code
	}{
		{"same version, unknown key", newCatalog(5, "orders", "mill", "k1"), operation.Request{Database: "orders", Key: "k2", CatalogRevision: 5}, statement.CodeUnauthenticated},
		{"same version, unknown route", newCatalog(5, "orders", "mill", "k1"), operation.Request{Database: "views", Key: "k1", CatalogRevision: 5}, statement.CodeUnknownDatabase},
		{"key added later", newCatalog(5, "orders", "mill", "k1"), operation.Request{Database: "orders", Key: "k2", CatalogRevision: 6, Customer: "mill"}, statement.CodeBusy},
		{"route added later", newCatalog(5, "orders", "mill", "k1"), operation.Request{Database: "views", Key: "k1", CatalogRevision: 6, Customer: "mill"}, statement.CodeBusy},
		{"key moved later", newCatalog(5, "orders", "mill", "k1"), operation.Request{Database: "orders", Key: "k1", CatalogRevision: 6, Customer: "other"}, statement.CodeBusy},
		{"nothing that matters changed", newCatalog(5, "orders", "mill", "k1"), operation.Request{Database: "orders", Key: "k1", CatalogRevision: 6, Customer: "mill"}, statement.CodeOK},
		{"owner is newer", newCatalog(7, "orders", "mill", "k1"), operation.Request{Database: "orders", Key: "k2", CatalogRevision: 6, Customer: "mill"}, statement.CodeUnauthenticated},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, refused := newTestGroup(c.own, &fakeAuthority{}).admit(&c.request)
			got := statement.CodeOK
			if refused != nil {
				got = refused.Code
			}
			is.Equal(got, c.want)
			is.True(got != statement.CodeBusy || refused.RetryAfter > 0)
		})
	}
}

func TestUnverifiedKeysAreRefused(t *testing.T) {
	is := is.New(t)
	g := newTestGroup(newCatalog(5, "orders", "mill", "k1"), &fakeAuthority{keysStale: true})
	_, refused := g.admit(&operation.Request{Database: "orders", Key: "k1", CatalogRevision: 5})
	is.Equal(refused.Code, statement.CodeBusy)
	is.True(refused.RetryAfter > 0)
}
