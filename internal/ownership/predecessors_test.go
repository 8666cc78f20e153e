package ownership

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a successor that does not know of an earlier owner which may still act, or waits for one that has ended.
func TestPredecessorsAreClaimsOfOtherInstances(t *testing.T) {
	is := is.New(t)
	now := epoch
	p := NewPlanner(Self{Instance: "b", Process: "b1"})
	p.SetClaim(claim("g", "a", "a1", 1), now)
	p.SetAlive(Process{Instance: "a", ID: "a1"}, true, now)
	is.Equal(len(p.Predecessors("g", time.Time{})), 0)

	p.SetAlive(Process{Instance: "a", ID: "a1"}, false, now)
	p.SetClaim(claim("g", "b", "b0", 2), now.Add(time.Second))
	found := p.Predecessors("g", time.Time{})
	is.Equal(len(found), 1)
	is.Equal(found[0], Predecessor{Claim: claim("g", "a", "a1", 1), ReplacedAt: now.Add(time.Second), LeaseEnded: true})

	p.SetClaim(claim("g", "b", "b1", 3), now.Add(2*time.Second)) // b0 was an earlier process of this instance
	is.Equal(len(p.Predecessors("g", time.Time{})), 1)
	is.Equal(len(p.Predecessors("g", now.Add(time.Second))), 0) // replaced too long ago

	p.Removed("g", now.Add(3*time.Second)) // given up, so that it serves until it knows the next owner
	p.SetClaim(claim("g", "a", "a2", 4), now.Add(3*time.Second))
	p.SetClaim(claim("g", "b", "b1", 5), now.Add(4*time.Second))
	found = p.Predecessors("g", now.Add(time.Second))
	is.Equal(len(found), 1)
	is.Equal(found[0].Claim.Process, "a2")
	is.True(!found[0].LeaseEnded)

	for i := range 3 * maxPredecessors {
		p.SetClaim(claim("g", "a", string(rune('A'+i)), uint64(10+i)), now.Add(5*time.Second))
	}
	is.Equal(len(p.groups["g"].replaced), maxPredecessors)
}
