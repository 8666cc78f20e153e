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
	errSilent  = errors.New("link is silent")
	errLeaving = errors.New("link takes no new requests")
	errEnded   = errors.New("peer ended the link")
)

// stream is one Exchange stream over a TCP connection of its own, so that a connection that went silent is given up
// together with the stream.
type stream struct {
	slot      *slot
	transport *peer.Transport
	conn      *connect.BidiStreamForClient[peerv1.ExchangeRequest, peerv1.ExchangeResponse]
	ctx       context.Context
	cancel    context.CancelCauseFunc
	epoch     time.Time
	// ready is closed when the peer has answered the first heartbeat; done when the stream has ended.
	ready chan struct{}
	done  chan struct{}
	// heard and used are the times of the last received frame and of the last end of a call, in nanoseconds since epoch.
	heard, used atomic.Int64
	// pinged is the time of the heartbeat that has no answer yet, or 0.
	pinged atomic.Int64

	// sending guards conn.Send.
	sending sync.Mutex

	mu     sync.Mutex
	nextID uint64
	calls  map[uint64]*call
	// open names the sessions that may hold a transaction on this stream.
	open    map[request.SessionID]struct{}
	leaving bool
	ended   bool
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
	workers.Go(st.heartbeats)
	st.cancel(st.receive())
	st.transport.Abort()
	_ = st.conn.CloseRequest()
	_ = st.conn.CloseResponse()
	workers.Wait()
	st.finish()
	client.options.Metrics.streams.Dec()
}

// finish ends the calls of a stream on which nothing is sent or received any more.
func (st *stream) finish() {
	st.mu.Lock()
	st.ended = true
	calls := st.calls
	st.calls = nil
	for _, k := range calls {
		k.err = st.failure()
		delete(st.open, k.session)
	}
	lost := make([]request.SessionID, 0, len(st.open))
	for id := range st.open {
		lost = append(lost, id)
	}
	st.mu.Unlock()
	st.slot.remove(st, lost)
	close(st.done)
	st.report(len(calls), len(lost))
	for _, k := range calls {
		k.signal()
	}
}

func (st *stream) report(calls, lost int) {
	client := st.slot.client
	err := st.failure()
	if errors.Is(err, errEnded) && calls == 0 && lost == 0 {
		client.options.Log.Debug("link closed", "peer", client.id)
		return
	}
	client.options.Log.Warn("link failed", "peer", client.id, "address", client.address, "error", err,
		"requests", calls, "transactions", lost)
	client.options.Metrics.failures.Inc()
}

func (st *stream) failure() error {
	if err := context.Cause(st.ctx); err != nil {
		return err
	}
	return errNoStream
}

// monitor ends the stream when it is silent, and asks for its end when it is idle.
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
		if st.sinceEpoch()-time.Duration(st.heard.Load()) > limit {
			st.cancel(errSilent)
			continue
		}
		st.closeIfIdle()
	}
}

// awaitReady waits for the first answer of the peer.
func (st *stream) awaitReady(ctx context.Context) error {
	select {
	case <-st.ready:
		return nil
	case <-st.done:
		return st.failure()
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// awaitEnd waits until a stream that is ending has noted the transactions that went with it.
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

// closeIfIdle closes the sending side when no call or transaction is left and the stream is leaving or idle. The peer
// then ends the stream. A call that came meanwhile finds the stream leaving and uses a new one.
func (st *stream) closeIfIdle() {
	idle := st.sinceEpoch()-time.Duration(st.used.Load()) > st.slot.client.options.Idle
	st.mu.Lock()
	busy := len(st.calls) > 0 || len(st.open) > 0
	if busy || !idle && !st.leaving {
		st.mu.Unlock()
		return
	}
	st.leaving = true
	st.mu.Unlock()
	st.slot.retire(st)
	if st.sending.TryLock() {
		_ = st.conn.CloseRequest()
		st.sending.Unlock()
	}
}

// heartbeats sends a frame at each interval. It has a goroutine of its own because sending blocks on a stuck connection.
func (st *stream) heartbeats() {
	ticker := time.NewTicker(st.slot.client.options.Timing.Heartbeat)
	defer ticker.Stop()
	for {
		st.pinged.CompareAndSwap(0, int64(st.sinceEpoch()))
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

// send writes one frame. An error means that the peer cannot have received it whole.
func (st *stream) send(m *peerv1.ExchangeRequest) error {
	st.sending.Lock()
	defer st.sending.Unlock()
	return st.conn.Send(m)
}

func (st *stream) sendRun(k *call, r *request.Request) error {
	run := runs.Get().(*runMessage)
	defer runs.Put(run)
	peer.EncodeRequest(&run.run, r)
	run.frame.RequestId = k.id
	err := st.send(&run.frame)
	run.run.Messages = nil
	run.run.Parameters = nil
	if errors.Is(err, io.EOF) {
		return st.failure()
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

// receive handles frames until the stream ends, and returns why.
func (st *stream) receive() error {
	for {
		m, err := st.conn.Receive()
		switch {
		case errors.Is(err, io.EOF):
			return errEnded
		case err != nil:
			return err
		}
		st.heard.Store(int64(st.sinceEpoch()))
		if m.RequestId == 0 {
			st.control(m)
			continue
		}
		st.deliver(m)
	}
}

// control handles the answer to a heartbeat, or the notice that the peer is leaving.
func (st *stream) control(m *peerv1.ExchangeResponse) {
	if m.Result != nil {
		st.mu.Lock()
		st.leaving = true
		st.mu.Unlock()
		st.slot.retire(st)
		return
	}
	if !st.isReady() {
		close(st.ready)
	}
	if sent := st.pinged.Swap(0); sent != 0 {
		st.slot.client.options.Metrics.roundTrip.Observe((st.sinceEpoch() - time.Duration(sent)).Seconds())
	}
}

// runMessage is a reusable frame of a request.
type runMessage struct {
	frame peerv1.ExchangeRequest
	run   peerv1.RunRequest
}

var runs = sync.Pool{New: func() any {
	m := new(runMessage)
	m.frame.Body = &peerv1.ExchangeRequest_Run{Run: &m.run}
	return m
}}
