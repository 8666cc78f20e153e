package classify

import (
	"bytes"
	"sync"
)

// literal is the class of a literal's token. A literal is only replaced by another one of the same class, so the
// grammar accepts the normalised text exactly when it accepts the original, but for limits on values.
type literal byte

const (
	literalString literal = '\''
	literalDollar literal = '$'
	literalInt    literal = '1'
	literalFloat  literal = '.'
	literalParam  literal = 'p'
)

// scanner walks over a text once. It writes the text with its literals replaced, and notes what is needed to tell a
// plain write and a text that is too deep for the grammar. It follows the lexical rules of PostgreSQL with
// standard_conforming_strings = on.
type scanner struct {
	text []byte
	pos  int
	out  []byte
	// first is the class of the first word; firstSeen is set once a token other than "(" was found.
	first     wordClass
	firstSeen bool
	// statements counts the parts between semicolons that hold a token.
	statements int
	inPart     bool
	// hazard is true when a word was seen that a plain write must not have.
	hazard bool
	// malformed is true when a quote or comment does not end.
	malformed bool
	// verbatim keeps literals, because their values are needed.
	verbatim bool
	// afterDot is true when the last token was a dot, which makes the next word a name.
	afterDot bool
	depth    depth
	list     literalList
}

var scanners = sync.Pool{New: func() any { return new(scanner) }}

// maxPooledScan bounds the buffers that are kept for reuse, in bytes.
const maxPooledScan = 64 << 10

func scan(text []byte) *scanner {
	s := scanners.Get().(*scanner)
	*s = scanner{text: text, out: s.out[:0], depth: s.depth.reset(), list: s.list.empty()}
	for s.pos < len(text) && !s.malformed {
		s.token()
	}
	return s
}

func (s *scanner) release() {
	s.text = nil
	if cap(s.out) <= maxPooledScan {
		scanners.Put(s)
	}
}

// token consumes one token, comment or run of white space.
func (s *scanner) token() {
	c := s.text[s.pos]
	switch charClasses[c] {
	case charSpace:
		s.space()
	case charLetter:
		s.word()
	case charDigit:
		s.number()
	default:
		s.symbol(c)
	}
}

func (s *scanner) symbol(c byte) {
	switch {
	case c == '\'':
		s.quoted(s.pos, literalString, false)
	case c == '"':
		s.quotedIdentifier()
	case c == '.' && s.digitAt(s.pos+1):
		s.number()
	case c == '$':
		s.dollar()
	case c == '-' && s.at(s.pos+1) == '-':
		s.lineComment()
	case c == '/' && s.at(s.pos+1) == '*':
		s.blockComment()
	default:
		s.punctuation(c)
	}
}

// start notes that a token begins which is neither space nor comment.
func (s *scanner) start() {
	if !s.inPart {
		s.inPart = true
		s.statements++
	}
}

func (s *scanner) copyTo(end int) {
	s.out = append(s.out, s.text[s.pos:end]...)
	s.pos = end
}

func (s *scanner) at(i int) byte {
	if i < len(s.text) {
		return s.text[i]
	}
	return 0
}

func (s *scanner) digitAt(i int) bool { return i < len(s.text) && isDigit(s.text[i]) }

func (s *scanner) space() {
	end := s.pos + 1
	for end < len(s.text) && isSpace(s.text[end]) {
		end++
	}
	s.copyTo(end)
}

// word consumes an identifier, a keyword, or a string constant with a prefix.
func (s *scanner) word() {
	end := s.pos + 1
	for end < len(s.text) && isIdentPart(s.text[end]) {
		end++
	}
	if end-s.pos == 1 && s.prefixed(end) {
		return
	}
	class := classifyWord(s.text[s.pos:end])
	s.name(class)
	if s.afterDot {
		class = wordOther
	}
	s.afterDot = false
	s.depth.word(class)
	s.copyTo(end)
}

// name notes an identifier or keyword.
func (s *scanner) name(class wordClass) {
	s.start()
	s.list.reset()
	s.hazard = s.hazard || class == wordHazard
	if s.firstSeen {
		return
	}
	s.firstSeen = true
	s.first = class
	s.verbatim = class == wordSet
}

// prefixed consumes a string constant or identifier whose one-letter prefix is at s.pos.
func (s *scanner) prefixed(end int) bool {
	prefix := lower(s.text[s.pos])
	if prefix == 'u' && s.at(end) == '&' && (s.at(end+1) == '\'' || s.at(end+1) == '"') {
		s.unicodeConstant(end + 1)
		return true
	}
	if s.at(end) != '\'' {
		return false
	}
	switch prefix {
	case 'e':
		s.quoted(end, literal(prefix), true)
	case 'b', 'x', 'n':
		s.quoted(end, literal(prefix), false)
	default:
		return false
	}
	return true
}

// unicodeConstant copies a string or identifier in U& notation. An identifier can spell any name, so a text that has
// one is never taken for a plain write.
func (s *scanner) unicodeConstant(quote int) {
	end := s.quoteEnd(quote+1, s.text[quote], false)
	if end < 0 {
		s.malformed = true
		return
	}
	s.name(wordHazard)
	s.afterDot = false
	s.depth.word(wordOther)
	s.copyTo(end)
}

// quoted consumes a string constant from s.pos whose opening quote is at quote.
func (s *scanner) quoted(quote int, class literal, escapes bool) {
	end := s.quoteEnd(quote+1, '\'', escapes)
	if end < 0 {
		s.malformed = true
		return
	}
	s.literal(class, end, s.text[s.pos:quote+1], "'")
}

// literal consumes the literal that ends before end and writes opening and closing in its place.
func (s *scanner) literal(class literal, end int, opening []byte, closing string) {
	s.start()
	s.firstSeen = true
	s.afterDot = false
	if s.verbatim {
		s.list.reset()
		s.copyTo(end)
		return
	}
	s.pos = end
	if s.list.repeats(class) {
		s.out = s.out[:s.list.lastEnd]
		s.list.commas = 0
		return
	}
	s.out = append(s.out, opening...)
	s.out = append(s.out, closing...)
	s.list.written(class, len(s.out))
}

// quoteEnd returns the index after the closing quote, or -1. A doubled quote stands for itself.
func (s *scanner) quoteEnd(i int, quote byte, escapes bool) int {
	for i < len(s.text) {
		switch c := s.text[i]; {
		case escapes && c == '\\':
			i += 2
		case c != quote:
			i++
		case s.at(i+1) == quote:
			i += 2
		default:
			return i + 1
		}
	}
	return -1
}

func (s *scanner) quotedIdentifier() {
	end := s.quoteEnd(s.pos+1, '"', false)
	if end < 0 {
		s.malformed = true
		return
	}
	class := wordOther
	if classifyWord(s.text[s.pos+1:end-1]) == wordHazard {
		class = wordHazard
	}
	s.name(class)
	s.afterDot = false
	s.depth.word(wordOther)
	s.copyTo(end)
}

// dollar consumes a parameter or a dollar-quoted string.
func (s *scanner) dollar() {
	end := s.pos + 1
	if s.digitAt(end) {
		s.parameter(end)
		return
	}
	for end < len(s.text) && s.text[end] != '$' && isIdentPart(s.text[end]) {
		end++
	}
	if s.at(end) != '$' {
		s.punctuation('$')
		return
	}
	tag := s.text[s.pos : end+1]
	length := bytes.Index(s.text[end+1:], tag)
	if length < 0 {
		s.malformed = true
		return
	}
	s.literal(literalDollar, end+1+length+len(tag), nil, "$$$$")
}

// parameter consumes a parameter whose first digit is at end.
func (s *scanner) parameter(end int) {
	for s.digitAt(end) {
		end++
	}
	if isIdentPart(s.at(end)) {
		s.junk(end)
		return
	}
	s.literal(literalParam, end, nil, "$1")
}

// number consumes a numeric constant. Only plain decimal integers and fractions are replaced.
func (s *scanner) number() {
	end := s.pos
	for s.digitAt(end) {
		end++
	}
	class := integerClass(s.text[s.pos:end])
	if s.at(end) == '.' && s.at(end+1) != '.' {
		class = literalFloat
		end++
		for s.digitAt(end) {
			end++
		}
	}
	next := s.at(end)
	if isIdentPart(next) || next == '.' {
		s.junk(end)
		return
	}
	if class == literalInt {
		s.literal(class, end, nil, "1")
		return
	}
	s.literal(class, end, nil, "1.5")
}

// integerClass returns the token class of a decimal integer: above 32 bits the grammar sees a float.
func integerClass(digits []byte) literal {
	digits = bytes.TrimLeft(digits, "0")
	const largest = "2147483647"
	if len(digits) < len(largest) || len(digits) == len(largest) && string(digits) <= largest {
		return literalInt
	}
	return literalFloat
}

// junk copies a number in a notation that is not replaced: exponents, other bases, separators and malformed ones.
func (s *scanner) junk(end int) {
	for end < len(s.text) && (isIdentPart(s.text[end]) || s.text[end] == '.') {
		end++
	}
	s.start()
	s.firstSeen = true
	s.afterDot = false
	s.list.reset()
	s.copyTo(end)
}

func (s *scanner) lineComment() {
	end := len(s.text)
	if i := bytes.IndexAny(s.text[s.pos:], "\r\n"); i >= 0 {
		end = s.pos + i
	}
	s.pos = end
	s.out = append(s.out, "--"...)
}

// blockComment skips a comment, which may hold further comments.
func (s *scanner) blockComment() {
	open := 1
	i := s.pos + 2
	for open > 0 {
		switch {
		case i >= len(s.text):
			s.malformed = true
			return
		case s.text[i] == '*' && s.at(i+1) == '/':
			open--
			i += 2
		case s.text[i] == '/' && s.at(i+1) == '*':
			open++
			i += 2
		default:
			i++
		}
	}
	s.pos = i
	s.list.reset()
	s.out = append(s.out, "/**/"...)
}

func (s *scanner) punctuation(c byte) {
	if c == ';' {
		s.inPart = false
		s.list.reset()
		s.depth.semicolon()
		s.copyTo(s.pos + 1)
		return
	}
	s.start()
	s.afterDot = c == '.'
	if c != '(' {
		s.firstSeen = true
	}
	s.depth.punctuation(c)
	switch c {
	case '(':
		s.list.open(len(s.out))
		s.copyTo(s.pos + 1)
	case ')':
		s.copyTo(s.pos + 1)
		s.out = s.list.close(s.out)
	case ',':
		s.list.comma()
		s.copyTo(s.pos + 1)
	default:
		s.list.reset()
		s.copyTo(s.pos + 1)
	}
}

// charClass selects how a character starts or continues a token.
type charClass uint8

const (
	charOther charClass = iota
	charSpace
	charLetter
	charDigit
	charDollar
)

// charClasses follows PostgreSQL's scan.l: every byte above ASCII is a letter, and $ continues an identifier.
var charClasses = buildCharClasses()

func buildCharClasses() (t [256]charClass) {
	for i := range t {
		c := byte(i)
		switch {
		case c == ' ' || '\t' <= c && c <= '\r':
			t[i] = charSpace
		case 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || c == '_' || c >= 0x80:
			t[i] = charLetter
		case '0' <= c && c <= '9':
			t[i] = charDigit
		case c == '$':
			t[i] = charDollar
		}
	}
	return t
}

func isSpace(c byte) bool     { return charClasses[c] == charSpace }
func isDigit(c byte) bool     { return charClasses[c] == charDigit }
func isIdentPart(c byte) bool { return charClasses[c] >= charLetter }
