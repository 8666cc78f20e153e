package node

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/mirror"
)

const (
	// keyGap is the time between two proofs that keys are in force.
	keyVerifyInterval = 1900 * time.Millisecond
	// readTimeout bounds a reading of the configuration, which may be large; an older proof would be of little use.
	readTimeout = 3 * time.Second
)

// KeysFresh implements owner.Authority.
func (n *Node) KeysFresh() bool {
	limit := n.opts.Settings.KeyMaxAge
	return limit <= 0 || n.opts.Clock().UnixNano()-n.keysVerifiedAt.Load() <= int64(limit)
}

// proven notes that the configuration was in force when the store was asked.
func (n *Node) recordVerification(at mirror.SyncPoint) {
	if at.Prefix != n.opts.Decoder.Prefixes().Operators || n.Catalog().Revision == 0 {
		return
	}
	atomicMax(&n.keysVerifiedAt, at.RequestedAt.UnixNano())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.verifiedRevision = max(n.verifiedRevision, at.Revision)
}

// proveKeys proves that the keys of the configuration are in force, and takes a newer configuration if there is one.
func (n *Node) verifyKeys(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := n.opts.Clock()
	events, revision, err := n.fetchConfigChanges(ctx)
	if err != nil {
		return err
	}
	n.Apply(events, mirror.SyncPoint{Prefix: n.opts.Decoder.Prefixes().Operators, Revision: revision, RequestedAt: asked})
	return nil
}

// configSince returns the changes of the configuration since its last reading, and the store's revision. The value, which may
// be large, is read only if it has changed.
func (n *Node) fetchConfigChanges(ctx context.Context) ([]mirror.Event, uint64, error) {
	n.mu.Lock()
	after := n.verifiedRevision
	n.mu.Unlock()
	key := n.opts.Decoder.CatalogKey()
	if after > 0 {
		events, revision, err := n.opts.Store.Watch(ctx, key, after, 0)
		if !errors.Is(err, mirror.ErrCompacted) {
			return slices.DeleteFunc(events, func(e mirror.Event) bool { return e.Key != key }), revision, err
		}
		// The history is too short. A condition alone, without a write, tells as well.
		revision, err = n.opts.Store.CompareAndSwap(ctx, []Expected{{Key: key, Revision: n.Catalog().Revision}}, nil)
		if err == nil {
			return nil, revision, nil
		}
		n.opts.Log.Info("the configuration is not as known", "revision", n.Catalog().Revision, "error", err)
	}
	e, revision, err := n.opts.Store.Get(ctx, key)
	return []mirror.Event{{Entry: e}}, revision, err
}

// CatchUp reads the configuration when it is older than the revision, and waits a short time for it.
func (n *Node) CatchUp(ctx context.Context, revision uint64) {
	if n.Catalog().Revision >= revision {
		return
	}
	n.configRead.do(ctx, func() error {
		err := n.verifyKeys(context.Background())
		if err != nil {
			n.opts.Log.Warn("could not read a newer configuration", "wanted", revision, "have", n.Catalog().Revision, "error", err)
		}
		return err
	})
}

// keepKeys proves again and again that keys are in force, while this instance owns a group.
func (n *Node) runKeyVerification(ctx context.Context) error {
	gap := keyVerifyInterval
	for {
		if !sleep(ctx, gap) {
			return nil
		}
		gap = keyVerifyInterval
		n.mu.Lock()
		owned := n.planner.OwnsAny()
		n.mu.Unlock()
		if !owned || n.opts.Settings.KeyMaxAge <= 0 {
			continue
		}
		if left := keyVerifyInterval - time.Duration(n.opts.Clock().UnixNano()-n.keysVerifiedAt.Load()); left > 0 {
			gap = left // another reading was a proof
			continue
		}
		if err := n.verifyKeys(ctx); err != nil {
			age := time.Duration(n.opts.Clock().UnixNano() - n.keysVerifiedAt.Load())
			n.opts.Log.Warn("could not prove that keys are in force", "age", age, "limit", n.opts.Settings.KeyMaxAge, "error", err)
			gap = storeRetryDelay
		}
	}
}
