package link

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/certs"
	"github.com/celerystep/celerystep/internal/certs/certstest"
	"github.com/celerystep/celerystep/internal/peer"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

// fakeRunner answers each request with its own messages, or calls hook if it is set.
type fakeRunner struct {
	hook  func(ctx context.Context, r *request.Request, a request.Answer) request.Result
	mu    sync.Mutex
	ended []request.SessionID
	// cancelled receives the sessions for which Cancel was called.
	cancelled chan request.SessionID
}

func (f *fakeRunner) Run(ctx context.Context, r *request.Request, a request.Answer) request.Result {
	if f.hook != nil {
		return f.hook(ctx, r, a)
	}
	_, _ = a.Write(r.Messages)
	return request.Result{Outcome: request.OutcomeDone, TxStatus: 'I'}
}

func (f *fakeRunner) End(_ context.Context, _ upstream.GroupID, s request.SessionID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = append(f.ended, s)
}

func (f *fakeRunner) Cancel(_ context.Context, _ upstream.GroupID, s request.SessionID) {
	f.cancelled <- s
}

func (f *fakeRunner) endedSessions() []request.SessionID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]request.SessionID(nil), f.ended...)
}

// testServer is a peer service on loopback.
type testServer struct {
	handler *peer.Handler
	server  *http.Server
	address string
}

func newTestServer(t testing.TB, r request.Runner, timing peer.Timing) *testServer {
	t.Helper()
	return serve(t, peer.NewHandler(peer.Services{Runner: r}, timing), nil)
}

func serve(t testing.TB, h *peer.Handler, store *certs.Store) *testServer {
	t.Helper()
	mux := http.NewServeMux()
	h.Mount(mux)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{handler: h, server: peer.NewServer(mux, store, hclog.NewNullLogger()), address: ln.Addr().String()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if store == nil {
			_ = s.server.Serve(ln)
			return
		}
		_ = s.server.ServeTLS(ln, "", "")
	}()
	t.Cleanup(func() {
		_ = s.server.Close()
		<-done
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = h.Drain(ctx)
	})
	return s
}

func newTestClient(t testing.TB, r request.Runner, o Options) *Client {
	t.Helper()
	timing := o.withDefaults().Timing
	c := NewClient("home", newTestServer(t, r, timing).address, o)
	t.Cleanup(c.Close)
	return c
}

func newRequest(session request.SessionID) *request.Request {
	return &request.Request{
		Session:  session,
		Trace:    "0123456789abcdef",
		Customer: "kestrel",
		Key:      "dispatch",
		Route:    "orders",
		Group:    "g1",
		Kind:     request.KindRead,
		Timeout:  5e9,
		Messages: []byte("Q\x00\x00\x00\x1eSELECT id FROM t WHERE a=1\x00"),
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

type counter struct{ n atomic.Int64 }

func (c *counter) next() int { return int(c.n.Add(1)) }

// silentProxy forwards TCP connections until dropTraffic makes it discard what the open ones carry. Later connections
// work.
type silentProxy struct {
	address string
	mu      sync.Mutex
	silent  []*atomic.Bool
}

func newSilentProxy(t *testing.T, target string) *silentProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &silentProxy{address: ln.Addr().String()}
	var work sync.WaitGroup
	work.Go(func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			silent := new(atomic.Bool)
			h.mu.Lock()
			h.silent = append(h.silent, silent)
			h.mu.Unlock()
			work.Go(func() { forward(near, far, silent) })
			work.Go(func() { forward(far, near, silent) })
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		work.Wait()
	})
	return h
}

func forward(from, to net.Conn, silent *atomic.Bool) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if silent.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (h *silentProxy) dropTraffic() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.silent {
		s.Store(true)
	}
}

func loadStore(t *testing.T, a *certstest.Authority, name string) *certs.Store {
	t.Helper()
	dir := t.TempDir()
	f := certs.Files{Certificate: dir + "/cert", Key: dir + "/key", Roots: dir + "/roots"}
	certificate, key, roots := a.Issue(t, name)
	for file, pem := range map[string][]byte{f.Certificate: certificate, f.Key: key, f.Roots: roots} {
		if err := os.WriteFile(file, pem, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s, err := certs.Load(f)
	if err != nil {
		t.Fatal(err)
	}
	return s
}
