package config

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/audit"
	"github.com/celerystep/celerystep/internal/instance"
)

const (
	// peerCallTimeout bounds the fetch of one chunk from a peer.
	peerCallTimeout = time.Second
	// writeTimeout bounds a write-back or a write of revocations with all its calls.
	writeTimeout = 30 * time.Second
)

// errVersionMismatch reports a source that gave another configuration than it had announced.
var errVersionMismatch = errors.New("the source holds another configuration now")

// load fetches, decodes and checks a configuration and posts the result.
func (k *Keeper) load(ctx context.Context, a action) error {
	e, err := k.fetch(ctx, a)
	result := loadFailed
	var c *Cluster
	if err == nil {
		c, result, err = k.decode(e)
	}
	if err != nil {
		k.o.Log.Warn("configuration not loaded", "step", "load", "peer", sourceName(a.peer), "version", a.ref.Version,
			"root", a.ref.Root.Short(), "error", err)
	}
	if result == loadInvalid {
		k.recordRejected(a.ref, err)
	}
	k.post(func(m *inForce, now time.Time) []action {
		k.loaded = &loadedConfig{encoded: e, cluster: c}
		return m.loaded(now, a.ref, a.peer, result)
	})
	return nil
}

func sourceName(id instance.ID) string {
	if id == "" {
		return storePeer
	}
	return string(id)
}

// decode uses the decoder, which is safe because only one load runs at a time.
func (k *Keeper) decode(e *Encoded) (*Cluster, loadResult, error) {
	c, err := k.decoder.Decode(e)
	if err != nil {
		return nil, loadInvalid, err
	}
	if problems := Check(c); len(problems) > 0 {
		return nil, loadInvalid, &InvalidError{Problems: problems}
	}
	return c, loadOK, nil
}

func (k *Keeper) fetch(ctx context.Context, a action) (*Encoded, error) {
	var kept map[Hash][]byte
	if served := k.served.Load(); served != nil {
		kept = served.Chunks
	}
	rootBytes, err := k.fetchRoot(ctx, a)
	if err != nil {
		return nil, err
	}
	if HashOf(rootBytes) != a.ref.Root {
		return nil, errVersionMismatch
	}
	return assemble(ctx, rootBytes, kept, k.fetchFrom(a.peer))
}

func (k *Keeper) fetchRoot(ctx context.Context, a action) ([]byte, error) {
	if a.peer != "" {
		return k.fetchFrom(a.peer)(ctx, a.ref.Root)
	}
	e, err := k.repo.read(ctx, "read root", rootKey)
	return e.Value, err
}

// fetchFrom returns the function that fetches chunks from a peer, or from the store.
func (k *Keeper) fetchFrom(peer instance.ID) fetchFunc {
	if peer == "" {
		return k.repo.FetchChunk
	}
	return func(ctx context.Context, h Hash) ([]byte, error) {
		ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		return k.o.Gossip.FetchChunk(ctx, peer, h)
	}
}

// writeBack stores the configuration in force and posts what the store holds then.
func (k *Keeper) writeBack(ctx context.Context, e *Encoded, was Ref) error {
	bounded, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	stored, err := k.repo.WriteBack(bounded, e)
	if err != nil {
		k.o.Log.Warn("configuration not written back", "step", "write back", "peer", storePeer, "version",
			e.Root.Version, "error", err)
	}
	if err == nil && stored == e.Ref() {
		k.record(audit.KindConfigRepaired, e.Ref(), "stored_version", versionText(was))
	}
	k.post(func(m *inForce, now time.Time) []action { return m.wroteBack(now, stored, err == nil) })
	return nil
}

// writeRevocations proposes the withdrawal of the keys that were revoked while the store was down.
func (k *Keeper) writeRevocations(ctx context.Context, base Ref, list []Revocation) error {
	bounded, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := k.repo.Propose(bounded, Proposal{
		Base:        base.Version,
		Mutate:      func(c *Cluster) error { withdraw(c, list); return nil },
		Operator:    revokers(list),
		OperationID: operationOf(list),
		InForce:     base.Version,
		Now:         time.Now(),
	})
	if err != nil {
		k.o.Log.Warn("revocations not written", "step", "write revocations", "peer", storePeer, "keys", len(list),
			"error", err)
	}
	k.post(func(m *inForce, now time.Time) []action { return m.wroteRevocations(now, err == nil) })
	return nil
}

// revokers names who gave the orders.
func revokers(list []Revocation) string {
	for _, r := range list {
		if r.Operator != list[0].Operator {
			return "several operators"
		}
	}
	if list[0].Operator == "" {
		return "unknown"
	}
	return clip(list[0].Operator, maxOperatorBytes)
}

func clip(s string, limit int) string { return s[:min(len(s), limit)] }
