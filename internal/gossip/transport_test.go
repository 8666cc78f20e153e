package gossip

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/gen/celerystep/peer/v1/peerv1connect"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/membership"
)

// Guards against a byte budget that is charged a size other than the encoded one, and against fields lost in
// conversion.
func TestEncodingKeepsMessageAndSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.OneOf(rapid.Uint64Range(0, 300), rapid.Uint64())
		text := rapid.StringN(1, 20, -1)
		m := &membership.Message{From: instance.ID(text.Draw(t, "from"))}
		for range rapid.IntRange(0, 3).Draw(t, "members") {
			r := membership.Member{
				ID:          instance.ID(text.Draw(t, "id")),
				State:       instance.State(rapid.IntRange(0, 3).Draw(t, "state")),
				Incarnation: number.Draw(t, "incarnation") + 1,
			}
			if rapid.Bool().Draw(t, "info") {
				r.InfoIncarnation = rapid.SampledFrom([]uint64{1, r.Incarnation}).Draw(t, "info incarnation")
				r.Info = instance.Info{ID: r.ID, PeerAddress: text.Draw(t, "address"), FailureDomain: "d"}
			}
			m.Members = append(m.Members, r)
		}
		for range rapid.IntRange(0, 3).Draw(t, "homes") {
			m.Homes = append(m.Homes, membership.Home{
				Group: "g", Owner: "o", Generation: number.Draw(t, "generation"), Released: rapid.Bool().Draw(t, "released"),
			})
			m.Revocations = append(m.Revocations, membership.Revocation{
				KeyRef: membership.KeyRef{Customer: text.Draw(t, "customer"), Key: "k"}, UnixMilli: 7,
			})
		}
		if rapid.Bool().Draw(t, "digest") {
			m.Digest = &membership.Digest{
				Root:    number.Draw(t, "root"),
				Buckets: rapid.SliceOfN(number, 1, 3).Draw(t, "buckets"),
				Wanted:  rapid.SliceOfN(rapid.Uint32(), 1, 3).Draw(t, "wanted"),
				Joined:  rapid.Bool().Draw(t, "joined"),
				Recent:  rapid.SliceOf(rapid.Byte()).Draw(t, "recent"),
				Salt:    rapid.Uint32().Draw(t, "salt"),
			}
			m.Config = membership.ConfigVersion{Version: number.Draw(t, "version") + 1, OperationID: "o", Root: "r"}
		}
		p := toProto(m)
		if proto.Size(p) != m.Size() {
			t.Fatalf("size is %d, encoded %d", m.Size(), proto.Size(p))
		}
		if again := toProto(fromProto(p)); !proto.Equal(p, again) {
			t.Fatalf("got %v, want %v", again, p)
		}
	})
}

// echoPeer answers probes without updates.
type echoPeer struct {
	peerv1connect.UnimplementedPeerServiceHandler
}

func (echoPeer) Probe(
	context.Context, *connect.Request[peerv1.ProbeRequest],
) (*connect.Response[peerv1.ProbeResponse], error) {
	return connect.NewResponse(&peerv1.ProbeResponse{Reached: true}), nil
}

// countingListener counts the bytes of all connections in both directions, including TLS records.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// startPeer serves a peer over HTTP/2 and mutual TLS and returns the transport to it.
func startPeer(tb testing.TB, bytes *atomic.Int64) Transport {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(echoPeer{}))
	server := httptest.NewUnstartedServer(mux)
	server.EnableHTTP2 = true
	server.Listener = countingListener{server.Listener, bytes}
	server.TLS = &tls.Config{ClientAuth: tls.RequireAnyClientCert, MinVersion: tls.VersionTLS13}
	server.StartTLS()
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	transport := &http.Transport{
		ForceAttemptHTTP2: true,
		TLSClientConfig:   &tls.Config{RootCAs: roots, Certificates: server.TLS.Certificates, MinVersion: tls.VersionTLS13},
	}
	tb.Cleanup(func() {
		transport.CloseIdleConnections()
		server.Close()
	})
	client := peerv1connect.NewPeerServiceClient(&http.Client{Transport: transport}, server.URL)
	return NewConnectTransport(func(instance.Info) (peerv1connect.PeerServiceClient, error) { return client, nil })
}

var probeRequest = &peerv1.ProbeRequest{From: "region-00-proxy-0001", News: &peerv1.GossipRequest{From: "region-00-proxy-0001"}}

// Guards against a membership.CallOverheadBytes lower than the overhead of a call on the wire.
func TestCallOverhead(t *testing.T) {
	is := is.New(t)
	var bytes atomic.Int64
	transport := startPeer(t, &bytes)
	const calls = 200
	probe := func() {
		_, err := transport.Probe(t.Context(), instance.Info{ID: "peer"}, probeRequest)
		is.NoErr(err)
	}
	probe()
	first := bytes.Load()
	for range calls {
		probe()
	}
	body := int64(proto.Size(probeRequest) + proto.Size(&peerv1.ProbeResponse{Reached: true}))
	overhead := (bytes.Load()-first)/calls - body
	t.Logf("first call with TLS handshake: %d bytes; further calls: %d bytes besides the body of %d", first, overhead, body)
	is.True(overhead <= membership.CallOverheadBytes)
}

// BenchmarkProbeCall measures the CPU time of a probe, client and server together, in microseconds.
func BenchmarkProbeCall(b *testing.B) {
	var bytes atomic.Int64
	transport := startPeer(b, &bytes)
	var before, after syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &before); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := transport.Probe(b.Context(), instance.Info{ID: "peer"}, probeRequest); err != nil {
			b.Fatal(err)
		}
	}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &after); err != nil {
		b.Fatal(err)
	}
	used := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(used)/1000/float64(b.N), "cpu-us/op")
}
