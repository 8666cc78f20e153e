// Package position compares positions in the replicated log of a database group across changes of primary.
package position

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Term is the number of a primary's tenure in a group. It increases with each promotion.
type Term uint64

// LSN is a log sequence number. It counts records from the start of the log; 0 is the empty log.
type LSN uint64

// Position identifies a record in the log by the term of the primary that wrote it and its LSN.
type Position struct {
	Term Term `json:"term"`
	LSN  LSN  `json:"lsn"`
}

// IsZero reports whether the position is the start of an empty log.
func (p Position) IsZero() bool { return p == Position{} }

// String formats the position as term/lsn.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Term, p.LSN) }

// Parse parses the term/lsn form.
func Parse(s string) (Position, error) {
	term, lsn, ok := strings.Cut(s, "/")
	if !ok {
		return Position{}, errors.Errorf("position %q: missing separator", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, errors.Wrap(err, "position term")
	}
	l, err := strconv.ParseUint(lsn, 10, 64)
	if err != nil {
		return Position{}, errors.Wrap(err, "position lsn")
	}
	return Position{Term: Term(t), LSN: LSN(l)}, nil
}

// Less orders log ends for the selection of a new primary: by the term of the last record, then by length. It must not be
// used to decide whether a log contains a position of another term; see History.Contains.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.LSN < q.LSN
}

// Max returns the later of two log ends in the order of Less.
func Max(p, q Position) Position {
	if p.Less(q) {
		return q
	}
	return p
}

// TermStart records where a term began: Start is the LSN of the last record written before it.
type TermStart struct {
	Term  Term `json:"term"`
	Start LSN  `json:"start"`
}

// History lists the terms found in a log in ascending order of term.
type History []TermStart

// LastTerm returns the latest term of the history, or 0 if it is empty.
func (h History) LastTerm() Term {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].Term
}

// EndOf returns the last LSN of the given term or an earlier one, and whether a later term bounds it.
func (h History) EndOf(t Term) (LSN, bool) {
	for _, s := range h {
		if s.Term > t {
			return s.Start, true
		}
	}
	return 0, false
}

// Contains reports whether a log with this history, applied up to the given LSN, contains position p.
func (h History) Contains(applied LSN, p Position) bool {
	if p.IsZero() {
		return true
	}
	if p.Term > h.LastTerm() || applied < p.LSN {
		return false
	}
	end, bounded := h.EndOf(p.Term)
	return !bounded || p.LSN <= end
}

// Clamp reduces p to the end of its term. The second result is true if p lay beyond it, which means that the record at p
// was never acknowledged or that an acknowledged record was lost.
func (h History) Clamp(p Position) (Position, bool) {
	end, bounded := h.EndOf(p.Term)
	if !bounded || p.LSN <= end {
		return p, false
	}
	return Position{Term: p.Term, LSN: end}, true
}
