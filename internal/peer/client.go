package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/gen/celerystep/peer/v1/peerv1connect"
	"github.com/celerystep/celerystep/internal/certs"
)

// minReplaceInterval is the minimum age at which the connection to an address is replaced.
const minReplaceInterval = 500 * time.Millisecond

// Client makes unary calls to peers over one connection per address. After a call that exceeded its deadline the next
// call uses a new connection, because the old one may be unresponsive.
type Client struct {
	store *certs.Store
	mu    sync.Mutex
	peers map[string]*peerConn
	now   func() time.Time
}

// peerConn is the connection to one address.
type peerConn struct {
	transport *Transport
	service   peerv1connect.PeerServiceClient
	opened    time.Time
	used      time.Time
}

// NewClient returns a client with mutual TLS, or with plaintext HTTP/2 when store is nil.
func NewClient(store *certs.Store) *Client {
	return &Client{store: store, peers: make(map[string]*peerConn), now: time.Now}
}

// NewServiceClient returns a client of PeerService at the address over the transport.
func NewServiceClient(t *Transport, address string) peerv1connect.PeerServiceClient {
	return peerv1connect.NewPeerServiceClient(roundTripper{t}, t.Scheme()+address,
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithSendCompression(""),
		connect.WithAcceptCompression("gzip", nil, nil),
	)
}

func (c *Client) peerConn(address string) *peerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	r := c.peers[address]
	if r == nil {
		c.evictIdle(now)
		t := NewTransport(c.store)
		r = &peerConn{transport: t, service: NewServiceClient(t, address), opened: now}
		c.peers[address] = r
	}
	r.used = now
	return r
}

// evictIdle drops addresses that were not called for some time; their connections close after idleTimeout.
func (c *Client) evictIdle(now time.Time) {
	for address, r := range c.peers {
		if now.Sub(r.used) > 2*idleTimeout {
			delete(c.peers, address)
		}
	}
}

// replace makes the next call to the address use a new connection.
func (c *Client) replace(address string, r *peerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers[address] != r || c.now().Sub(r.opened) < minReplaceInterval {
		return
	}
	delete(c.peers, address)
	r.transport.Retire()
}

// Close closes all connections immediately.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, r := range c.peers {
		r.transport.Abort()
		delete(c.peers, address)
	}
}

// invoke makes one call. Its errors contain the step and the peer.
func invoke[Q, A any](
	ctx context.Context, c *Client, address, step string, q *Q,
	method func(peerv1connect.PeerServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error),
) (*A, error) {
	r := c.peerConn(address)
	a, err := method(r.service, ctx, connect.NewRequest(q))
	if err == nil {
		return a.Msg, nil
	}
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		c.replace(address, r)
	}
	return nil, errors.Wrapf(err, "step=%s peer=%s", step, address)
}

// Gossip exchanges membership updates with the peer at the address.
func (c *Client) Gossip(ctx context.Context, address string, q *peerv1.GossipRequest) (*peerv1.GossipResponse, error) {
	return invoke(ctx, c, address, "gossip", q, peerv1connect.PeerServiceClient.Gossip)
}

// Probe probes the peer, or asks it to probe another instance.
func (c *Client) Probe(ctx context.Context, address string, q *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
	return invoke(ctx, c, address, "probe", q, peerv1connect.PeerServiceClient.Probe)
}

// FetchChunk fetches a chunk of a configuration.
func (c *Client) FetchChunk(ctx context.Context, address string, q *peerv1.FetchChunkRequest) (
	*peerv1.FetchChunkResponse, error,
) {
	return invoke(ctx, c, address, "fetch_chunk", q, peerv1connect.PeerServiceClient.FetchChunk)
}

// StoreAudit stores copies of audit records at the peer.
func (c *Client) StoreAudit(ctx context.Context, address string, q *peerv1.StoreAuditRequest) (
	*peerv1.StoreAuditResponse, error,
) {
	return invoke(ctx, c, address, "store_audit", q, peerv1connect.PeerServiceClient.StoreAudit)
}

// Admit requests tokens for customers whose main group has its home at the peer.
func (c *Client) Admit(ctx context.Context, address string, q *peerv1.AdmitRequest) (*peerv1.AdmitResponse, error) {
	return invoke(ctx, c, address, "admit", q, peerv1connect.PeerServiceClient.Admit)
}

// Handover hands the home of a group over to the peer.
func (c *Client) Handover(ctx context.Context, address string, q *peerv1.HandoverRequest) (
	*peerv1.HandoverResponse, error,
) {
	return invoke(ctx, c, address, "handover", q, peerv1connect.PeerServiceClient.Handover)
}

// CancelSession asks the peer to cancel the running request of its session with the process id and secret. It reports
// whether the peer knows the session.
func (c *Client) CancelSession(ctx context.Context, address string, processID, secret uint32) (bool, error) {
	q := &peerv1.CancelSessionRequest{ProcessId: processID, Secret: secret}
	a, err := invoke(ctx, c, address, "cancel_session", q, peerv1connect.PeerServiceClient.CancelSession)
	return a.GetFound(), err
}
