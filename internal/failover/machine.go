// Package failover is the state machine that claims a database group for its home, learns or replaces the group's
// primary and moves it on request. It has no goroutines, sockets or clock reads: events and times come in, actions and
// explanations go out.
//
// Safety rests on the members' terms alone. For one term the machine promotes at most one member, chosen among a
// majority that was fenced in that term by this owner.
//
// The machine is level-triggered: each event updates what is known of the members, and evaluate then decides from that
// knowledge. An answer that was lost is therefore made up for by any later status of the member.
package failover

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Config describes the group and the instance.
type Config struct {
	Group upstream.GroupID
	// Owner names this process in claims. It must differ between two processes of the same instance that may run at the
	// same time: members take the same generation from the same owner. Fences carry it together with the generation of
	// the claim, so that a process that was restarted never passes for the one before.
	Owner   instance.ID
	Members []Member
	Timing  Timing
}

// Member is a group member with the operators' intent for it.
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
	// PhaseClaiming: waiting for a majority to report and to accept the claim.
	PhaseClaiming
	// PhaseLearning: home, but the present primary is not known yet.
	PhaseLearning
	// PhaseSteady: the primary is known and serves.
	PhaseSteady
	// PhaseSuspect: the primary is silent or refused the connection.
	PhaseSuspect
	// PhaseHolding: a switchover holds writes until a replica has received everything.
	PhaseHolding
	// PhaseFencing: collecting a fenced majority.
	PhaseFencing
	// PhasePromoting: promoting the chosen member.
	PhasePromoting
	// PhaseBackoff: another promoter has a higher term; waiting for its result.
	PhaseBackoff
)

var phaseNames = [...]string{"idle", "claiming", "learning", "steady", "suspect", "holding", "fencing", "promoting", "backoff"}

// String returns the name used in logs and the status.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Machine is the state machine of one group at one instance. It is not safe for concurrent use. Each event method
// returns the actions that follow; the slice is valid until the next call.
type Machine struct {
	group    upstream.GroupID
	instance instance.ID
	timing   Timing
	random   *rand.Rand

	members []*memberState
	phase   Phase
	// cause is why the phase was entered, at since.
	cause Cause
	since time.Time
	// last is the time of the latest event.
	last time.Time

	claim     claimState
	authority bool
	// primary leads in term as far as is known; nil while none is known.
	primary *memberState
	term    position.Term
	// highest is the highest term that was seen at a member or used by this machine. It survives Start.
	highest position.Term
	// generation is the highest one used by this machine. It survives Start.
	generation uint64

	attempt attempt
	// backoffs counts the attempts in a row that met another promoter, and retryAt ends PhaseBackoff.
	backoffs int
	retryAt  time.Time
	move     *move
	// moveRetries counts planned moves in a row that fell back; the next one starts at moveAt at the earliest.
	moveRetries int
	moveAt      time.Time
	held        bool
	// isolatedSince is since when a majority has not heard the primary for CutOff; zero when it does.
	isolatedSince time.Time

	lastOp  OperationID
	actions []Action
}

// View is a copy of the machine's state for the status page.
type View struct {
	Phase      Phase
	Primary    upstream.MemberID
	Term       position.Term
	Claim      upstream.Claim
	WritesHeld bool
	// Cause is why the present phase was entered.
	Cause Cause
	Since time.Time
}

// New returns a machine in PhaseIdle. src gives the jitter of backoff times.
func New(c Config, src rand.Source) *Machine {
	m := &Machine{group: c.Group, instance: c.Owner, timing: c.Timing.withDefaults(), random: rand.New(src)}
	m.setMembers(c.Members)
	return m
}

// View returns the present state.
func (m *Machine) View() View {
	v := View{Phase: m.phase, Term: m.term, Claim: m.claim.claim, WritesHeld: m.held, Cause: m.cause, Since: m.since}
	if m.primary != nil {
		v.Primary = m.primary.ID
	}
	return v
}

// Start begins to claim the group. Statuses observed before Start are not used, because they may be older than what this
// instance did under an earlier claim.
func (m *Machine) Start(now time.Time) []Action {
	m.begin(now)
	for i, old := range m.members {
		m.members[i] = &memberState{Member: old.Member, heardAt: now}
	}
	m.reset()
	m.enter(PhaseClaiming, CauseStart, now)
	return m.evaluate(now)
}

// Stop ends the home role, for example after a handover. Results of operations that are still open are ignored.
func (m *Machine) Stop(now time.Time) []Action {
	m.begin(now)
	m.reset()
	m.enter(PhaseIdle, CauseStopped, now)
	return m.actions
}

// reset forgets all that belongs to one term of the home role.
func (m *Machine) reset() {
	m.claim = claimState{}
	m.authority = false
	m.primary = nil
	m.term = 0
	m.attempt = attempt{}
	m.move = nil
	m.moveRetries = 0
	m.moveAt = time.Time{}
	m.isolatedSince = time.Time{}
	m.backoffs = 0
	m.held = false
}

// Status reports a streamed status of a member. The machine keeps s, which must not change afterwards.
func (m *Machine) StatusReceived(s *upstream.MemberStatus, now time.Time) []Action {
	m.begin(now)
	if k := m.member(s.Member); k != nil {
		m.observe(k, s, now)
		k.broken = false
	}
	return m.evaluate(now)
}

// StreamBroken reports that the status stream of a member ended or could not be opened.
func (m *Machine) StreamBroken(id upstream.MemberID, now time.Time) []Action {
	m.begin(now)
	if k := m.member(id); k != nil {
		k.broken = true
	}
	return m.evaluate(now)
}

// ProbeDone reports the result of a Probe; err is nil when s holds the member's status.
func (m *Machine) ProbeDone(id upstream.MemberID, s *upstream.MemberStatus, err *upstream.MemberError, now time.Time) []Action {
	m.begin(now)
	k := m.member(id)
	if k == nil {
		return m.evaluate(now)
	}
	k.probe.open = false
	if err != nil {
		k.probeFailed(err.Kind, now)
		return m.evaluate(now)
	}
	if k.probe.sentAt.After(k.readAt) {
		k.readAt = k.probe.sentAt
	}
	m.observe(k, s, now)
	return m.evaluate(now)
}

// OperationDone reports the result of a Claim, Fence, Promote or Follow; err is nil when s holds the member's status
// after the operation. Results may come late, twice or never.
func (m *Machine) OperationDone(op OperationID, s *upstream.MemberStatus, err *upstream.MemberError, now time.Time) []Action {
	m.begin(now)
	if s != nil && err == nil {
		if k := m.member(s.Member); k != nil {
			m.observe(k, s, now)
		}
	}
	m.finishOperation(op, err, now)
	return m.evaluate(now)
}

// Authority reports whether the home's authority is confirmed (quorum.Tracker.HasAuthority). Without it the machine
// starts no failover and no switchover.
func (m *Machine) AuthorityChanged(held bool, now time.Time) []Action {
	m.begin(now)
	m.authority = held
	return m.evaluate(now)
}

// Tick reports that time has passed. It must be called at NextTick at the latest.
func (m *Machine) Tick(now time.Time) []Action {
	m.begin(now)
	return m.evaluate(now)
}

// NextTick returns when the machine wants the next Tick, and false when only events matter.
func (m *Machine) NextTick() (time.Time, bool) {
	switch m.phase {
	case PhaseIdle:
		return time.Time{}, false
	case PhaseSteady:
		return m.last.Add(steadyTick), true
	default:
		return m.last.Add(busyTick), true
	}
}

// Configure reports the members after a configuration change. At most one member may be added or removed at a time, so
// that majorities before and after share a member.
func (m *Machine) Configure(members []Member, now time.Time) []Action {
	m.begin(now)
	m.setMembers(members)
	for _, k := range m.members {
		if k.heardAt.IsZero() {
			k.heardAt = now
		}
	}
	if m.primary != nil && m.member(m.primary.ID) == nil {
		m.primary = nil
		if m.phase != PhaseIdle && m.phase != PhaseClaiming {
			m.startAttempt(CauseConfigChanged, "the primary is no longer a member of the group", now)
		}
	}
	return m.evaluate(now)
}

// setMembers replaces the members and keeps what is known of those that repromote.
func (m *Machine) setMembers(members []Member) {
	old := m.members
	m.members = make([]*memberState, 0, len(members))
	for _, c := range members {
		k := &memberState{}
		for _, o := range old {
			if o.ID == c.ID {
				k = o
			}
		}
		k.Member = c
		m.members = append(m.members, k)
	}
}

// begin starts the handling of an event. When the last one is long ago, this process was paused: members were not silent
// then, so their silence counts from now.
func (m *Machine) begin(now time.Time) {
	m.actions = m.actions[:0]
	if !m.last.IsZero() && now.Sub(m.last) > m.timing.HeartbeatTimeout {
		for _, k := range m.members {
			k.heardAt = now
		}
	}
	m.last = now
}

// enter changes the phase.
func (m *Machine) enter(p Phase, c Cause, now time.Time) {
	m.phase = p
	m.cause = c
	m.since = now
}

func (m *Machine) act(a Action) { m.actions = append(m.actions, a) }

// record adds an explanation with what is known of all members.
func (m *Machine) record(step Step, cause Cause, k *memberState, now time.Time, format string, args ...any) {
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
	if k != nil {
		e.Member = k.ID
	}
	if m.move != nil {
		e.Operator = m.move.operator
	}
	for _, o := range m.members {
		e.Inputs = append(e.Inputs, o.input(now))
	}
	m.act(Record{Explanation: e})
}

// hold asks the home to hold writes unless it does already.
func (m *Machine) hold(h HoldWrites) {
	m.held = true
	m.act(h)
}

func (m *Machine) releaseWrites() {
	if !m.held {
		return
	}
	m.held = false
	m.act(ReleaseWrites{})
}

// release gives up the home role.
func (m *Machine) release(cause Cause, now time.Time, text string) {
	m.record(StepRelease, cause, m.primary, now, "%s", text)
	m.act(ReleaseHome{Cause: cause})
	m.reset()
	m.enter(PhaseIdle, cause, now)
}
