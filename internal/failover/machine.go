// Package failover implements the state machine by which a home claims a database group, discovers the group's primary,
// replaces it when it fails and moves it in a switchover. Package quorum decides which commits are acknowledged; this
// package decides which member is the primary. It has no goroutines, sockets or clock reads: events and times come in,
// actions and explanations go out.
//
// Safety depends only on the terms stored by the members. In one term the machine promotes at most one member, chosen
// from a majority that this owner fenced in that term.
//
// The machine is level-triggered: each event updates the known state of the members, and evaluate then decides from that
// state. A lost response therefore needs no special handling; any later status of the member has the same effect.
package failover

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Config configures a Machine.
type Config struct {
	Group upstream.GroupID
	// Owner identifies this process in claims. It must differ between two processes of the same instance that may run at
	// the same time, because members accept the same generation again from the same owner. Fence requests carry it
	// together with the generation of the claim, so a restarted process never passes for its predecessor.
	Owner   instance.ID
	Members []Member
	Timing  Timing
}

// Member is a group member with its administrative state.
type Member struct {
	ID        upstream.MemberID
	Leaving   bool
	DomainOut bool
}

// Phase is the machine's state.
type Phase uint8

// Phases of the machine.
const (
	// PhaseIdle: the instance is not the group's home.
	PhaseIdle Phase = iota
	// PhaseClaiming: waiting for a majority to report a status and to accept the claim.
	PhaseClaiming
	// PhaseLearning: the instance is the home, but the current primary is not known yet.
	PhaseLearning
	// PhaseSteady: the primary is known and reachable.
	PhaseSteady
	// PhaseSuspect: the primary does not respond or refused the connection.
	PhaseSuspect
	// PhaseHolding: a switchover holds writes until a replica has received the whole log.
	PhaseHolding
	// PhaseFencing: fencing members until a majority is fenced.
	PhaseFencing
	// PhasePromoting: promoting the chosen member.
	PhasePromoting
	// PhaseBackoff: another promoter used a higher term; waiting for its result.
	PhaseBackoff
)

var phaseNames = [...]string{"idle", "claiming", "learning", "steady", "suspect", "holding", "fencing", "promoting", "backoff"}

// String returns the phase name used in logs and on the status page.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Machine is the state machine of one group on one instance. It is not safe for concurrent use. Each event method
// returns the resulting actions; the slice is valid until the next call.
type Machine struct {
	group    upstream.GroupID
	instance instance.ID
	timing   Timing
	random   *rand.Rand

	members []*memberState
	phase   Phase
	// cause is why the phase was entered at enteredAt.
	cause     Cause
	enteredAt time.Time
	// lastEvent is the time of the latest event.
	lastEvent time.Time

	claim        claimState
	hasAuthority bool
	// primary is the known primary of term; nil while unknown.
	primary *memberState
	term    position.Term
	// highestTerm is the highest term seen at a member or used by this machine. Start keeps it.
	highestTerm position.Term
	// highestGeneration is the highest claim generation seen at a member or used by this machine. Start keeps it.
	highestGeneration uint64

	attempt attempt
	// backoffs counts consecutive attempts that conflicted with another promoter, and retryAt ends PhaseBackoff.
	backoffs   int
	retryAt    time.Time
	switchover *switchover
	// switchoverRetries counts consecutive delays of automatic switchovers; the next one starts at nextSwitchoverAt at
	// the earliest.
	switchoverRetries int
	nextSwitchoverAt  time.Time
	writesHeld        bool
	// isolatedSince is when a majority was first seen without contact to the primary for IsolationTimeout; zero while
	// the primary is not isolated.
	isolatedSince time.Time

	lastOp  OperationID
	actions []Action
}

// View is a snapshot of the machine's state for the status page.
type View struct {
	Phase      Phase
	Primary    upstream.MemberID
	Term       position.Term
	Claim      upstream.Claim
	WritesHeld bool
	// Cause is why the current phase was entered, and Since when.
	Cause Cause
	Since time.Time
}

// New returns a machine in PhaseIdle. src is the random source for the jitter of retry and backoff delays.
func New(c Config, src rand.Source) *Machine {
	m := &Machine{group: c.Group, instance: c.Owner, timing: c.Timing.withDefaults(), random: rand.New(src)}
	m.setMembers(c.Members)
	return m
}

// View returns a snapshot of the state.
func (m *Machine) View() View {
	v := View{Phase: m.phase, Term: m.term, Claim: m.claim.claim, WritesHeld: m.writesHeld, Cause: m.cause, Since: m.enteredAt}
	if m.primary != nil {
		v.Primary = m.primary.ID
	}
	return v
}

// Start begins to claim the group. Statuses observed before Start are discarded, because they may predate operations of
// this instance under an earlier claim.
func (m *Machine) Start(now time.Time) []Action {
	m.beginEvent(now)
	for i, old := range m.members {
		m.members[i] = &memberState{Member: old.Member, lastContact: now}
	}
	m.reset()
	m.enterPhase(PhaseClaiming, CauseStart, now)
	return m.evaluate(now)
}

// Stop ends the home role, for example after a handover. Results of operations still in flight are ignored.
func (m *Machine) Stop(now time.Time) []Action {
	m.beginEvent(now)
	m.reset()
	m.enterPhase(PhaseIdle, CauseStopped, now)
	return m.actions
}

// reset clears the state that belongs to one tenure of the home role.
func (m *Machine) reset() {
	m.claim = claimState{}
	m.hasAuthority = false
	m.primary = nil
	m.term = 0
	m.attempt = attempt{}
	m.switchover = nil
	m.switchoverRetries = 0
	m.nextSwitchoverAt = time.Time{}
	m.isolatedSince = time.Time{}
	m.backoffs = 0
	m.writesHeld = false
}

// StatusReceived reports a streamed status of a member. The machine keeps s, which must not change afterwards.
func (m *Machine) StatusReceived(s *upstream.MemberStatus, now time.Time) []Action {
	m.beginEvent(now)
	if member := m.findMember(s.Member); member != nil {
		m.observe(member, s, now)
		member.streamBroken = false
	}
	return m.evaluate(now)
}

// StreamBroken reports that the status stream of a member ended or could not be opened.
func (m *Machine) StreamBroken(id upstream.MemberID, now time.Time) []Action {
	m.beginEvent(now)
	if member := m.findMember(id); member != nil {
		member.streamBroken = true
	}
	return m.evaluate(now)
}

// ProbeDone reports the result of a Probe; err is nil when s holds the member's status.
func (m *Machine) ProbeDone(id upstream.MemberID, s *upstream.MemberStatus, err *upstream.MemberError, now time.Time) []Action {
	m.beginEvent(now)
	member := m.findMember(id)
	if member == nil {
		return m.evaluate(now)
	}
	member.probe.open = false
	if err != nil {
		member.probeFailed(err.Kind, now)
		return m.evaluate(now)
	}
	if member.probe.sentAt.After(member.answeredProbeSentAt) {
		member.answeredProbeSentAt = member.probe.sentAt
	}
	m.observe(member, s, now)
	return m.evaluate(now)
}

// OperationDone reports the result of a Claim, Fence, Promote or Follow; err is nil when s holds the member's status
// after the operation. Results may arrive late, twice or never.
func (m *Machine) OperationDone(op OperationID, s *upstream.MemberStatus, err *upstream.MemberError, now time.Time) []Action {
	m.beginEvent(now)
	if s != nil && err == nil {
		if member := m.findMember(s.Member); member != nil {
			m.observe(member, s, now)
		}
	}
	m.finishOperation(op, err, now)
	return m.evaluate(now)
}

// AuthorityChanged reports whether the home's authority is confirmed (quorum.Tracker.HasAuthority). Without it the
// machine starts no failover and no switchover.
func (m *Machine) AuthorityChanged(confirmed bool, now time.Time) []Action {
	m.beginEvent(now)
	m.hasAuthority = confirmed
	return m.evaluate(now)
}

// Tick reports that time has passed. It must be called no later than NextTick.
func (m *Machine) Tick(now time.Time) []Action {
	m.beginEvent(now)
	return m.evaluate(now)
}

// NextTick returns when the next Tick is due, and false when the machine only reacts to events.
func (m *Machine) NextTick() (time.Time, bool) {
	switch m.phase {
	case PhaseIdle:
		return time.Time{}, false
	case PhaseSteady:
		return m.lastEvent.Add(steadyTick), true
	default:
		return m.lastEvent.Add(busyTick), true
	}
}

// Configure sets the members after a configuration change. At most one member may be added or removed at a time, so that
// any majority before and any majority after the change overlap.
func (m *Machine) Configure(members []Member, now time.Time) []Action {
	m.beginEvent(now)
	m.setMembers(members)
	for _, member := range m.members {
		if member.lastContact.IsZero() {
			member.lastContact = now
		}
	}
	if m.primary != nil && m.findMember(m.primary.ID) == nil {
		m.primary = nil
		if m.phase != PhaseIdle && m.phase != PhaseClaiming {
			m.startAttempt(CauseConfigChanged, "the primary is no longer a member of the group", now)
		}
	}
	return m.evaluate(now)
}

// setMembers replaces the members and keeps the known state of those that remain.
func (m *Machine) setMembers(members []Member) {
	old := m.members
	m.members = make([]*memberState, 0, len(members))
	for _, c := range members {
		member := &memberState{}
		for _, o := range old {
			if o.ID == c.ID {
				member = o
			}
		}
		member.Member = c
		m.members = append(m.members, member)
	}
}

// beginEvent starts the handling of an event. If the last event is longer ago than HeartbeatTimeout, this process was
// paused. The members may have sent statuses meanwhile, so their heartbeat timeouts restart now.
func (m *Machine) beginEvent(now time.Time) {
	m.actions = m.actions[:0]
	if !m.lastEvent.IsZero() && now.Sub(m.lastEvent) > m.timing.HeartbeatTimeout {
		for _, member := range m.members {
			member.lastContact = now
		}
	}
	m.lastEvent = now
}

func (m *Machine) enterPhase(p Phase, c Cause, now time.Time) {
	m.phase = p
	m.cause = c
	m.enteredAt = now
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// record emits an audit record with the known state of all members.
func (m *Machine) record(step Step, cause Cause, member *memberState, now time.Time, format string, args ...any) {
	e := Explanation{
		Time:       now,
		Group:      m.group,
		Step:       step,
		Cause:      cause,
		Term:       m.term,
		Generation: m.claim.claim.Generation,
		Text:       fmt.Sprintf(format, args...),
		Inputs:     make([]MemberInput, 0, len(m.members)),
	}
	if m.attempt.term > 0 {
		e.Term = m.attempt.term
	}
	if member != nil {
		e.Member = member.ID
	}
	if m.switchover != nil {
		e.Operator = m.switchover.operator
	}
	for _, o := range m.members {
		e.Inputs = append(e.Inputs, o.input(now))
	}
	m.emit(Record{Explanation: e})
}

// holdWrites asks the home to hold writes.
func (m *Machine) holdWrites(h HoldWrites) {
	m.writesHeld = true
	m.emit(h)
}

func (m *Machine) releaseWrites() {
	if !m.writesHeld {
		return
	}
	m.writesHeld = false
	m.emit(ReleaseWrites{})
}

// releaseHome gives up the home role.
func (m *Machine) releaseHome(cause Cause, now time.Time, text string) {
	m.record(StepRelease, cause, m.primary, now, "%s", text)
	m.emit(ReleaseHome{Cause: cause})
	m.reset()
	m.enterPhase(PhaseIdle, cause, now)
}
