// Package session holds the read floor of a caller's session, which is the log position that its reads must include
// (read-your-writes), and the signed token that carries a floor to another connection. It has no goroutines, sockets or
// clock reads.
package session

import (
	"fmt"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Origin is the source of a floor.
type Origin uint8

// Origins of a floor.
const (
	// OriginNone means that the session has no floor yet and must obtain a read index.
	OriginNone Origin = iota
	// OriginReadIndex is a floor from a read index, which may lie beyond the last acknowledged position.
	OriginReadIndex
	// OriginCommit is a floor from the session's own acknowledged commit.
	OriginCommit
	// OriginToken is a floor from a valid token, which is made only from an acknowledged commit.
	OriginToken
)

// String returns the name used in logs and audit records.
func (o Origin) String() string {
	switch o {
	case OriginReadIndex:
		return "read_index"
	case OriginCommit:
		return "commit"
	case OriginToken:
		return "token"
	default:
		return "none"
	}
}

// Floor is the position that a read must include.
type Floor struct {
	Position position.Position
	Origin   Origin
}

// Known reports whether there is a floor.
func (f Floor) Known() bool { return f.Origin != OriginNone }

// acknowledged reports whether a majority is known to have received the position.
func (f Floor) acknowledged() bool { return f.Origin == OriginCommit || f.Origin == OriginToken }

// MissingRecordError reports an acknowledged position beyond the end of its term, which means that an acknowledged record
// is missing from the group's log.
type MissingRecordError struct {
	Group upstream.GroupID
	Floor Floor
	// EndLSN is the last LSN of the log that belongs to the floor's term.
	EndLSN position.LSN
}

// Error names the group, the position and the end of its term.
func (f *MissingRecordError) Error() string {
	return fmt.Sprintf("group=%s: %s floor %s lies beyond the end of its term at %d; an acknowledged record is missing",
		f.Group, f.Floor.Origin, f.Floor.Position, f.EndLSN)
}

// Floors holds the floor of one session in each group. The zero value is ready to use. It is not safe for concurrent
// use.
type Floors struct {
	// entries is a slice because a session usually uses one group and rarely more than two.
	entries []entry
}

type entry struct {
	group upstream.GroupID
	floor Floor
}

// Get returns the floor in the group.
func (f *Floors) Get(g upstream.GroupID) Floor {
	for i := range f.entries {
		if f.entries[i].group == g {
			return f.entries[i].floor
		}
	}
	return Floor{}
}

// Raise raises the floor in the group to p if p is later, and reports whether it did. Floors are kept across terms and
// never decrease. Comparing with position.Less is safe here, because a log that contains an acknowledged position of a
// later term contains all acknowledged positions of earlier terms.
func (f *Floors) Raise(g upstream.GroupID, p position.Position, o Origin) bool {
	if o == OriginNone {
		return false
	}
	for i := range f.entries {
		e := &f.entries[i]
		if e.group != g {
			continue
		}
		return e.floor.raise(Floor{Position: p, Origin: o})
	}
	f.entries = append(f.entries, entry{group: g, floor: Floor{Position: p, Origin: o}})
	return true
}

func (f *Floor) raise(n Floor) bool {
	if f.Position.Less(n.Position) {
		*f = n
		return true
	}
	// A commit at the same position as a read index makes the floor an acknowledged one.
	if f.Position == n.Position && n.acknowledged() {
		f.Origin = n.Origin
	}
	return false
}

// Resolve clamps a floor to the history h: a floor from a read index beyond the start of the next term is reduced to that
// start. An acknowledged floor beyond it is returned unchanged with a *MissingRecordError, and the session must then be
// served by the primary.
func Resolve(g upstream.GroupID, f Floor, h position.History) (position.Position, *MissingRecordError) {
	if f.Position.Term >= h.LastTerm() {
		return f.Position, nil
	}
	p, beyond := h.Clamp(f.Position)
	if beyond && f.acknowledged() {
		return f.Position, &MissingRecordError{Group: g, Floor: f, EndLSN: p.LSN}
	}
	return p, nil
}
