package classify

import (
	"crypto/sha256"
	"hash/maphash"
	"sync/atomic"
)

const (
	// cacheSets and cacheWays give 8,192 entries.
	cacheSets = 2048
	cacheWays = 4
	// maxKeyBytes bounds the text kept with an entry, so that the cache takes at most 16 MB; of a longer text the
	// SHA-256 digest is kept.
	maxKeyBytes = 2048
)

type cacheEntry struct {
	key       string
	digest    bool
	statement *Statement
}

// cache is a set-associative table keyed by the hash of the normalised text. Readers take no lock. The full text or
// its SHA-256 digest is compared, so a hash collision cannot give a statement the description of another one.
type cache struct {
	seed maphash.Seed
	sets [cacheSets][cacheWays]atomic.Pointer[cacheEntry]
	// next is the way of each set that is replaced next.
	next [cacheSets]atomic.Uint32
}

func newCache() *cache { return &cache{seed: maphash.MakeSeed()} }

func (c *cache) set(text []byte) uint64 { return maphash.Bytes(c.seed, text) % cacheSets }

// get returns the description of the text or nil.
func (c *cache) get(text []byte) *Statement {
	set := &c.sets[c.set(text)]
	if len(text) > maxKeyBytes {
		sum := sha256.Sum256(text)
		return find(set, sum[:], true)
	}
	return find(set, text, false)
}

func find(set *[cacheWays]atomic.Pointer[cacheEntry], key []byte, digest bool) *Statement {
	for i := range set {
		e := set[i].Load()
		if e != nil && e.digest == digest && e.key == string(key) {
			return e.statement
		}
	}
	return nil
}

func (c *cache) put(text []byte, s *Statement) {
	e := &cacheEntry{statement: s, digest: len(text) > maxKeyBytes}
	if e.digest {
		sum := sha256.Sum256(text)
		e.key = string(sum[:])
	} else {
		e.key = string(text)
	}
	i := c.set(text)
	way := c.next[i].Add(1) % cacheWays
	c.sets[i][way].Store(e)
}
