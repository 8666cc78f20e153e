package entry

import (
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/celerystep/celerystep/internal/classify"
	"github.com/celerystep/celerystep/internal/pgwire"
)

// Names of the proxy's own session parameters.
const (
	parameterToken      = "celerystep.token"
	parameterMaxAge     = "celerystep.max_age_ms"
	parameterIdempotent = "celerystep.idempotent"
)

// maxParameterBytes bounds the length of a parameter value.
const maxParameterBytes = 1024

// parameter describes a session parameter that callers may set.
type parameter struct {
	// report is the name used in ParameterStatus; empty if changes are not reported.
	report string
	// local parameters are kept only by the entry instance, because they do not affect upstream answers.
	local bool
	// quoted parameters are lists of identifiers, like search_path in PostgreSQL.
	quoted bool
	// check returns the normalized value, or false if it is invalid.
	check func(value string) (string, bool)
}

// parameters holds the parameters that callers may set, by lower-case name. Those that are not local are replayed on
// the upstream connection before a statement.
var parameters = map[string]parameter{
	parameterMaxAge:     {local: true, check: checkCount},
	parameterIdempotent: {local: true, check: checkBool},

	"application_name":            {local: true, report: "application_name", check: checkText},
	"client_encoding":             {local: true, report: "client_encoding", check: checkEncoding},
	"standard_conforming_strings": {local: true, report: "standard_conforming_strings", check: checkOn},

	"datestyle":     {report: "DateStyle", check: checkText},
	"intervalstyle": {report: "IntervalStyle", check: checkText},
	"timezone":      {report: "TimeZone", check: checkText},

	"search_path":         {quoted: true, check: checkText},
	"extra_float_digits":  {check: checkText},
	"bytea_output":        {check: checkText},
	"client_min_messages": {check: checkText},

	"statement_timeout":                   {check: checkDuration},
	"lock_timeout":                        {check: checkDuration},
	"idle_in_transaction_session_timeout": {check: checkDuration},
	"default_transaction_isolation":       {check: checkText},
	"default_transaction_read_only":       {check: checkBool},
	"default_transaction_deferrable":      {check: checkBool},
}

// variables holds the parameters that a session has set. It is immutable, so that a rollback can restore the former
// value.
type variables struct {
	// local and replayed map names to values. replayed is sent with each request.
	local, replayed map[string]string
	maxAge          time.Duration
	idempotent      bool
	// timeout is the value of statement_timeout, or 0.
	timeout time.Duration
}

var emptyVariables = &variables{}

// get returns the value of a parameter if it has been set.
func (v *variables) get(name string) (string, bool) {
	if value, ok := v.local[name]; ok {
		return value, true
	}
	value, ok := v.replayed[name]
	return value, ok
}

// withSetting returns a copy with the setting applied, or an error for the caller.
func (v *variables) withSetting(s *classify.Setting) (*variables, *pgwire.Error) {
	p, ok := parameters[s.Name]
	if !ok {
		return nil, unknownParameter(s.Name)
	}
	if s.Default {
		return v.without(s.Name), nil
	}
	text := joinList(s.Values, p.quoted)
	value, ok := p.check(text)
	if !ok || len(value) > maxParameterBytes {
		return nil, &pgwire.Error{
			Code:    pgwire.CodeInvalidValue,
			Message: "invalid value for parameter \"" + s.Name + "\"",
		}
	}
	n := *v
	if p.local {
		n.local = withEntry(v.local, s.Name, value)
	} else {
		n.replayed = withEntry(v.replayed, s.Name, value)
	}
	n.updateDerived()
	return &n, nil
}

func unknownParameter(name string) *pgwire.Error {
	return &pgwire.Error{
		Code:    pgwire.CodeFeatureNotSupported,
		Message: "parameter \"" + name + "\" cannot be set over pooled connections",
		Hint:    "SET LOCAL inside a transaction block works for parameters that the session cannot keep.",
	}
}

// without returns a copy in which the parameter is not set.
func (v *variables) without(name string) *variables {
	n := *v
	n.local = withoutEntry(v.local, name)
	n.replayed = withoutEntry(v.replayed, name)
	n.updateDerived()
	return &n
}

// updateDerived recomputes the fields that are parsed from the maps.
func (v *variables) updateDerived() {
	ms, _ := strconv.ParseInt(v.local[parameterMaxAge], 10, 64)
	v.maxAge = time.Duration(ms) * time.Millisecond
	v.idempotent = v.local[parameterIdempotent] == "on"
	v.timeout, _ = parseDuration(v.replayed["statement_timeout"])
}

func withEntry(m map[string]string, name, value string) map[string]string {
	n := maps.Clone(m)
	if n == nil {
		n = make(map[string]string, 1)
	}
	n[name] = value
	return n
}

func withoutEntry(m map[string]string, name string) map[string]string {
	if _, ok := m[name]; !ok {
		return m
	}
	n := maps.Clone(m)
	delete(n, name)
	return n
}

// joinList joins the elements of a list value, as quoted identifiers if needed.
func joinList(values []string, quoted bool) string {
	if !quoted {
		return strings.Join(values, ", ")
	}
	parts := make([]string, len(values))
	for i, v := range values {
		parts[i] = quoteIdentifier(v)
	}
	return strings.Join(parts, ", ")
}

// quoteIdentifier quotes a name unless it is a plain lower-case identifier.
func quoteIdentifier(name string) string {
	for i, c := range name {
		plain := c == '_' || 'a' <= c && c <= 'z' || i > 0 && ('0' <= c && c <= '9' || c == '$')
		if !plain {
			return `"` + strings.ReplaceAll(name, `"`, `""`) + `"`
		}
	}
	if name == "" {
		return `""`
	}
	return name
}

func checkText(value string) (string, bool) { return value, true }

func checkEncoding(value string) (string, bool) {
	plain := strings.NewReplacer("-", "", "_", "").Replace(strings.ToUpper(value))
	return "UTF8", plain == "UTF8" || plain == "UNICODE"
}

func checkOn(value string) (string, bool) {
	value, ok := checkBool(value)
	return value, ok && value == "on"
}

func checkBool(value string) (string, bool) {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1", "t", "y":
		return "on", true
	case "off", "false", "no", "0", "f", "n":
		return "off", true
	default:
		return "", false
	}
}

func checkCount(value string) (string, bool) {
	n, err := strconv.ParseInt(value, 10, 32)
	return strconv.FormatInt(n, 10), err == nil && n >= 0
}

func checkDuration(value string) (string, bool) {
	_, ok := parseDuration(value)
	return value, ok
}

// durationUnits are the units of PostgreSQL's time parameters. A value without a unit is in milliseconds.
var durationUnits = []struct {
	suffix string
	unit   time.Duration
}{
	{"us", time.Microsecond}, {"ms", time.Millisecond}, {"min", time.Minute}, {"s", time.Second}, {"h", time.Hour},
	{"d", 24 * time.Hour}, {"", time.Millisecond},
}

// maxTimeout is the largest timeout that PostgreSQL accepts.
const maxTimeout = (1<<31 - 1) * time.Millisecond

func parseDuration(value string) (time.Duration, bool) {
	value = strings.ToLower(strings.TrimSpace(value))
	for _, u := range durationUnits {
		number, ok := strings.CutSuffix(value, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 32)
		if err != nil || n < 0 || n > int64(maxTimeout/u.unit) {
			return 0, false
		}
		return time.Duration(n) * u.unit, true
	}
	return 0, false
}
