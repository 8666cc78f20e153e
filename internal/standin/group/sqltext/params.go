package sqltext

import (
	"slices"
	"strconv"
)

// comparisons are the operators that give both sides the same type.
var comparisons = []string{"=", "<", ">", "<=", ">=", "<>", "!=", "+", "-", "*", "/"}

// ParamTypes guesses the types of the parameters from casts and from the columns they are stored in or compared with.
// Types that it cannot tell are Unknown.
func (s *Statement) ParamTypes(schema Schema) []uint32 {
	out := make([]uint32, s.Params)
	for i, t := range s.tokens {
		if t.Kind != Param {
			continue
		}
		n, _ := strconv.Atoi(t.Text[1:])
		if out[n-1] == Unknown {
			out[n-1] = s.paramType(schema, i)
		}
	}
	return out
}

func (s *Statement) paramType(schema Schema, i int) uint32 {
	t := s.tokens
	if i+2 < len(t) && t[i+1].Is("::") {
		return TypeOf(typeName(t[i+2 : typeEnd(t, i+2)+1]))
	}
	if i > 0 && (t[i-1].Is("limit") || t[i-1].Is("offset")) {
		return Int8
	}
	if i > 0 && (t[i-1].Is("like") || t[i-1].Is("||")) || i+1 < len(t) && t[i+1].Is("||") {
		return Text
	}
	if column, ok := s.comparedColumn(i); ok {
		return s.lookup(schema, column)
	}
	return s.insertedType(schema, i)
}

func isOneOf(t Token, symbols []string) bool { return slices.ContainsFunc(symbols, t.Is) }

// comparedColumn returns the column that the parameter at index i is compared or combined with.
func (s *Statement) comparedColumn(i int) (string, bool) {
	t := s.tokens
	if i >= 2 && isOneOf(t[i-1], comparisons) {
		return t[i-2].name(), t[i-2].name() != ""
	}
	if i+2 < len(t) && isOneOf(t[i+1], comparisons) {
		j := i + 2
		if j+2 < len(t) && t[j+1].Is(".") {
			j += 2
		}
		return t[j].name(), t[j].name() != ""
	}
	if i >= 2 && t[i-1].Is("between") {
		return t[i-2].name(), true
	}
	if i >= 4 && t[i-1].Is("and") && t[i-3].Is("between") {
		return t[i-4].name(), true
	}
	return s.listedColumn(i)
}

// listedColumn returns the column before IN when the parameter at index i stands in its list.
func (s *Statement) listedColumn(i int) (string, bool) {
	t := s.tokens
	j := i - 1
	for j >= 0 && (t[j].Is(",") || t[j].Kind == Param || t[j].Kind == Number || t[j].Kind == String) {
		j--
	}
	if j < 2 || !t[j].Is("(") || !t[j-1].Is("in") {
		return "", false
	}
	if t[j-2].Is("not") {
		j--
	}
	if j < 2 {
		return "", false
	}
	return t[j-2].name(), t[j-2].name() != ""
}

// insertedType returns the type of the column that the parameter at index i is inserted into.
func (s *Statement) insertedType(schema Schema, i int) uint32 {
	t := s.tokens
	into := indexTop(t, "into")
	values := indexTop(t, "values")
	if into < 0 || values < 0 || i < values || into+1 >= len(t) {
		return Unknown
	}
	nameAt := into + 1
	if nameAt+2 < len(t) && t[nameAt+1].Is(".") {
		nameAt += 2
	}
	columns := schema[t[nameAt].name()]
	position := rowPosition(t, values, i)
	if position < 0 {
		return Unknown
	}
	if nameAt+1 < len(t) && t[nameAt+1].Is("(") {
		listed := splitTop(t[nameAt+2:closing(t, nameAt+1)], ",")
		if position >= len(listed) || len(listed[position]) == 0 {
			return Unknown
		}
		return s.lookup(schema, listed[position][0].name())
	}
	if position >= len(columns) {
		return Unknown
	}
	return TypeOf(columns[position].Type)
}

// rowPosition returns the position within its VALUES row of the parameter at index i, or -1 when the parameter is not
// an element by itself.
func rowPosition(t []Token, values, i int) int {
	depth, position := 0, 0
	for j := values + 1; j < i; j++ {
		switch {
		case t[j].Is("("):
			depth++
			if depth == 1 {
				position = 0
			}
		case t[j].Is(")"):
			depth--
		case t[j].Is(",") && depth == 1:
			position++
		}
	}
	if depth != 1 || !t[i-1].Is("(") && !t[i-1].Is(",") {
		return -1
	}
	return position
}
