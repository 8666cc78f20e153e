package load

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Pauses between attempts to connect.
const (
	reconnectPauseMin = 10 * time.Millisecond
	reconnectPauseMax = 200 * time.Millisecond
)

// applicationName is what the sessions call themselves.
const applicationName = "celerystep-load"

// retryReserve is the least time before a request's deadline at which it is still attempted again.
const retryReserve = 50 * time.Millisecond

// idsPerSession leaves each session its own range of ids, so that sessions need no shared counter.
const idsPerSession = 1 << 32

// session is a caller. It handles its requests one after the other, on one connection at a time.
type session struct {
	gen    *Generator
	id     check.SessionID
	stream *Stream
	group  upstream.GroupID
	rng    *rand.Rand

	conn  *conn
	token string
	// written holds the number of the row that the session updated last, by table.
	written map[string]int
	// first is the credential that a session with KeepKey uses for ever.
	first *Credential
	// lastKey and lastInstance are those of the last connection attempt.
	lastKey      string
	lastInstance instance.ID
	lastID       uint64
	lastUse      time.Time

	queue queue

	operations []check.Operation
	requests   []check.Request
}

// queue holds the arrivals that wait for their session.
type queue struct {
	mu      sync.Mutex
	waiting []queued
	closed  bool
	signal  chan struct{}
}

// queued is an arrival with its number.
type queued struct {
	id      check.RequestID
	arrival *arrival
}

func (q *queue) push(a queued) {
	q.mu.Lock()
	q.waiting = append(q.waiting, a)
	q.mu.Unlock()
	q.wake()
}

func (q *queue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.wake()
}

func (q *queue) wake() {
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

// pop returns the next arrival; done is true when there will be none.
func (q *queue) pop() (a queued, ok, done bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		return queued{}, false, q.closed
	}
	a = q.waiting[0]
	q.waiting = q.waiting[1:]
	return a, true, false
}

// nextID returns an id that no other session uses.
func (s *session) nextID() uint64 {
	s.lastID++
	return uint64(s.id)*idsPerSession + s.lastID
}

// run handles arrivals until the queue is closed and empty, or ctx ends.
func (s *session) run(ctx context.Context) {
	defer s.hangUp()
	for ctx.Err() == nil {
		a, ok, done := s.queue.pop()
		if done {
			return
		}
		if ok {
			s.handle(ctx, a)
			continue
		}
		s.wait(ctx)
	}
}

// wait blocks until there is an arrival, and closes the connection when the session stays idle for long enough.
func (s *session) wait(ctx context.Context) {
	var idle <-chan time.Time
	if s.gen.idleClose > 0 && s.conn != nil {
		t := time.NewTimer(s.gen.idleClose)
		defer t.Stop()
		idle = t.C
	}
	select {
	case <-s.queue.signal:
	case <-idle:
		s.hangUp()
	case <-ctx.Done():
	}
}

// hangUp closes the connection.
func (s *session) hangUp() {
	if s.conn == nil {
		return
	}
	s.token = s.conn.token
	s.conn.close()
	s.conn = nil
}

// handle runs one request to its final outcome and records it.
func (s *session) handle(ctx context.Context, q queued) {
	a := q.arrival
	intended := s.gen.start.Add(a.at)
	r := check.Request{
		ID: q.id, Session: s.id, Customer: s.stream.Customer, Group: s.group, Class: a.work.class,
		Write: a.work.writes(), Statements: a.work.cost(), Entitled: a.entitled,
		Intended: intended, Start: time.Now(), Outcome: check.OutcomeNotSent,
	}
	r.Idle = !s.lastUse.After(intended)
	deadline := intended.Add(s.gen.timeout)
	if a.roam {
		s.hangUp()
	}
	s.attempt(ctx, a, &r, deadline)
	r.Key = s.lastKey
	r.Done = time.Now()
	s.lastUse = r.Done
	s.requests = append(s.requests, r)
	s.gen.progress.count(&r)
}

// attempt tries the request until it has an outcome that is not worth another try. Only what certainly was not run,
// because the connection had ended between requests, is tried again.
func (s *session) attempt(ctx context.Context, a *arrival, r *check.Request, deadline time.Time) {
	for ctx.Err() == nil && time.Until(deadline) > retryReserve {
		if code, ok := s.connect(ctx, deadline, r.ID); !ok {
			r.Code = code
			if code != "" {
				r.Outcome = check.OutcomeNotRun
			}
			return
		}
		r.Attempts++
		var again bool
		r.Outcome, r.Code, again = s.execute(a, r.ID)
		if !again {
			return
		}
	}
}

// connect makes sure that there is a usable connection, trying instances until the deadline. The code is that of the
// last refusal by a server, empty when none answered.
func (s *session) connect(ctx context.Context, deadline time.Time, request check.RequestID) (code string, ok bool) {
	if s.conn != nil && s.conn.endedWhileIdle() {
		s.conn.drop()
		s.conn = nil
	}
	pause := reconnectPauseMin
	for s.conn == nil {
		var refused bool
		code, refused = s.connectOnce(ctx, request)
		if s.conn != nil {
			break
		}
		if refused && s.stream.KeepKey {
			return code, false
		}
		if time.Until(deadline) < pause+retryReserve || !ctxtime.Sleep(ctx, pause) {
			return code, false
		}
		pause = min(2*pause, reconnectPauseMax)
	}
	return "", true
}

// connectOnce tries one instance. refused is true when the server refused the key.
func (s *session) connectOnce(ctx context.Context, request check.RequestID) (code string, refused bool) {
	cred, err := s.credential()
	if err != nil {
		return "", false
	}
	e, ok := s.pick(s.gen.target.Endpoints(s.stream.Database))
	if !ok {
		return "", false
	}
	s.lastKey, s.lastInstance = cred.KeyName(), e.Instance
	op := s.operation(request, nil, check.KindConnect)
	op.Key = s.lastKey
	op.Instance, op.FailureDomain = e.Instance, e.FailureDomain
	op.Invoke = time.Now()
	c, err := dial(ctx, &s.gen.clients, e, cred, s.parameters())
	op.Return = time.Now()
	op.Outcome = check.OutcomeOK
	if err != nil {
		code = codeOf(err)
		op.Outcome, op.Code = check.OutcomeNotRun, code
		s.operations = append(s.operations, op)
		return code, strings.HasPrefix(code, codeClassAuthorization)
	}
	c.number = s.nextID()
	c.key = op.Key
	s.conn = c
	op.Connection = c.number
	s.operations = append(s.operations, op)
	return "", false
}

// pick returns another endpoint than the last one, if there is any.
func (s *session) pick(endpoints []Endpoint) (Endpoint, bool) {
	others := make([]Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if e.Instance != s.lastInstance {
			others = append(others, e)
		}
	}
	if len(others) == 0 {
		others = endpoints
	}
	if len(others) == 0 {
		return Endpoint{}, false
	}
	return others[s.rng.IntN(len(others))], true
}

func (s *session) credential() (Credential, error) {
	if s.first != nil {
		return *s.first, nil
	}
	cred, err := s.gen.target.Credential(s.stream.Customer)
	if err == nil && s.stream.KeepKey {
		s.first = &cred
	}
	return cred, err
}

// parameters returns the start-up parameters of the session's next connection.
func (s *session) parameters() map[string]string {
	p := map[string]string{"database": s.stream.Database, "application_name": applicationName}
	if !s.gen.proxy {
		return p
	}
	if s.stream.MaxAge > 0 {
		p[parameterMaxAge] = strconv.FormatInt(s.stream.MaxAge.D().Milliseconds(), 10)
	}
	if s.stream.Token && s.token != "" {
		p[parameterToken] = s.token
	}
	return p
}
