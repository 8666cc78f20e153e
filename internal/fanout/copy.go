package fanout

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/celerystep/celerystep/internal/mirror"
)

// maxDeletions bounds the remembered deletions of a Copy. An instance that missed more of them reads the complete content.
const maxDeletions = 2048

// Copy holds the content below a prefix as of a revision of the store. It is safe for concurrent use.
type Copy struct {
	mu      sync.Mutex
	entries map[string]*stored
	// deletions holds the deleted keys in the order of their revisions, which all exceed deletionsAfter.
	deletions      []mirror.Event
	deletionsAfter uint64
	revision       uint64
	confirmedAt    time.Time
	// changed is closed when the content changes.
	changed chan struct{}
}

// stored is an entry with its compressed value, which is computed when it is first needed.
type stored struct {
	mirror.Entry
	compressed []byte
}

// NewCopy returns an empty copy without a revision.
func NewCopy() *Copy {
	return &Copy{entries: make(map[string]*stored), changed: make(chan struct{})}
}

// Reset replaces the content by a complete list.
func (c *Copy) Reset(entries []mirror.Entry, at mirror.SyncPoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.Revision < c.revision {
		return
	}
	next := make(map[string]*stored, len(entries))
	for _, e := range entries {
		if old := c.entries[e.Key]; old != nil && old.Revision >= e.Revision {
			next[e.Key] = old
			continue
		}
		next[e.Key] = &stored{Entry: e}
	}
	c.recordMissing(next, at.Revision)
	c.entries = next
	c.confirm(at)
	c.notify()
}

// recordMissing records the deletions that a list at a revision implies. The caller holds c.mu.
func (c *Copy) recordMissing(listed map[string]*stored, revision uint64) {
	if c.revision == 0 {
		c.deletionsAfter = revision
		return
	}
	for key := range c.entries {
		if listed[key] == nil {
			// The deletion itself is older. Whoever knows the content at this revision knows of it.
			c.addDeletion(mirror.Event{Entry: mirror.Entry{Key: key, Revision: revision}, Deleted: true})
		}
	}
}

// addDeletion remembers a deletion and forgets the oldest one if there are too many. The caller holds c.mu.
func (c *Copy) addDeletion(e mirror.Event) {
	at, _ := slices.BinarySearchFunc(c.deletions, e.Revision, func(d mirror.Event, r uint64) int { return cmp.Compare(d.Revision, r) })
	c.deletions = slices.Insert(c.deletions, at, e)
	if len(c.deletions) > maxDeletions {
		c.deletionsAfter = c.deletions[0].Revision
		c.deletions = slices.Delete(c.deletions, 0, 1)
	}
}

// Apply adds the changes between at.After and at.Revision. It ignores them and returns false when changes before at.After
// are missing: the copy is then current again after the next Reset.
func (c *Copy) Apply(events []mirror.Event, at mirror.SyncPoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision == 0 || at.After > c.revision {
		return false
	}
	changed := false
	for _, e := range events {
		changed = c.apply(e) || changed
	}
	c.confirm(at)
	if changed {
		c.notify()
	}
	return true
}

// apply adds one change and reports whether it was unknown. The caller holds c.mu.
func (c *Copy) apply(e mirror.Event) bool {
	known := c.entries[e.Key]
	switch {
	case e.Revision <= c.revision || known != nil && known.Revision >= e.Revision:
		return false
	case !e.Deleted:
		c.entries[e.Key] = &stored{Entry: e.Entry}
		return true
	case known == nil:
		return false
	}
	delete(c.entries, e.Key)
	c.addDeletion(e)
	return true
}

// confirm records that the content was current at a sync point. The caller holds c.mu.
func (c *Copy) confirm(at mirror.SyncPoint) {
	c.revision = max(c.revision, at.Revision)
	if at.RequestedAt.After(c.confirmedAt) {
		c.confirmedAt = at.RequestedAt
	}
}

// notify wakes the waiters. The caller holds c.mu.
func (c *Copy) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Wake wakes all waiters as if the content had changed, for example because this instance stops to pass it on.
func (c *Copy) Wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notify()
}

// State returns the revision of the content, the time at which the store last confirmed it, and a channel that is closed
// at the next change. The revision is 0 until the first Reset.
func (c *Copy) State() (revision uint64, confirmedAt time.Time, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision, c.confirmedAt, c.changed
}

// Since returns the changes after a revision, without an age. After 0 returns the complete content without deletions.
func (c *Copy) Since(after uint64) Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := Answer{Revision: c.revision}
	if after > 0 && after < c.deletionsAfter {
		a.Compacted = true
		return a
	}
	for _, e := range c.entries {
		if e.Revision > after {
			a.Changes = append(a.Changes, e.change())
		}
	}
	if after > 0 {
		for _, d := range c.deletions {
			if d.Revision > after {
				a.Changes = append(a.Changes, Change{Event: d})
			}
		}
	}
	slices.SortFunc(a.Changes, func(x, y Change) int { return cmp.Compare(x.Revision, y.Revision) })
	return a
}

// change returns the entry as a change, with its value compressed if that saves much. The caller holds Copy.mu, so that
// concurrent requests compress a value once.
func (s *stored) change() Change {
	if len(s.Value) < minCompressedBytes {
		return Change{Event: mirror.Event{Entry: s.Entry}}
	}
	if s.compressed == nil {
		s.compressed = compress(s.Value)
	}
	e := s.Entry
	e.Value = nil
	return Change{Event: mirror.Event{Entry: e}, Compressed: s.compressed}
}
