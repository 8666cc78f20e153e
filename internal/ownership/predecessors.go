package ownership

import (
	"time"

	"github.com/celerystep/celerystep/internal/upstream"
)

// maxPredecessors bounds the remembered earlier claims of a group.
const maxPredecessors = 16

// Predecessor is a claim that was replaced by another process's, whose owner may not know that.
type Predecessor struct {
	Claim Claim
	// ReplacedAt is when the replacement was learned.
	ReplacedAt time.Time
	// LeaseEnded is true when the owner's lease had ended by then.
	LeaseEnded bool
}

// Predecessors returns the claims of other instances on the group that were replaced after the given time, in order. Earlier
// processes of this instance have ended and are not among them.
func (p *Planner) Predecessors(id upstream.GroupID, after time.Time) []Predecessor {
	g := p.groups[id]
	if g == nil {
		return nil
	}
	var found []Predecessor
	for _, r := range g.replaced {
		if r.ReplacedAt.After(after) && r.Claim.Owner != p.self.Instance {
			found = append(found, r)
		}
	}
	return found
}

// recordReplacement remembers the last claim when another process has replaced it.
func (g *group) recordReplacement(by Claim, now time.Time) {
	last := g.lastClaim
	if last.Owner == "" || last.OwnerProcess() == by.OwnerProcess() {
		return
	}
	kept := g.replaced[:0]
	for _, r := range g.replaced {
		if r.Claim.OwnerProcess() != last.OwnerProcess() && r.Claim.OwnerProcess() != by.OwnerProcess() {
			kept = append(kept, r)
		}
	}
	g.replaced = append(kept, Predecessor{Claim: last, ReplacedAt: now, LeaseEnded: g.expired})
	if extra := len(g.replaced) - maxPredecessors; extra > 0 {
		g.replaced = g.replaced[extra:]
	}
}
