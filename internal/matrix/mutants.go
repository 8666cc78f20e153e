package matrix

import (
	"context"
	"fmt"
	"io"

	"github.com/celerystep/celerystep/internal/mutation"
)

// MutantResult says what the matrix made of one deliberate fault.
type MutantResult struct {
	mutation.Mutant
	// Cells is the number of cells that ran up to the first red one.
	Cells int
	// Cell is the first that was red, empty when none was; Problems is what its checks found.
	Cell     string
	Problems []Problem
}

// Caught reports whether a check found the fault.
func (r *MutantResult) Caught() bool { return r.Cell != "" }

// RunMutants runs the cells with each deliberate fault, each up to the first red cell. It needs a build with the tag
// mutants.
func RunMutants(ctx context.Context, o Options, mutants []mutation.Mutant, out io.Writer) []MutantResult {
	o.StopAtRed = true
	var results []MutantResult
	for _, m := range mutants {
		if ctx.Err() != nil {
			break
		}
		mutation.Set(m.ID)
		report := Run(ctx, o, io.Discard)
		mutation.Set("")
		r := MutantResult{Mutant: m, Cells: len(report.Outcomes)}
		if red := report.Red(); len(red) > 0 {
			r.Cell = red[0].Cell.Name()
			r.Problems = red[0].Problems
		}
		results = append(results, r)
		fmt.Fprintln(out, r.line())
	}
	return results
}

func (r *MutantResult) line() string {
	if !r.Caught() {
		return fmt.Sprintf("%-4s %-28s not caught in %d cells", r.Guarantee, r.ID, r.Cells)
	}
	text := fmt.Sprintf("%-4s %-28s caught after %d cells, in %s", r.Guarantee, r.ID, r.Cells, r.Cell)
	for _, p := range r.Problems {
		text += fmt.Sprintf("\n         by %s: %s", p.Check, p.Detail)
	}
	return text
}
