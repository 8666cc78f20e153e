package node

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/upstream"
)

// placementRetryDelay is the delay before the first read of the primaries' failure domains. It doubles for each retry.
const placementRetryDelay = 300 * time.Millisecond

// loadPrimaryPlacement determines which groups have their primary in this instance's failure domain, so that the first owners of
// a new fleet are close to their primaries. It retries until every group has a primary, because members may be registered after
// the instances have started. It uses cheap lists, which may be seconds old, instead of a watch, because only owners watch members.
func (n *Node) loadPrimaryPlacement(ctx context.Context) {
	for n.Catalog().Revision == 0 {
		if !ctxtime.Sleep(ctx, placementRetryDelay) {
			return
		}
	}
	started := n.opts.Clock()
	if n.allClaimed() {
		return
	}
	for delay := placementRetryDelay; n.opts.Clock().Sub(started) < startupTimeout && ctxtime.Sleep(ctx, delay); delay *= 2 {
		entries, err := n.opts.Store.ListStale(ctx, n.opts.Decoder.Prefixes().Members)
		if err != nil {
			n.opts.Log.Warn("could not read the failure domains of the primaries", "error", err)
			continue
		}
		if n.applyPrimaryPlacement(entries) || n.allClaimed() {
			return
		}
	}
}

// allClaimed reports whether every group has an owner, so that nothing is left to be claimed near its primary.
func (n *Node) allClaimed() bool {
	t := n.claims.Load()
	for id := range n.Catalog().Groups {
		if t.get(id).Owner == "" {
			return false
		}
	}
	return true
}

// applyPrimaryPlacement passes the placement of the listed primaries to the planner and reports whether every group has a primary.
func (n *Node) applyPrimaryPlacement(entries []mirror.Entry) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	hasPrimary := make(map[upstream.GroupID]bool)
	for _, e := range entries {
		c, ok := n.opts.Decoder.Decode(mirror.Event{Entry: e})
		if !ok || c.Member == nil || c.Member.Member == nil {
			continue
		}
		if m := c.Member.Member; m.Role == upstream.RolePrimary {
			hasPrimary[m.Group] = true
			n.planner.SetLocalPrimary(m.Group, m.Domain == n.opts.Settings.Domain)
		}
	}
	n.triggerPlanner()
	for id := range n.Catalog().Groups {
		if !hasPrimary[id] {
			return false
		}
	}
	return true
}
