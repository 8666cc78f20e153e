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

// scriptedRunner returns its results in order and then repeats the last one.
type scriptedRunner struct {
	results   []request.Result
	answer    string
	requests  []request.Request
	ended     int
	cancelled int
	block     chan struct{}
}

func (s *scriptedRunner) Run(_ context.Context, r *request.Request, a request.Answer) request.Result {
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

func (s *scriptedRunner) End(context.Context, upstream.GroupID, request.SessionID)    { s.ended++ }
func (s *scriptedRunner) Cancel(context.Context, upstream.GroupID, request.SessionID) { s.cancelled++ }

// fakeNetwork implements Homes and Links. The home of every group is home, after a number of lookups without a result.
type fakeNetwork struct {
	home    instance.ID
	unknown int
	runners map[instance.ID]*scriptedRunner
}

func (n *fakeNetwork) Home(upstream.GroupID) (instance.ID, bool) {
	n.unknown--
	return n.home, n.unknown < 0
}

func (n *fakeNetwork) Address(id instance.ID) (instance.Info, bool) {
	_, ok := n.runners[id]
	return instance.Info{ID: id}, ok
}

func (n *fakeNetwork) Link(info instance.Info) request.Runner { return n.runners[info.ID] }

var (
	resultDone    = request.Result{Outcome: request.OutcomeDone, TxStatus: txIdle}
	resultOpen    = request.Result{Outcome: request.OutcomeDone, TxStatus: txOpen}
	resultLost    = request.Result{Code: "08006"}
	resultUnknown = request.Result{Code: "08007"}
	resultNotHome = request.Result{Outcome: request.OutcomeNotRun, Code: "57P03", Home: "b"}
	resultRefused = request.Result{Outcome: request.OutcomeNotRun, Code: "53400"}
)

// resultEarlierLost is the result when an attempt was lost and a later one was refused. It must not report that nothing
// was run.
func resultEarlierLost(code string) request.Result {
	return request.Result{
		Code:    code,
		Message: "an earlier try was lost after it had been sent, and no later one succeeded",
	}
}

func (n *fakeNetwork) dispatcher() *Dispatcher {
	return NewDispatcher("a", n.runners["a"], n, n, nil, nil)
}

func readRequest(session request.SessionID) *request.Request {
	return &request.Request{Session: session, Group: "g", Kind: request.KindRead, Timeout: 5 * time.Second}
}

type discardAnswer struct{}

func (discardAnswer) Write(p []byte) (int, error) { return len(p), nil }

// TestDispatchWaits guards against reporting a move of a home as an error, and against waiting beyond the request's
// timeout.
func TestDispatchWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &fakeNetwork{home: "b", unknown: 10, runners: map[instance.ID]*scriptedRunner{"b": {results: []request.Result{resultDone}}}}
		start := time.Now()
		is.Equal(n.dispatcher().Run(t.Context(), readRequest("s"), discardAnswer{}), resultDone)
		waited := time.Since(start)
		is.True(waited > 50*time.Millisecond && waited < time.Second)
		is.True(n.runners["b"].requests[0].Timeout <= 5*time.Second-waited)

		n.unknown = 1 << 30
		start = time.Now()
		result := n.dispatcher().Run(t.Context(), readRequest("s"), discardAnswer{})
		is.Equal(result.Outcome, request.OutcomeNotRun)
		is.Equal(result.Code, "57P03")
		is.True(time.Since(start) >= 5*time.Second && time.Since(start) < 6*time.Second)
	})
}

// TestDispatchHints guards against hints that are not followed, and against redirect loops without a backoff.
func TestDispatchHints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &fakeNetwork{home: "a", runners: map[instance.ID]*scriptedRunner{
			"a": {results: []request.Result{resultNotHome}}, "b": {results: []request.Result{resultDone}},
		}}
		start := time.Now()
		is.Equal(n.dispatcher().Run(t.Context(), readRequest("s"), discardAnswer{}), resultDone)
		is.Equal(time.Since(start), time.Duration(0))
		is.Equal(len(n.runners["a"].requests), 1)

		back := resultNotHome
		back.Home = "a"
		n.runners["b"].results = []request.Result{back}
		is.Equal(n.dispatcher().Run(t.Context(), readRequest("s"), discardAnswer{}).Outcome, request.OutcomeNotRun)
		is.True(len(n.runners["a"].requests) < 1000)
	})
}

// TestDispatchOutcomes guards against retries that may run a request twice, and against wrong outcomes after a lost
// attempt.
func TestDispatchOutcomes(t *testing.T) {
	write, idempotent, begin := readRequest("s"), readRequest("s"), readRequest("s")
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
		{"read", readRequest("s"), []request.Result{resultLost, resultDone}, "", resultDone, 2},
		{"read with answer", readRequest("s"), []request.Result{resultLost, resultDone}, "x", resultLost, 1},
		{"read lost for good", readRequest("s"), []request.Result{resultLost}, "", resultLost, 3},
		{"write", write, []request.Result{resultUnknown, resultDone}, "", resultUnknown, 1},
		{"idempotent write", idempotent, []request.Result{resultUnknown, resultDone}, "", resultDone, 2},
		{"begin", begin, []request.Result{resultLost, resultDone}, "", resultLost, 1},
		{"refused", readRequest("s"), []request.Result{resultRefused, resultDone}, "", resultRefused, 1},
		{"read lost, then refused", readRequest("s"), []request.Result{resultLost, resultRefused}, "", resultEarlierLost("08006"), 2},
		{"idempotent write lost, then refused", idempotent, []request.Result{resultUnknown, resultRefused}, "", resultEarlierLost("08007"), 2},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			home := &scriptedRunner{results: c.results, answer: c.answer}
			n := &fakeNetwork{home: "a", runners: map[instance.ID]*scriptedRunner{"a": home}}
			is.Equal(n.dispatcher().Run(t.Context(), c.request, discardAnswer{}), c.want)
			is.Equal(len(home.requests), c.runs)
		})
	}
}

// TestDispatchTransaction guards against continuing a transaction at another instance after the home has moved.
func TestDispatchTransaction(t *testing.T) {
	is := is.New(t)
	a, b := &scriptedRunner{results: []request.Result{resultOpen, resultOpen, resultNotHome}}, &scriptedRunner{results: []request.Result{resultDone}}
	n := &fakeNetwork{home: "a", runners: map[instance.ID]*scriptedRunner{"a": a, "b": b}}
	d := n.dispatcher()
	begin := readRequest("s")
	begin.Begins = true
	is.Equal(d.Run(t.Context(), begin, discardAnswer{}), resultOpen)
	n.home = "b"
	is.Equal(d.Run(t.Context(), readRequest("s"), discardAnswer{}), resultOpen)
	is.Equal(d.Run(t.Context(), readRequest("s"), discardAnswer{}), resultNotHome)
	d.Cancel(t.Context(), "g", "s")
	is.Equal(a.cancelled, 1)
	is.Equal(len(b.requests), 0)
	d.End(t.Context(), "g", "s")
	d.End(t.Context(), "g", "s")
	is.Equal(a.ended, 1)
	is.Equal(d.Run(t.Context(), readRequest("s"), discardAnswer{}), resultDone)
	is.Equal(len(b.requests), 1)
}

// TestDispatchCancel guards against a cancel request that is lost while the request waits for a home.
func TestDispatchCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		home := &scriptedRunner{results: []request.Result{resultDone}, block: make(chan struct{})}
		n := &fakeNetwork{home: "a", unknown: 1 << 30, runners: map[instance.ID]*scriptedRunner{"a": home}}
		d := n.dispatcher()
		results := make(chan request.Result)
		go func() { results <- d.Run(t.Context(), readRequest("s"), discardAnswer{}) }()
		synctest.Wait()
		d.Cancel(t.Context(), "g", "s")
		d.Cancel(t.Context(), "g", "s")
		result := <-results
		is.Equal(result.Outcome, request.OutcomeNotRun)
		is.Equal(result.Code, "57014")

		n.unknown = 0
		go func() { results <- d.Run(t.Context(), readRequest("s"), discardAnswer{}) }()
		synctest.Wait()
		d.Cancel(t.Context(), "g", "s")
		is.Equal(home.cancelled, 1)
		close(home.block)
		is.Equal(<-results, resultDone)
	})
}
