// Package statement defines the statements of a caller's session and their answers, independently of the wire protocol. Codecs
// translate between a protocol and these types. The text of a statement is opaque.
package statement

import (
	"strings"

	"github.com/celerystep/celerystep/internal/position"
)

// Kind is the kind of a statement.
type Kind uint8

// Kinds of statement.
const (
	// KindInvalid is the zero value: a malformed statement.
	KindInvalid Kind = iota
	KindBegin
	// KindBeginRead opens a read-only transaction.
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

// String returns the name of the kind in logs.
func (k Kind) String() string {
	names := [...]string{"invalid", "begin", "begin_read", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate", "reset"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Prepared is the definition of a prepared statement.
type Prepared struct {
	Writes bool
	// Definition is the opaque text of the definition.
	Definition string
}

// Statement is one statement of a session.
type Statement struct {
	// ID identifies the statement in answers and logs. The caller chooses it.
	ID   string
	Kind Kind
	// Text is the caller's text of a read, write or commit, and the arguments of an execute.
	Text string
	// Name is the name of the session value of a set, or the name of the prepared statement.
	Name string
	// Value is the value to set.
	Value string
	// Prepared is the definition of a prepare, or the definition that an execute runs.
	Prepared Prepared
}

// Writes reports whether the statement may change data.
func (s Statement) Writes() bool {
	return s.Kind == KindWrite || s.Kind == KindExecute && s.Prepared.Writes
}

// IsOneLine reports whether no part of the statement contains a line break. Protocols that end messages at line breaks cannot
// carry others.
func (s Statement) IsOneLine() bool {
	for _, part := range []string{s.ID, s.Text, s.Name, s.Value, s.Prepared.Definition} {
		if strings.ContainsAny(part, "\r\n") {
			return false
		}
	}
	return true
}

// TxState is the transaction state of a session.
type TxState uint8

// Transaction states.
const (
	// TxIdle means that no transaction is open.
	TxIdle TxState = iota
	TxOpen
	// TxFailed is a failed transaction that can only be rolled back.
	TxFailed
)

// String returns the name of the state in logs.
func (s TxState) String() string {
	names := [...]string{"idle", "open", "failed"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Code is the result code of a statement.
type Code uint8

// Result codes.
const (
	// CodeOK is the zero value: the statement succeeded.
	CodeOK Code = iota
	// CodeBusy: nothing ran, because the proxy or the member was out of capacity or unavailable.
	CodeBusy
	// CodeAborted: the transaction was rolled back.
	CodeAborted
	// CodeLagging: nothing ran, because the member has not reached the required log position.
	CodeLagging
	// CodeReadOnly: nothing ran, because the member is not the primary.
	CodeReadOnly
	// CodeWrongMember: nothing ran, because the connection reached a different member than the addressed one.
	CodeWrongMember
	// CodeConnectionLimit: nothing ran, because the member has reached its connection limit.
	CodeConnectionLimit
	// CodeUnknownStatement: nothing ran, because no prepared statement has the name.
	CodeUnknownStatement
	// CodeFailed: the statement ran and failed.
	CodeFailed
	// CodeTimeout: the statement timed out and may have run.
	CodeTimeout
	// CodeInDoubt: the statement may have run, but its answer was lost.
	CodeInDoubt
	// CodeUnauthenticated: the key is unknown or withdrawn.
	CodeUnauthenticated
	// CodeUnknownDatabase: no route has the database's name.
	CodeUnknownDatabase
	// CodeMalformed: the statement is malformed or not allowed in the current state of the session.
	CodeMalformed
)

// KindFromWire returns the kind that a peer sent as a number, KindInvalid if it is none.
func KindFromWire(n uint32) Kind {
	if n > uint32(KindReset) {
		return KindInvalid
	}
	return Kind(n)
}

// TxStateFromWire returns the transaction state that a peer sent as a number, TxFailed if it is none.
func TxStateFromWire(n uint32) TxState {
	if n > uint32(TxFailed) {
		return TxFailed
	}
	return TxState(n)
}

// CodeFromWire returns the code that a peer sent as a number. A number that is none means that the statement may have run.
func CodeFromWire(n uint32) Code {
	if n > uint32(CodeMalformed) {
		return CodeInDoubt
	}
	return Code(n)
}

// String returns the name of the code in logs and metrics.
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

// NotRun reports whether the code guarantees that the statement did not run on a member, so that it is safe to retry.
func (c Code) NotRun() bool {
	switch c {
	case CodeBusy, CodeLagging, CodeReadOnly, CodeWrongMember, CodeConnectionLimit, CodeUnknownStatement:
		return true
	default:
		return false
	}
}

// Answer is the answer of a member, or of celerystep itself, to a statement.
type Answer struct {
	Rows []string
	// Receipt proves that a member ran the statement. It is passed to the caller unchanged.
	Receipt string
	Code    Code
	// Detail is a human-readable explanation of Code.
	Detail string
	State  TxState
	// Position is the member's log position after the statement; zero when not reported.
	Position position.Position
}
