package homes

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/membership"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Timeouts and limits of claims and moves.
const (
	// MinBackoff and MaxBackoff bound the backoff after a failed claim or a lost home (design page, section 4).
	MinBackoff = time.Second
	MaxBackoff = 30 * time.Second
	// FailureResetTime is how long a home must be held before the failure count is reset.
	FailureResetTime = time.Minute
	// ClaimTurn is how long it is each candidate's turn to claim a group that has no home, in order of rank. The design
	// page lets only the first candidate claim, but then a group would stay without a home if that candidate cannot reach
	// its members.
	ClaimTurn = 5 * time.Second
	// StableTime is how long a better owner must have been the first candidate before a home moves to it. A part of
	// StableSpread, which depends on the hash of the group, is added, so that not all homes move at the same time when a
	// failure domain returns.
	StableTime   = 30 * time.Second
	StableSpread = 30 * time.Second
	// MaxClaims is the maximum number of concurrent claims of an instance.
	MaxClaims = 16
	// MaxRebalances is the maximum number of concurrent moves of an instance to better owners.
	MaxRebalances = 1
	// MaxEvictions is the maximum number of concurrent moves of an instance that must give up its homes.
	MaxEvictions = 8
	// RefusalBackoff is how long an instance that refused a home is not chosen as the target again.
	RefusalBackoff = 30 * time.Second
	// MoveSettleTime is how long after a move the new owner's announcement may take to arrive. Until then, the record
	// still names the old owner.
	MoveSettleTime = 5 * time.Second
	// YieldTime is how long an instance does not claim a group again that it gave up because it could not reach a majority
	// of the members.
	YieldTime = 30 * time.Second
)

// ClusterView is an instance's view of the cluster, on which its decisions are based.
type ClusterView struct {
	Groups     []Group
	Candidates []Candidate
	// Leaving and DomainOut are the reasons why this instance must give up its homes.
	Leaving   bool
	DomainOut bool
	// MayClaim is false until the instance has joined, and while it is isolated or has just lost contact with most peers.
	MayClaim bool
	// Owned lists the groups that this process is the home of.
	Owned []upstream.GroupID
	// State returns the state of an instance; unknown instances are dead.
	State func(instance.ID) instance.State
	// Home returns the announced home of a group.
	Home func(upstream.GroupID) (membership.Home, bool)
}

// Planner decides, for one instance, on the homes of all groups. It is not safe for concurrent use.
type Planner struct {
	self    instance.ID
	rng     *rand.Rand
	ranking *Ranking
	view    ClusterView
	owned   map[upstream.GroupID]bool
	groups  map[upstream.GroupID]*groupState
	// active lists the groups on which this instance may have to act, sorted.
	active           []upstream.GroupID
	blockedDecisions []Decision
	// claims, rebalances and evictions count the running actions.
	claims     int
	rebalances int
	evictions  int
}

// groupState is the history of one group, as far as decisions depend on it.
type groupState struct {
	unclaimedSince time.Time
	// betterOwner is the first candidate if this instance owns the group and is not the first candidate itself.
	betterOwner      instance.ID
	betterOwnerSince time.Time
	heldSince        time.Time
	failures         int
	retryAt          time.Time
	yieldUntil       time.Time
	movedAt          time.Time
	refused          map[instance.ID]time.Time
	lastCause        Cause
	running          Decision
	busy             bool
}

// NewPlanner returns a planner without groups. The seed makes the backoff jitter reproducible.
func NewPlanner(self instance.ID, seed uint64) *Planner {
	return &Planner{
		self:    self,
		rng:     rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(self)))),
		ranking: NewRanking(),
		owned:   make(map[upstream.GroupID]bool),
		groups:  make(map[upstream.GroupID]*groupState),
	}
}

// Update sets a new view of the cluster. Its cost grows with the number of groups, while that of Decide grows only with
// the groups on which this instance may have to act.
func (p *Planner) Update(now time.Time, s ClusterView) {
	p.view = s
	p.ranking.SetGroups(s.Groups)
	p.ranking.SetCandidates(s.Candidates)
	owned := make(map[upstream.GroupID]bool, len(s.Owned))
	for _, g := range s.Owned {
		owned[g] = true
	}
	before := p.owned
	p.owned = owned
	p.active = p.active[:0]
	for _, g := range s.Groups {
		state := p.group(g.ID)
		p.trackOwnership(now, g.ID, state, before[g.ID])
		p.trackUnclaimed(now, g.ID, state)
		if owned[g.ID] || !state.unclaimedSince.IsZero() {
			p.active = append(p.active, g.ID)
		}
	}
	slices.Sort(p.active)
	for id, state := range p.groups {
		if _, known := p.ranking.groups[id]; !known && !state.busy {
			delete(p.groups, id)
		}
	}
}

func (p *Planner) group(id upstream.GroupID) *groupState {
	state, ok := p.groups[id]
	if !ok {
		state = &groupState{}
		p.groups[id] = state
	}
	return state
}

// trackOwnership tracks since when a home has been held. A home that was lost without a release was taken by another
// instance. That counts as a failure, so that two instances do not keep taking it from each other.
func (p *Planner) trackOwnership(now time.Time, id upstream.GroupID, state *groupState, before bool) {
	switch {
	case p.owned[id] && !before:
		state.heldSince = now
	case before && !p.owned[id]:
		if !state.busy {
			p.recordFailure(now, state)
		}
		state.betterOwner = ""
	}
}

// trackUnclaimed tracks since when a group has had no home in this instance's view.
func (p *Planner) trackUnclaimed(now time.Time, id upstream.GroupID, state *groupState) {
	home, known := p.view.Home(id)
	claimable := !known || home.Released || p.view.State(home.Owner) == instance.StateDead
	ownRecordStale := known && home.Owner == p.self && !p.owned[id]
	if !claimable && !ownRecordStale {
		state.unclaimedSince = time.Time{}
		return
	}
	if state.unclaimedSince.IsZero() {
		state.unclaimedSince = now
	}
}

// recordFailure counts a failure and starts an exponential backoff with jitter.
func (p *Planner) recordFailure(now time.Time, state *groupState) {
	state.failures++
	wait := MinBackoff << min(state.failures-1, 5)
	jitter := 0.75 + p.rng.Float64()/2
	wait = time.Duration(float64(wait) * jitter)
	state.retryAt = now.Add(min(max(wait, MinBackoff), MaxBackoff))
}

// Decide returns the actions to start now. The caller must report the result of each with ClaimDone or MoveDone, except
// for ActionDisown.
func (p *Planner) Decide(now time.Time) []Decision {
	var actions []Decision
	for _, id := range p.active {
		state := p.groups[id]
		p.trackBetterOwner(now, id, state)
		if p.owned[id] && now.Sub(state.heldSince) >= FailureResetTime {
			state.failures = 0
		}
		d := p.Explain(now, id)
		p.recordBlocked(state, d)
		if d.Action == ActionNothing {
			continue
		}
		p.start(state, d)
		actions = append(actions, d)
	}
	return actions
}

// recordBlocked keeps the decision for BlockedDecisions if an operator should be able to see why this instance does not
// act. A cause is reported once until another one applies.
func (p *Planner) recordBlocked(state *groupState, d Decision) {
	blocked := d.Cause == CauseNoCandidate || d.Cause == CauseBackoff || d.Cause == CauseSuperseded ||
		(d.Cause == CauseMayNotClaim && d.First == p.self)
	if d.Action == ActionNothing && blocked && state.lastCause != d.Cause {
		p.blockedDecisions = append(p.blockedDecisions, d)
	}
	state.lastCause = d.Cause
}

// BlockedDecisions returns the decisions since the last call in which this instance should have acted but could not.
func (p *Planner) BlockedDecisions() []Decision {
	blockedDecisions := p.blockedDecisions
	p.blockedDecisions = nil
	return blockedDecisions
}

// trackBetterOwner tracks since when another instance has been the first candidate of a group that this one owns.
func (p *Planner) trackBetterOwner(now time.Time, id upstream.GroupID, state *groupState) {
	first, _ := p.ranking.First(id)
	if !p.owned[id] || first == p.self {
		first = ""
	}
	if state.betterOwner != first {
		state.betterOwner, state.betterOwnerSince = first, now
	}
}

func (p *Planner) start(state *groupState, d Decision) {
	if d.Action == ActionDisown {
		return
	}
	state.busy, state.running = true, d
	*p.runningCount(d)++
}

// runningCount returns the counter of running actions for the kind of action in d.
func (p *Planner) runningCount(d Decision) *int {
	switch {
	case d.Action == ActionClaim:
		return &p.claims
	case d.Cause == CauseBetterOwner:
		return &p.rebalances
	default:
		return &p.evictions
	}
}

// finish ends the running action of a group. ok is false if none is running.
func (p *Planner) finish(id upstream.GroupID) (state *groupState, ok bool) {
	state, known := p.groups[id]
	if !known || !state.busy {
		return nil, false
	}
	state.busy = false
	*p.runningCount(state.running)--
	return state, true
}

// ClaimDone records the result of a claim.
func (p *Planner) ClaimDone(now time.Time, id upstream.GroupID, ok bool) {
	state, running := p.finish(id)
	if !running {
		return
	}
	if !ok {
		p.recordFailure(now, state)
		return
	}
	p.owned[id] = true
	state.heldSince = now
}

// MoveResult is the result of a planned move.
type MoveResult uint8

const (
	// MoveDone means that another instance took over the group, or that the group was announced as released.
	MoveDone MoveResult = iota
	// MoveRefused means that the target refused the group and this instance kept it.
	MoveRefused
)

// MoveDone records the result of a planned move.
func (p *Planner) MoveDone(now time.Time, id upstream.GroupID, r MoveResult) {
	state, running := p.finish(id)
	if !running {
		return
	}
	if r == MoveRefused {
		p.RecordRefusal(now, id, state.running.To)
		return
	}
	delete(p.owned, id)
	state.movedAt = now
}

// RecordRefusal records that a target refused a group.
func (p *Planner) RecordRefusal(now time.Time, id upstream.GroupID, target instance.ID) {
	state := p.group(id)
	if state.refused == nil {
		state.refused = make(map[instance.ID]time.Time)
	}
	state.refused[target] = now.Add(RefusalBackoff)
}

// Yield makes this instance give up a group because it cannot reach a majority of the group's members.
func (p *Planner) Yield(now time.Time, id upstream.GroupID) {
	p.group(id).yieldUntil = now.Add(YieldTime)
}

// Target returns the first candidate for a group, other than this instance, that has not recently refused it.
func (p *Planner) Target(now time.Time, id upstream.GroupID) (instance.ID, bool) {
	state := p.group(id)
	for _, c := range p.ranking.Order(id) {
		if c != p.self && !now.Before(state.refused[c]) {
			return c, true
		}
	}
	return "", false
}

// PreferredHomes returns the first candidate of each group, to which its home moves once the cluster is stable.
func (p *Planner) PreferredHomes() map[upstream.GroupID]instance.ID {
	firsts := make(map[upstream.GroupID]instance.ID, len(p.ranking.groups))
	for id, g := range p.ranking.groups {
		if g.hasFirst {
			firsts[id] = g.first.ID
		}
	}
	return firsts
}

// Eligible reports whether this instance may take over a group at now.
func (p *Planner) Eligible(now time.Time, id upstream.GroupID) bool {
	_, candidate := p.ranking.candidates[p.self]
	_, known := p.ranking.groups[id]
	return known && candidate && !now.Before(p.group(id).yieldUntil)
}

// stableTime returns how long a better owner of a group must have been the first candidate before the home moves.
func stableTime(id upstream.GroupID) time.Duration {
	return StableTime + time.Duration(xxhash.Sum64String(string(id))%uint64(StableSpread))
}

// Explain returns the decision on a group at now without changing any state.
func (p *Planner) Explain(now time.Time, id upstream.GroupID) Decision {
	d := Decision{Group: id, Action: ActionNothing}
	state, known := p.groups[id]
	if !known {
		d.Cause = CauseUnknownGroup
		return d
	}
	home, _ := p.view.Home(id)
	d.Owner, d.Generation, d.Released = home.Owner, home.Generation, home.Released
	d.OwnerState = p.view.State(home.Owner)
	d.First, _ = p.ranking.First(id)
	d.Failures = state.failures
	switch {
	case state.busy:
		d.Cause = CauseBusy
	case p.owned[id]:
		p.explainOwned(now, state, &d)
	default:
		p.explainUnowned(now, state, &d)
	}
	return d
}

// explainOwned decides on a group that this process is the home of.
func (p *Planner) explainOwned(now time.Time, state *groupState, d *Decision) {
	if d.Owner != p.self && d.Owner != "" && !d.Released && d.OwnerState != instance.StateDead {
		d.Cause = CauseSuperseded
		return
	}
	if cause, must := p.eviction(now, state); must {
		p.explainEviction(now, cause, d)
		return
	}
	if d.First == p.self || d.First == "" {
		d.Cause = CauseOwnerFirst
		return
	}
	d.For = now.Sub(state.betterOwnerSince)
	until := state.refused[d.First]
	switch {
	case state.betterOwner != d.First || d.For < stableTime(d.Group):
		d.Cause = CauseNotStable
	case now.Before(until):
		d.Cause, d.RetryIn = CauseBackoff, until.Sub(now)
	case p.rebalances >= MaxRebalances:
		d.Cause = CauseMoveLimit
	default:
		d.Action, d.Cause, d.To = ActionRelease, CauseBetterOwner, d.First
	}
}

// eviction reports whether this instance must give up a group, and why.
func (p *Planner) eviction(now time.Time, state *groupState) (Cause, bool) {
	switch {
	case p.view.Leaving:
		return CauseLeaving, true
	case p.view.DomainOut:
		return CauseDomainOut, true
	case now.Before(state.yieldUntil):
		return CauseYield, true
	default:
		return "", false
	}
}

func (p *Planner) explainEviction(now time.Time, cause Cause, d *Decision) {
	if p.evictions >= MaxEvictions {
		d.Cause = CauseMoveLimit
		return
	}
	target, ok := p.Target(now, d.Group)
	if !ok {
		d.Cause = CauseNoCandidate
		return
	}
	d.Action, d.Cause, d.To = ActionRelease, cause, target
}

// explainUnowned decides on a group that this process is not the home of. A group with a live owner is never claimed.
func (p *Planner) explainUnowned(now time.Time, state *groupState, d *Decision) {
	cause := p.claimCause(d)
	if cause == CauseOwnerLive {
		d.Cause = cause
		return
	}
	if cause == CauseOwnRestart && now.Sub(state.movedAt) < MoveSettleTime {
		d.Cause = CauseMoved
		return
	}
	d.For = now.Sub(state.unclaimedSince)
	staleRecord := cause == CauseOwnRestart
	switch {
	case !p.Eligible(now, d.Group):
		d.Cause = CauseNotEligible
	case !p.view.MayClaim:
		d.Cause = CauseMayNotClaim
		return
	case now.Before(state.retryAt):
		d.Cause, d.RetryIn = CauseBackoff, state.retryAt.Sub(now)
		return
	case !p.turn(d):
		d.Cause = CauseNotFirst
	case p.claims >= MaxClaims:
		d.Cause = CauseMoveLimit
		return
	default:
		d.Action, d.Cause = ActionClaim, cause
		return
	}
	if staleRecord {
		d.Action, d.Cause = ActionDisown, CauseOwnRestart
	}
}

// claimCause returns why a group may be claimed, or CauseOwnerLive.
func (p *Planner) claimCause(d *Decision) Cause {
	switch {
	case d.Owner == "":
		return CauseNoOwner
	case d.Released:
		return CauseReleased
	case d.Owner == p.self:
		return CauseOwnRestart
	case d.OwnerState == instance.StateDead:
		return CauseOwnerDead
	default:
		return CauseOwnerLive
	}
}

// turn reports whether it is this instance's turn to claim the group. The candidates take turns of ClaimTurn in order
// of rank until one succeeds. Instances with the same view agree on whose turn it is.
func (p *Planner) turn(d *Decision) bool {
	turn := int(d.For / ClaimTurn)
	if turn == 0 {
		return d.First == p.self
	}
	rank, ok := p.ranking.Rank(d.Group, p.self)
	return ok && rank == turn%len(p.ranking.candidates)
}
