package entry

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/pgwire"
)

// outputBufferBytes is the number of buffered bytes beyond which the buffer is flushed.
const outputBufferBytes = 16 << 10

var outputPool = sync.Pool{New: func() any { b := make([]byte, 0, outputBufferBytes); return &b }}

// output buffers messages to a caller. The buffer is taken from a pool only while there is data to send.
type output struct {
	pending *[]byte
	scanner pgwire.Scanner
	// writeErr is the first write error.
	writeErr error
	// writeDeadline is the write deadline currently set on the connection.
	writeDeadline time.Time
}

// Write implements request.Answer. It relays a part of the running request's answer.
func (s *session) Write(p []byte) (int, error) {
	s.scanner.Scan(p)
	s.enqueue(p)
	if s.writeErr != nil {
		return 0, s.writeErr
	}
	return len(p), nil
}

// enqueue buffers bytes and flushes when the buffer is full.
func (s *session) enqueue(p []byte) {
	if s.pending != nil && len(*s.pending)+len(p) > outputBufferBytes {
		_ = s.flush()
	}
	if len(p) >= outputBufferBytes {
		s.send(p)
		return
	}
	b := s.buffer()
	*b = append(*b, p...)
}

// buffer returns the output buffer, taking one from the pool if needed.
func (s *session) buffer() *[]byte {
	if s.pending == nil {
		s.pending = outputPool.Get().(*[]byte)
	}
	return s.pending
}

// flush sends the buffered bytes and returns the first error of any write so far.
func (s *session) flush() error {
	if s.pending != nil && len(*s.pending) > 0 {
		s.send(*s.pending)
		*s.pending = (*s.pending)[:0]
	}
	return s.writeErr
}

// send writes to the connection with the write timeout. The deadline is renewed only when less than half of it is left,
// which saves a call per write.
func (s *session) send(p []byte) {
	if s.writeErr != nil {
		return
	}
	timeout := s.server.settings.WriteTimeout
	if now := time.Now(); s.writeDeadline.Sub(now) < timeout/2 {
		s.writeDeadline = now.Add(timeout)
		_ = s.conn.SetWriteDeadline(s.writeDeadline)
	}
	n, err := s.conn.Write(p)
	s.server.metrics.sent.Add(float64(n))
	s.writeErr = err
}

// releaseOutput returns the buffer to the pool.
func (s *session) releaseOutput() {
	if s.pending == nil {
		return
	}
	if cap(*s.pending) <= 2*outputBufferBytes {
		*s.pending = (*s.pending)[:0]
		outputPool.Put(s.pending)
	}
	s.pending = nil
}

// dropPartial removes an incomplete trailing message from the buffer, if none of it has been sent.
func (s *session) dropPartial() {
	n := s.scanner.Partial()
	if n == 0 || s.pending == nil || n > len(*s.pending) {
		return
	}
	*s.pending = (*s.pending)[:len(*s.pending)-n]
	s.scanner.DropPartial()
}

// queueReady buffers ReadyForQuery.
func (s *session) queueReady() {
	b := s.buffer()
	*b = pgwire.AppendReady(*b, s.tx)
}

// queueError logs an error and buffers it for the caller.
func (s *session) queueError(e *pgwire.Error) {
	reported := *e
	if reported.Trace == "" {
		reported.Trace = string(newTrace())
	}
	if reported.Step == "" {
		reported.Step = "entry"
	}
	if reported.Peer == "" {
		reported.Peer = string(s.server.settings.Instance)
	}
	s.server.metrics.refusals.WithLabelValues(reported.Code).Inc()
	level := hclog.Debug
	if reported.Code == pgwire.CodeUnknownOutcome {
		level = hclog.Warn
	}
	s.server.log.Log(level, "request failed", "trace", reported.Trace, "session", s.id, "customer", s.identity.customer,
		"code", reported.Code, "step", reported.Step, "peer", reported.Peer, "reason", reported.Message)
	b := s.buffer()
	*b = reported.Append(*b)
}
