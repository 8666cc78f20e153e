// Package operation defines the requests and responses between the instance that serves a caller's session and the instance that
// owns the session's database group, independently of their encoding on the network (see package fleetlink).
package operation

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/delegation"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

// SessionID identifies a session within the fleet. A session takes a new one with each transaction, so that a late request of an
// earlier transaction does not affect a later one.
type SessionID struct {
	// Instance is the process that serves the session.
	Instance instance.ID
	Number   uint64
}

// Request asks the owner of a group to run one statement on a member.
type Request struct {
	Session SessionID
	Group   upstream.GroupID
	// Database is the database name that the caller connected to; it identifies the route.
	Database string
	Key      string
	// CatalogRevision is the revision of the configuration that the sender used, Customer the holder of the key in that
	// configuration.
	CatalogRevision uint64
	Customer        string
	Statement       statement.Statement
	// Begin is the kind of the deferred begin statement that must run first, or statement.KindInvalid.
	Begin statement.Kind
	// InTransaction is true if an earlier request has opened a transaction in the session.
	InTransaction bool
	// Values are the session values that must be set on the member connection.
	Values map[string]string
	// Floor is the log position of the session's own last commit, a lower bound for its reads; zero if there is none.
	Floor position.Position
	// Elapsed is the time since the caller's statement arrived.
	Elapsed time.Duration
	// Charged is true if a delegate has taken the customer's token for this statement already.
	Charged bool
}

// Valid reports whether the statement is one that runs on a member and no part of the request contains a line break, which
// a member could take for the end of a message.
func (r *Request) Valid() bool {
	if !r.Statement.IsOneLine() {
		return false
	}
	for name, value := range r.Values {
		if !(statement.Statement{Name: name, Value: value}).IsOneLine() {
			return false
		}
	}
	switch r.Begin {
	case statement.KindInvalid, statement.KindBegin, statement.KindBeginRead:
	default:
		return false
	}
	switch r.Statement.Kind {
	case statement.KindRead, statement.KindWrite, statement.KindExecute, statement.KindCommit:
		return true
	default:
		return false
	}
}

// Response is the answer to a Request.
type Response struct {
	statement.Answer
	// RetryAfter tells a rejected caller when to retry; 0 if unknown.
	RetryAfter time.Duration
	// OverRate is true if the statement was rejected because its customer exceeded the rate limit; nothing ran.
	OverRate bool
	// NotOwner is true if the receiver does not own the group; nothing ran. Owner is then the newest claim that it knows of
	// another process, or the zero Claim.
	NotOwner bool
	Owner    ownership.Claim
	// Began is how many times a member began to run the statement, BeganAfter the time from its arrival at the caller's instance to
	// the last of them.
	Began      uint32
	BeganAfter time.Duration
	// CatalogRevision is the revision of the configuration that the owner used.
	CatalogRevision uint64
}

// Runner runs statements on the members of a group.
type Runner interface {
	// Run returns when the statement has completed or was rejected, or when ctx ends.
	Run(ctx context.Context, r *Request) Response
	// End rolls back the session's open transaction, if any.
	End(ctx context.Context, g upstream.GroupID, s SessionID)
}

// ReadResult is a delegate's answer to a read. A read that was declined must be sent to the owner of the group, unless it is in a
// transaction: statements in a transaction are never declined.
type ReadResult struct {
	Response Response
	Decline  delegation.Decline
	// Charged is true if a declined read has used up the customer's token.
	Charged bool
}

// ReadRunner runs reads and read-only transactions of groups that other instances own.
type ReadRunner interface {
	RunRead(ctx context.Context, r *Request) ReadResult
	// EndRead rolls back the session's open transaction that RunRead has opened, if any.
	EndRead(ctx context.Context, g upstream.GroupID, s SessionID)
}

// DetailOverRate is the detail of responses with OverRate set.
const DetailOverRate = "the customer is above its rate"

// Refuse returns a response that rejects the statement. The code must be one that means that nothing ran.
func Refuse(code statement.Code, detail string, after time.Duration) Response {
	return Response{Answer: statement.Answer{Code: code, Detail: detail}, RetryAfter: after}
}
