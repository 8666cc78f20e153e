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
	"github.com/celerystep/celerystep/internal/boottime"
	"github.com/celerystep/celerystep/internal/delegation"
	"github.com/celerystep/celerystep/internal/netopt"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/owner"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	dialTimeout = 400 * time.Millisecond
	// endTimeout bounds a call that rolls back a transaction.
	endTimeout = time.Second
	// idleTimeout closes idle connections, for example to peers that no longer own a group.
	idleTimeout = 30 * time.Second
)

// Errors that guarantee that the peer did not execute the call. After any other error it may have been executed.
var (
	// ErrConnectionRefused: nothing listens at the peer's address. All such errors are RefusedErrors.
	ErrConnectionRefused = errors.New("no process listens at the peer's address")
	// ErrUnreachable: no connection could be established.
	ErrUnreachable = errors.New("peer cannot be reached")
	// ErrUnresponsive: the call was not sent, because the peer does not answer health probes.
	ErrUnresponsive = errors.New("peer does not answer")
	// ErrNotOwner: the peer does not own the group.
	ErrNotOwner = errors.New("peer does not own the group")
)

// RefusedError reports that a connection to a peer was refused. It matches ErrConnectionRefused.
type RefusedError struct {
	// At is a time, on the boot clock, before the connection was attempted. What was learned of the peer later is not affected.
	At time.Time
}

// Error implements error.
func (e *RefusedError) Error() string { return ErrConnectionRefused.Error() }

// Is makes errors.Is match ErrConnectionRefused.
func (e *RefusedError) Is(target error) bool { return target == ErrConnectionRefused }

// Peer is a client of one other instance.
type Peer struct {
	clock   boottime.Clock
	address string
	client  fleetv1connect.FleetServiceClient
	// probe uses a separate connection, so that health probes are not affected by a stalled one.
	probe fleetv1connect.FleetServiceClient
	// bulk uses a separate connection for large answers.
	bulk   fleetv1connect.FleetServiceClient
	health *health
}

// Peers holds the clients of other instances by address. It is safe for concurrent use.
type Peers struct {
	// Traffic counts the messages unless it is nil. It must be set before the first call.
	Traffic *Traffic

	clock boottime.Clock
	mu    sync.Mutex
	peers map[string]*Peer
}

// NewPeers returns an empty set.
func NewPeers(clock boottime.Clock) *Peers {
	return &Peers{clock: clock, peers: make(map[string]*Peer)}
}

// At returns the client of the peer at the address and creates it on first use.
func (p *Peers) At(address string) *Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.peers[address]; known != nil {
		return known
	}
	peer := &Peer{clock: p.clock, address: address, client: p.newClient(address), probe: p.newClient(address), bulk: p.newClient(address)}
	peer.health = newHealth(peer.identify)
	p.peers[address] = peer
	return peer
}

// newClient returns a client with its own HTTP/2 connection.
func (p *Peers) newClient(address string) fleetv1connect.FleetServiceClient {
	t := &http.Transport{
		Protocols:          new(http.Protocols),
		DialContext:        netopt.Dialer(dialTimeout).DialContext,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
	t.Protocols.SetUnencryptedHTTP2(true)
	// Messages are a few hundred bytes; compression would cost more time than it saves.
	options := []connect.ClientOption{connect.WithAcceptCompression("gzip", nil, nil)}
	if p.Traffic != nil {
		options = append(options, connect.WithInterceptors(p.Traffic.interceptor(address)))
	}
	return fleetv1connect.NewFleetServiceClient(&http.Client{Transport: t}, "http://"+address, options...)
}

// identify sends a health probe to the peer.
func (p *Peer) identify(ctx context.Context) error {
	started := time.Now()
	if _, err := p.probe.Identify(ctx, connect.NewRequest(&fleetv1.IdentifyRequest{})); err != nil {
		return p.classifyError(err, started)
	}
	return nil
}

// Run runs a statement at the peer. It returns before ctx ends if the peer becomes unresponsive.
func (p *Peer) Run(ctx context.Context, r *operation.Request) (operation.Response, error) {
	ctx, done, err := p.health.startCall(ctx)
	if err != nil {
		return operation.Response{}, errors.Wrapf(err, "peer %s", p.address)
	}
	defer done()
	started := time.Now()
	resp, err := p.client.Run(ctx, connect.NewRequest(toRequest(r)))
	if err != nil {
		return operation.Response{}, p.classifyError(err, started)
	}
	answer := fromResponse(resp.Msg)
	answer.Owner.Group = r.Group
	return answer, nil
}

// End asks the peer to roll back the session's open transaction, which it holds as the group's owner.
func (p *Peer) End(ctx context.Context, g upstream.GroupID, s operation.SessionID) error {
	return p.end(ctx, g, s, false)
}

// EndRead asks the peer to roll back the session's open transaction, which it holds as the group's delegate.
func (p *Peer) EndRead(ctx context.Context, g upstream.GroupID, s operation.SessionID) error {
	return p.end(ctx, g, s, true)
}

func (p *Peer) end(ctx context.Context, g upstream.GroupID, s operation.SessionID, delegated bool) error {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	started := time.Now()
	_, err := p.client.End(ctx, connect.NewRequest(&fleetv1.EndRequest{Session: toSession(s), Group: string(g), Delegated: delegated}))
	if err != nil {
		return p.classifyError(err, started)
	}
	return nil
}

// TakeTokens requests rate-limit tokens from the peer, which must own the group.
func (p *Peer) TakeTokens(ctx context.Context, g upstream.GroupID, requests []owner.TokenRequest) ([]owner.TokenRequest, error) {
	started := time.Now()
	resp, err := p.client.TakeTokens(ctx, connect.NewRequest(&fleetv1.TakeTokensRequest{Group: string(g), Requests: toTokens(requests)}))
	if err != nil {
		return nil, p.classifyError(err, started)
	}
	if resp.Msg.GetNotOwner() {
		return nil, ErrNotOwner
	}
	return fromTokens(resp.Msg.GetGrants()), nil
}

// AnnounceClaim tells the peer, an earlier owner of the group, who owns it now. It reports whether the peer does not own the group.
func (p *Peer) AnnounceClaim(ctx context.Context, c ownership.Claim) (released bool, err error) {
	started := time.Now()
	resp, err := p.client.AnnounceClaim(ctx, connect.NewRequest(&fleetv1.AnnounceClaimRequest{Group: string(c.Group), Claim: toClaim(c)}))
	if err != nil {
		return false, p.classifyError(err, started)
	}
	return resp.Msg.GetReleased(), nil
}

// RunRead runs a read or a statement of a read-only transaction at the peer, which is the delegate of the group in the caller's failure domain.
func (p *Peer) RunRead(ctx context.Context, r *operation.Request) (operation.ReadResult, error) {
	ctx, done, err := p.health.startCall(ctx)
	if err != nil {
		return operation.ReadResult{}, errors.Wrapf(err, "peer %s", p.address)
	}
	defer done()
	started := time.Now()
	resp, err := p.client.RunRead(ctx, connect.NewRequest(&fleetv1.RunReadRequest{Request: toRequest(r)}))
	if err != nil {
		return operation.ReadResult{}, p.classifyError(err, started)
	}
	return fromReadResponse(resp.Msg), nil
}

// BorrowReplica requests a share of a replica from the peer, which must own the group.
func (p *Peer) BorrowReplica(ctx context.Context, g upstream.GroupID, r owner.BorrowRequest) (delegation.Offer, delegation.Refusal, error) {
	started := time.Now()
	resp, err := p.client.BorrowReplica(ctx, connect.NewRequest(toBorrowRequest(g, r)))
	if err != nil {
		return delegation.Offer{}, delegation.RefusalUnreachable, p.classifyError(err, started)
	}
	offer, refusal := fromOffer(resp.Msg)
	return offer, refusal, nil
}

// classifyError wraps an error of a call that began at the given time. It maps errors that guarantee that the call was not
// executed to ErrConnectionRefused and ErrUnreachable.
func (p *Peer) classifyError(err error, started time.Time) error {
	var op interface{ Timeout() bool }
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return errors.Wrapf(&RefusedError{At: p.clock().Add(-time.Since(started))}, "peer %s", p.address)
	case isDialError(err):
		return errors.Wrapf(ErrUnreachable, "peer %s: %v", p.address, err)
	case errors.As(err, &op) && op.Timeout():
		return errors.Wrapf(err, "peer %s: no answer", p.address)
	default:
		return errors.Wrapf(err, "peer %s", p.address)
	}
}
