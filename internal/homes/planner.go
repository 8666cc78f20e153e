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

// Times and limits of moves.
const (
	// MinBackoff and MaxBackoff bound the wait after a failed claim or a lost home (design page, section 4).
	MinBackoff = time.Second
	MaxBackoff = 30 * time.Second
	// FailureResetTime is how long a home must be held for earlier failures to be forgotten.
	FailureResetTime = time.Minute
	// ClaimTurn is the time for which each candidate in turn may claim a group that has no home. The page lets only
	// the first claim; without turns a group whose first candidate cannot reach its members would stay without a home.
	ClaimTurn = 5 * time.Second
	// StableTime is how long a better owner must have been first before a home moves to it. StableSpread is added in
	// part, by hash of the group, so that the homes of a returning failure domain do not all move at once.
	StableTime   = 30 * time.Second
	StableSpread = 30 * time.Second
	// MaxClaims bounds the claims that an instance runs at once.
	MaxClaims = 16
	// MaxRebalances bounds the moves to better owners that an instance runs at once.
	MaxRebalances = 1
	// MaxEvictions bounds the moves that an instance runs at once because it must give its homes up.
	MaxEvictions = 8
	// RefusalBackoff is the time for which a target that refused a home is not asked again.
	RefusalBackoff = 30 * time.Second
	// MoveSettleTime is the time for the new owner's announcement to arrive after a move. Until then the record still
	// names the old owner.
	MoveSettleTime = 5 * time.Second
	// YieldTime is how long an instance that gave a home up because it did not reach the members does not claim it.
	YieldTime = 30 * time.Second
)

// ClusterView is what an instance knows when it decides.
type ClusterView struct {
	Groups     []Group
	Candidates []Candidate
	// Leaving and DomainOut say why this instance must give its homes up.
	Leaving   bool
	DomainOut bool
	// MayClaim is false while the instance has not joined, is isolated, or has just been cut off from most peers.
	MayClaim bool
	// Owned lists the groups whose home this process is.
	Owned []upstream.GroupID
	// State returns the state of an instance; an unknown one is dead.
	State func(instance.ID) instance.State
	// Home returns the announced home of a group.
	Home func(upstream.GroupID) (membership.Home, bool)
}

// Planner decides about the homes of all groups for one instance. It is not safe for concurrent use.
type Planner struct {
	self      instance.ID
	rng       *rand.Rand
	ranking   *Ranking
	situation ClusterView
	owned     map[upstream.GroupID]bool
	groups    map[upstream.GroupID]*groupState
	// active lists the groups about which this instance may have to act, sorted.
	active     []upstream.GroupID
	notices    []Decision
	claims     int
	rebalances int
	evictions  int
}

// groupState is the history of one group that decisions depend on.
type groupState struct {
	unclaimedSince time.Time
	// better is the first candidate when that is not this owning instance.
	better      instance.ID
	betterSince time.Time
	heldSince   time.Time
	failures    int
	retryAt     time.Time
	yieldUntil  time.Time
	movedAt     time.Time
	refused     map[instance.ID]time.Time
	noticed     Cause
	running     Decision
	busy        bool
}

// NewPlanner returns a planner without groups. The seed makes the jitter of backoffs repeatable.
func NewPlanner(self instance.ID, seed uint64) *Planner {
	return &Planner{
		self:    self,
		rng:     rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(self)))),
		ranking: NewRanking(),
		owned:   make(map[upstream.GroupID]bool),
		groups:  make(map[upstream.GroupID]*groupState),
	}
}

// Update takes a changed situation. Its cost grows with the number of groups; Decide looks only at groups about which
// this instance may have to act.
func (p *Planner) Update(now time.Time, s ClusterView) {
	p.situation = s
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
		p.noteOwnership(now, g.ID, state, before[g.ID])
		p.noteUnclaimed(now, g.ID, state)
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

// noteOwnership tracks since when a home is held. A home that was lost without a release was taken by another
// instance, which counts as a failure so that two instances do not take it from each other in turn.
func (p *Planner) noteOwnership(now time.Time, id upstream.GroupID, state *groupState, before bool) {
	switch {
	case p.owned[id] && !before:
		state.heldSince = now
	case before && !p.owned[id]:
		if !state.busy {
			p.fail(now, state)
		}
		state.better = ""
	}
}

// noteUnclaimed tracks since when a group has had no home as far as this instance knows.
func (p *Planner) noteUnclaimed(now time.Time, id upstream.GroupID, state *groupState) {
	home, known := p.situation.Home(id)
	claimable := !known || home.Released || p.situation.State(home.Owner) == instance.StateDead
	mine := known && home.Owner == p.self && !p.owned[id]
	if !claimable && !mine {
		state.unclaimedSince = time.Time{}
		return
	}
	if state.unclaimedSince.IsZero() {
		state.unclaimedSince = now
	}
}

// fail starts the next, longer backoff.
func (p *Planner) fail(now time.Time, state *groupState) {
	state.failures++
	wait := MinBackoff << min(state.failures-1, 5)
	jitter := 0.75 + p.rng.Float64()/2
	wait = time.Duration(float64(wait) * jitter)
	state.retryAt = now.Add(min(max(wait, MinBackoff), MaxBackoff))
}

// Decide returns the actions to start now. The caller reports the end of each to ClaimDone or MoveDone; ActionDisown
// has no end.
func (p *Planner) Decide(now time.Time) []Decision {
	var actions []Decision
	for _, id := range p.active {
		state := p.groups[id]
		p.noteBetter(now, id, state)
		if p.owned[id] && now.Sub(state.heldSince) >= FailureResetTime {
			state.failures = 0
		}
		d := p.Explain(now, id)
		p.notice(state, d)
		if d.Action == ActionNothing {
			continue
		}
		p.start(state, d)
		actions = append(actions, d)
	}
	return actions
}

// notice keeps the decision for BlockedDecisions when an operator must be able to see why this instance does not act. Each cause
// is reported once until another one applies.
func (p *Planner) notice(state *groupState, d Decision) {
	hindered := d.Cause == CauseNoCandidate || d.Cause == CauseBackoff || d.Cause == CauseSuperseded ||
		(d.Cause == CauseMayNotClaim && d.First == p.self)
	if d.Action == ActionNothing && hindered && state.noticed != d.Cause {
		p.notices = append(p.notices, d)
	}
	state.noticed = d.Cause
}

// BlockedDecisions returns the decisions since the last call in which this instance would have acted but was hindered.
func (p *Planner) BlockedDecisions() []Decision {
	notices := p.notices
	p.notices = nil
	return notices
}

// noteBetter tracks since when another instance has been first for a group that this one owns.
func (p *Planner) noteBetter(now time.Time, id upstream.GroupID, state *groupState) {
	first, _ := p.ranking.First(id)
	if !p.owned[id] || first == p.self {
		first = ""
	}
	if state.better != first {
		state.better, state.betterSince = first, now
	}
}

func (p *Planner) start(state *groupState, d Decision) {
	if d.Action == ActionDisown {
		return
	}
	state.busy, state.running = true, d
	*p.counter(d)++
}

// counter returns the counter of running actions that an action counts for.
func (p *Planner) counter(d Decision) *int {
	switch {
	case d.Action == ActionClaim:
		return &p.claims
	case d.Cause == CauseBetterOwner:
		return &p.rebalances
	default:
		return &p.evictions
	}
}

// finish ends the running action of a group; ok is false when none runs.
func (p *Planner) finish(id upstream.GroupID) (state *groupState, ok bool) {
	state, known := p.groups[id]
	if !known || !state.busy {
		return nil, false
	}
	state.busy = false
	*p.counter(state.running)--
	return state, true
}

// ClaimDone takes the result of a claim.
func (p *Planner) ClaimDone(now time.Time, id upstream.GroupID, ok bool) {
	state, running := p.finish(id)
	if !running {
		return
	}
	if !ok {
		p.fail(now, state)
		return
	}
	p.owned[id] = true
	state.heldSince = now
}

// MoveResult says how a planned move ended.
type MoveResult uint8

const (
	// MoveDone means that another instance took the group, or that it was announced as released.
	MoveDone MoveResult = iota
	// MoveRefused means that the target refused and this instance kept the group.
	MoveRefused
)

// MoveDone takes the result of a planned move.
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

// RecordRefusal records that a target does not take a group now.
func (p *Planner) RecordRefusal(now time.Time, id upstream.GroupID, target instance.ID) {
	state := p.group(id)
	if state.refused == nil {
		state.refused = make(map[instance.ID]time.Time)
	}
	state.refused[target] = now.Add(RefusalBackoff)
}

// Yield makes this instance give a group up, because it does not reach a majority of the group's members.
func (p *Planner) Yield(now time.Time, id upstream.GroupID) {
	p.group(id).yieldUntil = now.Add(YieldTime)
}

// Target returns the best candidate for a group that has not refused it lately, other than this instance.
func (p *Planner) Target(now time.Time, id upstream.GroupID) (instance.ID, bool) {
	state := p.group(id)
	for _, c := range p.ranking.Order(id) {
		if c != p.self && !now.Before(state.refused[c]) {
			return c, true
		}
	}
	return "", false
}

// PreferredHomes returns the instance that is or will be the home of each group when all is quiet.
func (p *Planner) PreferredHomes() map[upstream.GroupID]instance.ID {
	firsts := make(map[upstream.GroupID]instance.ID, len(p.ranking.groups))
	for id, g := range p.ranking.groups {
		if g.some {
			firsts[id] = g.first.ID
		}
	}
	return firsts
}

// Eligible reports whether this instance may take a group over now.
func (p *Planner) Eligible(now time.Time, id upstream.GroupID) bool {
	_, candidate := p.ranking.candidates[p.self]
	_, known := p.ranking.groups[id]
	return known && candidate && !now.Before(p.group(id).yieldUntil)
}

// stableTime returns how long a better owner of a group must have been first.
func stableTime(id upstream.GroupID) time.Duration {
	return StableTime + time.Duration(xxhash.Sum64String(string(id))%uint64(StableSpread))
}

// Explain returns what this instance would do about a group now, and why. It changes nothing.
func (p *Planner) Explain(now time.Time, id upstream.GroupID) Decision {
	d := Decision{Group: id, Action: ActionNothing}
	state, known := p.groups[id]
	if !known {
		d.Cause = CauseUnknownGroup
		return d
	}
	home, _ := p.situation.Home(id)
	d.Owner, d.Generation, d.Released = home.Owner, home.Generation, home.Released
	d.OwnerState = p.situation.State(home.Owner)
	d.First, _ = p.ranking.First(id)
	d.Failures = state.failures
	switch {
	case state.busy:
		d.Cause = CauseBusy
	case p.owned[id]:
		p.explainOwned(now, state, &d)
	default:
		p.explainOther(now, state, &d)
	}
	return d
}

// explainOwned decides about a group whose home this process is.
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
	d.For = now.Sub(state.betterSince)
	until := state.refused[d.First]
	switch {
	case state.better != d.First || d.For < stableTime(d.Group):
		d.Cause = CauseNotStable
	case now.Before(until):
		d.Cause, d.RetryIn = CauseBackoff, until.Sub(now)
	case p.rebalances >= MaxRebalances:
		d.Cause = CauseMoveLimit
	default:
		d.Action, d.Cause, d.To = ActionRelease, CauseBetterOwner, d.First
	}
}

// eviction returns why this instance must give a group up.
func (p *Planner) eviction(now time.Time, state *groupState) (Cause, bool) {
	switch {
	case p.situation.Leaving:
		return CauseLeaving, true
	case p.situation.DomainOut:
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

// explainOther decides about a group whose home this process is not. A group with a live owner is never claimed.
func (p *Planner) explainOther(now time.Time, state *groupState, d *Decision) {
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
	stale := cause == CauseOwnRestart
	switch {
	case !p.Eligible(now, d.Group):
		d.Cause = CauseNotEligible
	case !p.situation.MayClaim:
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
	if stale {
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

// turn reports whether it is this instance's turn to claim: the first candidate's at first, and that of one after the
// other, ClaimTurn each, when nobody succeeds. Instances with equal views agree on whose turn it is.
func (p *Planner) turn(d *Decision) bool {
	turn := int(d.For / ClaimTurn)
	if turn == 0 {
		return d.First == p.self
	}
	rank, ok := p.ranking.Rank(d.Group, p.self)
	return ok && rank == turn%len(p.ranking.candidates)
}
