package ownership

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// takeoverInterval is the time between two rounds in which instances claim a group without an owner. It is long
	// enough to learn of a claim made in the previous round.
	takeoverInterval = 75 * time.Millisecond
	// takeoverJitter spreads the claims of one round.
	takeoverJitter = 60 * time.Millisecond
	// remotePrimaryDelay is added when the group's primary is in another failure domain.
	remotePrimaryDelay = 100 * time.Millisecond
	// ownedGroupDelay is added for each group that the instance owns already, which spreads groups over the fleet.
	ownedGroupDelay = 250 * time.Millisecond
	// maxRounds is the number of claim rounds after the first during the first start of a fleet, when its size is
	// unknown. Half of the instances claim in the last round, a quarter in the round before, and so on. Whatever the
	// size of the fleet, few instances claim in the first round that has any.
	maxRounds = 6
	// startupInterval is the time between two claim rounds during the first start of a fleet.
	startupInterval = 230 * time.Millisecond
	// startupJitter spreads the claims of one round during the first start.
	startupJitter = 60 * time.Millisecond
	// startupPeriod is how long the first start of a fleet lasts, counted from when the groups became known.
	startupPeriod = 5 * time.Second
	// lowCapacityDelay is multiplied by how much more CPU time the largest known owner has, as a ratio to this instance
	// minus one.
	lowCapacityDelay = 150 * time.Millisecond
	// singleCoreDelay is the delay of an instance with one core during the first start of a fleet, inversely
	// proportional to its cores. The capacity of other instances is unknown then, and no callers connect yet.
	singleCoreDelay = 400 * time.Millisecond
)

// claimDelays holds the parameters that delay the instance's claims at one moment.
type claimDelays struct {
	// rounds is the number of claim rounds after the first, interval the time between two of them; jitter spreads the
	// claims of one round.
	rounds           int
	interval, jitter time.Duration
	// remote is added when the primary is in another failure domain, perGroup for each group counted in ownedGroups.
	remote, perGroup time.Duration
	capacityDelay    time.Duration
	// ownedGroups counts the groups that the instance owns or is claiming.
	ownedGroups int
}

// claimDelays returns the parameters that apply now. It visits each group once.
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
		// The owners were the first of all instances to claim, so their average rank grows with the logarithm of the
		// fleet's size. One round fewer lets about two instances claim in the first round and keeps a small fleet fast.
		c.rounds = max(0, (ranks+owners/2)/owners-1)
	}
	return c
}

// stagger returns the instance's delay within the rounds, derived from a hash of instance and group.
func (c claimDelays) stagger(hash uint64) time.Duration {
	stagger := c.rounds - min(claimRank(hash), c.rounds)
	return time.Duration(stagger)*c.interval + time.Duration(hash%uint64(c.jitter))
}

// delay returns how long the instance waits before it claims the group, so that better placed instances claim first. An
// instance takes back groups of its own last process, or that it owned until the claim ended, without delay.
func (c claimDelays) delay(p *Planner, id upstream.GroupID, g *group) time.Duration {
	if p.takesBack(g) {
		return 0
	}
	d := c.stagger(hash(p.self.Instance, id))
	if !p.local[id] {
		d += c.remote
	}
	return d + c.capacityDelay + time.Duration(c.ownedGroups)*c.perGroup
}

// inStartup reports whether the fleet is in its first start.
func (p *Planner) inStartup(now time.Time) bool {
	return p.self.FirstStart && now.Sub(p.groupsKnownSince) < startupPeriod
}

// capacityDelay returns how long the instance waits for instances with more CPU time to claim first: an owner runs the
// statements of a whole group.
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

// hash orders the instances differently for each group.
func hash(owner instance.ID, id upstream.GroupID) uint64 {
	return xxhash.Sum64String(string(owner) + "/" + string(id))
}

// claimRank returns how early an instance may claim a group: half of the instances have rank 0, a quarter rank 1, and
// so on. A higher rank claims earlier.
func claimRank(hash uint64) int { return min(bits.LeadingZeros64(hash), maxRounds) }
