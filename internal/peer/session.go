package peer

import (
	"context"

	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

// session is the state of one session on a stream: its queued tasks and whether it may hold a transaction. An idle
// session without a transaction is dropped.
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

// submit appends a task to the session's queue and assigns a worker to the session if none is active.
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
	if x.idleCount > 0 {
		x.idleCount--
		x.idleWorkers <- s
		return
	}
	x.work.Go(func() { x.worker(s) })
}

// maxIdleWorkers bounds the idle workers of a stream. They are kept because growing the stack of a new goroutine for
// each request takes 3 % of the CPU time of a hop. The bound is low because a stream rarely runs more requests at once
// and an instance may have thousands of streams.
const maxIdleWorkers = 4

// worker processes sessions until enough other workers are idle or the stream ends.
func (x *exchange) worker(s *session) {
	for ok := true; ok; {
		if !x.process(s) {
			return
		}
		s, ok = <-x.idleWorkers
	}
}

// process runs the session's tasks in order until the queue is empty. It reports whether the worker should wait for
// another session.
func (x *exchange) process(s *session) (wait bool) {
	for {
		x.mu.Lock()
		if len(s.queue) == 0 {
			s.busy = false
			if !s.open {
				delete(x.sessions, s.id)
			}
			if wait = x.idleCount < maxIdleWorkers; wait {
				x.idleCount++
			}
			x.mu.Unlock()
			return wait
		}
		t := s.queue[0]
		s.queue = s.queue[1:]
		x.mu.Unlock()
		x.runOrEnd(s, t)
	}
}

func (x *exchange) runOrEnd(s *session, t *task) {
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

// rollbackSessions rolls back the transactions of all sessions of the stream.
func (x *exchange) rollbackSessions() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), endTimeout)
	defer cancel()
	for id, s := range x.sessions {
		if s.open {
			x.handler.services.Runner.End(ctx, s.group, id)
		}
	}
}
