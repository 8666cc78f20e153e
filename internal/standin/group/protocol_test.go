package group_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/standin/group"
)

// Guards against values that change on the way in or out, in the binary and in the text format.
func TestValues(t *testing.T) {
	g := start(t)
	for name, mode := range map[string]pgx.QueryExecMode{
		"binary": pgx.QueryExecModeCacheStatement,
		"exec":   pgx.QueryExecModeExec,
		"text":   pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := connect(t, g, "m1")
			exec(t, c, "DELETE FROM t", mode)
			tag := exec(t, c, "INSERT INTO t (id, n, name, ok, f, b) VALUES ($1, $2, $3, $4, $5, $6)",
				mode, int64(1)<<40, 7, "it's", true, 2.5, []byte{0, 255})
			is.Equal(tag.String(), "INSERT 0 1")
			var id, count int64
			var n int
			var s string
			var ok bool
			var f float64
			var b []byte
			var missing *string
			row := c.QueryRow(t.Context(), "SELECT id, n, name, ok, f, b, count(*), NULL::text FROM t WHERE ok = $1 GROUP BY 1",
				mode, true)
			is.NoErr(row.Scan(&id, &n, &s, &ok, &f, &b, &count, &missing))
			is.Equal(id, int64(1)<<40)
			is.Equal(n, 7)
			is.Equal(s, "it's")
			is.Equal(ok, true)
			is.Equal(f, 2.5)
			is.Equal(b, []byte{0, 255})
			is.Equal(count, int64(1))
			is.True(missing == nil)
			var returned int64
			is.NoErr(c.QueryRow(t.Context(), "UPDATE t SET n = n + $1 RETURNING id", mode, 1).Scan(&returned))
			is.Equal(returned, id)
		})
	}
}

// Guards against answers that get out of step when statements are sent before the answers of earlier ones are read.
func TestPipelining(t *testing.T) {
	is := is.New(t)
	g := start(t)
	c := connect(t, g, "m1").PgConn()
	p := c.StartPipeline(t.Context())
	p.SendQueryParams("SET celerystep.customer = 'kestrel'", nil, nil, nil, nil)
	p.SendPipelineSync()
	p.SendQueryParams("INSERT INTO t (id) VALUES (1) RETURNING id", nil, nil, nil, nil)
	p.SendPipelineSync()
	p.SendQueryParams("SELECT bad FROM t", nil, nil, nil, nil)
	p.SendQueryParams("INSERT INTO t (id) VALUES (2)", nil, nil, nil, nil) // skipped up to Sync
	p.SendPipelineSync()
	p.SendQueryParams("SELECT count(*) FROM t", nil, nil, nil, nil)
	p.SendPipelineSync()
	is.NoErr(p.Flush())
	got, errs := readPipeline(t, p)
	is.Equal(got, []string{"1", "1"})
	is.Equal(errs, []string{"42703"})
	is.NoErr(p.Close())
	log, _ := g.StatementLog("m1")
	is.Equal(log[0].Customer, "kestrel")
}

// readPipeline returns the first column of all rows and the SQLSTATEs of all errors.
func readPipeline(t *testing.T, p *pgconn.Pipeline) (values, states []string) {
	t.Helper()
	for {
		r, err := p.GetResults()
		switch x := r.(type) {
		case *pgconn.ResultReader:
			res := x.Read()
			for _, row := range res.Rows {
				values = append(values, string(row[0]))
			}
			if res.Err != nil {
				states = append(states, state(res.Err))
			}
		case *pgconn.PipelineSync:
		case nil:
			if err == nil {
				return values, states
			}
			states = append(states, state(err))
		}
	}
}

// Guards against transactions that lose their state, and against effects of rolled back or failed ones.
func TestTransactions(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	g := start(t)
	c := connect(t, g, "m1")
	tx, err := c.Begin(ctx)
	is.NoErr(err)
	_, err = tx.Exec(ctx, "INSERT INTO t (id) VALUES (1)")
	is.NoErr(err)
	var n int
	is.NoErr(tx.QueryRow(ctx, "SELECT count(*) FROM t").Scan(&n))
	is.Equal(n, 1)                                                // it sees its own write
	is.Equal(one(t, g, "m1", "SELECT count(*) FROM t"), int64(0)) // nobody else does
	nested, err := tx.Begin(ctx)
	is.NoErr(err)
	_, err = nested.Exec(ctx, "INSERT INTO t (id) VALUES (1)")
	is.Equal(state(err), "23505")
	_, err = nested.Exec(ctx, "SELECT 1")
	is.Equal(state(err), "25P02")
	is.NoErr(nested.Rollback(ctx)) // the savepoint brings the transaction back
	_, err = tx.Exec(ctx, "INSERT INTO t (id) VALUES (2)")
	is.NoErr(err)
	is.NoErr(tx.Commit(ctx))
	waitApplied(t, g, "m3", g.Status("m1").Received)
	is.Equal(one(t, g, "m3", "SELECT group_concat(id) FROM t"), "1,2")

	_, err = c.Exec(ctx, "INSERT INTO t (id) VALUES (3); INSERT INTO t (id) VALUES (1)")
	is.Equal(state(err), "23505")
	is.Equal(one(t, g, "m1", "SELECT count(*) FROM t"), int64(2)) // a query text is one transaction
	log, _ := g.StatementLog("m1")
	last := log[len(log)-2:]
	is.Equal(last[0].Outcome, group.OutcomeRolledBack)
	is.Equal(last[1].State, "23505")
	is.True(last[0].Wrote && !last[1].Wrote)
	is.Equal(last[0].Transaction, last[1].Transaction)
}

// Guards against a commit whose position is not reported before the client may go on, or is reported for a read.
func TestPositionReport(t *testing.T) {
	is := is.New(t)
	g := start(t)
	c := connect(t, g, "m1")
	is.Equal(c.PgConn().ParameterStatus("group_position"), "")
	exec(t, c, "SELECT 1")
	is.Equal(c.PgConn().ParameterStatus("group_position"), "")
	exec(t, c, "INSERT INTO t (id) VALUES (1)")
	want := position.Position{Term: 1, LSN: 3} // after the start of the term and the schema
	is.Equal(c.PgConn().ParameterStatus("group_position"), want.String())
	is.Equal(g.Position("m1"), want)
	exec(t, c, "UPDATE t SET n = 1 WHERE id = 99")
	is.Equal(c.PgConn().ParameterStatus("group_position"), want.String()) // nothing changed
	log, _ := g.StatementLog("m1")
	is.Equal(log[1].Position, want)
}

// Guards against writes on replicas and in read-only transactions.
func TestReadOnly(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	g := start(t)
	replica, primary := connect(t, g, "m2"), connect(t, g, "m1")
	_, err := replica.Exec(ctx, "INSERT INTO t (id) VALUES (1)")
	is.Equal(state(err), "25006")
	_, err = replica.Exec(ctx, "SELECT * FROM t FOR UPDATE")
	is.Equal(state(err), "25006")
	tx, err := primary.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
	is.NoErr(err)
	_, err = tx.Exec(ctx, "INSERT INTO t (id) VALUES (1)")
	is.Equal(state(err), "25006")
	is.NoErr(tx.Rollback(ctx))
	tx, err = replica.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
	is.NoErr(err)
	_, err = tx.Exec(ctx, "SELECT * FROM t")
	is.NoErr(err)
	is.NoErr(tx.Commit(ctx))
}

// Guards against waiting writes that block reads, and against writes that do not wait for an open transaction.
func TestWaitingWrite(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	g := start(t, func(o *group.Options) { o.Slots = 1 })
	holder, waiter, reader := connect(t, g, "m1"), connect(t, g, "m1"), connect(t, g, "m1")
	_, err := holder.Exec(ctx, "BEGIN; INSERT INTO t (id) VALUES (1)")
	is.NoErr(err)
	written := make(chan error, 1)
	go func() {
		_, err := waiter.Exec(ctx, "INSERT INTO t (id) VALUES (2)")
		written <- err
	}()
	var n int
	is.NoErr(reader.QueryRow(ctx, "SELECT count(*) FROM t").Scan(&n))
	is.Equal(n, 0)
	is.Equal(len(written), 0)
	exec(t, holder, "ROLLBACK")
	is.NoErr(<-written)
	is.Equal(one(t, g, "m1", "SELECT group_concat(id) FROM t"), "2")
}

// Guards against a client that went silent inside a transaction and blocks writes for good.
func TestIdleInTransaction(t *testing.T) {
	is := is.New(t)
	g := start(t, func(o *group.Options) { o.IdleInTransactionTimeout = 50 * time.Millisecond })
	holder, waiter := connect(t, g, "m1"), connect(t, g, "m1")
	_, err := holder.Exec(t.Context(), "BEGIN; INSERT INTO t (id) VALUES (1)")
	is.NoErr(err)
	exec(t, waiter, "INSERT INTO t (id) VALUES (2)")
	is.Equal(one(t, g, "m1", "SELECT group_concat(id) FROM t"), "2")
	_, err = holder.Exec(t.Context(), "COMMIT")
	is.Equal(state(err), "25P03")
}

// Guards against more statements at once than a member has slots, and against a cancel request without effect.
func TestSlotsAndCancel(t *testing.T) {
	is := is.New(t)
	g := start(t, func(o *group.Options) { o.Slots = 1 })
	a, b := connect(t, g, "m1"), connect(t, g, "m1")
	slept := make(chan error, 1)
	go func() {
		_, err := a.Exec(context.Background(), "SELECT pg_sleep(3600)")
		slept <- err
	}()
	waitFor(t, "sleep", func() bool { log, _ := g.StatementLog("m1"); return len(log) == 1 })
	read := make(chan error, 1)
	go func() {
		_, err := b.Exec(context.Background(), "SELECT 1")
		read <- err
	}()
	is.NoErr(a.PgConn().CancelRequest(t.Context()))
	is.Equal(state(<-slept), "57014")
	is.NoErr(<-read)
	log, _ := g.StatementLog("m1")
	is.Equal(len(log), 2) // the read started only after the slot was free
	is.Equal(log[0].Outcome, group.OutcomeRolledBack)
}

// Guards against a group that opens more connections than its limit, or that locks out a new home.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	g := start(t, func(o *group.Options) { o.Connections = 2 })
	connect(t, g, "m1")
	c := connect(t, g, "m2")
	_, err := connectTo(t, g, "m3")
	is.Equal(state(err), "53300")
	connect(t, g, "m3", "celerystep.status", "on")
	is.Equal(g.Connections(), 3)
	closeConn(c)
	waitFor(t, "closed connection", func() bool { return g.Connections() == 2 })
	_, err = connectTo(t, g, "m2")
	is.Equal(state(err), "53300") // the status connection counts
}

// Guards against idle connections that keep their place for good, and against status connections that do not.
func TestIdleSession(t *testing.T) {
	is := is.New(t)
	g := start(t, func(o *group.Options) { o.IdleSessionTimeout = 50 * time.Millisecond })
	c := connect(t, g, "m1")
	connect(t, g, "m1", "celerystep.status", "on")
	waitFor(t, "idle close", func() bool { return g.Connections() == 1 })
	_, err := c.Exec(t.Context(), "SELECT 1")
	is.Equal(state(err), "57P05")
}

// Guards against session state that survives DISCARD ALL or leaks out of a rolled back transaction.
func TestSessionState(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	g := start(t)
	c := connect(t, g, "m1")
	exec(t, c, "SET celerystep.customer = 'a'")
	exec(t, c, "BEGIN")
	exec(t, c, "SET celerystep.customer = 'b'")
	exec(t, c, "ROLLBACK")
	var v string
	is.NoErr(c.QueryRow(ctx, "SHOW celerystep.customer").Scan(&v))
	is.Equal(v, "a")
	_, err := c.Prepare(ctx, "p", "SELECT 1")
	is.NoErr(err)
	_, err = c.Exec(ctx, "DISCARD ALL", pgx.QueryExecModeSimpleProtocol)
	is.NoErr(err)
	_, err = c.Exec(ctx, "SHOW celerystep.customer", pgx.QueryExecModeSimpleProtocol)
	is.Equal(state(err), "42704")
	is.Equal(state(c.PgConn().ExecPrepared(ctx, "p", nil, nil, nil).Read().Err), "26000")
}

// Guards against captured input that misses what clients send.
func TestCapture(t *testing.T) {
	is := is.New(t)
	g := start(t, func(o *group.Options) { o.Capture = true })
	exec(t, connect(t, g, "m2"), "SELECT 'needle'")
	is.True(bytes.Contains(g.Captured(), []byte("needle")))
}
