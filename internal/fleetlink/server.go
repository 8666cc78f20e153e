// Package fleetlink is the RPC client and server for operations between instances on the Kestrel Grid platform, based on
// connect-go. Package peer is its counterpart for the instances of celerystepd.
package fleetlink

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	fleetv1 "github.com/celerystep/celerystep/gen/celerystep/fleet/v1"
	"github.com/celerystep/celerystep/gen/celerystep/fleet/v1/fleetv1connect"
	"github.com/celerystep/celerystep/internal/delegation"
	"github.com/celerystep/celerystep/internal/fanout"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/owner"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// maxConcurrentStreams bounds the calls in flight on one connection.
	maxConcurrentStreams = 500
	// maxRequestBytes bounds a request: a statement and the values of its session, of 1 MiB each, and what accompanies them.
	maxRequestBytes = 3 << 20
	// connReceiveBytes and streamReceiveBytes bound the bytes of requests that are received before they are read.
	connReceiveBytes, streamReceiveBytes = 128 << 10, 64 << 10
	// writeTimeout bounds the time from the headers of a request to the end of its response, writeByteTimeout the time for which a
	// connection takes no bytes. Requests wait up to maxWait of package fanout for a change.
	writeTimeout, writeByteTimeout = 90 * time.Second, 30 * time.Second
	// idleServerTimeout closes idle connections. It is longer than that of the clients.
	idleServerTimeout = 2 * idleTimeout
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 16 << 10
	// headerTimeout bounds the time to read the headers of a request.
	headerTimeout = 2 * time.Second
	// pingInterval and pingTimeout configure the HTTP/2 pings that detect stalled connections to peers.
	pingInterval = 700 * time.Millisecond
	pingTimeout  = 700 * time.Millisecond
)

// Local is the implementation of the calls that a server offers to its peers.
type Local interface {
	operation.Runner
	// Grant returns the tokens granted for the requests, or false if this instance does not own the group.
	Grant(g upstream.GroupID, requests []owner.TokenRequest) ([]owner.TokenRequest, bool)
	operation.ReadRunner
	// Lend lends a share of a replica of a group that this instance owns.
	Lend(g upstream.GroupID, r owner.BorrowRequest) (delegation.Offer, delegation.Refusal)
	// ClaimAnnounced learns the claim of another process, and reports whether this process does not own its group.
	ClaimAnnounced(c ownership.Claim) (released bool)
}

// Reader passes on the shared entries of the store.
type Reader interface {
	// Follow answers with changes, or with fanout.ErrNotReader or fanout.ErrTooOld.
	Follow(ctx context.Context, r fanout.Request) (fanout.Answer, error)
}

// errInvalidRequest reports a request that no instance sends; nothing ran.
var errInvalidRequest = errors.New("the statement cannot be run on a member")

// errInvalidClaim reports a claim without an owner or a group.
var errInvalidClaim = errors.New("the claim has no owner or no group")

// handler implements fleetv1connect.FleetServiceHandler.
type handler struct {
	local   Local
	reader  Reader
	usage   UsageReceiver
	self    instance.ID
	process string
}

// NewServer returns the unencrypted HTTP/2 server for the calls of peers. received is nil if the usage is not reported.
func NewServer(local Local, reader Reader, received UsageReceiver, self instance.ID, process string) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(fleetv1connect.NewFleetServiceHandler(&handler{local: local, reader: reader, usage: received, self: self, process: process},
		connect.WithReadMaxBytes(maxRequestBytes), connect.WithCompression("gzip", nil, nil)))
	s := &http.Server{
		Handler:           mux,
		Protocols:         new(http.Protocols),
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleServerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxConcurrentStreams, MaxReceiveBufferPerConnection: connReceiveBytes,
			MaxReceiveBufferPerStream: streamReceiveBytes, WriteByteTimeout: writeByteTimeout,
		},
	}
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

// Run implements fleetv1connect.FleetServiceHandler.
func (h *handler) Run(ctx context.Context, r *connect.Request[fleetv1.RunRequest]) (*connect.Response[fleetv1.RunResponse], error) {
	q := fromRequest(r.Msg)
	if !q.Valid() {
		return nil, connect.NewError(connect.CodeInvalidArgument, errInvalidRequest)
	}
	return connect.NewResponse(toResponse(h.local.Run(ctx, q))), nil
}

// End implements fleetv1connect.FleetServiceHandler.
func (h *handler) End(ctx context.Context, r *connect.Request[fleetv1.EndRequest]) (*connect.Response[fleetv1.EndResponse], error) {
	end := h.local.End
	if r.Msg.GetDelegated() {
		end = h.local.EndRead
	}
	end(ctx, upstream.GroupID(r.Msg.GetGroup()), fromSession(r.Msg.GetSession()))
	return connect.NewResponse(&fleetv1.EndResponse{}), nil
}

// TakeTokens implements fleetv1connect.FleetServiceHandler.
func (h *handler) TakeTokens(_ context.Context, r *connect.Request[fleetv1.TakeTokensRequest]) (*connect.Response[fleetv1.TakeTokensResponse], error) {
	grants, ok := h.local.Grant(upstream.GroupID(r.Msg.GetGroup()), fromTokens(r.Msg.GetRequests()))
	return connect.NewResponse(&fleetv1.TakeTokensResponse{NotOwner: !ok, Grants: toTokens(grants)}), nil
}

// RunRead implements fleetv1connect.FleetServiceHandler.
func (h *handler) RunRead(ctx context.Context, r *connect.Request[fleetv1.RunReadRequest]) (*connect.Response[fleetv1.RunReadResponse], error) {
	q := fromRequest(r.Msg.GetRequest())
	if !q.Valid() {
		return nil, connect.NewError(connect.CodeInvalidArgument, errInvalidRequest)
	}
	return connect.NewResponse(toReadResponse(h.local.RunRead(ctx, q))), nil
}

// BorrowReplica implements fleetv1connect.FleetServiceHandler.
func (h *handler) BorrowReplica(_ context.Context, r *connect.Request[fleetv1.BorrowReplicaRequest]) (*connect.Response[fleetv1.BorrowReplicaResponse], error) {
	offer, refusal := h.local.Lend(upstream.GroupID(r.Msg.GetGroup()), fromBorrowRequest(r.Msg))
	return connect.NewResponse(toOffer(offer, refusal)), nil
}

// AnnounceClaim implements fleetv1connect.FleetServiceHandler.
func (h *handler) AnnounceClaim(_ context.Context, r *connect.Request[fleetv1.AnnounceClaimRequest]) (*connect.Response[fleetv1.AnnounceClaimResponse], error) {
	c := fromClaim(r.Msg.GetClaim())
	c.Group = upstream.GroupID(r.Msg.GetGroup())
	if c.Owner == "" || c.Group == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errInvalidClaim)
	}
	return connect.NewResponse(&fleetv1.AnnounceClaimResponse{Released: h.local.ClaimAnnounced(c)}), nil
}

// Identify implements fleetv1connect.FleetServiceHandler.
func (h *handler) Identify(context.Context, *connect.Request[fleetv1.IdentifyRequest]) (*connect.Response[fleetv1.IdentifyResponse], error) {
	return connect.NewResponse(&fleetv1.IdentifyResponse{Instance: string(h.self), Process: h.process}), nil
}

// Follow implements fleetv1connect.FleetServiceHandler.
func (h *handler) Follow(ctx context.Context, r *connect.Request[fleetv1.FollowRequest]) (*connect.Response[fleetv1.FollowResponse], error) {
	a, err := h.reader.Follow(ctx, fromFollowRequest(r.Msg))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(toFollowResponse(a)), nil
}
