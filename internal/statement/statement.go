// Package statement defines the statements of a caller's session and their answers without regard to a wire protocol.
// The codecs of the protocols translate to and from these types; the text of a statement stays opaque.
package statement

import "github.com/celerystep/celerystep/internal/position"

// Kind says what a statement does.
type Kind uint8

// Kinds of statement.
const (
	// KindInvalid is the zero value: a text that no codec could read.
	KindInvalid Kind = iota
	KindBegin
	// KindBeginRead opens a transaction that only reads.
	KindBeginRead
	KindCommit
	KindRollback
	KindRead
	KindWrite
	KindSet
	KindPrepare
	KindExecute
	KindDeallocate
	// KindReset drops the session values and prepared statements of a member connection. Callers cannot send it.
	KindReset
)

// String returns the name used in logs.
func (k Kind) String() string {
	names := [...]string{"invalid", "begin", "begin_read", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate", "reset"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Prepared is what a prepared statement runs.
type Prepared struct {
	Writes bool
	// Shape is the opaque definition of the statement.
	Definition string
}

// Statement is one statement of a session.
type Statement struct {
	// ID identifies the statement in answers and logs; it is the caller's.
	ID   string
	Kind Kind
	// Text is the caller's text of a read, write or commit, and the arguments of an execute.
	Text string
	// Name is the session value of a set, or the prepared statement's name.
	Name string
	// Value is the new value of a set.
	Value string
	// Prepared is the definition given by a prepare, and the one that an execute runs.
	Prepared Prepared
}

// Writes reports whether the statement may change data.
func (s Statement) Writes() bool {
	return s.Kind == KindWrite || s.Kind == KindExecute && s.Prepared.Writes
}

// TxState is the transaction state of a session.
type TxState uint8

// Transaction states.
const (
	// TxIdle is outside a transaction.
	TxIdle TxState = iota
	TxOpen
	// TxFailed is inside a transaction that can only be rolled back.
	TxFailed
)

// Code classifies a refusal or a failure.
type Code uint8

// Codes of an answer.
const (
	// CodeOK is the zero value: the statement succeeded.
	CodeOK Code = iota
	// CodeBusy: nothing ran, because there was no room for the statement.
	CodeBusy
	// CodeAborted: the transaction was rolled back.
	CodeAborted
	// CodeLagging: nothing ran, because the member's log lacks the required position.
	CodeLagging
	// CodeReadOnly: nothing ran, because the member does not lead.
	CodeReadOnly
	// CodeWrongMember: nothing ran, because the member is not the one that was addressed.
	CodeWrongMember
	// CodeConnectionLimit: nothing ran, because the member has no connection left.
	CodeConnectionLimit
	// CodeUnknownStatement: nothing ran, because no statement is prepared under the name.
	CodeUnknownStatement
	// CodeFailed: the statement ran and failed.
	CodeFailed
	// CodeTimeout: the statement may have run and took too long.
	CodeTimeout
	// CodeInDoubt: the statement may have run; its answer was lost.
	CodeInDoubt
	// CodeUnauthenticated: the key is not known.
	CodeUnauthenticated
	// CodeUnknownDatabase: no route has the database's name.
	CodeUnknownDatabase
	// CodeMalformed: the statement cannot be read, or not in this state of the session.
	CodeMalformed
)

// String returns the name used in logs and metrics.
func (c Code) String() string {
	names := [...]string{
		"ok", "busy", "aborted", "lagging", "read_only", "wrong_member", "connection_limit", "unknown_statement",
		"failed", "timeout", "in_doubt", "unauthenticated", "unknown_database", "malformed",
	}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// NotRun reports whether the code says that the statement did not run.
func (c Code) NotRun() bool {
	switch c {
	case CodeBusy, CodeLagging, CodeReadOnly, CodeWrongMember, CodeConnectionLimit, CodeUnknownStatement:
		return true
	default:
		return false
	}
}

// Answer is what a member, or celerystep itself, says to a statement.
type Answer struct {
	Rows []string
	// Receipt proves that a member ran the statement; it is passed on unchanged.
	Receipt string
	Code    Code
	// Detail explains a Code to a human.
	Detail string
	State  TxState
	// Position is the member's log position after the statement; zero when not reported.
	Position position.Position
}
