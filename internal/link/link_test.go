package link

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/celerystep/celerystep/internal/certs"
	"github.com/celerystep/celerystep/internal/certs/certstest"
	"github.com/celerystep/celerystep/internal/peer"
	"github.com/celerystep/celerystep/internal/request"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds the waits of a test; it never decides a result.
const testTimeout = 30 * time.Second

// slowOptions keep links open on a busy machine.
var slowOptions = Options{Timing: peer.Timing{Heartbeat: 20 * time.Millisecond, Silence: testTimeout, SlowReader: testTimeout}}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !f() {
		if time.Now().After(deadline) {
			t.Fatal("not reached: " + what)
		}
		time.Sleep(time.Millisecond)
	}
}

func status(s byte) request.Result { return request.Result{Outcome: request.OutcomeDone, TxStatus: s} }

// TestFieldsRoundTrip guards against fields of requests and results that are lost between instances.
func TestFieldsRoundTrip(t *testing.T) {
	is := is.New(t)
	sent := newRequest("s1")
	sent.ConfigVersion, sent.Idempotent, sent.Begins, sent.HasFloor, sent.FloorFromToken = 7, true, true, true, true
	sent.InTransaction = true
	sent.Floor.Term, sent.Floor.LSN, sent.MaxAge = 3, 99, 2500*time.Millisecond
	sent.Prepared = []request.Prepared{{Name: "p", Query: "SELECT $1", ParamOIDs: []uint32{23}}}
	sent.Parameters = map[string]string{"timezone": "UTC"}
	want := request.Result{
		Outcome: request.OutcomeNotRun, TxStatus: 'E', Floor: sent.Floor, HasFloor: true, Member: "m1", Replica: true,
		Code: "53400", Message: "not run", Step: "admit", Peer: "home", Home: "other",
	}
	var got *request.Request
	f := &fakeRunner{hook: func(_ context.Context, r *request.Request, _ request.Answer) request.Result {
		got = r
		return want
	}}
	c := newTestClient(t, f, slowOptions)
	is.Equal(c.Run(context.Background(), sent, discard{}), want)
	is.Equal(got, sent)
}

// TestLargeAnswer guards against answers that are cut, reordered, or delayed by a slow caller of another session.
func TestLargeAnswer(t *testing.T) {
	is := is.New(t)
	want := bytes.Repeat([]byte("0123456789abcdef"), 1<<18)
	f := &fakeRunner{hook: func(_ context.Context, r *request.Request, a request.Answer) request.Result {
		if r.Session == "small" {
			return status('I')
		}
		for p := want; len(p) > 0; p = p[min(len(p), 100_000):] {
			if _, err := a.Write(p[:min(len(p), 100_000)]); err != nil {
				return request.Result{}
			}
		}
		return status('I')
	}}
	o := slowOptions
	o.Streams = 1
	c := newTestClient(t, f, o)
	near, far := net.Pipe()
	done := make(chan request.Result)
	go func() { done <- c.Run(context.Background(), newRequest("large"), near) }()
	_, err := io.ReadFull(far, make([]byte, 1))
	is.NoErr(err)
	is.Equal(c.Run(context.Background(), newRequest("small"), discard{}), status('I'))
	got := make([]byte, len(want)-1)
	_, err = io.ReadFull(far, got)
	is.NoErr(err)
	is.Equal(<-done, status('I'))
	is.True(bytes.Equal(got, want[1:]))
}

// TestSlowReader guards against a caller that reads nothing and occupies one of a group's connections indefinitely.
func TestSlowReader(t *testing.T) {
	is := is.New(t)
	o := slowOptions
	o.Timing.SlowReader = 50 * time.Millisecond
	cut := make(chan struct{})
	c := newTestClient(t, &fakeRunner{hook: func(_ context.Context, _ *request.Request, a request.Answer) request.Result {
		for {
			if _, err := a.Write(make([]byte, 1<<16)); err != nil {
				close(cut)
				return request.Result{Outcome: request.OutcomeDone}
			}
		}
	}}, o)
	near, far := net.Pipe()
	done := make(chan request.Result)
	go func() { done <- c.Run(context.Background(), newRequest("s"), near) }()
	_, err := io.ReadFull(far, make([]byte, 1))
	is.NoErr(err)
	<-cut
	go func() { _, _ = io.Copy(io.Discard, far) }()
	result := <-done
	is.Equal(result.Outcome, request.OutcomeUnknown)
	is.Equal(result.Code, codeQueryCanceled)
	is.NoErr(near.Close())
}

// TestTooLarge guards against a request that ends the stream of other sessions because it does not fit in a frame.
func TestTooLarge(t *testing.T) {
	is := is.New(t)
	c := newTestClient(t, &fakeRunner{}, slowOptions)
	r := newRequest("s")
	r.Messages = make([]byte, 16<<20)
	is.Equal(c.Run(context.Background(), r, discard{}), status('I'))
	r.Prepared = []request.Prepared{{Query: string(make([]byte, 32<<20))}}
	result := c.Run(context.Background(), r, discard{})
	is.Equal(result.Outcome, request.OutcomeNotRun)
	is.Equal(result.Code, codeLimitExceeded)
}

// TestNotRunWithoutPeer guards against reporting a request that was never sent as one that may have run.
func TestNotRunWithoutPeer(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ln.Close())
	c := NewClient("gone", ln.Addr().String(), slowOptions)
	defer c.Close()
	result := c.Run(context.Background(), newRequest("s"), discard{})
	is.Equal(result.Outcome, request.OutcomeNotRun)
	is.Equal(result.Code, codeUnavailable)
	is.Equal(result.Peer, "gone")
}

// TestLinkFailure guards against wrong outcomes and unreported transaction losses when the link ends during a request.
func TestLinkFailure(t *testing.T) {
	is := is.New(t)
	running := make(chan struct{})
	f := &fakeRunner{hook: func(ctx context.Context, r *request.Request, _ request.Answer) request.Result {
		if r.Begins {
			return status('T')
		}
		close(running)
		<-ctx.Done()
		return request.Result{}
	}}
	s := newTestServer(t, f, slowOptions.Timing)
	o := slowOptions
	o.Streams = 1
	c := NewClient("home", s.address, o)
	defer c.Close()
	begin := newRequest("transaction")
	begin.Begins = true
	is.Equal(c.Run(context.Background(), begin, discard{}), status('T'))
	done := make(chan request.Result)
	go func() { done <- c.Run(context.Background(), newRequest("running"), discard{}) }()
	<-running
	is.NoErr(s.server.Close())
	result := <-done
	is.Equal(result.Outcome, request.OutcomeUnknown)
	is.Equal(result.Code, codeReadFailed)
	result = c.Run(context.Background(), newRequest("transaction"), discard{})
	is.Equal(result.Outcome, request.OutcomeNotRun)
	is.Equal(result.Code, codeRolledBack)
	eventually(t, "transaction rolled back", func() bool {
		ended := f.endedSessions()
		return len(ended) == 1 && ended[0] == "transaction"
	})
}

// TestAbortedRequestIsCanceled guards against a request that continues after its caller has disconnected, and against a
// session that stays open.
func TestAbortedRequestIsCanceled(t *testing.T) {
	is := is.New(t)
	aborted := make(chan error, 1)
	f := &fakeRunner{cancelled: make(chan request.SessionID, 1)}
	f.hook = func(ctx context.Context, _ *request.Request, _ request.Answer) request.Result {
		f.cancelled <- "started"
		<-ctx.Done()
		aborted <- context.Cause(ctx)
		return request.Result{}
	}
	c := newTestClient(t, f, slowOptions)
	ctx, cancel := context.WithCancelCause(context.Background())
	done := make(chan request.Result)
	r := newRequest("s")
	r.Begins = true
	go func() { done <- c.Run(ctx, r, discard{}) }()
	<-f.cancelled
	c.Cancel(context.Background(), "g1", "s")
	is.Equal(<-f.cancelled, request.SessionID("s"))
	cancel(errors.New("caller has gone"))
	is.Equal((<-done).Outcome, request.OutcomeUnknown)
	is.True(<-aborted != nil)
	c.End(context.Background(), "g1", "s")
	eventually(t, "session ended", func() bool { return len(f.endedSessions()) == 1 })
}

// TestDrain guards against requests and transactions that a planned shutdown cuts, and against new ones that it
// accepts.
func TestDrain(t *testing.T) {
	is := is.New(t)
	f := &fakeRunner{hook: func(_ context.Context, r *request.Request, _ request.Answer) request.Result {
		if r.Begins {
			return status('T')
		}
		return status('I')
	}}
	s := newTestServer(t, f, slowOptions.Timing)
	o := slowOptions
	o.Streams = 1
	c := NewClient("home", s.address, o)
	defer c.Close()
	begin := newRequest("s")
	begin.Begins = true
	is.Equal(c.Run(context.Background(), begin, discard{}), status('T'))
	drained := make(chan error, 1)
	go func() { drained <- s.handler.Drain(context.Background()) }()
	eventually(t, "new sessions refused", func() bool {
		result := c.Run(context.Background(), newRequest("other"), discard{})
		return result.Outcome == request.OutcomeNotRun
	})
	is.Equal(c.Run(context.Background(), newRequest("s"), discard{}), status('I'))
	is.NoErr(<-drained)
	is.Equal(len(f.endedSessions()), 0)
}

// TestSilentLink guards against the continued use of a connection that became unresponsive without an error.
func TestSilentLink(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{}, 1)
	f := &fakeRunner{hook: func(ctx context.Context, r *request.Request, _ request.Answer) request.Result {
		if r.Session == "stuck" {
			entered <- struct{}{}
			<-ctx.Done()
		}
		return status('I')
	}}
	timing := peer.Timing{Heartbeat: 20 * time.Millisecond, Silence: 300 * time.Millisecond, SlowReader: testTimeout}
	s := newTestServer(t, f, timing)
	hole := newSilentProxy(t, s.address)
	o := Options{Streams: 1, Timing: timing}
	c := NewClient("home", hole.address, o)
	defer c.Close()
	done := make(chan request.Result)
	go func() { done <- c.Run(context.Background(), newRequest("stuck"), discard{}) }()
	<-entered
	hole.dropTraffic()
	is.Equal((<-done).Outcome, request.OutcomeUnknown)
	eventually(t, "requests run over a new connection", func() bool {
		return c.Run(context.Background(), newRequest("next"), discard{}).Outcome == request.OutcomeDone
	})
}

// TestIdleStream guards against unused streams that stay open.
func TestIdleStream(t *testing.T) {
	is := is.New(t)
	o := slowOptions
	o.Idle = time.Millisecond
	o.Streams = 1
	c := newTestClient(t, &fakeRunner{}, o)
	for range 3 {
		is.Equal(c.Run(context.Background(), newRequest("s"), discard{}), status('I'))
		eventually(t, "stream closed", func() bool {
			s := c.slots[0]
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.current == nil && len(s.draining) == 0
		})
	}
}

// TestMutualTLS guards against links without a certificate of the fleet on both sides.
func TestMutualTLS(t *testing.T) {
	is := is.New(t)
	authority := certstest.New(t)
	server := loadStore(t, authority, certs.PeerName)
	h := peer.NewHandler(peer.Services{Runner: &fakeRunner{}}, slowOptions.Timing)
	address := serve(t, h, server).address
	run := func(store *certs.Store) request.Outcome {
		o := slowOptions
		o.Store = store
		c := NewClient("home", address, o)
		defer c.Close()
		return c.Run(context.Background(), newRequest("s"), discard{}).Outcome
	}
	is.Equal(run(loadStore(t, authority, certs.PeerName)), request.OutcomeDone)
	is.Equal(run(loadStore(t, authority, "caller")), request.OutcomeNotRun)
	is.Equal(run(loadStore(t, certstest.New(t), certs.PeerName)), request.OutcomeNotRun)
	is.Equal(run(nil), request.OutcomeNotRun)
}
