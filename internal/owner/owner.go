// Package owner serves the database groups that this instance owns: it admits and queues statements, runs them on
// pooled connections to the members, tracks the position that reads must observe, and has primaries replaced. The
// packages dispatch, freshness, promotion and quota make the decisions; this package adds clocks, I/O and goroutines.
// Package ownership decides which groups an instance owns.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/boottime"
	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/delegation"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/quota"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Authority reports what this instance is permitted to do at present. Its methods are safe for concurrent use and do
// not block.
type Authority interface {
	// Leased reports whether the lease still rules out that another instance has taken over the claim.
	Leased(claim ownership.Claim) bool
	// LeaseEnd returns when the lease of this process has ended or will end unless it is renewed.
	LeaseEnd() time.Time
	// KeysFresh reports whether the keys in the catalog are known to be in force.
	KeysFresh() bool
	// DomainOut reports whether the failure domain is out of service and must get no requests.
	DomainOut(d instance.FailureDomain) bool
	// MembersCompleteAt returns the time from which the known members of all groups are all that live. Until then some may
	// be missing because their entries expired while the store was unavailable.
	MembersCompleteAt() time.Time
}

// TokenSource requests rate-limit tokens from a customer's coordinator.
type TokenSource interface {
	// TakeTokens requests the tokens from the owner of the group and returns those granted.
	TakeTokens(ctx context.Context, g upstream.GroupID, wants []TokenRequest) []TokenRequest
}

// TokenRequest is a request for, or a grant of, tokens of one customer.
type TokenRequest struct {
	Customer string
	Tokens   int
}

// Lender requests loans of replicas from the owners of groups.
type Lender interface {
	// BorrowReplica requests a loan from the owner of the group. The caller's instance and process are added to the request.
	BorrowReplica(ctx context.Context, g upstream.GroupID, r BorrowRequest) (delegation.Offer, delegation.Refusal)
}

// BorrowRequest is a delegate's request for a share of a replica in its failure domain.
type BorrowRequest struct {
	Holder ownership.Process
	Domain instance.FailureDomain
	// Running, Queued and Connections are the delegate's demand.
	Running, Queued, Connections int
}

// Options configures a Manager.
type Options struct {
	Domain    instance.FailureDomain
	Members   member.Port
	Promoter  member.Promoter
	Authority Authority
	Tokens    TokenSource
	// Catalog returns the configuration in force; it is never nil once a group is owned.
	Catalog func() *catalog.Catalog
	// CatchUp requests a configuration of at least the given revision and waits a short time for it.
	CatchUp func(ctx context.Context, revision uint64)
	// RenewClaim requests a claim with a higher revision.
	RenewClaim func(g upstream.GroupID)
	// SuccessionPeriod is how long after the end of its lease an owner may spend tokens of customers, beside its successor.
	SuccessionPeriod time.Duration
	Clock            boottime.Clock
	Log              hclog.Logger
	Metrics          *Metrics
	// CrossDomainRTT is the expected network round-trip time to a member in another failure domain.
	CrossDomainRTT time.Duration
	// DelegateReads enables reads at delegates; Lender is used only then.
	DelegateReads bool
	Lender        Lender
}

// Manager holds the groups that the instance owns.
type Manager struct {
	o       Options
	mu      sync.RWMutex
	groups  map[upstream.GroupID]*Group
	members map[upstream.GroupID][]member.Member
	// draining holds released groups that still have open transactions.
	draining map[upstream.GroupID]*Group
	// delegates holds the groups of which this instance has run reads for their owners.
	delegates map[upstream.GroupID]*Delegate
}

// NewManager returns a manager that owns no groups.
func NewManager(o Options) *Manager {
	return &Manager{
		o:        o,
		groups:   make(map[upstream.GroupID]*Group),
		members:  make(map[upstream.GroupID][]member.Member),
		draining: make(map[upstream.GroupID]*Group),

		delegates: make(map[upstream.GroupID]*Delegate),
	}
}

// Acquire starts serving a group under the claim, or applies a renewed claim; it returns whether the group is new. reclaimed
// is true when the previous owner was an earlier process of this instance. predecessors may not have noticed their replacement.
func (m *Manager) Acquire(ctx context.Context, claim ownership.Claim, reclaimed bool, predecessors ...quota.Predecessor) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g := m.groups[claim.Group]; g != nil {
		g.renew(claim)
		return false
	}
	g := newGroup(m.o, claim, reclaimed, predecessors...)
	if old := m.draining[claim.Group]; old != nil {
		delete(m.draining, claim.Group)
		old.stop()
	}
	m.groups[claim.Group] = g
	g.setMembers(m.members[claim.Group])
	go g.run(ctx)
	return true
}

// PredecessorEnded records that an earlier owner of the group serves it no longer.
func (m *Manager) PredecessorEnded(id upstream.GroupID, p ownership.Process) {
	if owned, _ := m.group(id); owned != nil {
		owned.predecessorEnded(p)
	}
}

// Release stops serving the group: new statements are refused, while open transactions may finish.
func (m *Manager) Release(id upstream.GroupID, cause string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.groups[id]
	if g == nil {
		return
	}
	delete(m.groups, id)
	m.draining[id] = g
	g.release(cause)
}

// SetMembers replaces the members of a group.
func (m *Manager) SetMembers(id upstream.GroupID, list []member.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members[id] = list
	for _, g := range []*Group{m.groups[id], m.draining[id]} {
		if g != nil {
			g.setMembers(list)
		}
	}
	if d := m.delegates[id]; d != nil {
		d.setMembers(list)
	}
}

// Members returns the known members of a group.
func (m *Manager) Members(id upstream.GroupID) []member.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.members[id]
}

// OpenTransactions returns the number of open transactions in all groups, including those held as a delegate.
func (m *Manager) OpenTransactions() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	n := 0
	for _, set := range []map[upstream.GroupID]*Group{m.groups, m.draining} {
		for _, g := range set {
			n += g.openTransactions()
		}
	}
	for _, d := range m.delegates {
		n += d.g.openTransactions()
	}
	return n
}

// Close stops all groups and closes their connections.
func (m *Manager) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, set := range []map[upstream.GroupID]*Group{m.groups, m.draining} {
		for id, g := range set {
			g.stop()
			delete(set, id)
		}
	}
	for id, d := range m.delegates {
		d.g.stop()
		delete(m.delegates, id)
	}
}

func (m *Manager) group(id upstream.GroupID) (owned, draining *Group) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.groups[id], m.draining[id]
}

// Run implements operation.Runner.
func (m *Manager) Run(ctx context.Context, r *operation.Request) operation.Response {
	if r.CatalogRevision > m.o.Catalog().Revision {
		m.o.CatchUp(ctx, r.CatalogRevision)
	}
	owned, draining := m.group(r.Group)
	for _, g := range []*Group{owned, draining} {
		if g != nil && r.InTransaction && g.hasTransaction(r.Session) {
			return g.runInTransaction(ctx, r)
		}
	}
	switch {
	case r.InTransaction:
		return aborted("the transaction was rolled back: its owner has changed or it was idle for too long")
	case owned == nil:
		return operation.Response{Answer: statement.Answer{Code: statement.CodeBusy, Detail: "not the owner"}, NotOwner: true}
	default:
		resp := owned.runFirst(ctx, r)
		owned.endUnclaimed(ctx, r)
		return resp
	}
}

// End implements operation.Runner.
func (m *Manager) End(_ context.Context, id upstream.GroupID, s operation.SessionID) {
	owned, draining := m.group(id)
	for _, g := range []*Group{owned, draining} {
		if g != nil {
			g.endTransaction(s)
		}
	}
}

// Grant grants tokens of customers whose coordinator is the owner of the group. It returns false when this instance
// must not grant any.
func (m *Manager) Grant(id upstream.GroupID, wants []TokenRequest) ([]TokenRequest, bool) {
	owned, _ := m.group(id)
	if owned == nil {
		return nil, false
	}
	return owned.grant(wants)
}

func aborted(detail string) operation.Response {
	return operation.Response{Answer: statement.Answer{Code: statement.CodeAborted, Detail: detail, State: statement.TxFailed}}
}

// coordinatorOf returns the group whose owner coordinates the customer's tokens.
func coordinatorOf(c *catalog.Catalog, customer string) upstream.GroupID {
	ids := c.GroupIDs()
	if len(ids) == 0 {
		return ""
	}
	return ids[quota.CoordinatorIndex(customer, len(ids))]
}
