package entry

import (
	"bytes"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/classify"
	"github.com/celerystep/celerystep/internal/pgwire"
)

// exchange reads and serves messages up to a Query or a Sync. An error ends the session.
func (s *session) exchange() error {
	b := batches.Get().(*batch)
	defer b.release()
	for {
		kind, body, err := s.reader.Next()
		if err != nil {
			return err
		}
		done, err := s.message(b, kind, body)
		if done || err != nil {
			return err
		}
	}
}

// message serves one message. It returns true at the end of the exchange.
func (s *session) message(b *batch, kind byte, body []byte) (bool, error) {
	if b.skip && kind != 'S' && kind != 'X' {
		return false, s.skipMessage(b, kind)
	}
	switch kind {
	case 'Q':
		return true, s.query(b, body)
	case 'S':
		return true, s.sync(b)
	case 'P', 'B', 'D', 'E', 'C':
		return false, s.extended(b, kind, body)
	case 'H':
		return false, s.flushRequest(b)
	case 'X':
		return true, errTerminate
	case 'F':
		s.fail(&pgwire.Error{Code: pgwire.CodeFeatureNotSupported, Message: "function calls are not supported; use SQL"})
		s.ready()
		return true, nil
	case 'd', 'c', 'f':
		return false, s.ignoreCopyData(b)
	default:
		return true, errors.Wrapf(pgwire.ErrMalformed, "message type %q", kind)
	}
}

// skipMessage drops a message between an error and the Sync that follows it. Flush makes sure that the caller sees the
// error before.
func (s *session) skipMessage(b *batch, kind byte) error {
	s.reader.Release()
	if kind != 'H' {
		return nil
	}
	s.reportBatch(b)
	return s.flush()
}

// ignoreCopyData drops COPY data that a caller still sends after COPY was refused, as PostgreSQL does.
func (s *session) ignoreCopyData(b *batch) error {
	if len(b.operations) > 0 {
		return errors.Wrap(pgwire.ErrMalformed, "COPY data before Sync")
	}
	s.reader.Release()
	return nil
}

// classify describes a text. It fails only when the session is ended.
func (s *session) classify(text []byte) (*classify.Statement, error) {
	info, err := s.server.deps.Classifier.Classify(s.ctx, text)
	if err == nil {
		return info, nil
	}
	if ended := s.ended(); ended != nil {
		return nil, ended
	}
	return nil, err
}

// query serves a simple query.
func (s *session) query(b *batch, body []byte) error {
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
	if err := s.simple(info); err != nil {
		return err
	}
	s.ready()
	return nil
}

func (s *session) simple(info *classify.Statement) error {
	if refusal := s.refusal(info); refusal != nil {
		s.fail(refusal)
		return nil
	}
	if info.Count == 0 {
		out := s.buffer()
		*out = append(*out, 'I', 0, 0, 0, 4)
		return nil
	}
	if s.isLocal(info) {
		s.describeLocal(info)
		s.perform(info)
		return nil
	}
	var e effect
	e.add(info)
	_, err := s.transact(s.reader.Exchange(), e, nil)
	return err
}

// refusal returns why the session does not run the statement, or nil.
func (s *session) refusal(info *classify.Statement) *pgwire.Error {
	if info.Refusal != nil {
		return &pgwire.Error{Code: info.Refusal.Code, Message: info.Refusal.Message + "; not run", Step: "classify"}
	}
	if s.tx != txFailed || s.endsLost(info) || info.Count == 0 {
		return nil
	}
	// An upstream knows best what runs in a failed transaction, but it is not asked about local statements, and there is
	// none for a lost transaction.
	if s.lost || s.isLocal(info) {
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
