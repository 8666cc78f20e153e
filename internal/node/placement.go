package node

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/upstream"
)

// placementGap is the time from the configuration to the first reading of where the primaries are; it doubles for each
// further one.
const placementGap = 300 * time.Millisecond

// learnPlacement reads which groups have their primary in this instance's failure domain, so that the fleet's first owners
// are near to what they use most. It reads until each group has a primary, since members may be registered after the fleet
// has started. The members themselves are followed by owners only.
func (n *Node) learnPlacement(ctx context.Context) {
	for n.Catalog().Revision == 0 {
		if !sleep(ctx, placementGap) {
			return
		}
	}
	informed := n.o.Clock()
	for gap := placementGap; n.o.Clock().Sub(informed) < startLimit && sleep(ctx, gap); gap *= 2 {
		entries, _, err := n.o.Store.List(ctx, n.o.Decoder.Prefixes().Members)
		if err != nil {
			n.o.Log.Warn("could not learn where the primaries are", "error", err)
			continue
		}
		if n.placePrimaries(entries) {
			return
		}
	}
}

// placePrimaries takes the listed primaries and reports whether each group has one.
func (n *Node) placePrimaries(entries []mirror.Entry) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	placed := make(map[upstream.GroupID]bool)
	for _, e := range entries {
		c, ok := n.o.Decoder.Decode(mirror.Event{Entry: e})
		if !ok || c.Member == nil || c.Member.Member == nil {
			continue
		}
		if m := c.Member.Member; m.Role == upstream.RolePrimary {
			placed[m.Group] = true
			n.planner.SetLocalPrimary(m.Group, m.Domain == n.o.Settings.Domain)
		}
	}
	n.signal()
	for id := range n.Catalog().Groups {
		if !placed[id] {
			return false
		}
	}
	return true
}
