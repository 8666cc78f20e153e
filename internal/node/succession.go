package node

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/quota"
)

const (
	// unverifiedSuccessionPeriod replaces the period that follows from Settings.KeyMaxAge when keys need not be verified. It bounds how
	// long an owner that lost the store serves customers with a rate, and how long a successor leaves a part of the rates to it.
	unverifiedSuccessionPeriod = 30 * time.Second
	// announceTimeout bounds one announcement, announceRetryInterval is the time between two.
	announceTimeout       = 250 * time.Millisecond
	announceRetryInterval = 150 * time.Millisecond
)

// successionPeriod returns how long after the end of its lease an owner may spend tokens: while its keys may be fresh.
func (s Settings) successionPeriod() time.Duration {
	if s.KeyMaxAge <= 0 {
		return unverifiedSuccessionPeriod
	}
	return max(s.KeyMaxAge-leaseTTL, 0)
}

// announcement is a claim of this process that an earlier owner may not know of.
type announcement struct {
	claim ownership.Claim
	to    ownership.Claim
	// until is when the earlier owner has stopped by itself.
	until time.Time
}

// leaseEnd returns the time by which the predecessor's lease has ended.
func leaseEnd(p ownership.Predecessor) time.Time {
	if p.LeaseEnded {
		return p.ReplacedAt
	}
	return p.ReplacedAt.Add(leaseTTL)
}

// acquire starts serving a group under a new claim of this process and announces it to earlier owners, which may be cut off from
// the store. The caller holds n.mu.
func (n *Node) acquire(c ownership.Claim) {
	period := n.opts.Settings.successionPeriod()
	earlier := n.planner.Predecessors(c.Group, n.opts.Clock().Add(-period-leaseTTL))
	predecessors := make([]quota.Predecessor, len(earlier))
	for i, p := range earlier {
		predecessors[i] = quota.Predecessor{Process: p.Claim.OwnerProcess(), LeaseEnd: leaseEnd(p)}
	}
	if !n.Owner.Acquire(context.Background(), c, n.planner.Reclaimed(c.Group), predecessors...) {
		return
	}
	for _, p := range earlier {
		n.announcements = append(n.announcements, announcement{claim: c, to: p.Claim, until: leaseEnd(p).Add(period)})
	}
	select {
	case n.announce <- struct{}{}:
	default:
	}
}

// runAnnouncements announces claims to earlier owners until ctx ends.
func (n *Node) runAnnouncements(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.announce:
		}
		n.mu.Lock()
		pending := n.announcements
		n.announcements = nil
		n.mu.Unlock()
		for _, a := range pending {
			go n.announceUntilReleased(ctx, a)
		}
	}
}

// announceUntilReleased announces a claim to an earlier owner until that one, or a later process at its address, does not own the group, until
// it has stopped by itself, or until this process does not own the group.
func (n *Node) announceUntilReleased(ctx context.Context, a announcement) {
	started := n.opts.Clock()
	var err error
	for n.opts.Clock().Before(a.until) {
		if _, owned, _ := n.Current(a.claim.Group); !owned {
			return
		}
		var released bool
		if released, err = n.announceOnce(ctx, a); released {
			n.Owner.PredecessorEnded(a.claim.Group, a.to.OwnerProcess())
			n.logAnnouncement("the earlier owner has released the group", a, started, nil)
			return
		}
		if !ctxtime.Sleep(ctx, announceRetryInterval) {
			return
		}
	}
	n.logAnnouncement("the earlier owner did not answer", a, started, err)
}

func (n *Node) announceOnce(ctx context.Context, a announcement) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return n.Peers.At(a.to.Address).AnnounceClaim(ctx, a.claim)
}

func (n *Node) logAnnouncement(event string, a announcement, started time.Time, err error) {
	n.opts.Log.Info(event, "group", a.claim.Group, "claim", a.claim.Revision, "owner", a.to.Owner, "process", a.to.Process,
		"before", a.to.Revision, "took", n.opts.Clock().Sub(started), "error", err)
}

// LeaseEnd implements owner.Authority.
func (n *Node) LeaseEnd() time.Time { return time.Unix(0, n.leaseEnd.Load()) }

// ClaimAnnounced implements fleetlink.Local.
func (s peerService) ClaimAnnounced(c ownership.Claim) (released bool) {
	s.node.ClaimLearned(c)
	_, owned, _ := s.node.Current(c.Group)
	return !owned
}
