package failover

import (
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// OperationID correlates the result of an operation on a member with the action that requested it. A machine never
// reuses an ID.
type OperationID uint64

// Action is a request from the machine to the home. The concrete types are Probe, Claim, Fence, Promote, Follow,
// Announce, Claimed, ReleaseHome, HoldWrites, ReleaseWrites, SwitchoverFailed and Record.
type Action interface{ action() }

// Probe requests the member's status through Port.Status. The result goes to Machine.ProbeDone.
type Probe struct {
	Member  upstream.MemberID
	Timeout time.Duration
}

// Claim requests Port.Claim. The result goes to Machine.OperationDone.
type Claim struct {
	Op      OperationID
	Member  upstream.MemberID
	Claim   upstream.Claim
	Timeout time.Duration
}

// Fence requests Port.Fence. The result goes to Machine.OperationDone.
type Fence struct {
	Op      OperationID
	Member  upstream.MemberID
	Term    position.Term
	Owner   instance.ID
	Timeout time.Duration
}

// Promote requests Port.Promote. The result goes to Machine.OperationDone.
type Promote struct {
	Op      OperationID
	Member  upstream.MemberID
	Term    position.Term
	Owner   instance.ID
	Timeout time.Duration
}

// Follow requests Port.Follow. The result goes to Machine.OperationDone.
type Follow struct {
	Op      OperationID
	Member  upstream.MemberID
	Term    position.Term
	Owner   instance.ID
	Primary upstream.MemberID
	Timeout time.Duration
}

// Claimed reports that a majority accepted the claim, so the instance is now the group's home. SentAt was read before
// the first claim request of this generation was sent; the authority window starts there.
type Claimed struct {
	Claim  upstream.Claim
	SentAt time.Time
}

// Announce reports the current primary and its term, after a promotion or when the machine discovers the primary.
type Announce struct {
	Primary upstream.MemberID
	Term    position.Term
}

// ReleaseHome asks the instance to give up the home role. The machine stays idle until the next Start.
type ReleaseHome struct{ Cause Cause }

// HoldWrites asks the home to queue new write transactions. If Drain is true, the home also lets running write
// transactions finish and then calls Machine.WritesDrained; at Deadline it should roll back idle transactions.
type HoldWrites struct {
	Drain    bool
	Deadline time.Time
}

// SwitchoverFailed reports that a switchover ended without promoting a new primary. No Announce results from it.
type SwitchoverFailed struct{ Cause Cause }

// ReleaseWrites lets the home run queued write transactions again after HoldWrites.
type ReleaseWrites struct{}

// Record asks the home to write an audit record.
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
