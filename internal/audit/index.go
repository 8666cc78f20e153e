package audit

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/platform"
)

const (
	// indexPrefix starts the keys of the index. The index bounds the stored batches of all instances, also of those
	// that no longer exist, and serves to find batches by time.
	indexPrefix = "audit-index/"
	// indexShards spreads the writers over several keys.
	indexShards = 16
	// shardBatches bounds the batches of a shard: 16 shards of 256 batches of 64 KB are at most 256 MB.
	shardBatches = 256
)

// index lists the batches of one shard in the order in which they were entered.
type index struct {
	Batches []batchRef `json:"batches"`
}

// batchRef names a batch with the times of its records in milliseconds since 1970.
type batchRef struct {
	Key     string `json:"key"`
	FirstMS int64  `json:"first_ms"`
	LastMS  int64  `json:"last_ms"`
}

func (x *index) has(key string) bool {
	for _, b := range x.Batches {
		if b.Key == key {
			return true
		}
	}
	return false
}

func indexKey(shard uint64) string { return fmt.Sprintf("%s%02d", indexPrefix, shard) }

// enter adds a batch to the index before it is written, so that each stored batch is in the index. Batches above the
// bound are deleted first: a stop in between leaves entries without a batch, which readers skip.
func (w *writer) enter(ctx context.Context, ref batchRef) error {
	key := indexKey(xxhash.Sum64String(string(w.self)) % indexShards)
	for range maxConflicts {
		x, revision, err := w.readIndex(ctx, key)
		if err != nil {
			return err
		}
		if x.has(ref.Key) {
			return nil
		}
		surplus := max(0, len(x.Batches)+1-shardBatches)
		if err := w.deleteBatches(ctx, x.Batches[:surplus]); err != nil {
			return err
		}
		x.Batches = append(x.Batches[surplus:], ref)
		value, err := json.Marshal(x)
		if err != nil {
			return err
		}
		_, err = w.swap(ctx, key, revision, value)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return errors.Errorf("%s changed during each of %d tries", key, maxConflicts)
}

func (w *writer) readIndex(ctx context.Context, key string) (index, uint64, error) {
	var x index
	e, err := w.get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return x, 0, nil
	}
	if err != nil {
		return x, 0, err
	}
	return x, e.Revision, json.Unmarshal(e.Value, &x)
}

func (w *writer) deleteBatches(ctx context.Context, refs []batchRef) error {
	for _, ref := range refs {
		e, err := w.get(ctx, ref.Key)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return err
		}
		if err := w.delete(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

func (w *writer) delete(ctx context.Context, e platform.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	err := w.store.Delete(ctx, e.Key, e.Revision)
	if errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrConflict) {
		return nil // another instance of the shard deleted it
	}
	return err
}
