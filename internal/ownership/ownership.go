// Package ownership decides which database groups an instance should own. Ownership is a claim, a key in the platform's
// store that is taken by compare-and-swap; its revision is the fencing token. A claim holds while its owner's process has a
// sign of life, another key, which is bound to a lease. The claim itself stays when that lapses, so that a process that was
// restarted finds its groups. The package has no goroutines, sockets or clock reads.
//
// No list of instances is needed: an instance that sees a group without an owner claims it after a delay of its own, and
// the store lets one of them win.
package ownership

import (
	"sort"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// MinRetryDelay is the least pause after a claim. Calls that fail one after the other double it up to maxRetryDelay, for
	// the store may refuse them because there are too many; longer would leave a group without an owner after an outage.
	MinRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Claim is the ownership of one group as the store has it.
type Claim struct {
	Group upstream.GroupID
	// Owner is the instance, Process tells its processes apart.
	Owner   instance.ID
	Process string
	// Address is the owner's host:port for its peers.
	Address string
	// Cores is the owner's processor time in cores; 0 when unknown.
	Cores float64
	// Revision is the store's revision of the claim: the fencing token.
	Revision uint64
}

// Process is one run of an instance.
type Process struct {
	Instance instance.ID
	ID       string
}

// OwnerProcess returns the process that made the claim.
func (c Claim) OwnerProcess() Process { return Process{Instance: c.Owner, ID: c.Process} }

// Action asks to claim a group.
type Action struct {
	Group upstream.GroupID
	// Expected is the revision of the claim to be replaced; 0 when there is none.
	Expected uint64
	// Expired is the process whose sign of life must still be missing when the claim is replaced; the zero Process when that
	// process surely has ended.
	Expired Process
	// Cause says why.
	Cause string
	// Waited is the delay that the instance kept.
	Waited time.Duration
}

// group is what is known of one group.
type group struct {
	claim Claim
	// ownerlessSince is when the group was found without an owner, or its owner dead or lapsed; zero while it is owned.
	ownerlessSince time.Time
	// ownerDead is true when the owner's process surely has ended, lapsed when its sign of life is missing.
	ownerDead bool
	expired   bool
	// ownedLast is true when this process was the last owner.
	ownedLast bool
	// relinquished is true when this process has given the group up while it owned it.
	relinquished bool
	// reclaimed is true when this process took the group over from an earlier one of its instance.
	reclaimed bool
	retryAt   time.Time
	claiming  bool
	// lastClaim is the newest claim, also after its end.
	lastClaim Claim
	// claimRank is that of the last owner for this group.
	claimRank int
}

// Self describes the process that a Planner decides for.
type Self struct {
	Instance instance.ID
	Process  string
	// Cores is its processor time in cores; 0 when unknown.
	Cores float64
	// FirstStart is true when the whole fleet starts for the first time.
	FirstStart bool
}

// Planner decides for one process of an instance. It is not safe for concurrent use.
type Planner struct {
	self Self
	// maxCores is the most processor time, in cores, of any known owner or of this process.
	maxCores float64
	groups   map[upstream.GroupID]*group
	// alive holds the processes with a sign of life in the store.
	alive map[Process]bool
	// local holds the groups whose primary is in the instance's failure domain.
	local map[upstream.GroupID]bool
	// slowdown is how many times slower than usual the instance runs.
	slowdown float64
	// groupsKnownSince is when the groups first became known.
	groupsKnownSince time.Time
	// failedClaims counts the claims in a row that the store has not answered.
	failedClaims int
	// claimsDisabled is true while the instance must not take groups: it leaves or cannot serve.
	claimsDisabled bool
}

// NewPlanner returns a planner without groups.
func NewPlanner(self Self) *Planner {
	return &Planner{self: self, maxCores: self.Cores, slowdown: 1, groups: make(map[upstream.GroupID]*group), alive: make(map[Process]bool), local: make(map[upstream.GroupID]bool)}
}

// SetGroups replaces the groups.
func (p *Planner) SetGroups(ids []upstream.GroupID, now time.Time) {
	if p.groupsKnownSince.IsZero() {
		p.groupsKnownSince = now
	}
	keep := make(map[upstream.GroupID]*group, len(ids))
	for _, id := range ids {
		g := p.groups[id]
		if g == nil {
			g = &group{ownerlessSince: now}
		}
		keep[id] = g
	}
	p.groups = keep
}

// SetClaimsDisabled tells whether the instance may take groups.
func (p *Planner) SetClaimsDisabled(claimsDisabled bool) { p.claimsDisabled = claimsDisabled }

// SetLocalPrimary tells whether the instance is in the failure domain of the group's primary.
func (p *Planner) SetLocalPrimary(id upstream.GroupID, local bool) {
	p.local[id] = local
}

// SetClaim records the claim that the store holds. Older revisions than the known one are ignored.
func (p *Planner) SetClaim(c Claim, now time.Time) {
	g := p.groups[c.Group]
	if g == nil {
		g = &group{}
		p.groups[c.Group] = g
	}
	if c.Revision < g.claim.Revision {
		return
	}
	p.maxCores = max(p.maxCores, c.Cores)
	g.reclaimed = p.isOwn(c) && (g.reclaimed || g.claim.Owner == p.self.Instance && !p.isOwn(g.claim))
	g.claim, g.lastClaim, g.ownerDead, g.expired, g.ownerlessSince = c, c, false, false, time.Time{}
	g.claimRank = claimRank(hash(c.Owner, c.Group))
	g.ownedLast, g.relinquished = p.isOwn(c), false
	if c.Owner == p.self.Instance && !p.isOwn(c) {
		// The owner was an earlier process of this instance.
		g.ownerDead, g.ownerlessSince = true, now
	}
}

// Removed records that the store has no claim for the group any more.
func (p *Planner) Removed(id upstream.GroupID, now time.Time) {
	g := p.groups[id]
	if g == nil {
		return
	}
	g.claim = Claim{Group: id}
	g.ownerDead, g.expired, g.ownerlessSince = false, false, now
}

// SetAlive records whether the store holds a sign of life of the process.
func (p *Planner) SetAlive(process Process, alive bool, now time.Time) {
	if !alive {
		delete(p.alive, process)
		p.markExpired(now)
		return
	}
	p.alive[process] = true
	for _, g := range p.groups {
		if g.expired && g.claim.OwnerProcess() == process {
			g.expired, g.ownerlessSince = false, time.Time{}
		}
	}
}

// SetAliveProcesses replaces the processes that have a sign of life.
func (p *Planner) SetAliveProcesses(alive map[Process]bool, now time.Time) {
	p.alive = alive
	p.markExpired(now)
}

// markExpired frees the groups whose owners have no sign of life.
func (p *Planner) markExpired(now time.Time) {
	for _, g := range p.groups {
		if g.claim.Owner != "" && !g.ownerDead && !g.expired && !p.alive[g.claim.OwnerProcess()] {
			g.expired, g.ownerlessSince = true, now
		}
	}
}

// MarkOwnerDead records proof that the process that holds the claim has ended. It returns false when that was known.
func (p *Planner) MarkOwnerDead(id upstream.GroupID, revision uint64, now time.Time) bool {
	g := p.groups[id]
	if g == nil || g.claim.Revision != revision || g.ownerDead || p.isOwn(g.claim) {
		return false
	}
	if !g.expired {
		g.ownerlessSince = now
	}
	g.ownerDead = true
	return true
}

// Reclaimed reports whether this process owns the group and took it over from an earlier process of its instance, which
// surely has ended.
func (p *Planner) Reclaimed(id upstream.GroupID) bool {
	g := p.groups[id]
	return g != nil && g.reclaimed
}

// Claim returns the known claim of a group, also when it has lapsed; Owner is empty when there is none.
func (p *Planner) Claim(id upstream.GroupID) Claim {
	if g := p.groups[id]; g != nil {
		return g.claim
	}
	return Claim{}
}

// Expired reports whether the owner's sign of life is missing.
func (p *Planner) Expired(id upstream.GroupID) bool {
	g := p.groups[id]
	return g != nil && g.expired
}

// Plan returns the claims to make now and marks them; ClaimDone must follow for each.
func (p *Planner) Plan(now time.Time) []Action {
	if p.claimsDisabled {
		return nil
	}
	var actions []Action
	delays := p.claimDelays(now)
	for _, id := range p.sortedGroups(func(g *group) bool { return g.claimable() && !now.Before(g.retryAt) }) {
		g := p.groups[id]
		wait := delays.delay(p, id, g)
		if now.Sub(g.ownerlessSince) < wait {
			continue
		}
		g.claiming = true
		delays.ownedGroups++
		a := Action{Group: id, Expected: g.claim.Revision, Cause: g.cause(), Waited: wait}
		if g.expired && !g.ownerDead && !p.isOwn(g.claim) {
			a.Expired = g.claim.OwnerProcess()
		}
		actions = append(actions, a)
	}
	return actions
}

// NextPlanTime returns when Plan may have something to do; false when only an event can change that.
func (p *Planner) NextPlanTime(now time.Time) (time.Time, bool) {
	var next time.Time
	if p.claimsDisabled {
		return next, false
	}
	delays := p.claimDelays(now)
	for id, g := range p.groups {
		if !g.claimable() {
			continue
		}
		at := g.ownerlessSince.Add(delays.delay(p, id, g))
		if g.retryAt.After(at) {
			at = g.retryAt
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// ClaimDone reports that a claim of Plan was tried, and whether the store decided on it. Its content is told with SetClaim.
func (p *Planner) ClaimDone(id upstream.GroupID, decided bool, now time.Time) {
	p.failedClaims++
	if decided {
		p.failedClaims = 0
	}
	if g := p.groups[id]; g != nil {
		g.claiming = false
		g.retryAt = now.Add(p.retryDelay(id))
	}
}

// retryDelay doubles with each failure; instances that failed together are set apart.
func (p *Planner) retryDelay(id upstream.GroupID) time.Duration {
	if p.failedClaims == 0 {
		return MinRetryDelay
	}
	d := min(MinRetryDelay<<min(p.failedClaims-1, 8), maxRetryDelay)
	return d + time.Duration(hash(p.self.Instance, id)%uint64(d))
}

// Owned returns the groups that this process owns.
func (p *Planner) Owned() []Claim {
	var owned []Claim
	for _, id := range p.sortedGroups(p.owns) {
		owned = append(owned, p.groups[id].claim)
	}
	return owned
}

// OwnsAny reports whether this process owns a group.
func (p *Planner) OwnsAny() bool {
	for _, g := range p.groups {
		if p.owns(g) {
			return true
		}
	}
	return false
}

// owns reports whether this process owns the group.
func (p *Planner) owns(g *group) bool { return p.isOwn(g.claim) && !g.expired }

func (p *Planner) isOwn(c Claim) bool {
	return c.Owner == p.self.Instance && c.Process == p.self.Process
}

func (g *group) cause() string {
	switch {
	case g.ownerDead:
		return "owner_dead"
	case g.expired:
		return "lease_lapsed"
	default:
		return "no_owner"
	}
}

// claimable reports whether the group has no owner and no claim on it is under way.
func (g *group) claimable() bool { return !g.claiming && !g.ownerlessSince.IsZero() }

// SetSlowdown tells how many times slower than usual the instance runs; 1 is usual.
func (p *Planner) SetSlowdown(factor float64) { p.slowdown = max(1, factor) }

// Relinquish makes the instance wait like any other before it claims the group again.
func (p *Planner) Relinquish(id upstream.GroupID) {
	if g := p.groups[id]; g != nil {
		g.relinquished = true
	}
}

// sortedGroups returns the groups of a kind, sorted.
func (p *Planner) sortedGroups(match func(*group) bool) []upstream.GroupID {
	var ids []upstream.GroupID
	for id, g := range p.groups {
		if match(g) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// GroupsKnownSince returns when the groups first became known; the zero time before.
func (p *Planner) GroupsKnownSince() time.Time { return p.groupsKnownSince }

// Claims returns a copy of the known claims; groups without an owner, and lapsed claims, are left out.
func (p *Planner) Claims() map[upstream.GroupID]Claim {
	return p.copyClaims(func(g *group) Claim {
		if g.expired {
			return Claim{}
		}
		return g.claim
	})
}

// LastClaims returns the newest claim of each group, also when it has ended: its owner may serve until there is another.
func (p *Planner) LastClaims() map[upstream.GroupID]Claim {
	return p.copyClaims(func(g *group) Claim { return g.lastClaim })
}

func (p *Planner) copyClaims(claimOf func(*group) Claim) map[upstream.GroupID]Claim {
	claims := make(map[upstream.GroupID]Claim, len(p.groups))
	for id, g := range p.groups {
		if c := claimOf(g); c.Owner != "" {
			claims[id] = c
		}
	}
	return claims
}
