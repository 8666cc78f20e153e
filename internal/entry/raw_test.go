package entry

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/request"
)

// rawClient sends and receives single protocol messages.
type rawClient struct {
	t    *testing.T
	conn net.Conn
	*pgproto3.Frontend
}

func (f *fixture) dial(t *testing.T) *rawClient {
	t.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { _ = conn.Close() })
	return &rawClient{t: t, conn: conn, Frontend: pgproto3.NewFrontend(conn, conn)}
}

func (f *fixture) dialOpen(t *testing.T) *rawClient {
	t.Helper()
	r := f.dial(t)
	r.send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "anyone", "database": "fixtures"},
	})
	r.expect("RKZ")
	return r
}

func (r *rawClient) send(messages ...pgproto3.FrontendMessage) {
	r.t.Helper()
	for _, m := range messages {
		r.Send(m)
	}
	if err := r.Flush(); err != nil {
		r.t.Fatal(err)
	}
}

// messageType returns the protocol's type letter of a message.
func messageType(m pgproto3.BackendMessage) string {
	encoded, _ := m.Encode(nil)
	return string(encoded[:1])
}

// expect reads messages whose types are the letters, passing over ParameterStatus, and returns the last one.
func (r *rawClient) expect(letters string) (last pgproto3.BackendMessage) {
	r.t.Helper()
	got := ""
	for got != letters {
		m, err := r.Receive()
		if err != nil {
			r.t.Fatalf("after %q of %q: %v", got, letters, err)
		}
		if _, ok := m.(*pgproto3.ParameterStatus); ok {
			continue
		}
		last = m
		got += messageType(m)
		if !strings.HasPrefix(letters, got) {
			r.t.Fatalf("got %q, want %q: %+v", got, letters, m)
		}
	}
	return last
}

// expectEnd expects a fatal error with the code, followed by the end of the connection.
func (r *rawClient) expectEnd(code string) {
	r.t.Helper()
	e := r.expect("E").(*pgproto3.ErrorResponse)
	if e.Code != code || e.Severity != "FATAL" || !strings.HasPrefix(e.Detail, "trace=") {
		r.t.Fatalf("got %+v, want %s", e, code)
	}
	if m, err := r.Receive(); err == nil {
		r.t.Fatalf("connection goes on with %+v", m)
	}
}

// TestMalformedStartup guards against first packets that crash, hang or hold a connection.
func TestMalformedStartup(t *testing.T) {
	f := newFixture(t, Settings{StartupTimeout: time.Second})
	for _, data := range []string{
		"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x07\x00\x03\x00\x00", "\x00\x00\x00\x08\x00\x02\x00\x00",
		"\x00\x00\x00\x10\x00\x03\x00\x00user\x00xxx", "\x00\x00\x00\x09\x00\x03\x00\x00\x00\x00",
		"\x00\x00\x00\x0c\x04\xd2\x16\x2e\x00\x00\x00\x00",
	} {
		r := f.dial(t)
		if _, err := r.conn.Write([]byte(data)); err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(data, "\x00\x00\x00\x09") {
			r.expectEnd("28000")
			continue
		}
		r.expectEnd("08P01")
	}
	slow := f.dial(t)
	if _, err := slow.conn.Write([]byte("\x00\x00")); err != nil {
		t.Fatal(err)
	}
	if _, err := slow.Receive(); err == nil {
		t.Fatal("start-up without an end was not given up")
	}
	eventually(t, "no caller left", func() bool { return f.server.Callers() == 0 })
}

// TestEncryptionRefused guards against callers who hang because a request for encryption is not answered.
func TestEncryptionRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Settings{})
	r := f.dial(t)
	answer := make([]byte, 1)
	for _, m := range []pgproto3.FrontendMessage{&pgproto3.GSSEncRequest{}, &pgproto3.SSLRequest{}} {
		r.send(m)
		_, err := io.ReadFull(r.conn, answer)
		is.NoErr(err)
		is.Equal(answer[0], byte('N'))
	}
	r.send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion32,
		Parameters:      map[string]string{"user": "anyone", "database": "fixtures", "options": "-c timezone=UTC --lock_timeout=5s"},
	})
	r.expect("vRKZ")
	r.send(&pgproto3.Query{String: "SELECT 1"})
	r.expect("TDCZ")
	is.Equal(f.home.last().Parameters, map[string]string{"timezone": "UTC", "lock_timeout": "5s"})
}

// TestOversized guards against messages above the limit that are kept or whose sender is not told.
func TestOversized(t *testing.T) {
	f := newFixture(t, Settings{MaxMessageBytes: 1 << 20})
	r := f.dialOpen(t)
	r.send(&pgproto3.Query{String: "SELECT '" + strings.Repeat("x", 1<<20-100) + "'"})
	r.expect("TDCZ")
	go func() {
		message := make([]byte, 4<<20)
		copy(message, []byte{'Q', 0, 0x40, 0, 0})
		_, _ = r.conn.Write(message)
	}()
	r.expectEnd("54000")
	eventually(t, "no caller left", func() bool { return f.server.Callers() == 0 })
}

// TestProtocolErrors guards against messages that the session does not understand.
func TestProtocolErrors(t *testing.T) {
	f := newFixture(t, Settings{})
	for _, data := range []string{
		"!\x00\x00\x00\x04", "Q\x00\x00\x00\x05x", "B\x00\x00\x00\x05x", "Q\x00\x00\x00\x02", "P\x00\x00\x00\x06\x00\x00",
		"D\x00\x00\x00\x06Zx", "C\x00\x00\x00\x05S", "p\x00\x00\x00\x04",
	} {
		r := f.dialOpen(t)
		if _, err := r.conn.Write([]byte(data)); err != nil {
			t.Fatal(err)
		}
		r.expectEnd("08P01")
	}
	r := f.dialOpen(t)
	r.send(&pgproto3.FunctionCall{})
	r.expect("EZ")
	r.send(&pgproto3.CopyFail{}, &pgproto3.Query{String: "SELECT 1"})
	r.expect("TDCZ")
	r.send(&pgproto3.Query{String: " "})
	r.expect("IZ")
	r.send(&pgproto3.Terminate{})
	if _, err := r.Receive(); err == nil {
		t.Fatal("session goes on after Terminate")
	}
}

// TestExtended guards against prepared statements that are lost, kept after an error, or seen by the wrong name.
func TestExtended(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Settings{})
	r := f.dialOpen(t)
	parse := func(name, text string) *pgproto3.Parse { return &pgproto3.Parse{Name: name, Query: text} }
	bind := func(name string) *pgproto3.Bind { return &pgproto3.Bind{PreparedStatement: name} }
	closing := func(name string) *pgproto3.Close { return &pgproto3.Close{ObjectType: 'S', Name: name} }
	describe := &pgproto3.Describe{ObjectType: 'S', Name: "s"}
	execute, sync := &pgproto3.Execute{}, &pgproto3.Sync{}

	r.send(sync)
	r.expect("Z")
	r.send(parse("s", "SELECT 1"), describe, &pgproto3.Flush{})
	r.expect("1tT")
	r.send(bind("s"), execute, sync)
	r.expect("2DCZ")
	is.Equal(f.home.last().Prepared[0].Name, "s")
	r.send(parse("s", "SELECT 2"), sync)
	is.Equal(r.expectError("EZ"), "42P05")
	r.send(closing("s"), parse("s", "SELECT 2"), bind("s"), execute, sync)
	r.expect("312DCZ")
	is.Equal(len(f.home.last().Prepared), 0)
	r.send(closing("s"), sync)
	r.expect("3Z")
	r.send(bind("s"), execute, sync)
	is.Equal(r.expectError("EZ"), "26000")
	r.send(parse("f", "SELECT 'fail'"), bind("f"), execute, parse("g", "SELECT 1"), sync)
	r.expect("12EZ")
	r.send(parse("g", "SELECT 1"), sync)
	r.expect("1Z")
	r.send(bind("g"), execute, &pgproto3.Flush{}, sync)
	is.Equal(r.expectError("EZ"), "0A000")
	r.send(execute, sync)
	is.Equal(r.expectError("EZ"), "34000")
	r.send(bind("missing"), &pgproto3.Flush{})
	r.expect("E")
	r.send(execute, &pgproto3.Query{String: "SELECT 1"}, sync)
	r.expect("Z")
	r.send(parse("", "SELECT 1"), sync)
	r.expect("1Z")
	r.send(&pgproto3.Query{String: "SELECT 1"})
	r.expect("TDCZ")
	r.send(bind(""), sync)
	is.Equal(r.expectError("EZ"), "26000")
}

// expectError is expect for an error that is followed by ReadyForQuery; it returns the SQLSTATE.
func (r *rawClient) expectError(letters string) string {
	r.t.Helper()
	code := r.expect(letters[:len(letters)-1]).(*pgproto3.ErrorResponse).Code
	r.expect(letters[len(letters)-1:])
	return code
}

// TestWithdrawnKey guards against sessions that outlive their key, customer or route, idle or in a request.
func TestWithdrawnKey(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Settings{})
	running := make(chan struct{}, 1)
	cause := make(chan error, 1)
	f.home.hook = func(ctx context.Context, r *request.Request, _ request.Answer) (request.Result, bool) {
		if !bytes.Contains(r.Messages, []byte("WAIT")) {
			return request.Result{}, false
		}
		running <- struct{}{}
		<-ctx.Done()
		cause <- context.Cause(ctx)
		return request.Result{}, true
	}
	idle, inTransaction, busy, open := f.mustConnect(), f.mustConnect(), f.mustConnect(), f.dialOpen(t)
	exec(t, inTransaction, "BEGIN")
	done := make(chan error, 1)
	go func() {
		_, err := busy.Exec(context.Background(), "SELECT 'WAIT'")
		done <- err
	}()
	<-running
	withdrawn := *f.cluster
	withdrawn.Customers = append([]config.Customer(nil), f.cluster.Customers...)
	key := f.cluster.Customers[0].Keys[0]
	key.Withdrawn = true
	withdrawn.Customers[0].Keys = []config.Key{key}
	f.server.Apply(config.NewSnapshot(&withdrawn))
	is.True(<-cause != nil)
	err := <-done
	is.True(err != nil)
	for _, c := range []*pgx.Conn{idle, inTransaction} {
		eventually(t, "connection closed", func() bool {
			_, err := c.Exec(context.Background(), "SELECT 1")
			return err != nil && c.IsClosed()
		})
	}
	eventually(t, "transaction rolled back", func() bool { return f.home.endedCount() >= 1 })
	_, err = f.connect("kestrel.dispatch", f.secret, "orders")
	is.Equal(sqlState(t, err), "28P01")
	open.send(&pgproto3.Query{String: "SELECT 1"})
	open.expect("TDCZ")
	f.server.Apply(config.NewSnapshot(&config.Cluster{}))
	open.expectEnd("57P01")
	is.True(!strings.Contains(f.log.String(), f.secret))
}

// TestDrain guards against a planned stop that cuts a request or a transaction, or that leaves callers behind.
func TestDrain(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Settings{})
	running, finish := make(chan struct{}), make(chan struct{})
	f.home.hook = func(_ context.Context, r *request.Request, _ request.Answer) (request.Result, bool) {
		if bytes.Contains(r.Messages, []byte("WAIT")) {
			close(running)
			<-finish
		}
		return request.Result{}, false
	}
	idle, busy, inTransaction, abandoned := f.dialOpen(t), f.dialOpen(t), f.dialOpen(t), f.dialOpen(t)
	for _, r := range []*rawClient{inTransaction, abandoned} {
		r.send(&pgproto3.Query{String: "BEGIN"})
		r.expect("TDCZ")
	}
	busy.send(&pgproto3.Query{String: "SELECT 'WAIT'"})
	<-running
	ctx, cancel := context.WithCancel(context.Background())
	drained := make(chan error, 1)
	go func() { drained <- f.server.Drain(ctx) }()
	idle.expectEnd("57P01")
	close(finish)
	busy.expect("TDCZ")
	busy.expectEnd("57P01")
	inTransaction.send(&pgproto3.Query{String: "COMMIT"})
	inTransaction.expect("TDCZ")
	inTransaction.expectEnd("57P01")
	is.Equal(f.home.endedCount(), 0)
	cancel()
	abandoned.expectEnd("57P01")
	is.NoErr(<-drained)
	is.Equal(f.home.endedCount(), 1)
	_, err := net.Dial("tcp", f.address)
	is.True(err != nil)
}

// TestCancelRequest guards against cancel requests that reach no session, or one of another caller.
func TestCancelRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Settings{})
	c := f.mustConnect()
	ctx := context.Background()
	is.NoErr(c.PgConn().CancelRequest(ctx))
	session := <-f.home.cancelled
	is.True(strings.HasPrefix(string(session), "i1/"))
	is.Equal(uint16(c.PgConn().PID()>>16), instanceNumber("i1"))

	sender := make(recordingSender, 16)
	f.server.deps.Forwarder = &Forwarder{
		Self: "i1", Sender: sender,
		Instances: func() []instance.Info {
			return []instance.Info{{ID: "i1", PeerAddress: "self"}, {ID: "i2", PeerAddress: "other"}, {ID: "i3", PeerAddress: "x"}}
		},
	}
	r := f.dial(t)
	secret := binary.BigEndian.AppendUint32(nil, 7)
	r.send(&pgproto3.CancelRequest{ProcessID: uint32(instanceNumber("i2")) << 16, SecretKey: secret})
	_, err := r.Receive()
	is.True(err != nil)
	is.Equal(<-sender, "other")
	is.Equal(len(sender), 0)
	is.Equal(len(f.home.cancelled), 0)
}

type recordingSender chan string

func (s recordingSender) CancelSession(_ context.Context, address string, _, _ uint32) (bool, error) {
	s <- address
	return true, nil
}

// TestBrokenAnswer guards against an error that is sent inside an incomplete row: the row must be dropped or, if it was
// partly sent, the connection closed.
func TestBrokenAnswer(t *testing.T) {
	f := newFixture(t, Settings{})
	f.home.hook = func(_ context.Context, r *request.Request, a request.Answer) (request.Result, bool) {
		row := []byte{'D', 0, 1, 0, 0, 0, 1}
		if bytes.Contains(r.Messages, []byte("LARGE")) {
			row = append(row, make([]byte, 2*outputBufferBytes)...)
		}
		_, _ = a.Write(row)
		return request.Result{}, true
	}
	r := f.dialOpen(t)
	r.send(&pgproto3.Query{String: "SELECT 1"})
	if got := r.expectError("EZ"); got != "08007" {
		t.Fatal(got)
	}
	r.send(&pgproto3.Query{String: "SELECT 'LARGE'"})
	rest, err := io.ReadAll(r.conn)
	if err != nil || len(rest) != 2*outputBufferBytes+7 {
		t.Fatalf("got %d bytes, %v", len(rest), err)
	}
}

// TestEvict guards against callers that stay connected while the failure domain is taken out, against an aborted
// transaction, and against refusing callers after the domain is back in service.
func TestEvict(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Settings{})
	idle, inTransaction := f.dialOpen(t), f.dialOpen(t)
	inTransaction.send(&pgproto3.Query{String: "BEGIN"})
	inTransaction.expect("TDCZ")
	f.server.Evict(true)
	idle.expectEnd("57P01")
	inTransaction.send(&pgproto3.Query{String: "COMMIT"})
	inTransaction.expect("TDCZ")
	inTransaction.expectEnd("57P01")
	_, err := f.connect("", "", "open")
	is.Equal(sqlState(t, err), "57P03")
	f.server.Evict(false)
	back := f.dialOpen(t)
	back.send(&pgproto3.Query{String: "SELECT 1"})
	back.expect("TDCZ")
}
