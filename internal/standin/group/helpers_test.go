package group_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/goleak"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/standin/group"
	"github.com/celerystep/celerystep/internal/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// generous bounds every wait of the tests.
const generous = 20 * time.Second

const schema = "CREATE TABLE t (id bigint PRIMARY KEY, n int, name text, ok boolean, f double precision, b bytea)"

func start(t *testing.T, change ...func(*group.Options)) *group.Group {
	t.Helper()
	o := group.Options{
		ID:      "g1",
		Members: []group.MemberOptions{{ID: "m1"}, {ID: "m2"}, {ID: "m3"}},
		Schema:  []string{schema},
	}
	for _, f := range change {
		f(&o)
	}
	g, err := group.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := g.Err(); err != nil {
			t.Error(err)
		}
		if err := g.Close(); err != nil {
			t.Error(err)
		}
	})
	return g
}

func connectTo(t *testing.T, g *group.Group, id upstream.MemberID, parameters ...string) (*pgx.Conn, error) {
	t.Helper()
	c, err := pgx.ParseConfig("postgres://proxy@" + g.Address(id) + "/db?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(parameters); i += 2 {
		c.RuntimeParams[parameters[i]] = parameters[i+1]
	}
	ctx, cancel := context.WithTimeout(t.Context(), generous)
	defer cancel()
	conn, err := pgx.ConnectConfig(ctx, c)
	if err == nil {
		t.Cleanup(func() { closeConn(conn) })
	}
	return conn, err
}

// closeConn closes without the wait for a silent server.
func closeConn(c *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = c.Close(ctx)
}

func connect(t *testing.T, g *group.Group, id upstream.MemberID, parameters ...string) *pgx.Conn {
	t.Helper()
	c, err := connectTo(t, g, id, parameters...)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func exec(t *testing.T, c *pgx.Conn, sql string, args ...any) pgconn.CommandTag {
	t.Helper()
	tag, err := c.Exec(t.Context(), sql, args...)
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return tag
}

// state returns the SQLSTATE of an error, or an empty string.
func state(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// one runs a query for one value on the committed state of a member.
func one(t *testing.T, g *group.Group, id upstream.MemberID, sql string) any {
	t.Helper()
	rows, err := g.Read(id, sql)
	if err != nil {
		t.Fatal(err)
	}
	return rows[0][0]
}

func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(generous); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

func waitApplied(t *testing.T, g *group.Group, id upstream.MemberID, lsn position.LSN) {
	t.Helper()
	waitFor(t, "applied position", func() bool { return g.Status(id).Applied >= lsn })
}
