// Package node runs one proxy instance of a fleet whose shared state lives in the platform's key-value store: it follows
// the store, takes and keeps claims on database groups, proves that keys are in force, serves callers and peers, and shuts
// down without cutting requests.
package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/boottime"
	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/fleetlink"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/owner"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Store is the key-value service. After an error that is none of package platform's a write may have taken effect.
type Store interface {
	mirror.Source
	// Get returns the entry, or platform.ErrNotFound, and the store's revision. The answer is linearizable, as those of Watch
	// and List are.
	Get(ctx context.Context, key string) (mirror.Entry, uint64, error)
	// Swap makes the writes, all or none, when each expected key has its revision. A *ConflictError says that one has not.
	CompareAndSwap(ctx context.Context, expected []Expected, writes []Write) (uint64, error)
	// Remove deletes the key when its revision equals expected.
	Remove(ctx context.Context, key string, expected uint64) error
	// Grant creates a lease and returns the time that applies.
	GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, time.Duration, error)
	KeepAlive(ctx context.Context, id platform.LeaseID) error
	EndLease(ctx context.Context, id platform.LeaseID) error
}

// Expected is a condition of Store.Swap. Revision 0 means that the key must be absent.
type Expected struct {
	Key      string
	Revision uint64
}

// Write is a value to be stored by Store.Swap, bound to the lease unless that is 0.
type Write struct {
	Key   string
	Value []byte
	Lease platform.LeaseID
}

// ConflictError reports that a condition of Store.Swap does not hold; nothing was written. It is platform.ErrConflict.
type ConflictError struct {
	// Current holds the entries of the conditions as they are; those that are absent are left out.
	Current []mirror.Entry
}

// Error implements error.
func (e *ConflictError) Error() string { return platform.ErrConflict.Error() }

// holds reports whether the key is among the entries.
func (e *ConflictError) holds(key string) bool {
	return slices.ContainsFunc(e.Current, func(c mirror.Entry) bool { return c.Key == key })
}

// Is reports that the error is platform.ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == platform.ErrConflict }

// Change is what an entry of the store says. Exactly one field is set.
type Change struct {
	Catalog *catalog.Catalog
	Member  *MemberChange
	Domain  *DomainChange
	Claim   *ClaimChange
	Process *ProcessChange
}

// ProcessChange is the appearance or the end of a process's sign of life.
type ProcessChange struct {
	Process ownership.Process
	Alive   bool
}

// MemberChange is the arrival, change or end of a member.
type MemberChange struct {
	ID upstream.MemberID
	// Member is nil when the entry names no member that can be used.
	Member *member.Member
}

// DomainChange takes a failure domain out or brings it back.
type DomainChange struct {
	Domain instance.FailureDomain
	Out    bool
}

// ClaimChange is a change of a group's claim.
type ClaimChange struct {
	Claim   ownership.Claim
	Removed bool
}

// Decoder reads entries of the store.
type Decoder interface {
	// Decode returns what the event says; false when it does not concern the proxy.
	Decode(e mirror.Event) (Change, bool)
	// ClaimKey returns the key of a group's claim, EncodeClaim its value.
	ClaimKey(g upstream.GroupID) string
	// ProcessKey returns the key of a process's sign of life; its value says nothing.
	LivenessKey(p ownership.Process) string
	EncodeClaim(c ownership.Claim) []byte
	// CatalogKey is the key of the configuration.
	CatalogKey() string
	// Prefixes are those of the operators' entries, of the claims with the signs of life, and of the members.
	Prefixes() Prefixes
}

// Prefixes tell where the entries of the store lie.
type Prefixes struct {
	Operators string
	Ownership string
	Members   string
}

// Settings configure a node.
type Settings struct {
	Instance instance.ID
	Process  string
	Domain   instance.FailureDomain
	// PeerAddress is told to the other instances.
	PeerAddress string
	// Cores is the processor time of the instance in cores; 0 when unknown.
	Cores float64
	// FirstStart is true when the whole fleet starts for the first time.
	FirstStart bool
	// KeyMaxAge is how old the proof may be that a key is in force; 0 when keys need no proof.
	KeyMaxAge time.Duration
	// Grace is the time from the order to stop until the process is killed.
	GracePeriod time.Duration
}

// Options are what a node needs.
type Options struct {
	Settings Settings
	Store    Store
	Decoder  Decoder
	Clock    boottime.Clock
	Log      hclog.Logger
	Metrics  *Metrics
	// Owner is completed by New.
	Owner owner.Options
}

// Node is one running instance.
type Node struct {
	opts  Options
	Owner *owner.Manager
	Peers *fleetlink.Peers

	catalog    atomic.Pointer[catalog.Catalog]
	domainsOut atomic.Pointer[map[instance.FailureDomain]bool]
	// keysAt is when the store was last asked for the configuration in force.
	keysVerifiedAt  atomic.Int64
	leaseValidUntil atomic.Int64
	ownershipGained chan struct{}
	storeLostAt     atomic.Int64
	draining        atomic.Bool
	slow            atomic.Bool
	replan          chan struct{}
	configRead      sharedCall
	claimRead       sharedCall

	// claims is replaced whenever a claim changes.
	claims atomic.Pointer[claimTable]

	mu      sync.Mutex
	planner *ownership.Planner
	// unpublished is true while the planner knows of changes that the table of claims does not have.
	claimsDirty bool
	// provenTo is the store's revision up to which the configuration is known.
	verifiedRevision uint64
	members          map[upstream.MemberID]member.Member
	lease            platform.LeaseID
	ttl              time.Duration
	livenessWritten  livenessRecord
	// coordinatorLost is true for groups whose owner did not answer the last request for tokens.
	coordinatorLost map[upstream.GroupID]bool
}

// New returns a node that is not running yet.
func New(opts Options) *Node {
	n := &Node{
		opts:            opts,
		Peers:           fleetlink.NewPeers(),
		replan:          make(chan struct{}, 1),
		ownershipGained: make(chan struct{}, 1),
		planner: ownership.NewPlanner(ownership.Self{
			Instance: opts.Settings.Instance, Process: opts.Settings.Process, Cores: opts.Settings.Cores, FirstStart: opts.Settings.FirstStart,
		}),
		members: make(map[upstream.MemberID]member.Member),

		coordinatorLost: make(map[upstream.GroupID]bool),
	}
	n.claims.Store(&claimTable{changed: make(chan struct{})})
	n.catalog.Store(catalog.New(0, 0))
	n.domainsOut.Store(&map[instance.FailureDomain]bool{})
	opts.Owner.Authority = n
	opts.Owner.Tokens = n
	opts.Owner.Catalog = n.Catalog
	opts.Owner.CatchUp = n.CatchUp
	opts.Owner.RenewClaim = n.renewClaim
	opts.Owner.Clock = opts.Clock
	opts.Owner.Domain = opts.Settings.Domain
	n.Owner = owner.NewManager(opts.Owner)
	return n
}

// Catalog returns the configuration in force.
func (n *Node) Catalog() *catalog.Catalog { return n.catalog.Load() }

// Leased implements owner.Authority.
func (n *Node) Leased(claim ownership.Claim) bool {
	if n.opts.Clock().UnixNano() >= n.leaseValidUntil.Load() {
		return false
	}
	return n.claims.Load().get(claim.Group).Revision == claim.Revision
}

// DomainOut implements owner.Authority.
func (n *Node) DomainOut(d instance.FailureDomain) bool { return (*n.domainsOut.Load())[d] }

// Current implements caller.Claims. An owner whose claim has ended is named until there is another one.
func (n *Node) Current(g upstream.GroupID) (ownership.Claim, bool, <-chan struct{}) {
	t := n.claims.Load()
	c, ok := t.claims[g]
	if !ok {
		c = t.last[g]
	}
	return c, n.ownsClaim(c), t.changed
}

// OwnerEnded implements caller.Claims.
func (n *Node) OwnerEnded(c ownership.Claim) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.planner.MarkOwnerDead(c.Group, c.Revision, n.opts.Clock()) {
		n.opts.Log.Info("the process that owns a group has ended", "group", c.Group, "owner", c.Owner, "claim", c.Revision)
		n.triggerPlanner()
	}
}

// TakeTokens implements owner.TokenSource.
func (n *Node) TakeTokens(ctx context.Context, g upstream.GroupID, wants []owner.TokenRequest) []owner.TokenRequest {
	claim, mine, _ := n.Current(g)
	if mine {
		grants, _ := n.Owner.Grant(g, wants)
		return grants
	}
	if claim.Address == "" {
		return nil
	}
	grants, err := n.Peers.At(claim.Address).TakeTokens(ctx, g, wants)
	n.logCoordinatorState(g, claim, err)
	return grants
}

// noteCoordinator logs the loss and the return of a coordinator once each.
func (n *Node) logCoordinatorState(g upstream.GroupID, claim ownership.Claim, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if lost := err != nil; n.coordinatorLost[g] != lost {
		n.coordinatorLost[g] = lost
		n.opts.Log.Info("coordinator of customers' rates", "group", g, "owner", claim.Owner, "claim", claim.Revision, "lost", lost, "error", err)
	}
}

// Ready reports whether the instance should get new connections, and if not, why.
func (n *Node) Ready() (bool, string) {
	c := n.Catalog()
	switch {
	case n.draining.Load():
		return false, "shutting down"
	case c.Revision == 0:
		return false, "no configuration yet"
	case n.slow.Load():
		return false, "the machine has become slow"
	}
	if at := n.storeLostAt.Load(); at != 0 && n.opts.Clock().UnixNano()-at > int64(storeOutageLimit) {
		return false, "the store is away"
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for g := range c.Groups {
		if (n.planner.Claim(g).Owner == "" || n.planner.Expired(g)) && n.storeLostAt.Load() == 0 && n.opts.Clock().Sub(n.planner.GroupsKnownSince()) < startupTimeout {
			return false, "a group has no owner yet"
		}
	}
	return true, ""
}

const (
	// storeLossLimit is how long the store may be away before new connections should go elsewhere.
	storeOutageLimit = 2500 * time.Millisecond
	// startLimit is how long a new process that has its configuration waits for every group to have an owner.
	startupTimeout = 4 * time.Second
)

func (n *Node) triggerPlanner() {
	select {
	case n.replan <- struct{}{}:
	default:
	}
}

// claimTable is an immutable copy of the known claims.
type claimTable struct {
	claims map[upstream.GroupID]ownership.Claim
	last   map[upstream.GroupID]ownership.Claim
	// changed is closed when the table is replaced.
	changed chan struct{}
}

func (t *claimTable) get(g upstream.GroupID) ownership.Claim { return t.claims[g] }

// publish replaces the table of claims if a change is waiting for that, and tells those who wait for one. A copy for each of
// many changes that come together would cost time with the square of the groups. The node is locked.
func (n *Node) publishClaims() {
	if !n.claimsDirty {
		return
	}
	n.claimsDirty = false
	next := &claimTable{claims: n.planner.Claims(), last: n.planner.LastClaims(), changed: make(chan struct{})}
	close(n.claims.Swap(next).changed)
	n.triggerPlanner()
}
