package classify

import "bytes"

// literalList shortens lists while a text is normalised: of neighbouring literals of one class, and of neighbouring
// equal groups in parentheses, only one is kept. IN lists and rows of VALUES of any length then share one cache entry.
// What is kept holds every name that was in the dropped parts, so the kind of the statement does not change.
type literalList struct {
	// lastEnd is the end of the last literal in the output if only one comma and space followed it, else 0.
	lastEnd   int
	lastClass literal
	commas    int
	groups    []group
	// here is the state of the innermost open group, or of the text.
	here siblings
}

// siblings describes the last closed group inside a group; end is 0 when another token followed it.
type siblings struct {
	start, end int
	commas     int
}

type group struct {
	start int
	// follows is true when the group follows its sibling after one comma.
	follows bool
	outer   siblings
}

func (l literalList) empty() literalList { return literalList{groups: l.groups[:0]} }

// reset notes a token that is neither literal, comma nor parenthesis.
func (l *literalList) reset() {
	l.lastEnd = 0
	l.here.end = 0
}

func (l *literalList) comma() {
	l.commas++
	l.here.commas++
}

// repeats reports whether a literal of the class follows an equal one after a single comma.
func (l *literalList) repeats(class literal) bool {
	return l.lastEnd > 0 && l.lastClass == class && l.commas == 1
}

// written notes that a literal of the class ends the output at end.
func (l *literalList) written(class literal, end int) {
	l.lastEnd = end
	l.lastClass = class
	l.commas = 0
	l.here.end = 0
}

func (l *literalList) open(at int) {
	l.groups = append(l.groups, group{start: at, follows: l.here.end > 0 && l.here.commas == 1, outer: l.here})
	l.here = siblings{}
	l.lastEnd = 0
}

// close notes a closing parenthesis at the end of out and drops the group if it equals its sibling.
func (l *literalList) close(out []byte) []byte {
	l.lastEnd = 0
	if len(l.groups) == 0 {
		l.here.end = 0
		return out
	}
	g := l.groups[len(l.groups)-1]
	l.groups = l.groups[:len(l.groups)-1]
	if g.follows && bytes.Equal(out[g.start:], out[g.outer.start:g.outer.end]) {
		l.here = siblings{start: g.outer.start, end: g.outer.end}
		return out[:g.outer.end]
	}
	l.here = siblings{start: g.start, end: len(out)}
	return out
}
