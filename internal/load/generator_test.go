package load_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/experiment"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/simfleet"
	"github.com/celerystep/celerystep/internal/upstream"
)

// fleetTarget shows a fleet with one group to the generator.
type fleetTarget struct{ experiment.Fleet }

func (t fleetTarget) Endpoints(string) []load.Endpoint { return t.Instances() }
func (t fleetTarget) Group(string) upstream.GroupID    { return "g1" }

func startFleet(t *testing.T, p *load.Plan) experiment.Fleet {
	t.Helper()
	contracts := map[config.Preset]config.Contract{config.PresetOrdinary: {RatePerSecond: 5000, Burst: 1000}}
	f, err := simfleet.Starter()(t.Context(), experiment.ModeCelerystep, &experiment.Topology{
		FailureDomains: []instance.FailureDomain{"d1"}, Instances: 1,
		Groups: []experiment.Group{{
			ID: "g1", Database: "db", Slots: 8, Connections: 20, Members: []experiment.Member{{ID: "m1", FailureDomain: "d1"}},
		}},
		Customers: []experiment.Customer{{Name: "c1", Databases: []string{"db"}, Contracts: contracts}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close(context.Background()) })
	for _, sql := range p.Setup("db") {
		if _, err := f.Query(t.Context(), "g1", sql); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// Guards against coordinated omission: requests that were due while the server stood still must count as slow, and
// none may be left out.
func TestLatencyCountsFromIntendedArrival(t *testing.T) {
	is := is.New(t)
	p := &load.Plan{
		RequestTimeout: load.Duration(5 * time.Second),
		Streams:        []load.Stream{{Customer: "c1", Database: "db", Mix: "confirmations", Sessions: 2, Rate: 300, Rows: 20}},
	}
	f := startFleet(t, p)
	contracts := []load.ContractChange{{Customer: "c1", Rate: 5000, Burst: 1000}}
	s, err := load.NewSchedule(p, contracts, time.Second, 3)
	is.NoErr(err)
	g := load.NewGenerator(s, load.Options{Target: fleetTarget{f}, Proxy: true})
	g.Connect(t.Context())
	start := time.Now()
	const pause = 500 * time.Millisecond
	is.NoErr(f.PauseInstance(t.Context(), 0, pause))
	h := g.Run(t.Context(), start)

	is.Equal(len(h.Requests), s.Len())
	is.Equal(g.Counts().Sent, uint64(s.Len()))
	slow := 0
	for i := range h.Requests {
		r := &h.Requests[i]
		is.Equal(r.Outcome, check.OutcomeOK)
		due := r.Intended.Sub(start)
		if due < pause/2 {
			slow++
			is.True(r.Latency() >= pause-due-10*time.Millisecond) // waited for the end of the pause
		}
	}
	is.True(slow > 30)
}

// Guards against sessions that stop when their instance ends, and against requests lost between two connections.
func TestSessionsReconnect(t *testing.T) {
	is := is.New(t)
	p := &load.Plan{
		RequestTimeout: load.Duration(5 * time.Second),
		Streams:        []load.Stream{{Customer: "c1", Database: "db", Mix: "confirmations", Sessions: 4, Rate: 200, Rows: 20}},
	}
	f := startFleet(t, p)
	s, err := load.NewSchedule(p, []load.ContractChange{{Customer: "c1", Rate: 5000, Burst: 1000}}, time.Second, 4)
	is.NoErr(err)
	g := load.NewGenerator(s, load.Options{Target: fleetTarget{f}})
	g.Connect(t.Context())
	replaced := make(chan error, 1)
	go func() { replaced <- f.ReplaceInstance(t.Context(), 0) }()
	h := g.Run(t.Context(), time.Now())
	is.NoErr(<-replaced)
	connections := make(map[uint64]bool)
	for i := range h.Requests {
		is.Equal(h.Requests[i].Outcome, check.OutcomeOK)
	}
	for i := range h.Operations {
		connections[h.Operations[i].Connection] = true
	}
	is.True(len(connections) > 4) // every session needed a second one

	// Reads look at the session's own row, else a stale own read could hardly show.
	result := check.Run(&check.Input{Start: h.Operations[0].Invoke, Operations: h.Operations, Requests: h.Requests})
	own, _ := result.Find("stale own read")
	is.Equal(own.Status, check.StatusHeld)
	is.True(own.Cases > 40)
}
