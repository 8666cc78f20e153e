package audit

import "sync"

// RingRecords is the number of records that an instance keeps in memory.
const RingRecords = 4_096

// Ring keeps the newest records. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	records []Record
	next    int
	full    bool
}

// NewRing returns a ring for the given number of records.
func NewRing(size int) *Ring { return &Ring{records: make([]Record, size)} }

// Add stores a record in place of the oldest one.
func (g *Ring) Add(r Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.records[g.next] = r
	g.next++
	if g.next == len(g.records) {
		g.next, g.full = 0, true
	}
}

// All returns the records, oldest first.
func (g *Ring) All() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.full {
		return append([]Record(nil), g.records[:g.next]...)
	}
	out := append([]Record(nil), g.records[g.next:]...)
	return append(out, g.records[:g.next]...)
}
