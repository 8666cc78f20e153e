package classify

import (
	"strconv"
	"strings"

	pganalyze "github.com/pganalyze/pg_query_go/v6"
)

// sessionIdentity lists parameters that must not change on a shared connection even inside a transaction: the role,
// and those that change how literals are read, on which the scanner relies.
var sessionIdentity = nameSet(`role session_authorization standard_conforming_strings backslash_quote client_encoding`)

// parameterPrefix starts the names of the proxy's own session parameters.
const parameterPrefix = "celerystep."

// variableSet takes in SET and RESET. SET LOCAL and SET TRANSACTION end with the transaction, so they are left to the
// upstream.
func (s *Statement) variableSet(n *pganalyze.VariableSetStmt) {
	name := strings.ToLower(n.Name)
	if name == "transaction" || name == "transaction snapshot" {
		return
	}
	if n.IsLocal {
		s.setLocal(name)
		return
	}
	switch n.Kind {
	case pganalyze.VariableSetKind_VAR_RESET_ALL:
		s.Local = &Local{Op: LocalResetAll, Tag: "RESET"}
	case pganalyze.VariableSetKind_VAR_RESET:
		s.Local = &Local{Op: LocalReset, Name: name, Tag: "RESET"}
	case pganalyze.VariableSetKind_VAR_SET_DEFAULT:
		s.Local = &Local{Op: LocalSet, Settings: []Setting{{Name: name, Default: true}}, Tag: "SET"}
	case pganalyze.VariableSetKind_VAR_SET_VALUE:
		s.setValue(name, n.Args)
	case pganalyze.VariableSetKind_VAR_SET_MULTI:
		s.setCharacteristics(n.Args)
	default:
		s.Refusal = refuse("SET ... FROM CURRENT is not supported")
	}
}

func (s *Statement) setLocal(name string) {
	if sessionIdentity[name] || strings.HasPrefix(name, parameterPrefix) {
		s.Refusal = refuse("SET LOCAL " + name + " is not supported")
	}
}

func (s *Statement) setValue(name string, args []*pganalyze.Node) {
	values := make([]string, 0, len(args))
	for _, a := range args {
		v, ok := constant(a)
		if !ok {
			s.Refusal = refuse("SET " + name + " takes only constants")
			return
		}
		values = append(values, v)
	}
	s.Local = &Local{Op: LocalSet, Settings: []Setting{{Name: name, Values: values}}, Tag: "SET"}
}

// setCharacteristics takes in SET SESSION CHARACTERISTICS AS TRANSACTION, which sets the defaults of transactions.
func (s *Statement) setCharacteristics(options []*pganalyze.Node) {
	local := &Local{Op: LocalSet, Tag: "SET"}
	for _, o := range options {
		d := o.GetDefElem()
		v, ok := constant(d.GetArg())
		if !ok {
			s.Refusal = refuse("SET SESSION CHARACTERISTICS takes only constants")
			return
		}
		if d.Defname != "transaction_isolation" {
			v = onOff(v)
		}
		local.Settings = append(local.Settings, Setting{Name: "default_" + d.Defname, Values: []string{v}})
	}
	s.Local = local
}

func onOff(v string) string {
	if v == "1" {
		return "on"
	}
	return "off"
}

// constant returns the text of a constant as SET takes it.
func constant(n *pganalyze.Node) (string, bool) {
	c := n.GetAConst()
	if c == nil || c.Isnull {
		return "", false
	}
	switch v := c.Val.(type) {
	case *pganalyze.A_Const_Sval:
		return v.Sval.Sval, true
	case *pganalyze.A_Const_Ival:
		return strconv.FormatInt(int64(v.Ival.Ival), 10), true
	case *pganalyze.A_Const_Fval:
		return v.Fval.Fval, true
	case *pganalyze.A_Const_Boolval:
		return strconv.FormatBool(v.Boolval.Boolval), true
	default:
		return "", false
	}
}
