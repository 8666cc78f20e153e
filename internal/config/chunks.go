package config

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/celerystep/celerystep/internal/platform"
)

// putLimit bounds the chunks written at a time. The key-value service takes several hundred writes a second in all.
const putLimit = 4

// putChunks stores the chunks that the stored root does not refer to and returns their entries.
func (r *Repository) putChunks(ctx context.Context, e, stored *Encoded) ([]platform.Entry, error) {
	var (
		mu      sync.Mutex
		created []platform.Entry
	)
	present := stored.hashes()
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(putLimit)
	for h, p := range e.Chunks {
		if present[h] {
			continue
		}
		g.Go(func() error {
			entry, err := r.putChunk(ctx, h, p)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			created = append(created, entry)
			return nil
		})
	}
	err := g.Wait()
	return created, err
}

// putChunk stores one chunk. A chunk that exists already is written again, which changes its revision: collection
// deletes a chunk only at the revision at which it found it unused, so it cannot delete one that is about to be used.
func (r *Repository) putChunk(ctx context.Context, h Hash, p []byte) (platform.Entry, error) {
	var out platform.Entry
	err := r.repeat(ctx, "write chunk", func(ctx context.Context) error {
		var err error
		out, err = r.store.CompareAndSwap(ctx, chunkKey(h), 0, p, 0)
		if errors.Is(err, platform.ErrConflict) {
			out, err = r.rewriteChunk(ctx, h, p)
		}
		return err
	})
	return out, err
}

func (r *Repository) rewriteChunk(ctx context.Context, h Hash, p []byte) (platform.Entry, error) {
	found, err := r.store.Get(ctx, chunkKey(h))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return platform.Entry{}, err
	}
	e, err := r.store.CompareAndSwap(ctx, chunkKey(h), found.Revision, p, 0)
	if errors.Is(err, platform.ErrConflict) {
		return e, errors.Errorf("chunk %s changed while it was written", h.Short())
	}
	return e, err
}

// dropChunks deletes what an abandoned proposal wrote. Its failure only leaves work for the collection.
func (r *Repository) dropChunks(ctx context.Context, created []platform.Entry) {
	for _, e := range created {
		_ = withTimeout(ctx, func(ctx context.Context) error {
			return r.store.Delete(ctx, e.Key, e.Revision)
		})
	}
}

// keepHistory stores a root that is about to be replaced under config/history/, so that its operation id can be found
// after a lost answer and its chunks are kept.
func (r *Repository) keepHistory(ctx context.Context, e *Encoded) error {
	if e == nil {
		return nil
	}
	err := r.repeat(ctx, "write history", func(ctx context.Context) error {
		_, err := r.store.CompareAndSwap(ctx, historyKey(e.Root.Version, e.Hash), 0, e.Bytes, 0)
		return err
	})
	if errors.Is(err, platform.ErrConflict) {
		return nil // stored by an earlier attempt
	}
	return err
}

// WriteBack stores a configuration that is in force when the key-value service holds an older one or another one of
// the same version, as after a restart from an old copy. It returns the configuration that the service holds then.
func (r *Repository) WriteBack(ctx context.Context, e *Encoded) (Ref, error) {
	return r.writeBack(ctx, e, func(stored Ref) bool {
		return stored.Version < e.Root.Version || stored.Version == e.Root.Version && stored != e.Ref()
	})
}

// Restore stores an accepted configuration that the key-value service has lost. Unlike WriteBack it leaves another one
// of the same version alone, because that one may be in force. It returns the configuration that the service holds
// then; the accepted one may be lost when that is not newer than itself and differs.
func (r *Repository) Restore(ctx context.Context, e *Encoded) (Ref, error) {
	return r.writeBack(ctx, e, func(stored Ref) bool { return stored.Version < e.Root.Version })
}

func (r *Repository) writeBack(ctx context.Context, e *Encoded, replaces func(stored Ref) bool) (Ref, error) {
	for attempt := 1; ; attempt++ {
		stored, err := r.storedRoot(ctx)
		if err != nil {
			return Ref{}, err
		}
		if !replaces(stored.ref()) {
			return stored.ref(), nil
		}
		err = r.replaceWith(ctx, e, stored)
		if err == nil {
			return e.Ref(), nil
		}
		if attempt == readAttempts || !backoff(ctx, attempt) {
			return Ref{}, &UnavailableError{Step: "write back", Err: err}
		}
	}
}

// rootEntry is the stored root without its chunks; Encoded is nil when there is none.
type rootEntry struct {
	encoded  *Encoded
	revision uint64
}

func (s rootEntry) ref() Ref {
	if s.encoded == nil {
		return Ref{}
	}
	return s.encoded.Ref()
}

func (r *Repository) storedRoot(ctx context.Context) (rootEntry, error) {
	e, err := r.read(ctx, "read root", rootKey)
	if errors.Is(err, platform.ErrNotFound) {
		return rootEntry{}, nil
	}
	if err != nil {
		return rootEntry{}, err
	}
	root, err := ParseRoot(e.Value)
	if err != nil {
		return rootEntry{}, err
	}
	return rootEntry{encoded: &Encoded{Root: root, Bytes: e.Value, Hash: HashOf(e.Value)}, revision: e.Revision}, nil
}

func (r *Repository) replaceWith(ctx context.Context, e *Encoded, stored rootEntry) error {
	if _, err := r.putChunks(ctx, e, stored.encoded); err != nil {
		return err
	}
	if err := r.keepHistory(ctx, stored.encoded); err != nil {
		return err
	}
	return withTimeout(ctx, func(ctx context.Context) error {
		_, err := r.store.CompareAndSwap(ctx, rootKey, stored.revision, e.Bytes, 0)
		return err
	})
}
