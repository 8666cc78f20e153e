package sqltext

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Class says how the server handles a statement.
type Class uint8

// Classes of statement.
const (
	// Read runs on committed state.
	Read Class = iota + 1
	// Write changes data or schema, or locks rows; it runs on the primary only.
	Write
	// Begin, Commit, Rollback, Savepoint, Release and RollbackTo control transactions.
	Begin
	Commit
	Rollback
	Savepoint
	Release
	RollbackTo
	// SetTransaction changes the mode of the running transaction.
	SetTransaction
	// Set, Reset and Show handle session parameters.
	Set
	Reset
	Show
	// DiscardAll resets the session; Deallocate drops prepared statements.
	DiscardAll
	Deallocate
	// Listen and Unlisten control the status stream.
	Listen
	Unlisten
	// Call runs a function that the server implements itself.
	Call
)

// TransactionMode is what BEGIN asks for.
type TransactionMode struct {
	ReadOnly bool
	// Isolation is the isolation level in lower case, or empty.
	Isolation string
}

// Statement is a classified statement. It is immutable.
type Statement struct {
	Class Class
	// Text is the statement as it came.
	Text string
	// SQLite is the translated text of a Read, a Write or a savepoint command.
	SQLite string
	// Tag is the first part of the command tag, without the row count.
	Tag string
	// Counts is true when the command tag carries a row count.
	Counts bool
	// Rows is true when the statement returns rows.
	Rows bool
	// Schema is true when the statement changes the schema.
	Schema bool
	// Locks is true for a Write that locks rows without changing them.
	Locks bool
	// Params is the highest parameter number.
	Params int
	// Mode is set for Begin and SetTransaction.
	Mode TransactionMode
	// Name and Value are the parameter of Set, Reset and Show, the channel of Listen, or the name of a savepoint or
	// prepared statement. An empty Name means all.
	Name, Value string
	// Default is true for SET name TO DEFAULT, Local for SET LOCAL.
	Default, Local bool
	// Args are the arguments of a Call, whose function is Name.
	Args []Argument

	tokens []Token
	// body holds the tokens that are translated.
	body []Token
}

// Argument is an argument of a Call: the parameter of the given number, or a literal when Param is 0.
type Argument struct {
	Param   int
	Literal string
}

// UnsupportedError reports a statement that the stand-in does not support.
type UnsupportedError struct{ What string }

// Error describes what is not supported.
func (e *UnsupportedError) Error() string { return e.What + " is not supported" }

// calls lists the functions that the server implements itself.
var calls = map[string]bool{
	"group_status": true, "group_claim": true, "group_fence": true, "group_promote": true, "group_follow": true,
	"group_fault": true, "pg_sleep": true, "pg_terminate_backend": true,
}

// Parse classifies one statement, which must not be empty.
func Parse(sql string) (*Statement, error) {
	tokens, err := Tokens(sql)
	if err != nil {
		return nil, err
	}
	if len(tokens) == 0 {
		return nil, errors.New("empty statement")
	}
	s := &Statement{Text: sql, tokens: tokens}
	for _, t := range tokens {
		if t.Kind == Param {
			n, err := strconv.Atoi(t.Text[1:])
			if err != nil || n == 0 || n > maxParams {
				return nil, errors.Errorf("invalid parameter %s", t.Text)
			}
			s.Params = max(s.Params, n)
		}
	}
	return s, s.classify()
}

// maxParams is the limit of the protocol.
const maxParams = 65535

func (s *Statement) classify() error {
	first := strings.ToLower(s.tokens[0].Text)
	if s.tokens[0].Kind != Word {
		return errors.Errorf("syntax error at or near %q", s.tokens[0].Text)
	}
	switch first {
	case "select", "values", "with":
		return s.classifyQuery(first)
	case "insert", "update", "delete":
		return s.classifyChange(first)
	case "create", "drop", "alter":
		return s.classifySchema()
	case "set", "reset", "show", "discard", "deallocate", "listen", "unlisten":
		return s.classifySession(first)
	case "begin", "start", "commit", "end", "rollback", "abort", "savepoint", "release":
		return s.classifyTransaction(first)
	default:
		return &UnsupportedError{What: strings.ToUpper(first)}
	}
}

func (s *Statement) classifyQuery(first string) error {
	if first == "select" && s.classifyCall() {
		return nil
	}
	if i := indexTop(s.tokens, "insert", "update", "delete"); first == "with" && i >= 0 {
		return s.classifyChange(strings.ToLower(s.tokens[i].Text))
	}
	s.Class, s.Tag, s.Counts, s.Rows = Read, "SELECT", true, true
	tokens := s.tokens
	if i := lockingClause(tokens); i >= 0 {
		s.Class, s.Locks = Write, true
		tokens = tokens[:i]
	}
	return s.translate(tokens)
}

// lockingClause returns the index of FOR UPDATE or a similar clause, or -1.
func lockingClause(tokens []Token) int {
	depth := 0
	for i, t := range tokens {
		if t.Is("(") {
			depth++
		}
		if t.Is(")") {
			depth--
		}
		if depth != 0 || !t.Is("for") || i+1 == len(tokens) {
			continue
		}
		next := tokens[i+1]
		if next.Is("update") || next.Is("share") || next.Is("no") || next.Is("key") {
			return i
		}
	}
	return -1
}

func (s *Statement) classifyChange(verb string) error {
	s.Class, s.Counts = Write, true
	s.Rows = indexTop(s.tokens, "returning") >= 0
	s.Tag = strings.ToUpper(verb)
	if verb == "insert" {
		s.Tag = "INSERT 0"
	}
	if err := s.checkDeterministic(); err != nil {
		return err
	}
	return s.translate(s.tokens)
}

// checkDeterministic refuses functions whose value differs between members, because members replay statements.
func (s *Statement) checkDeterministic() error {
	for i, t := range s.tokens {
		if t.Kind != Word {
			continue
		}
		w := strings.ToLower(t.Text)
		if varyingWords[w] {
			return &UnsupportedError{What: "replicating " + w}
		}
		if varyingFunctions[w] && i+1 < len(s.tokens) && s.tokens[i+1].Is("(") {
			return &UnsupportedError{What: "replicating " + w + "()"}
		}
	}
	return nil
}

var varyingWords = map[string]bool{"current_timestamp": true, "current_date": true, "current_time": true}

var varyingFunctions = map[string]bool{
	"random": true, "randomblob": true, "date": true, "time": true, "datetime": true, "julianday": true,
	"unixepoch": true, "strftime": true, "last_insert_rowid": true, "changes": true, "total_changes": true,
}

func (s *Statement) classifySchema() error {
	s.Class, s.Schema = Write, true
	s.Tag = strings.ToUpper(s.tokens[0].Text)
	for _, t := range s.tokens[1:] {
		switch {
		case t.Is("temp"), t.Is("temporary"):
			return &UnsupportedError{What: "a temporary object"}
		case t.Is("unique"):
			continue
		}
		s.Tag += " " + strings.ToUpper(t.Text)
		break
	}
	if err := s.checkDeterministic(); err != nil {
		return err
	}
	return s.translate(s.tokens)
}

// classifyCall recognises SELECT f(arguments) for a function of the server.
func (s *Statement) classifyCall() bool {
	t := s.tokens
	if len(t) < 4 || t[1].Kind != Word || !calls[t[1].name()] || !t[2].Is("(") {
		return false
	}
	end := closing(t, 2)
	if end < 0 {
		return false
	}
	if rest := t[end+1:]; len(rest) > 0 && !rest[0].Is("as") {
		return false
	}
	s.Class, s.Name, s.Tag, s.Counts, s.Rows = Call, t[1].name(), "SELECT", true, true
	if end == 3 {
		return true
	}
	for _, arg := range splitTop(t[3:end], ",") {
		s.Args = append(s.Args, argument(arg))
	}
	return true
}

func argument(tokens []Token) Argument {
	if len(tokens) == 0 {
		return Argument{}
	}
	if tokens[0].Kind == Param {
		n, _ := strconv.Atoi(tokens[0].Text[1:])
		return Argument{Param: n}
	}
	if tokens[0].Is("-") && len(tokens) > 1 {
		return Argument{Literal: "-" + tokens[1].value()}
	}
	return Argument{Literal: tokens[0].value()}
}
