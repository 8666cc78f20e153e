package node

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/speed"
)

const (
	// speedInterval is the time between two measurements of the machine's speed.
	speedInterval = 100 * time.Millisecond
	// speedWorkBytes is the input size of the measured hash: large enough for a stable measurement, small enough to be cheap.
	speedWorkBytes = 16 << 10
)

// watchSpeed measures the speed of the machine. While it is slow, the instance is not ready for new callers and relinquishes its
// groups, because an owner runs the statements of whole groups.
func (n *Node) watchSpeed(ctx context.Context) error {
	var meter speed.Meter
	work := make([]byte, speedWorkBytes)
	for ctxtime.Sleep(ctx, speedInterval) {
		meter.Add(float64(measureWork(work)))
		n.updateSlow(ctx, &meter)
	}
	return nil
}

// measureWork returns the shortest of three runs of the work; the first run has cold caches.
func measureWork(work []byte) time.Duration {
	fastest := time.Hour
	for range 3 {
		started := time.Now()
		sum := sha256.Sum256(work)
		fastest = min(fastest, time.Since(started))
		// Feed the result into the next run so that the compiler cannot eliminate a run.
		copy(work, sum[:])
	}
	return fastest
}

// updateSlow handles a transition between slow and normal speed. When the machine becomes slow, all owned groups are relinquished.
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

// relinquish removes a claim so that another instance can claim the group. This instance serves the group until then.
func (n *Node) relinquish(ctx context.Context, c ownership.Claim) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := n.opts.Store.Remove(ctx, n.opts.Decoder.ClaimKey(c.Group), c.Revision); err != nil {
		n.opts.Log.Warn("could not remove a claim", "group", c.Group, "claim", c.Revision, "error", err)
	}
}
