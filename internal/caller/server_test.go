package caller

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/statement"
)

// byteCodec is a wire protocol of single bytes: every byte is a read, and each answer is the byte of its code.
type byteCodec struct{ c net.Conn }

func (k byteCodec) ReadStart() (Start, error) {
	_, err := io.ReadFull(k.c, make([]byte, 1))
	return Start{Database: "db", Key: "k"}, err
}

func (k byteCodec) Ready() error { return k.write(statement.CodeOK) }

func (k byteCodec) Reject(code statement.Code, _ string) error { return k.write(code) }

func (k byteCodec) Read() (statement.Statement, error) {
	_, err := io.ReadFull(k.c, make([]byte, 1))
	return statement.Statement{ID: "1", Kind: statement.KindRead}, err
}

func (k byteCodec) Write(_ string, r operation.Response) error { return k.write(r.Code) }

func (k byteCodec) write(code statement.Code) error {
	_, err := k.c.Write([]byte{byte(code)})
	return err
}

// blockingRunner blocks each request until release is closed.
type blockingRunner struct {
	scriptedRunner
	release chan struct{}
}

func (s *blockingRunner) Run(context.Context, *operation.Request) operation.Response {
	<-s.release
	return operation.Response{}
}

func startServer(t *testing.T, run operation.Runner) (*Server, string) {
	t.Helper()
	c := catalog.New(1, 1)
	c.Routes["db"] = &catalog.Route{Database: "db", Group: "g", Public: true}
	s := &Server{
		Instance: "i", Catalog: func() *catalog.Catalog { return c }, Runner: run,
		NewCodec: func(c net.Conn) Codec { return byteCodec{c} },
		Clock:    time.Now, Log: hclog.NewNullLogger(), Metrics: NewMetrics(prometheus.NewRegistry()),
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(context.Background(), l) })
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	return s, l.Addr().String()
}

// dial opens a connection and sends the start; code is the server's answer.
func dial(t *testing.T, address string) (c net.Conn, code statement.Code) {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c, send(t, c)
}

const testTimeout = 20 * time.Second

func send(t *testing.T, c net.Conn) statement.Code {
	t.Helper()
	b := []byte{1}
	if _, err := c.Write(b); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, b); err != nil {
		t.Fatal(err)
	}
	return statement.Code(b[0])
}

func TestDrainFinishesRunningStatementsAndClosesIdleSessions(t *testing.T) {
	is := is.New(t)
	run := &blockingRunner{release: make(chan struct{})}
	s, address := startServer(t, run)
	idle, code := dial(t, address)
	is.Equal(code, statement.CodeOK)
	busy, _ := dial(t, address)
	answered := make(chan statement.Code, 1)
	go func() { answered <- send(t, busy) }()
	drained := make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		s.Drain(ctx, ctx)
		close(drained)
	}()
	_, err := idle.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // closed with no data lost
	select {
	case <-drained:
		t.Fatal("drained although a statement runs")
	default:
	}
	close(run.release)
	is.Equal(<-answered, statement.CodeOK)
	<-drained
}

// Guards against closing a session that is opened during a drain before its first statement arrives.
func TestSessionOpenedDuringDrainIsServedOrRefused(t *testing.T) {
	is := is.New(t)
	run := &blockingRunner{release: make(chan struct{})}
	close(run.release)
	s, address := startServer(t, run)
	s.drainDeadline = time.Now().Add(testTimeout)
	s.draining.Store(true)
	c, code := dial(t, address)
	is.Equal(code, statement.CodeOK)
	time.Sleep(firstStatementTimeout / 5)
	is.Equal(send(t, c), statement.CodeOK)
	time.Sleep(drainIdleTimeout / 5)
	is.Equal(send(t, c), statement.CodeOK) // the next statement of the same operation
	_, err := c.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // closed once the operation is over

	s.draining.Store(false)
	s.drainDeadline = time.Now().Add(firstStatementTimeout / 2)
	s.draining.Store(true)
	_, code = dial(t, address)
	is.Equal(code, statement.CodeBusy) // refused immediately; nothing was run
}

// Guards against closing a session before the answer to a statement that is running at the soft deadline of a drain.
func TestDrainAnswersStatementRunningAtSoftDeadline(t *testing.T) {
	is := is.New(t)
	run := &blockingRunner{release: make(chan struct{})}
	s, address := startServer(t, run)
	busy, answered := startStatement(t, s, address)
	soft, stop := context.WithCancel(context.Background())
	stop()
	hard, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	drained := make(chan struct{})
	go func() {
		s.Drain(soft, hard)
		close(drained)
	}()
	time.Sleep(20 * time.Millisecond)
	close(run.release)
	is.Equal(<-answered, statement.CodeOK)
	_, err := busy.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	<-drained
}

// untilCancelled runs statements until they are cancelled.
type untilCancelled struct{ scriptedRunner }

func (*untilCancelled) Run(ctx context.Context, _ *operation.Request) operation.Response {
	<-ctx.Done()
	return operation.Refuse(statement.CodeTimeout, "cancelled", 0)
}

// Guards against a statement that was accepted during a shutdown and gets no answer because it runs until the hard deadline.
func TestDrainAnswersStatementsThatRunUntilTheHardDeadline(t *testing.T) {
	is := is.New(t)
	s, address := startServer(t, &untilCancelled{})
	busy, answered := startStatement(t, s, address)
	soft, stop := context.WithCancel(context.Background())
	stop()
	hard, cancel := context.WithTimeout(context.Background(), 2*drainAnswerTime)
	defer cancel()
	s.Drain(soft, hard)
	is.Equal(<-answered, statement.CodeTimeout)
	_, err := busy.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// startStatement opens a session and sends a statement. It returns once the statement runs; the channel receives its result.
func startStatement(t *testing.T, s *Server, address string) (net.Conn, <-chan statement.Code) {
	t.Helper()
	c, _ := dial(t, address)
	answered := make(chan statement.Code, 1)
	go func() { answered <- send(t, c) }()
	for end := time.Now().Add(testTimeout); !s.anyBusy(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the statement does not run")
		}
	}
	return c, answered
}

func (s *Server) anyBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.conns {
		if a.busy {
			return true
		}
	}
	return false
}

// Guards against reporting a database as unknown before a new process has its first configuration.
func TestSessionWaitsForFirstCatalog(t *testing.T) {
	is := is.New(t)
	var known atomic.Pointer[catalog.Catalog]
	known.Store(catalog.New(0, 0))
	s, address := startServer(t, &blockingRunner{})
	s.Catalog = known.Load
	_, code := dial(t, address)
	is.Equal(code, statement.CodeBusy) // no configuration in time: the database is not reported as unknown

	go func() {
		c := catalog.New(1, 1)
		c.Routes["db"] = &catalog.Route{Database: "db", Group: "g", Public: true}
		time.Sleep(5 * catalogPollInterval)
		known.Store(c)
	}()
	_, code = dial(t, address)
	is.Equal(code, statement.CodeOK)
}

// panickingRunner panics on the first request and answers the others.
type panickingRunner struct {
	scriptedRunner
	panicked atomic.Bool
}

func (s *panickingRunner) Run(context.Context, *operation.Request) operation.Response {
	if !s.panicked.Swap(true) {
		panic("unexpected")
	}
	return operation.Response{}
}

// TestAPanicEndsOneSessionOnly guards against a fault of one request that ends the sessions of all callers.
func TestAPanicEndsOneSessionOnly(t *testing.T) {
	is := is.New(t)
	s, address := startServer(t, &panickingRunner{})
	other, code := dial(t, address)
	is.Equal(code, statement.CodeOK)
	c, code := dial(t, address)
	is.Equal(code, statement.CodeOK)
	_, err := c.Write([]byte{1})
	is.NoErr(err)
	_, err = io.ReadFull(c, make([]byte, 1))
	is.True(err != nil) // closed without an answer
	_, err = other.Write([]byte{1})
	is.NoErr(err)
	_, err = io.ReadFull(other, make([]byte, 1))
	is.NoErr(err)
	for s.Sessions() > 1 {
		time.Sleep(time.Millisecond)
	}
}
