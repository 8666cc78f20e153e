// Package sqltext reads PostgreSQL statements as far as the database group stand-in needs: it splits and classifies
// them, translates the differences that matter to SQLite, and guesses the types of parameters and result columns.
package sqltext

import (
	"strings"

	"github.com/go-faster/errors"
)

// Kind is the lexical class of a token.
type Kind uint8

// Kinds of token.
const (
	// Word is an unquoted identifier or key word.
	Word Kind = iota + 1
	// Quoted is a quoted identifier.
	Quoted
	// String is a string literal.
	String
	// Number is a numeric literal.
	Number
	// Param is a parameter such as $1.
	Param
	// Symbol is an operator or a punctuation mark.
	Symbol
)

// Token is a lexical unit of a statement. Start and End are byte offsets in the text.
type Token struct {
	Kind       Kind
	Text       string
	Start, End int
}

// Is reports whether the token is the given unquoted word, in lower case, or the given symbol.
func (t Token) Is(s string) bool {
	return (t.Kind == Word || t.Kind == Symbol) && strings.EqualFold(t.Text, s)
}

// name returns the identifier that the token stands for: folded to lower case when unquoted.
func (t Token) name() string {
	switch t.Kind {
	case Word:
		return strings.ToLower(t.Text)
	case Quoted:
		return strings.ReplaceAll(t.Text[1:len(t.Text)-1], `""`, `"`)
	default:
		return ""
	}
}

// value returns the content of a string literal or the text of any other token.
func (t Token) value() string {
	if t.Kind != String {
		return t.Text
	}
	return strings.ReplaceAll(t.Text[1:len(t.Text)-1], "''", "'")
}

// symbols of two characters, which must not be read as two tokens.
var doubleSymbols = []string{"::", "<=", ">=", "<>", "!=", "||", "->"}

// Tokens splits the text into tokens and leaves out white space and comments.
func Tokens(sql string) ([]Token, error) {
	var out []Token
	for i := 0; i < len(sql); {
		next, skipped, err := skipBlank(sql, i)
		if err != nil {
			return nil, err
		}
		if skipped {
			i = next
			continue
		}
		kind, end, err := scan(sql, i)
		if err != nil {
			return nil, err
		}
		out = append(out, Token{Kind: kind, Text: sql[i:end], Start: i, End: end})
		i = end
	}
	return out, nil
}

func skipBlank(sql string, i int) (next int, skipped bool, err error) {
	switch {
	case strings.IndexByte(" \t\r\n\f", sql[i]) >= 0:
		return i + 1, true, nil
	case strings.HasPrefix(sql[i:], "--"):
		end := strings.IndexByte(sql[i:], '\n')
		if end < 0 {
			return len(sql), true, nil
		}
		return i + end, true, nil
	case strings.HasPrefix(sql[i:], "/*"):
		end := strings.Index(sql[i+2:], "*/")
		if end < 0 {
			return 0, false, errors.New("unterminated comment")
		}
		return i + end + 4, true, nil
	default:
		return i, false, nil
	}
}

func scan(sql string, i int) (Kind, int, error) {
	c := sql[i]
	switch {
	case c == '\'':
		end, err := scanQuoted(sql, i, '\'')
		return String, end, err
	case c == '"':
		end, err := scanQuoted(sql, i, '"')
		return Quoted, end, err
	case c == '$' && i+1 < len(sql) && isDigit(sql[i+1]):
		return Param, scanWhile(sql, i+1, isDigit), nil
	case isDigit(c), c == '.' && i+1 < len(sql) && isDigit(sql[i+1]):
		return Number, scanNumber(sql, i), nil
	case isWordStart(c):
		return Word, scanWhile(sql, i, isWordPart), nil
	}
	for _, s := range doubleSymbols {
		if strings.HasPrefix(sql[i:], s) {
			return Symbol, i + len(s), nil
		}
	}
	return Symbol, i + 1, nil
}

// scanQuoted returns the end of a quoted text, in which a doubled quote stands for itself.
func scanQuoted(sql string, i int, quote byte) (int, error) {
	for j := i + 1; j < len(sql); j++ {
		if sql[j] != quote {
			continue
		}
		if j+1 < len(sql) && sql[j+1] == quote {
			j++
			continue
		}
		return j + 1, nil
	}
	return 0, errors.New("unterminated quoted text")
}

func scanNumber(sql string, i int) int {
	j := scanWhile(sql, i, func(c byte) bool { return isDigit(c) || c == '.' })
	if j < len(sql) && (sql[j] == 'e' || sql[j] == 'E') {
		k := j + 1
		if k < len(sql) && (sql[k] == '+' || sql[k] == '-') {
			k++
		}
		if k < len(sql) && isDigit(sql[k]) {
			return scanWhile(sql, k, isDigit)
		}
	}
	return j
}

func scanWhile(sql string, i int, f func(byte) bool) int {
	for i < len(sql) && f(sql[i]) {
		i++
	}
	return i
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordStart(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func isWordPart(c byte) bool { return isWordStart(c) || isDigit(c) || c == '$' }

// Split cuts the text into its statements and leaves out empty ones.
func Split(sql string) ([]string, error) {
	tokens, err := Tokens(sql)
	if err != nil {
		return nil, err
	}
	var out []string
	start, used := 0, false
	for _, t := range tokens {
		if !t.Is(";") {
			used = true
			continue
		}
		if used {
			out = append(out, strings.TrimSpace(sql[start:t.Start]))
		}
		start, used = t.End, false
	}
	if used {
		out = append(out, strings.TrimSpace(sql[start:]))
	}
	return out, nil
}

// closing returns the index of the parenthesis that closes the one at index i, or -1.
func closing(tokens []Token, i int) int {
	depth := 0
	for j := i; j < len(tokens); j++ {
		switch {
		case tokens[j].Is("("):
			depth++
		case tokens[j].Is(")"):
			depth--
			if depth == 0 {
				return j
			}
		}
	}
	return -1
}

// opening returns the index of the parenthesis that opens the one at index i, or -1.
func opening(tokens []Token, i int) int {
	depth := 0
	for j := i; j >= 0; j-- {
		switch {
		case tokens[j].Is(")"):
			depth++
		case tokens[j].Is("("):
			depth--
			if depth == 0 {
				return j
			}
		}
	}
	return -1
}

// splitTop cuts tokens at each separator outside parentheses.
func splitTop(tokens []Token, sep string) [][]Token {
	var out [][]Token
	start, depth := 0, 0
	for i, t := range tokens {
		switch {
		case t.Is("("):
			depth++
		case t.Is(")"):
			depth--
		case depth == 0 && t.Is(sep):
			out = append(out, tokens[start:i])
			start = i + 1
		}
	}
	return append(out, tokens[start:])
}

// indexTop returns the index of the first token outside parentheses that is one of the given ones, or -1.
func indexTop(tokens []Token, any ...string) int {
	depth := 0
	for i, t := range tokens {
		if t.Is("(") {
			depth++
		}
		if t.Is(")") {
			depth--
		}
		if depth != 0 {
			continue
		}
		for _, s := range any {
			if t.Is(s) {
				return i
			}
		}
	}
	return -1
}
