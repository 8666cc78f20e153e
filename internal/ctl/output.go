package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// table is a result in rows, or the JSON value that stands for it.
type table struct {
	header []string
	rows   [][]string
	value  any
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// print writes the table, or its value as JSON.
func (a *app) print(t *table) error {
	if a.o.output == "json" {
		return a.printJSON(t.value)
	}
	w := tabwriter.NewWriter(a.env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.header, "\t"))
	for _, r := range t.rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}

func (a *app) printJSON(value any) error {
	e := json.NewEncoder(a.env.Out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// say writes a line of text; nothing with JSON output.
func (a *app) say(format string, args ...any) {
	if a.o.output != "json" {
		fmt.Fprintf(a.env.Out, format+"\n", args...)
	}
}

// warn writes a line to standard error.
func (a *app) warn(format string, args ...any) {
	fmt.Fprintf(a.env.Err, "warning: "+format+"\n", args...)
}

// maxNames bounds the names in a message.
const maxNames = 20

func joinNames(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	if len(names) > maxNames {
		return strings.Join(names[:maxNames], ", ") + fmt.Sprintf(" and %d more", len(names)-maxNames)
	}
	return strings.Join(names, ", ")
}
