package group

import (
	"database/sql/driver"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/standin/group/sqldb"
	"github.com/celerystep/celerystep/internal/standin/group/sqltext"
)

// positionParameter reports the position of a commit to the client.
const positionParameter = "group_position"

// transaction is the running transaction of a session. An implicit one ends with its query or at Sync.
type transaction struct {
	id       uint64
	explicit bool
	readOnly bool
	// serial is true for the isolation levels above READ COMMITTED: the transaction takes the writer from its first
	// statement on, so that nothing changes under it.
	serial bool
	failed bool
	// savepoints is the number of savepoints set, released ones included.
	savepoints int
	// writer is set while the transaction holds the member's writer.
	writer *writer
	// statements are replayed by the commit; changes counts those that changed something.
	statements []sqldb.Statement
	changes    int
	// logged holds the indices of the transaction's statements in the statement log.
	logged []int
	// undo restores session parameters, newest last.
	undo []settingChange
}

// settingChange is a change of a session parameter inside a transaction.
type settingChange struct {
	name, old string
	had       bool
	local     bool
}

// ensureTransaction starts an implicit transaction when none is running.
func (s *session) ensureTransaction() *transaction {
	if s.tx == nil {
		s.tx = &transaction{id: s.m.lastTx.Add(1)}
	}
	return s.tx
}

// acquireWriter waits for the member's writer and starts a transaction on it.
func (t *transaction) acquireWriter(s *session) error {
	if t.writer != nil {
		return nil
	}
	w, err := s.m.currentWriter()
	if err != nil {
		return err
	}
	if err := s.waitForWriter(w); err != nil {
		return err
	}
	if w.isRetired() {
		w.release()
		return errorf(stateReadOnly, "cannot write: the member's term has ended")
	}
	if err := w.prepare(s.m); err != nil {
		w.release()
		return err
	}
	if err := w.db.Begin(); err != nil {
		w.release()
		return err
	}
	t.writer = w
	return nil
}

func (s *session) waitForWriter(w *writer) error {
	select {
	case w.token <- struct{}{}:
		return nil
	default:
	}
	if err := s.flush(); err != nil {
		return fatalf(stateAdminShutdown, "%s", err)
	}
	select {
	case w.token <- struct{}{}:
		return nil
	case <-w.retired:
		return errorf(stateReadOnly, "cannot write: the member's term has ended")
	case <-s.canceled:
		return errorf(stateCanceled, "canceling statement due to user request")
	case <-s.done:
		return errTerminated()
	}
}

// releaseWriter drops what the transaction has not committed and gives the writer back.
func (t *transaction) releaseWriter(rollback bool) {
	if t.writer == nil {
		return
	}
	if rollback {
		_ = t.writer.db.Rollback()
	}
	t.writer.release()
	t.writer = nil
}

// commitTransaction ends the running transaction and reports the position when it wrote.
func (s *session) commitTransaction() error {
	if !s.m.frozen.pass(s.done) {
		return errTerminated()
	}
	t := s.tx
	s.tx = nil
	if t.changes == 0 {
		t.releaseWriter(true)
		s.finishTransaction(t, OutcomeCommitted, position.Position{})
		return nil
	}
	p, err := s.m.commit(s, t.writer, t.statements)
	t.releaseWriter(false)
	if err != nil {
		s.finishTransaction(t, OutcomeRolledBack, position.Position{})
		return err
	}
	s.finishTransaction(t, OutcomeCommitted, p)
	s.send(&pgproto3.ParameterStatus{Name: positionParameter, Value: p.String()})
	return nil
}

// rollback ends the transaction without effect.
func (t *transaction) rollback(s *session) {
	t.releaseWriter(true)
	s.tx = nil
	s.finishTransaction(t, OutcomeRolledBack, position.Position{})
}

// fail handles an error of a statement: an implicit transaction ends, an explicit one waits for its ROLLBACK. The
// writer is given back at once unless a savepoint may bring the transaction back.
func (t *transaction) fail(s *session) {
	if !t.explicit {
		t.rollback(s)
		return
	}
	t.failed = true
	if t.savepoints == 0 {
		t.releaseWriter(true)
	}
}

func (s *session) finishTransaction(t *transaction, o Outcome, p position.Position) {
	s.m.statements.finish(t.logged, o, p)
	for i := len(t.undo) - 1; i >= 0; i-- {
		c := t.undo[i]
		if o == OutcomeCommitted && !c.local {
			continue
		}
		if c.had {
			s.settings[c.name] = c.old
		} else {
			delete(s.settings, c.name)
		}
	}
}

// recordStatement remembers a statement for the replay and reports whether it changed anything.
func (t *transaction) recordStatement(st *sqltext.Statement, x sqldb.Statement, rows int64) bool {
	if st.Class != sqltext.Write || st.Locks || rows == 0 && !st.Schema {
		return false
	}
	t.statements = append(t.statements, x)
	t.changes++
	return true
}

// replayed returns the form in which members repeat a statement.
func replayed(st *sqltext.Statement, text string, args []driver.NamedValue) sqldb.Statement {
	return sqldb.Statement{SQL: text, Args: args, Rows: st.Rows, Schema: st.Schema}
}

// savepoint runs a savepoint command. A transaction that cannot write has nothing to restore.
func (s *session) savepoint(st *sqltext.Statement) error {
	t := s.tx
	if t == nil || !t.explicit {
		return errorf(stateNoTransaction, "%s can only be used in transaction blocks", st.Tag)
	}
	if !t.readOnly && s.m.leads() && t.writer == nil && !t.failed {
		if err := t.acquireWriter(s); err != nil {
			return err
		}
	}
	if t.writer != nil {
		if _, err := t.writer.db.Run(sqldb.Statement{SQL: st.SQLite}, nil); err != nil {
			return err
		}
		t.statements = append(t.statements, sqldb.Statement{SQL: st.SQLite})
	}
	switch st.Class {
	case sqltext.Savepoint:
		t.savepoints++
	case sqltext.RollbackTo:
		t.failed = false
	}
	return nil
}
