package config

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
)

// fetchLimit bounds the chunks that one load asks for at a time.
const fetchLimit = 8

// fetchFunc returns the bytes stored under a hash.
type fetchFunc func(ctx context.Context, h Hash) ([]byte, error)

// assemble completes a root with its chunks. Chunks in kept are not fetched. Fetched bytes are checked against their
// hashes.
func assemble(ctx context.Context, rootBytes []byte, kept map[Hash][]byte, fetch fetchFunc) (*Encoded, error) {
	root, err := ParseRoot(rootBytes)
	if err != nil {
		return nil, err
	}
	e := &Encoded{Root: root, Bytes: rootBytes, Hash: HashOf(rootBytes), Chunks: make(map[Hash][]byte, len(root.Chunks))}
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(fetchLimit)
	for _, ref := range root.Chunks {
		if p, ok := kept[ref.Hash]; ok {
			mu.Lock()
			e.Chunks[ref.Hash] = p
			mu.Unlock()
			continue
		}
		g.Go(func() error {
			p, err := fetch(ctx, ref.Hash)
			if err != nil {
				return errors.Wrapf(err, "chunk %s of section %s", ref.Hash.Short(), ref.Section)
			}
			if HashOf(p) != ref.Hash {
				return errors.Errorf("chunk %s of section %s is damaged", ref.Hash.Short(), ref.Section)
			}
			mu.Lock()
			defer mu.Unlock()
			e.Chunks[ref.Hash] = p
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return e, nil
}
