// Package classify decides from the text of SQL statements whether they may run on a replica, whether they open or end
// a transaction block, and which of them the proxy answers or refuses itself. Whatever is not known to be a read is a write.
package classify

import "github.com/celerystep/celerystep/internal/request"

// SQLSTATE codes of refusals.
const (
	codeFeatureNotSupported = "0A000"
	codeTooComplex          = "54001"
)

// Statement describes the text of one Query or Parse message. It is shared by all sessions and must not be changed.
type Statement struct {
	// Kind is KindRead only when every statement of the text is known to be a read, or when the text opens a block that
	// the caller declared read only.
	Kind request.Kind
	// Count is the number of statements, which is the number of admission tokens of a Query message.
	Count int
	// Begins is true when a statement opens a transaction block; Ends when one may end it.
	Begins bool
	Ends   bool
	// Rollback is true when the last statement that ends the block is a ROLLBACK of the whole block.
	Rollback bool
	// Savepoint is true when a statement sets, releases or returns to a savepoint.
	Savepoint bool
	// Refusal is set when the proxy cannot run the text.
	Refusal *Refusal
	// Local is set when the text is one statement that the session answers without an upstream.
	Local *Local
	// Unparsed is true when the grammar did not accept the text, so only its first word was looked at.
	Unparsed bool
}

// Refusal says why a text is not run, as an SQLSTATE code and a message for the caller.
type Refusal struct {
	Code    string
	Message string
}

// LocalOp selects what the session does with a statement that concerns only itself.
type LocalOp uint8

// Operations on the session.
const (
	// LocalSet applies Settings in order.
	LocalSet LocalOp = iota
	// LocalReset restores the default of the parameter Name.
	LocalReset
	// LocalResetAll restores all defaults.
	LocalResetAll
	// LocalShow reports the parameter Name. A parameter that the session does not know goes to an upstream.
	LocalShow
	// LocalDiscardAll resets the whole session.
	LocalDiscardAll
	// LocalDiscard is DISCARD of plans, sequences or temporary tables, of which the session has none.
	LocalDiscard
	// LocalDeallocate drops the prepared statement Name.
	LocalDeallocate
	// LocalDeallocateAll drops all prepared statements.
	LocalDeallocateAll
	// LocalUnlisten does nothing because LISTEN is refused.
	LocalUnlisten
)

// Local is a statement on the session itself.
type Local struct {
	Op       LocalOp
	Name     string
	Settings []Setting
	// Tag is the command tag of the answer.
	Tag string
}

// Setting is one assignment of SET, with the name in lower case. Values has one entry for each list element. Default
// is true for SET ... TO DEFAULT.
type Setting struct {
	Name    string
	Values  []string
	Default bool
}

var (
	// emptyText is a text without any statement.
	emptyText = &Statement{Kind: request.KindRead}
	// plainWrite is one data-modifying statement found without the grammar.
	plainWrite = &Statement{Kind: request.KindWrite, Count: 1}
	// tooComplex refuses a text that the grammar must see and that is too large or too deeply nested for it.
	tooComplex = &Statement{
		Kind:  request.KindWrite,
		Count: 1,
		Refusal: &Refusal{
			Code:    codeTooComplex,
			Message: "statement is too long or too deeply nested to be classified; split it",
		},
	}
)

// refuse returns a statement that is refused because it needs a session of its own on an upstream connection.
func refuse(message string) *Refusal {
	return &Refusal{Code: codeFeatureNotSupported, Message: message}
}
