package entry

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/certs"
	"github.com/celerystep/celerystep/internal/certs/certstest"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/link"
	"github.com/celerystep/celerystep/internal/peer"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/request"
)

// connect opens a session with pgx. Settings are start-up parameters.
func (f *fixture) connect(user, password, database string, settings ...string) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig("postgres://" + f.address + "/" + database + "?sslmode=disable")
	if err != nil {
		f.t.Fatal(err)
	}
	c.User, c.Password = user, password
	for i := 0; i < len(settings); i += 2 {
		c.RuntimeParams[settings[i]] = settings[i+1]
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return pgx.ConnectConfig(ctx, c)
}

func (f *fixture) mustConnect(settings ...string) *pgx.Conn {
	f.t.Helper()
	c, err := f.connect("kestrel.dispatch", f.secret, "orders", settings...)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// sqlState returns the SQLSTATE of an error, after checking that the detail carries a trace id.
func sqlState(t *testing.T, err error) string {
	t.Helper()
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		t.Fatalf("no error from the server: %v", err)
	}
	if !strings.HasPrefix(e.Detail, "trace=") || !strings.Contains(e.Detail, "step=") {
		t.Errorf("no trace and step: %+v", e)
	}
	return e.Code
}

// queryText runs a query and returns the text of the first column of the first row.
func queryText(t *testing.T, c *pgx.Conn, query string, args ...any) string {
	t.Helper()
	var text string
	if err := c.QueryRow(context.Background(), query, args...).Scan(&text); err != nil {
		t.Fatalf("%s: %v", query, err)
	}
	return text
}

func exec(t *testing.T, c *pgx.Conn, query string) {
	t.Helper()
	if _, err := c.Exec(context.Background(), query); err != nil {
		t.Fatalf("%s: %v", query, err)
	}
}

func execErrorCode(t *testing.T, c *pgx.Conn, query string) string {
	t.Helper()
	_, err := c.Exec(context.Background(), query)
	return sqlState(t, err)
}

// TestLogin guards against callers who get in without a key, or whose key reaches a log or a request.
func TestLogin(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Settings{})
	for user, database := range map[string]string{"kestrel.dispatch": "orders", "kestrel": "orders", "anyone": "fixtures"} {
		c, err := f.connect(user, f.secret, database)
		is.NoErr(err)
		is.Equal(queryText(t, c, "SELECT 1"), "SELECT 1")
		is.NoErr(c.Close(context.Background()))
	}
	is.Equal(f.home.last().Route == "fixtures" || f.home.last().Key == "dispatch", true)
	refusals := [][4]string{
		{"kestrel.dispatch", "wrong", "orders", "28P01"}, {"nobody.x", f.secret, "orders", "28P01"},
		{"kestrel.dispatch", f.secret, "missing", "3D000"}, {"kestrel.dispatch", f.secret, "closed", "28000"},
	}
	for _, r := range refusals {
		_, err := f.connect(r[0], r[1], r[2])
		is.Equal(sqlState(t, err), r[3])
	}
	_, err := f.connect("kestrel.dispatch", f.secret, "orders", "work_mem", "1GB")
	is.Equal(sqlState(t, err), "0A000")
	is.True(!strings.Contains(f.log.String(), f.secret))
	is.True(!strings.Contains(fmt.Sprintf("%+v %s", *f.home.last(), f.home.last().Messages), f.secret))
	is.True(strings.Contains(f.log.String(), "code=28P01"))
}

// TestRequestFields guards against requests that lose what the home needs for routing and admission.
func TestRequestFields(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Settings{})
	c := f.mustConnect("celerystep.max_age_ms", "2500", "timezone", "Indian/Mauritius")
	exec(t, c, "SET celerystep.idempotent = on")
	exec(t, c, "SET search_path TO \"$user\", public")
	queryText(t, c, "SELECT $1", "x")
	r := f.home.last()
	is.Equal(r.Customer, "kestrel")
	is.Equal(r.Key, "dispatch")
	is.Equal(r.Route, "orders")
	is.Equal(string(r.Group), "g1")
	is.Equal(r.ConfigVersion, uint64(1))
	is.Equal(r.Kind, request.KindRead)
	is.Equal(r.MaxAge.Milliseconds(), int64(2500))
	is.True(r.Idempotent)
	is.Equal(len(r.Trace), 16)
	is.Equal(r.Parameters, map[string]string{"timezone": "Indian/Mauritius", "search_path": `"$user", public`})
	is.Equal(len(r.Prepared), 1)
	is.Equal(r.Prepared[0].Query, "SELECT $1")
	exec(t, c, "SET statement_timeout = '2min'")
	exec(t, c, "INSERT INTO t VALUES (1)")
	is.Equal(f.home.last().Kind, request.KindWrite)
	is.Equal(f.home.last().Timeout.Seconds(), 120.0)
}

// TestToken guards against a session that loses its floor on the way to another connection.
func TestToken(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Settings{})
	c := f.mustConnect()
	queryText(t, c, "SELECT 1")
	is.Equal(c.PgConn().ParameterStatus(parameterToken), "")
	is.True(!f.home.last().HasFloor)
	exec(t, c, "INSERT INTO t VALUES (1)")
	token := c.PgConn().ParameterStatus(parameterToken)
	is.Equal(token, "kestrel@g1@1/1")
	is.Equal(queryText(t, c, "SHOW celerystep.token"), token)
	queryText(t, c, "SELECT 1")
	is.Equal(f.home.last().Floor, position.Position{Term: 1, LSN: 1})

	roamed := f.mustConnect(parameterToken, token)
	queryText(t, roamed, "SELECT 1")
	is.Equal(f.home.last().Floor, position.Position{Term: 1, LSN: 1})
	is.True(f.home.last().FloorFromToken)
	exec(t, roamed, "SET celerystep.token = 'kestrel@g1@1/7'")
	queryText(t, roamed, "SELECT 1")
	is.Equal(f.home.last().Floor.LSN, position.LSN(7))
	is.Equal(execErrorCode(t, roamed, "SET celerystep.token = 'other@g1@1/9'"), "22023")
	queryText(t, f.mustConnect(parameterToken, "garbage"), "SELECT 1")
	is.True(!f.home.last().HasFloor)
}

// TestSessionStatements guards against statements on the session that reach a shared connection.
func TestSessionStatements(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Settings{})
	c := f.mustConnect("application_name", "first")
	ctx := context.Background()
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec, pgx.QueryExecModeCacheStatement} {
		before := f.home.count()
		_, err := c.Exec(ctx, "SET application_name = 'second'", mode)
		is.NoErr(err)
		is.Equal(c.PgConn().ParameterStatus("application_name"), "second")
		is.Equal(queryText(t, c, "SHOW application_name", mode), "second")
		_, err = c.Exec(ctx, "RESET application_name", mode)
		is.NoErr(err)
		is.Equal(queryText(t, c, "SHOW application_name", mode), "first")
		is.Equal(queryText(t, c, "SHOW celerystep.max_age_ms", mode), "0")
		for _, text := range []string{"DISCARD PLANS", "UNLISTEN *", "DEALLOCATE ALL", "RESET ALL", "DISCARD ALL"} {
			_, err = c.Exec(ctx, text, pgx.QueryExecModeSimpleProtocol)
			is.NoErr(err)
		}
		is.Equal(f.home.count(), before)
		_ = c.DeallocateAll(ctx)
	}
	is.Equal(execErrorCode(t, c, "SET work_mem = '1GB'"), "0A000")
	is.Equal(execErrorCode(t, c, "SET client_encoding = 'LATIN1'"), "22023")
	is.Equal(execErrorCode(t, c, "LISTEN x"), "0A000")
	is.Equal(execErrorCode(t, c, "COPY t FROM stdin"), "0A000")
	is.Equal(execErrorCode(t, c, "SHOW celerystep.unknown"), "42704")
	is.Equal(queryText(t, c, "SHOW server_version"), "SHOW server_version")
}

// TestTransaction guards against parameters and errors that do not follow the transaction.
func TestTransaction(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Settings{})
	c := f.mustConnect()
	exec(t, c, "BEGIN READ ONLY")
	is.Equal(f.home.last().Kind, request.KindRead)
	is.True(f.home.last().Begins)
	exec(t, c, "SET timezone = 'UTC'")
	queryText(t, c, "SELECT 1")
	is.Equal(f.home.last().Parameters["timezone"], "UTC")
	exec(t, c, "ROLLBACK")
	queryText(t, c, "SELECT 1")
	is.Equal(f.home.last().Parameters["timezone"], "")

	exec(t, c, "BEGIN")
	is.Equal(execErrorCode(t, c, "SELECT 'fail'"), "22012")
	is.Equal(c.PgConn().TxStatus(), byte(txFailed))
	is.Equal(execErrorCode(t, c, "SET timezone = 'UTC'"), "25P02")
	exec(t, c, "ROLLBACK")
	is.Equal(c.PgConn().TxStatus(), byte(txIdle))

	exec(t, c, "BEGIN; SAVEPOINT a")
	is.Equal(execErrorCode(t, c, "SET timezone = 'UTC'"), "0A000")
	exec(t, c, "COMMIT")
	exec(t, c, "SET timezone = 'UTC'")
	is.Equal(f.home.endedCount(), 0)
}

// TestLostTransaction guards against statements that run outside the transaction they were meant for, because the home
// that held it is unavailable.
func TestLostTransaction(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Settings{})
	lost := request.Result{Outcome: request.OutcomeNotRun, Code: "40000", Message: "link ended", Step: "link", Peer: "i2"}
	f.home.hook = func(_ context.Context, r *request.Request, _ request.Answer) (request.Result, bool) {
		return lost, strings.Contains(string(r.Messages), "LOSE") || strings.Contains(string(r.Messages), "ROLLBACK")
	}
	c := f.mustConnect()
	exec(t, c, "BEGIN")
	is.Equal(execErrorCode(t, c, "UPDATE t SET a = 'LOSE'"), "40000")
	is.Equal(c.PgConn().TxStatus(), byte(txFailed))
	is.Equal(f.home.endedCount(), 1)
	before := f.home.count()
	is.Equal(execErrorCode(t, c, "UPDATE t SET a = 2"), "25P02")
	is.Equal(execErrorCode(t, c, "SELECT 1"), "25P02")
	_, err := c.Exec(context.Background(), "COMMIT", pgx.QueryExecModeExec)
	is.NoErr(err)
	is.Equal(f.home.count(), before)
	is.Equal(c.PgConn().TxStatus(), byte(txIdle))
	queryText(t, c, "SELECT 1")

	// A transaction whose loss shows with ROLLBACK has the outcome that the caller asked for.
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
		exec(t, c, "BEGIN")
		is.True(!f.home.last().InTransaction)
		_, err = c.Exec(context.Background(), "ROLLBACK", mode)
		is.NoErr(err)
		is.True(f.home.last().InTransaction)
		is.Equal(c.PgConn().TxStatus(), byte(txIdle))
	}
	lost = request.Result{Outcome: request.OutcomeNotRun, TxStatus: txFailed, Code: "57P03", Home: "i2"}
	exec(t, c, "BEGIN")
	is.Equal(execErrorCode(t, c, "UPDATE t SET a = 'LOSE'"), "40000")
	exec(t, c, "ROLLBACK")
	lost = request.Result{Outcome: request.OutcomeNotRun, TxStatus: txIdle, Code: "53400"}
	exec(t, c, "BEGIN")
	is.Equal(execErrorCode(t, c, "UPDATE t SET a = 'LOSE'"), "53400")
	is.Equal(execErrorCode(t, c, "UPDATE t SET a = 2"), "25P02")
}

// TestOutcomes guards against refusals and unknown outcomes that callers cannot tell apart.
func TestOutcomes(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Settings{})
	var result request.Result
	f.home.hook = func(context.Context, *request.Request, request.Answer) (request.Result, bool) { return result, true }
	c := f.mustConnect()
	check := func(want, marker string) {
		t.Helper()
		_, err := c.Exec(context.Background(), "UPDATE t SET a = 1")
		is.Equal(sqlState(t, err), want)
		is.True(strings.Contains(err.Error(), marker))
	}
	result = request.Result{Outcome: request.OutcomeNotRun, Code: "53400", Message: "rate exceeded", Step: "admit", Peer: "i2"}
	check("53400", "not run")
	result = request.Result{}
	check("08007", "outcome unknown")
	result = request.Result{Outcome: request.OutcomeNotRun}
	check("57P03", "not run")
}

// TestBatch guards against batches that are taken apart, out of order, or run after an error.
func TestBatch(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Settings{})
	c := f.mustConnect()
	ctx := context.Background()
	run := func(texts ...string) (rows []string, err error) {
		b := &pgx.Batch{}
		for _, text := range texts {
			b.Queue(text)
		}
		results := c.SendBatch(ctx, b)
		for range texts {
			var text string
			if err = results.QueryRow().Scan(&text); err != nil && !errors.Is(err, pgx.ErrNoRows) {
				break
			}
			rows = append(rows, text)
		}
		_ = results.Close()
		return rows, err
	}
	rows, err := run("SELECT 1", "SELECT 2", "INSERT INTO t VALUES (1)")
	is.NoErr(err)
	is.Equal(rows, []string{"SELECT 1", "SELECT 2", "INSERT INTO t VALUES (1)"})
	is.Equal(f.home.last().Kind, request.KindWrite)
	_, err = run("SELECT 1", "SELECT 'fail'", "SELECT 2")
	is.Equal(sqlState(t, err), "22012")
	rows, err = run("SHOW celerystep.max_age_ms", "SELECT 1")
	is.NoErr(err)
	is.Equal(rows, []string{"0", "SELECT 1"})
	rows, err = run("begin", "SHOW celerystep.max_age_ms", "commit")
	is.NoErr(err)
	is.Equal(rows, []string{"begin", "0", "commit"})
	before := f.home.count()
	_, err = run("INSERT INTO t VALUES (1)", "SHOW celerystep.max_age_ms")
	is.Equal(sqlState(t, err), "0A000")
	_, err = c.Exec(ctx, "LISTEN x", pgx.QueryExecModeExec)
	is.Equal(sqlState(t, err), "0A000")
	is.True(f.home.count() <= before+3)
	queryText(t, c, "SELECT 1")
}

// TestTLS guards against a listener that takes keys in clear although TLS is required, and one whose certificate is not
// replaced.
func TestTLS(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Settings{RequireTLS: true})
	authority := certstest.New(t)
	dir := t.TempDir()
	files := certs.Files{Certificate: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key")}
	renew := func() (roots []byte) {
		certificate, key, roots := authority.Issue(t, "entry.test")
		is.NoErr(os.WriteFile(files.Certificate, certificate, 0o600))
		is.NoErr(os.WriteFile(files.Key, key, 0o600))
		return roots
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(renew())
	store, err := certs.Load(files)
	is.NoErr(err)
	f.server.deps.Certificates = store
	_, err = f.connect("kestrel.dispatch", f.secret, "orders")
	is.Equal(sqlState(t, err), "28000")
	serial := func() string {
		c, err := pgx.ParseConfig("postgres://" + f.address + "/orders?sslmode=require")
		is.NoErr(err)
		c.User, c.Password = "kestrel.dispatch", f.secret
		c.TLSConfig = &tls.Config{RootCAs: pool, ServerName: "entry.test"}
		conn, err := pgx.ConnectConfig(context.Background(), c)
		is.NoErr(err)
		defer conn.Close(context.Background())
		is.Equal(queryText(t, conn, "SELECT 1"), "SELECT 1")
		return conn.PgConn().Conn().(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.String()
	}
	first := serial()
	renew()
	is.NoErr(store.Reload())
	is.True(serial() != first)
}

// TestRouteMoves guards against floors of one group that are used for another.
func TestRouteMoves(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Settings{})
	c := f.mustConnect()
	exec(t, c, "INSERT INTO t VALUES (1)")
	moved := *f.cluster
	moved.Version = 2
	moved.Routes = append([]config.Route(nil), f.cluster.Routes...)
	moved.Routes[0].Group = "g2"
	f.server.Apply(config.NewSnapshot(&moved))
	queryText(t, c, "SELECT 1")
	is.Equal(string(f.home.last().Group), "g2")
	is.Equal(f.home.last().ConfigVersion, uint64(2))
	is.True(!f.home.last().HasFloor)
}

// TestOverLink guards against a session that does not work, or does not notice a lost transaction, when the home of its
// group is another instance.
func TestOverLink(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Settings{})
	remote := newFakeHome()
	server, homes := peerServer(t, remote, nil)
	links := link.NewPool(link.Options{Timing: peer.Timing{Heartbeat: time.Second, Silence: testTimeout, SlowReader: testTimeout}})
	t.Cleanup(links.Close)
	f.server.deps.Runner = NewDispatcher("i1", f.home, links, homes, nil, nil)
	c, roamed := f.mustConnect("statement_timeout", "200ms"), f.mustConnect()
	is.Equal(queryText(t, c, "SELECT $1", "x"), "SELECT $1")
	exec(t, c, "INSERT INTO t VALUES (1)")
	is.Equal(c.PgConn().ParameterStatus(parameterToken), "kestrel@g1@1/1")
	is.NoErr(c.PgConn().CancelRequest(context.Background()))
	exec(t, c, "BEGIN")
	is.NoErr(c.PgConn().CancelRequest(context.Background()))
	is.True(<-remote.cancelled != "")
	exec(t, c, "UPDATE t SET a = 1")
	is.NoErr(server.Close())
	is.Equal(execErrorCode(t, c, "UPDATE t SET a = 2"), "40000")
	is.Equal(execErrorCode(t, c, "UPDATE t SET a = 3"), "25P02")
	exec(t, c, "COMMIT")
	is.Equal(execErrorCode(t, c, "UPDATE t SET a = 4"), "57P03")
	eventually(t, "transaction rolled back", func() bool { return remote.endedCount() == 1 })

	_, moved := peerServer(t, remote, nil)
	homes.move(moved.info)
	exec(t, roamed, "UPDATE t SET a = 5")
	is.Equal(f.home.count(), 0)
}
