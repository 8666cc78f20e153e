// Package check judges the histories of a run: what callers sent and received, and what the database groups logged.
// It is pure. Each checker reports the violations of one guarantee of the design page (section 3), and says so when it
// could not decide.
package check

import (
	"strconv"
	"strings"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// StatementID identifies one statement that a caller sent. A repeated attempt gets a new one.
type StatementID uint64

// markerPrefix starts the text form of a StatementID inside parameters and statement texts.
const markerPrefix = "rq:"

// markerDigits is the number of hexadecimal digits in the text form of a StatementID.
const markerDigits = 16

// String returns the marker that the load generator puts into the statement's parameters.
func (s StatementID) String() string {
	digits := strconv.FormatUint(uint64(s), 16)
	return markerPrefix + strings.Repeat("0", markerDigits-len(digits)) + digits
}

// ParseMarker finds the first marker in the text.
func ParseMarker(text string) (StatementID, bool) {
	for {
		i := strings.Index(text, markerPrefix)
		if i < 0 {
			return 0, false
		}
		text = text[i+len(markerPrefix):]
		if len(text) < markerDigits {
			return 0, false
		}
		id, err := strconv.ParseUint(text[:markerDigits], 16, 64)
		if err == nil {
			return StatementID(id), true
		}
	}
}

// RequestID identifies one arrival of the load plan. A request has one statement or one transaction, and may be
// attempted more than once.
type RequestID uint64

// TransactionID identifies an explicit transaction of a caller; 0 means none.
type TransactionID uint64

// SessionID identifies a caller's logical session, which lives on over reconnects.
type SessionID uint64

// Kind says what a statement does.
type Kind uint8

// Kinds of statement.
const (
	// KindInsert adds a row whose id is the statement's marker.
	KindInsert Kind = iota + 1
	// KindUpdate adds one to the version of a row and stores the statement's marker in it.
	KindUpdate
	// KindRead returns one row.
	KindRead
	// KindScan returns a range of rows.
	KindScan
	KindBegin
	KindCommit
	KindRollback
	// KindConnect opens a connection.
	KindConnect
)

// IsWrite reports whether the statement changes rows.
func (k Kind) IsWrite() bool { return k == KindInsert || k == KindUpdate }

// IsRead reports whether the statement returns rows without changing them.
func (k Kind) IsRead() bool { return k == KindRead || k == KindScan }

// Outcome is what the caller knows about a statement.
type Outcome uint8

// Outcomes of a statement or a request.
const (
	// OutcomeUnknown means that the statement may have run: the answer said so, broke off or never came.
	OutcomeUnknown Outcome = iota
	// OutcomeOK means that the whole answer arrived without an error.
	OutcomeOK
	// OutcomeNotRun means that the answer says that the statement was not run.
	OutcomeNotRun
	// OutcomeFailed means that the database answered with an SQL error; the statement had no effect.
	OutcomeFailed
	// OutcomeNotSent means that no byte of the statement left the caller.
	OutcomeNotSent
)

// String returns the name used in reports.
func (o Outcome) String() string {
	switch o {
	case OutcomeOK:
		return "ok"
	case OutcomeNotRun:
		return "not_run"
	case OutcomeFailed:
		return "failed"
	case OutcomeNotSent:
		return "not_sent"
	default:
		return "unknown"
	}
}

// RowKey names a row of a group.
type RowKey struct {
	Table string
	ID    string
}

// Value is the state of a row as an answer or the final state shows it. Version counts the writes of the row; it is 0
// for a row that was never written or is absent.
type Value struct {
	Row     RowKey
	Version int64
	// Writer is the marker of the last write.
	Writer StatementID
}

// Operation is one statement (or connection attempt) of a caller, with its invocation and its result.
type Operation struct {
	Statement   StatementID
	Request     RequestID
	Session     SessionID
	Transaction TransactionID
	// Connection numbers the caller's connections over the whole run.
	Connection    uint64
	Customer      string
	Key           string
	Instance      instance.ID
	FailureDomain instance.FailureDomain
	Group         upstream.GroupID
	Kind          Kind
	// ReadOnly is true inside a transaction that was begun as READ ONLY.
	ReadOnly bool
	Row      RowKey
	// MaxAge is the data age that the read declared; 0 means none.
	MaxAge time.Duration
	// Invoke is taken just before the first byte is sent, Return after the whole answer; Return is zero when no answer
	// came.
	Invoke  time.Time
	Return  time.Time
	Outcome Outcome
	// Code is the SQLSTATE of an error answer.
	Code   string
	Values []Value
}

// Request is one arrival of the load plan with its final outcome.
type Request struct {
	ID       RequestID
	Session  SessionID
	Customer string
	// Key is the key of the last connection or connection attempt.
	Key   string
	Group upstream.GroupID
	// Class names the kind of work, such as "read" or "swap".
	Class string
	Write bool
	// Statements is the number of statements that count against the customer's rate.
	Statements int
	// Entitled is true when the request was within the customer's rate and burst at its intended arrival.
	Entitled bool
	// Intended is the planned arrival, Start the moment at which the session began it.
	Intended time.Time
	Start    time.Time
	Done     time.Time
	Outcome  Outcome
	Code     string
	// Attempts counts the tries that reached a connection, at least 1 unless nothing was sent.
	Attempts int
	// Idle is true when the session was idle at the intended arrival, so that Start measures the generator's lag.
	Idle bool
}

// Latency is the time from the intended arrival to the end.
func (r *Request) Latency() time.Duration { return r.Done.Sub(r.Intended) }

// Statement is one entry of a member's statement log. BEGIN, COMMIT and other control statements need not be logged.
type Statement struct {
	Group  upstream.GroupID
	Member upstream.MemberID
	// Role is the member's role when it ran the statement.
	Role upstream.Role
	// Connection numbers the connections of the member, Transaction its transactions; a statement outside a
	// transaction block is a transaction of its own. Numbers are not reused during a run.
	Connection  uint64
	Transaction uint64
	// Owner is the home instance that the connection was opened for, empty when none was stated.
	Owner instance.ID
	// Customer is the customer that the statement was tagged with, empty when it carried no tag.
	Customer string
	Text     string
	Params   []string
	// Start is the moment at which the member began the statement. End is zero when it did not finish or the log does
	// not tell.
	Start time.Time
	End   time.Time
	// Position is the commit position of the transaction, on at least one of its statements; zero when it wrote
	// nothing or did not commit.
	Position position.Position
	// Code is the SQLSTATE of a failed statement.
	Code string
}

// Marker returns the marker in the statement's parameters or text.
func (s *Statement) Marker() (StatementID, bool) {
	for _, p := range s.Params {
		if id, ok := ParseMarker(p); ok {
			return id, true
		}
	}
	return ParseMarker(s.Text)
}

// Final is the state of a group after the run.
type Final struct {
	Group upstream.GroupID
	// Primary is the member whose log and rows are given.
	Primary upstream.MemberID
	History position.History
	End     position.LSN
	Rows    []Value
}
