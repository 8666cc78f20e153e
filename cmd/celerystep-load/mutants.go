package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/matrix"
	"github.com/celerystep/celerystep/internal/mutation"
)

// errNotCaught means that the matrix held although a guarantee was broken on purpose.
var errNotCaught = errors.New("not every deliberate fault was caught by the matrix")

func mutantsCommand(app *kingpin.Application) command {
	c := app.Command("mutants", "Run the matrix with each deliberate fault; needs the build tag mutants.")
	only := c.Flag("only", "Run only the deliberate fault with this name.").String()
	cells := c.Flag("cells", "Number of cells besides those of the tests.").Default("200").Int()
	seed := c.Flag("seed", "Seed of the sample and of the random choices.").Default("1").Uint64()
	return command{clause: c, run: func(ctx context.Context, _ hclog.Logger) error {
		if !mutation.Enabled {
			return errors.New("this program was built without the tag mutants")
		}
		var mutants []mutation.Mutant
		for _, m := range mutation.All() {
			if *only == "" || *only == string(m.ID) {
				mutants = append(mutants, m)
			}
		}
		o := matrix.Options{Cells: append(matrix.ShortCells(), matrix.Sample(matrix.Cells(), *cells, *seed)...), Seed: *seed}
		caught := 0
		results := matrix.RunMutants(ctx, o, mutants, os.Stdout)
		for i := range results {
			if results[i].Caught() {
				caught++
			}
		}
		fmt.Printf("caught %d of %d\n", caught, len(mutants))
		if caught < len(mutants) {
			return errNotCaught
		}
		return ctx.Err()
	}}
}
