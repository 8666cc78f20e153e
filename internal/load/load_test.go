package load

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/pgauth"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testPlan() *Plan {
	return &Plan{
		RequestTimeout: Duration(time.Second),
		Streams: []Stream{
			{Name: "a", Customer: "c1", Database: "db", Mix: "dispatch", Sessions: 3, Rate: 200, Rows: 10, RoamEvery: 5},
			{Name: "b", Customer: "c2", Database: "db", Mix: "appointments", Sessions: 2, Rate: 50, Rows: 10,
				Burst: &Burst{Size: 30, Every: Duration(time.Second)}},
		},
		Surges: []Surge{{Customer: "c1", From: Duration(5 * time.Second), To: Duration(10 * time.Second), Factor: 10}},
	}
}

var testContracts = []ContractChange{
	{Customer: "c1", Rate: 400, Burst: 100},
	{Customer: "c2", Rate: 400, Burst: 200},
}

// Guards against load that differs between two runs with the same seed, or that does not follow rates, bursts and
// surges.
func TestSchedule(t *testing.T) {
	is := is.New(t)
	s, err := NewSchedule(testPlan(), testContracts, 10*time.Second, 7)
	is.NoErr(err)
	again, err := NewSchedule(testPlan(), testContracts, 10*time.Second, 7)
	is.NoErr(err)
	other, err := NewSchedule(testPlan(), testContracts, 10*time.Second, 8)
	is.NoErr(err)
	is.True(slices.Equal(s.arrivals, again.arrivals))
	is.True(!slices.Equal(s.arrivals, other.arrivals))
	is.Equal(s.Sessions(), 5)

	var calm, surge, excess, burst int
	for _, a := range s.arrivals {
		switch {
		case a.stream == 1 && a.at == 500*time.Millisecond:
			burst++
		case a.stream == 0 && a.at < 5*time.Second:
			calm++
		case a.stream == 0:
			surge++
			if !a.entitled {
				excess++
			}
		}
		if a.work.transaction {
			is.True(a.rows[0] < a.rows[1]) // one lock order
		}
	}
	is.Equal(burst, 30)
	is.True(calm > 900 && calm < 1100)
	is.True(surge > 9500 && surge < 10500)
	is.True(excess > surge*9/10) // a customer at ten times its rate is hardly ever within it
}

// Guards against calling a request entitled that had to wait for tokens, or refusing the entitlement of later ones
// because of requests that the fleet refuses.
func TestReferenceBucket(t *testing.T) {
	is := is.New(t)
	r := newReference([]ContractChange{{Rate: 10, Burst: 5}, {At: 100 * time.Second, Rate: 2, Burst: 2}}, 5*time.Second)
	is.True(r.take(0, 5))
	is.True(!r.take(0, 1))                         // waits 0.1 s
	is.True(!r.take(100*time.Millisecond, 1))      // its token is taken by the one before
	is.True(r.take(time.Second, 5))                // refilled
	is.True(!r.take(time.Second, 1000))            // refused, so it takes nothing
	is.True(r.take(1200*time.Millisecond, 2))      // as this shows
	is.True(!r.take(100*time.Second, 3))           // the lower contract may be in force at once
	is.True(r.take(103500*time.Millisecond, 2))    // refilled at the lower rate
	is.True(!r.take(103500*time.Millisecond+1, 1)) // and no more than its burst
}

// Guards against taking an answer that leaves the outcome open, or a failure, for a true "not run".
func TestOutcomes(t *testing.T) {
	cases := []struct {
		err  pgauth.ServerError
		want check.Outcome
	}{
		{pgauth.ServerError{Code: "53400", Message: "rate exceeded: not run"}, check.OutcomeNotRun},
		{pgauth.ServerError{Code: "57P01", Message: "shutting down: not run", Fatal: true}, check.OutcomeNotRun},
		{pgauth.ServerError{Code: "57P01", Message: "terminating connection", Fatal: true}, check.OutcomeUnknown},
		{pgauth.ServerError{Code: "08007", Message: "outcome unknown"}, check.OutcomeUnknown},
		{pgauth.ServerError{Code: "23505", Message: "duplicate key"}, check.OutcomeFailed},
	}
	for _, c := range cases {
		if got := outcomeOf(&c.err); got != c.want {
			t.Errorf("%v: %s, want %s", &c.err, got, c.want)
		}
	}
}

// Guards against literals that a value could break out of, and against markers lost in the simple protocol.
func TestLiteral(t *testing.T) {
	is := is.New(t)
	s := statementFor(check.KindUpdate, "meters", "c'1", "", 5)
	is.Equal(s.literal(), "UPDATE meters SET version = version + 1, writer = 'rq:0000000000000005' WHERE id = 'c''1' "+
		"RETURNING id, version, writer")
	s = statementFor(check.KindScan, "meters", "a", "b", 6)
	id, ok := check.ParseMarker(s.literal())
	is.True(ok)
	is.Equal(id, check.StatementID(6))
}

// Guards against plans that are taken although a run could not follow them.
func TestValidate(t *testing.T) {
	broken := map[string]func(p *Plan){
		"no streams":       func(p *Plan) { p.Streams = nil },
		"unknown mix":      func(p *Plan) { p.Streams[0].Mix = "nothing" },
		"unknown protocol": func(p *Plan) { p.Streams[0].Protocol = "telepathic" },
		"no sessions":      func(p *Plan) { p.Streams[0].Sessions = 0 },
		"too few rows":     func(p *Plan) { p.Streams[0].Rows = 1 },
		"empty burst":      func(p *Plan) { p.Streams[1].Burst = &Burst{} },
		"backward surge":   func(p *Plan) { p.Surges[0].To = 0 },
		"no timeout":       func(p *Plan) { p.RequestTimeout = 0 },
	}
	for name, change := range broken {
		p := testPlan()
		change(p)
		if p.Validate() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if _, err := NewSchedule(testPlan(), testContracts[:1], time.Second, 1); err == nil {
		t.Error("customer without contract: accepted")
	}
}
