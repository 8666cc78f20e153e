package report

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/measure"
)

// simulatedFleet is the name of the fleet whose figures must not be taken for celerystep's.
const simulatedFleet = "simulated"

// setKey names the repeats of one experiment in one mode.
type setKey struct{ deployment, experiment, mode string }

func (k setKey) String() string { return k.deployment + "/" + k.experiment + " mode=" + k.mode }

// set is the repeats of one experiment in one mode.
type set struct {
	key     setKey
	results []*measure.Result
}

// group sorts results into sets, in order of first appearance.
func group(results []*measure.Result) []set {
	var sets []set
	for _, r := range results {
		k := setKey{r.Deployment, r.Experiment, r.Mode}
		i := slices.IndexFunc(sets, func(s set) bool { return s.key == k })
		if i < 0 {
			i = len(sets)
			sets = append(sets, set{key: k})
		}
		sets[i].results = append(sets[i].results, r)
	}
	return sets
}

// Summary writes the results of each experiment and mode as text.
func Summary(w io.Writer, results []*measure.Result) error {
	p := &printer{w: w}
	for _, s := range group(results) {
		p.set(s)
	}
	return p.err
}

// printer writes lines and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (p *printer) set(s set) {
	p.line("== %s: %d runs", s.key, len(s.results))
	if s.results[0].Fleet == simulatedFleet {
		p.line("   simulated fleet: these figures check the load tool and say nothing about celerystep")
	}
	counted := 0
	for _, r := range s.results {
		if r.SelfCheck.Valid() {
			counted++
			continue
		}
		p.line("   run %d does not count: %s", r.Repeat, strings.Join(r.SelfCheck.Reasons, "; "))
	}
	p.selfChecks(s.results)
	p.guarantees(s.results)
	p.skipped(s.results)
	if counted == 0 {
		p.line("   no run counts, so there are no figures")
		return
	}
	for i := range figures {
		if v := figures[i].values(s.results); len(v) > 0 {
			p.line("   %-26s %s", figures[i].name, NewSpread(v).format(figures[i].unit))
		}
	}
	p.codes("wrongful refusals by code", s.results, func(m *measure.Measures) map[string]int { return m.Refusals.ByCode })
	p.codes("failed requests by code", s.results, func(m *measure.Measures) map[string]int { return m.FailedByCode })
	p.gaps(s.results)
}

// codes writes the sums over all repeats by SQLSTATE.
func (p *printer) codes(title string, results []*measure.Result, get func(*measure.Measures) map[string]int) {
	sums := make(map[string]int)
	for _, r := range results {
		if r.Measures == nil {
			continue
		}
		for code, n := range get(r.Measures) {
			sums[code] += n
		}
	}
	if len(sums) == 0 {
		return
	}
	text := ""
	for _, code := range slices.Sorted(maps.Keys(sums)) {
		text += fmt.Sprintf(" %s=%d", code, sums[code])
	}
	p.line("   %-26s%s", title, text)
}

// selfChecks writes the worst of what the tool measured about itself.
func (p *printer) selfChecks(results []*measure.Result) {
	var worst load.SelfCheck
	for _, r := range results {
		worst.LagP99 = max(worst.LagP99, r.SelfCheck.LagP99)
		worst.CPU = max(worst.CPU, r.SelfCheck.CPU)
		worst.ServiceExcessP95 = max(worst.ServiceExcessP95, r.SelfCheck.ServiceExcessP95)
		worst.TimerLateP99 = max(worst.TimerLateP99, r.SelfCheck.TimerLateP99)
	}
	p.line("   tool: generator lag p99 %s ms, processors %s %% busy, stand-ins p95 %s ms over service time, timers p99 %s ms late",
		number(milliseconds(worst.LagP99)), number(100*worst.CPU), number(milliseconds(worst.ServiceExcessP95)),
		number(milliseconds(worst.TimerLateP99)))
}

// format shows a spread with its unit.
func (s Spread) format(unit string) string {
	text := fmt.Sprintf("%s [min %s, max %s]", number(s.Median), number(s.Min), number(s.Max))
	if unit != "" {
		text += " " + unit
	}
	if s.N > 1 {
		text += fmt.Sprintf("  interval %s..%s  n=%d", number(s.Low), number(s.High), s.N)
	}
	return text
}

// number shows three significant places of small numbers and whole large ones.
func number(v float64) string {
	if v == float64(int64(v)) || v >= 1000 || v <= -1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// severity orders verdicts; the worst of the repeats is shown.
var severity = map[check.Status]int{
	check.StatusNoCases: 0, check.StatusHeld: 1, check.StatusUndecided: 2, check.StatusViolated: 3,
}

// guarantees writes one line for each checker with its worst verdict, and the violations.
func (p *printer) guarantees(results []*measure.Result) {
	for _, g := range results[0].Guarantees {
		worst, cases, undecided, broken := check.StatusNoCases, 0, 0, 0
		var listed []check.Violation
		for _, r := range results {
			x, ok := r.Guarantees.Find(g.Checker)
			if !ok {
				continue
			}
			cases += x.Cases
			undecided += x.Undecided
			broken += x.Broken
			listed = append(listed, x.Violations...)
			if severity[x.Status] > severity[worst] {
				worst = x.Status
			}
		}
		p.line("   %-4s %-40s %-9s cases=%d undecided=%d broken=%d", g.Guarantee, g.Checker, worst, cases, undecided, broken)
		for _, v := range listed[:min(len(listed), listedViolations)] {
			p.line("        at=%s customer=%s group=%s %s %s", v.At.Format("15:04:05.000"), v.Customer, v.Group,
				strings.Join(v.Statements, ","), v.Detail)
		}
	}
	p.line(notJudged)
}

// notJudged names the guarantee that histories cannot show to be broken.
const notJudged = "   G14  configuration in force within 4 s          not judged here: it needs the instances' own versions"

// listedViolations bounds the violations of one checker in a summary; the result file holds more.
const listedViolations = 3

// skipped writes the actions that were not carried out.
func (p *printer) skipped(results []*measure.Result) {
	for _, r := range results {
		for _, m := range r.Marks {
			if m.Error != "" {
				p.line("   run %d: %s %s at %s was not carried out: %s", r.Repeat, m.Action, m.Target, m.At, m.Error)
			}
		}
	}
}

// gaps writes the distribution of the failover gaps over all repeats, by cause and group.
func (p *printer) gaps(results []*measure.Result) {
	type gapKey struct{ cause, group string }
	lengths := make(map[gapKey][]float64)
	steady := make(map[gapKey][]float64)
	censored := make(map[gapKey]int)
	for _, r := range results {
		if r.Measures == nil {
			continue
		}
		for _, g := range r.Measures.Gaps {
			k := gapKey{g.Cause, string(g.Group)}
			lengths[k] = append(lengths[k], milliseconds(g.Length))
			steady[k] = append(steady[k], milliseconds(g.Steady))
			if g.Censored {
				censored[k]++
			}
		}
	}
	keys := make([]gapKey, 0, len(lengths))
	for k := range lengths {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b gapKey) int { return cmp.Or(cmp.Compare(a.cause, b.cause), cmp.Compare(a.group, b.group)) })
	for _, k := range keys {
		v := lengths[k]
		p.line("   gap after %-18s %-14s p50=%s ms p99=%s ms n=%d without end=%d, longest before any fault %s ms",
			k.cause, k.group, number(quantile(v, 0.5)), number(quantile(v, 0.99)), len(v), censored[k], number(slices.Max(steady[k])))
	}
}
