package node

import (
	"context"
	"maps"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Apply implements mirror.Sink.
func (n *Node) Apply(events []mirror.Event, at mirror.SyncPoint) {
	n.take(events)
	n.proven(at)
}

// take applies changes in order, and publishes what follows from them once.
func (n *Node) take(events []mirror.Event) {
	if len(events) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	touched := make(map[upstream.GroupID]bool)
	for _, e := range events {
		n.apply(e, touched)
	}
	n.tellMembers(touched)
	n.publish()
	n.signal()
}

// Reset implements mirror.Sink. What is known and not listed has ended.
func (n *Node) Reset(entries []mirror.Entry, at mirror.SyncPoint) {
	n.replace(at.Prefix, entries)
	n.proven(at)
}

// replace takes the complete content below a prefix.
func (n *Node) replace(prefix string, entries []mirror.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	touched := make(map[upstream.GroupID]bool)
	listed := make(map[upstream.MemberID]bool)
	claimed := make(map[upstream.GroupID]bool)
	alive := make(map[ownership.Process]bool)
	out := make(map[instance.FailureDomain]bool)
	for _, e := range entries {
		c, ok := n.apply(mirror.Event{Entry: e}, touched)
		switch {
		case !ok:
		case c.Member != nil:
			listed[c.Member.ID] = true
		case c.Claim != nil:
			claimed[c.Claim.Claim.Group] = true
		case c.Process != nil:
			alive[c.Process.Process] = true
		case c.Domain != nil:
			out[c.Domain.Domain] = c.Domain.Out
		}
	}
	switch prefixes := n.o.Decoder.Prefixes(); prefix {
	case prefixes.Members:
		n.dropMembers(listed, touched)
	case prefixes.Ownership:
		n.dropClaims(claimed)
		n.planner.SetAliveProcesses(alive, n.o.Clock())
		n.unpublished = true
	case prefixes.Operators:
		n.out.Store(&out)
	}
	n.tellMembers(touched)
	n.publish()
	n.signal()
}

// dropMembers forgets the members that are not listed. The node is locked.
func (n *Node) dropMembers(listed map[upstream.MemberID]bool, touched map[upstream.GroupID]bool) {
	for id, m := range n.members {
		if !listed[id] {
			touched[m.Group] = true
			delete(n.members, id)
			n.o.Log.Info("member gone", "member", id, "group", m.Group)
		}
	}
}

// dropClaims forgets the claims that are not listed. The node is locked.
func (n *Node) dropClaims(listed map[upstream.GroupID]bool) {
	for id := range n.planner.LastClaims() {
		if !listed[id] && n.planner.Claim(id).Owner != "" {
			n.applyClaim(ClaimChange{Claim: ownership.Claim{Group: id}, Removed: true})
		}
	}
}

// followMembers follows the members while this instance owns a group, and for a while after.
func (n *Node) followMembers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.owning:
		}
		follow, stop := context.WithCancel(ctx)
		m := &mirror.Mirror{Source: n.o.Store, Prefix: n.o.Decoder.Prefixes().Members, Sink: n, Clock: n.o.Clock, Log: n.o.Log}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = m.Run(follow)
		}()
		for n.ownsAny() && sleep(ctx, membersLinger) {
		}
		stop()
		<-done
	}
}

func (n *Node) ownsAny() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.planner.OwnsAny()
}

// apply takes one event. The node is locked.
func (n *Node) apply(e mirror.Event, touched map[upstream.GroupID]bool) (Change, bool) {
	c, ok := n.o.Decoder.Decode(e)
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

// applyCatalog puts a configuration in force unless a newer one is. The node is locked.
func (n *Node) applyCatalog(c *catalog.Catalog) {
	old := n.Catalog()
	if c.Revision <= old.Revision {
		return
	}
	n.catalog.Store(c)
	n.planner.SetGroups(c.GroupIDs(), n.o.Clock())
	n.o.Log.Info("configuration in force", "version", c.Version, "revision", c.Revision, "before", old.Version,
		"routes", len(c.Routes), "groups", len(c.Groups))
	n.unpublished = true
}

func (n *Node) applyMember(c MemberChange, touched map[upstream.GroupID]bool) {
	old, known := n.members[c.ID]
	if known {
		touched[old.Group] = true
	}
	if c.Member == nil {
		delete(n.members, c.ID)
		if known {
			n.o.Log.Info("member gone", "member", c.ID, "group", old.Group)
		}
		return
	}
	n.members[c.ID] = *c.Member
	touched[c.Member.Group] = true
	changed := !known || old.Role != c.Member.Role || old.Leaving != c.Member.Leaving || old.Born != c.Member.Born
	if changed && n.mine(n.planner.Claim(c.Member.Group)) {
		n.logMember(*c.Member)
	}
}

// logMember logs a member of an owned group: nothing is decided on those of other groups.
func (n *Node) logMember(m member.Member) {
	n.o.Log.Info("member", "member", m.ID, "group", m.Group, "domain", m.Domain, "role", m.Role,
		"leaving", m.Leaving, "born", m.Born, "slots", m.Slots)
}

func (n *Node) applyDomain(c DomainChange) {
	out := maps.Clone(*n.out.Load())
	out[c.Domain] = c.Out
	n.out.Store(&out)
	n.o.Log.Info("failure domain", "domain", c.Domain, "out", c.Out)
}

// applyClaim follows the ownership of a group. The node is locked.
func (n *Node) applyClaim(c ClaimChange) {
	id := c.Claim.Group
	now := n.o.Clock()
	if c.Removed {
		n.o.Log.Info("claim removed", "group", id, "owner", n.planner.Claim(id).Owner)
		n.planner.Removed(id, now)
		n.unpublished = true
		return
	}
	if c.Claim.Revision <= n.planner.Claim(id).Revision {
		return
	}
	n.planner.SetClaim(c.Claim, now)
	n.o.Log.Info("claim", "group", id, "owner", c.Claim.Owner, "process", c.Claim.Process, "claim", c.Claim.Revision)
	if n.mine(c.Claim) {
		for _, m := range n.Owner.Members(id) {
			n.logMember(m)
		}
		n.Owner.Acquire(context.Background(), c.Claim, n.planner.Reclaimed(id))
		select {
		case n.owning <- struct{}{}:
		default:
		}
	} else {
		n.Owner.Release(id, "another instance owns the group")
	}
	n.unpublished = true
}

// applyProcess follows the signs of life of the owners. The node is locked.
func (n *Node) applyProcess(c ProcessChange) {
	if !c.Alive {
		n.o.Log.Info("sign of life lapsed", "instance", c.Process.Instance, "process", c.Process.ID)
	}
	n.planner.SetAlive(c.Process, c.Alive, n.o.Clock())
	n.unpublished = true
}

func (n *Node) mine(c ownership.Claim) bool {
	return c.Owner == n.o.Settings.Instance && c.Process == n.o.Settings.Process
}

// tellMembers gives the members of the groups to the owner. The node is locked.
func (n *Node) tellMembers(touched map[upstream.GroupID]bool) {
	if len(touched) == 0 {
		return
	}
	lists := make(map[upstream.GroupID][]member.Member, len(touched))
	near := make(map[upstream.GroupID]bool)
	for _, m := range n.members {
		if !touched[m.Group] {
			continue
		}
		lists[m.Group] = append(lists[m.Group], m)
		if m.Role == upstream.RolePrimary && m.Domain == n.o.Settings.Domain {
			near[m.Group] = true
		}
	}
	for id := range touched {
		n.planner.SetLocalPrimary(id, near[id])
		n.Owner.SetMembers(id, lists[id])
	}
}

// connected follows the state of the watch.
func (n *Node) connected(ok bool) {
	if ok {
		n.lostAt.Store(0)
		return
	}
	n.lostAt.CompareAndSwap(0, n.o.Clock().UnixNano())
}

// ClaimDoubted implements caller.Claims. A watch whose connection went silent tells nothing for half a minute, so that the
// claim is read; callers share one reading.
func (n *Node) ClaimDoubted(ctx context.Context, c ownership.Claim) {
	if known, _, _ := n.Current(c.Group); known.Revision != c.Revision {
		return
	}
	n.doubting.do(ctx, func() error {
		e, _, err := n.o.Store.Get(context.Background(), n.o.Decoder.ClaimKey(c.Group))
		switch {
		case errors.Is(err, platform.ErrNotFound):
			return errNoNews
		case err != nil:
			n.o.Log.Warn("could not read a claim", "group", c.Group, "have", c.Revision, "error", err)
			return err
		case e.Revision <= c.Revision:
			return errNoNews
		}
		n.o.Log.Info("a claim had changed without notice", "group", c.Group, "have", c.Revision, "found", e.Revision)
		n.learn([]mirror.Entry{e})
		return nil
	})
}

// errNoNews makes a flight pause after a reading that brought nothing new.
var errNoNews = errors.New("nothing has changed")

const (
	// membersLinger is how often it is asked whether the members are still of interest.
	membersLinger = 10 * time.Second
	// configGather is how long changes of the configuration are gathered.
	configGather = 500 * time.Millisecond
	// configSeriesGather is the pause between two readings while the configuration changes again and again: the next one must
	// be in force within three seconds.
	configSeriesGather = 1500 * time.Millisecond
	// claimGather is the same for claims and signs of life, several of which often change together.
	claimGather = 60 * time.Millisecond
	// startGather is the same while a process is new: less than the time between two turns of ownership.Planner, so that
	// instances know what others have claimed.
	startGather = 200 * time.Millisecond
)
