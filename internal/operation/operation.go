// Package operation defines the typed messages between the instance that serves a caller's session and the instance that
// owns the session's database group.
package operation

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

// SessionID identifies a session in the fleet.
type SessionID struct {
	// Instance is the process that serves the session.
	Instance instance.ID
	Number   uint64
}

// Request is one statement that a member of a group has to run.
type Request struct {
	Session SessionID
	Group   upstream.GroupID
	// Database is the name under which the caller connected; it identifies the route.
	Database string
	Key      string
	// CatalogRevision is the configuration that the sender used, Customer the holder of the key in it.
	CatalogRevision uint64
	Customer        string
	Statement       statement.Statement
	// Begin is the kind of transaction that the statement opens, or statement.KindInvalid.
	Begin statement.Kind
	// InTransaction is true when an earlier request has opened the session's transaction.
	InTransaction bool
	// Values are the session values that must be in force.
	Values map[string]string
	// Floor is the position of the session's last own commit; zero when there is none.
	Floor position.Position
	// Elapsed is the time since the caller's statement arrived.
	Elapsed time.Duration
}

// Response is the answer to a Request.
type Response struct {
	statement.Answer
	// RetryAfter tells a refused caller when to come back; 0 when nothing is known.
	RetryAfter time.Duration
	// OverRate is true when the statement was refused because its customer had no tokens; nothing ran.
	OverRate bool
	// NotOwner is true when the receiver does not own the group; nothing ran.
	NotOwner bool
	// CatalogRevision is the configuration that the owner used.
	CatalogRevision uint64
}

// Runner runs statements on the members of a group.
type Runner interface {
	// Run returns when the statement has ended, was refused, or ctx ended.
	Run(ctx context.Context, r *Request) Response
	// End rolls back the session's open transaction, if any.
	End(ctx context.Context, g upstream.GroupID, s SessionID)
}

// DetailOverRate explains a refusal with Response.OverRate.
const DetailOverRate = "the customer is above its rate"

// Refuse returns a response that refuses the statement with a code that says that nothing ran.
func Refuse(code statement.Code, detail string, after time.Duration) Response {
	return Response{Answer: statement.Answer{Code: code, Detail: detail}, RetryAfter: after}
}
