package config

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/platform"
)

const (
	// collectPartitions splits the chunks by the first hexadecimal digit of their hash; one run looks at one part.
	collectPartitions = 16
	// collectListLimit bounds the chunks that one run reads.
	collectListLimit = 128
	// pruneLimit bounds the roots that one change removes from the history.
	pruneLimit = 8
)

// candidates lists chunks that no root referred to while the root had the given revision.
type candidates struct {
	RootRevision uint64      `json:"root_revision"`
	Chunks       []candidate `json:"chunks"`
}

type candidate struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Collect deletes chunks that neither the root nor the history refers to. One run looks at one sixteenth of the
// chunks, so the calls of a run are bounded.
//
// A chunk is deleted in the second run that finds it unused, at an unchanged revision, and only if the root was
// replaced in between. The first run lists the chunks while the root does not change. A proposal that was about to use
// the chunk in the first run has then either replaced the root, so that the chunk is referred to, or will fail because
// its base is gone; a later proposal writes the chunk again, which changes its revision.
func (r *Repository) Collect(ctx context.Context) error {
	root, err := r.read(ctx, "read root", rootKey)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	used, version, err := r.usedChunks(ctx, root)
	if err != nil {
		return err
	}
	return r.collectPart(ctx, fmt.Sprintf("%x", version%collectPartitions), root.Revision, used)
}

// collectPart deletes the candidates of one part and lists new ones.
func (r *Repository) collectPart(ctx context.Context, part string, rootRevision uint64, used map[Hash]bool) error {
	key := collectPrefix + part
	entry, err := r.read(ctx, "read candidates", key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if err := r.deleteCandidates(ctx, entry.Value, rootRevision, used); err != nil {
		return err
	}
	return r.recordCandidates(ctx, key, entry.Revision, chunkPrefix+part, rootRevision, used)
}

// usedChunks returns the chunks of the root and of the history. The root is read first: a root that is replaced in
// between is then found in the history.
func (r *Repository) usedChunks(ctx context.Context, entry platform.Entry) (map[Hash]bool, uint64, error) {
	root, err := ParseRoot(entry.Value)
	if err != nil {
		return nil, 0, err
	}
	used := root.hashes()
	replaced, err := r.replaced(ctx)
	if err != nil {
		return nil, 0, err
	}
	for _, h := range replaced {
		for _, c := range h.Root.Chunks {
			used[c.Hash] = true
		}
	}
	return used, root.Version, nil
}

// deleteCandidates deletes the chunks of a list that was made before the root was replaced.
func (r *Repository) deleteCandidates(ctx context.Context, document []byte, rootRevision uint64, used map[Hash]bool) error {
	if document == nil {
		return nil
	}
	var found candidates
	if err := json.Unmarshal(document, &found); err != nil {
		return errors.Wrap(err, "decode candidates")
	}
	if found.RootRevision == rootRevision {
		return nil
	}
	for _, c := range found.Chunks {
		h, err := hashOfChunkKey(c.Key)
		if err != nil || used[h] {
			continue
		}
		if err := r.remove(ctx, "delete chunk", c.Key, c.Revision); err != nil {
			return err
		}
	}
	return nil
}

// recordCandidates lists the unused chunks with the prefix under the key.
func (r *Repository) recordCandidates(
	ctx context.Context, key string, revision uint64, prefix string, rootRevision uint64, used map[Hash]bool,
) error {
	entries, err := r.list(ctx, "list chunks", prefix, collectListLimit)
	if err != nil {
		return err
	}
	if root, err := r.read(ctx, "read root", rootKey); err != nil || root.Revision != rootRevision {
		return err // a proposal for the new root may have written chunks that are in the list
	}
	next := candidates{RootRevision: rootRevision}
	for _, e := range entries {
		if h, err := hashOfChunkKey(e.Key); err == nil && !used[h] {
			next.Chunks = append(next.Chunks, candidate{Key: e.Key, Revision: e.Revision})
		}
	}
	document, err := json.Marshal(next)
	if err != nil {
		return err
	}
	err = r.repeat(ctx, "write candidates", func(ctx context.Context) error {
		_, err := r.store.CompareAndSwap(ctx, key, revision, document, 0)
		return err
	})
	if errors.Is(err, platform.ErrConflict) {
		return nil // another run wrote its own list
	}
	return err
}

// pruneHistory removes the oldest roots so that historyVersions remain.
func (r *Repository) pruneHistory(ctx context.Context) error {
	replaced, err := r.replaced(ctx)
	if err != nil {
		return err
	}
	surplus := min(len(replaced)-historyVersions, pruneLimit)
	for i := 0; i < surplus; i++ {
		if err := r.remove(ctx, "prune history", replaced[i].entry.Key, replaced[i].entry.Revision); err != nil {
			return err
		}
	}
	return nil
}

// remove deletes a key at a revision; it is no error when the key changed or is gone.
func (r *Repository) remove(ctx context.Context, step, key string, revision uint64) error {
	err := r.repeat(ctx, step, func(ctx context.Context) error {
		return r.store.Delete(ctx, key, revision)
	})
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return err
}
