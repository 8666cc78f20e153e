package group

import (
	"maps"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/standin/group/sqltext"
)

// reportedParameters are the parameters whose values the protocol reports to the client.
var reportedParameters = []struct{ key, name string }{
	{"application_name", "application_name"},
	{"client_encoding", "client_encoding"},
	{"datestyle", "DateStyle"},
	{"integer_datetimes", "integer_datetimes"},
	{"server_encoding", "server_encoding"},
	{"server_version", "server_version"},
	{"standard_conforming_strings", "standard_conforming_strings"},
	{"timezone", "TimeZone"},
}

// defaultSettings are the parameters that SHOW knows without a SET.
var defaultSettings = map[string]string{
	"application_name":            "",
	"client_encoding":             "UTF8",
	"datestyle":                   "ISO, MDY",
	"integer_datetimes":           "on",
	"server_encoding":             "UTF8",
	"server_version":              "17.0",
	"standard_conforming_strings": "on",
	"timezone":                    "UTC",
	"search_path":                 `"$user", public`,
	"statement_timeout":           "0",
	"transaction_isolation":       "read committed",
}

// setting returns the value of a parameter.
func (s *session) setting(name string) string {
	if v, ok := s.settings[name]; ok {
		return v
	}
	return defaultSettings[name]
}

func (s *session) show(name string) (string, error) {
	switch name {
	case "transaction_read_only":
		return onOff(s.tx != nil && s.tx.readOnly || !s.m.leads()), nil
	case "in_hot_standby":
		return onOff(!s.m.leads()), nil
	}
	if _, ok := s.settings[name]; !ok {
		if _, ok := defaultSettings[name]; !ok {
			return "", errorf(stateUndefinedObject, "unrecognized configuration parameter %q", name)
		}
	}
	return s.setting(name), nil
}

func onOff(b bool) string {
	if b {
		return "on"
	}
	return "off"
}

// control runs a statement that concerns the session or the transaction only, and returns its command tag.
func (s *session) control(st *sqltext.Statement) (string, error) {
	switch st.Class {
	case sqltext.Begin:
		return st.Tag, s.beginTransaction(st.Mode)
	case sqltext.Commit, sqltext.Rollback:
		return s.endTransaction(st)
	case sqltext.Savepoint, sqltext.Release, sqltext.RollbackTo:
		return st.Tag, s.savepoint(st)
	case sqltext.SetTransaction:
		return st.Tag, s.setTransaction(st.Mode)
	case sqltext.Set:
		s.set(st)
	case sqltext.Reset:
		s.reset(st.Name)
	case sqltext.DiscardAll:
		return st.Tag, s.discardAll()
	case sqltext.Deallocate:
		return st.Tag, s.deallocate(st.Name)
	case sqltext.Listen:
		return st.Tag, s.listen(st.Name)
	case sqltext.Unlisten:
		s.unlisten()
	default:
		return "", errorf(stateNotSupported, "%s is not supported", st.Tag)
	}
	return st.Tag, nil
}

func (s *session) beginTransaction(mode sqltext.TransactionMode) error {
	s.ensureTransaction().explicit = true
	return s.setTransaction(mode)
}

func (s *session) setTransaction(mode sqltext.TransactionMode) error {
	if s.tx == nil {
		return nil
	}
	s.tx.readOnly = s.tx.readOnly || mode.ReadOnly
	switch mode.Isolation {
	case "", "read committed", "read uncommitted":
		return nil
	}
	if s.tx.readOnly {
		return errorf(stateNotSupported, "%s in a read-only transaction is not supported", mode.Isolation)
	}
	s.tx.serial = true
	return nil
}

func (s *session) endTransaction(st *sqltext.Statement) (string, error) {
	switch {
	case s.tx == nil:
		return st.Tag, nil
	case st.Class == sqltext.Rollback || s.tx.failed:
		s.tx.rollback(s)
		return "ROLLBACK", nil
	default:
		return st.Tag, s.commitTransaction()
	}
}

func (s *session) set(st *sqltext.Statement) {
	old, had := s.settings[st.Name]
	if s.tx != nil && s.tx.explicit {
		s.tx.undo = append(s.tx.undo, settingChange{name: st.Name, old: old, had: had, local: st.Local})
	}
	if st.Default {
		delete(s.settings, st.Name)
	} else {
		s.settings[st.Name] = st.Value
	}
	s.report(st.Name)
}

// report tells the client of a changed parameter that the protocol reports.
func (s *session) report(name string) {
	for _, p := range reportedParameters {
		if p.key == name {
			s.send(&pgproto3.ParameterStatus{Name: p.name, Value: s.setting(name)})
		}
	}
}

func (s *session) reset(name string) {
	if name != "" {
		delete(s.settings, name)
		s.report(name)
		return
	}
	old := maps.Clone(s.settings)
	clear(s.settings)
	for k := range old {
		s.report(k)
	}
}

func (s *session) discardAll() error {
	if s.tx != nil && s.tx.explicit {
		return errorf(stateActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
	}
	s.reset("")
	clear(s.prepared)
	clear(s.portals)
	s.unlisten()
	return nil
}

func (s *session) deallocate(name string) error {
	if name == "" {
		clear(s.prepared)
		return nil
	}
	if s.prepared[name] == nil {
		return errorf(stateUndefinedStatement, "prepared statement %q does not exist", name)
	}
	delete(s.prepared, name)
	return nil
}
