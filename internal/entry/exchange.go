package entry

import (
	"bytes"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/classify"
	"github.com/celerystep/celerystep/internal/pgwire"
)

// serveExchange reads and handles messages up to and including a Query or Sync. An error ends the session.
func (s *session) serveExchange() error {
	b := batchPool.Get().(*batch)
	defer b.release()
	for {
		kind, body, err := s.reader.Next()
		if err != nil {
			return err
		}
		done, err := s.handleMessage(b, kind, body)
		if done || err != nil {
			return err
		}
	}
}

// handleMessage handles one message. It returns true at the end of the exchange.
func (s *session) handleMessage(b *batch, kind byte, body []byte) (bool, error) {
	if b.skip && kind != 'S' && kind != 'X' {
		return false, s.skipMessage(b, kind)
	}
	switch kind {
	case 'Q':
		return true, s.handleQuery(b, body)
	case 'S':
		return true, s.handleSync(b)
	case 'P', 'B', 'D', 'E', 'C':
		return false, s.addOperation(b, kind, body)
	case 'H':
		return false, s.handleFlush(b)
	case 'X':
		return true, errTerminate
	case 'F':
		s.queueError(&pgwire.Error{Code: pgwire.CodeFeatureNotSupported, Message: "function calls are not supported; use SQL"})
		s.queueReady()
		return true, nil
	case 'd', 'c', 'f':
		return false, s.ignoreCopyData(b)
	default:
		return true, errors.Wrapf(pgwire.ErrMalformed, "message type %q", kind)
	}
}

// skipMessage drops a message between an error and the next Sync. A Flush sends the error immediately.
func (s *session) skipMessage(b *batch, kind byte) error {
	s.reader.Release()
	if kind != 'H' {
		return nil
	}
	s.reportBatch(b)
	return s.flush()
}

// ignoreCopyData drops COPY data that arrives after COPY was refused, as PostgreSQL does.
func (s *session) ignoreCopyData(b *batch) error {
	if len(b.operations) > 0 {
		return errors.Wrap(pgwire.ErrMalformed, "COPY data before Sync")
	}
	s.reader.Release()
	return nil
}

// classify determines the properties of a statement text. It fails only when the session is terminated.
func (s *session) classify(text []byte) (*classify.Statement, error) {
	info, err := s.server.deps.Classifier.Classify(s.ctx, text)
	if err == nil {
		return info, nil
	}
	if endReason := s.endReason(); endReason != nil {
		return nil, endReason
	}
	return nil, err
}

// handleQuery handles a simple query.
func (s *session) handleQuery(b *batch, body []byte) error {
	if len(b.operations) > 0 {
		return errors.Wrap(pgwire.ErrMalformed, "Query before Sync")
	}
	text, ok := cutString(body)
	if !ok || len(text)+1 != len(body) {
		return errors.Wrap(pgwire.ErrMalformed, "Query")
	}
	delete(s.statements, "")
	info, err := s.classify(text)
	if err != nil {
		return err
	}
	if err := s.runSimple(info); err != nil {
		return err
	}
	s.queueReady()
	return nil
}

func (s *session) runSimple(info *classify.Statement) error {
	if refusal := s.refusal(info); refusal != nil {
		s.queueError(refusal)
		return nil
	}
	if info.Count == 0 {
		out := s.buffer()
		*out = append(*out, 'I', 0, 0, 0, 4)
		return nil
	}
	if s.isLocal(info) {
		s.describeLocal(info)
		s.runLocalStatement(info)
		return nil
	}
	var e effect
	e.add(info)
	_, err := s.runRequest(s.reader.Exchange(), e, nil)
	return err
}

// refusal returns the error with which the session refuses the statement, or nil.
func (s *session) refusal(info *classify.Statement) *pgwire.Error {
	if info.Refusal != nil {
		return &pgwire.Error{Code: info.Refusal.Code, Message: info.Refusal.Message + "; not run", Step: "classify"}
	}
	if s.tx != txFailed || s.endsLostTransaction(info) || info.Count == 0 {
		return nil
	}
	// The upstream decides what may run in a failed transaction. It does not see local statements, and a lost
	// transaction has no upstream.
	if s.transactionLost || s.isLocal(info) {
		return errFailedTransaction
	}
	return nil
}

var errFailedTransaction = &pgwire.Error{
	Code:    pgwire.CodeFailedTransaction,
	Message: "current transaction is aborted, commands ignored until end of transaction block",
}

// cutString returns the bytes before the first NUL.
func cutString(p []byte) ([]byte, bool) {
	i := bytes.IndexByte(p, 0)
	if i < 0 {
		return nil, false
	}
	return p[:i], true
}
