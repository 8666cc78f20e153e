// Package upstream describes replicated database groups, their members and the narrow port through which celerystep
// observes and operates them.
package upstream

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
)

// GroupID names a replicated database group.
type GroupID string

// MemberID names a member within its group.
type MemberID string

// MemberState is the operators' intent for a member.
type MemberState string

// Intents for a member.
const (
	MemberActive  MemberState = "active"
	MemberLeaving MemberState = "leaving"
)

// Member is one database server of a group.
type Member struct {
	ID            MemberID               `json:"id"`
	Address       string                 `json:"address"`
	FailureDomain instance.FailureDomain `json:"failure_domain"`
	State         MemberState            `json:"state"`
}

// Group is a replicated database group with its limits.
type Group struct {
	ID      GroupID  `json:"id"`
	Members []Member `json:"members"`
	// Slots bounds the statements that one member runs at once.
	Slots int `json:"slots"`
	// Connections bounds the open connections to all members together.
	Connections int `json:"connections"`
}

// Majority returns the number of members that form a quorum.
func (g Group) Majority() int { return len(g.Members)/2 + 1 }

// Role is what a member believes of itself.
type Role string

// Roles of a member.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	// RoleFenced marks a member that accepted a higher term and has not been promoted or told whom to follow.
	RoleFenced Role = "fenced"
)

// MemberStatus is what a member reports about itself.
type MemberStatus struct {
	Member MemberID `json:"member"`
	Role   Role     `json:"role"`
	// Term is the highest term the member has accepted.
	Term position.Term `json:"term"`
	// FenceOwner is the owner that Term was accepted from.
	FenceOwner string `json:"fence_owner"`
	// Received and Applied are the ends of the durable and of the visible log.
	Received position.LSN `json:"received"`
	Applied  position.LSN `json:"applied"`
	// History lists the terms in the durable log; its last term is the log term.
	History position.History `json:"history"`
	// PrimarySilence is the time since the member last heard its primary, in nanoseconds; 0 on a primary.
	PrimarySilence time.Duration `json:"primary_silence_ns"`
	// Generation and Owner are the claim that the member accepted last.
	Generation uint64 `json:"generation"`
	Owner      string `json:"owner"`
}

// LogEnd returns the end of the durable log with the term of its last record.
func (s MemberStatus) LogEnd() position.Position {
	return position.Position{Term: s.History.LastTerm(), LSN: s.Received}
}

// Claim identifies a home instance of a group. A higher generation fences all lower ones.
type Claim struct {
	Generation uint64      `json:"generation"`
	Owner      instance.ID `json:"owner"`
}

// ErrorKind classifies the failure of an operation on a member.
type ErrorKind uint8

// Kinds of failure on a member.
const (
	// ErrUnreachable means that no answer arrived; the operation may have taken effect.
	ErrUnreachable ErrorKind = iota + 1
	// ErrRefused means that the connection was refused; the operation did not take effect.
	ErrRefused
	// ErrStale means that the member has accepted a higher term or generation.
	ErrStale
	// ErrLimit means that the member has no connection left.
	ErrLimit
)

// MemberError reports a failed operation on a member with the step at which it arose.
type MemberError struct {
	Kind   ErrorKind
	Step   string
	Member MemberID
	Err    error
}

// Error formats step, member and cause.
func (e *MemberError) Error() string {
	return "step=" + e.Step + " member=" + string(e.Member) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *MemberError) Unwrap() error { return e.Err }

// Port operates one database group. Every method returns a *MemberError on failure. Operations are idempotent for the
// same term and owner, so a caller whose answer was lost repeats them.
type Port interface {
	// Watch calls f with each status of the member until ctx ends or the stream breaks: on each change, coalesced
	// over 1 ms, and at least every 100 ms.
	Watch(ctx context.Context, m Member, f func(MemberStatus)) error
	// Status asks the member for its present status.
	Status(ctx context.Context, m Member) (MemberStatus, error)
	// Claim makes the member accept c and drop the connections of lower generations.
	Claim(ctx context.Context, m Member, c Claim) (MemberStatus, error)
	// Fence makes the member accept the term and stop leading or following in any lower one.
	Fence(ctx context.Context, m Member, t position.Term, owner instance.ID) (MemberStatus, error)
	// Promote makes the member primary of exactly the term it was fenced with by the same owner.
	Promote(ctx context.Context, m Member, t position.Term, owner instance.ID) (MemberStatus, error)
	// Follow makes the member a replica of primary in the term, dropping log records that primary does not have.
	Follow(ctx context.Context, m Member, t position.Term, owner instance.ID, primary Member) (MemberStatus, error)
	// Dial opens a connection for statements under the claim.
	Dial(ctx context.Context, m Member, c Claim) (Conn, error)
}

// Conn carries encoded PostgreSQL messages to and from a member. It is used by one goroutine at a time.
type Conn interface {
	// Send writes encoded frontend messages.
	Send(p []byte) error
	// Receive returns the next encoded backend message, valid until the next call.
	Receive() ([]byte, error)
	// SetDeadline bounds both directions; the zero time removes the bound.
	SetDeadline(t time.Time) error
	// Close ends the connection at once.
	Close() error
}
