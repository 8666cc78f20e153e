package node

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/discovery"
	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/revision"
	"github.com/celerystep/celerystep/internal/upstream"
)

// learnEra learns the era of the store's data from a revision. When the store has come back from an older copy, leases and claims of the
// earlier era are void. What operators and members have written is written again within discovery.SettleTime; until then nothing
// that the copy lacks is taken for removed, and nothing older than what is known is taken for new.
func (n *Node) learnEra(rev uint64) {
	era := revision.Era(rev)
	if n.eraKnown.Load() && era <= n.era.Load() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.era.Load()
	if !n.eraKnown.Load() {
		n.era.Store(era)
		n.eraKnown.Store(true)
		n.planner.Start(era)
		n.opts.Log.Info("reached the store", "era", era, "revision", revision.Number(rev))
		return
	}
	if era <= before {
		return
	}
	now := n.opts.Clock()
	leased := now.UnixNano() < n.leaseValidUntil.Load()
	owned := len(n.planner.Owned())
	n.planner.NewEra(era, leased, leaseTTL, now)
	n.lease = 0
	n.leaseValidUntil.Store(0)
	n.directory.StoreRestored(now)
	n.restoredUntil.Store(now.Add(discovery.SettleTime).UnixNano())
	n.configRewritten = false
	n.era.Store(era)
	if n.opts.Metrics != nil {
		n.opts.Metrics.StoreReturns.Inc()
	}
	n.opts.Log.Warn("the store has come back from an older copy of its data", "era", era, "before", before, "revision", revision.Number(rev),
		"known", revision.Number(n.verifiedRevision), "owned", owned, "leased", leased)
	n.claimsDirty = true
	n.publishClaims()
	select {
	case n.restored <- struct{}{}:
	default:
	}
}

// settling reports whether the store's content may be older than what is known.
func (n *Node) settling() bool { return n.opts.Clock().UnixNano() < n.restoredUntil.Load() }

// runSettling reads the entries of operators and members again once they are written again after a return of the store from an older
// copy, until ctx ends.
func (n *Node) runSettling(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.restored:
		}
		for n.settling() && ctxtime.Sleep(ctx, time.Duration(n.restoredUntil.Load()-n.opts.Clock().UnixNano())+time.Millisecond) {
		}
		for ctx.Err() == nil {
			err := n.relist(ctx)
			if err == nil {
				n.opts.Log.Info("the store's content has settled after its return", "era", n.era.Load())
				break
			}
			n.opts.Log.Warn("could not read the entries again after the store's return", "error", err)
			ctxtime.Sleep(ctx, storeRetryDelay)
		}
	}
}

// relist reads the entries of the operators and, if this process follows them, of the members.
func (n *Node) relist(ctx context.Context) error {
	prefixes := n.opts.Decoder.Prefixes()
	requestedAt := n.opts.Clock()
	entries, v, err := n.shared.List(ctx, prefixes.Operators)
	if err != nil {
		return err
	}
	if err := n.resetNow(entries, newSyncPoint(prefixes.Operators, v, requestedAt)); err != nil {
		return err
	}
	if !n.watchesMembers.Load() {
		return nil
	}
	requestedAt = n.opts.Clock()
	if entries, v, err = n.opts.Store.List(ctx, prefixes.Members); err != nil {
		return err
	}
	return n.resetNow(entries, newSyncPoint(prefixes.Members, v, requestedAt))
}

// errSuperseded: later changes than those in a list have been applied already.
var errSuperseded = errors.New("later changes are known already")

// resetNow applies a complete list that was read beside the mirror of its prefix.
func (n *Node) resetNow(entries []mirror.Entry, at mirror.SyncPoint) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if at.Revision < n.synced[at.Prefix] {
		return errors.Wrapf(errSuperseded, "prefix %s", at.Prefix)
	}
	n.replacePrefix(at.Prefix, entries, make(map[upstream.GroupID]bool))
	return nil
}

func newSyncPoint(prefix string, v mirror.Version, requestedAt time.Time) mirror.SyncPoint {
	return mirror.SyncPoint{Prefix: prefix, Revision: v.Revision, RequestedAt: requestedAt.Add(-v.Age)}
}
