package fleetlink

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	fleetv1 "github.com/celerystep/celerystep/gen/celerystep/fleet/v1"
	"github.com/celerystep/celerystep/gen/celerystep/fleet/v1/fleetv1connect"
	"github.com/celerystep/celerystep/internal/netopt"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/owner"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	dialTimeout = 400 * time.Millisecond
	// endTimeout bounds a call that rolls back a transaction.
	endTimeout = time.Second
	// idleTimeout closes connections to peers that own nothing any more.
	idleTimeout = 30 * time.Second
)

// Errors of a call. Any other error means that the call may have been carried out.
var (
	// ErrRefused: no process listens at the peer's address, so that the one that did has ended. Nothing was done.
	ErrConnectionRefused = errors.New("no process listens at the peer's address")
	// ErrUnreached: no connection could be made. Nothing was done.
	ErrUnreachable = errors.New("peer cannot be reached")
	// ErrDown: the peer did not answer others just now. Nothing was done.
	ErrUnresponsive = errors.New("peer does not answer")
	// ErrNotOwner: the peer does not own the group. Nothing was done.
	ErrNotOwner = errors.New("peer does not own the group")
)

// Peer calls one instance.
type Peer struct {
	address string
	client  fleetv1connect.FleetServiceClient
	// probe has a connection of its own, so that it is not held up by one that went silent.
	probe  fleetv1connect.FleetServiceClient
	health health
}

// Peers holds the connections to other instances by address. It is safe for concurrent use.
type Peers struct {
	mu    sync.Mutex
	peers map[string]*Peer
}

// NewPeers returns an empty set.
func NewPeers() *Peers { return &Peers{peers: make(map[string]*Peer)} }

// At returns the peer at the address.
func (p *Peers) At(address string) *Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.peers[address]; known != nil {
		return known
	}
	peer := &Peer{address: address, client: newClient(address), probe: newClient(address)}
	peer.health.identify = peer.identify
	p.peers[address] = peer
	return peer
}

// newClient returns a client with a connection of its own.
func newClient(address string) fleetv1connect.FleetServiceClient {
	t := &http.Transport{
		Protocols:          new(http.Protocols),
		DialContext:        netopt.Dialer(dialTimeout).DialContext,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	t.Protocols.SetUnencryptedHTTP2(true)
	// Messages are a few hundred bytes: compressing them costs more time than it saves.
	return fleetv1connect.NewFleetServiceClient(&http.Client{Transport: t}, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil))
}

// identify asks the peer for a sign of life.
func (p *Peer) identify(ctx context.Context) error {
	if _, err := p.probe.Identify(ctx, connect.NewRequest(&fleetv1.IdentifyRequest{})); err != nil {
		return classify(p.address, err)
	}
	return nil
}

// Run runs a statement at the peer. A call to a peer that stops answering ends before ctx does.
func (p *Peer) Run(ctx context.Context, r *operation.Request) (operation.Response, error) {
	ctx, done, err := p.health.begin(ctx)
	if err != nil {
		return operation.Response{}, errors.Wrapf(err, "peer %s", p.address)
	}
	defer done()
	resp, err := p.client.Run(ctx, connect.NewRequest(toRequest(r)))
	if err != nil {
		return operation.Response{}, classify(p.address, err)
	}
	return fromResponse(resp.Msg), nil
}

// End rolls back a session's transaction at the peer.
func (p *Peer) End(ctx context.Context, g upstream.GroupID, s operation.SessionID) error {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	_, err := p.client.End(ctx, connect.NewRequest(&fleetv1.EndRequest{Session: toSession(s), Group: string(g)}))
	if err != nil {
		return classify(p.address, err)
	}
	return nil
}

// TakeTokens asks the peer, as owner of the group, for tokens.
func (p *Peer) TakeTokens(ctx context.Context, g upstream.GroupID, wants []owner.TokenRequest) ([]owner.TokenRequest, error) {
	resp, err := p.client.TakeTokens(ctx, connect.NewRequest(&fleetv1.TakeTokensRequest{Group: string(g), Requests: toTokens(wants)}))
	if err != nil {
		return nil, classify(p.address, err)
	}
	if resp.Msg.GetNotOwner() {
		return nil, ErrNotOwner
	}
	return fromTokens(resp.Msg.GetGrants()), nil
}

// classify tells a call that was surely not carried out from others.
func classify(address string, err error) error {
	var op interface{ Timeout() bool }
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return errors.Wrapf(ErrConnectionRefused, "peer %s", address)
	case isDial(err):
		return errors.Wrapf(ErrUnreachable, "peer %s: %v", address, err)
	case errors.As(err, &op) && op.Timeout():
		return errors.Wrapf(err, "peer %s: no answer", address)
	default:
		return errors.Wrapf(err, "peer %s", address)
	}
}
