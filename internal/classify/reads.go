package classify

import (
	"strings"

	pganalyze "github.com/pganalyze/pg_query_go/v6"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// readNodes lists the parse tree nodes that a sure read may consist of. Any other node makes a statement a write, so
// FOR UPDATE, SELECT INTO and data-modifying WITH are excluded by their nodes.
var readNodes = nameSet(`
	Node RawStmt SelectStmt ResTarget ColumnRef A_Star A_Const Integer Float Boolean String BitString ParamRef
	TypeCast TypeName A_Expr BoolExpr NullTest BooleanTest FuncCall A_Indices A_Indirection A_ArrayExpr RowExpr
	CaseExpr CaseWhen CoalesceExpr MinMaxExpr SQLValueFunction CollateClause SortBy WindowDef RangeVar Alias JoinExpr
	RangeSubselect RangeFunction RangeTableSample SubLink CommonTableExpr WithClause GroupingSet GroupingFunc List
	NamedArgExpr CTESearchClause CTECycleClause XmlExpr XmlSerialize
	JsonOutput JsonReturning JsonFormat JsonValueExpr JsonKeyValue JsonObjectConstructor JsonArrayConstructor
	JsonArrayQueryConstructor JsonAggConstructor JsonObjectAgg JsonArrayAgg JsonIsPredicate JsonParseExpr
	JsonScalarExpr JsonSerializeExpr JsonFuncExpr JsonBehavior JsonArgument`)

// readOperators lists the built-in operators without side effects. Another name may be a customer's own operator.
var readOperators = nameSet(`
	= <> != < > <= >= + - * / % ^ |/ ||/ @ & | # ~ << >> || ~~ !~~ ~~* !~~* ~* !~ !~* -> ->> #> #>> @> <@ ? ?| ?& &&
	@@ @? #- -|- &< &> |>> <<| &<| |&> ^@ <->`)

// primaryRelations start the names of system views whose content belongs to one server, so they are read on the primary.
var primaryRelations = []string{"pg_stat", "pg_locks", "pg_settings", "pg_cursors", "pg_prepared", "pg_replication"}

// findings is what a walk over a parse tree found.
type findings struct {
	// read is true while only nodes of a sure read were seen.
	read bool
	// pins names a function or table that belongs to one connection.
	pins string
}

func nameSet(names string) map[string]bool {
	set := make(map[string]bool)
	for _, n := range strings.Fields(names) {
		set[n] = true
	}
	return set
}

// examine walks over the tree under m.
func examine(m proto.Message) findings {
	f := findings{read: true}
	f.walk(m.ProtoReflect())
	return f
}

func (f *findings) walk(m protoreflect.Message) {
	if !readNodes[string(m.Descriptor().Name())] {
		f.read = false
	}
	f.check(m.Interface())
	m.Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		f.field(fd, v)
		return true
	})
}

func (f *findings) field(fd protoreflect.FieldDescriptor, v protoreflect.Value) {
	if fd.Kind() != protoreflect.MessageKind {
		return
	}
	if !fd.IsList() {
		f.walk(v.Message())
		return
	}
	list := v.List()
	for i := range list.Len() {
		f.walk(list.Get(i).Message())
	}
}

// check looks at the names in a node.
func (f *findings) check(node proto.Message) {
	switch n := node.(type) {
	case *pganalyze.FuncCall:
		f.function(n)
	case *pganalyze.A_Expr:
		f.operator(n.Name)
	case *pganalyze.SubLink:
		f.operator(n.OperName)
	case *pganalyze.SortBy:
		f.operator(n.UseOp)
	case *pganalyze.RangeVar:
		f.relation(n)
	}
}

func (f *findings) function(n *pganalyze.FuncCall) {
	schema, name := qualified(n.Funcname)
	if pinningFunction(name) {
		f.pins = name + "()"
	}
	if name == "set_config" && !lastArgumentTrue(n.Args) {
		f.pins = "set_config() without is_local = true"
	}
	if schema != "" && schema != "pg_catalog" || !stableFunctions[name] {
		f.read = false
	}
}

func (f *findings) operator(names []*pganalyze.Node) {
	if len(names) == 0 {
		return
	}
	schema, name := qualified(names)
	if schema != "" && schema != "pg_catalog" || !readOperators[name] && !keywordOperators[name] {
		f.read = false
	}
}

func (f *findings) relation(n *pganalyze.RangeVar) {
	if n.Relpersistence == "t" || strings.HasPrefix(n.Schemaname, "pg_temp") {
		f.pins = "temporary tables"
	}
	for _, p := range primaryRelations {
		if strings.HasPrefix(n.Relname, p) {
			f.read = false
		}
	}
}

// keywordOperators are the names that the grammar gives to operators written as keywords.
var keywordOperators = map[string]bool{
	"BETWEEN": true, "NOT BETWEEN": true, "BETWEEN SYMMETRIC": true, "NOT BETWEEN SYMMETRIC": true,
}

// pinningFunction reports whether the function takes or gives back a lock that outlives the transaction.
func pinningFunction(name string) bool {
	locks := strings.HasPrefix(name, "pg_advisory_") || strings.HasPrefix(name, "pg_try_advisory_")
	return locks && !strings.Contains(name, "_xact_")
}

// qualified splits a name into schema and name. A name of more than two parts has the schema "?".
func qualified(names []*pganalyze.Node) (schema, name string) {
	if len(names) == 0 {
		return "", ""
	}
	name = names[len(names)-1].GetString_().GetSval()
	switch len(names) {
	case 1:
		return "", name
	case 2:
		return names[0].GetString_().GetSval(), name
	default:
		return "?", name
	}
}

func lastArgumentTrue(args []*pganalyze.Node) bool {
	if len(args) == 0 {
		return false
	}
	last := args[len(args)-1]
	if n := last.GetNamedArgExpr(); n != nil {
		last = n.Arg
	}
	return last.GetAConst().GetBoolval().GetBoolval()
}
