// Package session holds the read floor of a caller's session and the signed token that carries a floor to another
// connection. It has no goroutines, sockets or clock reads.
package session

import (
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Origin says where a floor comes from.
type Origin uint8

// Origins of a floor.
const (
	// OriginNone means that the session has no floor yet and needs a read index.
	OriginNone Origin = iota
	// OriginReadIndex is a floor that may never have been acknowledged.
	OriginReadIndex
	// OriginCommit is a floor from the session's own acknowledged commit.
	OriginCommit
	// OriginToken is a floor from a valid token, which is made only from an acknowledged commit.
	OriginToken
)

// Floor is the position that a read must see.
type Floor struct {
	Position position.Position
	Origin   Origin
}

// Known reports whether there is a floor.
func (f Floor) Known() bool { return f.Origin != OriginNone }

// Fault reports an acknowledged position that lies beyond the end of its term, so that an acknowledged record is
// missing from the group's log.
type Fault struct {
	Group  upstream.GroupID
	Floor  Floor
	EndLSN position.LSN
}

// Error names the group, the position and the end of its term.
func (f *Fault) Error() string { return "" }

// Floors holds the floor of one session in each group. The zero value is ready for use. It is not safe for concurrent
// use.
type Floors struct{}

// Get returns the floor in the group.
func (f *Floors) Get(g upstream.GroupID) Floor { return Floor{} }

// Raise raises the floor in the group to p, and reports whether it did. Floors are kept across terms and never go back.
func (f *Floors) Raise(g upstream.GroupID, p position.Position, o Origin) bool { return false }

// Resolve applies the clamping rule to a floor: a floor from a read index beyond the start of the next term is cut to
// that start. An acknowledged floor beyond it is a fault: it is returned unchanged with a *Fault, and the session must
// be served by the primary.
func Resolve(g upstream.GroupID, f Floor, h position.History) (position.Position, *Fault) {
	return f.Position, nil
}
