package link

import (
	"context"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/request"
)

var (
	// errTransactionLost is returned for a session whose stream ended between two statements of a transaction. The
	// instance at the other end rolled the transaction back.
	errTransactionLost = errors.New("the link ended and the transaction was rolled back")
	errTooLarge        = errors.New("messages and prepared statements are too large for one request")
	errClosed          = errors.New("link is closed")
	errNoStream        = errors.New("link could not be set up")
)

// slot holds the current stream for its share of the sessions, and draining streams that still have calls or
// transactions.
type slot struct {
	client *Client
	work   sync.WaitGroup

	mu      sync.Mutex
	current *stream
	// draining holds the streams that accept no new sessions but finish the transactions they hold.
	draining []*stream
	// lostTransactions holds the sessions that have not yet been informed that their transaction was rolled back.
	lostTransactions map[request.SessionID]struct{}
	closed           bool
}

func newSlot(c *Client) *slot {
	return &slot{client: c, lostTransactions: make(map[request.SessionID]struct{})}
}

// begin registers a call for the request on the session's stream, and opens a stream if there is none. If the stream
// started draining meanwhile, it retries once on a new one.
func (s *slot) begin(ctx context.Context, r *request.Request) (*call, error) {
	k, err := s.tryBegin(ctx, r)
	if errors.Is(err, errDraining) {
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
	if _, ok := s.lostTransactions[id]; ok {
		delete(s.lostTransactions, id)
		return nil, errTransactionLost
	}
	if s.closed {
		return nil, errClosed
	}
	for _, st := range s.draining {
		if st.hasTransaction(id) {
			return st, nil
		}
	}
	if s.current == nil {
		s.current = newStream(s)
		s.work.Go(s.current.run)
	}
	return s.current, nil
}

// drain stops the use of a stream for sessions without a transaction.
func (s *slot) drain(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != st {
		return
	}
	s.current = nil
	s.draining = append(s.draining, st)
}

// remove drops a stream that has ended and records the sessions whose transactions were lost.
func (s *slot) remove(st *stream, lostTransactions []request.SessionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == st {
		s.current = nil
	}
	s.draining = slices.DeleteFunc(s.draining, func(l *stream) bool { return l == st })
	for _, id := range lostTransactions {
		s.lostTransactions[id] = struct{}{}
	}
}

// find returns the stream that the session uses, or nil if none is open.
func (s *slot) find(id request.SessionID) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.draining {
		if st.hasTransaction(id) {
			return st
		}
	}
	return s.current
}

// end drops the session. It returns the session's stream if the other instance must be informed, or nil.
func (s *slot) end(id request.SessionID) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lostTransactions, id)
	for _, st := range append(s.draining, s.current) {
		if st != nil && st.endSession(id) {
			return st
		}
	}
	return nil
}

func (s *slot) close() {
	s.mu.Lock()
	s.closed = true
	open := slices.Clone(s.draining)
	if s.current != nil {
		open = append(open, s.current)
	}
	s.mu.Unlock()
	for _, st := range open {
		st.cancel(errClosed)
	}
	s.work.Wait()
}
