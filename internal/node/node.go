// Package node runs one proxy instance of a fleet whose shared state is in the platform's key-value store. It watches the store,
// claims database groups under a lease, verifies that the callers' keys are current, serves callers and peers, and shuts down
// gracefully. It is used on the Kestrel Grid platform; package daemon runs the instances of celerystepd.
package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/boottime"
	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/discovery"
	"github.com/celerystep/celerystep/internal/fanout"
	"github.com/celerystep/celerystep/internal/fleetlink"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/intake"
	"github.com/celerystep/celerystep/internal/owner"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/upstream"
	"github.com/celerystep/celerystep/internal/usage"
)

// Settings configure a node.
type Settings struct {
	Instance instance.ID
	Process  string
	Domain   instance.FailureDomain
	// PeerAddress is the address at which other instances reach this one. It is published in claims.
	PeerAddress string
	// Cores is the CPU capacity of the instance in cores; 0 when unknown.
	Cores float64
	// FirstStart is true when the whole fleet starts for the first time.
	FirstStart bool
	// KeyMaxAge bounds the age of the last verification of the keys; 0 means that keys need not be verified.
	KeyMaxAge time.Duration
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
}

// Options holds the settings and dependencies of a node.
type Options struct {
	Settings Settings
	Store    Store
	Decoder  Decoder
	Clock    boottime.Clock
	Log      hclog.Logger
	Metrics  *Metrics
	// ClientBudget accounts for the bytes of clients within ClientLimits; nil for no limits.
	ClientBudget *intake.Budget
	ClientLimits intake.Limits
	// Owner holds the options of the owner manager. New sets the fields that the node provides itself.
	Owner owner.Options
	// Usage is nil if the usage is not reported.
	Usage *UsageOptions
}

// Node is one running instance.
type Node struct {
	opts  Options
	Owner *owner.Manager
	Peers *fleetlink.Peers
	// Usage counts and reports the usage; nil if it is not reported.
	Usage *usage.Reporter

	catalog    atomic.Pointer[catalog.Catalog]
	domainsOut atomic.Pointer[map[instance.FailureDomain]bool]
	// keysVerifiedAt is the time in Unix nanoseconds of the request by which the configuration was last found current.
	keysVerifiedAt atomic.Int64
	// leaseValidUntil is the time in Unix nanoseconds until which decisions may rely on the lease.
	leaseValidUntil atomic.Int64
	// leaseEnd is the latest value that leaseValidUntil had.
	leaseEnd atomic.Int64
	// ownershipGained wakes watchMembers when this process becomes the owner of a group.
	ownershipGained chan struct{}
	// watchesMembers is true while watchMembers keeps the members current.
	watchesMembers atomic.Bool
	// membersCompleteAt is the time in Unix nanoseconds from which the known members are all that live.
	membersCompleteAt atomic.Int64
	// memberExpiry wakes runMemberExpiry.
	memberExpiry chan struct{}
	// announce wakes runAnnouncements.
	announce chan struct{}
	// era is the present era of the store's data, eraKnown is true once it has been learned. restored wakes runSettling.
	era      atomic.Uint64
	eraKnown atomic.Bool
	restored chan struct{}
	// restoredUntil is the time in Unix nanoseconds until which the store's content may be older than what is known.
	restoredUntil atomic.Int64
	// storeLostAt is the time in Unix nanoseconds at which the connection to the store was lost; 0 while connected.
	storeLostAt atomic.Int64
	draining    atomic.Bool
	// slow is true while the machine is measurably slow.
	slow atomic.Bool
	// replan wakes runPlanner.
	replan     chan struct{}
	configRead sharedCall
	claimRead  sharedCall

	// operators and ownership are the copies of the shared entries that this instance passes on when it is a reader.
	operators, ownership *fanout.Copy
	// shared reads the shared entries, from the store or from a reader.
	shared *fanout.Source
	// readers is the current choice of readers.
	readers atomic.Pointer[fanout.Route]
	// becameReader wakes runKeyVerification when this instance becomes a reader.
	becameReader chan struct{}

	// claims is an immutable copy of the planner's claims for lock-free readers.
	claims atomic.Pointer[claimTable]

	mu      sync.Mutex
	planner *ownership.Planner
	// claimsDirty is true while the planner has changes that are not in the claim table.
	claimsDirty bool
	// verifiedRevision is the revision of the store up to which changes of the configuration are known.
	verifiedRevision uint64
	directory        *discovery.Directory
	lease            platform.LeaseID
	ttl              time.Duration
	livenessWritten  livenessRecord
	// configBehind is true while the store holds an older version of the configuration than the one in force.
	configBehind bool
	// configRewritten is true once operators have written the configuration in force again in the present era.
	configRewritten bool
	// synced holds the revision up to which the changes below each prefix have been passed on by its mirror.
	synced map[string]uint64
	// announcements are the claims to announce to earlier owners.
	announcements []announcement
	// coordinatorLost is true for groups whose last request for rate-limit tokens to the owner failed.
	coordinatorLost map[upstream.GroupID]bool
}

// New returns a node; Run starts it.
func New(opts Options) *Node {
	n := &Node{
		opts:            opts,
		Peers:           fleetlink.NewPeers(opts.Clock),
		replan:          make(chan struct{}, 1),
		ownershipGained: make(chan struct{}, 1),
		becameReader:    make(chan struct{}, 1),
		planner: ownership.NewPlanner(ownership.Self{
			Instance: opts.Settings.Instance, Process: opts.Settings.Process, Cores: opts.Settings.Cores, FirstStart: opts.Settings.FirstStart,
		}),
		memberExpiry: make(chan struct{}, 1),
		announce:     make(chan struct{}, 1),
		restored:     make(chan struct{}, 1),
		directory:    discovery.New(),
		synced:       make(map[string]uint64),

		operators: fanout.NewCopy(),
		ownership: fanout.NewCopy(),

		coordinatorLost: make(map[upstream.GroupID]bool),
	}
	n.opts.Store = newStoreMonitor(opts.Store, n.storeStateChanged, n.learnEra)
	if opts.Metrics != nil {
		n.Peers.Traffic = &fleetlink.Traffic{Bytes: opts.Metrics.PeerBytes, DomainLabel: n.domainLabel}
	}
	n.claims.Store(&claimTable{changed: make(chan struct{}), delegates: newDelegateTable(nil)})
	n.catalog.Store(catalog.New(0, 0))
	n.domainsOut.Store(&map[instance.FailureDomain]bool{})
	n.readers.Store(&fanout.Route{})
	n.shared = fanout.NewSource(n.opts.Store, n.Peers, func() fanout.Route { return *n.readers.Load() }, opts.Clock, opts.Log.Named("fanout"), rand.Float64)
	opts.Owner.Authority = n
	opts.Owner.Tokens = n
	opts.Owner.Lender = n
	opts.Owner.Catalog = n.Catalog
	opts.Owner.CatchUp = n.CatchUp
	opts.Owner.RenewClaim = n.renewClaim
	opts.Owner.SuccessionPeriod = opts.Settings.successionPeriod()
	opts.Owner.Clock = opts.Clock
	opts.Owner.Domain = opts.Settings.Domain
	n.Owner = owner.NewManager(opts.Owner)
	n.Usage = newUsageReporter(n)
	return n
}

// Catalog returns the active configuration. It is empty, with revision 0, until the first one has been read.
func (n *Node) Catalog() *catalog.Catalog { return n.catalog.Load() }

// Leased implements owner.Authority. It reports whether the claim is current and covered by a valid lease.
func (n *Node) Leased(claim ownership.Claim) bool {
	if n.opts.Clock().UnixNano() >= n.leaseValidUntil.Load() {
		return false
	}
	return n.claims.Load().get(claim.Group).Revision == claim.Revision
}

// DomainOut implements owner.Authority.
func (n *Node) DomainOut(d instance.FailureDomain) bool { return (*n.domainsOut.Load())[d] }

// Current implements caller.Claims. If a group has no claim, it returns the last one, so that requests reach the previous owner
// until there is a new one.
func (n *Node) Current(g upstream.GroupID) (ownership.Claim, bool, <-chan struct{}) {
	t := n.claims.Load()
	c, ok := t.claims[g]
	if !ok {
		c = t.last[g]
	}
	return c, n.ownsClaim(c), t.changed
}

// OwnerRefused implements caller.Claims.
func (n *Node) OwnerRefused(c ownership.Claim, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock()
	if n.planner.MarkOwnerRefused(c.Group, c.Revision, at, now) {
		n.opts.Log.Info("the owner refuses connections", "group", c.Group, "owner", c.Owner, "claim", c.Revision, "age", now.Sub(at))
		n.triggerPlanner()
	}
}

// TakeTokens implements owner.TokenSource.
func (n *Node) TakeTokens(ctx context.Context, g upstream.GroupID, requests []owner.TokenRequest) []owner.TokenRequest {
	claim, owned, _ := n.Current(g)
	if owned {
		grants, _ := n.Owner.Grant(g, requests)
		return grants
	}
	if claim.Address == "" {
		return nil
	}
	grants, err := n.Peers.At(claim.Address).TakeTokens(ctx, g, requests)
	n.logCoordinatorState(g, claim, err)
	return grants
}

// logCoordinatorState logs when the coordinator of a group becomes unavailable or available again.
func (n *Node) logCoordinatorState(g upstream.GroupID, claim ownership.Claim, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if lost := err != nil; n.coordinatorLost[g] != lost {
		n.coordinatorLost[g] = lost
		n.opts.Log.Info("rate limit coordinator", "group", g, "owner", claim.Owner, "claim", claim.Revision, "lost", lost, "error", err)
	}
}

// Ready reports whether the instance should receive new connections, and the reason if not.
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
	// storeOutageLimit is how long the store may be unavailable before the instance reports that it is not ready.
	storeOutageLimit = 2500 * time.Millisecond
	// startupTimeout is how long a new process with a configuration waits for every group to have an owner before it reports that
	// it is ready.
	startupTimeout = 4 * time.Second
)

// triggerPlanner wakes runPlanner.
func (n *Node) triggerPlanner() {
	select {
	case n.replan <- struct{}{}:
	default:
	}
}

// claimTable is an immutable snapshot of the known claims.
type claimTable struct {
	claims map[upstream.GroupID]ownership.Claim
	// last holds the most recent claim of each group, including removed ones.
	last map[upstream.GroupID]ownership.Claim
	// changed is closed when the table is replaced.
	changed   chan struct{}
	delegates *delegateTable
}

func (t *claimTable) get(g upstream.GroupID) ownership.Claim { return t.claims[g] }

// publishClaims replaces the claim table if there are unpublished changes and wakes its waiters. It is called once per batch of
// events, because a copy per event would take quadratic time in the number of groups. The caller holds n.mu.
func (n *Node) publishClaims() {
	if !n.claimsDirty {
		return
	}
	n.claimsDirty = false
	next := &claimTable{claims: n.planner.Claims(), last: n.planner.LastClaims(), changed: make(chan struct{})}
	next.delegates = newDelegateTable(next.claims)
	close(n.claims.Swap(next).changed)
	n.chooseReaders(next)
	n.triggerPlanner()
}
