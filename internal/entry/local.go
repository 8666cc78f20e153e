package entry

import (
	"maps"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/classify"
	"github.com/celerystep/celerystep/internal/pgwire"
)

// textOID is the OID of the type text, which SHOW returns.
const textOID = 25

// isLocal reports whether the session handles the statement without an upstream.
func (s *session) isLocal(info *classify.Statement) bool {
	if s.endsLostTransaction(info) {
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
		return s.currentToken(), true
	case parameterMaxAge, parameterIdempotent:
		if value, ok := s.variables.get(name); ok {
			return value, true
		}
		return map[string]string{parameterMaxAge: "0", parameterIdempotent: "off"}[name], true
	default:
		return s.variables.get(name)
	}
}

// currentToken returns the token for the session's floor, or an empty string if there was no acknowledged write.
func (s *session) currentToken() string {
	f := s.floors.find(s.currentGroup())
	if f == nil || !f.acknowledged || s.server.deps.Tokens == nil {
		return ""
	}
	return s.server.deps.Tokens.Encode(s.identity.customer, f.group, f.position)
}

// describeLocal buffers the row description of a local statement if it returns a row.
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

// runLocalStatement runs a local statement and buffers its answer except for the row description. It returns false
// after an error.
func (s *session) runLocalStatement(info *classify.Statement) bool {
	tag, err := s.executeLocal(info)
	if err != nil {
		s.queueError(err)
		return false
	}
	b := s.buffer()
	*b = pgwire.AppendComplete(*b, tag)
	return true
}

func (s *session) executeLocal(info *classify.Statement) (tag string, err *pgwire.Error) {
	if s.endsLostTransaction(info) {
		s.endLostTransaction()
		return "ROLLBACK", nil
	}
	l := info.Local
	switch l.Op {
	case classify.LocalSet:
		err = s.applySettings(l.Settings)
	case classify.LocalReset:
		err = s.resetParameter(l.Name)
	case classify.LocalResetAll:
		err = s.setVariables(s.initialVariables)
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

// endsLostTransaction reports whether the statement does nothing but end a transaction that no upstream holds any more.
func (s *session) endsLostTransaction(info *classify.Statement) bool {
	return s.transactionLost && info.Ends && !info.Begins && info.Count == 1
}

// endLostTransaction resets the session's state after a transaction that no upstream holds any more.
func (s *session) endLostTransaction() {
	s.tx = txIdle
	s.transactionLost = false
	s.savepoint = false
	s.portals = nil
	s.finishVariables(true)
}

func (s *session) applySettings(settings []classify.Setting) *pgwire.Error {
	next := s.variables
	for i := range settings {
		if settings[i].Name == parameterToken {
			if !s.acceptToken(strings.Join(settings[i].Values, "")) {
				return &pgwire.Error{Code: pgwire.CodeInvalidValue, Message: "celerystep.token is not valid here"}
			}
			continue
		}
		var err *pgwire.Error
		if next, err = next.withSetting(s.withInitialValue(&settings[i])); err != nil {
			return err
		}
	}
	return s.setVariables(next)
}

// withInitialValue replaces DEFAULT by the start-up value of the parameter, if it has one.
func (s *session) withInitialValue(setting *classify.Setting) *classify.Setting {
	value, ok := s.initialVariables.get(setting.Name)
	if !setting.Default || !ok {
		return setting
	}
	values := []string{value}
	if parameters[setting.Name].quoted {
		values = splitList(value)
	}
	return &classify.Setting{Name: setting.Name, Values: values}
}

func (s *session) resetParameter(name string) *pgwire.Error {
	if name == parameterToken {
		return nil
	}
	return s.applySettings([]classify.Setting{{Name: name, Default: true}})
}

// setVariables replaces the session's variables and buffers ParameterStatus messages for the changes. Inside a
// transaction the former variables are saved for a rollback.
func (s *session) setVariables(next *variables) *pgwire.Error {
	if s.savepoint && !maps.Equal(next.replayed, s.variables.replayed) {
		return &pgwire.Error{
			Code:    pgwire.CodeFeatureNotSupported,
			Message: "SET after SAVEPOINT is not supported over pooled connections; use SET LOCAL",
		}
	}
	if s.tx != txIdle && s.savedVariables == nil {
		s.savedVariables = s.variables
	}
	before := s.reportedParameters()
	s.variables = next
	b := s.buffer()
	for i, p := range s.reportedParameters() {
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
	return s.setVariables(s.initialVariables)
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

// defaultParameters are the settable parameters that are reported with ParameterStatus, with their default values.
var defaultParameters = [...][2]string{
	{"application_name", ""}, {"client_encoding", "UTF8"}, {"DateStyle", "ISO, MDY"}, {"IntervalStyle", "postgres"},
	{"TimeZone", "UTC"}, {"standard_conforming_strings", "on"},
}

// reportedParameters returns the names and values of all parameters that are reported with ParameterStatus.
func (s *session) reportedParameters() [][2]string {
	all := slices.Clone(defaultParameters[:])
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
