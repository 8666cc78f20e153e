package entry

import (
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// floor is the position that a session's reads of one group must see.
type floor struct {
	group    upstream.GroupID
	position position.Position
	// fromToken is true until the session has a position of its own.
	fromToken bool
	// acknowledged is true when the position is that of an own acknowledged write, or of a token, which is made only
	// from one.
	acknowledged bool
}

// floors holds the floors of a session. A session has one unless its route was moved to another group.
type floors []floor

func (f floors) find(g upstream.GroupID) *floor {
	for i := range f {
		if f[i].group == g {
			return &f[i]
		}
	}
	return nil
}

// raise takes in a later position and reports whether the floor rose. A position from a token is replaced by the first
// one that a home reports, because the home has checked it.
func (f *floors) raise(n floor) bool {
	old := f.find(n.group)
	if old == nil {
		*f = append(*f, n)
		return true
	}
	rose := old.position.Less(n.position)
	if rose || old.fromToken && !n.fromToken {
		*old = n
	}
	return rose
}
