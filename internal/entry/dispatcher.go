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
	// maxHintsFollowed bounds how many home hints are followed without a delay. It limits redirect loops between two
	// instances that each name the other as the home.
	maxHintsFollowed = 3
	// minBackoff and maxBackoff bound the backoff, which doubles with each attempt. The upper bound adds to the latency
	// that callers see when a home moves, so it is kept short.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
	// maxLostAttempts bounds how often a read or an idempotent write is retried after its answer was lost.
	maxLostAttempts = 2
)

// Homes looks up the homes of groups and the addresses of instances.
type Homes interface {
	// Home returns the instance that is the home of the group.
	Home(g upstream.GroupID) (instance.ID, bool)
	// Address returns the connection information of an instance.
	Address(id instance.ID) (instance.Info, bool)
}

// Links returns runners for other instances. link.Pool implements it.
type Links interface {
	Link(info instance.Info) request.Runner
}

// Dispatcher runs requests at the homes of their groups, in this process or over links. It implements request.Runner.
// While no home is known it retries with backoff, so that callers see the move of a home as latency rather than as an
// error.
type Dispatcher struct {
	self    instance.ID
	local   request.Runner
	links   Links
	homes   Homes
	nextHop link.NextHop
	metrics *Metrics
	seed    maphash.Seed
	shards  [indexShards]activeShard
}

// NewDispatcher returns a dispatcher for the instance self. Requests for groups whose home is self are run by local.
func NewDispatcher(self instance.ID, local request.Runner, l Links, h Homes, nextHop link.NextHop, m *Metrics) *Dispatcher {
	if nextHop == nil {
		nextHop = link.Direct
	}
	if m == nil {
		m = NewMetrics(nil)
	}
	d := &Dispatcher{self: self, local: local, links: l, homes: h, nextHop: nextHop, metrics: m, seed: maphash.MakeSeed()}
	for i := range d.shards {
		d.shards[i].sessionStates = make(map[request.SessionID]*activeSession)
	}
	return d
}

// activeSession is the dispatcher's state of a session that runs a request or holds a transaction.
type activeSession struct {
	// target runs the current request, or holds the transaction between requests. It is nil during a backoff.
	target request.Runner
	// pinned is true while the session may hold a transaction at target.
	pinned bool
	// cancel is closed by Cancel while the request is at no home.
	cancel    chan struct{}
	cancelled bool
}

type activeShard struct {
	mu            sync.Mutex
	sessionStates map[request.SessionID]*activeSession
}

func (d *Dispatcher) shard(s request.SessionID) *activeShard {
	return &d.shards[maphash.String(d.seed, string(s))%indexShards]
}

// Run implements request.Runner.
func (d *Dispatcher) Run(ctx context.Context, r *request.Request, a request.Answer) request.Result {
	sh := d.shard(r.Session)
	f := sh.acquire(r.Session)
	if f.pinned {
		return sh.finish(r, f, f.target.Run(ctx, r, a))
	}
	return sh.finish(r, f, d.dispatch(ctx, sh, f, r, a))
}

// acquire returns the state of the session, adding it if needed.
func (sh *activeShard) acquire(id request.SessionID) *activeSession {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	f := sh.sessionStates[id]
	if f == nil {
		f = sessionStates.Get().(*activeSession)
		sh.sessionStates[id] = f
	}
	return f
}

var sessionStates = sync.Pool{New: func() any { return new(activeSession) }}

// finish pins the session to its target while it may hold a transaction there, and otherwise removes its state.
func (sh *activeShard) finish(r *request.Request, f *activeSession, result request.Result) request.Result {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	f.pinned = f.target != nil && result.HoldsTransaction(f.pinned, r.Begins)
	if !f.pinned && sh.sessionStates[r.Session] == f {
		delete(sh.sessionStates, r.Session)
		if f.cancel == nil {
			*f = activeSession{}
			sessionStates.Put(f)
		}
	}
	return result
}

// dispatch finds the home of the request's group and runs the request there. Until the timeout of the request it
// retries when nothing was run because the home has moved, is unknown or unavailable, and when the answer to a read or
// an idempotent write was lost before any of it reached the caller.
func (d *Dispatcher) dispatch(
	ctx context.Context, sh *activeShard, f *activeSession, r *request.Request, a request.Answer,
) request.Result {
	t := &attempts{deadline: time.Now().Add(r.Timeout), answer: trackedAnswer{Answer: a}}
	return t.combineOutcomes(r, d.runWithRetries(ctx, sh, f, t, r))
}

// runWithRetries runs the request until the result may not be retried or the time is up.
func (d *Dispatcher) runWithRetries(ctx context.Context, sh *activeShard, f *activeSession, t *attempts, r *request.Request) request.Result {
	result := resultNoHome
	for {
		target, ok := d.target(r.Group, t.hint)
		if ok {
			if !sh.setTarget(f, target) {
				return resultCancelled
			}
			result = target.Run(ctx, r, &t.answer)
			sh.setTarget(f, nil)
		}
		if !t.shouldRetry(r, &result) {
			sh.setTarget(f, target)
			return result
		}
		if wait := t.nextDelay(&result, ok); wait > 0 && !sh.waitBackoff(ctx, f, wait) {
			return resultCancelled
		}
		r.Timeout = time.Until(t.deadline)
		if r.Timeout <= 0 {
			return result
		}
		d.metrics.retries.Inc()
	}
}

var (
	resultNoHome = request.Result{
		Outcome: request.OutcomeNotRun,
		Code:    pgwire.CodeUnavailable,
		Message: "not run: no home of the group is known",
		Step:    "dispatch",
	}
	resultCancelled = request.Result{
		Outcome: request.OutcomeNotRun,
		Code:    pgwire.CodeQueryCanceled,
		Message: "not run: canceled while waiting for the home of the group",
		Step:    "dispatch",
	}
)

// attempts is the retry state of one request.
type attempts struct {
	deadline      time.Time
	answer        trackedAnswer
	hint          instance.ID
	hintsFollowed int
	lostAttempts  int
	backoff       time.Duration
}

// combineOutcomes corrects the result of the last attempt for earlier ones: a request counts as not run only if no
// attempt was lost after it had been sent.
func (t *attempts) combineOutcomes(r *request.Request, result request.Result) request.Result {
	if t.lostAttempts == 0 || result.Outcome != request.OutcomeNotRun {
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

// shouldRetry reports whether the request may be retried after the result, and counts lost attempts.
func (t *attempts) shouldRetry(r *request.Request, result *request.Result) bool {
	if t.answer.started {
		return false
	}
	switch result.Outcome {
	case request.OutcomeNotRun:
		return result.Home != "" || result.Code == pgwire.CodeUnavailable
	case request.OutcomeUnknown:
		t.lostAttempts++
		read := r.Kind == request.KindRead && result.Code == pgwire.CodeConnectionFailure
		declared := r.Idempotent && result.Code == pgwire.CodeUnknownOutcome
		return (read || declared) && !r.Begins && !r.InTransaction && t.lostAttempts <= maxLostAttempts
	default:
		return false
	}
}

// nextDelay returns the delay before the next attempt: zero to follow a hint to another home, otherwise the backoff
// with jitter.
func (t *attempts) nextDelay(result *request.Result, ran bool) time.Duration {
	t.hint = ""
	if ran && result.Home != "" && t.hintsFollowed < maxHintsFollowed {
		t.hint = result.Home
		t.hintsFollowed++
		return 0
	}
	t.hintsFollowed = 0
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	return t.backoff/2 + rand.N(t.backoff/2)
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
	info, ok := d.homes.Address(d.nextHop(d.self, home))
	if !ok {
		return nil, false
	}
	return d.links.Link(info), true
}

// setTarget sets the runner that has the session's request, or nil. It returns false if the request was already
// cancelled.
func (sh *activeShard) setTarget(f *activeSession, target request.Runner) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	f.target = target
	return !f.cancelled
}

// waitBackoff waits before the next attempt. It returns false if the request is cancelled or ctx ends.
func (sh *activeShard) waitBackoff(ctx context.Context, f *activeSession, d time.Duration) bool {
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

// End implements request.Runner. It is a no-op for a session that neither holds a transaction nor runs a request.
func (d *Dispatcher) End(ctx context.Context, g upstream.GroupID, s request.SessionID) {
	sh := d.shard(s)
	sh.mu.Lock()
	f := sh.sessionStates[s]
	var target request.Runner
	if f != nil {
		target = f.target
		delete(sh.sessionStates, s)
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
	f := sh.sessionStates[s]
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

// trackedAnswer records whether any of the answer was written to the caller.
type trackedAnswer struct {
	request.Answer
	started bool
}

// Write implements request.Answer.
func (c *trackedAnswer) Write(p []byte) (int, error) {
	c.started = c.started || len(p) > 0
	return c.Answer.Write(p)
}
