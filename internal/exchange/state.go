// Package exchange translates one exchange of a caller's session (a Query, or extended-protocol messages up to Sync) for
// a pooled connection, and the answer back. It rewrites the names of prepared statements, prepares those missing on the
// connection, applies session settings, removes the answers to added messages, and withholds the part of an answer that
// must wait for a commit's acknowledgement. It does no I/O.
package exchange

import (
	"regexp"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/mutation"
)

// CustomerSetting is the connection setting that names the current customer, for the upstream's logs.
const CustomerSetting = "celerystep.customer"

// Setting is a session setting.
type Setting struct {
	Name  string
	Value string
	// Reset is true when the setting is reset to its default; Value is then empty.
	Reset bool
}

// State is the tracked session state of one pooled connection.
type State struct {
	statements statements
	settings   map[string]string
	// dirty is true when the session state of the connection is unknown and must be discarded.
	dirty bool
}

// Dirty reports whether the connection needs DISCARD ALL before another session may use it.
func (s *State) Dirty() bool { return s.dirty }

// MarkDirty marks the session state of the connection as unknown.
func (s *State) MarkDirty() { s.dirty = true }

// Discarded records that DISCARD ALL succeeded.
func (s *State) Discarded() { *s = State{} }

// Changes returns the changes of settings that a session of the customer needs on the connection, ordered by name.
// Settings left by another session that are not wanted are reset to their defaults.
func (s *State) Changes(customer string, wanted map[string]string) []Setting {
	var changes []Setting
	skipTag := mutation.On(mutation.SkipCustomerTag) && s.settings[CustomerSetting] != ""
	if s.settings[CustomerSetting] != customer && !skipTag {
		changes = append(changes, Setting{Name: CustomerSetting, Value: customer})
	}
	if len(wanted) == 0 && len(s.settings) <= 1 {
		return changes
	}
	for name := range s.settings {
		if _, keep := wanted[name]; !keep && name != CustomerSetting {
			changes = append(changes, Setting{Name: name, Reset: true})
		}
	}
	for name, value := range wanted {
		if have, ok := s.settings[name]; (!ok || have != value) && name != CustomerSetting {
			changes = append(changes, Setting{Name: name, Value: value})
		}
	}
	slices.SortFunc(changes, func(a, b Setting) int { return strings.Compare(a.Name, b.Name) })
	return changes
}

// recordSetting records a change that succeeded.
func (s *State) recordSetting(c Setting) {
	if c.Reset {
		delete(s.settings, c.Name)
		return
	}
	if s.settings == nil {
		s.settings = make(map[string]string)
	}
	s.settings[c.Name] = c.Value
}

// statement returns the SQL text that makes the change.
func (c Setting) statement() (string, error) {
	if !validName(c.Name) {
		return "", errors.Errorf("setting %q: not a parameter name", c.Name)
	}
	if c.Reset {
		return "RESET " + c.Name, nil
	}
	if strings.ContainsRune(c.Value, 0) {
		return "", errors.Errorf("setting %q: value contains a zero byte", c.Name)
	}
	if c.Name == listSetting && identifierList.MatchString(c.Value) {
		return "SET " + c.Name + " TO " + c.Value, nil
	}
	return "SET " + c.Name + " = " + quote(c.Value), nil
}

// listSetting is the only session setting that holds a list of identifiers. Quoted as a string literal, the whole list
// would be treated as one identifier.
const listSetting = "search_path"

// identifierList matches comma-separated identifiers, each plain or in double quotes.
var identifierList = regexp.MustCompile(`^(?:[a-z_][a-z0-9_$]*|"(?:[^"\x00]|"")+")(?:, *(?:[a-z_][a-z0-9_$]*|"(?:[^"\x00]|"")+"))*$`)

// quote returns v as a string literal. It uses the escape form if v contains a backslash, so that the result does not
// depend on standard_conforming_strings.
func quote(v string) string {
	quoted := "'" + strings.ReplaceAll(v, "'", "''") + "'"
	if strings.ContainsRune(v, '\\') {
		return "E" + strings.ReplaceAll(quoted, `\`, `\\`)
	}
	return quoted
}

// validName reports whether name is a valid parameter name. Any other text could inject SQL into a SET.
func validName(name string) bool {
	if name == "" {
		return false
	}
	for i := range len(name) {
		c := name[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_'
		other := c >= '0' && c <= '9' || c == '.'
		if !letter && !(other && i > 0) {
			return false
		}
	}
	return true
}

// appendSetting appends the encoded query that makes the change.
func appendSetting(dst []byte, c Setting) ([]byte, error) {
	text, err := c.statement()
	if err != nil {
		return dst, err
	}
	return (&pgproto3.Query{String: text}).Encode(dst)
}
