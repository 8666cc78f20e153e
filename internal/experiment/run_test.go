package experiment_test

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/experiment"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/measure"
	"github.com/celerystep/celerystep/internal/simfleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func ms(n int) load.Duration { return load.Duration(time.Duration(n) * time.Millisecond) }

// small returns an experiment of one group and two customers that ends within two seconds.
func small(faults ...experiment.Fault) *experiment.Experiment {
	contract := func(rate float64, burst int) map[config.Preset]config.Contract {
		c := config.Contract{RatePerSecond: rate, Burst: burst, Share: 1}
		return map[config.Preset]config.Contract{config.PresetOrdinary: c, config.PresetPeak: c}
	}
	domains := []instance.FailureDomain{"d1", "d2", "d3"}
	group := experiment.Group{
		ID: "g1", Database: "dispatch", Slots: 4, Connections: 20, ServiceTime: ms(1),
		Members: []experiment.Member{{ID: "m1", FailureDomain: "d1"}, {ID: "m2", FailureDomain: "d2"}, {ID: "m3", FailureDomain: "d3"}},
	}
	stream := func(customer, mix string, rate float64) load.Stream {
		return load.Stream{
			Name: customer + mix, Customer: customer, Database: "dispatch", Mix: mix, Sessions: 6, Rate: rate, Rows: 12,
			RoamEvery: 20, Token: true,
		}
	}
	aged := stream("c1", "dashboard", 60)
	aged.MaxAge, aged.Protocol = ms(100), load.ProtocolPrepared
	simple := stream("c2", "appointments", 40)
	simple.Protocol = load.ProtocolSimple
	return &experiment.Experiment{
		Name: "small", Deployment: "test", Seed: 1, Repeats: 1, Warmup: ms(200), Duration: ms(1700),
		Topology: experiment.Topology{
			FailureDomains: domains, Instances: 3, Groups: []experiment.Group{group},
			Customers: []experiment.Customer{
				{Name: "c1", Databases: []string{"dispatch"}, Contracts: contract(600, 200)},
				{Name: "c2", Databases: []string{"dispatch"}, Contracts: contract(600, 200)},
			},
		},
		Load: load.Plan{
			RequestTimeout: load.Duration(6 * time.Second),
			IdleClose:      map[string]load.Duration{"naive": ms(5), "direct": ms(5)},
			Streams: []load.Stream{
				stream("c1", "dispatch", 60), aged, stream("c1", "meter feed", 60), simple,
				stream("c2", "confirmations", 60), stream("c2", "settlement", 10),
			},
		},
		Faults: faults,
		// The tests judge histories, not figures, and share the machine with others.
		Bounds: load.Bounds{
			LagP99: load.Duration(time.Minute), CPU: 2, ServiceExcessP95: load.Duration(time.Minute),
			TimerLateP99: load.Duration(time.Minute),
		},
	}
}

func runOnce(t *testing.T, e *experiment.Experiment, m experiment.Mode, b ...simfleet.Breakage) *measure.Result {
	t.Helper()
	if err := e.Validate(); err != nil {
		t.Fatal(err)
	}
	r := experiment.Runner{Start: simfleet.Starter(b...), FleetName: "simulated", Log: hclog.NewNullLogger()}
	result, err := r.Run(context.Background(), e, m, 0)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// Guards against checkers or measures that call a correct fleet broken, in steady state and through planned and
// unplanned changes.
func TestCorrectFleetHolds(t *testing.T) {
	cases := map[string][]experiment.Fault{
		"steady": nil,
		"primary crash": {
			{At: ms(600), Action: experiment.ActionKillMember, Group: "g1", Member: experiment.MemberPrimary},
			{At: ms(1400), Action: experiment.ActionRestartMember, Group: "g1", Member: experiment.MemberLast},
		},
		"planned": {
			{At: ms(400), Action: experiment.ActionRollInstances},
			{At: ms(700), Action: experiment.ActionSwitchover, Group: "g1"},
			{At: ms(900), Action: experiment.ActionDomainOut, Domain: "d1"},
			{At: ms(1300), Action: experiment.ActionDomainIn, Domain: "d1"},
		},
		"keys": {
			{At: ms(500), Action: experiment.ActionIssueKey, Customer: "c1"},
			{At: ms(800), Action: experiment.ActionWithdrawKey, Customer: "c1"},
			{At: ms(900), Action: experiment.ActionSetPreset, Preset: config.PresetPeak},
		},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result := runOnce(t, small(faults...), experiment.ModeCelerystep)
			for _, g := range result.Guarantees {
				if g.Status == check.StatusViolated || g.Status == check.StatusUndecided {
					t.Errorf("%s %s: %s, %d undecided: %v", g.Guarantee, g.Checker, g.Status, g.Undecided, g.Violations)
				}
			}
			for _, m := range result.Marks {
				if m.Error != "" {
					t.Errorf("%s: %s", m.Action, m.Error)
				}
			}
			if name != "primary crash" && result.Measures.Requests.OK != result.Measures.Requests.Offered {
				t.Errorf("requests: %+v", result.Measures.Requests)
			}
		})
	}
}

// Guards against a guarantee that breaks in a running fleet without its checker noticing.
func TestBrokenFleetsAreCaught(t *testing.T) {
	kill := experiment.Fault{At: ms(800), Action: experiment.ActionKillMember, Group: "g1", Member: experiment.MemberPrimary}
	replace := experiment.Fault{At: ms(600), Action: experiment.ActionRollInstances}
	cases := []struct {
		breakage simfleet.Breakage
		checker  string
		faults   []experiment.Fault
	}{
		{simfleet.LoseWrites, "lost acknowledged write", nil},
		{simfleet.DoubleWrites, "doubled write", nil},
		{simfleet.DoubleWrites, "row linearizability", nil},
		{simfleet.StaleReads, "stale own read", nil},
		{simfleet.StaleReads, "read older than its stated age", nil},
		{simfleet.FalseNotRun, "false not run", nil},
		{simfleet.MixTransactions, "mixed transactions", nil},
		{simfleet.WrongCustomer, "statement run for another customer", nil},
		{simfleet.NoLimits, "rate and burst", nil},
		{simfleet.ForgetTail, "acknowledgement by a replaced primary", []experiment.Fault{kill}},
		{simfleet.CutOnReplace, "error during a planned operation", []experiment.Fault{replace}},
	}
	for _, c := range cases {
		t.Run(string(c.breakage)+"/"+c.checker, func(t *testing.T) {
			t.Parallel()
			e := small(c.faults...)
			if c.breakage == simfleet.NoLimits {
				e.Topology.Customers[0].Contracts[config.PresetOrdinary] = config.Contract{RatePerSecond: 50, Burst: 10}
			}
			expectViolated(t, runOnce(t, e, experiment.ModeCelerystep, c.breakage), c.checker)
		})
	}
}

// Guards against slow changes of keys and failure domains going unnoticed. The bound is 4 s, so these runs are longer.
func TestSlowChangesAreCaught(t *testing.T) {
	cases := []struct {
		breakage simfleet.Breakage
		checker  string
		fault    experiment.Fault
	}{
		{simfleet.KeepWithdrawn, "withdrawn key accepted",
			experiment.Fault{At: ms(300), Action: experiment.ActionWithdrawKey, Customer: "c2"}},
		{simfleet.KeepDomain, "work in a failure domain taken out",
			experiment.Fault{At: ms(300), Action: experiment.ActionDomainOut, Domain: "d1"}},
	}
	for _, c := range cases {
		t.Run(string(c.breakage), func(t *testing.T) {
			t.Parallel()
			e := small(c.fault)
			e.Duration = ms(5500)
			expectViolated(t, runOnce(t, e, experiment.ModeCelerystep, c.breakage), c.checker)
		})
	}
}

func expectViolated(t *testing.T, result *measure.Result, checker string) {
	t.Helper()
	for _, g := range result.Guarantees {
		if g.Checker == checker && g.Status != check.StatusViolated {
			t.Errorf("%s not caught: %s with %d cases", checker, g.Status, g.Cases)
		}
	}
}

// Guards against baselines that do not serve, or whose transactions and writes are not what they were told.
func TestBaselines(t *testing.T) {
	for _, m := range []experiment.Mode{experiment.ModeNaive, experiment.ModeDirect} {
		t.Run(string(m), func(t *testing.T) {
			t.Parallel()
			result := runOnce(t, small(), m)
			for _, g := range result.Guarantees {
				if g.Status == check.StatusViolated {
					t.Errorf("%s %s: %v", g.Guarantee, g.Checker, g.Violations)
				}
			}
			if r := result.Measures.Requests; r.OK < r.Offered*9/10 {
				t.Errorf("requests: %+v", r)
			}
			if result.Measures.Replica.Share != 0 {
				t.Errorf("reads from replicas: %+v", result.Measures.Replica)
			}
		})
	}
}

// Guards against reporting the figures of a run whose generator or stand-ins could not keep up.
func TestRunThatFellBehindHasNoFigures(t *testing.T) {
	e := small()
	e.Duration = ms(600)
	e.Bounds = load.Bounds{LagP99: 1, CPU: 1e-9, ServiceExcessP95: -load.Duration(time.Hour), TimerLateP99: 1}
	result := runOnce(t, e, experiment.ModeCelerystep)
	if result.Measures != nil || result.Series != nil || len(result.SelfCheck.Reasons) != 4 {
		t.Errorf("measures %v, reasons %v", result.Measures, result.SelfCheck.Reasons)
	}
	if len(result.Guarantees) == 0 {
		t.Error("a run that does not count is still judged")
	}
}
