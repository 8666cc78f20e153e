package main

import (
	"context"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/experiment"
	"github.com/celerystep/celerystep/internal/fleet"
	"github.com/celerystep/celerystep/internal/measure"
	"github.com/celerystep/celerystep/internal/report"
	"github.com/celerystep/celerystep/internal/simfleet"
)

// fleets holds the kinds of fleet that can be measured.
var fleets = map[string]experiment.Starter{
	"simulated":  simfleet.Starter(),
	defaultFleet: fleet.Starter(fleetLog()),
}

// defaultFleet is the kind that the figures of celerystep come from.
const defaultFleet = "local"

// defaultDirectory holds the ready experiments.
const defaultDirectory = "experiments"

// runFlags are the arguments of the run command.
type runFlags struct {
	experiments []string
	directory   string
	fleet       string
	mode        string
	interleave  string
	repeats     int
	seed        uint64
	out         string
	html        string
}

func runCommand(app *kingpin.Application) command {
	f := &runFlags{}
	c := app.Command("run", "Run experiments and print their figures.")
	c.Arg("experiment", "Path of a file, or deployment/name of a ready experiment.").Required().StringsVar(&f.experiments)
	c.Flag("dir", "Directory of the ready experiments.").Default(defaultDirectory).StringVar(&f.directory)
	c.Flag("fleet", "Kind of fleet.").Default(defaultFleet).StringVar(&f.fleet)
	c.Flag("mode", "What stands before the groups.").Default(string(experiment.ModeCelerystep)).
		EnumVar(&f.mode, modeNames()...)
	c.Flag("interleave", "Modes to alternate, separated by commas; the ratios are over the first one.").StringVar(&f.interleave)
	c.Flag("repeats", "Number of repeats; 0 takes the experiment's.").IntVar(&f.repeats)
	c.Flag("seed", "Seed of the first repeat; 0 takes the experiment's.").Uint64Var(&f.seed)
	c.Flag("out", "File to append results to, as JSON lines.").StringVar(&f.out)
	c.Flag("html", "File to write an HTML report to.").StringVar(&f.html)
	return command{clause: c, run: f.run}
}

func modeNames() []string {
	return []string{string(experiment.ModeCelerystep), string(experiment.ModeNaive), string(experiment.ModeDirect)}
}

// modes returns the modes to run.
func (f *runFlags) modes() ([]experiment.Mode, error) {
	if f.interleave == "" {
		return []experiment.Mode{experiment.Mode(f.mode)}, nil
	}
	var list []experiment.Mode
	for _, name := range strings.Split(f.interleave, ",") {
		m := experiment.Mode(name)
		switch m {
		case experiment.ModeCelerystep, experiment.ModeNaive, experiment.ModeDirect:
			list = append(list, m)
		default:
			return nil, errors.Errorf("--interleave: unknown mode %q", name)
		}
	}
	return list, nil
}

func (f *runFlags) run(ctx context.Context, log hclog.Logger) error {
	modes, err := f.modes()
	if err != nil {
		return err
	}
	start, ok := fleets[f.fleet]
	if !ok {
		return errors.Errorf("--fleet: %q is not part of this program", f.fleet)
	}
	experiments, err := f.load()
	if err != nil {
		return err
	}
	// Opened before the first run, so that a wrong path does not cost the results.
	out, err := f.open()
	if err != nil {
		return err
	}
	defer out.Close()
	runner := &experiment.Runner{Start: start, FleetName: f.fleet, Log: log}
	var results []*measure.Result
	keep := func(r *measure.Result) error {
		results = append(results, r)
		return report.Write(out, r)
	}
	for _, e := range experiments {
		if err := runner.RunAll(ctx, e, modes, keep); err != nil {
			return err
		}
	}
	if err := f.show(results, len(modes) > 1); err != nil {
		return err
	}
	return verdict(results)
}

// load reads the experiments and applies the flags that override them.
func (f *runFlags) load() ([]*experiment.Experiment, error) {
	var list []*experiment.Experiment
	for _, name := range f.experiments {
		e, err := experiment.Load(experiment.Find(f.directory, name))
		if err != nil {
			return nil, err
		}
		if f.repeats > 0 {
			e.Repeats = f.repeats
		}
		if f.seed > 0 {
			e.Seed = f.seed
		}
		list = append(list, e)
	}
	return list, nil
}

// open returns the file that results are appended to, or one that keeps nothing.
func (f *runFlags) open() (*os.File, error) {
	path := f.out
	if path == "" {
		path = os.DevNull
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open results")
	}
	return file, nil
}

func (f *runFlags) show(results []*measure.Result, compare bool) error {
	if err := report.Summary(os.Stdout, results); err != nil {
		return err
	}
	if compare {
		if err := report.CompareModes(os.Stdout, results); err != nil {
			return err
		}
	}
	return writeHTML(f.html, results)
}

// verdict returns errViolated or errNotCounted when a run calls for it. The baselines promise nothing.
func verdict(results []*measure.Result) error {
	for _, r := range results {
		if r.Mode == string(experiment.ModeCelerystep) && r.Guarantees.Violated() {
			return errViolated
		}
	}
	for _, r := range results {
		if !r.SelfCheck.Valid() {
			return errNotCounted
		}
	}
	return nil
}

// fleetLog returns the logger for the parts of a local fleet, which CELERYSTEP_FLEET_LOG names a file for.
func fleetLog() hclog.Logger {
	path := os.Getenv("CELERYSTEP_FLEET_LOG")
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil
	}
	return hclog.New(&hclog.LoggerOptions{Name: "fleet", Output: f, Level: hclog.Debug})
}
