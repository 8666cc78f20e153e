package audit

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/celerystep/celerystep/internal/platform"
)

// readLimit bounds the batches read at a time.
const readLimit = 8

// ReadStored returns the records in the key-value service that the query selects. It reads the index and the batches
// whose times overlap the query.
func ReadStored(ctx context.Context, store platform.Store, q Query) ([]Record, error) {
	refs, err := findBatches(ctx, store, q)
	if err != nil {
		return nil, err
	}
	var (
		mu  sync.Mutex
		out []Record
	)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(readLimit)
	for _, ref := range refs {
		g.Go(func() error {
			records, err := readBatch(ctx, store, ref.Key)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, records...)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return Select(out, q), nil
}

func findBatches(ctx context.Context, store platform.Store, q Query) ([]batchRef, error) {
	shards, err := store.List(ctx, indexPrefix, indexShards)
	if err != nil {
		return nil, errors.Wrap(err, "read audit index")
	}
	var out []batchRef
	for _, e := range shards {
		var x index
		if err := json.Unmarshal(e.Value, &x); err != nil {
			return nil, errors.Wrap(err, e.Key)
		}
		for _, ref := range x.Batches {
			early := !q.Since.IsZero() && ref.LastMS < q.Since.UnixMilli()
			late := !q.Until.IsZero() && ref.FirstMS > q.Until.UnixMilli()
			if !early && !late {
				out = append(out, ref)
			}
		}
	}
	return out, nil
}

func readBatch(ctx context.Context, store platform.Store, key string) ([]Record, error) {
	e, err := store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil // entered into the index and never written, or deleted since
	}
	if err != nil {
		return nil, errors.Wrap(err, "read "+key)
	}
	var b batch
	if err := json.Unmarshal(e.Value, &b); err != nil {
		return nil, errors.Wrap(err, key)
	}
	out := make([]Record, len(b.Records))
	for i, p := range b.Records {
		if err := json.Unmarshal(p, &out[i]); err != nil {
			return nil, errors.Wrap(err, key)
		}
	}
	return out, nil
}
