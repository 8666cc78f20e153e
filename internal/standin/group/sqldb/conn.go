// Package sqldb keeps the data of one member of the database group stand-in in SQLite databases in memory.
//
// A member has a committed database, which many readers share and one applier changes, and on the primary a working
// database, in which the one open write transaction runs. SQLite blocks new readers of a shared database in memory
// while a transaction on it is open, so the two are separate: a commit on the working database is repeated on the
// committed one.
package sqldb

import (
	"context"
	"database/sql/driver"
	"io"

	"github.com/go-faster/errors"
	"modernc.org/sqlite"
)

// maxStatements bounds the prepared statements kept per connection.
const maxStatements = 256

// pragmas are set on each connection.
var pragmas = []string{"PRAGMA foreign_keys = ON", "PRAGMA journal_mode = MEMORY", "PRAGMA temp_store = MEMORY"}

// conn is an SQLite connection with its prepared statements. It is used by one goroutine at a time.
type conn struct {
	driver     driver.Conn
	statements map[string]driver.Stmt
}

func openConn(dsn string) (*conn, error) {
	c, err := sqlite.NewConnector(dsn)
	if err != nil {
		return nil, errors.Wrap(err, "open sqlite")
	}
	d, err := c.Connect(context.Background())
	if err != nil {
		return nil, errors.Wrap(err, "open sqlite")
	}
	return newConn(d)
}

func newConn(d driver.Conn) (*conn, error) {
	c := &conn{driver: d, statements: make(map[string]driver.Stmt)}
	for _, p := range pragmas {
		if _, err := c.run(p, nil, nil); err != nil {
			_ = c.close()
			return nil, errors.Wrap(err, p)
		}
	}
	return c, nil
}

func (c *conn) close() error {
	c.closeStatements()
	return c.driver.Close()
}

func (c *conn) closeStatements() {
	for _, s := range c.statements {
		_ = s.Close()
	}
	clear(c.statements)
}

func (c *conn) prepare(sql string) (driver.Stmt, error) {
	if s, ok := c.statements[sql]; ok {
		return s, nil
	}
	s, err := c.driver.Prepare(sql)
	if err != nil {
		return nil, err
	}
	if len(c.statements) >= maxStatements {
		c.closeStatements()
	}
	c.statements[sql] = s
	return s, nil
}

// exec runs a statement that returns no rows and returns the number of changed rows.
func (c *conn) exec(sql string, args []driver.NamedValue) (int64, error) {
	s, err := c.prepare(sql)
	if err != nil {
		return 0, err
	}
	r, err := s.(driver.StmtExecContext).ExecContext(context.Background(), args)
	if err != nil {
		return 0, err
	}
	return r.RowsAffected()
}

// run runs a statement, passes its rows to row and returns their number. Row may be nil; its argument is valid only
// during the call.
func (c *conn) run(sql string, args []driver.NamedValue, row func([]driver.Value) error) (n int64, err error) {
	s, err := c.prepare(sql)
	if err != nil {
		return 0, err
	}
	rows, err := s.(driver.StmtQueryContext).QueryContext(context.Background(), args)
	if err != nil {
		return 0, err
	}
	defer func() {
		if e := rows.Close(); err == nil {
			err = e
		}
	}()
	values := make([]driver.Value, len(rows.Columns()))
	for {
		err := rows.Next(values)
		if errors.Is(err, io.EOF) {
			return n, nil
		}
		if err != nil {
			return n, err
		}
		n++
		if row == nil {
			continue
		}
		if err := row(values); err != nil {
			return n, err
		}
	}
}

// columnInfo is the part of the driver that describes result columns without running the statement.
type columnInfo interface {
	ColumnInfo(sql string) ([]sqlite.ColumnInfo, error)
}

func (c *conn) columns(sql string) ([]sqlite.ColumnInfo, error) {
	return c.driver.(columnInfo).ColumnInfo(sql)
}

// backup is the part of the driver that copies a database.
type backup interface {
	NewBackup(dsn string) (*sqlite.Backup, error)
}

// copyTo copies the whole database into a new one.
func (c *conn) copyTo(dsn string) (*conn, error) {
	b, err := c.driver.(backup).NewBackup(dsn)
	if err != nil {
		return nil, errors.Wrap(err, "begin copy")
	}
	if _, err := b.Step(-1); err != nil {
		_ = b.Finish()
		return nil, errors.Wrap(err, "copy")
	}
	d, err := b.Commit()
	if err != nil {
		return nil, errors.Wrap(err, "finish copy")
	}
	return newConn(d)
}
