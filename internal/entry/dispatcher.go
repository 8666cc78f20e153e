package entry

import (
	"context"
	"hash/maphash"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/link"
	"github.com/celerystep/celerystep/internal/pgwire"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// maxHints bounds how many hints to another home are followed at once. Two instances that name each other are then
	// left alone for a moment.
	maxHints = 3
	// minWait and maxWait bound the wait for a home, which doubles with each try. The upper bound adds to the gap that
	// callers see when a home moves, so it is kept short.
	minWait = 5 * time.Millisecond
	maxWait = 100 * time.Millisecond
	// maxLosses bounds how often a read is sent again after the link to its home ended.
	maxLosses = 2
)

// Homes knows the homes of groups and the addresses of instances.
type Homes interface {
	// Home returns the instance that is the home of the group.
	Home(g upstream.GroupID) (instance.ID, bool)
	// Address returns what is needed to reach an instance.
	Address(id instance.ID) (instance.Info, bool)
}

// Links returns the runner for another instance. link.Pool implements it.
type Links interface {
	Link(info instance.Info) request.Runner
}

// Dispatcher runs requests on the homes of their groups, in this process or over links. It implements request.Runner.
// While no home is known it waits, so that callers see the move of a home as latency.
type Dispatcher struct {
	self    instance.ID
	local   request.Runner
	links   Links
	homes   Homes
	hop     link.NextHop
	metrics *Metrics
	seed    maphash.Seed
	shards  [indexShards]flightShard
}

// NewDispatcher returns a dispatcher for the instance self, whose own homes are run by local.
func NewDispatcher(self instance.ID, local request.Runner, l Links, h Homes, hop link.NextHop, m *Metrics) *Dispatcher {
	if hop == nil {
		hop = link.Direct
	}
	if m == nil {
		m = NewMetrics(nil)
	}
	d := &Dispatcher{self: self, local: local, links: l, homes: h, hop: hop, metrics: m, seed: maphash.MakeSeed()}
	for i := range d.shards {
		d.shards[i].flights = make(map[request.SessionID]*flight)
	}
	return d
}

// flight is what the dispatcher knows of a session that runs a request or holds a transaction.
type flight struct {
	// target runs the present request, or holds the transaction between requests.
	target request.Runner
	// pinned is true while the session may hold a transaction at target.
	pinned bool
	// cancel is closed by Cancel while no home has the request.
	cancel    chan struct{}
	cancelled bool
}

type flightShard struct {
	mu      sync.Mutex
	flights map[request.SessionID]*flight
}

func (d *Dispatcher) shard(s request.SessionID) *flightShard {
	return &d.shards[maphash.String(d.seed, string(s))%indexShards]
}

// Run implements request.Runner.
func (d *Dispatcher) Run(ctx context.Context, r *request.Request, a request.Answer) request.Result {
	sh := d.shard(r.Session)
	f := sh.enter(r.Session)
	if f.pinned {
		return sh.leave(r, f, f.target.Run(ctx, r, a))
	}
	return sh.leave(r, f, d.dispatch(ctx, sh, f, r, a))
}

// enter returns the flight of the session.
func (sh *flightShard) enter(id request.SessionID) *flight {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	f := sh.flights[id]
	if f == nil {
		f = flights.Get().(*flight)
		sh.flights[id] = f
	}
	return f
}

var flights = sync.Pool{New: func() any { return new(flight) }}

// leave notes the result and keeps the flight while the session may hold a transaction.
func (sh *flightShard) leave(r *request.Request, f *flight, result request.Result) request.Result {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	f.pinned = f.target != nil && result.HoldsTransaction(f.pinned, r.Begins)
	if !f.pinned && sh.flights[r.Session] == f {
		delete(sh.flights, r.Session)
		if f.cancel == nil {
			*f = flight{}
			flights.Put(f)
		}
	}
	return result
}

// dispatch finds the home of the request's group and runs the request there. It tries again, until the request's time
// is over, when nothing was run because the home has moved or is not known, and when a read was lost with its link
// before the caller got any of its answer.
func (d *Dispatcher) dispatch(
	ctx context.Context, sh *flightShard, f *flight, r *request.Request, a request.Answer,
) request.Result {
	t := &attempt{deadline: time.Now().Add(r.Timeout), answer: countedAnswer{Answer: a}}
	return t.truthful(r, d.try(ctx, sh, f, t, r))
}

// try runs the request until it has a result that is not worth another try.
func (d *Dispatcher) try(ctx context.Context, sh *flightShard, f *flight, t *attempt, r *request.Request) request.Result {
	result := noHome
	for {
		target, ok := d.target(r.Group, t.hint)
		if ok {
			if !sh.aim(f, target) {
				return cancelled
			}
			result = target.Run(ctx, r, &t.answer)
			sh.aim(f, nil)
		}
		if !t.again(r, &result) {
			sh.aim(f, target)
			return result
		}
		if wait := t.next(&result, ok); wait > 0 && !sh.sleep(ctx, f, wait) {
			return cancelled
		}
		r.Timeout = time.Until(t.deadline)
		if r.Timeout <= 0 {
			return result
		}
		d.metrics.retries.Inc()
	}
}

var (
	noHome = request.Result{
		Outcome: request.OutcomeNotRun,
		Code:    pgwire.CodeUnavailable,
		Message: "not run: no home of the group is known",
		Step:    "dispatch",
	}
	cancelled = request.Result{
		Outcome: request.OutcomeNotRun,
		Code:    pgwire.CodeQueryCanceled,
		Message: "not run: canceled while waiting for the home of the group",
		Step:    "dispatch",
	}
)

// attempt is the state of the tries for one request.
type attempt struct {
	deadline time.Time
	answer   countedAnswer
	hint     instance.ID
	hints    int
	losses   int
	wait     time.Duration
}

// truthful returns the result of all tries together: "not run" is true only if no try was lost after it had been sent.
func (t *attempt) truthful(r *request.Request, result request.Result) request.Result {
	if t.losses == 0 || result.Outcome != request.OutcomeNotRun {
		return result
	}
	result.Outcome = request.OutcomeUnknown
	result.Message = "an earlier try was lost after it had been sent, and no later one succeeded"
	result.Code = pgwire.CodeUnknownOutcome
	if r.Kind == request.KindRead {
		result.Code = pgwire.CodeConnectionFailure
	}
	return result
}

// again reports whether the request may be tried again after the result.
func (t *attempt) again(r *request.Request, result *request.Result) bool {
	if t.answer.started {
		return false
	}
	switch result.Outcome {
	case request.OutcomeNotRun:
		return result.Home != "" || result.Code == pgwire.CodeUnavailable
	case request.OutcomeUnknown:
		t.losses++
		read := r.Kind == request.KindRead && result.Code == pgwire.CodeConnectionFailure
		declared := r.Idempotent && result.Code == pgwire.CodeUnknownOutcome
		return (read || declared) && !r.Begins && !r.InTransaction && t.losses <= maxLosses
	default:
		return false
	}
}

// next returns the wait before the next try: none when a hint names another home.
func (t *attempt) next(result *request.Result, ran bool) time.Duration {
	t.hint = ""
	if ran && result.Home != "" && t.hints < maxHints {
		t.hint = result.Home
		t.hints++
		return 0
	}
	t.hints = 0
	t.wait = min(max(2*t.wait, minWait), maxWait)
	return t.wait/2 + rand.N(t.wait/2)
}

// target returns the runner for the home of the group, or for the instance that a hint names.
func (d *Dispatcher) target(g upstream.GroupID, hint instance.ID) (request.Runner, bool) {
	home := hint
	if home == "" {
		var ok bool
		if home, ok = d.homes.Home(g); !ok {
			return nil, false
		}
	}
	if home == d.self {
		return d.local, true
	}
	info, ok := d.homes.Address(d.hop(d.self, home))
	if !ok {
		return nil, false
	}
	return d.links.Link(info), true
}

// aim notes the runner that has the session's request. It returns false when the request was cancelled before.
func (sh *flightShard) aim(f *flight, target request.Runner) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	f.target = target
	return !f.cancelled
}

// sleep waits before the next try. It returns false when the request was cancelled.
func (sh *flightShard) sleep(ctx context.Context, f *flight, d time.Duration) bool {
	sh.mu.Lock()
	if f.cancel == nil {
		f.cancel = make(chan struct{})
	}
	sh.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-f.cancel:
		return false
	}
}

// End implements request.Runner. Only a session that holds a transaction has something to end.
func (d *Dispatcher) End(ctx context.Context, g upstream.GroupID, s request.SessionID) {
	sh := d.shard(s)
	sh.mu.Lock()
	f := sh.flights[s]
	var target request.Runner
	if f != nil {
		target = f.target
		delete(sh.flights, s)
	}
	sh.mu.Unlock()
	if target != nil {
		target.End(ctx, g, s)
	}
}

// Cancel implements request.Runner.
func (d *Dispatcher) Cancel(ctx context.Context, g upstream.GroupID, s request.SessionID) {
	sh := d.shard(s)
	sh.mu.Lock()
	f := sh.flights[s]
	if f == nil {
		sh.mu.Unlock()
		return
	}
	target := f.target
	if target == nil && !f.cancelled {
		f.cancelled = true
		if f.cancel == nil {
			f.cancel = make(chan struct{})
		}
		close(f.cancel)
	}
	sh.mu.Unlock()
	if target != nil {
		target.Cancel(ctx, g, s)
	}
}

// countedAnswer notes whether the caller got any of the answer.
type countedAnswer struct {
	request.Answer
	started bool
}

// Write implements request.Answer.
func (c *countedAnswer) Write(p []byte) (int, error) {
	c.started = c.started || len(p) > 0
	return c.Answer.Write(p)
}
