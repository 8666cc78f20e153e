package entry

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/pgwire"
)

// outputBytes is the size at which buffered bytes are sent to the caller.
const outputBytes = 16 << 10

var outputs = sync.Pool{New: func() any { b := make([]byte, 0, outputBytes); return &b }}

// output holds what is to be sent to a caller. The buffer is only taken while there is something to send.
type output struct {
	pending *[]byte
	scanner pgwire.Scanner
	// broken is the error of the first failed write.
	broken error
	// writeUntil is the deadline that is set on the connection.
	writeUntil time.Time
}

// Write implements request.Answer. It passes on a part of the answer of the running request.
func (s *session) Write(p []byte) (int, error) {
	s.scanner.Scan(p)
	s.write(p)
	if s.broken != nil {
		return 0, s.broken
	}
	return len(p), nil
}

// write queues bytes and sends when enough have come together.
func (s *session) write(p []byte) {
	if s.pending != nil && len(*s.pending)+len(p) > outputBytes {
		_ = s.flush()
	}
	if len(p) >= outputBytes {
		s.send(p)
		return
	}
	b := s.buffer()
	*b = append(*b, p...)
}

// buffer returns the buffer of what is to be sent.
func (s *session) buffer() *[]byte {
	if s.pending == nil {
		s.pending = outputs.Get().(*[]byte)
	}
	return s.pending
}

// flush sends what is queued and returns the first error of any write.
func (s *session) flush() error {
	if s.pending != nil && len(*s.pending) > 0 {
		s.send(*s.pending)
		*s.pending = (*s.pending)[:0]
	}
	return s.broken
}

// send writes to the connection. A caller who takes nothing for the write timeout is given up.
func (s *session) send(p []byte) {
	if s.broken != nil {
		return
	}
	timeout := s.server.settings.WriteTimeout
	if now := time.Now(); s.writeUntil.Sub(now) < timeout/2 {
		s.writeUntil = now.Add(timeout)
		_ = s.conn.SetWriteDeadline(s.writeUntil)
	}
	n, err := s.conn.Write(p)
	s.server.metrics.sent.Add(float64(n))
	s.broken = err
}

// discardOutput gives the buffer back.
func (s *session) discardOutput() {
	if s.pending == nil {
		return
	}
	if cap(*s.pending) <= 2*outputBytes {
		*s.pending = (*s.pending)[:0]
		outputs.Put(s.pending)
	}
	s.pending = nil
}

// dropPartial removes the start of a message whose rest will not come, if it was not sent yet.
func (s *session) dropPartial() {
	n := s.scanner.Partial()
	if n == 0 || s.pending == nil || n > len(*s.pending) {
		return
	}
	*s.pending = (*s.pending)[:len(*s.pending)-n]
	s.scanner.DropPartial()
}

// ready queues ReadyForQuery.
func (s *session) ready() {
	b := s.buffer()
	*b = pgwire.AppendReady(*b, s.tx)
}

// fail queues an error about the present exchange.
func (s *session) fail(e *pgwire.Error) {
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
