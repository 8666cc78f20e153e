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

// Frames of an Exchange stream other than requests and answers:
//
//   - A request without a body and with request_id 0 is a heartbeat. The server responds with an empty frame. A client
//     sends requests only after the first response, so a stream that could not be set up has run nothing.
//   - A request without a body and with a request_id grants CreditBytes more of that request's answer.
//   - A cancel with a request_id aborts that request. Without one it requests the cancellation of the session's
//     statement.
//   - A response with request_id 0 and a result asks the client to send no new requests on the stream and to close it
//     when its requests are done.
const (
	// AnswerWindow is the number of answer bytes that the server sends without further credit.
	AnswerWindow = 1 << 20
	// CreditBytes is the credit granted by one frame.
	CreditBytes = 256 << 10
	// chunkBytes is the number of buffered answer bytes that are sent without waiting for the result.
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
	// lastReceived is the time of the last received frame in nanoseconds since epoch.
	lastReceived atomic.Int64
	epoch        time.Time
	work         sync.WaitGroup
	// idleWorkers passes a session to an idle worker. Its capacity covers all idle workers. It is closed once no more
	// sessions can arrive.
	idleWorkers    chan *session
	frames         writer[*frame]
	streamControls *streamControls

	mu       sync.Mutex
	sessions map[request.SessionID]*session
	answers  map[uint64]*answer
	// idleCount is the number of workers waiting for a session.
	idleCount int
}

// Exchange implements PeerService.
func (h *Handler) Exchange(
	ctx context.Context, stream *connect.BidiStream[peerv1.ExchangeRequest, peerv1.ExchangeResponse],
) error {
	if h.services.Runner == nil {
		return unimplemented("runner")
	}
	x := &exchange{
		handler:        h,
		stream:         stream,
		epoch:          time.Now(),
		sessions:       make(map[request.SessionID]*session),
		answers:        make(map[uint64]*answer),
		streamControls: controlsOf(ctx),
		idleWorkers:    make(chan *session, maxIdleWorkers),
	}
	x.frames.send = x.write
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	if !h.add(x) {
		return connect.NewError(connect.CodeUnavailable, errors.New("instance is leaving"))
	}
	defer h.remove(x)
	return x.serve()
}

// serve handles frames until the client closes the stream or the link fails, and then rolls back the open transactions.
func (x *exchange) serve() error {
	var background sync.WaitGroup
	background.Go(func() { x.closeIfSilent() })
	err := x.receive()
	if err != nil {
		x.cancel(errLinkEnded)
	}
	close(x.idleWorkers)
	x.work.Wait()
	x.rollbackSessions()
	x.cancel(errLinkEnded)
	x.frames.stop()
	background.Wait()
	return err
}

// closeIfSilent ends the stream if no frame was received for Timing.Silence. Setting the read deadline ends the receive
// loop.
func (x *exchange) closeIfSilent() {
	ticker := time.NewTicker(x.handler.timing.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-x.ctx.Done():
			x.streamControls.abortRead()
			return
		case <-ticker.C:
		}
		if time.Since(x.epoch)-time.Duration(x.lastReceived.Load()) > x.handler.timing.Silence {
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
		x.lastReceived.Store(int64(time.Since(x.epoch)))
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
		x.handleControl(m.RequestId)
	}
}

// handleControl handles a heartbeat or a credit.
func (x *exchange) handleControl(id uint64) {
	if id == 0 {
		x.frames.put(&frame{})
		return
	}
	x.mu.Lock()
	a := x.answers[id]
	x.mu.Unlock()
	if a != nil {
		a.addCredit()
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

// frame is one response to be sent; release returns its buffer to the pool afterwards.
type frame struct {
	response peerv1.ExchangeResponse
	release  func()
}

// write sends a frame. If more is true, the flush is left to a later frame.
func (x *exchange) write(f *frame, more bool) error {
	x.streamControls.deferFlush.Store(more)
	err := x.stream.Send(&f.response)
	if f.release != nil {
		f.release()
	}
	if err != nil {
		x.cancel(errLinkEnded)
	}
	return err
}

// requestClose asks the client to send no new requests on the stream.
func (x *exchange) requestClose() {
	x.frames.put(&frame{response: peerv1.ExchangeResponse{Result: &peerv1.RunResult{}}})
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
		close(h.drained)
	}
}

// Drain refuses new streams, asks the clients of open ones to close them, and waits until they have or ctx ends. It
// then aborts the remaining streams.
func (h *Handler) Drain(ctx context.Context) error {
	h.mu.Lock()
	first := h.draining.CompareAndSwap(false, true)
	if first && len(h.streams) == 0 {
		close(h.drained)
	}
	open := make([]*exchange, 0, len(h.streams))
	for x := range h.streams {
		open = append(open, x)
	}
	h.mu.Unlock()
	for _, x := range open {
		x.requestClose()
	}
	select {
	case <-h.drained:
		return nil
	case <-ctx.Done():
	}
	for _, x := range open {
		x.cancel(errLinkEnded)
	}
	return errors.Wrap(ctx.Err(), "wait for links to close")
}

// streamControls gives the stream handler access to parts of the HTTP connection that connect does not expose.
type streamControls struct {
	http.ResponseWriter
	// deferFlush suppresses the flush that connect performs after each message.
	deferFlush atomic.Bool
}

type controlsKey struct{}

func withStreamControls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &streamControls{ResponseWriter: w}
		next.ServeHTTP(c, r.WithContext(context.WithValue(r.Context(), controlsKey{}, c)))
	})
}

func controlsOf(ctx context.Context) *streamControls {
	return ctx.Value(controlsKey{}).(*streamControls)
}

// Flush implements http.Flusher.
func (c *streamControls) Flush() {
	if !c.deferFlush.Load() {
		_ = http.NewResponseController(c.ResponseWriter).Flush()
	}
}

// Unwrap gives http.ResponseController access to the connection.
func (c *streamControls) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// abortRead unblocks a read of the request body.
func (c *streamControls) abortRead() {
	_ = http.NewResponseController(c.ResponseWriter).SetReadDeadline(time.Unix(1, 0))
}
