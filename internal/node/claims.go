package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// leaseTime is how long a claim outlives its owner.
	leaseTTL = 1600 * time.Millisecond
	// keepGap is the time between two renewals.
	keepAliveInterval = 450 * time.Millisecond
	// leaseMargin covers the time between the check of a lease and the effect of what was decided.
	leaseSafetyMargin = 250 * time.Millisecond
	// storeRetry is the pause after a failed call.
	storeRetryDelay = 250 * time.Millisecond
	// keepTimeout bounds the renewal of a lease.
	keepAliveTimeout = 600 * time.Millisecond
	// claimTimeout bounds a claim: a few calls to a store that may be a hundred times slower than usual.
	claimTimeout = 2 * time.Second
)

func atomicMax(v *atomic.Int64, x int64) {
	for old := v.Load(); x > old; old = v.Load() {
		if v.CompareAndSwap(old, x) {
			return
		}
	}
}

// keepClaims makes the claims that the planner asks for.
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

// claim tries to take a group.
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

// swapClaim writes this process's claim in place of the expected one and puts it in force.
func (n *Node) writeClaim(ctx context.Context, a ownership.Action) (uint64, error) {
	lease, err := n.prepareOwnership(ctx)
	if err != nil {
		return 0, err
	}
	self := n.opts.Settings
	c := ownership.Claim{Group: a.Group, Owner: self.Instance, Process: self.Process, Address: self.PeerAddress, Cores: self.Cores}
	expected := []Expected{{Key: n.opts.Decoder.ClaimKey(a.Group), Revision: a.Expected}}
	if a.Expired != (ownership.Process{}) {
		// What this process has read may be older than the owner's new sign of life.
		expected = append(expected, Expected{Key: n.opts.Decoder.LivenessKey(a.Expired)})
	}
	writes := []Write{{Key: expected[0].Key, Value: n.opts.Decoder.EncodeClaim(c)}}
	// A claim without its owner's sign of life would never lapse.
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
		// The owner is known now, long before the watch tells.
		n.applyEntries(c.Current)
		if livenessWritten != 0 && !c.holds(livenessKey) {
			n.dropLease(lease)
			n.markExpired()
		}
	}
	if err != nil {
		// When the answer was lost, the watch tells whether the claim took effect.
		return 0, errors.Wrap(err, "swap")
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

// learn takes entries that the store has just shown.
func (n *Node) applyEntries(entries []mirror.Entry) {
	events := make([]mirror.Event, len(entries))
	for i, e := range entries {
		events[i] = mirror.Event{Entry: e}
	}
	n.applyEvents(events)
}

// prepareOwnership returns a lease and, at the same time, proves the keys if that has to be done soon: an owner begins with a
// proof that holds until its next one.
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
		if err := n.verifyKeys(ctx); err != nil {
			return errors.Wrap(err, "prove keys")
		}
		return nil
	})
	err = calls.Wait()
	return lease, err
}

// signature is this process's sign of life as it was written.
type livenessRecord struct {
	lease    platform.LeaseID
	revision uint64
}

// signedAt returns the revision of the sign of life that is bound to the lease, 0 when there is none.
func (n *Node) livenessRevision(lease platform.LeaseID) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.livenessWritten.lease != lease {
		return 0
	}
	return n.livenessWritten.revision
}

// renewClaim replaces this process's claim by one with a higher revision.
func (n *Node) renewClaim(id upstream.GroupID) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	c, mine, _ := n.Current(id)
	if !mine {
		return
	}
	revision, err := n.writeClaim(ctx, ownership.Action{Group: id, Expected: c.Revision})
	n.opts.Log.Info("renewed the claim on a group", "group", id, "before", c.Revision, "claim", revision, "error", err)
}

// ensureLease returns the process's lease, granted if need be.
func (n *Node) ensureLease(ctx context.Context) (platform.LeaseID, error) {
	sent := n.opts.Clock()
	n.mu.Lock()
	lease := n.lease
	if sent.UnixNano() >= n.leaseValidUntil.Load() && !n.planner.OwnsAny() {
		// Nothing depends on the lease, and it was not renewed.
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
		// Two claims at once; the lease that came second lapses by itself.
		return n.lease, nil
	}
	n.lease, n.ttl = granted, ttl
	n.extendLease(sent)
	return granted, nil
}

// extend records that the lease holds from the time its renewal was sent.
func (n *Node) extendLease(sent time.Time) {
	atomicMax(&n.leaseValidUntil, sent.Add(n.ttl-leaseSafetyMargin).UnixNano())
}

func (n *Node) dropLease(id platform.LeaseID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lease == id {
		n.opts.Log.Warn("lease lapsed", "lease", id)
		n.lease = 0
		n.leaseValidUntil.Store(0)
	}
}

// keepLease renews the lease while there is one.
func (n *Node) runLeaseRenewal(ctx context.Context) error {
	gap := keepAliveInterval
	for {
		if !sleep(ctx, gap) {
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

// lapse treats this process's sign of life as gone, after its lease has lapsed.
func (n *Node) markExpired() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.planner.SetAlive(ownership.Process{Instance: n.opts.Settings.Instance, ID: n.opts.Settings.Process}, false, n.opts.Clock())
	n.claimsDirty = true
	n.publishClaims()
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
