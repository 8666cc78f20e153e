package node

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/upstream"
)

// memberWatchLinger is the interval between checks whether the members must still be watched.
const memberWatchLinger = 10 * time.Second

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

// loadMembers reads the members unless this process watches them already.
func (n *Node) loadMembers(ctx context.Context) error {
	if n.watchesMembers.Load() {
		return nil
	}
	prefix := n.opts.Decoder.Prefixes().Members
	entries, _, err := n.opts.Store.List(ctx, prefix)
	if err != nil {
		return errors.Wrap(err, "members")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	touched := make(map[upstream.GroupID]bool)
	n.directory.All(func(m member.Member) { touched[m.Group] = true })
	n.directory.Restart(n.opts.Clock())
	if at := n.directory.CompleteAt(); !at.IsZero() {
		n.membersCompleteAt.Store(at.UnixNano())
	}
	n.replacePrefix(prefix, entries, touched)
	return nil
}

// storeStateChanged records that the store has stopped or started to answer.
func (n *Node) storeStateChanged(failed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if failed {
		n.directory.StoreFailed()
		return
	}
	n.directory.StoreAnswered(n.opts.Clock())
	n.wakeMemberExpiry()
}

// MembersCompleteAt implements owner.Authority.
func (n *Node) MembersCompleteAt() time.Time { return time.Unix(0, n.membersCompleteAt.Load()) }

// applyMember adds, updates or removes a member. The caller holds n.mu.
func (n *Node) applyMember(c MemberChange, deleted bool, touched map[upstream.GroupID]bool) {
	old, known := n.directory.Get(c.ID)
	if known {
		touched[old.Group] = true
	}
	switch {
	case c.Member != nil:
		n.putMember(*c.Member, touched)
	case deleted:
		n.entryExpired(c.ID, touched)
	case known:
		n.directory.Remove(c.ID, n.opts.Clock())
		n.logGone(old)
	}
}

// putMember adds or updates a member. The caller holds n.mu.
func (n *Node) putMember(listed member.Member, touched map[upstream.GroupID]bool) {
	old, known := n.directory.Get(listed.ID)
	m, ok := n.directory.Put(listed, n.opts.Clock())
	if !ok {
		n.opts.Log.Info("ignoring the entry of a member that has left; the store's data is an older copy", "member", listed.ID, "group", listed.Group)
		return
	}
	touched[m.Group] = true
	changed := !known || old.Role != m.Role || old.Leaving != m.Leaving || old.Born != m.Born
	if changed && n.ownsClaim(n.planner.Claim(m.Group)) {
		n.logMember(m)
	}
}

// entryExpired applies that a member has no entry. The caller holds n.mu.
func (n *Node) entryExpired(id upstream.MemberID, touched map[upstream.GroupID]bool) {
	old, known := n.directory.Get(id)
	if !known {
		return
	}
	if n.directory.Expired(id, n.opts.Clock()) {
		n.opts.Log.Info("the entry of a member has expired while the store was away; it may come back", "member", id, "group", old.Group)
		n.wakeMemberExpiry()
		return
	}
	touched[old.Group] = true
	n.logGone(old)
}

// dropMembers applies that all members except the listed ones have no entry. The caller holds n.mu.
func (n *Node) dropMembers(listed map[upstream.MemberID]bool, touched map[upstream.GroupID]bool) {
	for _, m := range n.directory.Missing(listed) {
		n.entryExpired(m.ID, touched)
	}
}

// expireMembers drops the members whose entries have not come back in time. The caller holds n.mu.
func (n *Node) expireMembers() {
	touched := make(map[upstream.GroupID]bool)
	for _, m := range n.directory.Expire(n.opts.Clock()) {
		touched[m.Group] = true
		n.logGone(m)
	}
	n.updateOwnerMembers(touched)
}

// runMemberExpiry drops members whose entries have not come back in time, until ctx ends.
func (n *Node) runMemberExpiry(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		n.mu.Lock()
		n.expireMembers()
		next, pending := n.directory.NextExpiry()
		wait := time.Hour
		if pending {
			wait = max(next.Sub(n.opts.Clock()), time.Millisecond)
		}
		n.mu.Unlock()
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return nil
		case <-n.memberExpiry:
		case <-timer.C:
		}
	}
}

// wakeMemberExpiry wakes runMemberExpiry.
func (n *Node) wakeMemberExpiry() {
	select {
	case n.memberExpiry <- struct{}{}:
	default:
	}
}

func (n *Node) logGone(m member.Member) {
	n.opts.Log.Info("member gone", "member", m.ID, "group", m.Group)
}

// logMember logs the state of a member of an owned group. Members of other groups do not matter to this instance.
func (n *Node) logMember(m member.Member) {
	n.opts.Log.Info("member", "member", m.ID, "group", m.Group, "domain", m.Domain, "role", m.Role,
		"leaving", m.Leaving, "born", m.Born, "slots", m.Slots)
}

// updateOwnerMembers passes the members of the touched groups to the owner manager and the planner. The caller holds n.mu.
func (n *Node) updateOwnerMembers(touched map[upstream.GroupID]bool) {
	if len(touched) == 0 {
		return
	}
	lists := make(map[upstream.GroupID][]member.Member, len(touched))
	localPrimary := make(map[upstream.GroupID]bool)
	n.directory.All(func(m member.Member) {
		if !touched[m.Group] {
			return
		}
		lists[m.Group] = append(lists[m.Group], m)
		if m.Role == upstream.RolePrimary && m.Domain == n.opts.Settings.Domain {
			localPrimary[m.Group] = true
		}
	})
	for id := range touched {
		n.planner.SetLocalPrimary(id, localPrimary[id])
		n.Owner.SetMembers(id, lists[id])
	}
}
