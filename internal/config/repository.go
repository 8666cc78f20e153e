package config

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/platform"
)

// Keys in the key-value service.
const (
	rootKey       = "config/root"
	chunkPrefix   = "config/chunk/"
	historyPrefix = "config/history/"
	collectPrefix = "config/collect/"
)

const (
	// callTimeout bounds one call to the key-value service. It answers in milliseconds when it is well.
	callTimeout = 2 * time.Second
	// readAttempts bounds the tries of a read or of a write that is safe to repeat. With the delays below, an operator
	// learns of an outage after 1.3 s.
	readAttempts = 6
	// firstBackoff doubles with each attempt up to lastBackoff.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 500 * time.Millisecond
	// historyVersions is the number of replaced roots whose chunks are kept.
	historyVersions = 20
	// historyListLimit leaves room for roots that a stopped operator command has not removed.
	historyListLimit = 4 * historyVersions
)

// Repository reads and changes the configuration in the key-value service. It is safe for concurrent use.
type Repository struct {
	store platform.Store

	mu sync.Mutex
	// chunks caches the chunks of the configuration loaded last.
	chunks map[Hash][]byte
}

// NewRepository returns a repository over the store.
func NewRepository(store platform.Store) *Repository {
	return &Repository{store: store, chunks: make(map[Hash][]byte)}
}

// Stored is a configuration read from the key-value service. Cluster is nil when there is none yet.
type Stored struct {
	Cluster  *Cluster
	Encoded  *Encoded
	revision uint64
}

// Version returns the version, or 0 when there is no configuration.
func (s *Stored) Version() uint64 {
	if s.Encoded == nil {
		return 0
	}
	return s.Encoded.Root.Version
}

// Load reads the present configuration. It returns an *UnavailableError when the service does not answer.
func (r *Repository) Load(ctx context.Context) (*Stored, error) {
	e, err := r.read(ctx, "read root", rootKey)
	if errors.Is(err, platform.ErrNotFound) {
		return &Stored{}, nil
	}
	if err != nil {
		return nil, err
	}
	enc, err := r.complete(ctx, e.Value)
	if err != nil {
		return nil, err
	}
	c, err := NewDecoder().Decode(enc)
	if err != nil {
		return nil, err
	}
	return &Stored{Cluster: c, Encoded: enc, revision: e.Revision}, nil
}

// LoadVersion returns the configuration with the given version if it is present or among the roots in the history.
func (r *Repository) LoadVersion(ctx context.Context, version uint64) (*Cluster, error) {
	roots, err := r.History(ctx)
	if err != nil {
		return nil, err
	}
	for _, h := range roots {
		if h.Root.Version == version {
			return r.loadRoot(ctx, h.Bytes)
		}
	}
	return nil, errors.Errorf("version %d is not kept; the last %d replaced versions are", version, historyVersions)
}

func (r *Repository) loadRoot(ctx context.Context, rootBytes []byte) (*Cluster, error) {
	enc, err := r.complete(ctx, rootBytes)
	if err != nil {
		return nil, err
	}
	return NewDecoder().Decode(enc)
}

// StoredRoot is a root with its stored bytes.
type StoredRoot struct {
	Root  Root
	Bytes []byte
}

// History returns the present root and the replaced ones that are kept, newest first.
func (r *Repository) History(ctx context.Context) ([]StoredRoot, error) {
	var out []StoredRoot
	e, err := r.read(ctx, "read root", rootKey)
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return nil, err
	default:
		root, err := ParseRoot(e.Value)
		if err != nil {
			return nil, err
		}
		out = append(out, StoredRoot{Root: root, Bytes: e.Value})
	}
	replaced, err := r.replaced(ctx)
	if err != nil {
		return nil, err
	}
	for i := len(replaced) - 1; i >= 0; i-- {
		if len(out) > 0 && string(replaced[i].Bytes) == string(out[0].Bytes) {
			continue // written before a replacement that did not happen
		}
		out = append(out, replaced[i].StoredRoot)
	}
	return out, nil
}

type replacedRoot struct {
	StoredRoot
	entry platform.Entry
}

// replaced returns the roots under config/history/, oldest first.
func (r *Repository) replaced(ctx context.Context) ([]replacedRoot, error) {
	entries, err := r.list(ctx, "list history", historyPrefix, historyListLimit)
	if err != nil {
		return nil, err
	}
	out := make([]replacedRoot, 0, len(entries))
	for _, e := range entries {
		root, err := ParseRoot(e.Value)
		if err != nil {
			return nil, errors.Wrap(err, e.Key)
		}
		out = append(out, replacedRoot{StoredRoot: StoredRoot{Root: root, Bytes: e.Value}, entry: e})
	}
	return out, nil
}

func (r *Repository) complete(ctx context.Context, rootBytes []byte) (*Encoded, error) {
	r.mu.Lock()
	kept := r.chunks
	r.mu.Unlock()
	e, err := assemble(ctx, rootBytes, kept, r.FetchChunk)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.chunks = e.Chunks
	r.mu.Unlock()
	return e, nil
}

// FetchChunk reads one chunk.
func (r *Repository) FetchChunk(ctx context.Context, h Hash) ([]byte, error) {
	e, err := r.read(ctx, "read chunk", chunkKey(h))
	if err != nil {
		return nil, err
	}
	return e.Value, nil
}

func chunkKey(h Hash) string { return chunkPrefix + h.String() }

// historyKey orders roots by version; the hash tells two roots of the same version apart.
func historyKey(version uint64, h Hash) string {
	return fmt.Sprintf("%s%020d-%s", historyPrefix, version, h.Short())
}

func hashOfChunkKey(key string) (Hash, error) {
	var h Hash
	err := h.UnmarshalText([]byte(strings.TrimPrefix(key, chunkPrefix)))
	return h, err
}

// read gets an entry, repeating the call after a failure.
func (r *Repository) read(ctx context.Context, step, key string) (platform.Entry, error) {
	var out platform.Entry
	err := r.repeat(ctx, step, func(ctx context.Context) error {
		var err error
		out, err = r.store.Get(ctx, key)
		return err
	})
	return out, err
}

func (r *Repository) list(ctx context.Context, step, prefix string, limit int) ([]platform.Entry, error) {
	var out []platform.Entry
	err := r.repeat(ctx, step, func(ctx context.Context) error {
		var err error
		out, err = r.store.List(ctx, prefix, limit)
		return err
	})
	return out, err
}

// repeat calls f until it gives a definite answer. It returns an *UnavailableError after readAttempts.
func (r *Repository) repeat(ctx context.Context, step string, f func(context.Context) error) error {
	for attempt := 1; ; attempt++ {
		err := withTimeout(ctx, f)
		if err == nil || definite(err) {
			return err
		}
		if attempt == readAttempts || !backoff(ctx, attempt) {
			return &UnavailableError{Step: step, Err: err}
		}
	}
}

func withTimeout(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f(ctx)
}

// definite reports whether the error is an answer of the key-value service, so that the outcome is known.
func definite(err error) bool {
	return errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrConflict) ||
		errors.Is(err, platform.ErrTooLarge) || errors.Is(err, platform.ErrLeaseExpired)
}

// backoff waits before the next attempt. It returns false when ctx ended.
func backoff(ctx context.Context, attempt int) bool {
	d := min(firstBackoff<<(attempt-1), lastBackoff)
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
