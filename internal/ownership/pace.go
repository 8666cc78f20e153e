package ownership

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// takeSlot is the time between two turns of the instances that take a group over: long enough to learn who has claimed it
	// in the turn before.
	takeSlot = 75 * time.Millisecond
	// takeJitter sets the claims of one turn apart.
	takeJitter = 60 * time.Millisecond
	// farDelay is added when the instance is not in the failure domain of the group's primary.
	farDelay = 100 * time.Millisecond
	// heldDelay is added for each group that the instance owns, so that groups spread over the fleet.
	heldDelay = 250 * time.Millisecond
	// maxTurns is the number of turns after the first in which instances claim a group while the whole fleet starts and nobody
	// knows its size. Half of the instances have the last turn, a quarter the one before it, and so on, so that few claim in
	// the first turn that is taken at all, whatever the size of the fleet.
	maxTurns = 6
	// startSlot is the time between two turns then.
	startSlot = 230 * time.Millisecond
	// startJitter sets the claims of one turn apart.
	startJitter = 60 * time.Millisecond
	// startTime is how long the first start of a fleet lasts once the groups are known.
	startTime = 5 * time.Second
	// weakDelay is added for each time that the strongest known owner has more processor time than the instance.
	weakDelay = 150 * time.Millisecond
	// firstStartDelay is that of an instance with one core while the whole fleet starts, when nothing is known of the others
	// and callers do not come yet.
	firstStartDelay = 400 * time.Millisecond
)

// pace is what delays all claims of the instance at one moment.
type pace struct {
	// turns is the number of turns after the first, slot the time between two of them; jitter sets the claims of one turn
	// apart.
	turns        int
	slot, jitter time.Duration
	// far is added outside the failure domain of the primary, held for each group of the load.
	far, held time.Duration
	weakness  time.Duration
	// load counts the groups that the instance owns or is claiming.
	load int
}

// pace returns what delays claims now. It looks at each group once.
func (p *Planner) pace(now time.Time) pace {
	c := pace{slot: takeSlot, jitter: takeJitter, far: farDelay, held: heldDelay, weakness: p.weakness(now)}
	ranks, owners := 0, 0
	for _, g := range p.groups {
		if p.owns(g) || g.busy {
			c.load++
		}
		if g.last.Owner != "" {
			ranks += g.rank
			owners++
		}
	}
	if p.starting(now) {
		c.turns, c.slot, c.jitter, c.far, c.held = maxTurns, startSlot, startJitter, (maxTurns+1)*startSlot, (maxTurns+1)*startSlot
	} else if owners > 0 {
		// The owners were the first of all instances to claim, so that their rank grows with the logarithm of the fleet's size.
		// One turn less lets about two instances claim at first, and a small fleet be quick.
		c.turns = max(0, (ranks+owners/2)/owners-1)
	}
	return c
}

// turn sets the claims of several instances on one group apart.
func (c pace) turn(hash uint64) time.Duration {
	turn := c.turns - min(rank(hash), c.turns)
	return time.Duration(turn)*c.slot + time.Duration(hash%uint64(c.jitter))
}

// delay is how long the instance lets better placed ones go first.
func (c pace) delay(p *Planner, id upstream.GroupID, g *group) time.Duration {
	if g.before && !g.dead && !g.givenUp || g.dead && g.claim.Owner == p.self.Instance {
		return 0
	}
	d := c.turn(hash(p.self.Instance, id))
	if !p.near[id] {
		d += c.far
	}
	return d + c.weakness + time.Duration(c.load)*c.held
}

// starting reports whether the whole fleet starts for the first time.
func (p *Planner) starting(now time.Time) bool {
	return p.self.FirstStart && now.Sub(p.informed) < startTime
}

// weakness is how long the instance lets those with more processor time go first: an owner runs the statements of a whole
// group.
func (p *Planner) weakness(now time.Time) time.Duration {
	switch {
	case p.self.Cores <= 0:
		return time.Duration(float64(weakDelay) * (p.slowdown - 1))
	case p.starting(now):
		return time.Duration(float64(firstStartDelay) / p.self.Cores)
	default:
		return time.Duration(float64(weakDelay) * (p.strongest/p.self.Cores*p.slowdown - 1))
	}
}

// hash sets the instances apart, for each group in another order.
func hash(of instance.ID, id upstream.GroupID) uint64 {
	return xxhash.Sum64String(string(of) + "/" + string(id))
}

// rank is how early an instance may claim a group: half of the instances have rank 0, a quarter rank 1, and so on.
func rank(hash uint64) int { return min(bits.LeadingZeros64(hash), maxTurns) }
