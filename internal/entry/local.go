package entry

import (
	"maps"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/classify"
	"github.com/celerystep/celerystep/internal/pgwire"
)

// textOID is the type of the column of SHOW.
const textOID = 25

// isLocal reports whether the session answers the statement itself.
func (s *session) isLocal(info *classify.Statement) bool {
	if s.endsLost(info) {
		return true
	}
	if info.Local == nil {
		return false
	}
	if info.Local.Op != classify.LocalShow {
		return true
	}
	_, known := s.show(info.Local.Name)
	return known || strings.HasPrefix(info.Local.Name, "celerystep.")
}

// show returns the value of a parameter that the session knows.
func (s *session) show(name string) (string, bool) {
	switch name {
	case parameterToken:
		return s.token(), true
	case parameterMaxAge, parameterIdempotent:
		if value, ok := s.variables.get(name); ok {
			return value, true
		}
		return map[string]string{parameterMaxAge: "0", parameterIdempotent: "off"}[name], true
	default:
		return s.variables.get(name)
	}
}

// token returns the token for the session's floor, or nothing when there was no acknowledged write.
func (s *session) token() string {
	f := s.floors.find(s.currentGroup())
	if f == nil || !f.acknowledged || s.server.deps.Tokens == nil {
		return ""
	}
	return s.server.deps.Tokens.Encode(s.identity.customer, f.group, f.position)
}

// describeLocal sends the row description of a local statement that returns a row.
func (s *session) describeLocal(info *classify.Statement) {
	if info.Local == nil || info.Local.Op != classify.LocalShow {
		return
	}
	b := s.buffer()
	*b = pgwire.Append(*b, &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name:         []byte(info.Local.Name),
		DataTypeOID:  textOID,
		DataTypeSize: -1,
		TypeModifier: -1,
	}}})
}

// perform runs a local statement and answers it without a row description. It returns false after an error.
func (s *session) perform(info *classify.Statement) bool {
	tag, err := s.local(info)
	if err != nil {
		s.fail(err)
		return false
	}
	b := s.buffer()
	*b = pgwire.AppendComplete(*b, tag)
	return true
}

func (s *session) local(info *classify.Statement) (tag string, err *pgwire.Error) {
	if s.endsLost(info) {
		s.endLost()
		return "ROLLBACK", nil
	}
	l := info.Local
	switch l.Op {
	case classify.LocalSet:
		err = s.set(l.Settings)
	case classify.LocalReset:
		err = s.reset(l.Name)
	case classify.LocalResetAll:
		err = s.assign(s.initial)
	case classify.LocalShow:
		err = s.showRow(l.Name)
	case classify.LocalDiscardAll:
		err = s.discardAll()
	case classify.LocalDeallocate:
		err = s.deallocate(l.Name)
	case classify.LocalDeallocateAll:
		s.statements = nil
	}
	return l.Tag, err
}

// endsLost reports whether the statement ends a transaction that no upstream holds any more, and does nothing else.
func (s *session) endsLost(info *classify.Statement) bool {
	return s.lost && info.Ends && !info.Begins && info.Count == 1
}

// endLost ends a transaction that no upstream holds any more.
func (s *session) endLost() {
	s.tx = txIdle
	s.lost = false
	s.savepoint = false
	s.portals = nil
	s.settleVariables(true)
}

func (s *session) set(settings []classify.Setting) *pgwire.Error {
	next := s.variables
	for i := range settings {
		if settings[i].Name == parameterToken {
			if !s.acceptToken(strings.Join(settings[i].Values, "")) {
				return &pgwire.Error{Code: pgwire.CodeInvalidValue, Message: "celerystep.token is not valid here"}
			}
			continue
		}
		var err *pgwire.Error
		if next, err = next.with(s.withInitial(&settings[i])); err != nil {
			return err
		}
	}
	return s.assign(next)
}

// withInitial replaces DEFAULT by the value of the start-up, if it had one.
func (s *session) withInitial(setting *classify.Setting) *classify.Setting {
	value, ok := s.initial.get(setting.Name)
	if !setting.Default || !ok {
		return setting
	}
	values := []string{value}
	if parameters[setting.Name].quoted {
		values = splitList(value)
	}
	return &classify.Setting{Name: setting.Name, Values: values}
}

func (s *session) reset(name string) *pgwire.Error {
	if name == parameterToken {
		return nil
	}
	return s.set([]classify.Setting{{Name: name, Default: true}})
}

// assign puts variables in force and reports the changes that callers follow. Inside a transaction the former ones are
// kept for a rollback.
func (s *session) assign(next *variables) *pgwire.Error {
	if s.savepoint && !maps.Equal(next.replayed, s.variables.replayed) {
		return &pgwire.Error{
			Code:    pgwire.CodeFeatureNotSupported,
			Message: "SET after SAVEPOINT is not supported over pooled connections; use SET LOCAL",
		}
	}
	if s.tx != txIdle && s.saved == nil {
		s.saved = s.variables
	}
	before := s.reported()
	s.variables = next
	b := s.buffer()
	for i, p := range s.reported() {
		if p != before[i] {
			*b = pgwire.AppendParameter(*b, p[0], p[1])
		}
	}
	return nil
}

func (s *session) showRow(name string) *pgwire.Error {
	value, ok := s.show(name)
	if !ok {
		return &pgwire.Error{Code: "42704", Message: "unrecognized configuration parameter \"" + name + "\""}
	}
	b := s.buffer()
	*b = pgwire.Append(*b, &pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	return nil
}

func (s *session) discardAll() *pgwire.Error {
	if s.tx != txIdle {
		return &pgwire.Error{
			Code:    pgwire.CodeActiveTransaction,
			Message: "DISCARD ALL cannot run inside a transaction block",
		}
	}
	s.statements = nil
	return s.assign(s.initial)
}

func (s *session) deallocate(name string) *pgwire.Error {
	if _, ok := s.statements[name]; !ok {
		return unknownStatement(name)
	}
	delete(s.statements, name)
	return nil
}

func unknownStatement(name string) *pgwire.Error {
	message := "prepared statement \"" + name + "\" does not exist"
	return &pgwire.Error{Code: pgwire.CodeInvalidStatement, Message: message}
}

// defaults are the reported parameters in a fixed order with the values of a session that has set none.
var defaults = [...][2]string{
	{"application_name", ""}, {"client_encoding", "UTF8"}, {"DateStyle", "ISO, MDY"}, {"IntervalStyle", "postgres"},
	{"TimeZone", "UTC"}, {"standard_conforming_strings", "on"},
}

// reported returns the names and values of the parameters that callers follow.
func (s *session) reported() [][2]string {
	all := slices.Clone(defaults[:])
	for i := range all {
		if value, ok := s.variables.get(strings.ToLower(all[i][0])); ok {
			all[i][1] = value
		}
	}
	return append(all,
		[2]string{"server_version", s.server.settings.ServerVersion}, [2]string{"server_encoding", "UTF8"},
		[2]string{"integer_datetimes", "on"}, [2]string{"is_superuser", "off"},
		[2]string{"session_authorization", s.identity.customer},
	)
}
