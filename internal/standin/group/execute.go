package group

import (
	"database/sql/driver"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/standin/group/sqldb"
	"github.com/celerystep/celerystep/internal/standin/group/sqltext"
)

// parseAll splits and classifies a query text.
func parseAll(sql string) ([]*sqltext.Statement, error) {
	texts, err := sqltext.Split(sql)
	if err != nil {
		return nil, errorf(stateSyntax, "%s", err)
	}
	out := make([]*sqltext.Statement, 0, len(texts))
	for _, text := range texts {
		s, err := sqltext.Parse(text)
		if err != nil {
			e := asSQLError(err)
			if e.State == stateInternal {
				e.State = stateSyntax
			}
			return nil, e
		}
		out = append(out, s)
	}
	return out, nil
}

func (m *member) parse(sql string) ([]*sqltext.Statement, error) {
	if v, ok := m.parsed.get(sql); ok {
		return v.([]*sqltext.Statement), nil
	}
	statements, err := parseAll(sql)
	if err == nil {
		m.parsed.put(sql, statements)
	}
	return statements, err
}

// description tells the types and the SQLite text of a statement under one version of the schema.
type description struct {
	version uint64
	sqlite  string
	params  []uint32
	columns []column
}

// describe returns the types of a statement and reports errors in it.
func (s *session) describe(st *sqltext.Statement) (*description, error) {
	switch st.Class {
	case sqltext.Read, sqltext.Write:
	case sqltext.Call, sqltext.Show:
		return describeOwn(st), nil
	default:
		return &description{}, nil
	}
	if s.tx != nil && s.tx.writer != nil {
		return s.m.newDescription(st, s.tx.writer.db.Columns)
	}
	db := s.m.database()
	version := db.Version()
	if v, ok := s.m.described.get(st.Text); ok && v.(*description).version == version {
		return v.(*description), nil
	}
	d, err := s.m.newDescription(st, db.Columns)
	if err != nil {
		return nil, err
	}
	d.version = version
	s.m.described.put(st.Text, d)
	return d, nil
}

func describeOwn(st *sqltext.Statement) *description {
	oid := sqltext.Text
	if st.Name == "pg_terminate_backend" {
		oid = sqltext.Bool
	}
	return &description{params: make([]uint32, st.Params), columns: []column{{name: st.Name, oid: oid}}}
}

func (m *member) newDescription(
	st *sqltext.Statement, columns func(string) ([]string, []string, error),
) (*description, error) {
	if st.Schema {
		return &description{sqlite: st.SQLite, params: make([]uint32, st.Params)}, nil
	}
	schema, err := m.database().Schema()
	if err != nil {
		return nil, err
	}
	text, err := st.WithLiterals(schema)
	if err != nil {
		return nil, err
	}
	names, declared, err := columns(text)
	if err != nil {
		return nil, err
	}
	d := &description{sqlite: text, params: st.ParamTypes(schema)}
	types := st.ColumnTypes(schema, declared)
	for i, name := range st.ColumnNames(names) {
		d.columns = append(d.columns, column{name: name, oid: types[i]})
	}
	return d, nil
}

// handleQuery answers a simple query, whose statements form one transaction unless they control it themselves.
func (s *session) handleQuery(body []byte) error {
	var q pgproto3.Query
	if err := q.Decode(body); err != nil {
		return fatalf(stateProtocol, "%s", err)
	}
	statements, err := s.m.parse(q.String)
	if err != nil {
		return err
	}
	s.clearCancel()
	for i, st := range statements {
		if err := s.runSimple(st, i == len(statements)-1); err != nil {
			return err
		}
	}
	if len(statements) == 0 {
		s.send(&pgproto3.EmptyQueryResponse{})
	}
	s.ready()
	return nil
}

// runSimple runs one statement of a simple query. The last one commits an implicit transaction before its completion
// is reported.
func (s *session) runSimple(st *sqltext.Statement, last bool) error {
	if err := s.checkFailed(st); err != nil {
		return err
	}
	if st.Params > 0 {
		return errorf(stateUndefinedParameter, "there is no parameter $%d", st.Params)
	}
	d, err := s.describe(st)
	if err != nil {
		return err
	}
	if st.Rows {
		s.send(&pgproto3.RowDescription{Fields: fieldDescriptions(d.columns, nil)})
	}
	tag, err := s.execute(st, d, nil, nil)
	if err != nil {
		return err
	}
	if last && s.tx != nil && !s.tx.explicit {
		if err := s.commitTransaction(); err != nil {
			return err
		}
	}
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// checkFailed refuses everything but the end of a failed transaction.
func (s *session) checkFailed(st *sqltext.Statement) error {
	if s.tx == nil || !s.tx.failed {
		return nil
	}
	switch st.Class {
	case sqltext.Commit, sqltext.Rollback, sqltext.RollbackTo:
		return nil
	default:
		return errorf(stateFailedTransaction, messageFailedTransaction)
	}
}

// execute runs a statement, appends its rows to the output and returns the command tag.
func (s *session) execute(
	st *sqltext.Statement, d *description, args []driver.NamedValue, formats []int16,
) (string, error) {
	switch st.Class {
	case sqltext.Read, sqltext.Write:
		s.ensureTransaction()
		n, err := s.run(st, replayed(st, d.sqlite, args), func(values []driver.Value) error {
			out, err := appendRow(s.out, d.columns, formats, values)
			if err == nil {
				s.out = out
			}
			return err
		})
		if err != nil {
			return "", err
		}
		if st.Counts {
			return st.Tag + " " + strconv.FormatInt(n, 10), nil
		}
		return st.Tag, nil
	case sqltext.Call:
		v, err := s.call(st, args)
		if err != nil {
			return "", err
		}
		s.out, err = appendRow(s.out, d.columns, formats, []driver.Value{v})
		return "SELECT 1", err
	case sqltext.Show:
		v, err := s.show(st.Name)
		if err != nil {
			return "", err
		}
		s.out, err = appendRow(s.out, d.columns, formats, []driver.Value{v})
		return st.Tag, err
	default:
		return s.control(st)
	}
}

// run runs a statement on the database that the transaction sees.
func (s *session) run(
	st *sqltext.Statement, x sqldb.Statement, row func([]driver.Value) error,
) (int64, error) {
	t := s.tx
	release, err := s.prepareRun(st, t)
	if err != nil {
		return 0, err
	}
	defer release()
	if !s.m.frozen.pass(s.done) {
		return 0, errTerminated()
	}
	index, err := s.m.beginStatement(s, t, st.Text, x.Args)
	if err != nil {
		return 0, err
	}
	var n int64
	if t.writer != nil {
		n, err = t.writer.db.Run(x, row)
	} else {
		n, err = s.m.database().Run(x, row)
	}
	if err != nil {
		s.m.statements.setResult(index, false, asSQLError(err).State)
		return n, err
	}
	s.m.statements.setResult(index, t.recordStatement(st, x, n), "")
	return n, nil
}

// prepareRun takes the slot, the service time and, for a write, the writer. A write waits for the writer without a
// slot, so that it does not keep reads waiting.
func (s *session) prepareRun(st *sqltext.Statement, t *transaction) (release func(), err error) {
	if st.Class == sqltext.Write && t.readOnly {
		return nil, errorf(stateReadOnly, "cannot execute %s in a read-only transaction", st.Tag)
	}
	if t.writer != nil && t.writer.isRetired() {
		return nil, errorf(stateReadOnly, "the transaction is rolled back: the member's term has ended")
	}
	needsWriter := t.writer == nil && (st.Class == sqltext.Write || t.serial && !t.readOnly && s.m.leads())
	if needsWriter {
		if _, err := s.m.currentWriter(); err != nil {
			return nil, err
		}
	}
	if err := s.takeSlot(); err != nil {
		return nil, err
	}
	if err := s.serviceWait(time.Duration(s.m.serviceTime.Load())); err != nil {
		s.releaseSlot()
		return nil, err
	}
	if !needsWriter {
		return s.releaseSlot, nil
	}
	s.releaseSlot()
	return func() {}, t.acquireWriter(s)
}

func (s *session) takeSlot() error {
	select {
	case s.m.slots <- struct{}{}:
		return nil
	default:
	}
	if err := s.flush(); err != nil {
		return fatalf(stateAdminShutdown, "%s", err)
	}
	select {
	case s.m.slots <- struct{}{}:
		return nil
	case <-s.canceled:
		return errorf(stateCanceled, "canceling statement due to user request")
	case <-s.done:
		return errTerminated()
	}
}

func (s *session) releaseSlot() { <-s.m.slots }

// serviceWait waits while the session holds a slot.
func (s *session) serviceWait(d time.Duration) error {
	if d <= 0 {
		return nil
	}
	if err := s.flush(); err != nil {
		return fatalf(stateAdminShutdown, "%s", err)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-s.canceled:
		return errorf(stateCanceled, "canceling statement due to user request")
	case <-s.done:
		return errTerminated()
	}
}

// clearCancel forgets a cancel request that came after the statement it was meant for.
func (s *session) clearCancel() {
	select {
	case <-s.canceled:
	default:
	}
}

// beginStatement logs the start of a statement, unless the session may not run one.
func (m *member) beginStatement(s *session, t *transaction, sql string, args []driver.NamedValue) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.mayRunLocked(s); err != nil {
		return -1, err
	}
	if m.statements.limit < 0 {
		return -1, nil
	}
	i := m.statements.add(LoggedStatement{
		Time:        time.Now(),
		Member:      m.id,
		Role:        m.role,
		Connection:  s.pid,
		Transaction: t.id,
		Customer:    s.customer(),
		Owner:       s.claim.Owner,
		Generation:  s.claim.Generation,
		SQL:         sql,
		Args:        plainArgs(args),
		Outcome:     OutcomeOpen,
	})
	if i >= 0 {
		t.logged = append(t.logged, i)
	}
	return i, nil
}

func plainArgs(args []driver.NamedValue) []any {
	if len(args) == 0 {
		return nil
	}
	out := make([]any, len(args))
	for i, a := range args {
		out[i] = a.Value
	}
	return out
}

// read runs a query outside the protocol, for checkers.
func (m *member) read(sql string) ([][]any, error) {
	var out [][]any
	_, err := m.database().Run(sqldb.Statement{SQL: sql, Rows: true}, func(values []driver.Value) error {
		row := make([]any, len(values))
		for i, v := range values {
			row[i] = v
		}
		out = append(out, row)
		return nil
	})
	return out, err
}
