package experiment

import (
	"context"
	"runtime"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/measure"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// progressEvery is the time between two progress lines.
	progressEvery = 5 * time.Second
	// connectLimit bounds the opening of all connections before the load starts.
	connectLimit = 60 * time.Second
	// settleLimit bounds the wait for a primary in each group after the load.
	settleLimit = 30 * time.Second
	// settlePause is the time between two attempts to read the final state.
	settlePause = 100 * time.Millisecond
	// closeLimit bounds the end of a fleet.
	closeLimit = 60 * time.Second
	// leadTime is the time between the decision to start and the first offset of the schedule.
	leadTime = 50 * time.Millisecond
)

// Runner runs experiments on fleets that Start makes.
type Runner struct {
	Start Starter
	// FleetName is written to the results.
	FleetName string
	Log       hclog.Logger
}

// run is one repeat of an experiment in one mode.
type run struct {
	experiment *Experiment
	mode       Mode
	seed       uint64
	log        hclog.Logger
	fleet      Fleet
	target     *target
	injector   *injector
	start      time.Time
}

// Run runs one repeat and returns its result. An error means that the run could not be carried out.
func (r *Runner) Run(ctx context.Context, e *Experiment, m Mode, repeat int) (*measure.Result, error) {
	x := &run{experiment: e, mode: m, seed: e.Seed + uint64(repeat)}
	x.log = r.Log.With("experiment", e.Name, "mode", m, "repeat", repeat)
	result := &measure.Result{
		Experiment: e.Name, Deployment: e.Deployment, Mode: string(m), Fleet: r.FleetName, Repeat: repeat,
		Seed: x.seed, Started: time.Now(), Duration: e.Duration.D(),
	}
	fleet, err := r.Start(ctx, m, &e.Topology)
	if err != nil {
		return nil, errors.Wrap(err, "step=start fleet")
	}
	x.fleet = fleet
	err = x.measure(ctx, result)
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeLimit)
	defer cancel()
	if closeErr := fleet.Close(closing); closeErr != nil && err == nil {
		err = errors.Wrap(closeErr, "step=close fleet")
	}
	return result, err
}

// measure sets up the data, runs load and faults, reads the final state and fills in the result.
func (x *run) measure(ctx context.Context, result *measure.Result) error {
	if err := x.setUp(ctx); err != nil {
		return err
	}
	faults := x.experiment.schedule(x.seed)
	contracts := x.experiment.contracts(faults)
	schedule, err := load.NewSchedule(&x.experiment.Load, contracts, x.experiment.Duration.D(), x.seed)
	if err != nil {
		return errors.Wrap(err, "step=schedule")
	}
	x.target = newTarget(x.fleet, &x.experiment.Topology, x.mode)
	x.injector = newInjector(x.fleet, &x.experiment.Topology, x.log)
	history, err := x.load(ctx, schedule, faults, result)
	if err != nil {
		return err
	}
	if err := x.injector.restore(ctx); err != nil {
		return err
	}
	input := &check.Input{
		Start: x.start, End: time.Now(), Operations: history.Operations, Requests: history.Requests,
		Tagged: x.mode == ModeCelerystep,
	}
	if err := x.collect(ctx, input); err != nil {
		return err
	}
	x.fill(result, input, contracts)
	return nil
}

// setUp creates the tables and rows.
func (x *run) setUp(ctx context.Context) error {
	for i := range x.experiment.Topology.Groups {
		g := &x.experiment.Topology.Groups[i]
		for _, sql := range x.experiment.Load.Setup(g.Database) {
			if _, err := x.fleet.Query(ctx, g.ID, sql); err != nil {
				return errors.Wrapf(err, "step=setup group=%s", g.ID)
			}
		}
	}
	return nil
}

// load runs the schedule and the faults side by side.
func (x *run) load(ctx context.Context, s *load.Schedule, faults []Fault, result *measure.Result) (load.History, error) {
	generator := load.NewGenerator(s, load.Options{
		Target: x.target, Proxy: x.mode == ModeCelerystep,
		IdleClose: x.experiment.Load.IdleClose[string(x.mode)].D(),
	})
	connecting, cancel := context.WithTimeout(ctx, connectLimit)
	generator.Connect(connecting)
	cancel()
	x.log.Info("load starts", "arrivals", s.Len(), "sessions", s.Sessions(), "duration", x.experiment.Duration.D())
	// What the setup left behind must not be collected during the run.
	runtime.GC()
	usage, err := load.StartUsage()
	if err != nil {
		return load.History{}, err
	}
	x.start = time.Now().Add(leadTime)
	var history load.History
	group, ctx := errgroup.WithContext(ctx)
	finished := make(chan struct{})
	group.Go(func() error {
		defer close(finished)
		history = generator.Run(ctx, x.start)
		return ctx.Err()
	})
	group.Go(func() error {
		x.injector.run(ctx, x.start, faults)
		return nil
	})
	group.Go(func() error {
		x.reportProgress(generator, finished)
		return nil
	})
	err = group.Wait()
	if stopErr := usage.Stop(&result.SelfCheck); err == nil {
		err = stopErr
	}
	if err != nil {
		return history, errors.Wrap(err, "step=load")
	}
	return history, nil
}

// reportProgress logs the running totals until the load has finished.
func (x *run) reportProgress(g *load.Generator, finished <-chan struct{}) {
	t := time.NewTicker(progressEvery)
	defer t.Stop()
	for {
		select {
		case <-finished:
			return
		case <-t.C:
			c := g.Counts()
			x.log.Info("progress", "at", time.Since(x.start).Round(time.Second), "of", x.experiment.Duration.D(),
				"requests", c.Sent, "ok", c.OK, "refused", c.Refused, "failed", c.Failed)
		}
	}
}

// collect reads the groups' logs and final states.
func (x *run) collect(ctx context.Context, input *check.Input) error {
	input.MemberDomains = make(map[check.MemberKey]instance.FailureDomain)
	for i := range x.experiment.Topology.Groups {
		g := &x.experiment.Topology.Groups[i]
		for _, m := range g.Members {
			input.MemberDomains[check.MemberKey{Group: g.ID, Member: m.ID}] = m.FailureDomain
		}
		final, err := x.final(ctx, g)
		if err != nil {
			return err
		}
		input.Finals = append(input.Finals, final)
		statements, err := x.fleet.Statements(g.ID)
		if err != nil {
			return errors.Wrapf(err, "step=statements group=%s", g.ID)
		}
		input.Statements = append(input.Statements, statements...)
	}
	input.InstanceDomains = x.target.instanceDomains()
	for i := range x.experiment.Topology.Customers {
		if cred, err := x.fleet.Credential(x.experiment.Topology.Customers[i].Name); err == nil && x.mode != ModeDirect {
			input.Secrets = append(input.Secrets, cred.Password)
		}
	}
	x.injector.judge(input)
	return nil
}

// final reads a group's rows and log end, waiting for a primary.
func (x *run) final(ctx context.Context, g *Group) (check.Final, error) {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	for {
		f, err := x.readFinal(ctx, g)
		if err == nil {
			return f, nil
		}
		select {
		case <-ctx.Done():
			return f, errors.Wrapf(err, "step=final state group=%s", g.ID)
		case <-time.After(settlePause):
		}
	}
}

func (x *run) readFinal(ctx context.Context, g *Group) (check.Final, error) {
	f := check.Final{Group: g.ID}
	for _, table := range x.experiment.Load.Tables(g.Database) {
		rows, err := x.fleet.Query(ctx, g.ID, load.FinalQuery(table))
		if err != nil {
			return f, err
		}
		for _, fields := range rows {
			v, ok := load.ParseRow(table, fields)
			if !ok {
				return f, errors.Errorf("table %s: row %q", table, fields)
			}
			f.Rows = append(f.Rows, v)
		}
	}
	end, err := x.fleet.Log(g.ID)
	f.Primary, f.History, f.End = end.Primary, end.History, end.End
	return f, err
}

// fill judges the run and computes its measures, unless the self-check found that it does not count.
func (x *run) fill(result *measure.Result, input *check.Input, contracts []load.ContractChange) {
	result.Marks = append(surgeMarks(&x.experiment.Load), x.injector.marks()...)
	result.Guarantees = check.Run(input)
	s := &result.SelfCheck
	s.LagP99 = load.LagP99(input.Requests)
	s.ServiceExcessP95 = load.ServiceExcessP95(input.Operations, input.Statements, x.serviceTimes())
	s.Judge(x.experiment.Bounds)
	if !s.Valid() {
		return
	}
	in := &measure.Input{
		History: input, Marks: result.Marks, Warmup: x.experiment.Warmup.D(), Duration: x.experiment.Duration.D(),
		Timeout: x.experiment.Load.RequestTimeout.D(), Contracts: contracts,
	}
	result.Measures = measure.Compute(in)
	result.Series = measure.NewSeries(in)
}

// surgeMarks returns a mark for each surge of the plan.
func surgeMarks(p *load.Plan) []measure.Mark {
	var marks []measure.Mark
	for _, s := range p.Surges {
		marks = append(marks, measure.Mark{Action: "surge", Target: s.Customer, At: s.From.D(), Ended: s.To.D()})
	}
	return marks
}

func (x *run) serviceTimes() map[upstream.GroupID]time.Duration {
	times := make(map[upstream.GroupID]time.Duration)
	for i := range x.experiment.Topology.Groups {
		g := &x.experiment.Topology.Groups[i]
		times[g.ID] = g.ServiceTime.D()
	}
	return times
}

// RunAll runs all repeats in the given modes and hands each result to done. The modes alternate and their order
// rotates with the repeats, so that a drift of the machine does not favour one of them.
func (r *Runner) RunAll(ctx context.Context, e *Experiment, modes []Mode, done func(*measure.Result) error) error {
	for repeat := range e.Repeats {
		for i := range modes {
			m := modes[(i+repeat)%len(modes)]
			result, err := r.Run(ctx, e, m, repeat)
			if err != nil {
				return errors.Wrapf(err, "experiment=%s mode=%s repeat=%d", e.Name, m, repeat)
			}
			if err := done(result); err != nil {
				return err
			}
		}
	}
	return nil
}
