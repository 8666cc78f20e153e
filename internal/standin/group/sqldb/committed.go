package sqldb

import (
	"database/sql/driver"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/standin/group/sqltext"
)

// Statement is a statement of a transaction in the form in which it is replayed.
type Statement struct {
	SQL  string
	Args []driver.NamedValue
	// Rows is true when the statement returns rows, as with RETURNING.
	Rows bool
	// Schema is true when the statement changes the schema.
	Schema bool
}

// Committed is the committed state of a member. Readers see whole transactions only.
type Committed struct {
	// mu lets readers run side by side and the applier alone, so that SQLite never finds the database locked.
	mu      sync.RWMutex
	closed  bool
	applier *conn
	readers chan *conn
	version atomic.Uint64
	schema  atomic.Pointer[versionedSchema]
}

type versionedSchema struct {
	version uint64
	schema  sqltext.Schema
}

// ErrClosed reports a database that its member has replaced or closed.
var ErrClosed = errors.New("database is closed")

// names makes each database in memory distinct, because their names are shared by the whole process.
var names atomic.Uint64

// OpenCommitted opens an empty database for the given number of concurrent readers.
func OpenCommitted(readers int) (*Committed, error) {
	dsn := fmt.Sprintf("file:/celerystep-group-%d?vfs=memdb", names.Add(1))
	applier, err := openConn(dsn)
	if err != nil {
		return nil, err
	}
	d := &Committed{applier: applier, readers: make(chan *conn, readers)}
	for range readers {
		c, err := openConn(dsn)
		if err != nil {
			_ = d.Close()
			return nil, err
		}
		d.readers <- c
	}
	return d, nil
}

// Close frees the database. Readers that come later get ErrClosed.
func (d *Committed) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil
	}
	d.closed = true
	for range len(d.readers) {
		_ = (<-d.readers).close()
	}
	return d.applier.close()
}

// Run runs a read and passes its rows to row. It returns the number of rows.
func (d *Committed) Run(s Statement, row func([]driver.Value) error) (int64, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.closed {
		return 0, ErrClosed
	}
	c := <-d.readers
	defer func() { d.readers <- c }()
	return c.run(s.SQL, s.Args, row)
}

// Apply runs whole transactions in order. An error means that the databases of the group have diverged.
func (d *Committed) Apply(transactions [][]Statement) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return ErrClosed
	}
	for _, t := range transactions {
		if err := d.apply(t); err != nil {
			return err
		}
	}
	return nil
}

func (d *Committed) apply(t []Statement) error {
	if len(t) == 0 {
		return nil
	}
	if _, err := d.applier.exec("BEGIN", nil); err != nil {
		return errors.Wrap(err, "apply begin")
	}
	for _, s := range t {
		if err := d.applyStatement(s); err != nil {
			_, _ = d.applier.exec("ROLLBACK", nil)
			return errors.Wrapf(err, "apply %q", s.SQL)
		}
	}
	if _, err := d.applier.exec("COMMIT", nil); err != nil {
		return errors.Wrap(err, "apply commit")
	}
	return nil
}

func (d *Committed) applyStatement(s Statement) error {
	if s.Schema {
		d.version.Add(1)
	}
	if s.Rows {
		_, err := d.applier.run(s.SQL, s.Args, nil)
		return err
	}
	_, err := d.applier.exec(s.SQL, s.Args)
	return err
}

// Working returns a new working database with the same content.
func (d *Committed) Working() (*Working, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, ErrClosed
	}
	c, err := d.applier.copyTo(":memory:")
	if err != nil {
		return nil, err
	}
	return &Working{conn: c}, nil
}

// Version changes with each change of the schema.
func (d *Committed) Version() uint64 { return d.version.Load() }

// Schema returns the tables of the database.
func (d *Committed) Schema() (sqltext.Schema, error) {
	version := d.Version()
	if v := d.schema.Load(); v != nil && v.version == version {
		return v.schema, nil
	}
	s := make(sqltext.Schema)
	const query = "SELECT m.name, p.name, p.type FROM sqlite_schema m, pragma_table_info(m.name) p " +
		"WHERE m.type IN ('table', 'view') ORDER BY m.name, p.cid"
	_, err := d.Run(Statement{SQL: query}, func(row []driver.Value) error {
		table := strings.ToLower(fmt.Sprint(row[0]))
		s[table] = append(s[table], sqltext.Column{Name: fmt.Sprint(row[1]), Type: fmt.Sprint(row[2])})
		return nil
	})
	if err != nil {
		return nil, errors.Wrap(err, "read schema")
	}
	d.schema.Store(&versionedSchema{version: version, schema: s})
	return s, nil
}

// Columns returns the names and declared types of the result columns of a statement. The declared type of an
// expression is empty.
func (d *Committed) Columns(sql string) (columns, declared []string, err error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.closed {
		return nil, nil, ErrClosed
	}
	c := <-d.readers
	defer func() { d.readers <- c }()
	return describe(c, sql)
}

func describe(c *conn, sql string) (columns, declared []string, err error) {
	info, err := c.columns(sql)
	if err != nil {
		return nil, nil, err
	}
	for _, i := range info {
		columns = append(columns, i.Name)
		declared = append(declared, i.DeclType)
	}
	return columns, declared, nil
}
