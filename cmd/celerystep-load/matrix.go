package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/matrix"
)

// matrixFlags are the arguments of the matrix command.
type matrixFlags struct {
	short    bool
	cell     string
	pairs    int
	seed     uint64
	parallel int
	repeats  int
	verbose  bool
}

func matrixCommand(app *kingpin.Application) command {
	f := &matrixFlags{}
	c := app.Command("matrix", "Inject every fault at every step and judge each combination.")
	c.Flag("short", "Run the fixed sample of the tests only.").BoolVar(&f.short)
	c.Flag("cell", "Run only the cell with this name.").StringVar(&f.cell)
	c.Flag("pairs", "Number of pairs of faults to sample besides.").IntVar(&f.pairs)
	c.Flag("seed", "Seed of the random choices.").Default("1").Uint64Var(&f.seed)
	c.Flag("parallel", "Number of cells that run at once.").Default("4").IntVar(&f.parallel)
	c.Flag("repeats", "Number of times to run the cells.").Default("1").IntVar(&f.repeats)
	c.Flag("verbose", "Print each cell as it ends.").Short('v').BoolVar(&f.verbose)
	return command{clause: c, run: f.run}
}

// cells returns the cells that the flags ask for.
func (f *matrixFlags) cells() ([]matrix.Cell, error) {
	if f.cell != "" {
		c, err := matrix.Parse(f.cell)
		return []matrix.Cell{c}, err
	}
	if f.short {
		return matrix.ShortCells(), nil
	}
	return append(matrix.Cells(), matrix.Pairs(f.pairs, f.seed)...), nil
}

func (f *matrixFlags) run(ctx context.Context, _ hclog.Logger) error {
	cells, err := f.cells()
	if err != nil {
		return err
	}
	red := false
	for range max(f.repeats, 1) {
		r := matrix.Run(ctx, matrix.Options{Cells: cells, Seed: f.seed, Parallel: f.parallel, Verbose: f.verbose}, os.Stdout)
		if err := r.Write(os.Stdout); err != nil {
			return err
		}
		red = red || len(r.Red()) > 0
	}
	if red {
		return errViolated
	}
	return ctx.Err()
}
