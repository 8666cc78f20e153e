package node

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/speed"
)

const (
	// speedGap is the time between two measurements of the machine's speed.
	speedInterval = 100 * time.Millisecond
	// speedBytes is the size of the piece of work: long enough to be measured, short enough to cost little.
	speedWorkBytes = 16 << 10
)

// watchSpeed measures how fast the machine is. While it is slow, new callers and the owned groups go to other instances: an
// owner runs the statements of a whole group.
func (n *Node) watchSpeed(ctx context.Context) error {
	var meter speed.Meter
	work := make([]byte, speedWorkBytes)
	for sleep(ctx, speedInterval) {
		meter.Add(float64(measureWork(work)))
		n.updateSlow(ctx, &meter)
	}
	return nil
}

// timeOf returns the shortest of a few times that the work takes: the first one finds cold caches.
func measureWork(work []byte) time.Duration {
	fastest := time.Hour
	for range 3 {
		started := time.Now()
		sum := sha256.Sum256(work)
		fastest = min(fastest, time.Since(started))
		// Each piece of work depends on the one before, so that none is left out.
		copy(work, sum[:])
	}
	return fastest
}

// noteSpeed acts when the machine becomes slow, once, and when it is fast again.
func (n *Node) updateSlow(ctx context.Context, m *speed.Meter) {
	slow := m.Slow()
	if n.slow.Swap(slow) == slow {
		return
	}
	n.mu.Lock()
	n.planner.SetSlowdown(m.Slowdown())
	owned := n.planner.Owned()
	if slow {
		for _, c := range owned {
			n.planner.Relinquish(c.Group)
		}
	}
	n.mu.Unlock()
	n.opts.Log.Warn("speed of the machine", "slow", slow, "slowdown", m.Slowdown(), "owned_groups", len(owned))
	if !slow {
		return
	}
	for _, c := range owned {
		go n.relinquish(ctx, c)
	}
}

// giveUp removes a claim, so that another instance can take the group. This one serves it until then.
func (n *Node) relinquish(ctx context.Context, c ownership.Claim) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := n.opts.Store.Remove(ctx, n.opts.Decoder.ClaimKey(c.Group), c.Revision); err != nil {
		n.opts.Log.Warn("could not give a claim up", "group", c.Group, "claim", c.Revision, "error", err)
	}
}
