// Package failover is the state machine that claims a database group for its home, learns or replaces the group's
// primary and moves it on request. It has no goroutines, sockets or clock reads: events and times come in, actions and
// explanations go out.
//
// Safety rests on the members' terms alone. For one term the machine promotes at most one member, chosen among a
// majority that was fenced in that term.
package failover

import (
	"math/rand/v2"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Member is a group member with the operators' intent for it.
type Member struct {
	ID        upstream.MemberID
	Leaving   bool
	DomainOut bool
}

// Timing holds the machine's time limits. Zero fields take the value of DefaultTiming.
type Timing struct {
	// Silence is how long a status stream may be silent before the member is probed.
	Silence time.Duration
	// ProbeTimeout bounds one probe.
	ProbeTimeout time.Duration
	// OperationTimeout bounds one claim, fence, promote or follow.
	OperationTimeout time.Duration
	// StepTimeout is how long fencing or promoting in one term may take before a new attempt in a higher term.
	StepTimeout time.Duration
	// CutOff is how long the home may miss a primary that the replicas hear, or a majority, before it releases the role.
	CutOff time.Duration
	// BackoffMin and BackoffMax bound the wait before a new attempt after a stale term.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// HoldLimit is how long a switchover holds writes before it falls back.
	HoldLimit time.Duration
	// MoveRetryMin and MoveRetryMax bound the wait before another try to move the primary off a leaving member.
	MoveRetryMin time.Duration
	MoveRetryMax time.Duration
	// FollowRetry is the wait between two tries to make a member follow.
	FollowRetry time.Duration
}

// DefaultTiming returns the limits of docs/decisions/0003-failover-and-fencing.md.
func DefaultTiming() Timing { return Timing{} }

// Config describes the group and the instance.
type Config struct {
	Group   upstream.GroupID
	Owner   instance.ID
	Members []Member
	Timing  Timing
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

// String returns the name used in logs and the status.
func (p Phase) String() string { return "" }

// Machine is the state machine of one group at one instance. It is not safe for concurrent use. Each event method
// returns the actions that follow; the slice is valid until the next call.
type Machine struct{}

// New returns a machine in PhaseIdle. src gives the jitter of backoff times.
func New(c Config, src rand.Source) *Machine { return &Machine{} }

// Start begins to claim the group. Statuses observed before Start are not used, because they may be older than what this
// instance did under an earlier claim.
func (m *Machine) Start(now time.Time) []Action { return nil }

// Stop ends the home role, for example after a handover. Results of operations that are still open are ignored.
func (m *Machine) Stop(now time.Time) []Action { return nil }

// Status reports a streamed status of a member. The machine keeps s, which must not change afterwards.
func (m *Machine) Status(s *upstream.MemberStatus, now time.Time) []Action { return nil }

// StreamBroken reports that the status stream of a member ended or could not be opened.
func (m *Machine) StreamBroken(id upstream.MemberID, now time.Time) []Action { return nil }

// ProbeDone reports the result of a Probe; err is nil when s holds the member's status.
func (m *Machine) ProbeDone(id upstream.MemberID, s *upstream.MemberStatus, err *upstream.MemberError, now time.Time) []Action {
	return nil
}

// OperationDone reports the result of a Claim, Fence, Promote or Follow; err is nil when s holds the member's status
// after the operation. Results may come late, twice or never.
func (m *Machine) OperationDone(op OperationID, s *upstream.MemberStatus, err *upstream.MemberError, now time.Time) []Action {
	return nil
}

// Authority reports whether the home's authority is confirmed (quorum.Tracker.HasAuthority). Without it the machine
// starts no failover and no switchover.
func (m *Machine) Authority(held bool, now time.Time) []Action { return nil }

// Tick reports that time has passed. It must be called at NextTick at the latest.
func (m *Machine) Tick(now time.Time) []Action { return nil }

// NextTick returns when the machine wants the next Tick, and false when only events matter.
func (m *Machine) NextTick() (time.Time, bool) { return time.Time{}, false }

// SwitchoverRequest is an operator's order to move the primary.
type SwitchoverRequest struct {
	// Target is the member to promote; empty lets the machine choose.
	Target   upstream.MemberID
	Operator string
}

// Switchover starts a planned move of the primary. The error says why the order is refused; nothing was changed then.
func (m *Machine) Switchover(r SwitchoverRequest, now time.Time) ([]Action, error) { return nil, nil }

// WritesDrained reports that no write transaction runs any more after HoldWrites.
func (m *Machine) WritesDrained(now time.Time) []Action { return nil }

// Configure reports the members after a configuration change.
func (m *Machine) Configure(members []Member, now time.Time) []Action { return nil }

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

// View returns the present state.
func (m *Machine) View() View { return View{} }
