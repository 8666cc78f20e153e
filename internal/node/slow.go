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
	speedGap = 100 * time.Millisecond
	// speedBytes is the size of the piece of work: long enough to be measured, short enough to cost little.
	speedBytes = 16 << 10
)

// watchSpeed measures how fast the machine is. While it is slow, new callers and the owned groups go to other instances: an
// owner runs the statements of a whole group.
func (n *Node) watchSpeed(ctx context.Context) error {
	var meter speed.Meter
	work := make([]byte, speedBytes)
	for sleep(ctx, speedGap) {
		meter.Add(float64(timeOf(work)))
		n.noteSpeed(ctx, &meter)
	}
	return nil
}

// timeOf returns the shortest of a few times that the work takes: the first one finds cold caches.
func timeOf(work []byte) time.Duration {
	least := time.Hour
	for range 3 {
		started := time.Now()
		sum := sha256.Sum256(work)
		least = min(least, time.Since(started))
		// Each piece of work depends on the one before, so that none is left out.
		copy(work, sum[:])
	}
	return least
}

// noteSpeed acts when the machine becomes slow, once, and when it is fast again.
func (n *Node) noteSpeed(ctx context.Context, m *speed.Meter) {
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
	n.o.Log.Warn("speed of the machine", "slow", slow, "slowdown", m.Slowdown(), "owned_groups", len(owned))
	if !slow {
		return
	}
	for _, c := range owned {
		go n.giveUp(ctx, c)
	}
}

// giveUp removes a claim, so that another instance can take the group. This one serves it until then.
func (n *Node) giveUp(ctx context.Context, c ownership.Claim) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := n.o.Store.Remove(ctx, n.o.Decoder.ClaimKey(c.Group), c.Revision); err != nil {
		n.o.Log.Warn("could not give a claim up", "group", c.Group, "claim", c.Revision, "error", err)
	}
}
