package entry

import (
	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/pgwire"
)

// maxStatements bounds the prepared statements and, separately, the portals of one session.
const maxStatements = 4096

// syncMessage is an encoded Sync, which ends the messages of a request.
var syncMessage = []byte{'S', 0, 0, 0, 4}

// addOperation parses one message of the extended protocol and adds it to the batch.
func (s *session) addOperation(b *batch, kind byte, body []byte) error {
	o := operation{kind: kind, end: len(s.reader.Exchange())}
	o.start = o.end - len(body) - 5
	var err error
	switch kind {
	case 'P':
		err = s.parseParse(b, &o, body)
	case 'B':
		err = s.parseBind(b, &o, body)
	case 'E':
		err = s.parseExecute(b, &o, body)
	default:
		err = s.target(b, &o, body)
	}
	if err == nil && !b.skip {
		b.operations = append(b.operations, o)
	}
	return err
}

func (s *session) parseParse(b *batch, o *operation, body []byte) error {
	var m pgproto3.Parse
	if err := m.Decode(body); err != nil {
		return errors.Wrap(pgwire.ErrMalformed, "Parse")
	}
	if len(s.statements) >= maxStatements {
		b.reject(&pgwire.Error{Code: pgwire.CodeLimitExceeded, Message: "too many prepared statements in the session"})
		return nil
	}
	if m.Name != "" && s.findStatement(b, []byte(m.Name)) != nil {
		message := "prepared statement \"" + m.Name + "\" already exists"
		b.reject(&pgwire.Error{Code: pgwire.CodeDuplicateStatement, Message: message})
		return nil
	}
	info, err := s.classify([]byte(m.Query))
	if err != nil {
		return err
	}
	if refusal := s.refusal(info); refusal != nil {
		b.reject(refusal)
		return nil
	}
	o.name = m.Name
	o.statement = &statement{name: m.Name, query: m.Query, oids: m.ParameterOIDs, info: info}
	return nil
}

func (s *session) parseBind(b *batch, o *operation, body []byte) error {
	portal, ok := cutString(body)
	if !ok {
		return errors.Wrap(pgwire.ErrMalformed, "Bind")
	}
	name, ok := cutString(body[len(portal)+1:])
	if !ok {
		return errors.Wrap(pgwire.ErrMalformed, "Bind")
	}
	o.statement = s.findStatement(b, name)
	if o.statement == nil {
		b.reject(unknownStatement(string(name)))
		return nil
	}
	o.name = string(portal)
	return nil
}

func (s *session) parseExecute(b *batch, o *operation, body []byte) error {
	portal, ok := cutString(body)
	if !ok {
		return errors.Wrap(pgwire.ErrMalformed, "Execute")
	}
	o.statement = s.findPortal(b, portal)
	if o.statement == nil && s.tx == txIdle && !effectOf(b.operations).begins {
		message := "portal \"" + string(portal) + "\" does not exist"
		b.reject(&pgwire.Error{Code: pgwire.CodeInvalidCursor, Message: message})
		return nil
	}
	if o.statement != nil {
		if refusal := s.refusal(o.statement.info); refusal != nil {
			b.reject(refusal)
		}
	}
	return nil
}

// target parses Describe and Close.
func (s *session) target(b *batch, o *operation, body []byte) error {
	if len(body) < 2 {
		return errors.Wrap(pgwire.ErrMalformed, "Describe or Close")
	}
	name, ok := cutString(body[1:])
	o.target = body[0]
	if !ok || o.target != 'S' && o.target != 'P' {
		return errors.Wrap(pgwire.ErrMalformed, "Describe or Close")
	}
	o.name = string(name)
	if o.kind == 'C' {
		return nil
	}
	if o.target == 'P' {
		o.statement = s.findPortal(b, name)
		return nil
	}
	if o.statement = s.findStatement(b, name); o.statement == nil {
		b.reject(unknownStatement(o.name))
	}
	return nil
}

// handleSync runs the batch and buffers ReadyForQuery.
func (s *session) handleSync(b *batch) error {
	if !b.skip {
		if err := s.runBatch(b); err != nil {
			return err
		}
	}
	s.reportBatch(b)
	s.queueReady()
	return nil
}

func (s *session) reportBatch(b *batch) {
	if b.err == nil || b.reported {
		return
	}
	s.queueError(b.err)
	b.reported = true
}

// handleFlush handles Flush. The messages so far run as a separate request. That preserves the semantics of the
// exchange only if nothing has been bound or executed.
func (s *session) handleFlush(b *batch) error {
	if onlyPreparing(b.operations) {
		if err := s.runBatch(b); err != nil {
			return err
		}
	} else {
		b.reject(&pgwire.Error{
			Code:    pgwire.CodeFeatureNotSupported,
			Message: "Flush is supported only after Parse, Describe and Close of statements; use Sync",
		})
	}
	s.reportBatch(b)
	b.clearOperations()
	s.reader.Release()
	return s.flush()
}

func onlyPreparing(operations []operation) bool {
	for i := range operations {
		o := &operations[i]
		if o.kind != 'P' && o.target != 'S' {
			return false
		}
	}
	return true
}

// runBatch runs the operations in order: local ones in the session, the others at the home of the group.
func (s *session) runBatch(b *batch) error {
	first := s.firstLocal(b.operations)
	if first < 0 {
		return s.runAtHome(b, b.operations, true)
	}
	if refusal := s.checkLocalOrder(b.operations); refusal != nil {
		b.reject(refusal)
		return nil
	}
	for i := 0; i < len(b.operations) && !b.skip; {
		local := s.localOperation(&b.operations[i])
		j := i + 1
		for j < len(b.operations) && s.localOperation(&b.operations[j]) == local {
			j++
		}
		if !local {
			if err := s.runAtHome(b, b.operations[i:j], false); err != nil {
				return err
			}
		} else if !s.runLocal(b.operations[i:j]) {
			b.skip = true
		}
		i = j
	}
	return nil
}

func (s *session) firstLocal(operations []operation) int {
	for i := range operations {
		if s.localOperation(&operations[i]) {
			return i
		}
	}
	return -1
}

// localOperation reports whether the session handles the operation itself. Closing a statement is local because homes
// prepare statements on demand and evict them on their own.
func (s *session) localOperation(o *operation) bool {
	if o.kind == 'C' && o.target == 'S' {
		return true
	}
	return o.statement != nil && s.isLocal(o.statement.info)
}

// checkLocalOrder refuses a batch in which a local statement follows one for an upstream outside a transaction block.
// The two cannot form one implicit transaction.
func (s *session) checkLocalOrder(operations []operation) *pgwire.Error {
	inside := s.tx != txIdle
	atHome := false
	for i := range operations {
		o := &operations[i]
		if o.kind != 'E' {
			continue
		}
		local := s.localOperation(o)
		if local && atHome && !inside {
			return &pgwire.Error{
				Code:    pgwire.CodeFeatureNotSupported,
				Message: "statements on the session must come first or be sent on their own; not run",
			}
		}
		atHome = atHome || !local
		inside = inside || o.statement != nil && o.statement.info.Begins
	}
	return nil
}

// runAtHome runs operations as one request. whole is true when they are all operations of the batch.
func (s *session) runAtHome(b *batch, operations []operation, whole bool) error {
	if len(operations) == 0 {
		return nil
	}
	if s.transactionLost {
		b.reject(errFailedTransaction)
		return nil
	}
	messages := s.reader.Exchange()
	if !whole || messages[len(messages)-len(syncMessage)] != 'S' {
		b.segment = b.segment[:0]
		for i := range operations {
			b.segment = append(b.segment, messages[operations[i].start:operations[i].end]...)
		}
		b.segment = append(b.segment, syncMessage...)
		messages = b.segment
	}
	ok, err := s.runRequest(messages, effectOf(operations), referencedStatements(operations))
	if err != nil {
		return err
	}
	s.storeConfirmed(operations)
	b.skip = b.skip || !ok
	return nil
}

// storeConfirmed stores the statements that the home has confirmed with ParseComplete, and the portals of an open
// transaction.
func (s *session) storeConfirmed(operations []operation) {
	parsed := s.scanner.Parsed
	for i := range operations {
		o := &operations[i]
		switch {
		case o.kind == 'P' && parsed > 0:
			parsed--
			s.storeStatement(o.statement)
		case o.kind == 'B' && s.tx != txIdle && len(s.portals) < maxStatements:
			if s.portals == nil {
				s.portals = make(map[string]*statement)
			}
			s.portals[o.name] = o.statement
		}
	}
}

func (s *session) storeStatement(t *statement) {
	if s.statements == nil {
		s.statements = make(map[string]*statement)
	}
	s.statements[t.name] = t
}

// runLocal handles operations in the session. It returns false after an error.
func (s *session) runLocal(operations []operation) bool {
	for i := range operations {
		if !s.runLocalOperation(&operations[i]) {
			return false
		}
	}
	return true
}

func (s *session) runLocalOperation(o *operation) bool {
	b := s.buffer()
	switch o.kind {
	case 'P':
		s.storeStatement(o.statement)
		*b = pgwire.Append(*b, &pgproto3.ParseComplete{})
	case 'B':
		*b = pgwire.Append(*b, &pgproto3.BindComplete{})
	case 'C':
		delete(s.statements, o.name)
		*b = pgwire.Append(*b, &pgproto3.CloseComplete{})
	case 'D':
		s.describeOperation(o)
	case 'E':
		return s.runLocalStatement(o.statement.info)
	}
	return true
}

func (s *session) describeOperation(o *operation) {
	b := s.buffer()
	if o.target == 'S' {
		*b = pgwire.Append(*b, &pgproto3.ParameterDescription{})
	}
	before := len(*b)
	s.describeLocal(o.statement.info)
	if len(*b) == before {
		*b = pgwire.Append(*b, &pgproto3.NoData{})
	}
}
