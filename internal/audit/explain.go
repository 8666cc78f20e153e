package audit

import (
	"fmt"
	"strings"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
)

// Line is the explanation of one record.
type Line struct {
	Time     time.Time   `json:"time"`
	Instance instance.ID `json:"instance"`
	Kind     Kind        `json:"kind"`
	Text     string      `json:"text"`
}

// Explanation answers a query in plain sentences.
type Explanation struct {
	Summary string `json:"summary"`
	Lines   []Line `json:"lines"`
}

// Explain turns the records that the query selects into sentences, in order of time. Equal arguments give equal
// results.
func Explain(records []Record, q Query) Explanation {
	selected := Select(records, q)
	out := Explanation{Summary: summarize(selected, q)}
	for i := range selected {
		r := &selected[i]
		out.Lines = append(out.Lines, Line{Time: r.Time.UTC(), Instance: r.Instance, Kind: r.Kind, Text: Sentence(r)})
	}
	return out
}

// String formats the explanation as text with times in UTC.
func (e Explanation) String() string {
	var b strings.Builder
	b.WriteString(e.Summary + "\n")
	day := ""
	for _, l := range e.Lines {
		if d := l.Time.Format(time.DateOnly); d != day {
			day = d
			b.WriteString(d + " (UTC)\n")
		}
		fmt.Fprintf(&b, "%s %s: %s\n", l.Time.Format("15:04:05.000"), l.Instance, l.Text)
	}
	return b.String()
}

func summarize(records []Record, q Query) string {
	var about []string
	if q.Group != "" {
		about = append(about, "group "+string(q.Group))
	}
	if q.Customer != "" {
		about = append(about, "customer "+q.Customer)
	}
	if q.Trace != "" {
		about = append(about, "trace "+string(q.Trace))
	}
	subject := ""
	if len(about) > 0 {
		subject = " about " + strings.Join(about, ", ")
	}
	if len(records) == 0 {
		return "No records" + subject + "."
	}
	if len(records) == 1 {
		return "1 record" + subject + "."
	}
	return fmt.Sprintf("%d records%s.", len(records), subject)
}

// Sentence explains one record.
func Sentence(r *Record) string {
	if r.Text != "" {
		return withText(r)
	}
	f, ok := sentences[r.Kind]
	if !ok {
		return general(r)
	}
	return f(r)
}

// withText completes a sentence that came with the record.
func withText(r *Record) string {
	s := &sentence{}
	s.addIf("group %s: ", string(r.Group))
	s.add("%s", strings.TrimSuffix(r.Text, "."))
	s.addIf(" for customer %s", r.Customer)
	s.addIf(" by operator %s", r.Operator)
	s.add(" [%s", r.Kind)
	s.addIf(", cause %s", r.Cause)
	s.facts(r)
	s.add("]")
	return s.addIf(". %s", consequences[r.Kind]).end()
}

// general explains a kind without a sentence of its own.
func general(r *Record) string {
	s := begin("%s", r.Kind)
	s.addIf(" of group %s", string(r.Group))
	s.addIf(" for customer %s", r.Customer)
	s.addIf(" by operator %s", r.Operator)
	s.addIf(" because %s", r.Cause)
	s.facts(r)
	return s.end()
}

// sentence builds a text from clauses that are left out when their value is empty.
type sentence struct {
	b strings.Builder
}

func begin(format string, args ...any) *sentence {
	s := &sentence{}
	return s.add(format, args...)
}

func (s *sentence) add(format string, args ...any) *sentence {
	fmt.Fprintf(&s.b, format, args...)
	return s
}

// facts appends the numbers and inputs of a record.
func (s *sentence) facts(r *Record) {
	if r.Term != 0 {
		s.add(", term %d", r.Term)
	}
	if r.Generation != 0 {
		s.add(", generation %d", r.Generation)
	}
	if r.Version != 0 {
		s.add(", configuration version %d", r.Version)
	}
	for _, i := range r.Inputs {
		s.add(", %s=%s", i.Key, i.Value)
	}
	s.addIf(", trace %s", string(r.Trace))
}

func (s *sentence) addIf(format, value string) *sentence {
	if value != "" {
		s.add(format, value)
	}
	return s
}

// end returns the text with a full stop.
func (s *sentence) end() string {
	text := s.b.String()
	if strings.HasSuffix(text, ".") {
		return text
	}
	return text + "."
}

// orUnknown replaces an empty value.
func orUnknown(value string) string {
	if value == "" {
		return "unknown"
	}
	return value
}
