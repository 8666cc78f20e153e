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
	leaseTime = 1600 * time.Millisecond
	// keepGap is the time between two renewals.
	keepGap = 450 * time.Millisecond
	// leaseMargin covers the time between the check of a lease and the effect of what was decided.
	leaseMargin = 250 * time.Millisecond
	// storeRetry is the pause after a failed call.
	storeRetry = 250 * time.Millisecond
	// keepTimeout bounds the renewal of a lease.
	keepTimeout = 600 * time.Millisecond
	// claimTimeout bounds a claim: a few calls to a store that may be a hundred times slower than usual.
	claimTimeout = 2 * time.Second
)

func storeMax(v *atomic.Int64, x int64) {
	for old := v.Load(); x > old; old = v.Load() {
		if v.CompareAndSwap(old, x) {
			return
		}
	}
}

// keepClaims makes the claims that the planner asks for.
func (n *Node) keepClaims(ctx context.Context) error {
	timer := time.NewTimer(time.Second)
	defer timer.Stop()
	for ctx.Err() == nil {
		n.mu.Lock()
		now := n.o.Clock()
		actions := n.planner.Plan(now)
		next, pending := n.planner.NextPlanTime(now)
		n.mu.Unlock()
		for _, a := range actions {
			go n.claim(ctx, a)
		}
		wait := time.Hour
		if pending {
			wait = max(next.Sub(now), time.Millisecond)
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
		case <-n.wake:
		case <-timer.C:
		}
	}
	return nil
}

// claim tries to take a group.
func (n *Node) claim(ctx context.Context, a ownership.Action) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	revision, err := n.swapClaim(ctx, a)
	n.o.Log.Info("claimed a group", "group", a.Group, "cause", a.Cause, "expected", a.Expected, "waited", a.Waited, "claim", revision, "error", err)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.planner.ClaimDone(a.Group, err == nil || isConflict(err), n.o.Clock())
	n.signal()
}

func isConflict(err error) bool {
	var c *ConflictError
	return errors.As(err, &c)
}

// swapClaim writes this process's claim in place of the expected one and puts it in force.
func (n *Node) swapClaim(ctx context.Context, a ownership.Action) (uint64, error) {
	lease, err := n.prepareOwnership(ctx)
	if err != nil {
		return 0, err
	}
	self := n.o.Settings
	c := ownership.Claim{Group: a.Group, Owner: self.Instance, Process: self.Process, Address: self.PeerAddress, Cores: self.Cores}
	expected := []Expected{{Key: n.o.Decoder.ClaimKey(a.Group), Revision: a.Expected}}
	if a.Expired != (ownership.Process{}) {
		// What this process has read may be older than the owner's new sign of life.
		expected = append(expected, Expected{Key: n.o.Decoder.LivenessKey(a.Expired)})
	}
	writes := []Write{{Key: expected[0].Key, Value: n.o.Decoder.EncodeClaim(c)}}
	// A claim without its owner's sign of life would never lapse.
	sign, signed := n.o.Decoder.LivenessKey(c.OwnerProcess()), n.signedAt(lease)
	if signed == 0 {
		writes = append(writes, Write{Key: sign, Lease: lease})
	} else {
		expected = append(expected, Expected{Key: sign, Revision: signed})
	}
	revision, err := n.o.Store.CompareAndSwap(ctx, expected, writes)
	if errors.Is(err, platform.ErrLeaseExpired) {
		n.dropLease(lease)
	}
	if c := (*ConflictError)(nil); errors.As(err, &c) {
		// The owner is known now, long before the watch tells.
		n.learn(c.Current)
		if signed != 0 && !c.holds(sign) {
			n.dropLease(lease)
			n.lapse()
		}
	}
	if err != nil {
		// When the answer was lost, the watch tells whether the claim took effect.
		return 0, errors.Wrap(err, "swap")
	}
	c.Revision = revision
	n.mu.Lock()
	defer n.mu.Unlock()
	if signed == 0 {
		n.signed = signature{lease: lease, revision: revision}
	}
	n.planner.SetAlive(c.OwnerProcess(), true, n.o.Clock())
	n.applyClaim(ClaimChange{Claim: c})
	n.publish()
	return revision, nil
}

// learn takes entries that the store has just shown.
func (n *Node) learn(entries []mirror.Entry) {
	events := make([]mirror.Event, len(entries))
	for i, e := range entries {
		events[i] = mirror.Event{Entry: e}
	}
	n.take(events)
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
		if n.o.Settings.KeyMaxAge <= 0 || n.o.Clock().UnixNano()-n.keysAt.Load() <= int64(keyGap) {
			return nil
		}
		if err := n.proveKeys(ctx); err != nil {
			return errors.Wrap(err, "prove keys")
		}
		return nil
	})
	err = calls.Wait()
	return lease, err
}

// signature is this process's sign of life as it was written.
type signature struct {
	lease    platform.LeaseID
	revision uint64
}

// signedAt returns the revision of the sign of life that is bound to the lease, 0 when there is none.
func (n *Node) signedAt(lease platform.LeaseID) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.signed.lease != lease {
		return 0
	}
	return n.signed.revision
}

// renewClaim replaces this process's claim by one with a higher revision.
func (n *Node) renewClaim(id upstream.GroupID) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	c, mine, _ := n.Current(id)
	if !mine {
		return
	}
	revision, err := n.swapClaim(ctx, ownership.Action{Group: id, Expected: c.Revision})
	n.o.Log.Info("renewed the claim on a group", "group", id, "before", c.Revision, "claim", revision, "error", err)
}

// ensureLease returns the process's lease, granted if need be.
func (n *Node) ensureLease(ctx context.Context) (platform.LeaseID, error) {
	sent := n.o.Clock()
	n.mu.Lock()
	lease := n.lease
	if sent.UnixNano() >= n.validTo.Load() && !n.planner.OwnsAny() {
		// Nothing depends on the lease, and it was not renewed.
		lease, n.lease = 0, 0
	}
	n.mu.Unlock()
	if lease != 0 {
		return lease, nil
	}
	granted, ttl, err := n.o.Store.GrantLease(ctx, leaseTime)
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
	n.extend(sent)
	return granted, nil
}

// extend records that the lease holds from the time its renewal was sent.
func (n *Node) extend(sent time.Time) {
	storeMax(&n.validTo, sent.Add(n.ttl-leaseMargin).UnixNano())
}

func (n *Node) dropLease(id platform.LeaseID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lease == id {
		n.o.Log.Warn("lease lapsed", "lease", id)
		n.lease = 0
		n.validTo.Store(0)
	}
}

// keepLease renews the lease while there is one.
func (n *Node) keepLease(ctx context.Context) error {
	gap := keepGap
	for {
		if !sleep(ctx, gap) {
			return nil
		}
		gap = keepGap
		n.mu.Lock()
		lease, owned := n.lease, n.planner.OwnsAny()
		n.mu.Unlock()
		if lease == 0 || !owned {
			continue
		}
		sent := n.o.Clock()
		call, cancel := context.WithTimeout(ctx, keepTimeout)
		err := n.o.Store.KeepAlive(call, lease)
		cancel()
		switch {
		case err == nil:
			n.mu.Lock()
			n.extend(sent)
			n.mu.Unlock()
		case errors.Is(err, platform.ErrLeaseExpired):
			n.dropLease(lease)
			n.lapse()
		default:
			n.o.Log.Warn("could not renew the lease", "lease", lease, "valid_for", time.Duration(n.validTo.Load()-n.o.Clock().UnixNano()), "error", err)
			gap = storeRetry
		}
	}
}

// lapse treats this process's sign of life as gone, after its lease has lapsed.
func (n *Node) lapse() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.planner.SetAlive(ownership.Process{Instance: n.o.Settings.Instance, ID: n.o.Settings.Process}, false, n.o.Clock())
	n.unpublished = true
	n.publish()
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
