package peer

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Frames of an Exchange stream beyond requests and answers:
//
//   - A request without a body and with request_id 0 is a heartbeat. The server answers with an empty response. A client
//     sends requests only after the first answer, so a stream that cannot be set up has run nothing.
//   - A request without a body and with a request_id grants CreditBytes more of that request's answer.
//   - A cancel with a request_id aborts that request. Without one it asks for the cancellation of the statement.
//   - A response with request_id 0 and a result tells the client to send no new requests on the stream and to close it
//     when its requests are done.
const (
	// AnswerWindow is the number of answer bytes that the server sends before it waits for credit.
	AnswerWindow = 1 << 20
	// CreditBytes is what one credit frame grants.
	CreditBytes = 256 << 10
	// chunkBytes is the size at which buffered answer bytes are sent before the result.
	chunkBytes = 32 << 10
)

var (
	errLinkEnded  = errors.New("link ended")
	errLinkSilent = errors.New("link is silent")
	errAborted    = errors.New("request aborted by its sender")
)

// exchange is the server side of one stream.
type exchange struct {
	handler *Handler
	stream  *connect.BidiStream[peerv1.ExchangeRequest, peerv1.ExchangeResponse]
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// heard is the time of the last frame, in nanoseconds since epoch.
	heard atomic.Int64
	epoch time.Time
	work  sync.WaitGroup
	// handoff passes a session to one of the parked workers. It has room for all of them and is closed when no more
	// sessions come.
	handoff  chan *session
	out      writer[*frame]
	controls *controls

	mu       sync.Mutex
	sessions map[request.SessionID]*session
	answers  map[uint64]*answer
	// parked is the number of workers that wait for a session.
	parked int
}

// Exchange implements PeerService.
func (h *Handler) Exchange(
	ctx context.Context, stream *connect.BidiStream[peerv1.ExchangeRequest, peerv1.ExchangeResponse],
) error {
	if h.services.Runner == nil {
		return unimplemented("runner")
	}
	x := &exchange{
		handler:  h,
		stream:   stream,
		epoch:    time.Now(),
		sessions: make(map[request.SessionID]*session),
		answers:  make(map[uint64]*answer),
		controls: controlsOf(ctx),
		handoff:  make(chan *session, maxParked),
	}
	x.out.send = x.write
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	if !h.add(x) {
		return connect.NewError(connect.CodeUnavailable, errors.New("instance is leaving"))
	}
	defer h.remove(x)
	return x.serve()
}

// serve handles frames until the client closes the stream or the link fails, and then ends the sessions.
func (x *exchange) serve() error {
	var background sync.WaitGroup
	background.Go(func() { x.watch() })
	err := x.receive()
	if err != nil {
		x.cancel(errLinkEnded)
	}
	close(x.handoff)
	x.work.Wait()
	x.endSessions()
	x.cancel(errLinkEnded)
	x.out.stop()
	background.Wait()
	return err
}

// watch ends the stream when nothing was heard for too long. The read deadline ends the receive loop.
func (x *exchange) watch() {
	ticker := time.NewTicker(x.handler.timing.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-x.ctx.Done():
			x.controls.abortRead()
			return
		case <-ticker.C:
		}
		if time.Since(x.epoch)-time.Duration(x.heard.Load()) > x.handler.timing.Silence {
			x.cancel(errLinkSilent)
		}
	}
}

func (x *exchange) receive() error {
	for {
		m, err := x.stream.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		x.heard.Store(int64(time.Since(x.epoch)))
		x.dispatch(m)
	}
}

func (x *exchange) dispatch(m *peerv1.ExchangeRequest) {
	switch body := m.Body.(type) {
	case *peerv1.ExchangeRequest_Run:
		x.run(m.RequestId, body.Run)
	case *peerv1.ExchangeRequest_End:
		x.submit(request.SessionID(body.End.Session), &task{
			group: upstream.GroupID(body.End.Group),
			end:   true,
		})
	case *peerv1.ExchangeRequest_Cancel:
		x.cancelRequest(m.RequestId, body.Cancel)
	default:
		x.control(m.RequestId)
	}
}

// control handles a heartbeat or a credit.
func (x *exchange) control(id uint64) {
	if id == 0 {
		x.out.put(&frame{})
		return
	}
	x.mu.Lock()
	a := x.answers[id]
	x.mu.Unlock()
	if a != nil {
		a.credit()
	}
}

func (x *exchange) run(id uint64, m *peerv1.RunRequest) {
	r := DecodeRequest(m)
	ctx, cancel := context.WithCancelCause(x.ctx)
	a := newAnswer(x, ctx, cancel, id)
	x.mu.Lock()
	x.answers[id] = a
	x.mu.Unlock()
	x.submit(r.Session, &task{group: r.Group, request: r, answer: a})
}

func (x *exchange) cancelRequest(id uint64, ref *peerv1.SessionRef) {
	if id != 0 {
		x.mu.Lock()
		a := x.answers[id]
		x.mu.Unlock()
		if a != nil {
			a.cancel(errAborted)
		}
		return
	}
	x.work.Go(func() {
		x.handler.services.Runner.Cancel(x.ctx, upstream.GroupID(ref.Group), request.SessionID(ref.Session))
	})
}

// frame is one response to be written; release gives its buffer back afterwards.
type frame struct {
	response peerv1.ExchangeResponse
	release  func()
}

// write sends a frame. While more frames wait, the flush is left to the last one.
func (x *exchange) write(f *frame, more bool) error {
	x.controls.hold.Store(more)
	err := x.stream.Send(&f.response)
	if f.release != nil {
		f.release()
	}
	if err != nil {
		x.cancel(errLinkEnded)
	}
	return err
}

// leave asks the client to move its new requests elsewhere.
func (x *exchange) leave() {
	x.out.put(&frame{response: peerv1.ExchangeResponse{Result: &peerv1.RunResult{}}})
}

func (h *Handler) add(x *exchange) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining.Load() {
		return false
	}
	h.streams[x] = struct{}{}
	return true
}

func (h *Handler) remove(x *exchange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.streams, x)
	if h.draining.Load() && len(h.streams) == 0 {
		close(h.idle)
	}
}

// Drain refuses new streams, asks the clients of open ones to close them, and waits until they have, or until ctx ends.
// Then it ends the remaining ones.
func (h *Handler) Drain(ctx context.Context) error {
	h.mu.Lock()
	first := h.draining.CompareAndSwap(false, true)
	if first && len(h.streams) == 0 {
		close(h.idle)
	}
	open := make([]*exchange, 0, len(h.streams))
	for x := range h.streams {
		open = append(open, x)
	}
	h.mu.Unlock()
	for _, x := range open {
		x.leave()
	}
	select {
	case <-h.idle:
		return nil
	case <-ctx.Done():
	}
	for _, x := range open {
		x.cancel(errLinkEnded)
	}
	return errors.Wrap(ctx.Err(), "wait for links to close")
}

// controls gives the stream handler access to parts of the HTTP connection that connect does not pass on.
type controls struct {
	http.ResponseWriter
	// hold suppresses the flush that connect does after each message.
	hold atomic.Bool
}

type controlsKey struct{}

func withControls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &controls{ResponseWriter: w}
		next.ServeHTTP(c, r.WithContext(context.WithValue(r.Context(), controlsKey{}, c)))
	})
}

func controlsOf(ctx context.Context) *controls { return ctx.Value(controlsKey{}).(*controls) }

// Flush implements http.Flusher.
func (c *controls) Flush() {
	if !c.hold.Load() {
		_ = http.NewResponseController(c.ResponseWriter).Flush()
	}
}

// Unwrap lets http.ResponseController reach the connection.
func (c *controls) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// abortRead makes a blocked read of the request body return.
func (c *controls) abortRead() {
	_ = http.NewResponseController(c.ResponseWriter).SetReadDeadline(time.Unix(1, 0))
}
