package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// leaseTTL bounds how long a claim outlives its owner.
	leaseTTL = 1600 * time.Millisecond
	// keepAliveInterval is the time between two renewals of the lease.
	keepAliveInterval = 450 * time.Millisecond
	// leaseSafetyMargin covers the time between the check of the lease and the effect of a decision based on it.
	leaseSafetyMargin = 250 * time.Millisecond
	// storeRetryDelay is the pause after a failed call to the store.
	storeRetryDelay = 250 * time.Millisecond
	// keepAliveTimeout bounds one renewal of the lease.
	keepAliveTimeout = 600 * time.Millisecond
	// claimTimeout bounds an attempt to claim a group: a few calls to a store that may be a hundred times slower than usual.
	claimTimeout = 2 * time.Second
)

// atomicMax raises v to x unless it is larger already.
func atomicMax(v *atomic.Int64, x int64) {
	for old := v.Load(); x > old; old = v.Load() {
		if v.CompareAndSwap(old, x) {
			return
		}
	}
}

// runPlanner runs the planner until ctx ends and carries out the claims that it requests.
func (n *Node) runPlanner(ctx context.Context) error {
	timer := time.NewTimer(time.Second)
	defer timer.Stop()
	for ctx.Err() == nil {
		n.mu.Lock()
		now := n.opts.Clock()
		actions := n.planner.Plan(now)
		next, pending := n.planner.NextPlanTime(now)
		n.mu.Unlock()
		for _, a := range actions {
			go n.claimGroup(ctx, a)
		}
		wait := time.Hour
		if pending {
			wait = max(next.Sub(now), time.Millisecond)
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
		case <-n.replan:
		case <-timer.C:
		}
	}
	return nil
}

// claimGroup tries to become the owner of a group.
func (n *Node) claimGroup(ctx context.Context, a ownership.Action) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	revision, err := n.writeClaim(ctx, a)
	n.opts.Log.Info("claimed a group", "group", a.Group, "cause", a.Cause, "expected", a.Expected, "waited", a.Waited, "claim", revision, "error", err)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.planner.ClaimDone(a.Group, err == nil || isConflict(err), n.opts.Clock())
	n.triggerPlanner()
}

func isConflict(err error) bool {
	var c *ConflictError
	return errors.As(err, &c)
}

// writeClaim replaces the expected claim by one of this process, together with its liveness key, and activates the new claim.
func (n *Node) writeClaim(ctx context.Context, a ownership.Action) (uint64, error) {
	lease, err := n.prepareOwnership(ctx)
	if err != nil {
		return 0, err
	}
	self := n.opts.Settings
	c := ownership.Claim{Group: a.Group, Owner: self.Instance, Process: self.Process, Address: self.PeerAddress, Cores: self.Cores, Domain: self.Domain, Era: n.era.Load()}
	expected := []Expected{{Key: n.opts.Decoder.ClaimKey(a.Group), Revision: a.Expected}}
	if a.Expired != (ownership.Process{}) {
		// The owner may have written a new liveness key that this process has not seen yet.
		expected = append(expected, Expected{Key: n.opts.Decoder.LivenessKey(a.Expired)})
	}
	writes := []Write{{Key: expected[0].Key, Value: n.opts.Decoder.EncodeClaim(c)}}
	// A claim whose owner has no liveness key would never expire.
	livenessKey, livenessWritten := n.opts.Decoder.LivenessKey(c.OwnerProcess()), n.livenessRevision(lease)
	if livenessWritten == 0 {
		writes = append(writes, Write{Key: livenessKey, Lease: lease})
	} else {
		expected = append(expected, Expected{Key: livenessKey, Revision: livenessWritten})
	}
	revision, err := n.opts.Store.CompareAndSwap(ctx, expected, writes)
	if errors.Is(err, platform.ErrLeaseExpired) {
		n.dropLease(lease)
	}
	if c := (*ConflictError)(nil); errors.As(err, &c) {
		// The conflict reveals the current owner earlier than the watch does.
		n.applyEntries(c.Current)
		if livenessWritten != 0 && !c.holds(livenessKey) {
			n.dropLease(lease)
			n.markExpired()
		}
	}
	if err != nil {
		// The claim may have taken effect although the response was lost; the watch will show it.
		return 0, errors.Wrap(err, "compare and swap")
	}
	c.Revision = revision
	n.mu.Lock()
	defer n.mu.Unlock()
	if livenessWritten == 0 {
		n.livenessWritten = livenessRecord{lease: lease, revision: revision}
	}
	n.planner.SetAlive(c.OwnerProcess(), true, n.opts.Clock())
	n.applyClaim(ClaimChange{Claim: c})
	n.publishClaims()
	return revision, nil
}

// applyEntries applies entries that a call to the store returned.
func (n *Node) applyEntries(entries []mirror.Entry) {
	events := make([]mirror.Event, len(entries))
	for i, e := range entries {
		events[i] = mirror.Event{Entry: e}
	}
	n.applyEvents(events)
}

// prepareOwnership returns a lease. Concurrently it verifies the keys if the next verification is due and reads the members, so
// that a new owner can serve as soon as its claim is written, also while the store is slow.
func (n *Node) prepareOwnership(ctx context.Context) (lease platform.LeaseID, err error) {
	calls, ctx := errgroup.WithContext(ctx)
	calls.Go(func() error {
		var err error
		if lease, err = n.ensureLease(ctx); err != nil {
			return errors.Wrap(err, "lease")
		}
		return nil
	})
	calls.Go(func() error {
		if n.opts.Settings.KeyMaxAge <= 0 || n.opts.Clock().UnixNano()-n.keysVerifiedAt.Load() <= int64(keyVerifyInterval) {
			return nil
		}
		if err := n.verifyKeys(ctx, 0); err != nil {
			return errors.Wrap(err, "verify keys")
		}
		return nil
	})
	calls.Go(func() error { return n.loadMembers(ctx) })
	err = calls.Wait()
	return lease, err
}

// livenessRecord is the revision of this process's liveness key and the lease that the key is attached to.
type livenessRecord struct {
	lease    platform.LeaseID
	revision uint64
}

// livenessRevision returns the revision of the liveness key that is attached to the lease, or 0 if there is none.
func (n *Node) livenessRevision(lease platform.LeaseID) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.livenessWritten.lease != lease {
		return 0
	}
	return n.livenessWritten.revision
}

// renewClaim rewrites this process's claim to get a higher revision, which serves as fencing token.
func (n *Node) renewClaim(id upstream.GroupID) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	c, owned, _ := n.Current(id)
	if !owned {
		return
	}
	revision, err := n.writeClaim(ctx, ownership.Action{Group: id, Expected: c.Revision})
	n.opts.Log.Info("renewed the claim on a group", "group", id, "before", c.Revision, "claim", revision, "error", err)
}

// ensureLease returns the process's lease and requests one if there is none.
func (n *Node) ensureLease(ctx context.Context) (platform.LeaseID, error) {
	sent := n.opts.Clock()
	n.mu.Lock()
	lease := n.lease
	if sent.UnixNano() >= n.leaseValidUntil.Load() && !n.planner.OwnsAny() {
		// The lease was not renewed because no claim depends on it.
		lease, n.lease = 0, 0
	}
	n.mu.Unlock()
	if lease != 0 {
		return lease, nil
	}
	granted, ttl, err := n.opts.Store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return 0, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lease != 0 {
		// A concurrent claim has set a lease already. The one granted here is not renewed and expires.
		return n.lease, nil
	}
	n.lease, n.ttl = granted, ttl
	n.extendLease(sent)
	return granted, nil
}

// extendLease extends the validity of the lease, counted from the time at which its renewal was sent.
func (n *Node) extendLease(sent time.Time) {
	until := sent.Add(n.ttl - leaseSafetyMargin).UnixNano()
	atomicMax(&n.leaseValidUntil, until)
	atomicMax(&n.leaseEnd, until)
}

// dropLease discards an expired lease if it is still the current one.
func (n *Node) dropLease(id platform.LeaseID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lease == id {
		n.opts.Log.Warn("lease expired", "lease", id)
		n.lease = 0
		n.leaseValidUntil.Store(0)
	}
}

// runLeaseRenewal renews the lease until ctx ends, while this process owns a group.
func (n *Node) runLeaseRenewal(ctx context.Context) error {
	gap := keepAliveInterval
	for {
		if !ctxtime.Sleep(ctx, gap) {
			return nil
		}
		gap = keepAliveInterval
		n.mu.Lock()
		lease, owned := n.lease, n.planner.OwnsAny()
		n.mu.Unlock()
		if lease == 0 || !owned {
			continue
		}
		sent := n.opts.Clock()
		call, cancel := context.WithTimeout(ctx, keepAliveTimeout)
		err := n.opts.Store.KeepAlive(call, lease)
		cancel()
		switch {
		case err == nil:
			n.mu.Lock()
			n.extendLease(sent)
			n.mu.Unlock()
		case errors.Is(err, platform.ErrLeaseExpired):
			n.dropLease(lease)
			n.markExpired()
		default:
			n.opts.Log.Warn("could not renew the lease", "lease", lease, "valid_for", time.Duration(n.leaseValidUntil.Load()-n.opts.Clock().UnixNano()), "error", err)
			gap = storeRetryDelay
		}
	}
}

// markExpired records that this process's liveness key has expired together with its lease.
func (n *Node) markExpired() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.planner.SetAlive(ownership.Process{Instance: n.opts.Settings.Instance, ID: n.opts.Settings.Process}, false, n.opts.Clock())
	n.claimsDirty = true
	n.publishClaims()
}
