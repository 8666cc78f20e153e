package entry

import (
	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/pgwire"
)

// maxStatements bounds the prepared statements, and the portals, that one session keeps.
const maxStatements = 4096

// syncMessage ends the messages of a request.
var syncMessage = []byte{'S', 0, 0, 0, 4}

// extended takes one message of the extended protocol into the batch.
func (s *session) extended(b *batch, kind byte, body []byte) error {
	o := operation{kind: kind, end: len(s.reader.Exchange())}
	o.start = o.end - len(body) - 5
	var err error
	switch kind {
	case 'P':
		err = s.parse(b, &o, body)
	case 'B':
		err = s.bind(b, &o, body)
	case 'E':
		err = s.execute(b, &o, body)
	default:
		err = s.target(b, &o, body)
	}
	if err == nil && !b.skip {
		b.operations = append(b.operations, o)
	}
	return err
}

func (s *session) parse(b *batch, o *operation, body []byte) error {
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

func (s *session) bind(b *batch, o *operation, body []byte) error {
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

func (s *session) execute(b *batch, o *operation, body []byte) error {
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

// target takes in Describe and Close.
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

// sync runs the batch and ends the exchange.
func (s *session) sync(b *batch) error {
	if !b.skip {
		if err := s.runBatch(b); err != nil {
			return err
		}
	}
	s.reportBatch(b)
	s.ready()
	return nil
}

func (s *session) reportBatch(b *batch) {
	if b.err == nil || b.reported {
		return
	}
	s.fail(b.err)
	b.reported = true
}

// flushRequest serves Flush. What was sent so far runs as a request of its own, which keeps the meaning of the exchange
// only while nothing was bound or executed.
func (s *session) flushRequest(b *batch) error {
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
	b.restart()
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

// runBatch runs the operations in order: those of local statements in the session, the others at the home.
func (s *session) runBatch(b *batch) error {
	first := s.firstLocal(b.operations)
	if first < 0 {
		return s.runAtHome(b, b.operations, true)
	}
	if refusal := s.mixed(b.operations); refusal != nil {
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

// localOperation reports whether the session serves the operation itself. Closing a statement concerns only the session,
// because homes prepare statements on demand and drop them by themselves.
func (s *session) localOperation(o *operation) bool {
	if o.kind == 'C' && o.target == 'S' {
		return true
	}
	return o.statement != nil && s.isLocal(o.statement.info)
}

// mixed refuses a batch in which a statement on the session follows one for an upstream outside a transaction block.
// The two cannot be one implicit transaction.
func (s *session) mixed(operations []operation) *pgwire.Error {
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

// runAtHome runs operations as one request. whole is true when they are all messages of the exchange.
func (s *session) runAtHome(b *batch, operations []operation, whole bool) error {
	if len(operations) == 0 {
		return nil
	}
	if s.lost {
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
	ok, err := s.transact(messages, effectOf(operations), collect(operations))
	if err != nil {
		return err
	}
	s.confirm(operations)
	b.skip = b.skip || !ok
	return nil
}

// confirm keeps the statements whose preparation the home has confirmed, and the portals of an open transaction.
func (s *session) confirm(operations []operation) {
	parsed := s.scanner.Parsed
	for i := range operations {
		o := &operations[i]
		switch {
		case o.kind == 'P' && parsed > 0:
			parsed--
			s.keep(o.statement)
		case o.kind == 'B' && s.tx != txIdle && len(s.portals) < maxStatements:
			if s.portals == nil {
				s.portals = make(map[string]*statement)
			}
			s.portals[o.name] = o.statement
		}
	}
}

func (s *session) keep(t *statement) {
	if s.statements == nil {
		s.statements = make(map[string]*statement)
	}
	s.statements[t.name] = t
}

// runLocal serves operations in the session. It returns false after an error.
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
		s.keep(o.statement)
		*b = pgwire.Append(*b, &pgproto3.ParseComplete{})
	case 'B':
		*b = pgwire.Append(*b, &pgproto3.BindComplete{})
	case 'C':
		delete(s.statements, o.name)
		*b = pgwire.Append(*b, &pgproto3.CloseComplete{})
	case 'D':
		s.describeOperation(o)
	case 'E':
		return s.perform(o.statement.info)
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
