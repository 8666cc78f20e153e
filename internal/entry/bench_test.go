package entry

import (
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/certs"
	"github.com/celerystep/celerystep/internal/certs/certstest"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/link"
	"github.com/celerystep/celerystep/internal/peer"
	"github.com/celerystep/celerystep/internal/pgwire"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

// rowAnswer is the answer to every statement of the benchmarks: one row of four columns.
var rowAnswer = func() []byte {
	fields := make([]pgproto3.FieldDescription, 4)
	for i := range fields {
		fields[i] = pgproto3.FieldDescription{Name: []byte("column"), DataTypeOID: textOID, DataTypeSize: -1}
	}
	row := [][]byte{[]byte("4711"), []byte("meter"), []byte("12.5"), []byte("2026-01-01 00:00:00")}
	out := pgwire.Append(nil, &pgproto3.RowDescription{Fields: fields})
	out = pgwire.Append(out, &pgproto3.DataRow{Values: row})
	return pgwire.AppendComplete(out, "SELECT 1")
}()

// instantHome answers at once.
type instantHome struct{}

func (instantHome) Run(_ context.Context, _ *request.Request, a request.Answer) request.Result {
	_, _ = a.Write(rowAnswer)
	return request.Result{Outcome: request.OutcomeDone, TxStatus: txIdle}
}
func (instantHome) End(context.Context, upstream.GroupID, request.SessionID)    {}
func (instantHome) Cancel(context.Context, upstream.GroupID, request.SessionID) {}

var benchQuery = &pgproto3.Query{String: "SELECT id, name, kw, ts FROM meter WHERE id = 4711 AND site IN (1, 2, 3)"}

// measureExchanges reports the median and the 99th percentile of exchanges with the server at the address.
func measureExchanges(b *testing.B, address string, startup bool) {
	c := dialRaw(b, address)
	defer func() { _ = syscall.Close(int(c)) }()
	if startup {
		c.exchange(b, &pgproto3.StartupMessage{
			ProtocolVersion: pgproto3.ProtocolVersion30,
			Parameters:      map[string]string{"user": "anyone", "database": "fixtures"},
		})
	}
	for range 1000 {
		c.exchange(b, benchQuery)
	}
	times := make([]time.Duration, 0, 1<<20)
	b.ReportAllocs()
	for b.Loop() {
		start := time.Now()
		c.exchange(b, benchQuery)
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Nanoseconds())/1e3, "µs-median")
	b.ReportMetric(float64(times[len(times)*99/100].Nanoseconds())/1e3, "µs-p99")
}

// BenchmarkExchange measures one statement of one caller. "direct" is a server that answers without any work, so the
// time that the proxy adds is the difference of the medians.
func BenchmarkExchange(b *testing.B) {
	b.Run("direct", func(b *testing.B) { measureExchanges(b, directServer(b), false) })
	b.Run("in-process", func(b *testing.B) {
		n := &fakeNetwork{home: "i1"}
		measureExchanges(b, benchServer(b, NewDispatcher("i1", instantHome{}, n, n, nil, nil)), true)
	})
	for name, store := range map[string]*certs.Store{"one-hop": nil, "one-hop-tls": peerStore(b)} {
		b.Run(name, func(b *testing.B) {
			_, n := peerServer(b, instantHome{}, store)
			links := link.NewPool(link.Options{Store: store})
			b.Cleanup(links.Close)
			measureExchanges(b, benchServer(b, NewDispatcher("i1", instantHome{}, links, n, nil, nil)), true)
		})
	}
}

// remoteHome is the same instance for every group.
type remoteHome struct {
	mu   sync.Mutex
	info instance.Info
}

func (h *remoteHome) Home(upstream.GroupID) (instance.ID, bool) { return "i2", true }

func (h *remoteHome) Address(instance.ID) (instance.Info, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.info, true
}

func (h *remoteHome) move(to instance.Info) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.info = to
}

func benchServer(b *testing.B, r request.Runner) string {
	f := newFixture(b, Settings{})
	s := NewServer(Settings{Instance: "i1"}, Dependencies{Runner: r, Classifier: classifier})
	s.Apply(config.NewSnapshot(f.cluster))
	f.server = s
	return f.serve()
}

// peerServer serves the runner to peers, as the instance i2 that is the home of every group.
func peerServer(t testing.TB, r request.Runner, store *certs.Store) (*http.Server, *remoteHome) {
	t.Helper()
	h := peer.NewHandler(peer.Services{Runner: r}, peer.DefaultTiming())
	mux := http.NewServeMux()
	h.Mount(mux)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := peer.NewServer(mux, store, hclog.NewNullLogger())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if store == nil {
			_ = s.Serve(ln)
			return
		}
		_ = s.ServeTLS(ln, "", "")
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	return s, &remoteHome{info: instance.Info{ID: "i2", PeerAddress: ln.Addr().String()}}
}

func peerStore(t testing.TB) *certs.Store {
	t.Helper()
	dir := t.TempDir()
	f := certs.Files{Certificate: dir + "/cert", Key: dir + "/key", Roots: dir + "/roots"}
	certificate, key, roots := certstest.New(t).Issue(t, certs.PeerName)
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

// directServer answers each exchange with the row, without looking at it.
func directServer(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = ln.Close() })
	answer := pgwire.AppendReady(slices.Clone(rowAnswer), txIdle)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 4096)
		for {
			if _, err := conn.Read(buf); err != nil {
				return
			}
			if _, err := conn.Write(answer); err != nil {
				return
			}
		}
	}()
	return ln.Addr().String()
}
