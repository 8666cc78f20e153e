package load

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/pgauth"
)

// codeOf returns the SQLSTATE of an error answer, empty when the server gave none.
func codeOf(err error) string {
	var e *pgauth.ServerError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// operation starts the record of a statement on the session's connection. a is nil for a connection attempt.
func (s *session) operation(request check.RequestID, a *arrival, kind check.Kind) check.Operation {
	op := check.Operation{Request: request, Session: s.id, Customer: s.stream.Customer, Group: s.group, Kind: kind}
	if s.conn != nil {
		op.Connection = s.conn.number
		op.Key = s.conn.key
		op.Instance = s.conn.endpoint.Instance
		op.FailureDomain = s.conn.endpoint.FailureDomain
	}
	if kind.IsRead() && s.gen.proxy {
		op.MaxAge = s.stream.MaxAge.D()
	}
	op.ReadOnly = a != nil && a.work.readOnly
	return op
}

// execute runs the request's statements. again is true when the connection had ended before the request, so that it
// certainly was not run and may be tried on another one.
func (s *session) execute(a *arrival, id check.RequestID) (o check.Outcome, code string, again bool) {
	o, code, again = s.runWork(a, id)
	if o == check.OutcomeOK {
		s.noteWritten(a)
	}
	return o, code, again
}

// noteWritten remembers the rows that the request updated.
func (s *session) noteWritten(a *arrival) {
	for _, st := range a.work.steps {
		if st.kind == check.KindUpdate {
			s.written[st.table] = a.rows[st.row]
		}
	}
}

// rowFor returns the number of the row that a step works on.
func (s *session) rowFor(a *arrival, st step) int {
	if n, ok := s.written[st.table]; ok && a.work.own {
		return n
	}
	return a.rows[st.row]
}

// runWork sends the request's statements up to the first that does not succeed.
func (s *session) runWork(a *arrival, id check.RequestID) (o check.Outcome, code string, again bool) {
	if !a.work.transaction {
		ans := s.step(a, a.work.steps[0], id, 0)
		return ans.outcome, ans.code, ans.mayRepeat()
	}
	t := check.TransactionID(s.nextID())
	ans := s.control(a, id, t, check.KindBegin)
	if ans.outcome != check.OutcomeOK {
		return ans.outcome, ans.code, ans.mayRepeat()
	}
	for _, st := range a.work.steps {
		ans = s.step(a, st, id, t)
		if ans.outcome != check.OutcomeOK {
			s.rollback(a, id, t)
			return ans.outcome, ans.code, false
		}
	}
	ans = s.control(a, id, t, check.KindCommit)
	if ans.outcome != check.OutcomeOK {
		s.rollback(a, id, t)
	}
	return ans.outcome, ans.code, false
}

// mayRepeat reports whether the answer says that the server ended the connection without running the statement.
func (a answer) mayRepeat() bool {
	return a.outcome == check.OutcomeNotSent || (a.outcome == check.OutcomeNotRun && a.code == codeAdminShutdown)
}

// rollback ends a transaction that failed on a connection that is still usable.
func (s *session) rollback(a *arrival, id check.RequestID, t check.TransactionID) {
	if s.conn != nil && s.conn.txStatus != 'I' {
		s.control(a, id, t, check.KindRollback)
	}
}

// control runs BEGIN, COMMIT or ROLLBACK.
func (s *session) control(a *arrival, id check.RequestID, t check.TransactionID, k check.Kind) answer {
	op := s.operation(id, a, k)
	op.Statement = check.StatementID(s.nextID())
	op.Transaction = t
	text := commitSQL
	switch {
	case k == check.KindRollback:
		text = rollbackSQL
	case k == check.KindBegin && a.work.readOnly:
		text = beginReadOnlySQL
	case k == check.KindBegin:
		text = beginSQL
	}
	return s.send(op, statement{text: text})
}

// step runs one statement on a row.
func (s *session) step(a *arrival, st step, id check.RequestID, t check.TransactionID) answer {
	op := s.operation(id, a, st.kind)
	op.Statement = check.StatementID(s.nextID())
	op.Transaction = t
	n := s.rowFor(a, st)
	op.Row = check.RowKey{Table: st.table, ID: rowID(s.stream.Customer, n)}
	if st.kind == check.KindInsert {
		op.Row.ID = op.Statement.String()
	}
	sql := statementFor(st.kind, st.table, op.Row.ID, rowID(s.stream.Customer, n+scanRows), op.Statement)
	return s.send(op, sql)
}

// send runs the statement and records the operation.
func (s *session) send(op check.Operation, sql statement) answer {
	op.Invoke = time.Now()
	ans := s.conn.exec(s.stream.protocol(), sql, op.Invoke.Add(s.gen.timeout))
	if ans.outcome == check.OutcomeOK && op.Kind == check.KindCommit && ans.tag == tagRollback {
		ans.outcome = check.OutcomeFailed
	}
	if !ans.ended || ans.code != "" {
		op.Return = time.Now()
	}
	op.Outcome, op.Code = ans.outcome, ans.code
	for _, fields := range ans.rows {
		if v, ok := ParseRow(op.Row.Table, fields); ok {
			op.Values = append(op.Values, v)
		}
	}
	s.operations = append(s.operations, op)
	if ans.ended {
		s.conn.drop()
		s.conn = nil
	}
	return ans
}
