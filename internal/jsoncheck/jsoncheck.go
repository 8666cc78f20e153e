// Package jsoncheck checks JSON documents against a JSON schema and reports each mistake with its path and line.
package jsoncheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Problem is one mistake in a document.
type Problem struct {
	// Path locates the value, for example customers[3].keys[0].name; it is empty for the whole document.
	Path string `json:"path"`
	// Line counts from 1; 0 means that the line is not known.
	Line int `json:"line,omitempty"`
	// Message says what is wrong. It never holds the value of a secret field.
	Message string `json:"message"`
}

// String formats the problem as "line 4: path: message".
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Path != "" {
		b.WriteString(p.Path + ": ")
	}
	b.WriteString(p.Message)
	return b.String()
}

// Problems is an error that holds every mistake found in a document.
type Problems []Problem

// Error lists the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, q := range p {
		lines = append(lines, q.String())
	}
	return strings.Join(lines, "\n")
}

// Schema is a compiled JSON schema.
type Schema struct {
	compiled *jsonschema.Schema
}

// Compile compiles a JSON schema document. The name appears in error messages only.
func Compile(name string, document []byte) (*Schema, error) {
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(document))
	if err != nil {
		return nil, errors.Wrapf(err, "parse schema %s", name)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, parsed); err != nil {
		return nil, errors.Wrapf(err, "add schema %s", name)
	}
	compiled, err := c.Compile(name)
	if err != nil {
		return nil, errors.Wrapf(err, "compile schema %s", name)
	}
	return &Schema{compiled: compiled}, nil
}

// MustCompile is Compile for embedded schemas; it panics on an invalid one.
func MustCompile(name string, document []byte) *Schema {
	s, err := Compile(name, document)
	if err != nil {
		panic(err)
	}
	return s
}

// Check returns the mistakes of the document in order of line. The Positions serve to locate the mistakes that later
// checks find; they are nil when the document is not JSON.
func (s *Schema) Check(document []byte) ([]Problem, *Positions) {
	pos, problems := scan(document)
	if pos == nil {
		return problems, nil
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(document))
	if err != nil {
		return []Problem{{Line: 1, Message: err.Error()}}, nil
	}
	var failed *jsonschema.ValidationError
	if err := s.compiled.Validate(value); errors.As(err, &failed) {
		problems = append(problems, flatten(failed, pos)...)
	}
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return problems, pos
}

// flatten turns the leaves of a validation error into problems.
func flatten(e *jsonschema.ValidationError, pos *Positions) []Problem {
	if len(e.Causes) > 0 {
		var out []Problem
		for _, c := range e.Causes {
			out = append(out, flatten(c, pos)...)
		}
		return out
	}
	path := pos.path(e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		return eachField(pos, path, k.Properties, "unknown field")
	case *kind.Required:
		return eachField(pos, path, k.Missing, "this field is required")
	}
	text := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	return []Problem{{Path: path, Line: pos.Line(path), Message: text}}
}

func eachField(pos *Positions, parent string, fields []string, text string) []Problem {
	out := make([]Problem, 0, len(fields))
	for _, f := range fields {
		path := child(parent, f)
		out = append(out, Problem{Path: path, Line: pos.Line(path), Message: text})
	}
	return out
}

// Decode decodes a document that Check accepted into v. What the schema accepts and the Go type does not, for example
// the integer 1e3, is returned as a problem.
func Decode(document []byte, v any, pos *Positions) []Problem {
	err := json.Unmarshal(document, v)
	if err == nil {
		return nil
	}
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		text := fmt.Sprintf("%s cannot be read as %s", wrong.Value, wrong.Type)
		return []Problem{{Path: wrong.Field, Line: pos.lineAt(wrong.Offset), Message: text}}
	}
	return []Problem{{Line: 1, Message: err.Error()}}
}

// Locate fills in the lines of problems whose paths are known and puts them in order of line.
func Locate(problems []Problem, pos *Positions) {
	for i := range problems {
		problems[i].Line = pos.Line(problems[i].Path)
	}
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
}
