package local

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/celerystep/celerystep/internal/ctl"
	"github.com/celerystep/celerystep/internal/load"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds a test with real sockets.
const testTimeout = 90 * time.Second

// sslRequest is the code of the packet that asks for TLS.
const sslRequest = 80877103

// logBuffer collects log lines of several goroutines.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// world is a running system with its log.
type world struct {
	*System
	t   *testing.T
	ctx context.Context
	log logBuffer
	key load.Credential
}

func start(t *testing.T) *world {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	w := &world{t: t, ctx: ctx}
	log := hclog.New(&hclog.LoggerOptions{Level: hclog.Trace, Output: &w.log})
	s, err := Start(ctx, Options{Example: ExampleKestrel, Logger: log, Capture: true})
	if err != nil {
		t.Fatal(err)
	}
	w.System = s
	t.Cleanup(func() {
		if err := s.Close(context.WithoutCancel(ctx)); err != nil {
			t.Error(err)
		}
	})
	w.key = w.credential(s.Customer())
	return w
}

func (w *world) credential(customer string) load.Credential {
	c, err := w.Fleet().Credential(customer)
	if err != nil {
		w.t.Fatal(err)
	}
	return c
}

func (w *world) connect(i int) *pgx.Conn {
	w.t.Helper()
	c, err := pgx.Connect(w.ctx, w.URL(i, w.key, w.Database()))
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = c.Close(context.WithoutCancel(w.ctx)) })
	return c
}

// Guards against a local fleet that serves only the protocol of the load tool.
func TestCallers(t *testing.T) {
	is := is.New(t)
	w := start(t)
	a, b := w.connect(0), w.connect(1)
	_, err := a.Exec(w.ctx, "CREATE TABLE orders (id int PRIMARY KEY, n int)")
	is.NoErr(err)
	_, err = a.Exec(w.ctx, "INSERT INTO orders VALUES (1, 10)", pgx.QueryExecModeSimpleProtocol)
	is.NoErr(err)
	is.Equal(w.read(w.connect(1), 1), 10) // simple write, extended read elsewhere

	tx, err := a.Begin(w.ctx)
	is.NoErr(err)
	_, err = tx.Exec(w.ctx, "INSERT INTO orders VALUES ($1, $2)", 2, 20)
	is.NoErr(err)
	_, err = tx.Exec(w.ctx, "UPDATE orders SET n = n + 1 WHERE id = $1", 2)
	is.NoErr(err)
	is.NoErr(tx.Commit(w.ctx))
	is.Equal(w.read(w.connect(2), 2), 21)

	_, err = b.Prepare(w.ctx, "find", "SELECT n FROM orders WHERE id = $1")
	is.NoErr(err)
	for range 5 { // the connection goes back to the pool after each statement, and others use it in between
		var n int
		is.NoErr(b.QueryRow(w.ctx, "find", 1).Scan(&n))
		is.Equal(n, 10)
		is.Equal(w.read(a, 2), 21)
	}
	w.demand("operators see all instances", w.operate("status"), "i1-1", "i2-2", "i3-3")
}

func (w *world) read(c *pgx.Conn, id int) int {
	w.t.Helper()
	var n int
	if err := c.QueryRow(w.ctx, "SELECT n FROM orders WHERE id = $1", id).Scan(&n); err != nil {
		w.t.Fatal(err)
	}
	return n
}

// Guards against a cancel request that is lost when it reaches an instance that does not serve the caller.
func TestCancelThroughAnotherInstance(t *testing.T) {
	is := is.New(t)
	w := start(t)
	c := w.connect(0).PgConn()
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(w.ctx, "SELECT pg_sleep(60)").ReadAll()
		done <- err
	}()
	var err error
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for running := true; running; { // a cancel that comes before the statement runs has no effect
		w.cancel(1, c.PID(), c.SecretKey())
		select {
		case err = <-done:
			running = false
		case <-ticker.C:
		}
	}
	var refused *pgconn.PgError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, "57014")
}

func (w *world) cancel(i int, pid uint32, secret []byte) {
	conn := w.dialTLS(i)
	defer conn.Close()
	packet, err := (&pgproto3.CancelRequest{ProcessID: pid, SecretKey: secret}).Encode(nil)
	if err == nil {
		_, err = conn.Write(packet)
	}
	if err != nil {
		w.t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, conn)
}

// dialTLS connects to an instance up to the end of the TLS handshake.
func (w *world) dialTLS(i int) net.Conn {
	w.t.Helper()
	conn, err := net.Dial("tcp", w.Fleet().CallerAddresses()[i])
	if err != nil {
		w.t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	ask := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 8), sslRequest)
	answer := make([]byte, 1)
	if _, err = conn.Write(ask); err == nil {
		_, err = io.ReadFull(conn, answer)
	}
	if err != nil || answer[0] != 'S' {
		w.t.Fatal("no TLS: ", string(answer), err)
	}
	// The test of the chain is that of pgx with sslrootcert.
	return tls.Client(conn, &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13})
}

// Guards against a key that leaves the entry instance.
func TestKeyStaysAtTheEntry(t *testing.T) {
	is := is.New(t)
	w := start(t)
	wrong := load.Credential{User: w.key.User, Password: "csk_wrong-key-that-must-not-appear"}
	for i := range instances {
		c := w.connect(i)
		_, err := c.Exec(w.ctx, "SELECT 1")
		is.NoErr(err)
		_, err = pgx.Connect(w.ctx, w.URL(i, wrong, w.Database()))
		is.True(err != nil)
	}
	places := map[string]string{"log": w.log.String(), "audit": w.operate("audit", "-o", "json")}
	for _, g := range w.topology.Groups {
		places["group "+string(g.ID)] = string(w.Fleet().Group(g.ID).Captured())
	}
	for _, address := range w.Fleet().HTTPAddresses() {
		places["metrics "+address] = w.metrics(address)
	}
	is.Equal(len(places), 2+len(w.topology.Groups)+instances)
	for place, text := range places {
		if len(text) < 100 {
			t.Errorf("%s: only %d bytes were searched", place, len(text))
		}
		for _, secret := range []string{w.key.Password, strings.TrimPrefix(w.key.Password, "csk_"), wrong.Password} {
			if strings.Contains(text, secret) {
				t.Errorf("%s contains a key", place)
			}
		}
	}
}

func (w *world) metrics(address string) string {
	w.t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	r, err := (&http.Client{Transport: transport}).Get("http://" + address + "/metrics")
	if err != nil {
		w.t.Fatal(err)
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		w.t.Fatal(err)
	}
	return string(text)
}

// operate runs celerystepctl and returns what it printed. A warning means that an instance did not answer.
func (w *world) operate(args ...string) string {
	w.t.Helper()
	var out, fail bytes.Buffer
	code := ctl.Run(w.ctx, ctl.Environment{
		Out: &out, Err: &fail, Getenv: func(string) string { return "" }, Now: time.Now,
		NewOperationID: ctl.NewOperationID, IssueKey: ctl.IssueKey, Connect: ctl.Connect,
	}, append([]string{"--platform", w.Fleet().Platform().Addr(), "--operator", "test"}, args...))
	if code != ctl.ExitOK || fail.Len() > 0 {
		w.t.Fatalf("celerystepctl %v: exit code %d: %s", args, code, fail.String())
	}
	return out.String()
}

func (w *world) demand(what, text string, parts ...string) {
	w.t.Helper()
	for _, p := range parts {
		if !strings.Contains(text, p) {
			w.t.Errorf("%s: %q is missing in %s", what, p, text)
		}
	}
}
