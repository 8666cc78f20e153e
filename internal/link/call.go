package link

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/internal/peer"
	"github.com/celerystep/celerystep/internal/request"
)

// maxBufferedBytes bounds the answer bytes that wait for a slow caller. The peer stops sending at peer.AnswerWindow; if
// it sends more, it violates the protocol and the request is aborted.
const maxBufferedBytes = peer.AnswerWindow + peer.CreditBytes

var errCreditExceeded = errors.New("peer sent more answer bytes than were asked for")

// call is one request on a stream.
type call struct {
	stream  *stream
	id      uint64
	session request.SessionID
	// inTransaction is true if the session may have been inside a transaction when the call began.
	inTransaction bool
	// wake buffers one signal that the fields below have changed.
	wake chan struct{}

	// The fields below are guarded by stream.mu until the call is removed from the stream.
	chunks      [][]byte
	spareChunks [][]byte
	buffered    int
	result      *peerv1.RunResult
	err         error
}

var calls = sync.Pool{New: func() any { return &call{wake: make(chan struct{}, 1)} }}

// begin registers a call on the stream.
func (st *stream) begin(session request.SessionID) (*call, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	_, inTransaction := st.open[session]
	if st.ended || st.draining && !inTransaction {
		return nil, errDraining
	}
	st.nextID++
	k := calls.Get().(*call)
	k.stream = st
	k.id = st.nextID
	k.session = session
	k.inTransaction = inTransaction
	st.calls[k.id] = k
	return k, nil
}

// hasTransaction reports whether the session may be inside a transaction on the stream.
func (st *stream) hasTransaction(id request.SessionID) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	_, ok := st.open[id]
	return ok
}

// endSession records that the session has ended and reports whether it may be inside a transaction on the open stream.
func (st *stream) endSession(id request.SessionID) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	_, ok := st.open[id]
	delete(st.open, id)
	return ok && !st.ended
}

// removeCall removes a call and records whether its session may be inside a transaction.
func (st *stream) removeCall(k *call, open bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.calls, k.id)
	st.setOpen(k.session, open)
	st.lastUsed.Store(int64(st.sinceEpoch()))
}

func (st *stream) setOpen(id request.SessionID, open bool) {
	if open && !st.ended {
		st.open[id] = struct{}{}
	} else {
		delete(st.open, id)
	}
}

// deliver passes a frame to its call. A frame for an abandoned call is dropped.
func (st *stream) deliver(m *peerv1.ExchangeResponse) {
	st.mu.Lock()
	k := st.calls[m.RequestId]
	if k == nil {
		st.mu.Unlock()
		return
	}
	if len(m.Answer) > 0 {
		k.chunks = append(k.chunks, m.Answer)
		k.buffered += len(m.Answer)
	}
	if m.Result != nil {
		k.result = m.Result
	}
	if k.buffered > maxBufferedBytes {
		k.err = errCreditExceeded
	}
	st.mu.Unlock()
	k.notify()
}

// notify wakes the call. A late signal may reach the next user of the pooled call, which finds no change.
func (k *call) notify() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// takeReceived returns what has arrived since the last call of takeReceived.
func (k *call) takeReceived() (chunks [][]byte, result *peerv1.RunResult, err error) {
	k.stream.mu.Lock()
	defer k.stream.mu.Unlock()
	chunks = k.chunks
	k.chunks, k.spareChunks = k.spareChunks[:0], chunks
	k.buffered = 0
	return chunks, k.result, k.err
}

// wait forwards the answer until the result arrives, the stream ends, or ctx ends.
func (k *call) wait(ctx context.Context, r *request.Request, a request.Answer) request.Result {
	consumed := 0
	for {
		select {
		case <-k.wake:
		case <-ctx.Done():
			return k.abort(r, context.Cause(ctx))
		}
		chunks, result, err := k.takeReceived()
		for i, p := range chunks {
			if _, err := a.Write(p); err != nil {
				return k.abort(r, err)
			}
			consumed += len(p)
			chunks[i] = nil
		}
		switch {
		case result != nil:
			return k.complete(r, result)
		case err != nil:
			return k.fail(r, err)
		}
		for ; consumed >= peer.CreditBytes; consumed -= peer.CreditBytes {
			k.stream.sendCredit(k.id)
		}
	}
}

func (k *call) complete(r *request.Request, m *peerv1.RunResult) request.Result {
	result := peer.DecodeResult(m)
	st := k.stream
	st.removeCall(k, result.HoldsTransaction(k.inTransaction, r.Begins))
	k.recycle()
	return result
}

// fail ends a call that has no result.
func (k *call) fail(r *request.Request, err error) request.Result {
	if errors.Is(err, errCreditExceeded) {
		return k.abort(r, err)
	}
	k.stream.removeCall(k, false)
	if r.Kind == request.KindRead {
		return k.unknownOutcome(codeReadFailed, errors.Wrap(err, "read failed without effect"))
	}
	return k.unknownOutcome(codeUnknownOutcome, errors.Wrap(err, "outcome unknown"))
}

// abort abandons a call whose caller no longer needs the answer, and cancels the request.
func (k *call) abort(r *request.Request, err error) request.Result {
	st := k.stream
	st.removeCall(k, k.inTransaction || r.Begins)
	st.sendCancel(k.id, r.Group, r.Session)
	return k.unknownOutcome(codeQueryCanceled, errors.Wrap(err, "outcome unknown"))
}

func (k *call) unknownOutcome(code string, err error) request.Result {
	return request.Result{
		Outcome: request.OutcomeUnknown,
		Code:    code,
		Message: err.Error(),
		Step:    "link",
		Peer:    string(k.stream.slot.client.id),
	}
}

// recycle returns a completed call to the pool. Only a late notify, which uses nothing but wake, may still refer to it.
func (k *call) recycle() {
	select {
	case <-k.wake:
	default:
	}
	k.stream = nil
	k.session = ""
	k.chunks = k.chunks[:0]
	k.result = nil
	k.err = nil
	calls.Put(k)
}
