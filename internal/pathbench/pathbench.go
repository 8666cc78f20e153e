// Package pathbench measures the request path: throughput, latency, allocations and processor time of closed-loop
// callers at equal concurrency, through celerystep, the naive proxy and directly to the primary.
package pathbench

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/experiment"
	"github.com/celerystep/celerystep/internal/fleet"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/pgauth"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Mode is the way from the callers to the group.
type Mode string

// Modes in the order of interleaving. The others are compared with ModeDirect.
const (
	ModeDirect Mode = "direct"
	// ModeHome is celerystep with callers on the home instance of the group.
	ModeHome Mode = "home"
	// ModeHop is celerystep with callers on another instance, so that each statement goes over a link.
	ModeHop   Mode = "hop"
	ModeNaive Mode = "naive"
)

// Modes returns all modes in the order of interleaving.
func Modes() []Mode { return []Mode{ModeDirect, ModeHome, ModeHop, ModeNaive} }

// Work is what the callers send.
type Work string

// Workloads.
const (
	WorkRead     Work = "read"
	WorkPrepared Work = "prepared"
	WorkWrite    Work = "write"
)

// Works returns all workloads.
func Works() []Work { return []Work{WorkRead, WorkPrepared, WorkWrite} }

// text returns the statement of caller i. Each caller writes a row of its own, so that callers do not wait for locks.
func (w Work) text(i int) string {
	if w == WorkWrite {
		return fmt.Sprintf("UPDATE bench SET n = 1 WHERE id = 'k%d'", i)
	}
	return fmt.Sprintf("SELECT n FROM bench WHERE id = 'k%d'", i)
}

// Options configure a measurement.
type Options struct {
	// Concurrency lists the numbers of callers, ServiceTimes the times that a statement holds its slot.
	Concurrency  []int
	ServiceTimes []time.Duration
	Works        []Work
	Modes        []Mode
	// Repeats is the number of times that the modes alternate. Warmup and Duration are the times of each run.
	Repeats  int
	Warmup   time.Duration
	Duration time.Duration
	// Slots is the number of statements that a member runs at once, Connections the bound for the group.
	Slots       int
	Connections int
}

const (
	groupID  = upstream.GroupID("g1")
	database = "bench"
	customer = "bench"
	// memberUser is the user of direct connections to members.
	memberUser = "celerystep"
	// unlimited is a rate and burst that no run reaches, so that admission is on the path but refuses nothing.
	unlimited = 1_000_000
)

// topology describes one group with three members and n instances.
func topology(o *Options, service time.Duration, n int) *experiment.Topology {
	domains := []instance.FailureDomain{"a", "b", "c"}
	g := experiment.Group{
		ID: groupID, Database: database, Slots: o.Slots, Connections: o.Connections, ServiceTime: load.Duration(service),
	}
	for i, d := range domains {
		g.Members = append(g.Members, experiment.Member{ID: upstream.MemberID(fmt.Sprintf("m%d", i+1)), FailureDomain: d})
	}
	contract := config.Contract{RatePerSecond: unlimited, Burst: unlimited, Share: 1}
	return &experiment.Topology{
		Region: "r", FailureDomains: domains, Instances: n, Groups: []experiment.Group{g},
		Customers: []experiment.Customer{{
			Name: customer, Databases: []string{database},
			Contracts: map[config.Preset]config.Contract{config.PresetOrdinary: contract},
		}},
	}
}

// environment holds the fleets of one service time and the targets of the modes.
type environment struct {
	fleets  []*fleet.Fleet
	targets map[Mode]target
	clients pgauth.Clients
}

// startTime lets every instance finish the set-up of its SQL parser, which takes some seconds of processor time and would
// disturb the first runs.
const startTime = 4 * time.Second

// instances is the number of celerystep instances: the home of the group and one that is not.
const instances = 2

// newEnvironment starts the fleets. Each kind has a group of its own, because a home closes foreign connections.
func newEnvironment(ctx context.Context, o *Options, service time.Duration, rows int) (*environment, error) {
	e := &environment{targets: make(map[Mode]target)}
	kinds := []struct {
		mode      experiment.Mode
		instances int
	}{{experiment.ModeDirect, 1}, {experiment.ModeCelerystep, instances}, {experiment.ModeNaive, 1}}
	for _, k := range kinds {
		f, err := fleet.Start(ctx, topology(o, service, k.instances), fleet.Options{NoRelays: true, Mode: k.mode})
		if err != nil {
			return nil, errors.Join(err, e.close(ctx))
		}
		e.fleets = append(e.fleets, f)
		if err := e.setUp(ctx, f, k.mode, rows); err != nil {
			return nil, errors.Join(err, e.close(ctx))
		}
	}
	return e, nil
}

// setUp creates the rows and notes the addresses for callers.
func (e *environment) setUp(ctx context.Context, f *fleet.Fleet, m experiment.Mode, rows int) error {
	sql := "CREATE TABLE bench (id text primary key, n int)"
	for i := range rows {
		sql += fmt.Sprintf("; INSERT INTO bench VALUES ('k%d', 0)", i)
	}
	if _, err := f.Query(ctx, groupID, sql); err != nil {
		return err
	}
	if m == experiment.ModeDirect {
		primary, err := f.Primary(groupID)
		e.targets[ModeDirect] = target{primary.Address, string(groupID), load.Credential{User: memberUser}}
		return err
	}
	credential, err := f.Credential(customer)
	if err != nil {
		return err
	}
	home, _ := f.Home(groupID)
	for _, i := range f.Instances() {
		mode := ModeHop
		switch {
		case m == experiment.ModeNaive:
			mode = ModeNaive
		case i.Instance == home:
			mode = ModeHome
		}
		e.targets[mode] = target{i.Address, database, credential}
	}
	return nil
}

func (e *environment) close(ctx context.Context) error {
	var err error
	for _, f := range e.fleets {
		err = errors.Join(err, f.Close(ctx))
	}
	return err
}

// Run measures all cells of the options and hands each to report when it is complete.
func Run(ctx context.Context, o Options, report func(Cell)) error {
	for _, service := range o.ServiceTimes {
		if err := runService(ctx, &o, service, report); err != nil {
			return errors.Wrapf(err, "service time %s", service)
		}
	}
	return nil
}

func runService(ctx context.Context, o *Options, service time.Duration, report func(Cell)) (err error) {
	rows := 0
	for _, n := range o.Concurrency {
		rows = max(rows, n)
	}
	e, err := newEnvironment(ctx, o, service, rows)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, e.close(ctx)) }()
	ctxtime.Sleep(ctx, startTime)
	for _, w := range o.Works {
		for _, n := range o.Concurrency {
			cell := Cell{Service: service, Work: w, Concurrency: n, Runs: make(map[Mode][]Sample)}
			if err := e.fill(ctx, o, &cell); err != nil {
				return errors.Wrapf(err, "work=%s concurrency=%d", w, n)
			}
			report(cell)
		}
	}
	return nil
}

// fill runs the modes of a cell in turns.
func (e *environment) fill(ctx context.Context, o *Options, c *Cell) error {
	for range o.Repeats {
		for _, m := range o.Modes {
			s, err := e.run(ctx, o, m, c)
			if err != nil {
				return errors.Wrapf(err, "mode=%s", m)
			}
			c.Runs[m] = append(c.Runs[m], s)
		}
	}
	return nil
}
