package classify

import "strings"

// wordClass tells the scanner what a word means for it. Words are compared in lower case.
type wordClass uint8

const (
	wordOther wordClass = iota
	// wordDML starts a statement that is a write whatever follows.
	wordDML
	// wordQuery starts a statement that is a read or a plain write.
	wordQuery
	// wordSet starts a SET statement, whose literals are needed.
	wordSet
	// wordSession starts a statement that concerns the session and is refused when the grammar rejects it.
	wordSession
	// wordHazard occurs in statements that change or need the state of one upstream connection.
	wordHazard
	// wordChain builds trees whose depth grows with their number even across commas.
	wordChain
	wordCase
	wordEnd
	// wordBranch separates the expressions of a CASE.
	wordBranch
	wordBetween
	wordAnd
	wordOr
)

// maxWordBytes bounds the words that are looked up; longer ones are ordinary identifiers.
const maxWordBytes = 31

var words = map[string]wordClass{
	"insert": wordDML, "update": wordDML, "delete": wordDML, "merge": wordDML,
	"select": wordQuery, "with": wordQuery, "values": wordQuery, "table": wordQuery,
	"set":  wordSet,
	"copy": wordSession, "listen": wordSession, "prepare": wordSession, "load": wordSession,
	"reset": wordSession, "discard": wordSession, "execute": wordSession, "deallocate": wordSession,
	"temp": wordHazard, "temporary": wordHazard, "set_config": wordHazard,
	"union": wordChain, "intersect": wordChain, "except": wordChain, "join": wordChain,
	"case": wordCase, "end": wordEnd, "when": wordBranch, "then": wordBranch, "else": wordBranch,
	"between": wordBetween, "and": wordAnd, "or": wordOr,
}

// hazardPrefixes start the names of functions and schemas that belong to one connection.
var hazardPrefixes = []string{"pg_advisory", "pg_try_advisory", "pg_temp"}

// wordFilter skips the map lookup for words that cannot be in it, by length and first letter.
var wordFilter = buildWordFilter()

func buildWordFilter() (f [maxWordBytes + 1][256]bool) {
	for w := range words {
		f[len(w)][w[0]] = true
	}
	return f
}

// classifyWord looks up a word in any case.
func classifyWord(word []byte) wordClass {
	n := len(word)
	if n == 0 || n > maxWordBytes {
		return wordOther
	}
	first := lower(word[0])
	if first == 'p' && n > len("pg_") && word[2] == '_' {
		return classifyCatalogName(word)
	}
	if !wordFilter[n][first] {
		return wordOther
	}
	var buf [maxWordBytes]byte
	for i, c := range word {
		buf[i] = lower(c)
	}
	return words[string(buf[:n])]
}

func classifyCatalogName(word []byte) wordClass {
	name := strings.ToLower(string(word))
	for _, p := range hazardPrefixes {
		if strings.HasPrefix(name, p) {
			return wordHazard
		}
	}
	return wordOther
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + ('a' - 'A')
	}
	return c
}
