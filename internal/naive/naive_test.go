package naive

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"github.com/xdg-go/scram"
	"go.uber.org/goleak"

	"github.com/celerystep/celerystep/internal/pgauth"
	"github.com/celerystep/celerystep/internal/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeMember answers simple queries with one row that holds the query's text, and group_status with its role.
type fakeMember struct {
	listener net.Listener
	role     upstream.Role
	opened   chan net.Conn
}

func startMember(t *testing.T, role upstream.Role, lookup pgauth.Lookup) *fakeMember {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &fakeMember{listener: l, role: role, opened: make(chan net.Conn, 100)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(nc, lookup)
		}
	}()
	return m
}

func (m *fakeMember) serve(nc net.Conn, lookup pgauth.Lookup) {
	defer nc.Close()
	c, err := pgauth.Accept(nc, lookup)
	if err != nil {
		return
	}
	m.opened <- nc
	c.Backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for c.Backend.Flush() == nil {
		q, err := c.Backend.Receive()
		if err != nil {
			return
		}
		query, ok := q.(*pgproto3.Query)
		if !ok {
			return
		}
		text := []byte(query.String)
		if query.String == statusQuery {
			text, _ = json.Marshal(upstream.MemberStatus{Role: m.role})
		}
		c.Backend.Send(&pgproto3.DataRow{Values: [][]byte{text}})
		c.Backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
		c.Backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	}
}

// connect opens a caller's connection; it is closed with the test.
func connect(t *testing.T, p *Proxy) *serverConn {
	t.Helper()
	nc, err := net.Dial("tcp", p.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	c := &serverConn{net: nc, front: pgproto3.NewFrontend(nc, nc)}
	login := pgauth.Login{User: "c1.k1", Password: "pencil", Parameters: map[string]string{"database": "db"}}
	if err := new(pgauth.Clients).Connect(c.front, login, nil); err != nil {
		t.Fatal(err)
	}
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

func startProxy(t *testing.T, limit Limit) (*Proxy, *fakeMember) {
	t.Helper()
	verifier, err := pgauth.Verifier("pencil", "salt", 4096)
	if err != nil {
		t.Fatal(err)
	}
	lookup := func(string) (scram.StoredCredentials, error) { return verifier, nil }
	replica := startMember(t, upstream.RoleReplica, lookup)
	primary := startMember(t, upstream.RolePrimary, lookup)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	members := []string{replica.listener.Addr().String(), primary.listener.Addr().String()}
	p := Start(l, Config{
		Groups: []Group{{Database: "db", Members: members, Connections: 1}}, User: "upstream", Password: "pencil",
		Lookup: lookup, Limits: map[string]Limit{"c1": limit},
	})
	t.Cleanup(p.Close)
	return p, primary
}

// Guards against a baseline that opens more connections than its share, gives one to two callers, or goes on with a
// lost one.
func TestSessionPooling(t *testing.T) {
	is := is.New(t)
	p, primary := startProxy(t, Limit{Rate: 1000, Burst: 100})
	first, second := connect(t, p), connect(t, p)
	rows, err := first.query("SELECT 1")
	is.NoErr(err)
	is.Equal(string(rows[0]), "SELECT 1")
	answered := make(chan error, 1)
	go func() {
		_, err := second.query("SELECT 2") // waits until the first caller has left
		answered <- err
	}()
	select {
	case <-answered:
		t.Fatal("two callers share the only connection")
	case <-time.After(50 * time.Millisecond):
	}
	_ = first.net.Close()
	is.NoErr(<-answered)
	is.Equal(len(primary.opened), 1)

	_ = (<-primary.opened).Close()
	_, err = second.query("SELECT 3")
	is.True(err != nil) // the session ends with its connection
	_, err = connect(t, p).query("SELECT 4")
	is.NoErr(err)
	is.Equal(len(primary.opened), 1)
}

// Guards against limits that let more through than the instance's share, or refuse what could wait.
func TestBucket(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_700_000_000, 0)
	b := &bucket{limit: Limit{Rate: 10, Burst: 2}, level: 2, at: start}
	ctx, cancel := context.WithDeadline(t.Context(), start.Add(time.Second))
	defer cancel()
	wait, ok := b.reserve(ctx, start, 2)
	is.True(ok && wait == 0)
	wait, ok = b.reserve(ctx, start, 10)
	is.True(ok)
	is.Equal(wait, time.Second)
	_, ok = b.reserve(ctx, start, 1) // its token would come after the deadline
	is.True(!ok)
	is.Equal(Share(20, 6), 3)
	is.Equal(Share(2, 6), 1)
}
