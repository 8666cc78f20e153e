package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"
)

// Hash is the SHA-256 sum of a stored chunk or root.
type Hash [sha256.Size]byte

// HashOf returns the hash of stored bytes.
func HashOf(p []byte) Hash { return sha256.Sum256(p) }

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Short returns the first characters of the hash for logs.
func (h Hash) Short() string { return hex.EncodeToString(h[:4]) }

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	p, err := hex.DecodeString(string(text))
	if err != nil {
		return errors.Wrap(err, "parse hash")
	}
	if len(p) != len(h) {
		return errors.Errorf("hash has %d bytes; %d are needed", len(p), len(h))
	}
	copy(h[:], p)
	return nil
}

// Ref identifies one configuration. Two roots with the same version exist only when the store has lost an accepted
// root and an operator then made another one.
type Ref struct {
	Version uint64 `json:"version"`
	Root    Hash   `json:"root"`
}

// IsZero reports whether no configuration is meant.
func (r Ref) IsZero() bool { return r.Version == 0 }

// Newer orders configurations: by version, then by hash so that all instances choose the same of two roots with the
// same version.
func (r Ref) Newer(o Ref) bool {
	if r.Version != o.Version {
		return r.Version > o.Version
	}
	return slices.Compare(r.Root[:], o.Root[:]) > 0
}

// rootFormat changes when older daemons would misread the encoding. They keep their version in force then.
const rootFormat = 1

// maxSummaryLines bounds the changes that a root describes in words.
const maxSummaryLines = 20

// Root lists the chunks of one configuration. It is the only value that a change replaces.
type Root struct {
	Format      int    `json:"format"`
	Version     uint64 `json:"version"`
	OperationID string `json:"operation_id"`
	// Operator asked for the change, at UnixMS by the clock of celerystepctl.
	Operator string `json:"operator"`
	UnixMS   int64  `json:"unix_ms"`
	// Summary holds the first changes in words, and Changes the number of all.
	Summary []string   `json:"summary,omitempty"`
	Changes int        `json:"changes"`
	Chunks  []ChunkRef `json:"chunks"`
}

// ChunkRef names the chunk that holds one section.
type ChunkRef struct {
	Section string `json:"section"`
	Hash    Hash   `json:"hash"`
	// Bytes is the compressed size.
	Bytes int `json:"bytes"`
}

func (r *Root) hashes() map[Hash]bool {
	out := make(map[Hash]bool, len(r.Chunks))
	for _, c := range r.Chunks {
		out[c.Hash] = true
	}
	return out
}

func (r *Root) summarize(changes []Change) {
	r.Changes = len(changes)
	r.Summary = nil
	for _, c := range changes[:min(len(changes), maxSummaryLines)] {
		r.Summary = append(r.Summary, c.String())
	}
}

// Encoded is one configuration as it is stored.
type Encoded struct {
	Root   Root
	Bytes  []byte
	Hash   Hash
	Chunks map[Hash][]byte
}

// Ref returns the identity of the encoded configuration.
func (e *Encoded) Ref() Ref { return Ref{Version: e.Root.Version, Root: e.Hash} }

// hashes returns the chunks that the root refers to; none for nil.
func (e *Encoded) hashes() map[Hash]bool {
	if e == nil {
		return nil
	}
	return e.Root.hashes()
}

// Size returns the compressed size of all chunks and of the root in bytes.
func (e *Encoded) Size() int {
	n := len(e.Bytes)
	for _, c := range e.Chunks {
		n += len(c)
	}
	return n
}

// seal encodes the root once its fields are complete.
func (e *Encoded) seal() error {
	slices.SortFunc(e.Root.Chunks, func(a, b ChunkRef) int { return cmp.Compare(a.Section, b.Section) })
	p, err := json.Marshal(e.Root)
	if err != nil {
		return errors.Wrap(err, "encode root")
	}
	if len(p) > maxChunkBytes {
		return errors.Errorf("root has %d bytes; at most %d are allowed", len(p), maxChunkBytes)
	}
	e.Bytes = p
	e.Hash = HashOf(p)
	return nil
}

// ParseRoot decodes a stored root. It returns an error for a format that this program does not know.
func ParseRoot(p []byte) (Root, error) {
	var r Root
	if err := json.Unmarshal(p, &r); err != nil {
		return Root{}, errors.Wrap(err, "decode root")
	}
	if r.Format != rootFormat {
		return Root{}, errors.Errorf("root has format %d; this program reads format %d", r.Format, rootFormat)
	}
	if r.Version == 0 {
		return Root{}, errors.New("root has no version")
	}
	return r, nil
}
