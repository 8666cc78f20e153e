package link

import (
	"context"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/request"
)

var (
	// errTransactionLost reports a session whose stream ended between two statements of a transaction. The instance at
	// the other end rolled the transaction back.
	errTransactionLost = errors.New("the link ended and the transaction was rolled back")
	errClosed          = errors.New("link is closed")
	errNoStream        = errors.New("link could not be set up")
)

// slot holds the stream that the requests of its sessions go over, and former streams that still have work.
type slot struct {
	client *Client
	work   sync.WaitGroup

	mu      sync.Mutex
	current *stream
	// leaving are streams that take no new sessions but finish the transactions that they hold.
	leaving []*stream
	// lost names the sessions that have not been told yet that their transaction is gone.
	lost   map[request.SessionID]struct{}
	closed bool
}

func newSlot(c *Client) *slot {
	return &slot{client: c, lost: make(map[request.SessionID]struct{})}
}

// begin registers a call for the request on the session's stream, and opens the stream if there is none. A stream that
// began to leave meanwhile is replaced once.
func (s *slot) begin(ctx context.Context, r *request.Request) (*call, error) {
	k, err := s.tryBegin(ctx, r)
	if errors.Is(err, errLeaving) {
		return s.tryBegin(ctx, r)
	}
	return k, err
}

func (s *slot) tryBegin(ctx context.Context, r *request.Request) (*call, error) {
	st, err := s.acquire(r.Session)
	if err != nil {
		return nil, err
	}
	select {
	case <-st.ready:
	default:
		if err := st.awaitReady(ctx); err != nil {
			return nil, err
		}
	}
	k, err := st.begin(r.Session)
	if err != nil {
		st.awaitEnd()
	}
	return k, err
}

func (s *slot) acquire(id request.SessionID) (*stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.lost[id]; ok {
		delete(s.lost, id)
		return nil, errTransactionLost
	}
	if s.closed {
		return nil, errClosed
	}
	for _, st := range s.leaving {
		if st.holds(id) {
			return st, nil
		}
	}
	if s.current == nil {
		s.current = newStream(s)
		s.work.Go(s.current.run)
	}
	return s.current, nil
}

// retire stops the use of a stream for sessions without a transaction.
func (s *slot) retire(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != st {
		return
	}
	s.current = nil
	s.leaving = append(s.leaving, st)
}

// remove forgets a stream that has ended and notes the sessions whose transaction went with it.
func (s *slot) remove(st *stream, lost []request.SessionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == st {
		s.current = nil
	}
	s.leaving = slices.DeleteFunc(s.leaving, func(l *stream) bool { return l == st })
	for _, id := range lost {
		s.lost[id] = struct{}{}
	}
}

// find returns the open stream that the session uses, or nil.
func (s *slot) find(id request.SessionID) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.leaving {
		if st.holds(id) {
			return st
		}
	}
	return s.current
}

// end forgets the session and returns its stream when the other instance must be told, or nil.
func (s *slot) end(id request.SessionID) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lost, id)
	for _, st := range append(s.leaving, s.current) {
		if st != nil && st.release(id) {
			return st
		}
	}
	return nil
}

func (s *slot) close() {
	s.mu.Lock()
	s.closed = true
	open := slices.Clone(s.leaving)
	if s.current != nil {
		open = append(open, s.current)
	}
	s.mu.Unlock()
	for _, st := range open {
		st.cancel(errClosed)
	}
	s.work.Wait()
}
