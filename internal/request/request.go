// Package request defines the typed messages between the entry instance of a caller and the home instance of a group.
package request

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// SessionID identifies a caller's session across the fleet.
type SessionID string

// TraceID identifies one request in errors, logs and the audit trail.
type TraceID string

// Kind says what a request may do to the database.
type Kind uint8

// Kinds of request.
const (
	// KindWrite goes to the primary. It is the zero value because what is not known to be a read is a write.
	KindWrite Kind = iota
	// KindRead may be served by a replica.
	KindRead
)

// Prepared is a protocol-level prepared statement kept by the session.
type Prepared struct {
	Name      string
	Query     string
	ParamOIDs []uint32
}

// Request is one exchange of a session: a simple query, or extended-protocol messages up to Sync.
type Request struct {
	Session       SessionID
	Trace         TraceID
	Customer      string
	Key           string
	Route         string
	Group         upstream.GroupID
	ConfigVersion uint64
	Kind          Kind
	// Idempotent is the caller's declaration that the statement may run more than once.
	Idempotent bool
	// Begins is true when the messages may open a transaction block.
	Begins bool
	// InTransaction is true when the session is in a transaction block that an earlier request opened. A home that
	// does not hold that transaction refuses the request instead of running it by itself.
	InTransaction bool
	// Floor is the position that a read must see; HasFloor is false until the session knows one.
	Floor    position.Position
	HasFloor bool
	// FloorFromToken is true when Floor came from a caller's token.
	FloorFromToken bool
	// MaxAge is the data age that a read accepts; 0 means no limit other than the floor.
	MaxAge time.Duration
	// Timeout is the time left for queueing and execution.
	Timeout time.Duration
	// Messages holds the encoded frontend messages, ending with Query or Sync.
	Messages []byte
	// Prepared lists the statements that Messages refer to.
	Prepared []Prepared
	// Parameters holds session parameters to set on the connection before the statement.
	Parameters map[string]string
}

// Outcome says what became of a request.
type Outcome uint8

// Outcomes of a request.
const (
	// OutcomeUnknown means that the request may have run; it is the zero value because it is the safe assumption.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the whole answer was delivered, an SQL error included.
	OutcomeDone
	// OutcomeNotRun means that no byte of the statement can have reached an upstream.
	OutcomeNotRun
)

// String returns the name used in logs and audit records.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// Result ends a request.
type Result struct {
	Outcome Outcome
	// TxStatus is the transaction status byte of ReadyForQuery: 'I', 'T' or 'E'.
	TxStatus byte
	// Floor is the session's floor after the request; HasFloor is false when it is not known.
	Floor    position.Position
	HasFloor bool
	// Member served the request; Replica tells whether as a replica.
	Member  upstream.MemberID
	Replica bool
	// Code, Message, Step and Peer describe a refusal or an unknown outcome.
	Code    string
	Message string
	Step    string
	Peer    string
	// Home is set with OutcomeNotRun when the receiver is not the group's home and knows which instance is.
	Home instance.ID
}

// Answer receives the encoded backend messages of a request in order, without the final ReadyForQuery, which the
// entry instance sends itself after the result. The slice is valid only during the call.
type Answer interface {
	Write(p []byte) (int, error)
}

// Runner executes requests on a group.
type Runner interface {
	// Run executes the request and streams its answer. A session has at most one request at a time.
	Run(ctx context.Context, r *Request, a Answer) Result
	// End releases what the session holds and rolls back its open transaction.
	End(ctx context.Context, g upstream.GroupID, s SessionID)
	// Cancel asks for the cancellation of the session's running request.
	Cancel(ctx context.Context, g upstream.GroupID, s SessionID)
}
