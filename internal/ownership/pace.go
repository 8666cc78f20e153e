package ownership

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// takeoverInterval is the time between two turns of the instances that take a group over: long enough to learn who has claimed it
	// in the turn before.
	takeoverInterval = 75 * time.Millisecond
	// takeoverJitter sets the claims of one turn apart.
	takeoverJitter = 60 * time.Millisecond
	// remotePrimaryDelay is added when the instance is not in the failure domain of the group's primary.
	remotePrimaryDelay = 100 * time.Millisecond
	// ownedGroupDelay is added for each group that the instance owns, so that groups spread over the fleet.
	ownedGroupDelay = 250 * time.Millisecond
	// maxRounds is the number of turns after the first in which instances claim a group while the whole fleet starts and nobody
	// knows its size. Half of the instances have the last turn, a quarter the one before it, and so on, so that few claim in
	// the first turn that is taken at all, whatever the size of the fleet.
	maxRounds = 6
	// startupInterval is the time between two turns then.
	startupInterval = 230 * time.Millisecond
	// startupJitter sets the claims of one turn apart.
	startupJitter = 60 * time.Millisecond
	// startupPeriod is how long the first start of a fleet lasts once the groups are known.
	startupPeriod = 5 * time.Second
	// lowCapacityDelay is added for each time that the strongest known owner has more processor time than the instance.
	lowCapacityDelay = 150 * time.Millisecond
	// singleCoreDelay is that of an instance with one core while the whole fleet starts, when nothing is known of the others
	// and callers do not come yet.
	singleCoreDelay = 400 * time.Millisecond
)

// claimDelays is what delays all claims of the instance at one moment.
type claimDelays struct {
	// rounds is the number of turns after the first, slot the time between two of them; jitter sets the claims of one turn
	// apart.
	rounds           int
	interval, jitter time.Duration
	// remote is added outside the failure domain of the primary, held for each group of the load.
	remote, perGroup time.Duration
	capacityDelay    time.Duration
	// ownedGroups counts the groups that the instance owns or is claiming.
	ownedGroups int
}

// claimDelays returns what delays claims now. It looks at each group once.
func (p *Planner) claimDelays(now time.Time) claimDelays {
	c := claimDelays{interval: takeoverInterval, jitter: takeoverJitter, remote: remotePrimaryDelay, perGroup: ownedGroupDelay, capacityDelay: p.capacityDelay(now)}
	ranks, owners := 0, 0
	for _, g := range p.groups {
		if p.owns(g) || g.claiming {
			c.ownedGroups++
		}
		if g.lastClaim.Owner != "" {
			ranks += g.claimRank
			owners++
		}
	}
	if p.inStartup(now) {
		c.rounds, c.interval, c.jitter, c.remote, c.perGroup = maxRounds, startupInterval, startupJitter, (maxRounds+1)*startupInterval, (maxRounds+1)*startupInterval
	} else if owners > 0 {
		// The owners were the first of all instances to claim, so that their rank grows with the logarithm of the fleet's size.
		// One turn less lets about two instances claim at first, and a small fleet be quick.
		c.rounds = max(0, (ranks+owners/2)/owners-1)
	}
	return c
}

// stagger sets the claims of several instances on one group apart.
func (c claimDelays) stagger(hash uint64) time.Duration {
	stagger := c.rounds - min(claimRank(hash), c.rounds)
	return time.Duration(stagger)*c.interval + time.Duration(hash%uint64(c.jitter))
}

// delay is how long the instance lets better placed ones go first.
func (c claimDelays) delay(p *Planner, id upstream.GroupID, g *group) time.Duration {
	if g.ownedLast && !g.ownerDead && !g.relinquished || g.ownerDead && g.claim.Owner == p.self.Instance {
		return 0
	}
	d := c.stagger(hash(p.self.Instance, id))
	if !p.local[id] {
		d += c.remote
	}
	return d + c.capacityDelay + time.Duration(c.ownedGroups)*c.perGroup
}

// inStartup reports whether the whole fleet starts for the first time.
func (p *Planner) inStartup(now time.Time) bool {
	return p.self.FirstStart && now.Sub(p.groupsKnownSince) < startupPeriod
}

// capacityDelay is how long the instance lets those with more processor time go first: an owner runs the statements of a whole
// group.
func (p *Planner) capacityDelay(now time.Time) time.Duration {
	switch {
	case p.self.Cores <= 0:
		return time.Duration(float64(lowCapacityDelay) * (p.slowdown - 1))
	case p.inStartup(now):
		return time.Duration(float64(singleCoreDelay) / p.self.Cores)
	default:
		return time.Duration(float64(lowCapacityDelay) * (p.maxCores/p.self.Cores*p.slowdown - 1))
	}
}

// hash sets the instances apart, for each group in another order.
func hash(owner instance.ID, id upstream.GroupID) uint64 {
	return xxhash.Sum64String(string(owner) + "/" + string(id))
}

// claimRank is how early an instance may claim a group: half of the instances have rank 0, a quarter rank 1, and so on.
func claimRank(hash uint64) int { return min(bits.LeadingZeros64(hash), maxRounds) }
