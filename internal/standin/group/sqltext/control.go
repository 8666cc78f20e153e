package sqltext

import (
	"strings"

	"github.com/go-faster/errors"
)

// word returns the lower-case text of the token at index i, or an empty string.
func (s *Statement) word(i int) string {
	if i >= len(s.tokens) {
		return ""
	}
	return strings.ToLower(s.tokens[i].Text)
}

// identifier returns the name at index i, or an empty string.
func (s *Statement) identifier(i int) string {
	if i >= len(s.tokens) {
		return ""
	}
	return s.tokens[i].name()
}

func (s *Statement) classifyTransaction(first string) error {
	switch first {
	case "begin", "start":
		s.Class, s.Tag, s.Mode = Begin, "BEGIN", transactionMode(s.tokens)
		if first == "start" {
			s.Tag = "START TRANSACTION"
		}
		return nil
	case "commit", "end":
		s.Class, s.Tag = Commit, "COMMIT"
		return nil
	case "savepoint":
		s.Class, s.Tag = Savepoint, "SAVEPOINT"
		return s.savepointName(1)
	case "release":
		s.Class, s.Tag = Release, "RELEASE"
		return s.savepointName(1)
	default:
		return s.classifyRollback()
	}
}

func (s *Statement) classifyRollback() error {
	s.Class, s.Tag = Rollback, "ROLLBACK"
	for i := range s.tokens {
		if s.word(i) == "to" {
			s.Class = RollbackTo
			return s.savepointName(i + 1)
		}
		if s.word(i) == "prepared" {
			return &UnsupportedError{What: "two-phase commit"}
		}
	}
	return nil
}

// savepointName reads the name at index i, where the word SAVEPOINT may come first.
func (s *Statement) savepointName(i int) error {
	if s.word(i) == "savepoint" && i+1 < len(s.tokens) {
		i++
	}
	s.Name = s.identifier(i)
	if s.Name == "" {
		return errors.New("savepoint name is missing")
	}
	quoted := `"` + strings.ReplaceAll(s.Name, `"`, `""`) + `"`
	switch s.Class {
	case Savepoint:
		s.SQLite = "SAVEPOINT " + quoted
	case Release:
		s.SQLite = "RELEASE " + quoted
	default:
		s.SQLite = "ROLLBACK TO " + quoted
	}
	return nil
}

func transactionMode(tokens []Token) TransactionMode {
	var m TransactionMode
	for i, t := range tokens {
		rest := tokens[i+1:]
		if t.Is("read") && len(rest) > 0 && rest[0].Is("only") {
			m.ReadOnly = true
		}
		if t.Is("level") && len(rest) > 0 {
			m.Isolation = strings.ToLower(rest[0].Text)
			if len(rest) > 1 && (rest[0].Is("read") || rest[0].Is("repeatable")) {
				m.Isolation += " " + strings.ToLower(rest[1].Text)
			}
		}
	}
	return m
}

func (s *Statement) classifySession(first string) error {
	switch first {
	case "set":
		return s.classifySet()
	case "reset":
		s.Class, s.Tag = Reset, "RESET"
		s.Name = settingName(s.tokens[1:])
		if s.Name == "all" {
			s.Name = ""
		}
	case "show":
		s.Class, s.Tag, s.Rows = Show, "SHOW", true
		s.Name = settingName(s.tokens[1:])
	case "discard":
		if s.word(1) != "all" {
			return &UnsupportedError{What: "DISCARD " + strings.ToUpper(s.word(1))}
		}
		s.Class, s.Tag = DiscardAll, "DISCARD ALL"
	case "deallocate":
		s.Class, s.Tag = Deallocate, "DEALLOCATE"
		s.Name = s.identifier(len(s.tokens) - 1)
		if s.Name == "all" {
			s.Name, s.Tag = "", "DEALLOCATE ALL"
		}
	case "listen":
		s.Class, s.Tag, s.Name = Listen, "LISTEN", s.identifier(1)
	default:
		s.Class, s.Tag, s.Name = Unlisten, "UNLISTEN", s.identifier(1)
	}
	return nil
}

// settingName joins the parts of a parameter name such as celerystep.customer.
func settingName(tokens []Token) string {
	var b strings.Builder
	for _, t := range tokens {
		if t.Is("=") || t.Is("to") && b.Len() > 0 {
			break
		}
		b.WriteString(strings.ToLower(strings.Trim(t.Text, `"`)))
	}
	if b.String() == "timezone" || b.String() == "transactionisolationlevel" {
		return map[string]string{
			"timezone": "timezone", "transactionisolationlevel": "transaction_isolation",
		}[b.String()]
	}
	return b.String()
}

func (s *Statement) classifySet() error {
	s.Class, s.Tag = Set, "SET"
	t := s.tokens[1:]
	if len(t) > 0 && (t[0].Is("session") || t[0].Is("local")) {
		s.Local = t[0].Is("local")
		t = t[1:]
	}
	if len(t) > 0 && (t[0].Is("transaction") || t[0].Is("characteristics")) {
		s.Class, s.Mode = SetTransaction, transactionMode(t)
		if t[0].Is("characteristics") {
			return &UnsupportedError{What: "SET SESSION CHARACTERISTICS"}
		}
		return nil
	}
	if len(t) > 2 && t[0].Is("time") && t[1].Is("zone") {
		s.Name = "timezone"
		return s.settingValue(t[2:])
	}
	i := indexTop(t, "=", "to")
	if i < 1 {
		return errors.New("syntax error in SET")
	}
	s.Name = settingName(t[:i])
	return s.settingValue(t[i+1:])
}

func (s *Statement) settingValue(t []Token) error {
	if len(t) == 0 {
		return errors.New("syntax error in SET: value is missing")
	}
	if t[0].Is("default") {
		s.Default = true
		return nil
	}
	var b strings.Builder
	for i, x := range t {
		if x.Is(",") {
			b.WriteString(", ")
			continue
		}
		if i > 0 && !t[i-1].Is(",") && !t[i-1].Is("-") {
			return errors.Errorf("syntax error in SET at or near %q", x.Text)
		}
		b.WriteString(x.value())
	}
	s.Value = b.String()
	return nil
}
