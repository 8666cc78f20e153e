package link

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/internal/peer"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

var (
	errSilent   = errors.New("link is silent")
	errDraining = errors.New("link takes no new requests")
	errEnded    = errors.New("peer ended the link")
)

// stream is one Exchange stream over its own TCP connection, so an unresponsive connection is closed together with the
// stream.
type stream struct {
	slot      *slot
	transport *peer.Transport
	conn      *connect.BidiStreamForClient[peerv1.ExchangeRequest, peerv1.ExchangeResponse]
	ctx       context.Context
	cancel    context.CancelCauseFunc
	epoch     time.Time
	// ready is closed when the peer has answered the first heartbeat; done is closed when the stream has ended.
	ready chan struct{}
	done  chan struct{}
	// lastReceived and lastUsed are the times of the last received frame and of the last end of a call, in nanoseconds
	// since epoch.
	lastReceived, lastUsed atomic.Int64
	// pingSentAt is the send time of the unanswered heartbeat in nanoseconds since epoch, or 0.
	pingSentAt atomic.Int64

	// sendMu guards conn.Send and conn.CloseRequest.
	sendMu sync.Mutex

	mu     sync.Mutex
	nextID uint64
	calls  map[uint64]*call
	// open holds the sessions that may hold a transaction on this stream.
	open     map[request.SessionID]struct{}
	draining bool
	ended    bool
}

func newStream(s *slot) *stream {
	st := &stream{
		slot:      s,
		transport: peer.NewTransport(s.client.options.Store),
		epoch:     time.Now(),
		ready:     make(chan struct{}),
		done:      make(chan struct{}),
		calls:     make(map[uint64]*call),
		open:      make(map[request.SessionID]struct{}),
	}
	st.ctx, st.cancel = context.WithCancelCause(context.Background())
	st.conn = peer.NewServiceClient(st.transport, s.client.address).Exchange(st.ctx)
	return st
}

func (st *stream) sinceEpoch() time.Duration { return time.Since(st.epoch) }

// run serves the stream until it ends and then ends its calls.
func (st *stream) run() {
	client := st.slot.client
	client.options.Metrics.streams.Inc()
	client.options.Log.Debug("link opening", "peer", client.id, "address", client.address)
	var workers sync.WaitGroup
	workers.Go(st.monitor)
	workers.Go(st.sendHeartbeats)
	st.cancel(st.receive())
	st.transport.Abort()
	_ = st.conn.CloseRequest()
	_ = st.conn.CloseResponse()
	workers.Wait()
	st.endCalls()
	client.options.Metrics.streams.Dec()
}

// endCalls ends the calls of a stream on which nothing is sent or received any more.
func (st *stream) endCalls() {
	st.mu.Lock()
	st.ended = true
	calls := st.calls
	st.calls = nil
	for _, k := range calls {
		k.err = st.endCause()
		delete(st.open, k.session)
	}
	lost := make([]request.SessionID, 0, len(st.open))
	for id := range st.open {
		lost = append(lost, id)
	}
	st.mu.Unlock()
	st.slot.remove(st, lost)
	close(st.done)
	st.logEnd(len(calls), len(lost))
	for _, k := range calls {
		k.notify()
	}
}

func (st *stream) logEnd(calls, lost int) {
	client := st.slot.client
	err := st.endCause()
	if errors.Is(err, errEnded) && calls == 0 && lost == 0 {
		client.options.Log.Debug("link closed", "peer", client.id)
		return
	}
	client.options.Log.Warn("link failed", "peer", client.id, "address", client.address, "error", err,
		"requests", calls, "transactions", lost)
	client.options.Metrics.failures.Inc()
}

func (st *stream) endCause() error {
	if err := context.Cause(st.ctx); err != nil {
		return err
	}
	return errNoStream
}

// monitor cancels the stream if no frame was received for Timing.Silence, and closes it if it is idle.
func (st *stream) monitor() {
	timing := st.slot.client.options.Timing
	ticker := time.NewTicker(timing.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-st.ctx.Done():
			st.transport.Abort()
			return
		case <-ticker.C:
		}
		limit := timing.Silence
		if !st.isReady() {
			limit = max(limit, setupTimeout)
		}
		if st.sinceEpoch()-time.Duration(st.lastReceived.Load()) > limit {
			st.cancel(errSilent)
			continue
		}
		st.closeIfIdle()
	}
}

// awaitReady waits for the first response of the peer.
func (st *stream) awaitReady(ctx context.Context) error {
	select {
	case <-st.ready:
		return nil
	case <-st.done:
		return st.endCause()
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// awaitEnd waits until a stream that is ending has recorded its lost transactions.
func (st *stream) awaitEnd() {
	st.mu.Lock()
	ended := st.ended
	st.mu.Unlock()
	if ended {
		<-st.done
	}
}

func (st *stream) isReady() bool {
	select {
	case <-st.ready:
		return true
	default:
		return false
	}
}

// closeIfIdle closes the sending side if no call or transaction is left and the stream is draining or idle. The peer
// then ends the stream. A call that starts meanwhile finds the stream draining and uses a new one.
func (st *stream) closeIfIdle() {
	idle := st.sinceEpoch()-time.Duration(st.lastUsed.Load()) > st.slot.client.options.Idle
	st.mu.Lock()
	busy := len(st.calls) > 0 || len(st.open) > 0
	if busy || !idle && !st.draining {
		st.mu.Unlock()
		return
	}
	st.draining = true
	st.mu.Unlock()
	st.slot.drain(st)
	if st.sendMu.TryLock() {
		_ = st.conn.CloseRequest()
		st.sendMu.Unlock()
	}
}

// sendHeartbeats sends a heartbeat at each interval. It runs in its own goroutine because sending blocks on an
// unresponsive connection.
func (st *stream) sendHeartbeats() {
	ticker := time.NewTicker(st.slot.client.options.Timing.Heartbeat)
	defer ticker.Stop()
	for {
		st.pingSentAt.CompareAndSwap(0, int64(st.sinceEpoch()))
		if err := st.send(&peerv1.ExchangeRequest{}); err != nil && !errors.Is(err, io.EOF) {
			st.cancel(err)
			return
		}
		select {
		case <-st.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// send writes one frame. After an error the peer cannot have received the frame completely.
func (st *stream) send(m *peerv1.ExchangeRequest) error {
	st.sendMu.Lock()
	defer st.sendMu.Unlock()
	return st.conn.Send(m)
}

func (st *stream) sendRun(k *call, r *request.Request) error {
	run := runMessages.Get().(*runMessage)
	defer runMessages.Put(run)
	peer.EncodeRequest(&run.run, r)
	run.frame.RequestId = k.id
	err := st.send(&run.frame)
	run.run.Messages = nil
	run.run.Parameters = nil
	if errors.Is(err, io.EOF) {
		return st.endCause()
	}
	return err
}

func (st *stream) sendEnd(g upstream.GroupID, s request.SessionID) {
	ref := &peerv1.SessionRef{Group: string(g), Session: string(s)}
	_ = st.send(&peerv1.ExchangeRequest{Body: &peerv1.ExchangeRequest_End{End: ref}})
}

func (st *stream) sendCancel(id uint64, g upstream.GroupID, s request.SessionID) {
	ref := &peerv1.SessionRef{Group: string(g), Session: string(s)}
	_ = st.send(&peerv1.ExchangeRequest{RequestId: id, Body: &peerv1.ExchangeRequest_Cancel{Cancel: ref}})
}

func (st *stream) sendCredit(id uint64) { _ = st.send(&peerv1.ExchangeRequest{RequestId: id}) }

// receive handles frames until the stream ends and returns the reason.
func (st *stream) receive() error {
	for {
		m, err := st.conn.Receive()
		switch {
		case errors.Is(err, io.EOF):
			return errEnded
		case err != nil:
			return err
		}
		st.lastReceived.Store(int64(st.sinceEpoch()))
		if m.RequestId == 0 {
			st.handleControl(m)
			continue
		}
		st.deliver(m)
	}
}

// handleControl handles the response to a heartbeat, or the peer's request to close the stream.
func (st *stream) handleControl(m *peerv1.ExchangeResponse) {
	if m.Result != nil {
		st.mu.Lock()
		st.draining = true
		st.mu.Unlock()
		st.slot.drain(st)
		return
	}
	if !st.isReady() {
		close(st.ready)
	}
	if sent := st.pingSentAt.Swap(0); sent != 0 {
		st.slot.client.options.Metrics.roundTrip.Observe((st.sinceEpoch() - time.Duration(sent)).Seconds())
	}
}

// runMessage is a reusable request frame.
type runMessage struct {
	frame peerv1.ExchangeRequest
	run   peerv1.RunRequest
}

var runMessages = sync.Pool{New: func() any {
	m := new(runMessage)
	m.frame.Body = &peerv1.ExchangeRequest_Run{Run: &m.run}
	return m
}}
