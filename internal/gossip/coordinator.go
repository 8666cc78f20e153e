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
	// decisionInterval is the interval between decision rounds when nothing changes. Backoffs and turns expire with
	// time alone, so they are only noticed then.
	decisionInterval = 250 * time.Millisecond
	// acquireTimeout is the timeout of a claim of a group.
	acquireTimeout = 5 * time.Second
	// releaseTimeout bounds the drain of transactions of a group that moves; it is above the default drain timeout of
	// 30 s.
	releaseTimeout = 40 * time.Second
)

// HomeManager runs the homes of groups on this instance.
type HomeManager interface {
	// Acquire claims the group. If a majority of its members accepted, it announces the home through
	// Service.AnnounceHome before it returns. It uses the handover as documented at homes.Handover. Acquiring a group
	// that this process already holds succeeds.
	Acquire(ctx context.Context, g upstream.GroupID, h homes.Handover) error
	// Release stops accepting requests, drains transactions until ctx ends and returns the state that the next home
	// needs. The group is not owned afterwards, even if Release returns an error.
	Release(ctx context.Context, g upstream.GroupID) (homes.Handover, error)
	// Owned returns the groups whose home is this process, confirmed or not.
	Owned() []upstream.GroupID
}

// CoordinatorOptions configure a Coordinator. All but OnDecision are required.
type CoordinatorOptions struct {
	Service *Service
	Manager HomeManager
	// Config returns the configuration in force, or nil if there is none.
	Config func() *config.Snapshot
	Log    hclog.Logger
	Seed   uint64
	// OnDecision is called when an action ends, for the audit trail. err is nil if it succeeded.
	OnDecision func(d homes.Decision, err error)
}

// Coordinator executes the decisions of homes.Planner about the homes of groups.
type Coordinator struct {
	opts CoordinatorOptions
	log  hclog.Logger
	self instance.ID
	wake chan struct{}

	mu        sync.Mutex
	planner   *homes.Planner
	last      observation
	acquiring map[upstream.GroupID]bool

	// expected is the first candidate of each group.
	expected atomic.Pointer[map[upstream.GroupID]instance.ID]
	actions  errgroup.Group
}

// observation is the input of the last planner update; an equal one needs no update.
type observation struct {
	members  uint64
	homes    uint64
	config   *config.Snapshot
	owned    []upstream.GroupID
	mayClaim bool
	self     instance.State
}

func (o observation) equal(p observation) bool {
	return o.members == p.members && o.homes == p.homes && o.config == p.config && o.mayClaim == p.mayClaim &&
		o.self == p.self && slices.Equal(o.owned, p.owned)
}

// NewCoordinator returns a coordinator for the service. It must be called before Service.Run.
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

// Run makes decisions until ctx ends, waits for running actions and returns nil.
func (c *Coordinator) Run(ctx context.Context) error {
	ticker := time.NewTicker(decisionInterval)
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

// round runs one decision round.
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
			c.announceStaleReleased(d)
			continue
		}
		c.actions.Go(func() error {
			c.execute(ctx, d)
			wake(c.wake)
			return nil
		})
	}
}

// observe updates the planner if its inputs changed.
func (c *Coordinator) observe(now time.Time) {
	view, snapshot := c.opts.Service.View(), c.opts.Config()
	owned := slices.Sorted(slices.Values(c.opts.Manager.Owned()))
	current := observation{
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

// groupsOf returns the configured groups with the failure domain of the primary that the home announced.
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

// candidatesOf returns the instances that may become homes.
func candidatesOf(view *membership.View, snapshot *config.Snapshot) []homes.Candidate {
	var candidates []homes.Candidate
	for _, m := range view.Live() {
		if !snapshot.DomainOut(m.Info.FailureDomain) {
			candidates = append(candidates, homes.Candidate{ID: m.ID, Domain: m.Info.FailureDomain})
		}
	}
	return candidates
}

// Yield moves a group to another instance because this one cannot reach a majority of the group's members (design page,
// section 6).
func (c *Coordinator) Yield(g upstream.GroupID) {
	c.mu.Lock()
	c.planner.Yield(time.Now(), g)
	c.mu.Unlock()
	wake(c.wake)
}

// Explain returns the decision that this instance would make about a group now, and its cause.
func (c *Coordinator) Explain(g upstream.GroupID) homes.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.Explain(time.Now(), g)
}

// Expected returns the first candidate for a group. Requests for a group without an announced or reachable home go
// there.
func (c *Coordinator) Expected(g upstream.GroupID) (instance.ID, bool) {
	all := c.expected.Load()
	if all == nil {
		return "", false
	}
	first, ok := (*all)[g]
	return first, ok
}

// Drain waits until this instance owns no group or ctx ends, and reports whether it owns none. Service.Leave must be
// called before.
func (c *Coordinator) Drain(ctx context.Context) bool {
	ticker := time.NewTicker(decisionInterval / 5)
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
