package node

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/mirror"
)

const (
	// keyVerifyInterval is the time between two verifications that the keys of the configuration are current.
	keyVerifyInterval = 1900 * time.Millisecond
	// minVerifyGap is the minimum time between two verifications. One through a reader may be nearly due on arrival.
	minVerifyGap = 300 * time.Millisecond
	// readTimeout bounds a read of the configuration, which may be large. A verification that takes longer would be almost
	// out of date on arrival.
	readTimeout = 3 * time.Second
)

// KeysFresh implements owner.Authority. It reports whether the last verification of the keys is recent enough.
func (n *Node) KeysFresh() bool {
	limit := n.opts.Settings.KeyMaxAge
	return limit <= 0 || n.opts.Clock().UnixNano()-n.keysVerifiedAt.Load() <= int64(limit)
}

// recordVerification records that the known configuration was current at the sync point. The store's content proves nothing while it may
// be older than what is known.
func (n *Node) recordVerification(at mirror.SyncPoint) {
	if at.Prefix != n.opts.Decoder.Prefixes().Operators || n.Catalog().Revision == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.configBehind && (!n.settling() || n.configRewritten) {
		atomicMax(&n.keysVerifiedAt, at.RequestedAt.UnixNano())
	}
	n.verifiedRevision = max(n.verifiedRevision, at.Revision)
}

// restartVerification makes the next verification start from the revision of the copy that this instance passes on. It is
// called when the copy lacks changes, which a later verification must not skip.
func (n *Node) restartVerification() {
	revision, _, _ := n.operators.State()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.verifiedRevision = revision
}

// verifyKeys verifies that the configuration, and thus its keys, is current: with the store, or through a reader. It applies
// newer entries of the operators if there are any. A reader is asked for atLeast, unless that is 0.
func (n *Node) verifyKeys(ctx context.Context, atLeast uint64) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	n.mu.Lock()
	after := n.verifiedRevision
	n.mu.Unlock()
	if after == 0 {
		return n.readConfig(ctx)
	}
	prefix := n.opts.Decoder.Prefixes().Operators
	requestedAt := n.opts.Clock()
	events, version, err := n.shared.Poll(ctx, prefix, after, atLeast)
	if errors.Is(err, mirror.ErrCompacted) {
		return n.confirmConfig(ctx)
	}
	if err != nil {
		return err
	}
	n.Apply(events, mirror.SyncPoint{
		Prefix: prefix, After: after, Revision: max(after, version.Revision), RequestedAt: requestedAt.Add(-version.Age),
	})
	return nil
}

// confirmConfig verifies the configuration when the history since the last verification is not available. A transaction
// with a precondition and no writes shows whether the value, which may be large, is unchanged.
func (n *Node) confirmConfig(ctx context.Context) error {
	requestedAt := n.opts.Clock()
	known := n.Catalog().Revision
	revision, err := n.opts.Store.CompareAndSwap(ctx, []Expected{{Key: n.opts.Decoder.CatalogKey(), Revision: known}}, nil)
	if err != nil {
		n.opts.Log.Info("the configuration has changed since the last read", "revision", known, "error", err)
		return n.readConfig(ctx)
	}
	n.recordVerification(mirror.SyncPoint{Prefix: n.opts.Decoder.Prefixes().Operators, Revision: revision, RequestedAt: requestedAt})
	return nil
}

// readConfig reads the configuration from the store.
func (n *Node) readConfig(ctx context.Context) error {
	requestedAt := n.opts.Clock()
	e, revision, err := n.opts.Store.Get(ctx, n.opts.Decoder.CatalogKey())
	if err != nil {
		return err
	}
	n.applyEvents([]mirror.Event{{Entry: e}})
	n.recordVerification(mirror.SyncPoint{Prefix: n.opts.Decoder.Prefixes().Operators, Revision: revision, RequestedAt: requestedAt})
	return nil
}

// CatchUp reads the configuration from the store if the known one is older than revision. It waits at most sharedCallWait.
func (n *Node) CatchUp(ctx context.Context, revision uint64) {
	if n.Catalog().Revision >= revision {
		return
	}
	n.configRead.do(ctx, func() error {
		err := n.verifyKeys(context.Background(), revision)
		if err != nil {
			n.opts.Log.Warn("could not read a newer configuration", "wanted", revision, "have", n.Catalog().Revision, "error", err)
		}
		return err
	})
}

// runKeyVerification verifies the keys regularly until ctx ends, while this instance owns a group or is a reader.
func (n *Node) runKeyVerification(ctx context.Context) error {
	gap := keyVerifyInterval
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.becameReader:
		case <-time.After(gap):
		}
		gap = keyVerifyInterval
		n.mu.Lock()
		owned := n.planner.OwnsAny()
		n.mu.Unlock()
		if needed := owned && n.opts.Settings.KeyMaxAge > 0 || n.isReader(); !needed {
			continue
		}
		if age := n.verificationAge(); age < keyVerifyInterval {
			gap = verificationGap(age) // verified in the meantime by another read
			continue
		}
		if err := n.verifyKeys(ctx, 0); err != nil {
			n.opts.Log.Warn("could not prove that keys are in force", "age", n.keyAge(), "limit", n.opts.Settings.KeyMaxAge, "error", err)
			gap = storeRetryDelay
			continue
		}
		gap = verificationGap(n.verificationAge())
	}
}

// keyAge returns the time since the request of the last verification.
func (n *Node) keyAge() time.Duration {
	return time.Duration(n.opts.Clock().UnixNano() - n.keysVerifiedAt.Load())
}

// verificationAge returns the age that decides when to verify again: that of the keys or, at a reader, that of the content that
// it passes on, if that is older.
func (n *Node) verificationAge() time.Duration {
	age := n.keyAge()
	if !n.isReader() {
		return age
	}
	_, confirmedAt, _ := n.operators.State()
	return max(age, n.opts.Clock().Sub(confirmedAt))
}

// verificationGap returns the time until the next verification, given the age of the last one. The interval counts from the
// request, so that the age stays bounded while the store answers slowly.
func verificationGap(age time.Duration) time.Duration {
	return max(keyVerifyInterval-age, minVerifyGap)
}
