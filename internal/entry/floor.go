package entry

import (
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// floor is the lowest position that reads of a session in one group must observe.
type floor struct {
	group    upstream.GroupID
	position position.Position
	// fromToken is true until a home reports a position for the session.
	fromToken bool
	// acknowledged is true when the position comes from an acknowledged write of the session or from a token. Tokens
	// are issued only for acknowledged writes.
	acknowledged bool
}

// floors holds the floors of a session by group. There is more than one only if its route was moved to another group.
type floors []floor

func (f floors) find(g upstream.GroupID) *floor {
	for i := range f {
		if f[i].group == g {
			return &f[i]
		}
	}
	return nil
}

// raise raises the floor of the group to a later position and reports whether it rose. A floor from a token is replaced
// by the first position that a home reports, because the home has verified that one.
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
