package matrix

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// DefaultParallel is the number of cells that run at once. The machine is shared.
const DefaultParallel = 4

// Driver runs a cell against one kind of system with the seed of the run. RunCell drives homes directly; a driver for a
// whole fleet shares the table, the port, the judgement and the report.
type Driver func(c Cell, seed uint64) Outcome

// Outcome is the verdict on one cell.
type Outcome struct {
	Cell Cell
	// Fired is false when a fault's step was not reached; the cell then shows nothing.
	Fired    bool
	Problems []Problem
	// Undecided counts the cases that package check could not judge, such as rows with too many unknown writes.
	Undecided int
	Took      time.Duration
}

// Held reports whether all faults fired and no check found a problem.
func (o *Outcome) Held() bool { return o.Fired && len(o.Problems) == 0 }

// RunCell runs one cell.
func RunCell(c Cell, seed uint64) Outcome {
	started := time.Now()
	o := Outcome{Cell: c}
	w, err := newWorld(c, c.seed(seed))
	if err != nil {
		o.Problems = []Problem{{AssertStart, err.Error()}}
		return o
	}
	w.execute(started)
	w.close()
	o.Fired = len(w.in.unfired()) == 0
	w.mu.Lock()
	defer w.mu.Unlock()
	o.Problems = w.problems
	o.Undecided = w.undecided
	o.Took = time.Since(started)
	return o
}

// execute runs the workload through the protocol, heals and judges.
func (w *world) execute(started time.Time) {
	if err := w.firstHomes(); err != nil {
		w.problem(AssertStart, "%s", err)
		return
	}
	w.tasks.Go(w.coordinate)
	clients := w.newClients()
	w.runWorkload(clients)
	w.heal()
	w.verifyService(clients)
	w.judge(started, clients)
}

// Options configure a run.
type Options struct {
	Cells []Cell
	// Driver runs the cells; nil means RunCell.
	Driver Driver
	// Seed changes the random choices of all cells; each cell's own seed derives from it and from the cell's name.
	Seed uint64
	// Parallel is the number of cells that run at once; 0 means DefaultParallel.
	Parallel int
	// StopAtRed starts no more cells once one was red.
	StopAtRed bool
	// Verbose prints each cell as it ends.
	Verbose bool
}

// Report is the result of a run, in the order of the cells.
type Report struct {
	Outcomes []Outcome
	Seed     uint64
	Took     time.Duration
}

// Run runs the cells. It stops early when ctx ends.
func Run(ctx context.Context, o Options, progress io.Writer) Report {
	started := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if o.Driver == nil {
		o.Driver = RunCell
	}
	outcomes := make([]Outcome, len(o.Cells))
	var workers errgroup.Group
	workers.SetLimit(max(o.Parallel, 0))
	if o.Parallel == 0 {
		workers.SetLimit(DefaultParallel)
	}
	for i, c := range o.Cells {
		workers.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			outcomes[i] = o.Driver(c, o.Seed)
			if o.StopAtRed && len(outcomes[i].Problems) > 0 {
				cancel()
			}
			if o.Verbose {
				fmt.Fprintln(progress, outcomes[i].line())
			}
			return nil
		})
	}
	_ = workers.Wait()
	outcomes = slices.DeleteFunc(outcomes, func(x Outcome) bool { return x.Cell.Protocol == "" })
	return Report{Outcomes: outcomes, Seed: o.Seed, Took: time.Since(started)}
}

func (o *Outcome) line() string {
	state := "held"
	switch {
	case len(o.Problems) > 0:
		state = "red"
	case !o.Fired:
		state = "unreached"
	}
	text := fmt.Sprintf("%-9s %-60s %s", state, o.Cell.Name(), o.Took.Round(time.Millisecond))
	for _, p := range o.Problems {
		text += fmt.Sprintf("\n    %s: %s", p.Check, p.Detail)
	}
	return text
}

// Red lists the cells in which a check found a problem.
func (r *Report) Red() []Outcome {
	var list []Outcome
	for _, o := range r.Outcomes {
		if len(o.Problems) > 0 {
			list = append(list, o)
		}
	}
	return list
}

// tally counts the cells of one protocol.
type tally struct{ cells, held, red, unreached int }

func (t *tally) add(o *Outcome) {
	t.cells++
	switch {
	case len(o.Problems) > 0:
		t.red++
	case !o.Fired:
		t.unreached++
	default:
		t.held++
	}
}

// Write prints one line for each protocol, a total, and the red cells with the command that repeats each.
func (r *Report) Write(out io.Writer) error {
	var b strings.Builder
	var total tally
	for _, p := range protocolSteps {
		var t tally
		for i := range r.Outcomes {
			if o := &r.Outcomes[i]; o.Cell.Protocol == p.protocol {
				t.add(o)
				total.add(o)
			}
		}
		writeTally(&b, string(p.protocol), t)
	}
	writeTally(&b, "total", total)
	undecided := 0
	for _, o := range r.Outcomes {
		undecided += o.Undecided
	}
	fmt.Fprintf(&b, "seed %d, %s, %d cases that the checkers could not decide\n", r.Seed, r.Took.Round(time.Millisecond), undecided)
	for _, o := range r.Outcomes {
		if o.Held() {
			continue
		}
		fmt.Fprintln(&b, o.line())
		fmt.Fprintf(&b, "    repeat: celerystep-load matrix --seed %d --cell '%s'\n", r.Seed, o.Cell.Name())
	}
	_, err := io.WriteString(out, b.String())
	return err
}

func writeTally(b *strings.Builder, name string, t tally) {
	fmt.Fprintf(b, "%-11s cells %5d  held %5d  red %4d  unreached %4d\n", name, t.cells, t.held, t.red, t.unreached)
}
