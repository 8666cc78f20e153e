// Package ownership decides when an instance claims database groups. A claim is a key in the platform's store that is
// written by compare-and-swap; its revision is the fencing token. A claim is valid while its owner's process has a
// liveness key, which is bound to a lease. The claim itself is kept when the liveness key expires, so that a restarted
// process finds the groups it owned. The package starts no goroutines, opens no sockets and reads no clock.
//
// No list of instances is needed: each instance that sees a group without an owner claims it after its own delay, and
// the store accepts only one of the claims.
package ownership

import (
	"sort"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/revision"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// MinRetryDelay is the minimum delay between two claims of a group. Consecutive failed claims double it up to
	// maxRetryDelay, because the store may reject claims for overload. A longer maximum would leave groups without an
	// owner after an outage.
	MinRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// maxPause is the maximum time for which an instance that learns of claims through another one claims nothing after the
	// store has not decided on its claims: others reach the store and claim the groups.
	maxPause = 3200 * time.Millisecond
)

// Claim records which process owns a group, as the store holds it.
type Claim struct {
	Group upstream.GroupID
	// Owner is the instance; Process distinguishes successive processes of one instance.
	Owner   instance.ID
	Process string
	// Address is the host:port at which peers reach the owner.
	Address string
	// Cores is the CPU time available to the owner, in cores; 0 when unknown.
	Cores float64
	// Domain is the owner's failure domain; empty when unknown.
	Domain instance.FailureDomain
	// Revision is the store's revision of the claim: the fencing token.
	Revision uint64
	// Era is that of the store's data in which the claim was written. A claim that a later era has taken from a copy is not in force.
	Era uint64
}

// InForce reports whether the claim was written in the era in which the store holds it.
func (c Claim) InForce() bool { return c.Era == revision.Era(c.Revision) }

// Process identifies one process of an instance.
type Process struct {
	Instance instance.ID
	ID       string
}

// OwnerProcess returns the process that made the claim.
func (c Claim) OwnerProcess() Process { return Process{Instance: c.Owner, ID: c.Process} }

// Action is a claim that the caller has to write to the store.
type Action struct {
	Group upstream.GroupID
	// Expected is the revision of the claim to replace; 0 when there is none.
	Expected uint64
	// Expired is the process whose liveness key must still be absent when the claim is replaced. It is the zero Process
	// when the owner is taken for dead, so that its liveness key does not matter.
	Expired Process
	// Cause is the reason for the claim: owner_dead, lease_lapsed or no_owner.
	Cause string
	// Waited is the delay that was observed before the claim.
	Waited time.Duration
}

// group is the planner's state of one group.
type group struct {
	claim Claim
	// stored is the revision of the claim that the store holds, in force or not; 0 when it holds none.
	stored uint64
	// claimSince is when the claim was learned.
	claimSince time.Time
	// ownerlessSince is when the group was found without an owner, or with an owner that is dead or whose liveness key
	// is absent; zero while the group is owned.
	ownerlessSince time.Time
	// ownerDead is true when the owner is taken for dead: it is an earlier process of this instance, or nothing listens at its
	// address. In the second case it may live on, cut off from this instance, with a valid lease. expired is true when the
	// owner's liveness key is absent.
	ownerDead bool
	expired   bool
	// ownedLast is true when this process was the last owner.
	ownedLast bool
	// relinquished is true when this process gave the group up while it owned it.
	relinquished bool
	// reclaimed is true when this process took the group over from an earlier process of its instance.
	reclaimed bool
	retryAt   time.Time
	claiming  bool
	// lastClaim is the newest known claim; it is kept after the claim has ended.
	lastClaim Claim
	// replaced holds the claims that another process has replaced.
	replaced []Predecessor
	// claimRank is the rank of the last owner for this group.
	claimRank int
}

// Self describes the process that a Planner decides for.
type Self struct {
	Instance instance.ID
	Process  string
	// Cores is the CPU time available to the process, in cores; 0 when unknown.
	Cores float64
	// FirstStart is true when the whole fleet starts for the first time.
	FirstStart bool
}

// Planner decides which groups one process of an instance claims, and when. It is not safe for concurrent use.
type Planner struct {
	self Self
	// maxCores is the largest CPU time, in cores, of any known owner and of this process.
	maxCores float64
	groups   map[upstream.GroupID]*group
	// alive holds the processes whose liveness key is in the store.
	alive map[Process]bool
	// local holds the groups whose primary is in the instance's failure domain.
	local map[upstream.GroupID]bool
	// slowdown is the factor by which the instance currently runs slower than normal.
	slowdown float64
	// era is the present era of the store. othersFrom is when groups may be claimed that this process did not own under a valid lease when
	// the era began: their owners may have been forgotten by the store and still have a lease.
	era        uint64
	othersFrom time.Time
	// groupsKnownSince is when the groups first became known.
	groupsKnownSince time.Time
	// failedClaims counts the consecutive claims on which the store has not decided.
	failedClaims int
	// relayed is true while this process learns of claims through another instance. pausedUntil is when it claims again
	// after claims on which the store has not decided.
	relayed     bool
	pausedUntil time.Time
	// claimsDisabled is true while the instance must not claim groups: it is leaving or cannot serve.
	claimsDisabled bool
}

// NewPlanner returns a planner that knows no groups.
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

// SetClaimsDisabled sets whether the instance must not claim groups.
func (p *Planner) SetClaimsDisabled(claimsDisabled bool) { p.claimsDisabled = claimsDisabled }

// SetRelayed sets whether this process learns of claims through another instance, which shows that others reach the store.
func (p *Planner) SetRelayed(relayed bool) { p.relayed = relayed }

// SetLocalPrimary records whether the group's primary is in the instance's failure domain.
func (p *Planner) SetLocalPrimary(id upstream.GroupID, local bool) {
	p.local[id] = local
}

// SetClaim records the claim that the store holds. Claims with a revision lower than the known one are ignored.
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
	g.stored = c.Revision
	g.reclaimed = p.isOwn(c) && (g.reclaimed || g.claim.Owner == p.self.Instance && !p.isOwn(g.claim))
	if c.Revision > g.claim.Revision {
		g.claimSince = now
		g.recordReplacement(c, now)
	}
	g.claim, g.lastClaim, g.ownerDead, g.expired, g.ownerlessSince = c, c, false, false, time.Time{}
	g.claimRank = claimRank(hash(c.Owner, c.Group))
	g.ownedLast, g.relinquished = p.isOwn(c), false
	if c.Owner == p.self.Instance && !p.isOwn(c) {
		// The owner is an earlier process of this instance, which has ended.
		g.ownerDead, g.ownerlessSince = true, now
	}
}

// Removed records that the store no longer holds a claim for the group.
func (p *Planner) Removed(id upstream.GroupID, now time.Time) {
	g := p.groups[id]
	if g == nil {
		return
	}
	g.claim, g.stored = Claim{Group: id}, 0
	g.ownerDead, g.expired, g.ownerlessSince = false, false, now
}

// SetAlive records whether the store holds the process's liveness key.
func (p *Planner) SetAlive(process Process, alive bool, now time.Time) {
	if !alive {
		delete(p.alive, process)
		p.markExpired(now)
		return
	}
	p.alive[process] = true
	for _, g := range p.groups {
		if g.expired && g.claim.OwnerProcess() == process && revision.Era(g.claim.Revision) == p.era {
			g.expired, g.ownerlessSince = false, time.Time{}
		}
	}
}

// SetAliveProcesses replaces the set of processes that have a liveness key.
func (p *Planner) SetAliveProcesses(alive map[Process]bool, now time.Time) {
	p.alive = alive
	p.markExpired(now)
}

// markExpired marks the groups whose owners have no liveness key as claimable.
func (p *Planner) markExpired(now time.Time) {
	for _, g := range p.groups {
		if g.claim.Owner != "" && !g.ownerDead && !g.expired && !p.alive[g.claim.OwnerProcess()] {
			g.expired, g.ownerlessSince = true, now
		}
	}
}

// MarkOwnerRefused records that nothing listened at the address of the claim's owner after the time at. The group can then
// be claimed without waiting for the end of the owner's lease. It returns false when that changes nothing: the claim has
// another revision, belongs to this process or was learned after at, or its owner is already taken for dead. A claim that
// was learned later may be that of a new process at the same address, which listens before it claims.
func (p *Planner) MarkOwnerRefused(id upstream.GroupID, revision uint64, at, now time.Time) bool {
	g := p.groups[id]
	if g == nil || g.claim.Revision != revision || g.ownerDead || p.isOwn(g.claim) || at.Before(g.claimSince) {
		return false
	}
	if !g.expired {
		g.ownerlessSince = now
	}
	g.ownerDead = true
	return true
}

// Reclaimed reports whether this process owns the group and took it over from an earlier process of its instance, which
// is known to have ended.
func (p *Planner) Reclaimed(id upstream.GroupID) bool {
	g := p.groups[id]
	return g != nil && g.reclaimed
}

// Claim returns the known claim of a group, even when its owner's liveness key is absent; Owner is empty when there is
// none.
func (p *Planner) Claim(id upstream.GroupID) Claim {
	if g := p.groups[id]; g != nil {
		return g.claim
	}
	return Claim{}
}

// Expired reports whether the owner's liveness key is absent.
func (p *Planner) Expired(id upstream.GroupID) bool {
	g := p.groups[id]
	return g != nil && g.expired
}

// Plan returns the claims to write now and marks them as in progress; ClaimDone must be called for each.
func (p *Planner) Plan(now time.Time) []Action {
	if p.claimsDisabled {
		return nil
	}
	var actions []Action
	delays := p.claimDelays(now)
	for _, id := range p.sortedGroups(func(g *group) bool { return g.claimable() && !now.Before(p.retryTime(g)) }) {
		g := p.groups[id]
		wait := delays.delay(p, id, g)
		if now.Sub(g.ownerlessSince) < wait {
			continue
		}
		g.claiming = true
		delays.ownedGroups++
		a := Action{Group: id, Expected: g.stored, Cause: g.cause(), Waited: wait}
		if g.expired && !g.ownerDead && !p.isOwn(g.claim) && revision.Era(g.claim.Revision) == p.era {
			a.Expired = g.claim.OwnerProcess()
		}
		actions = append(actions, a)
	}
	return actions
}

// NextPlanTime returns the earliest time at which Plan may return claims; false when that takes an event first.
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
		if retry := p.retryTime(g); retry.After(at) {
			at = retry
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// ClaimDone records that a claim of Plan was attempted, and whether the store decided on it. The resulting claim is
// recorded with SetClaim.
func (p *Planner) ClaimDone(id upstream.GroupID, decided bool, now time.Time) {
	p.failedClaims++
	p.pausedUntil = now.Add(min(MinRetryDelay<<min(p.failedClaims-1, 8), maxPause))
	if decided {
		p.failedClaims, p.pausedUntil = 0, time.Time{}
	}
	if g := p.groups[id]; g != nil {
		g.claiming = false
		g.retryAt = now.Add(p.retryDelay(id))
	}
}

// retryTime returns the earliest time for another claim on a group. The pause does not hold for a group that this instance
// takes back.
func (p *Planner) retryTime(g *group) time.Time {
	if p.takesBack(g) {
		return g.retryAt
	}
	at := later(g.retryAt, p.othersFrom)
	if p.relayed {
		at = later(at, p.pausedUntil)
	}
	return at
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// takesBack reports whether the group is of an earlier process of this instance, or was owned by this process until the claim
// ended.
func (p *Planner) takesBack(g *group) bool {
	return g.ownedLast && !g.ownerDead && !g.relinquished || g.ownerDead && g.claim.Owner == p.self.Instance
}

// retryDelay doubles with each consecutive failure. A hash-based jitter spreads the retries of instances that failed at
// the same time.
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

// claimable reports whether the group has no live owner and this process has no claim on it in progress.
func (g *group) claimable() bool { return !g.claiming && !g.ownerlessSince.IsZero() }

// SetSlowdown sets the factor by which the instance currently runs slower than normal; values below 1 count as 1.
func (p *Planner) SetSlowdown(factor float64) { p.slowdown = max(1, factor) }

// Relinquish records that this process gives the group up. The instance then waits like any other before it claims the
// group again.
func (p *Planner) Relinquish(id upstream.GroupID) {
	if g := p.groups[id]; g != nil {
		g.relinquished = true
	}
}

// sortedGroups returns the ids of the matching groups in ascending order.
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

// GroupsKnownSince returns when the groups first became known; the zero time until then.
func (p *Planner) GroupsKnownSince() time.Time { return p.groupsKnownSince }

// Claims returns a copy of the known claims, without those whose owner's liveness key is absent.
func (p *Planner) Claims() map[upstream.GroupID]Claim {
	return p.copyClaims(func(g *group) Claim {
		if g.expired {
			return Claim{}
		}
		return g.claim
	})
}

// LastClaims returns the newest known claim of each group, including claims that have ended: their owner may serve
// until another instance claims the group.
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
