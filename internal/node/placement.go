package node

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/upstream"
)

// placementGap is the time from the configuration to the first reading of where the primaries are; it doubles for each
// further one.
const placementRetryDelay = 300 * time.Millisecond

// learnPlacement reads which groups have their primary in this instance's failure domain, so that the fleet's first owners
// are near to what they use most. It reads until each group has a primary, since members may be registered after the fleet
// has started. The members themselves are followed by owners only.
func (n *Node) loadPrimaryPlacement(ctx context.Context) {
	for n.Catalog().Revision == 0 {
		if !sleep(ctx, placementRetryDelay) {
			return
		}
	}
	started := n.opts.Clock()
	for delay := placementRetryDelay; n.opts.Clock().Sub(started) < startupTimeout && sleep(ctx, delay); delay *= 2 {
		entries, _, err := n.opts.Store.List(ctx, n.opts.Decoder.Prefixes().Members)
		if err != nil {
			n.opts.Log.Warn("could not learn where the primaries are", "error", err)
			continue
		}
		if n.applyPrimaryPlacement(entries) {
			return
		}
	}
}

// placePrimaries takes the listed primaries and reports whether each group has one.
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
