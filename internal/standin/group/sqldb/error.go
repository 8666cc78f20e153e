package sqldb

import (
	"strings"

	"github.com/go-faster/errors"
	"modernc.org/sqlite"
	sqlite3 "modernc.org/sqlite/lib"
)

// State returns the SQLSTATE that PostgreSQL would give for an error of SQLite.
func State(err error) string {
	var e *sqlite.Error
	if !errors.As(err, &e) {
		return "XX000"
	}
	switch e.Code() {
	case sqlite3.SQLITE_CONSTRAINT_UNIQUE, sqlite3.SQLITE_CONSTRAINT_PRIMARYKEY, sqlite3.SQLITE_CONSTRAINT_ROWID:
		return "23505"
	case sqlite3.SQLITE_CONSTRAINT_NOTNULL:
		return "23502"
	case sqlite3.SQLITE_CONSTRAINT_FOREIGNKEY:
		return "23503"
	case sqlite3.SQLITE_CONSTRAINT_CHECK:
		return "23514"
	case sqlite3.SQLITE_MISMATCH:
		return "22P02"
	}
	return stateOfMessage(e.Error())
}

// messageStates maps parts of the messages that share SQLite's general error code.
var messageStates = []struct{ part, state string }{
	{"syntax error", "42601"},
	{"incomplete input", "42601"},
	{"no such table", "42P01"},
	{"no such column", "42703"},
	{"has no column named", "42703"},
	{"no such function", "42883"},
	{"already exists", "42P07"},
	{"no such savepoint", "3B001"},
	{"ambiguous column", "42702"},
}

func stateOfMessage(message string) string {
	for _, m := range messageStates {
		if strings.Contains(message, m.part) {
			return m.state
		}
	}
	return "XX000"
}
