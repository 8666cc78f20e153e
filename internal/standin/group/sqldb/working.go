package sqldb

import "database/sql/driver"

// Working is the database in which a primary runs its one open write transaction. It is used by one goroutine at a
// time.
type Working struct{ conn *conn }

// Begin starts the transaction.
func (w *Working) Begin() error {
	_, err := w.conn.exec("BEGIN", nil)
	return err
}

// Commit ends the transaction and keeps its changes.
func (w *Working) Commit() error {
	_, err := w.conn.exec("COMMIT", nil)
	return err
}

// Rollback ends the transaction and drops its changes.
func (w *Working) Rollback() error {
	_, err := w.conn.exec("ROLLBACK", nil)
	return err
}

// Run runs a statement, passes its rows to row and returns the number of rows, or of changed rows when the statement
// returns none.
func (w *Working) Run(s Statement, row func([]driver.Value) error) (int64, error) {
	if s.Rows {
		return w.conn.run(s.SQL, s.Args, row)
	}
	return w.conn.exec(s.SQL, s.Args)
}

// Columns returns the names and declared types of the result columns of a statement.
func (w *Working) Columns(sql string) (columns, declared []string, err error) {
	return describe(w.conn, sql)
}

// Close frees the database.
func (w *Working) Close() error { return w.conn.close() }
