package sqltext

import "strings"

// ColumnTypes returns the types of the result columns. A declared type wins; the type of an expression is guessed.
func (s *Statement) ColumnTypes(schema Schema, declared []string) []uint32 {
	items := s.items()
	out := make([]uint32, len(declared))
	for i, d := range declared {
		if out[i] = TypeOf(d); out[i] != Unknown {
			continue
		}
		out[i] = Text
		if len(items) == len(declared) {
			x := expression{statement: s, schema: schema}
			if t := x.typeOf(withoutAlias(items[i])); t != Unknown {
				out[i] = t
			}
		}
	}
	return out
}

// ColumnNames replaces SQLite's names of unnamed expressions by PostgreSQL's.
func (s *Statement) ColumnNames(names []string) []string {
	items := s.items()
	if len(items) != len(names) {
		return names
	}
	out := make([]string, len(names))
	for i, item := range items {
		out[i] = names[i]
		if len(item) == 1 && item[0].name() != "" || len(withoutAlias(item)) < len(item) {
			continue
		}
		out[i] = expressionName(item, names[i])
	}
	return out
}

func expressionName(item []Token, fallback string) string {
	last := item[len(item)-1]
	switch {
	case last.name() != "" && len(item) > 1 && item[len(item)-2].Is("."):
		return last.name()
	case len(item) > 2 && item[0].Kind == Word && item[1].Is("("):
		return item[0].name()
	case item[0].Is("*"), last.Is("*"):
		return fallback
	default:
		return "?column?"
	}
}

// items returns the expressions of the result, in order.
func (s *Statement) items() [][]Token {
	t := s.tokens
	if i := indexTop(t, "returning"); i >= 0 {
		return splitTop(t[i+1:], ",")
	}
	i := indexTop(t, "select")
	if i < 0 {
		return nil
	}
	return selectItems(t[i+1:])
}

func selectItems(t []Token) [][]Token {
	if len(t) > 0 && (t[0].Is("distinct") || t[0].Is("all")) {
		t = t[1:]
	}
	end := indexTop(t, "from", "where", "group", "order", "limit", "union", "except", "intersect", "for")
	if end >= 0 {
		t = t[:end]
	}
	return splitTop(t, ",")
}

// withoutAlias cuts AS name, or a name that directly follows an operand.
func withoutAlias(t []Token) []Token {
	n := len(t)
	if n > 2 && t[n-2].Is("as") {
		return t[:n-2]
	}
	if n < 2 || t[n-1].name() == "" || t[n-1].Is("end") || t[n-1].Is("null") {
		return t
	}
	before := t[n-2]
	if before.Is(")") || before.Kind == Number || before.Kind == String || before.Kind == Param || before.Is("end") {
		return t[:n-1]
	}
	if before.name() != "" && !logicalWords[before.name()] {
		return t[:n-1]
	}
	return t
}

var logicalWords = map[string]bool{
	"and": true, "or": true, "not": true, "is": true, "in": true, "like": true, "between": true, "exists": true,
}

// expression guesses the type of an expression.
type expression struct {
	statement *Statement
	schema    Schema
}

func (x expression) typeOf(t []Token) uint32 {
	if len(t) == 0 {
		return Unknown
	}
	if i := indexTop(t, "and", "or", "not", "=", "<", ">", "<=", ">=", "<>", "!=", "is", "in", "like", "between"); i >= 0 &&
		!t[0].Is("case") {
		return Bool
	}
	if indexTop(t, "||") >= 0 {
		return Text
	}
	if i := indexTop(t, "+", "-", "*", "/", "%"); i >= 0 && len(t) > 1 {
		return x.arithmetic(t, i)
	}
	if n := lastCast(t); n >= 0 {
		return TypeOf(typeName(t[n+1 : typeEnd(t, n+1)+1]))
	}
	return x.operand(t)
}

func lastCast(t []Token) int {
	found, depth := -1, 0
	for i, x := range t {
		switch {
		case x.Is("("):
			depth++
		case x.Is(")"):
			depth--
		case depth == 0 && x.Is("::"):
			found = i
		}
	}
	return found
}

func (x expression) arithmetic(t []Token, i int) uint32 {
	right := x.typeOf(t[i+1:])
	if i == 0 {
		return right
	}
	left := x.typeOf(t[:i])
	switch {
	case left == Float8 || right == Float8:
		return Float8
	case left == Int4 && right == Int4:
		return Int4
	default:
		return Int8
	}
}

func (x expression) operand(t []Token) uint32 {
	first := t[0]
	switch {
	case first.Kind == Number:
		return numberType(first.Text)
	case first.Kind == String:
		return Text
	case first.Kind == Param:
		return x.param(first)
	case first.Is("true"), first.Is("false"), first.Is("exists"):
		return Bool
	case first.Is("case"):
		return x.caseType(t)
	case first.Is("("):
		return x.parenthesised(t[1 : len(t)-1])
	case len(t) > 1 && t[1].Is("("):
		return x.function(t)
	default:
		return x.statement.lookup(x.schema, t[len(t)-1].name())
	}
}

func (x expression) param(t Token) uint32 {
	for i, p := range x.statement.tokens {
		if p == t {
			return x.statement.paramType(x.schema, i)
		}
	}
	return Unknown
}

func (x expression) parenthesised(t []Token) uint32 {
	if len(t) > 0 && t[0].Is("select") {
		return x.typeOf(withoutAlias(selectItems(t[1:])[0]))
	}
	return x.typeOf(t)
}

func (x expression) caseType(t []Token) uint32 {
	for i := range t {
		if t[i].Is("then") && i+1 < len(t) {
			end := indexTop(t[i+1:], "when", "else", "end")
			if end > 0 {
				return x.typeOf(t[i+1 : i+1+end])
			}
		}
	}
	return Unknown
}

func numberType(s string) uint32 {
	if strings.ContainsAny(s, ".eE") {
		return Float8
	}
	const int4Digits = 9
	if len(s) > int4Digits {
		return Int8
	}
	return Int4
}

func (x expression) function(t []Token) uint32 {
	end := closing(t, 1)
	if end < 0 {
		return Unknown
	}
	args := splitTop(t[2:end], ",")
	switch t[0].name() {
	case "count", "row_number", "rank", "dense_rank":
		return Int8
	case "length", "char_length", "octet_length", "instr":
		return Int4
	case "avg", "round", "total":
		return Float8
	case "sum":
		if x.typeOf(args[0]) == Float8 {
			return Float8
		}
		return Int8
	case "max", "min", "coalesce", "ifnull", "nullif", "abs", "first_value", "last_value", "lag", "lead":
		return x.typeOf(args[0])
	case "cast":
		if i := indexTop(args[0], "as"); i >= 0 {
			return TypeOf(typeName(args[0][i+1:]))
		}
	}
	return Text
}
