package peer

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeGossiper answers all calls except Gossip, and blocks a probe of "slow" until the call ends.
type fakeGossiper struct{}

func (f *fakeGossiper) Probe(ctx context.Context, m *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
	if m.Target == "slow" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &peerv1.ProbeResponse{Reached: m.Target != ""}, nil
}

func (f *fakeGossiper) Gossip(context.Context, *peerv1.GossipRequest) (*peerv1.GossipResponse, error) {
	return nil, errors.New("gossip failed")
}

func (f *fakeGossiper) FetchChunk(context.Context, *peerv1.FetchChunkRequest) (*peerv1.FetchChunkResponse, error) {
	return &peerv1.FetchChunkResponse{Chunk: make([]byte, 512<<10)}, nil
}

func (f *fakeGossiper) StoreAudit(context.Context, *peerv1.StoreAuditRequest) (*peerv1.StoreAuditResponse, error) {
	return &peerv1.StoreAuditResponse{}, nil
}

type fakeCanceller struct{}

func (fakeCanceller) CancelSession(_ context.Context, processID, secret uint32) bool {
	return processID == secret
}

func serve(t *testing.T, s Services) string {
	t.Helper()
	mux := http.NewServeMux()
	NewHandler(s, DefaultTiming()).Mount(mux)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(mux, nil, hclog.NewNullLogger())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ln)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return ln.Addr().String()
}

// TestCalls guards against calls that are routed to the wrong part, and against errors without the step and the peer.
func TestCalls(t *testing.T) {
	is := is.New(t)
	address := serve(t, Services{Gossiper: &fakeGossiper{}, Canceller: fakeCanceller{}})
	c := NewClient(nil)
	defer c.Close()
	ctx := t.Context()
	probed, err := c.Probe(ctx, address, &peerv1.ProbeRequest{Target: "x"})
	is.NoErr(err)
	is.True(probed.Reached)
	chunk, err := c.FetchChunk(ctx, address, &peerv1.FetchChunkRequest{Hash: "x"})
	is.NoErr(err)
	is.Equal(len(chunk.Chunk), 512<<10)
	_, err = c.StoreAudit(ctx, address, &peerv1.StoreAuditRequest{})
	is.NoErr(err)
	found, err := c.CancelSession(ctx, address, 7, 7)
	is.NoErr(err)
	is.True(found)
	_, err = c.Gossip(ctx, address, &peerv1.GossipRequest{})
	is.Equal(err.Error(), "step=gossip peer="+address+": unknown: gossip failed")
	_, err = c.Admit(ctx, address, &peerv1.AdmitRequest{})
	is.Equal(connect.CodeOf(err), connect.CodeUnimplemented)
	_, err = c.Handover(ctx, address, &peerv1.HandoverRequest{})
	is.Equal(connect.CodeOf(err), connect.CodeUnimplemented)
}

// TestReplaceConnection guards against calls that keep using an unresponsive connection.
func TestReplaceConnection(t *testing.T) {
	is := is.New(t)
	address := serve(t, Services{Gossiper: &fakeGossiper{}})
	c := NewClient(nil)
	defer c.Close()
	now := time.Now()
	c.now = func() time.Time { return now }
	_, err := c.Probe(t.Context(), address, &peerv1.ProbeRequest{Target: "x"})
	is.NoErr(err)
	first := c.peerConn(address)
	timeOut := func() {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := c.Probe(ctx, address, &peerv1.ProbeRequest{Target: "slow"})
		is.True(err != nil)
	}
	timeOut()
	is.Equal(c.peerConn(address), first)
	now = now.Add(minReplaceInterval)
	timeOut()
	is.True(c.peerConn(address) != first)
	first.transport.Abort()
}
