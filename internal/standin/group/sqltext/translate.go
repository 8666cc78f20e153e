package sqltext

import (
	"strings"
)

// translate sets the SQLite text from the tokens.
func (s *Statement) translate(tokens []Token) error {
	s.body = tokens
	text, err := s.translated(nil)
	s.SQLite = text
	return err
}

// WithLiterals returns the SQLite text in which string literals that stand for booleans or bytes have the form in which
// SQLite stores these.
func (s *Statement) WithLiterals(schema Schema) (string, error) {
	for _, t := range s.body {
		if t.Kind == String {
			return s.translated(schema)
		}
	}
	return s.SQLite, nil
}

func (s *Statement) translated(schema Schema) (string, error) {
	tokens := s.body
	t := translator{tokens: tokens, out: make([]string, len(tokens)), castStart: make(map[int]int)}
	for i, x := range tokens {
		t.out[i] = x.Text
		if x.Kind == Param {
			t.out[i] = "?" + x.Text[1:]
		}
	}
	for i, x := range tokens {
		switch {
		case x.Kind == String && schema != nil:
			t.out[i] = literal(x, s.paramType(schema, i))
		case x.Is("::"):
			if err := t.cast(i); err != nil {
				return "", err
			}
		case x.Is("public") && i+1 < len(tokens) && tokens[i+1].Is("."):
			t.out[i], t.out[i+1] = "", ""
		case s.Schema && (x.Is("serial") || x.Is("bigserial")):
			t.out[i] = "INTEGER"
		}
	}
	return t.text(), nil
}

// literal returns the form of a string literal of the given type.
func literal(t Token, oid uint32) string {
	v := t.value()
	if oid == Bytea && strings.HasPrefix(v, `\x`) {
		return "X'" + v[2:] + "'"
	}
	if oid != Bool {
		return t.Text
	}
	switch strings.ToLower(v) {
	case "t", "true":
		return "1"
	case "f", "false":
		return "0"
	default:
		return t.Text
	}
}

// translator holds the text of each token while casts are rewritten.
type translator struct {
	tokens []Token
	out    []string
	// castStart maps the last token of a cast to the first token of its operand.
	castStart map[int]int
}

// cast rewrites operand::type with the double colon at index i to CAST(operand AS type).
func (t *translator) cast(i int) error {
	if i == 0 || i+1 == len(t.tokens) {
		return &UnsupportedError{What: "a cast without operand or type"}
	}
	start := t.operandStart(i - 1)
	end := typeEnd(t.tokens, i+1)
	name := typeName(t.tokens[i+1 : end+1])
	affinity := storageClass(TypeOf(name))
	if affinity == "" {
		return &UnsupportedError{What: "a cast to " + name}
	}
	t.out[start] = "CAST(" + t.out[start]
	t.out[i] = " AS "
	for j := i + 1; j <= end; j++ {
		t.out[j] = ""
	}
	t.out[end] = affinity + ")"
	t.castStart[end] = start
	return nil
}

// operandStart returns the first token of the operand that ends at index i.
func (t *translator) operandStart(i int) int {
	if start, ok := t.castStart[i]; ok {
		return start
	}
	start := i
	if t.tokens[i].Is(")") {
		if start = opening(t.tokens, i); start < 0 {
			return i
		}
		if start > 0 && t.tokens[start-1].Kind == Word && t.tokens[start-1].End == t.tokens[start].Start {
			start--
		}
	}
	for start > 1 && t.tokens[start-1].Is(".") {
		start -= 2
	}
	return start
}

// typeEnd returns the last token of the type name that starts at index i.
func typeEnd(tokens []Token, i int) int {
	if i+1 < len(tokens) && (tokens[i+1].Is("precision") || tokens[i+1].Is("varying")) {
		i++
	}
	if i+1 < len(tokens) && tokens[i+1].Is("(") {
		if end := closing(tokens, i+1); end > 0 {
			return end
		}
	}
	return i
}

func typeName(tokens []Token) string {
	var parts []string
	for _, t := range tokens {
		parts = append(parts, strings.ToLower(t.Text))
	}
	return strings.Join(parts, " ")
}

// text joins the tokens and keeps white space only where the original had any.
func (t *translator) text() string {
	var b strings.Builder
	for i, x := range t.tokens {
		if i > 0 && x.Start > t.tokens[i-1].End {
			b.WriteByte(' ')
		}
		b.WriteString(t.out[i])
	}
	return b.String()
}
