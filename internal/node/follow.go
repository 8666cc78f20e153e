package node

import (
	"context"
	"maps"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/owner"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/revision"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Apply implements mirror.Sink.
func (n *Node) Apply(events []mirror.Event, at mirror.SyncPoint) {
	n.learnEra(at.Revision)
	n.recordSync(at)
	c := n.copyOf(at.Prefix)
	complete := c == nil || c.Apply(events, at)
	n.applyEvents(events)
	n.recordVerification(at)
	if !complete && at.Prefix == n.opts.Decoder.Prefixes().Operators {
		n.restartVerification()
	}
}

// recordSync records that the changes up to a sync point are about to be applied.
func (n *Node) recordSync(at mirror.SyncPoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.synced[at.Prefix] = max(n.synced[at.Prefix], at.Revision)
}

// applyEvents applies events in order and publishes the resulting claim table once.
func (n *Node) applyEvents(events []mirror.Event) {
	if len(events) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	touched := make(map[upstream.GroupID]bool)
	for _, e := range events {
		n.applyEvent(e, touched)
	}
	n.updateOwnerMembers(touched)
	n.publishClaims()
	n.triggerPlanner()
}

// Reset implements mirror.Sink. Known entries that are not listed have been deleted.
func (n *Node) Reset(entries []mirror.Entry, at mirror.SyncPoint) {
	n.learnEra(at.Revision)
	n.recordSync(at)
	if c := n.copyOf(at.Prefix); c != nil {
		c.Reset(entries, at)
	}
	n.mu.Lock()
	n.replacePrefix(at.Prefix, entries, make(map[upstream.GroupID]bool))
	n.mu.Unlock()
	n.recordVerification(at)
}

// replacePrefix applies the complete list of entries below a prefix and drops known entries that are not listed. touched holds the
// groups whose members have changed already. The caller holds n.mu.
func (n *Node) replacePrefix(prefix string, entries []mirror.Entry, touched map[upstream.GroupID]bool) {
	listed := make(map[upstream.MemberID]bool)
	claimed := make(map[upstream.GroupID]bool)
	alive := make(map[ownership.Process]bool)
	domainsOut := make(map[instance.FailureDomain]bool)
	for _, e := range entries {
		c, ok := n.applyEvent(mirror.Event{Entry: e}, touched)
		switch {
		case !ok:
		case c.Member != nil:
			listed[c.Member.ID] = true
		case c.Claim != nil:
			claimed[c.Claim.Claim.Group] = true
		case c.Process != nil:
			alive[c.Process.Process] = true
		case c.Domain != nil:
			domainsOut[c.Domain.Domain] = c.Domain.Out
		}
	}
	switch prefixes := n.opts.Decoder.Prefixes(); prefix {
	case prefixes.Members:
		n.dropMembers(listed, touched)
	case prefixes.Ownership:
		n.dropClaims(claimed)
		n.planner.SetAliveProcesses(alive, n.opts.Clock())
		n.claimsDirty = true
	case prefixes.Operators:
		if n.settling() {
			maps.Copy(domainsOut, *n.domainsOut.Load())
		}
		n.domainsOut.Store(&domainsOut)
	}
	n.updateOwnerMembers(touched)
	n.publishClaims()
	n.triggerPlanner()
}

// dropClaims removes the claims that are not listed. The caller holds n.mu.
func (n *Node) dropClaims(listed map[upstream.GroupID]bool) {
	for id := range n.planner.LastClaims() {
		if !listed[id] && n.planner.Claim(id).Owner != "" {
			n.applyClaim(ClaimChange{Claim: ownership.Claim{Group: id}, Removed: true})
		}
	}
}

// applyEvent decodes and applies one event. It adds the groups whose members changed to touched. The caller holds n.mu.
func (n *Node) applyEvent(e mirror.Event, touched map[upstream.GroupID]bool) (Change, bool) {
	c, ok := n.opts.Decoder.Decode(e)
	if !ok {
		return c, false
	}
	switch {
	case c.Catalog != nil:
		n.applyCatalog(c.Catalog)
	case c.Member != nil:
		n.applyMember(*c.Member, e.Deleted, touched)
	case c.Domain != nil:
		n.applyDomain(*c.Domain)
	case c.Claim != nil:
		n.applyClaim(*c.Claim)
	case c.Process != nil:
		n.applyProcess(*c.Process)
	}
	return c, true
}

// applyCatalog activates a configuration unless a newer one is active. After a return from an older copy the store may hold an earlier
// version, or the one in force at a new revision. The caller holds n.mu.
func (n *Node) applyCatalog(c *catalog.Catalog) {
	old := n.Catalog()
	if c.Revision <= old.Revision {
		return
	}
	n.configBehind = old.Revision != 0 && c.Version < old.Version
	if n.configBehind {
		n.opts.Log.Warn("the store holds an older configuration than the one in force", "version", c.Version, "revision", c.Revision, "in_force", old.Version)
		return
	}
	if c.Version == old.Version && revision.Number(c.Revision) != revision.Number(old.Revision) {
		n.configRewritten = true
	}
	n.catalog.Store(c)
	n.planner.SetGroups(c.GroupIDs(), n.opts.Clock())
	n.opts.Log.Info("configuration in force", "version", c.Version, "revision", c.Revision, "before", old.Version,
		"routes", len(c.Routes), "groups", len(c.Groups))
	n.claimsDirty = true
}

// applyDomain records that operators took a failure domain out or brought it back. The caller holds n.mu.
func (n *Node) applyDomain(c DomainChange) {
	if !c.Out && n.settling() {
		n.opts.Log.Info("failure domain stays out until the store's content has settled", "domain", c.Domain)
		return
	}
	domainsOut := maps.Clone(*n.domainsOut.Load())
	domainsOut[c.Domain] = c.Out
	n.domainsOut.Store(&domainsOut)
	n.opts.Log.Info("failure domain", "domain", c.Domain, "out", c.Out)
}

// applyClaim applies a change of a group's owner: it acquires or releases the group if this process is concerned. The caller holds
// n.mu.
func (n *Node) applyClaim(c ClaimChange) {
	id := c.Claim.Group
	now := n.opts.Clock()
	if c.Removed {
		n.opts.Log.Info("claim removed", "group", id, "owner", n.planner.Claim(id).Owner)
		n.planner.Removed(id, now)
		n.claimsDirty = true
		return
	}
	if c.Claim.Revision <= n.planner.Claim(id).Revision {
		return
	}
	if !c.Claim.InForce() {
		n.opts.Log.Info("a claim is from an older copy of the store's data and not in force", "group", id, "owner", c.Claim.Owner, "claim", c.Claim.Revision)
		n.planner.Reappeared(c.Claim, leaseTTL, now)
		n.triggerPlanner()
		return
	}
	n.planner.SetClaim(c.Claim, now)
	n.opts.Log.Info("claim", "group", id, "owner", c.Claim.Owner, "process", c.Claim.Process, "claim", c.Claim.Revision)
	if n.ownsClaim(c.Claim) {
		for _, m := range n.Owner.Members(id) {
			n.logMember(m)
		}
		n.acquire(c.Claim)
		select {
		case n.ownershipGained <- struct{}{}:
		default:
		}
	} else {
		n.Owner.Release(id, "another instance owns the group")
	}
	n.claimsDirty = true
}

// applyProcess records that the liveness key of a process was written or has expired. The caller holds n.mu.
func (n *Node) applyProcess(c ProcessChange) {
	if !c.Alive {
		n.opts.Log.Info("liveness key expired", "instance", c.Process.Instance, "process", c.Process.ID)
	}
	n.planner.SetAlive(c.Process, c.Alive, n.opts.Clock())
	n.claimsDirty = true
}

// ownsClaim reports whether the claim is one of this process.
func (n *Node) ownsClaim(c ownership.Claim) bool {
	return c.Owner == n.opts.Settings.Instance && c.Process == n.opts.Settings.Process
}

// onConnectionChange records when the watch of the configuration lost or regained its connection to the store.
func (n *Node) onConnectionChange(ok bool) {
	if ok {
		n.storeLostAt.Store(0)
		return
	}
	n.storeLostAt.CompareAndSwap(0, n.opts.Clock().UnixNano())
}

// ClaimLearned implements caller.Claims. The previous owner of a group often knows the next one before the watch does.
func (n *Node) ClaimLearned(c ownership.Claim) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyClaim(ClaimChange{Claim: c})
	n.publishClaims()
}

// peerService serves the calls of other instances. It implements fleetlink.Local.
type peerService struct {
	*owner.Manager
	node *Node
}

// Run implements operation.Runner. When this instance does not own the group, it tells who does.
func (s peerService) Run(ctx context.Context, r *operation.Request) operation.Response {
	resp := s.Manager.Run(ctx, r)
	if !resp.NotOwner {
		return resp
	}
	if c, mine, _ := s.node.Current(r.Group); !mine {
		resp.Owner = c
	}
	return resp
}

// ClaimDoubted implements caller.Claims. It reads the claim from the store, because a watch on a stalled connection delivers
// nothing for half a minute. Concurrent callers share one read.
func (n *Node) ClaimDoubted(ctx context.Context, c ownership.Claim) {
	if known, _, _ := n.Current(c.Group); known.Revision != c.Revision {
		return
	}
	n.claimRead.do(ctx, func() error {
		e, _, err := n.opts.Store.Get(context.Background(), n.opts.Decoder.ClaimKey(c.Group))
		switch {
		case errors.Is(err, platform.ErrNotFound):
			return errUnchanged
		case err != nil:
			n.opts.Log.Warn("could not read a claim", "group", c.Group, "have", c.Revision, "error", err)
			return err
		case e.Revision <= c.Revision:
			return errUnchanged
		}
		n.opts.Log.Info("the watch missed a change of a claim", "group", c.Group, "have", c.Revision, "found", e.Revision)
		n.applyEntries([]mirror.Entry{e})
		return nil
	})
}

// errUnchanged makes a sharedCall back off after a read that returned the known claim.
var errUnchanged = errors.New("the claim has not changed")

const (
	// configBatchDelay is how long changes of the configuration are batched.
	configBatchDelay = 500 * time.Millisecond
	// configRelistInterval is the pause between two reads while the configuration keeps changing. A new configuration must be in
	// force within three seconds.
	configRelistInterval = 1500 * time.Millisecond
	// claimBatchDelay is how long changes of claims and liveness keys are batched; several of them often change together.
	claimBatchDelay = 60 * time.Millisecond
	// startupBatchDelay replaces claimBatchDelay while a process is new. It is shorter than the time between two rounds of
	// ownership.Planner, so that instances know what others have claimed in the previous round.
	startupBatchDelay = 200 * time.Millisecond
)
