package sqldb

import (
	"database/sql/driver"
	"sync"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

func open(t *testing.T) *Committed {
	t.Helper()
	d, err := OpenCommitted(4)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	if err := d.Apply([][]Statement{{{SQL: "CREATE TABLE t (id bigint PRIMARY KEY, n int)", Schema: true}}}); err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against readers that see half of a transaction, and against locked databases under concurrent use.
func TestReadersSeeWholeTransactions(t *testing.T) {
	is := is.New(t)
	d := open(t)
	w, err := d.Working()
	is.NoErr(err)
	defer func() { _ = w.Close() }()
	is.NoErr(w.Begin()) // an open write transaction must not block readers
	_, err = w.Run(Statement{SQL: "INSERT INTO t VALUES (99, 99)"}, nil)
	is.NoErr(err)

	var wg sync.WaitGroup
	failures := make(chan error, 4)
	stop := make(chan struct{})
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				_, err := d.Run(Statement{SQL: "SELECT count(*), sum(n) FROM t"}, func(v []driver.Value) error {
					if v[0].(int64)%2 != 0 || v[0].(int64) > 0 && v[1].(int64) != 0 {
						return errors.Errorf("half a transaction is visible: %v", v)
					}
					return nil
				})
				if err != nil {
					failures <- err
					return
				}
			}
		})
	}
	for i := range int64(500) {
		is.NoErr(d.Apply([][]Statement{{
			{SQL: "INSERT INTO t VALUES (?1, 1)", Args: []driver.NamedValue{{Ordinal: 1, Value: 2 * i}}},
			{SQL: "INSERT INTO t VALUES (?1, -1)", Args: []driver.NamedValue{{Ordinal: 1, Value: 2*i + 1}}},
		}}))
	}
	close(stop)
	wg.Wait()
	close(failures)
	is.NoErr(<-failures)
}

// Guards against a failed transaction that leaves changes behind.
func TestApplyIsAtomic(t *testing.T) {
	is := is.New(t)
	d := open(t)
	err := d.Apply([][]Statement{{{SQL: "INSERT INTO t VALUES (1, 1)"}, {SQL: "INSERT INTO t VALUES (1, 1)"}}})
	is.Equal(State(err), "23505")
	n, err := d.Run(Statement{SQL: "SELECT * FROM t"}, nil)
	is.NoErr(err)
	is.Equal(n, int64(0))
}

// Guards against a stale schema after a change, and against use after closing.
func TestSchemaAndClose(t *testing.T) {
	is := is.New(t)
	d := open(t)
	s, err := d.Schema()
	is.NoErr(err)
	is.Equal(len(s["t"]), 2)
	is.NoErr(d.Apply([][]Statement{{{SQL: "ALTER TABLE t ADD COLUMN x text", Schema: true}}}))
	s, err = d.Schema()
	is.NoErr(err)
	is.Equal(len(s["t"]), 3)
	_, declared, err := d.Columns("SELECT id, n + 1 FROM t")
	is.NoErr(err)
	is.Equal(declared, []string{"bigint", ""})
	is.NoErr(d.Close())
	_, err = d.Run(Statement{SQL: "SELECT 1"}, nil)
	is.True(errors.Is(err, ErrClosed))
}
