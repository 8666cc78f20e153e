package failover

import (
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// OperationID matches the result of an operation on a member to the action that asked for it. Ids are never reused
// within a machine.
type OperationID uint64

// Action is something that the machine asks the home to do. The concrete types are Probe, Claim, Fence, Promote, Follow,
// Announce, Claimed, ReleaseHome, HoldWrites, ReleaseWrites, SwitchoverFailed and Record.
type Action interface{ action() }

// Probe asks for Port.Status with the timeout. The result goes to Machine.ProbeDone.
type Probe struct {
	Member  upstream.MemberID
	Timeout time.Duration
}

// Claim asks for Port.Claim. The result goes to Machine.OperationDone.
type Claim struct {
	Op     OperationID
	Member upstream.MemberID
	Claim  upstream.Claim
	// Timeout bounds the operation.
	Timeout time.Duration
}

// Fence asks for Port.Fence. The result goes to Machine.OperationDone.
type Fence struct {
	Op      OperationID
	Member  upstream.MemberID
	Term    position.Term
	Owner   instance.ID
	Timeout time.Duration
}

// Promote asks for Port.Promote. The result goes to Machine.OperationDone.
type Promote struct {
	Op      OperationID
	Member  upstream.MemberID
	Term    position.Term
	Owner   instance.ID
	Timeout time.Duration
}

// Follow asks for Port.Follow. The result goes to Machine.OperationDone.
type Follow struct {
	Op      OperationID
	Member  upstream.MemberID
	Term    position.Term
	Owner   instance.ID
	Primary upstream.MemberID
	Timeout time.Duration
}

// Claimed reports that a majority accepted the claim: the instance is the group's home. SentAt is the time before the
// first claim of this generation was sent; authority counts from it.
type Claimed struct {
	Claim  upstream.Claim
	SentAt time.Time
}

// Announce reports the present primary and its term, after a promotion or when the machine learned of it.
type Announce struct {
	Primary upstream.MemberID
	Term    position.Term
}

// ReleaseHome asks the home to give up its role. The machine does nothing more until Start.
type ReleaseHome struct{ Cause Cause }

// HoldWrites asks the home to keep new write transactions in the queue. When Drain is true the home lets running ones
// end and then calls Machine.WritesDrained; the home should roll back idle transactions at Deadline.
type HoldWrites struct {
	Drain    bool
	Deadline time.Time
}

// SwitchoverFailed reports that a planned move ended without the new primary; an Announce does not follow from it.
type SwitchoverFailed struct{ Cause Cause }

// ReleaseWrites ends HoldWrites.
type ReleaseWrites struct{}

// Record asks for an audit record.
type Record struct{ Explanation Explanation }

func (Probe) action()            {}
func (Claim) action()            {}
func (Fence) action()            {}
func (Promote) action()          {}
func (Follow) action()           {}
func (Claimed) action()          {}
func (Announce) action()         {}
func (ReleaseHome) action()      {}
func (HoldWrites) action()       {}
func (ReleaseWrites) action()    {}
func (SwitchoverFailed) action() {}
func (Record) action()           {}
