package peer

import (
	"context"

	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

// session holds what a stream knows of one session: its tasks in order, and whether it holds a transaction. A session
// is forgotten when it is idle outside a transaction.
type session struct {
	id    request.SessionID
	queue []*task
	busy  bool
	// open is true while the session may hold a transaction of the group.
	open  bool
	group upstream.GroupID
}

// task is a request to run or the end of the session.
type task struct {
	group   upstream.GroupID
	request *request.Request
	answer  *answer
	end     bool
}

// submit appends a task to the session's queue and starts a worker if none is active.
func (x *exchange) submit(id request.SessionID, t *task) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.sessions[id]
	if s == nil {
		s = &session{id: id}
		x.sessions[id] = s
	}
	s.queue = append(s.queue, t)
	if s.busy {
		return
	}
	s.busy = true
	if x.parked > 0 {
		x.parked--
		x.handoff <- s
		return
	}
	x.work.Go(func() { x.worker(s) })
}

// maxParked bounds the workers of a stream that wait for a session. They keep their stacks: growing the stack of a new
// goroutine for each request took 3 % of the processor time of a hop. A stream rarely runs more requests at once, and an
// instance may have thousands of streams.
const maxParked = 4

// worker processes sessions until enough other workers wait for one, or the stream ends.
func (x *exchange) worker(s *session) {
	for ok := true; ok; {
		if !x.process(s) {
			return
		}
		s, ok = <-x.handoff
	}
}

// process runs the session's tasks in order until none is left. It reports whether the worker is to wait for another
// session.
func (x *exchange) process(s *session) (wait bool) {
	for {
		x.mu.Lock()
		if len(s.queue) == 0 {
			s.busy = false
			if !s.open {
				delete(x.sessions, s.id)
			}
			if wait = x.parked < maxParked; wait {
				x.parked++
			}
			x.mu.Unlock()
			return wait
		}
		t := s.queue[0]
		s.queue = s.queue[1:]
		x.mu.Unlock()
		x.perform(s, t)
	}
}

func (x *exchange) perform(s *session, t *task) {
	if t.end {
		x.handler.services.Runner.End(x.ctx, t.group, s.id)
		s.open = false
		return
	}
	result := x.runTask(t)
	s.group = t.group
	s.open = result.HoldsTransaction(s.open, t.request.Begins)
	x.mu.Lock()
	delete(x.answers, t.answer.id)
	x.mu.Unlock()
	t.answer.finish(&result)
}

func (x *exchange) runTask(t *task) request.Result {
	if err := context.Cause(t.answer.ctx); err != nil {
		return request.Result{Outcome: request.OutcomeNotRun, Code: codeQueryCanceled, Step: "link", Message: err.Error()}
	}
	return x.handler.services.Runner.Run(t.answer.ctx, t.request, t.answer)
}

// endSessions rolls back the transactions of all sessions that came over the stream.
func (x *exchange) endSessions() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), endTimeout)
	defer cancel()
	for id, s := range x.sessions {
		if s.open {
			x.handler.services.Runner.End(ctx, s.group, id)
		}
	}
}
