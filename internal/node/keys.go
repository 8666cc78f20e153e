package node

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/mirror"
)

const (
	// keyVerifyInterval is the time between two verifications that the keys of the configuration are current.
	keyVerifyInterval = 1900 * time.Millisecond
	// readTimeout bounds a read of the configuration, which may be large. A verification that takes longer would be almost
	// out of date on arrival.
	readTimeout = 3 * time.Second
)

// KeysFresh implements owner.Authority. It reports whether the last verification of the keys is recent enough.
func (n *Node) KeysFresh() bool {
	limit := n.opts.Settings.KeyMaxAge
	return limit <= 0 || n.opts.Clock().UnixNano()-n.keysVerifiedAt.Load() <= int64(limit)
}

// recordVerification records that the known configuration was current at the sync point.
func (n *Node) recordVerification(at mirror.SyncPoint) {
	if at.Prefix != n.opts.Decoder.Prefixes().Operators || n.Catalog().Revision == 0 {
		return
	}
	atomicMax(&n.keysVerifiedAt, at.RequestedAt.UnixNano())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.verifiedRevision = max(n.verifiedRevision, at.Revision)
}

// verifyKeys verifies with the store that the configuration, and thus its keys, is current. It applies a newer configuration if
// there is one.
func (n *Node) verifyKeys(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	requestedAt := n.opts.Clock()
	events, revision, err := n.fetchConfigChanges(ctx)
	if err != nil {
		return err
	}
	n.Apply(events, mirror.SyncPoint{Prefix: n.opts.Decoder.Prefixes().Operators, Revision: revision, RequestedAt: requestedAt})
	return nil
}

// fetchConfigChanges returns the changes of the configuration since the last verification, and the store's revision. It reads the
// value, which may be large, only if it has changed.
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
		// The history has been compacted. A transaction with a precondition and no writes shows whether the value is unchanged.
		revision, err = n.opts.Store.CompareAndSwap(ctx, []Expected{{Key: key, Revision: n.Catalog().Revision}}, nil)
		if err == nil {
			return nil, revision, nil
		}
		n.opts.Log.Info("the configuration has changed since the last read", "revision", n.Catalog().Revision, "error", err)
	}
	e, revision, err := n.opts.Store.Get(ctx, key)
	return []mirror.Event{{Entry: e}}, revision, err
}

// CatchUp reads the configuration from the store if the known one is older than revision. It waits at most sharedCallWait.
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

// runKeyVerification verifies the keys regularly until ctx ends, while this instance owns a group.
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
		if remaining := keyVerifyInterval - time.Duration(n.opts.Clock().UnixNano()-n.keysVerifiedAt.Load()); remaining > 0 {
			gap = remaining // verified in the meantime by another read
			continue
		}
		if err := n.verifyKeys(ctx); err != nil {
			age := time.Duration(n.opts.Clock().UnixNano() - n.keysVerifiedAt.Load())
			n.opts.Log.Warn("could not prove that keys are in force", "age", age, "limit", n.opts.Settings.KeyMaxAge, "error", err)
			gap = storeRetryDelay
		}
	}
}
