package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// maxChunkBytes leaves half of the key-value service's 1 MB for growth between two changes of the bucket counts.
	maxChunkBytes = 512 << 10
	// maxSectionBytes bounds the decompressed size, so that a damaged chunk cannot exhaust the memory.
	maxSectionBytes = 16 << 20
)

// Numbers of hash buckets per kind. They are part of the format: another number moves objects to other chunks. With
// 4,000 customers of two keys each a chunk holds about 125 of them, and a change of one key sends 25 KB to each daemon.
const (
	groupBuckets    = 8
	customerBuckets = 32
	routeBuckets    = 8
)

// section is the content of one chunk; exactly one part is filled.
type section struct {
	Base      *base            `json:"base,omitempty"`
	Groups    []upstream.Group `json:"groups,omitempty"`
	Customers []Customer       `json:"customers,omitempty"`
	Routes    []Route          `json:"routes,omitempty"`
}

// base holds the small parts of a configuration, which all belong to one chunk.
type base struct {
	Preset         Preset          `json:"preset"`
	FailureDomains []FailureDomain `json:"failure_domains"`
}

func bucketOf(kind, name string, buckets uint64) string {
	return fmt.Sprintf("%s/%02d", kind, xxhash.Sum64String(name)%buckets)
}

// split distributes the normalized configuration over sections.
func split(c *Cluster) map[string]*section {
	out := map[string]*section{"base": {Base: &base{Preset: c.Preset, FailureDomains: c.FailureDomains}}}
	get := func(name string) *section {
		if out[name] == nil {
			out[name] = &section{}
		}
		return out[name]
	}
	for _, g := range c.Groups {
		s := get(bucketOf("groups", string(g.ID), groupBuckets))
		s.Groups = append(s.Groups, g)
	}
	for _, x := range c.Customers {
		s := get(bucketOf("customers", x.Name, customerBuckets))
		s.Customers = append(s.Customers, x)
	}
	for _, r := range c.Routes {
		s := get(bucketOf("routes", r.Database, routeBuckets))
		s.Routes = append(s.Routes, r)
	}
	return out
}

// Encode returns the stored form of a normalized configuration. Equal configurations have equal chunks. Operator,
// time and summary of the root are taken from about.
func Encode(c *Cluster, about Root) (*Encoded, error) {
	e := &Encoded{Root: about, Chunks: make(map[Hash][]byte)}
	e.Root.Format = rootFormat
	e.Root.Version = c.Version
	e.Root.OperationID = c.OperationID
	e.Root.Chunks = nil
	w := gzip.NewWriter(io.Discard)
	for name, s := range split(c) {
		p, err := compress(w, s)
		if err != nil {
			return nil, errors.Wrapf(err, "encode section %s", name)
		}
		if len(p) > maxChunkBytes {
			return nil, errors.Errorf("section %s has %d bytes compressed; at most %d are allowed", name, len(p), maxChunkBytes)
		}
		h := HashOf(p)
		e.Chunks[h] = p
		e.Root.Chunks = append(e.Root.Chunks, ChunkRef{Section: name, Hash: h, Bytes: len(p)})
	}
	if err := e.seal(); err != nil {
		return nil, err
	}
	return e, nil
}

// compress reuses w, because the tables of a new writer take longer to set up than a small section to compress.
func compress(w *gzip.Writer, s *section) ([]byte, error) {
	var b bytes.Buffer
	w.Reset(&b)
	if err := json.NewEncoder(w).Encode(s); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func decompress(p []byte) (*section, error) {
	r, err := gzip.NewReader(bytes.NewReader(p))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(r, maxSectionBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxSectionBytes {
		return nil, errors.Errorf("more than %d bytes decompressed", maxSectionBytes)
	}
	s := &section{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Decoder decodes configurations and keeps the sections of the last one, so that a change costs only its own chunks.
// It is used by one goroutine at a time.
type Decoder struct {
	sections map[Hash]*section
}

// NewDecoder returns a decoder without kept sections.
func NewDecoder() *Decoder { return &Decoder{sections: make(map[Hash]*section)} }

// Decode returns the configuration. Its parts may be shared with earlier results and must not be changed.
func (d *Decoder) Decode(e *Encoded) (*Cluster, error) {
	kept := make(map[Hash]*section, len(e.Root.Chunks))
	c := &Cluster{Version: e.Root.Version, OperationID: e.Root.OperationID}
	for _, ref := range e.Root.Chunks {
		s, err := d.section(ref, e.Chunks[ref.Hash])
		if err != nil {
			return nil, err
		}
		kept[ref.Hash] = s
		c.append(s)
	}
	d.sections = kept
	c.sortLists()
	return c, nil
}

func (d *Decoder) section(ref ChunkRef, p []byte) (*section, error) {
	if s, ok := d.sections[ref.Hash]; ok {
		return s, nil
	}
	if HashOf(p) != ref.Hash {
		return nil, errors.Errorf("chunk %s of section %s is missing or damaged", ref.Hash.Short(), ref.Section)
	}
	s, err := decompress(p)
	if err != nil {
		return nil, errors.Wrapf(err, "decode section %s", ref.Section)
	}
	return s, nil
}

func (c *Cluster) append(s *section) {
	if s.Base != nil {
		c.Preset = s.Base.Preset
		c.FailureDomains = slices.Clone(s.Base.FailureDomains)
	}
	c.Groups = append(c.Groups, s.Groups...)
	c.Customers = append(c.Customers, s.Customers...)
	c.Routes = append(c.Routes, s.Routes...)
}
