package exchange

import (
	"bytes"
	"strings"
)

// CountStatements returns the number of statements in the encoded messages, which is their cost in the customer's token
// bucket: one for each Execute and one for each statement of a Query. Counting stops at a malformed message.
func CountStatements(messages []byte) int {
	n := 0
	for rest := messages; len(rest) > 0; {
		m, tail, err := nextMessage(rest)
		if err != nil {
			break
		}
		switch m[0] {
		case typeExecute:
			n++
		case typeQuery:
			n += queryStatements(bytes.TrimSuffix(m[headerBytes:], []byte{0}))
		}
		rest = tail
	}
	return n
}

func queryStatements(q []byte) int {
	if bytes.IndexByte(q, ';') < 0 {
		return 1
	}
	return countStatements(string(q))
}

// countStatements counts the statements of a simple query. Semicolons in literals, quoted names, dollar quotes and
// comments do not separate statements.
func countStatements(q string) int {
	n := 0
	filled := false
	for i := 0; i < len(q); {
		switch c := q[i]; {
		case c == ';':
			if filled {
				n++
			}
			filled = false
			i++
		case c == ' ' || c == '\n' || c == '\t' || c == '\r' || c == '\f':
			i++
		case strings.HasPrefix(q[i:], "--"):
			i = skipTo(q, i+2, "\n")
		case strings.HasPrefix(q[i:], "/*"):
			i = skipComment(q, i)
		default:
			filled = true
			i = skipToken(q, i)
		}
	}
	if filled {
		n++
	}
	return max(1, n)
}

// skipToken returns the index after the literal, name or single byte at i.
func skipToken(q string, i int) int {
	switch c := q[i]; {
	case c == '\'' || c == '"':
		return skipTo(q, i+1, q[i:i+1])
	case c == '$':
		if tag := dollarTag(q[i:]); tag != "" {
			return skipTo(q, i+len(tag), tag)
		}
	case (c == 'e' || c == 'E') && strings.HasPrefix(q[i+1:], "'"):
		return skipEscapeString(q, i+2)
	case isNameStart(c):
		return skipName(q, i)
	}
	return i + 1
}

// skipEscapeString returns the index after the literal whose text begins at i, where a backslash escapes a quote.
func skipEscapeString(q string, i int) int {
	for i < len(q) {
		switch q[i] {
		case '\\':
			i++
		case '\'':
			return i + 1
		}
		i++
	}
	return len(q)
}

func skipName(q string, i int) int {
	for i < len(q) && (isNameStart(q[i]) || q[i] >= '0' && q[i] <= '9' || q[i] == '$') {
		i++
	}
	return i
}

func isNameStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

// skipTo returns the index after the next occurrence of end, or the end of the text.
func skipTo(q string, i int, end string) int {
	at := strings.Index(q[i:], end)
	if at < 0 {
		return len(q)
	}
	return i + at + len(end)
}

// skipComment returns the index after the comment at i; comments nest.
func skipComment(q string, i int) int {
	depth := 0
	for i < len(q) {
		switch {
		case strings.HasPrefix(q[i:], "/*"):
			depth++
			i += 2
		case strings.HasPrefix(q[i:], "*/"):
			depth--
			i += 2
			if depth == 0 {
				return i
			}
		default:
			i++
		}
	}
	return i
}

// dollarTag returns the opening tag of a dollar-quoted literal, or "".
func dollarTag(q string) string {
	for i := 1; i < len(q); i++ {
		c := q[i]
		if c == '$' {
			return q[:i+1]
		}
		if !isNameStart(c) && !(i > 1 && c >= '0' && c <= '9') {
			return ""
		}
	}
	return ""
}
