package link

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/internal/peer"
	"github.com/celerystep/celerystep/internal/request"
)

// maxBuffered bounds the answer bytes that wait for a slow caller. The peer stops at peer.AnswerWindow; a peer that
// sends more does not follow the protocol, and its request is aborted.
const maxBuffered = peer.AnswerWindow + peer.CreditBytes

var errOverflow = errors.New("peer sent more answer bytes than were asked for")

// call is one request on a stream.
type call struct {
	stream  *stream
	id      uint64
	session request.SessionID
	// held is true when the session may have been inside a transaction when the call began.
	held bool
	// wake has room for one signal that the fields below have changed.
	wake chan struct{}

	// The fields below are guarded by stream.mu until the call is forgotten.
	chunks   [][]byte
	spare    [][]byte
	buffered int
	result   *peerv1.RunResult
	err      error
}

var calls = sync.Pool{New: func() any { return &call{wake: make(chan struct{}, 1)} }}

// begin registers a call on the stream.
func (st *stream) begin(session request.SessionID) (*call, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	_, held := st.open[session]
	if st.ended || st.leaving && !held {
		return nil, errLeaving
	}
	st.nextID++
	k := calls.Get().(*call)
	k.stream = st
	k.id = st.nextID
	k.session = session
	k.held = held
	st.calls[k.id] = k
	return k, nil
}

// holds reports whether the session may be inside a transaction on the stream.
func (st *stream) holds(id request.SessionID) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	_, ok := st.open[id]
	return ok
}

// release notes that the session has ended and reports whether it was inside a transaction.
func (st *stream) release(id request.SessionID) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	_, ok := st.open[id]
	delete(st.open, id)
	return ok && !st.ended
}

// forget removes a call and notes whether its session may be inside a transaction.
func (st *stream) forget(k *call, open bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.calls, k.id)
	st.note(k.session, open)
	st.used.Store(int64(st.sinceEpoch()))
}

func (st *stream) note(id request.SessionID, open bool) {
	if open && !st.ended {
		st.open[id] = struct{}{}
	} else {
		delete(st.open, id)
	}
}

// deliver hands a frame to its call. A frame for a call that was given up is dropped.
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
	if k.buffered > maxBuffered {
		k.err = errOverflow
	}
	st.mu.Unlock()
	k.signal()
}

// signal wakes the call. A signal that comes late may reach the next user of the call, who finds nothing new.
func (k *call) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// take returns what has arrived since the last call.
func (k *call) take() (chunks [][]byte, result *peerv1.RunResult, err error) {
	k.stream.mu.Lock()
	defer k.stream.mu.Unlock()
	chunks = k.chunks
	k.chunks, k.spare = k.spare[:0], chunks
	k.buffered = 0
	return chunks, k.result, k.err
}

// wait passes the answer on until the result arrives, the stream ends, or ctx ends.
func (k *call) wait(ctx context.Context, r *request.Request, a request.Answer) request.Result {
	consumed := 0
	for {
		select {
		case <-k.wake:
		case <-ctx.Done():
			return k.abort(r, context.Cause(ctx))
		}
		chunks, result, err := k.take()
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
			return k.broken(r, err)
		}
		for ; consumed >= peer.CreditBytes; consumed -= peer.CreditBytes {
			k.stream.sendCredit(k.id)
		}
	}
}

func (k *call) complete(r *request.Request, m *peerv1.RunResult) request.Result {
	result := peer.DecodeResult(m)
	st := k.stream
	st.forget(k, result.HoldsTransaction(k.held, r.Begins))
	k.reuse()
	return result
}

// broken ends a call without a result.
func (k *call) broken(r *request.Request, err error) request.Result {
	if errors.Is(err, errOverflow) {
		return k.abort(r, err)
	}
	k.stream.forget(k, false)
	return k.unknown(codeUnknownOutcome, err)
}

// abort gives up a call whose caller does not want the answer any more.
func (k *call) abort(r *request.Request, err error) request.Result {
	st := k.stream
	st.forget(k, k.held || r.Begins)
	st.sendCancel(k.id, r.Group, r.Session)
	return k.unknown(codeQueryCanceled, err)
}

func (k *call) unknown(code string, err error) request.Result {
	return request.Result{
		Outcome: request.OutcomeUnknown,
		Code:    code,
		Message: "outcome unknown: " + err.Error(),
		Step:    "link",
		Peer:    string(k.stream.slot.client.id),
	}
}

// reuse gives a completed call back. Only a late signal may still refer to it, which reads nothing but wake.
func (k *call) reuse() {
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
