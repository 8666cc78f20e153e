package main

import (
	"context"
	"fmt"
	"os"
	"runtime/pprof"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/pathbench"
)

// pathFlags are the arguments of the path command.
type pathFlags struct {
	options pathbench.Options
	works   []string
	modes   []string
	idle    int
	profile string
}

func pathCommand(app *kingpin.Application) command {
	f := &pathFlags{}
	c := app.Command("path", "Measure the request path against direct connections to the primary.")
	c.Flag("callers", "Number of closed-loop callers; repeatable.").Default("1", "3", "9", "24").IntsVar(&f.options.Concurrency)
	c.Flag("service", "Time that a statement holds its slot; repeatable.").Default("1ms", "0s").DurationListVar(&f.options.ServiceTimes)
	c.Flag("work", "Workload; repeatable.").Default("read", "prepared", "write").EnumsVar(&f.works, "read", "prepared", "write")
	c.Flag("mode", "Way to the group; repeatable.").Default("direct", "home", "hop", "naive").
		EnumsVar(&f.modes, "direct", "home", "hop", "naive")
	c.Flag("repeats", "Number of times that the modes alternate.").Default("3").IntVar(&f.options.Repeats)
	c.Flag("warmup", "Time of each run that is not measured.").Default("100ms").DurationVar(&f.options.Warmup)
	c.Flag("duration", "Measured time of each run.").Default("300ms").DurationVar(&f.options.Duration)
	c.Flag("slots", "Statements that a member runs at once.").Default("3").IntVar(&f.options.Slots)
	c.Flag("connections", "Connections to the group. Direct callers need one each.").Default("30").IntVar(&f.options.Connections)
	c.Flag("idle", "Measure the memory of this number of idle callers instead.").IntVar(&f.idle)
	c.Flag("profile", "File to write a CPU profile to.").StringVar(&f.profile)
	return command{clause: c, run: f.run}
}

func (f *pathFlags) run(ctx context.Context, _ hclog.Logger) error {
	for _, w := range f.works {
		f.options.Works = append(f.options.Works, pathbench.Work(w))
	}
	for _, m := range f.modes {
		f.options.Modes = append(f.options.Modes, pathbench.Mode(m))
	}
	if f.idle > 0 {
		return f.runIdle(ctx)
	}
	stop, err := startProfile(f.profile)
	if err != nil {
		return err
	}
	defer stop()
	if err := pathbench.Header(os.Stdout); err != nil {
		return err
	}
	var written error
	err = pathbench.Run(ctx, f.options, func(c pathbench.Cell) { written = errors.Join(written, c.Write(os.Stdout)) })
	return errors.Join(err, written)
}

func (f *pathFlags) runIdle(ctx context.Context) error {
	r, err := pathbench.RunIdle(ctx, f.options, f.idle)
	if err != nil {
		return err
	}
	fmt.Printf("idle callers %d of %d wanted: %.0f bytes each (heap %.0f, stack %.0f), resident growth %.0f bytes each, load %.1f\n",
		r.Callers, r.Wanted, r.PerCaller(), r.Heap, r.Stack, r.Resident, r.Load)
	return nil
}

// startProfile writes a CPU profile to the path, if there is one, until the returned function is called.
func startProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "create profile")
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		_ = file.Close()
		return nil, errors.Wrap(err, "start profile")
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}
