package node

import (
	"context"
	"maps"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/owner"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Apply implements mirror.Sink.
func (n *Node) Apply(events []mirror.Event, at mirror.SyncPoint) {
	c := n.copyOf(at.Prefix)
	complete := c == nil || c.Apply(events, at)
	n.applyEvents(events)
	n.recordVerification(at)
	if !complete && at.Prefix == n.opts.Decoder.Prefixes().Operators {
		n.restartVerification()
	}
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
	if c := n.copyOf(at.Prefix); c != nil {
		c.Reset(entries, at)
	}
	n.replacePrefix(at.Prefix, entries)
	n.recordVerification(at)
}

// replacePrefix applies the complete list of entries below a prefix and drops known entries that are not listed.
func (n *Node) replacePrefix(prefix string, entries []mirror.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	touched := make(map[upstream.GroupID]bool)
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
		n.domainsOut.Store(&domainsOut)
	}
	n.updateOwnerMembers(touched)
	n.publishClaims()
	n.triggerPlanner()
}

// dropMembers removes the members that are not listed. The caller holds n.mu.
func (n *Node) dropMembers(listed map[upstream.MemberID]bool, touched map[upstream.GroupID]bool) {
	for id, m := range n.members {
		if !listed[id] {
			touched[m.Group] = true
			delete(n.members, id)
			n.opts.Log.Info("member gone", "member", id, "group", m.Group)
		}
	}
}

// dropClaims removes the claims that are not listed. The caller holds n.mu.
func (n *Node) dropClaims(listed map[upstream.GroupID]bool) {
	for id := range n.planner.LastClaims() {
		if !listed[id] && n.planner.Claim(id).Owner != "" {
			n.applyClaim(ClaimChange{Claim: ownership.Claim{Group: id}, Removed: true})
		}
	}
}

// watchMembers watches the members while this instance owns a group and up to memberWatchLinger longer.
func (n *Node) watchMembers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.ownershipGained:
		}
		n.watchesMembers.Store(true)
		follow, stop := context.WithCancel(ctx)
		m := &mirror.Mirror{Source: n.opts.Store, Prefix: n.opts.Decoder.Prefixes().Members, Sink: n, Clock: n.opts.Clock, Log: n.opts.Log}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = m.Run(follow)
		}()
		for n.ownsAny() && ctxtime.Sleep(ctx, memberWatchLinger) {
		}
		n.watchesMembers.Store(false)
		stop()
		<-done
	}
}

func (n *Node) ownsAny() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.planner.OwnsAny()
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
		n.applyMember(*c.Member, touched)
	case c.Domain != nil:
		n.applyDomain(*c.Domain)
	case c.Claim != nil:
		n.applyClaim(*c.Claim)
	case c.Process != nil:
		n.applyProcess(*c.Process)
	}
	return c, true
}

// applyCatalog activates a configuration unless a newer one is active. The caller holds n.mu.
func (n *Node) applyCatalog(c *catalog.Catalog) {
	old := n.Catalog()
	if c.Revision <= old.Revision {
		return
	}
	n.catalog.Store(c)
	n.planner.SetGroups(c.GroupIDs(), n.opts.Clock())
	n.opts.Log.Info("configuration in force", "version", c.Version, "revision", c.Revision, "before", old.Version,
		"routes", len(c.Routes), "groups", len(c.Groups))
	n.claimsDirty = true
}

// applyMember adds, updates or removes a member. The caller holds n.mu.
func (n *Node) applyMember(c MemberChange, touched map[upstream.GroupID]bool) {
	old, known := n.members[c.ID]
	if known {
		touched[old.Group] = true
	}
	if c.Member == nil {
		delete(n.members, c.ID)
		if known {
			n.opts.Log.Info("member gone", "member", c.ID, "group", old.Group)
		}
		return
	}
	n.members[c.ID] = *c.Member
	touched[c.Member.Group] = true
	changed := !known || old.Role != c.Member.Role || old.Leaving != c.Member.Leaving || old.Born != c.Member.Born
	if changed && n.ownsClaim(n.planner.Claim(c.Member.Group)) {
		n.logMember(*c.Member)
	}
}

// logMember logs the state of a member of an owned group. Members of other groups do not matter to this instance.
func (n *Node) logMember(m member.Member) {
	n.opts.Log.Info("member", "member", m.ID, "group", m.Group, "domain", m.Domain, "role", m.Role,
		"leaving", m.Leaving, "born", m.Born, "slots", m.Slots)
}

// applyDomain records that operators took a failure domain out or brought it back. The caller holds n.mu.
func (n *Node) applyDomain(c DomainChange) {
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
	n.planner.SetClaim(c.Claim, now)
	n.opts.Log.Info("claim", "group", id, "owner", c.Claim.Owner, "process", c.Claim.Process, "claim", c.Claim.Revision)
	if n.ownsClaim(c.Claim) {
		for _, m := range n.Owner.Members(id) {
			n.logMember(m)
		}
		n.Owner.Acquire(context.Background(), c.Claim, n.planner.Reclaimed(id))
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

// updateOwnerMembers passes the members of the touched groups to the owner manager and the planner. The caller holds n.mu.
func (n *Node) updateOwnerMembers(touched map[upstream.GroupID]bool) {
	if len(touched) == 0 {
		return
	}
	lists := make(map[upstream.GroupID][]member.Member, len(touched))
	localPrimary := make(map[upstream.GroupID]bool)
	for _, m := range n.members {
		if !touched[m.Group] {
			continue
		}
		lists[m.Group] = append(lists[m.Group], m)
		if m.Role == upstream.RolePrimary && m.Domain == n.opts.Settings.Domain {
			localPrimary[m.Group] = true
		}
	}
	for id := range touched {
		n.planner.SetLocalPrimary(id, localPrimary[id])
		n.Owner.SetMembers(id, lists[id])
	}
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
	// memberWatchLinger is the interval between checks whether the members must still be watched.
	memberWatchLinger = 10 * time.Second
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
