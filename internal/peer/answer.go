package peer

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/request"
)

// errSlowReader is the error of an answer whose receiver granted no credit for Timing.SlowReader.
var errSlowReader = errors.New("receiver took no answer bytes for too long")

// codeQueryCanceled is the SQLSTATE of an answer that was cut because its receiver was too slow or canceled the
// request.
const codeQueryCanceled = "57014"

// chunks pools buffers of chunkBytes.
var chunks = sync.Pool{New: func() any { b := make([]byte, 0, chunkBytes); return &b }}

// answer buffers the answer bytes of one request and sends them in chunks while it has credit.
type answer struct {
	exchange *exchange
	ctx      context.Context
	cancel   context.CancelCauseFunc
	id       uint64
	buffer   *[]byte
	// window is the number of bytes that may still be sent. Only the goroutine that runs the request uses it.
	window int
	// credits queues the credit grants of the receiver.
	credits chan struct{}
	err     error
}

func newAnswer(x *exchange, ctx context.Context, cancel context.CancelCauseFunc, id uint64) *answer {
	return &answer{
		exchange: x,
		ctx:      ctx,
		cancel:   cancel,
		id:       id,
		window:   AnswerWindow,
		credits:  make(chan struct{}, AnswerWindow/CreditBytes),
	}
}

// addCredit grants CreditBytes. Grants beyond the window violate the protocol and are dropped.
func (a *answer) addCredit() {
	select {
	case a.credits <- struct{}{}:
	default:
	}
}

// Write implements request.Answer.
func (a *answer) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) && a.err == nil {
		if a.buffer == nil {
			a.buffer = chunks.Get().(*[]byte)
		}
		n := min(chunkBytes-len(*a.buffer), len(p)-written)
		*a.buffer = append(*a.buffer, p[written:written+n]...)
		written += n
		if len(*a.buffer) == chunkBytes {
			a.flush()
		}
	}
	return written, a.err
}

// flush sends the buffer without a result.
func (a *answer) flush() {
	size := len(*a.buffer)
	for a.window < size && a.err == nil {
		a.err = a.awaitCredit()
	}
	if a.err == nil {
		a.err = context.Cause(a.ctx)
	}
	if a.err != nil {
		return
	}
	a.window -= size
	a.exchange.frames.put(a.takeFrame())
}

// awaitCredit waits for credit.
func (a *answer) awaitCredit() error {
	limit := time.NewTimer(a.exchange.handler.timing.SlowReader)
	defer limit.Stop()
	select {
	case <-a.credits:
		a.window += CreditBytes
		return nil
	case <-a.ctx.Done():
		return context.Cause(a.ctx)
	case <-limit.C:
		a.cancel(errSlowReader)
		return errSlowReader
	}
}

// takeFrame moves the buffered bytes into a frame.
func (a *answer) takeFrame() *frame {
	f := &frame{}
	f.response.RequestId = a.id
	if a.buffer == nil {
		return f
	}
	b := a.buffer
	a.buffer = nil
	f.response.Answer = *b
	f.release = func() {
		*b = (*b)[:0]
		chunks.Put(b)
	}
	return f
}

// finish sends the buffered bytes together with the result. They need no credit, because they are smaller than a chunk.
func (a *answer) finish(r *request.Result) {
	defer a.cancel(nil)
	if a.err != nil {
		a.replaceResult(r)
	}
	f := a.takeFrame()
	f.response.Result = EncodeResult(r)
	a.exchange.frames.put(f)
}

// replaceResult replaces the result of a request whose answer was cut, so that the receiver does not consider it
// complete.
func (a *answer) replaceResult(r *request.Result) {
	if a.buffer != nil {
		*a.buffer = (*a.buffer)[:0]
	}
	r.Outcome = request.OutcomeUnknown
	r.Code = codeQueryCanceled
	r.Step = "answer"
	r.Message = "answer was cut: " + a.err.Error()
}
