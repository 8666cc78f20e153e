package jsoncheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// maxDepth bounds the nesting of a document. The deepest path of the settings and of the cluster has six levels.
const maxDepth = 32

// Positions maps the paths of a document to their lines.
type Positions struct {
	offsets map[string]int64
	// newlines holds the offsets of the line ends.
	newlines []int64
}

// Line returns the line of the path or, when the document lacks it, of the nearest parent.
func (p *Positions) Line(path string) int {
	for {
		if off, ok := p.offsets[path]; ok {
			return p.lineAt(off)
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return p.lineAt(p.offsets[""])
		}
		path = path[:cut]
	}
}

func (p *Positions) lineAt(off int64) int {
	return sort.Search(len(p.newlines), func(i int) bool { return p.newlines[i] >= off }) + 1
}

// path joins the tokens of an instance location. A token is an array index when the document has such an element.
func (p *Positions) path(tokens []string) string {
	path := ""
	for _, t := range tokens {
		element := path + "[" + t + "]"
		if _, ok := p.offsets[element]; ok {
			path = element
			continue
		}
		path = child(path, t)
	}
	return path
}

func child(parent, field string) string {
	if strings.ContainsAny(field, ".[] \"") {
		return parent + "[" + strconv.Quote(field) + "]"
	}
	if parent == "" {
		return field
	}
	return parent + "." + field
}

type scanner struct {
	dec      *json.Decoder
	pos      *Positions
	problems []Problem
}

// scan records where each value starts and reports repeated fields. It returns nil positions for a document that is
// not one JSON value.
func scan(document []byte) (*Positions, []Problem) {
	s := &scanner{
		dec: json.NewDecoder(bytes.NewReader(document)),
		pos: &Positions{offsets: map[string]int64{"": 0}},
	}
	s.dec.UseNumber()
	for i, b := range document {
		if b == '\n' {
			s.pos.newlines = append(s.pos.newlines, int64(i))
		}
	}
	if err := s.value("", 0); err != nil {
		return nil, []Problem{s.syntax(err)}
	}
	if _, err := s.dec.Token(); err != io.EOF {
		return nil, []Problem{s.syntax(errors.New("text after the end of the document"))}
	}
	return s.pos, s.problems
}

func (s *scanner) syntax(err error) Problem {
	off := s.dec.InputOffset()
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		off = syntax.Offset
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = errors.New("the document ends too early")
	}
	return Problem{Line: s.pos.lineAt(off), Message: "not valid JSON: " + err.Error()}
}

func (s *scanner) value(path string, depth int) error {
	if depth > maxDepth {
		return errors.Errorf("more than %d levels of nesting", maxDepth)
	}
	token, err := s.dec.Token()
	if err != nil {
		return err
	}
	s.pos.offsets[path] = s.dec.InputOffset()
	switch token {
	case json.Delim('{'):
		return s.object(path, depth)
	case json.Delim('['):
		return s.array(path, depth)
	}
	return nil
}

func (s *scanner) object(path string, depth int) error {
	seen := make(map[string]bool)
	for s.dec.More() {
		token, err := s.dec.Token()
		if err != nil {
			return err
		}
		field, ok := token.(string)
		if !ok {
			return errors.Errorf("field name expected, got %v", token)
		}
		sub := child(path, field)
		if seen[field] {
			line := s.pos.lineAt(s.dec.InputOffset())
			s.problems = append(s.problems, Problem{Path: sub, Line: line, Message: "field given twice"})
		}
		seen[field] = true
		if err := s.value(sub, depth+1); err != nil {
			return err
		}
	}
	_, err := s.dec.Token()
	return err
}

func (s *scanner) array(path string, depth int) error {
	for i := 0; s.dec.More(); i++ {
		if err := s.value(fmt.Sprintf("%s[%d]", path, i), depth+1); err != nil {
			return err
		}
	}
	_, err := s.dec.Token()
	return err
}
