package gossip

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/homes"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/membership"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// decideInterval is the time between two rounds of decisions when nothing changes. Backoffs and turns end then.
	decideInterval = 250 * time.Millisecond
	// acquireTimeout bounds a claim of a group.
	acquireTimeout = 5 * time.Second
	// releaseTimeout bounds the end of the transactions of a group that moves; it is above the default drain of 30 s.
	releaseTimeout = 40 * time.Second
)

// HomeManager runs the homes of groups on this instance.
type HomeManager interface {
	// Acquire claims the group and, when a majority of its members accepted, announces the home through
	// Service.AnnounceHome before it returns. It uses the handover only as homes.Handover says. Acquiring a group that
	// this process holds already succeeds.
	Acquire(ctx context.Context, g upstream.GroupID, h homes.Handover) error
	// Release stops taking new requests, lets transactions finish until ctx ends and returns what the next home needs.
	// The group is not owned afterwards, also when it returns an error.
	Release(ctx context.Context, g upstream.GroupID) (homes.Handover, error)
	// Owned lists the groups whose home this process is, confirmed or not.
	Owned() []upstream.GroupID
}

// CoordinatorOptions configure a Coordinator. All but OnDecision are required.
type CoordinatorOptions struct {
	Service *Service
	Manager HomeManager
	// Config returns the configuration in force, or nil while there is none.
	Config func() *config.Snapshot
	Log    hclog.Logger
	Seed   uint64
	// OnDecision is told of each action when it ends, for the audit trail. err is nil when it succeeded.
	OnDecision func(d homes.Decision, err error)
}

// Coordinator carries out the decisions about the homes of groups.
type Coordinator struct {
	opts CoordinatorOptions
	log  hclog.Logger
	self instance.ID
	wake chan struct{}

	mu        sync.Mutex
	planner   *homes.Planner
	last      observed
	acquiring map[upstream.GroupID]bool

	// expected holds the first candidate of each group.
	expected atomic.Pointer[map[upstream.GroupID]instance.ID]
	actions  errgroup.Group
}

// observed is what the planner was last told; an equal observation needs no update.
type observed struct {
	members  uint64
	homes    uint64
	config   *config.Snapshot
	owned    []upstream.GroupID
	mayClaim bool
	self     instance.State
}

func (o observed) equal(p observed) bool {
	return o.members == p.members && o.homes == p.homes && o.config == p.config && o.mayClaim == p.mayClaim &&
		o.self == p.self && slices.Equal(o.owned, p.owned)
}

// NewCoordinator returns a coordinator for the service. It must be called before the service runs.
func NewCoordinator(o CoordinatorOptions) *Coordinator {
	c := &Coordinator{
		opts:      o,
		log:       o.Log.Named("homes"),
		self:      o.Service.opts.Self.ID,
		wake:      make(chan struct{}, 1),
		planner:   homes.NewPlanner(o.Service.opts.Self.ID, o.Seed),
		acquiring: make(map[upstream.GroupID]bool),
	}
	o.Service.Subscribe(Listener{View: func(*membership.View) { wake(c.wake) }})
	return c
}

// Run decides until ctx ends and waits for running actions. It returns nil then.
func (c *Coordinator) Run(ctx context.Context) error {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		c.round(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-c.wake:
		}
	}
	return c.actions.Wait()
}

// round makes one round of decisions.
func (c *Coordinator) round(ctx context.Context) {
	c.mu.Lock()
	now := time.Now()
	c.observe(now)
	decisions := c.planner.Decide(now)
	notices := c.planner.BlockedDecisions()
	c.mu.Unlock()
	for _, d := range notices {
		c.log.Info("home decision", d.Fields()...)
	}
	for _, d := range decisions {
		if d.Action == homes.ActionDisown {
			c.disown(d)
			continue
		}
		c.actions.Go(func() error {
			c.carryOut(ctx, d)
			wake(c.wake)
			return nil
		})
	}
}

// observe tells the planner what changed.
func (c *Coordinator) observe(now time.Time) {
	view, snapshot := c.opts.Service.View(), c.opts.Config()
	owned := slices.Sorted(slices.Values(c.opts.Manager.Owned()))
	current := observed{
		members:  view.MembersVersion,
		homes:    view.HomesVersion,
		config:   snapshot,
		owned:    owned,
		mayClaim: c.opts.Service.mayClaim.Load(),
		self:     view.Self.State,
	}
	if snapshot == nil || current.equal(c.last) {
		return
	}
	c.last = current
	c.planner.Update(now, homes.ClusterView{
		Groups:     groupsOf(view, snapshot),
		Candidates: candidatesOf(view, snapshot),
		Leaving:    view.Self.State >= instance.StateLeaving,
		DomainOut:  snapshot.DomainOut(view.Self.Info.FailureDomain),
		MayClaim:   current.mayClaim,
		Owned:      owned,
		State:      view.State,
		Home:       view.Home,
	})
	expected := c.planner.PreferredHomes()
	c.expected.Store(&expected)
}

// groupsOf lists the configured groups with the failure domain of the primary that the home announced.
func groupsOf(view *membership.View, snapshot *config.Snapshot) []homes.Group {
	configured := snapshot.Cluster().Groups
	groups := make([]homes.Group, 0, len(configured))
	for i := range configured {
		group := homes.Group{ID: configured[i].ID}
		home, _ := view.Home(group.ID)
		for _, m := range configured[i].Members {
			if m.ID == home.Primary {
				group.PrimaryDomain = m.FailureDomain
			}
		}
		groups = append(groups, group)
	}
	return groups
}

// candidatesOf lists the instances that may be homes.
func candidatesOf(view *membership.View, snapshot *config.Snapshot) []homes.Candidate {
	var candidates []homes.Candidate
	for _, m := range view.Live() {
		if !snapshot.DomainOut(m.Info.FailureDomain) {
			candidates = append(candidates, homes.Candidate{ID: m.ID, Domain: m.Info.FailureDomain})
		}
	}
	return candidates
}

// Yield gives a group to another instance because this one does not reach a majority of the group's members (design
// page, section 6).
func (c *Coordinator) Yield(g upstream.GroupID) {
	c.mu.Lock()
	c.planner.Yield(time.Now(), g)
	c.mu.Unlock()
	wake(c.wake)
}

// Explain returns what this instance would do about a group now, and why.
func (c *Coordinator) Explain(g upstream.GroupID) homes.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.Explain(time.Now(), g)
}

// Expected returns the instance that is first in the order of a group. It is where to ask for a group whose home is
// not announced or not reachable.
func (c *Coordinator) Expected(g upstream.GroupID) (instance.ID, bool) {
	all := c.expected.Load()
	if all == nil {
		return "", false
	}
	first, ok := (*all)[g]
	return first, ok
}

// Drain waits until this instance owns no group or ctx ends, and reports whether it owns none. Service.Leave must have
// been called.
func (c *Coordinator) Drain(ctx context.Context) bool {
	ticker := time.NewTicker(decideInterval / 5)
	defer ticker.Stop()
	for len(c.opts.Manager.Owned()) > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}
