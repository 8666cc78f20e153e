// Package promotion decides, for the owner of a database group whose platform promotes members on orders under a
// fencing token, which member is the primary, when it must be replaced and by which replica. It starts no goroutines,
// opens no sockets and reads no clock: events and times come in, actions and explanations go out.
//
// The state machine is level-triggered: events update what is known of the members, and Tick decides from that state.
package promotion

import (
	"fmt"
	"time"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Timing holds the timeouts and intervals of the phases.
type Timing struct {
	// ProbeTimeout is the timeout of a probe.
	ProbeTimeout time.Duration
	// ProbeInterval is the minimum interval between two probes of a member.
	ProbeInterval time.Duration
	// DiscoveryTimeout is how long members are asked for the primary before a replica is promoted.
	DiscoveryTimeout time.Duration
	// PositionTimeout is how long the other replicas have to report their positions once one of them has.
	PositionTimeout time.Duration
	// DrainTimeout is how long a planned change waits for running transactions, CatchUpTimeout for a replica's log to
	// catch up.
	DrainTimeout   time.Duration
	CatchUpTimeout time.Duration
	// LeadTimeout is how long a promoted member may take to become primary.
	LeadTimeout time.Duration
	// EstimateTimeout is how long after the beginning of a phase ExpectedPrimary still returns an estimate.
	EstimateTimeout time.Duration
	// ExpectedPromotion is the typical time from an order until the member is primary.
	ExpectedPromotion time.Duration
}

// DefaultTiming returns the timing for members in one region.
func DefaultTiming() Timing {
	return Timing{
		ProbeTimeout:      250 * time.Millisecond,
		ProbeInterval:     80 * time.Millisecond,
		DiscoveryTimeout:  500 * time.Millisecond,
		PositionTimeout:   120 * time.Millisecond,
		DrainTimeout:      400 * time.Millisecond,
		CatchUpTimeout:    800 * time.Millisecond,
		LeadTimeout:       3 * time.Second,
		ExpectedPromotion: 600 * time.Millisecond,
		EstimateTimeout:   1200 * time.Millisecond,
	}
}

// Failure says how an operation on a member failed.
type Failure uint8

// Kinds of failure.
const (
	// FailureConnectionLost: a connection broke.
	FailureConnectionLost Failure = iota + 1
	// FailureRefused: nothing listens at the member's address, or another member does.
	FailureRefused
	// FailureNoAnswer: no answer arrived in time.
	FailureNoAnswer
	// FailureBusy: the member answers but has no connection available for the probe.
	FailureBusy
)

// String returns the name used in logs.
func (f Failure) String() string {
	return [...]string{"none", "connection_lost", "refused", "silent", "busy"}[f]
}

// Status is a member's report of its own state.
type Status struct {
	Role     upstream.Role
	Term     position.Term
	Position position.Position
	Lag      time.Duration
}

// Info describes a member according to the configuration and the service discovery.
type Info struct {
	ID upstream.MemberID
	// Local is true for a member in the owner's failure domain.
	Local bool
	// Leaving is true for a member that is shutting down, OutOfService for one that must not be used.
	Leaving      bool
	OutOfService bool
	// Role is what the member last reported to the discovery service; empty when unknown.
	Role upstream.Role
}

// Result is the outcome of a promotion order.
type Result uint8

// Results of an order.
const (
	// ResultUnknown: no answer; the order may still take effect.
	ResultUnknown Result = iota
	ResultAccepted
	// ResultRejected: the token is too low, or the member is not running.
	ResultRejected
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of action.
const (
	// ActionProbe requests a status; StatusDone or StatusFailed must be called.
	ActionProbe ActionKind = iota + 1
	// ActionPromote orders the promotion of the member; PromoteDone must be called.
	ActionPromote
	// ActionConfirm orders the promotion of the current primary. That changes nothing, but makes the platform refuse
	// the orders of earlier owners; PromoteDone must be called.
	ActionConfirm
	// ActionRenewToken requests a higher fencing token, because the current one may be too low.
	ActionRenewToken
)

// Action is a step that the caller has to carry out.
type Action struct {
	Kind   ActionKind
	Member upstream.MemberID
}

// Phase is the state of the machine.
type Phase uint8

// Phases.
const (
	// PhaseLearning: the primary is not known.
	PhaseLearning Phase = iota
	// PhaseLeading: the primary is known and in use.
	PhaseLeading
	// PhaseDraining: a planned change waits for running transactions and for a replica's log to catch up.
	PhaseDraining
	// PhaseChoosing: the replicas are asked for their positions.
	PhaseChoosing
	// PhasePromoting: the order has been sent.
	PhasePromoting
	// PhaseAwaiting: the platform has accepted the order, but the member is not primary yet.
	PhaseAwaiting
)

// String returns the name used in logs.
func (p Phase) String() string {
	return [...]string{"learning", "leading", "draining", "choosing", "promoting", "awaiting"}[p]
}

// member is the machine's state of one member.
type member struct {
	Info
	lastAnswer    time.Time
	failure       Failure
	lastFailure   time.Time
	failures      int
	probing       bool
	lastProbe     time.Time
	status        *Status
	statusAt      time.Time
	excludedUntil time.Time
}

// Machine is the promotion state machine of one group. It is not safe for concurrent use.
type Machine struct {
	timing     Timing
	members    map[upstream.MemberID]*member
	order      []upstream.MemberID
	phase      Phase
	phaseStart time.Time
	cause      string
	primary    upstream.MemberID
	term       position.Term
	target     upstream.MemberID
	// selectedLog is where the log of the target ended when it was selected.
	selectedLog position.Position
	// orderPending is true while the result of an order is outstanding, orderOutdated if that order has an earlier token.
	orderPending  bool
	orderOutdated bool
	// unresolved counts, by member, the orders under the current token that may still take effect: without a result, or with
	// an unknown one.
	unresolved map[upstream.MemberID]int
	// confirmed is true once the platform has accepted an order under this owner's token, so that it refuses those of earlier
	// owners.
	confirmed   bool
	nextConfirm time.Time
	rejections  int
	primaryIdle bool
	// syncReplicas is the number of replicas that hold a commit before it is acknowledged.
	syncReplicas int
	acknowledged position.Position
	// handedOver is true once another owner decides about promotions.
	handedOver bool
	// completeAt is when the known members are all that live.
	completeAt time.Time
	// withheld is true once it has been explained that no replica is promoted in the current phase.
	withheld      bool
	explanations  []string
	tokenRejected bool
	lastRenewal   time.Time
}

// New returns a machine that does not know the primary yet.
func New(t Timing, now time.Time) *Machine {
	return &Machine{
		timing: t, members: make(map[upstream.MemberID]*member), unresolved: make(map[upstream.MemberID]int), phaseStart: now, cause: "start",
	}
}

// Phase returns the current phase, its start and its cause.
func (m *Machine) Phase() (Phase, time.Time, string) { return m.phase, m.phaseStart, m.cause }

// Primary returns the primary and its term, and whether it may get new statements.
func (m *Machine) Primary() (upstream.MemberID, position.Term, bool) {
	return m.primary, m.term, m.phase == PhaseLeading
}

// orderPromotion returns the action that orders the promotion of the member.
func (m *Machine) orderPromotion(kind ActionKind, id upstream.MemberID) Action {
	m.orderPending = true
	m.unresolved[id]++
	return Action{Kind: kind, Member: id}
}

// orderDone records that an order has a result. It returns false if the order has an earlier token.
func (m *Machine) orderDone(id upstream.MemberID, r Result) bool {
	outdated := m.orderOutdated
	m.orderPending, m.orderOutdated = false, false
	if outdated || r == ResultUnknown {
		return !outdated
	}
	if m.unresolved[id]--; m.unresolved[id] <= 0 {
		delete(m.unresolved, id)
	}
	return true
}

// ExpectedPrimary estimates when a primary will accept statements; it returns the zero time when the current phase has
// exceeded EstimateTimeout and no estimate is possible.
func (m *Machine) ExpectedPrimary(now time.Time) time.Time {
	at := now
	switch m.phase {
	case PhaseLeading:
		return now
	case PhaseAwaiting:
		at = m.phaseStart.Add(m.timing.ExpectedPromotion)
	case PhaseLearning:
		at = m.phaseStart.Add(m.timing.ProbeInterval)
	default:
		at = later(now, m.completeAt).Add(m.timing.ExpectedPromotion)
	}
	if now.Sub(m.phaseStart) > m.timing.EstimateTimeout {
		return time.Time{}
	}
	return later(at, now.Add(20*time.Millisecond))
}

// Explanations returns the decisions since the last call, one sentence each.
func (m *Machine) Explanations() []string {
	l := m.explanations
	m.explanations = nil
	return l
}

// SetMembers replaces the members.
func (m *Machine) SetMembers(list []Info, now time.Time) {
	next := make(map[upstream.MemberID]*member, len(list))
	m.order = m.order[:0]
	for _, i := range list {
		known := m.members[i.ID]
		if known == nil {
			known = &member{}
		}
		known.Info = i
		next[i.ID] = known
		m.order = append(m.order, i.ID)
	}
	m.members = next
	if m.phase == PhaseLeading && m.members[m.primary] == nil {
		m.enter(PhaseChoosing, now, "the primary has left the service discovery")
	}
}

// SetMembersCompleteAt sets the time from which the known members are all that live. Nobody is promoted before: the primary, or a
// replica with a longer log, may be missing from the service discovery.
func (m *Machine) SetMembersCompleteAt(t time.Time) { m.completeAt = t }

// SetSyncReplicas sets how many replicas hold a commit before it is acknowledged.
func (m *Machine) SetSyncReplicas(n int) { m.syncReplicas = n }

// AnswerReceived records an answer of the member and resets its failures.
func (m *Machine) AnswerReceived(id upstream.MemberID, now time.Time) {
	if k := m.members[id]; k != nil {
		k.lastAnswer, k.failures, k.failure = now, 0, 0
	}
}

// Failed records a failed operation on the member.
func (m *Machine) Failed(id upstream.MemberID, f Failure, now time.Time) {
	if k := m.members[id]; k != nil {
		k.failure, k.lastFailure = f, now
		k.failures++
	}
}

// Healthy reports whether the member answers, as far as is known.
func (m *Machine) Healthy(id upstream.MemberID) bool {
	k := m.members[id]
	if k == nil {
		return false
	}
	if k.failure == FailureRefused {
		return k.failures == 0
	}
	return k.failures < unhealthyAfterFailures
}

// SilentSince reports whether no answer of the member has arrived since the given time.
func (m *Machine) SilentSince(id upstream.MemberID, t time.Time) bool {
	k := m.members[id]
	return k != nil && k.lastAnswer.Before(t)
}

// ReportedNotPrimary records that the member refused a statement because it is not the primary.
func (m *Machine) ReportedNotPrimary(id upstream.MemberID, now time.Time) {
	if m.phase == PhaseLeading && id == m.primary {
		m.primary = ""
		m.enter(PhaseLearning, now, "the primary says that it does not lead")
	}
}

// PrimaryIdle records that no statement or transaction is open on the primary.
func (m *Machine) PrimaryIdle() { m.primaryIdle = true }

// StatusDone records the answer to a probe.
func (m *Machine) StatusDone(id upstream.MemberID, s Status, now time.Time) {
	k := m.members[id]
	if k == nil {
		return
	}
	k.probing, k.status, k.statusAt = false, &s, now
	m.AnswerReceived(id, now)
	switch {
	case s.Role == upstream.RolePrimary && s.Term >= m.term && m.acceptsPrimary(id, s):
		m.setPrimary(id, s, now)
	case s.Role == upstream.RoleReplica && id == m.primary && (m.phase == PhaseLeading || m.phase == PhaseDraining):
		m.ReportedNotPrimary(id, now)
	}
}

// acceptsPrimary reports whether, in the current phase, a member that reports itself as primary is accepted as such.
func (m *Machine) acceptsPrimary(id upstream.MemberID, s Status) bool {
	switch m.phase {
	case PhaseLearning:
		return true
	case PhaseAwaiting:
		return id == m.target && s.Term > m.term || s.Term > m.term+1
	case PhaseChoosing:
		// The suspected primary does answer, or another owner has promoted a member.
		return !m.members[id].Leaving && !m.members[id].OutOfService || s.Term > m.term
	case PhaseLeading:
		return id != m.primary && s.Term > m.term
	default:
		return false
	}
}

// StatusFailed records that a probe failed.
func (m *Machine) StatusFailed(id upstream.MemberID, f Failure, now time.Time) {
	k := m.members[id]
	if k == nil {
		return
	}
	k.probing = false
	if f == FailureBusy {
		m.AnswerReceived(id, now)
		return
	}
	k.status = nil
	m.Failed(id, f, now)
}

// PromoteDone records the outcome of an order.
func (m *Machine) PromoteDone(id upstream.MemberID, r Result, now time.Time) {
	current := m.orderDone(id, r)
	switch {
	case r == ResultRejected:
		m.orderRejected(id, now)
	case m.phase == PhasePromoting && id == m.target && r == ResultAccepted:
		m.rejections, m.confirmed = 0, current
		m.enter(PhaseAwaiting, now, "the platform has accepted the order")
	case r == ResultAccepted && id == m.primary:
		m.rejections, m.confirmed = 0, current
	}
}

// orderRejected handles a rejected order: the token may be too low, or the target may be unavailable.
func (m *Machine) orderRejected(id upstream.MemberID, now time.Time) {
	m.rejections++
	m.tokenRejected = true
	if m.phase == PhasePromoting && id == m.target {
		if k := m.members[id]; k != nil && m.rejections > 1 {
			k.excludedUntil = now.Add(time.Second)
		}
		m.enter(PhaseChoosing, now, "the platform has rejected the order for "+string(id))
	}
	m.nextConfirm = now.Add(500 * time.Millisecond)
}

// TokenRenewed records that the owner has a higher fencing token. Once an order under it has been accepted, the platform
// refuses those under the earlier one.
func (m *Machine) TokenRenewed() {
	m.tokenRejected, m.confirmed = false, false
	m.orderOutdated = m.orderPending
	clear(m.unresolved)
}

func (m *Machine) enter(p Phase, now time.Time, cause string) {
	m.explanations = append(m.explanations, fmt.Sprintf("%s -> %s: %s (primary %s, term %d, %v in the phase before)",
		m.phase, p, cause, m.primary, m.term, now.Sub(m.phaseStart).Round(time.Millisecond)))
	m.phase, m.phaseStart, m.cause = p, now, cause
	m.primaryIdle, m.withheld = false, false
}

func (m *Machine) setPrimary(id upstream.MemberID, s Status, now time.Time) {
	if s.Term > m.term {
		m.dropRolledBack(s)
	}
	m.primary, m.term = id, s.Term
	m.enter(PhaseLeading, now, fmt.Sprintf("%s leads in term %d at %s", id, s.Term, s.Position))
}

// dropRolledBack limits the acknowledged position to the log with which a new term begins. Commits of earlier terms beyond it are
// rolled back, which only members without synchronous replicas may do; no replica will ever hold them.
func (m *Machine) dropRolledBack(leader Status) {
	if m.acknowledged.Term < leader.Term {
		m.acknowledged.LSN = min(m.acknowledged.LSN, leader.Position.LSN)
	}
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
