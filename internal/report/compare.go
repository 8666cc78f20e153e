package report

import (
	"io"

	"github.com/celerystep/celerystep/internal/measure"
)

// Compare writes for each experiment that both sides have the figures of both and the ratio b/a.
func Compare(w io.Writer, nameA string, a []*measure.Result, nameB string, b []*measure.Result) error {
	p := &printer{w: w}
	found := false
	for _, x := range group(a) {
		for _, y := range group(b) {
			if x.key == y.key {
				found = true
				p.pair(x.key.String(), nameA, x.results, nameB, y.results)
			}
		}
	}
	if !found {
		p.line("no experiment and mode is in both")
	}
	return p.err
}

// CompareModes writes the ratios of each mode over the first one of its experiment.
func CompareModes(w io.Writer, results []*measure.Result) error {
	p := &printer{w: w}
	sets := group(results)
	for i, x := range sets {
		first := true
		for _, earlier := range sets[:i] {
			first = first && !sameExperiment(earlier.key, x.key)
		}
		if !first {
			continue
		}
		for _, y := range sets[i+1:] {
			if sameExperiment(x.key, y.key) {
				p.pair(x.key.deployment+"/"+x.key.experiment, x.key.mode, x.results, y.key.mode, y.results)
			}
		}
	}
	return p.err
}

func sameExperiment(a, b setKey) bool {
	return a.deployment == b.deployment && a.experiment == b.experiment
}

// pair writes one comparison.
func (p *printer) pair(title, nameA string, a []*measure.Result, nameB string, b []*measure.Result) {
	p.line("== %s: A=%s (%d of %d runs count), B=%s (%d of %d runs count)", title,
		nameA, counted(a), len(a), nameB, counted(b), len(b))
	for i := range figures {
		f := &figures[i]
		va, vb := f.values(a), f.values(b)
		if len(va) == 0 || len(vb) == 0 {
			continue
		}
		p.line("   %-26s A %s", f.name, NewSpread(va).format(f.unit))
		p.line("   %-26s B %s", "", NewSpread(vb).format(f.unit))
		if r, ok := Ratio(va, vb); ok {
			p.line("   %-26s B/A %s  interval %s..%s", "", number(r.Median), number(r.Low), number(r.High))
		}
	}
}

func counted(results []*measure.Result) int {
	n := 0
	for _, r := range results {
		if r.Measures != nil {
			n++
		}
	}
	return n
}
