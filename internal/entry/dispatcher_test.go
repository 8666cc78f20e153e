package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

// scripted is a runner that gives its results in order and then repeats the last one.
type scripted struct {
	results   []request.Result
	answer    string
	requests  []request.Request
	ended     int
	cancelled int
	block     chan struct{}
}

func (s *scripted) Run(_ context.Context, r *request.Request, a request.Answer) request.Result {
	s.requests = append(s.requests, *r)
	if s.block != nil {
		<-s.block
	}
	_, _ = a.Write([]byte(s.answer))
	result := s.results[0]
	if len(s.results) > 1 {
		s.results = s.results[1:]
	}
	return result
}

func (s *scripted) End(context.Context, upstream.GroupID, request.SessionID)    { s.ended++ }
func (s *scripted) Cancel(context.Context, upstream.GroupID, request.SessionID) { s.cancelled++ }

// network stands for the homes and the links to them. The home of every group is home, after a number of lookups.
type network struct {
	home    instance.ID
	unknown int
	runners map[instance.ID]*scripted
}

func (n *network) Home(upstream.GroupID) (instance.ID, bool) {
	n.unknown--
	return n.home, n.unknown < 0
}

func (n *network) Address(id instance.ID) (instance.Info, bool) {
	_, ok := n.runners[id]
	return instance.Info{ID: id}, ok
}

func (n *network) Link(info instance.Info) request.Runner { return n.runners[info.ID] }

var (
	done    = request.Result{Outcome: request.OutcomeDone, TxStatus: txIdle}
	open    = request.Result{Outcome: request.OutcomeDone, TxStatus: txOpen}
	lost    = request.Result{Code: "08006"}
	unknown = request.Result{Code: "08007"}
	notHome = request.Result{Outcome: request.OutcomeNotRun, Code: "57P03", Home: "b"}
	refused = request.Result{Outcome: request.OutcomeNotRun, Code: "53400"}
)

// earlierLost is the result when a try was lost and a later one was refused: it must not say that nothing was run.
func earlierLost(code string) request.Result {
	return request.Result{
		Code:    code,
		Message: "an earlier try was lost after it had been sent, and no later one succeeded",
	}
}

func (n *network) dispatcher() *Dispatcher {
	return NewDispatcher("a", n.runners["a"], n, n, nil, nil)
}

func read(session request.SessionID) *request.Request {
	return &request.Request{Session: session, Group: "g", Kind: request.KindRead, Timeout: 5 * time.Second}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// TestDispatchWaits guards against a move of a home that callers see as an error, and against a wait without an end.
func TestDispatchWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &network{home: "b", unknown: 10, runners: map[instance.ID]*scripted{"b": {results: []request.Result{done}}}}
		start := time.Now()
		is.Equal(n.dispatcher().Run(t.Context(), read("s"), discard{}), done)
		waited := time.Since(start)
		is.True(waited > 50*time.Millisecond && waited < time.Second)
		is.True(n.runners["b"].requests[0].Timeout <= 5*time.Second-waited)

		n.unknown = 1 << 30
		start = time.Now()
		result := n.dispatcher().Run(t.Context(), read("s"), discard{})
		is.Equal(result.Outcome, request.OutcomeNotRun)
		is.Equal(result.Code, "57P03")
		is.True(time.Since(start) >= 5*time.Second && time.Since(start) < 6*time.Second)
	})
}

// TestDispatchHints guards against hints that are not followed, or followed in circles without a pause.
func TestDispatchHints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &network{home: "a", runners: map[instance.ID]*scripted{
			"a": {results: []request.Result{notHome}}, "b": {results: []request.Result{done}},
		}}
		start := time.Now()
		is.Equal(n.dispatcher().Run(t.Context(), read("s"), discard{}), done)
		is.Equal(time.Since(start), time.Duration(0))
		is.Equal(len(n.runners["a"].requests), 1)

		back := notHome
		back.Home = "a"
		n.runners["b"].results = []request.Result{back}
		is.Equal(n.dispatcher().Run(t.Context(), read("s"), discard{}).Outcome, request.OutcomeNotRun)
		is.True(len(n.runners["a"].requests) < 1000)
	})
}

// TestDispatchOutcomes guards against requests that run twice, and refusals that are hidden.
func TestDispatchOutcomes(t *testing.T) {
	write, idempotent, begin := read("s"), read("s"), read("s")
	write.Kind = request.KindWrite
	idempotent.Kind, idempotent.Idempotent = request.KindWrite, true
	begin.Begins = true
	cases := []struct {
		name    string
		request *request.Request
		results []request.Result
		answer  string
		want    request.Result
		runs    int
	}{
		{"read", read("s"), []request.Result{lost, done}, "", done, 2},
		{"read with answer", read("s"), []request.Result{lost, done}, "x", lost, 1},
		{"read lost for good", read("s"), []request.Result{lost}, "", lost, 3},
		{"write", write, []request.Result{unknown, done}, "", unknown, 1},
		{"idempotent write", idempotent, []request.Result{unknown, done}, "", done, 2},
		{"begin", begin, []request.Result{lost, done}, "", lost, 1},
		{"refused", read("s"), []request.Result{refused, done}, "", refused, 1},
		{"read lost, then refused", read("s"), []request.Result{lost, refused}, "", earlierLost("08006"), 2},
		{"idempotent write lost, then refused", idempotent, []request.Result{unknown, refused}, "", earlierLost("08007"), 2},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			home := &scripted{results: c.results, answer: c.answer}
			n := &network{home: "a", runners: map[instance.ID]*scripted{"a": home}}
			is.Equal(n.dispatcher().Run(t.Context(), c.request, discard{}), c.want)
			is.Equal(len(home.requests), c.runs)
		})
	}
}

// TestDispatchTransaction guards against a transaction that goes on at another instance.
func TestDispatchTransaction(t *testing.T) {
	is := is.New(t)
	a, b := &scripted{results: []request.Result{open, open, notHome}}, &scripted{results: []request.Result{done}}
	n := &network{home: "a", runners: map[instance.ID]*scripted{"a": a, "b": b}}
	d := n.dispatcher()
	begin := read("s")
	begin.Begins = true
	is.Equal(d.Run(t.Context(), begin, discard{}), open)
	n.home = "b"
	is.Equal(d.Run(t.Context(), read("s"), discard{}), open)
	is.Equal(d.Run(t.Context(), read("s"), discard{}), notHome)
	d.Cancel(t.Context(), "g", "s")
	is.Equal(a.cancelled, 1)
	is.Equal(len(b.requests), 0)
	d.End(t.Context(), "g", "s")
	d.End(t.Context(), "g", "s")
	is.Equal(a.ended, 1)
	is.Equal(d.Run(t.Context(), read("s"), discard{}), done)
	is.Equal(len(b.requests), 1)
}

// TestDispatchCancel guards against a cancel request that is lost while the request waits for a home.
func TestDispatchCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		home := &scripted{results: []request.Result{done}, block: make(chan struct{})}
		n := &network{home: "a", unknown: 1 << 30, runners: map[instance.ID]*scripted{"a": home}}
		d := n.dispatcher()
		results := make(chan request.Result)
		go func() { results <- d.Run(t.Context(), read("s"), discard{}) }()
		synctest.Wait()
		d.Cancel(t.Context(), "g", "s")
		d.Cancel(t.Context(), "g", "s")
		result := <-results
		is.Equal(result.Outcome, request.OutcomeNotRun)
		is.Equal(result.Code, "57014")

		n.unknown = 0
		go func() { results <- d.Run(t.Context(), read("s"), discard{}) }()
		synctest.Wait()
		d.Cancel(t.Context(), "g", "s")
		is.Equal(home.cancelled, 1)
		close(home.block)
		is.Equal(<-results, done)
	})
}
