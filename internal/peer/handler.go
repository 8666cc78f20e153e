// Package peer implements the client and the server of PeerService, the protocol between the instances of a fleet, over
// connect with mutual TLS, or over plaintext HTTP/2 in tests and local trials. Package link uses its Exchange stream to
// forward requests.
package peer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/gen/celerystep/peer/v1/peerv1connect"
	"github.com/celerystep/celerystep/internal/request"
)

// Gossiper handles membership updates, configuration chunks and copies of audit records.
type Gossiper interface {
	Gossip(ctx context.Context, m *peerv1.GossipRequest) (*peerv1.GossipResponse, error)
	Probe(ctx context.Context, m *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error)
	FetchChunk(ctx context.Context, m *peerv1.FetchChunkRequest) (*peerv1.FetchChunkResponse, error)
	StoreAudit(ctx context.Context, m *peerv1.StoreAuditRequest) (*peerv1.StoreAuditResponse, error)
}

// Admitter handles admission at the home of a customer's main group.
type Admitter interface {
	Admit(ctx context.Context, m *peerv1.AdmitRequest) (*peerv1.AdmitResponse, error)
	Handover(ctx context.Context, m *peerv1.HandoverRequest) (*peerv1.HandoverResponse, error)
}

// Canceller cancels the running request of a session of this instance and reports whether it knows the session.
type Canceller interface {
	CancelSession(ctx context.Context, processID, secret uint32) bool
}

// Services are the parts of an instance that peers call. Calls to a nil part return CodeUnimplemented.
type Services struct {
	Runner    request.Runner
	Gossiper  Gossiper
	Admitter  Admitter
	Canceller Canceller
}

const (
	// HeartbeatInterval is the interval between heartbeats that the client of a stream sends.
	HeartbeatInterval = 200 * time.Millisecond
	// SilenceTimeout is how long a stream may receive no frame before it is closed. Checks run at each heartbeat
	// interval, so an unresponsive link is detected within a second.
	SilenceTimeout = 750 * time.Millisecond
	// MaxMessageBytes is the maximum size of a message between peers. It allows for a caller's message exchange of 16
	// MB that refers to prepared statements with long texts. A larger message ends the stream, so senders check the
	// size first.
	MaxMessageBytes = 48 << 20
	// slowReaderLimit is how long an answer waits for credit before the request is aborted, because it occupies one of
	// the group's few connections.
	slowReaderLimit = 35 * time.Second
	// endTimeout bounds the rollback of sessions after their link has ended.
	endTimeout = 5 * time.Second
)

// Timing holds the timeouts of streams; tests and slow machines may use longer ones.
type Timing struct {
	Heartbeat  time.Duration
	Silence    time.Duration
	SlowReader time.Duration
}

// DefaultTiming returns the timeouts for production.
func DefaultTiming() Timing {
	return Timing{Heartbeat: HeartbeatInterval, Silence: SilenceTimeout, SlowReader: slowReaderLimit}
}

// Handler serves PeerService.
type Handler struct {
	services Services
	timing   Timing
	draining atomic.Bool
	mu       sync.Mutex
	streams  map[*exchange]struct{}
	// drained is closed when draining is set and the last stream has ended.
	drained chan struct{}
}

// NewHandler returns a handler for the services.
func NewHandler(s Services, t Timing) *Handler {
	return &Handler{services: s, timing: t, streams: make(map[*exchange]struct{}), drained: make(chan struct{})}
}

// Mount registers the service on mux.
func (h *Handler) Mount(mux *http.ServeMux) {
	path, handler := peerv1connect.NewPeerServiceHandler(h,
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithCompressMinBytes(MaxMessageBytes),
	)
	mux.Handle(path, withStreamControls(handler))
}

func unimplemented(part string) error {
	return connect.NewError(connect.CodeUnimplemented, errors.Errorf("instance has no %s", part))
}

// call adapts a typed method to a connect handler.
func call[Q, A any](ctx context.Context, q *connect.Request[Q], f func(context.Context, *Q) (*A, error)) (
	*connect.Response[A], error,
) {
	a, err := f(ctx, q.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(a), nil
}

// Gossip implements PeerService.
func (h *Handler) Gossip(ctx context.Context, q *connect.Request[peerv1.GossipRequest]) (
	*connect.Response[peerv1.GossipResponse], error,
) {
	if h.services.Gossiper == nil {
		return nil, unimplemented("gossip")
	}
	return call(ctx, q, h.services.Gossiper.Gossip)
}

// Probe implements PeerService.
func (h *Handler) Probe(ctx context.Context, q *connect.Request[peerv1.ProbeRequest]) (
	*connect.Response[peerv1.ProbeResponse], error,
) {
	if h.services.Gossiper == nil {
		return nil, unimplemented("gossip")
	}
	return call(ctx, q, h.services.Gossiper.Probe)
}

// FetchChunk implements PeerService.
func (h *Handler) FetchChunk(ctx context.Context, q *connect.Request[peerv1.FetchChunkRequest]) (
	*connect.Response[peerv1.FetchChunkResponse], error,
) {
	if h.services.Gossiper == nil {
		return nil, unimplemented("gossip")
	}
	return call(ctx, q, h.services.Gossiper.FetchChunk)
}

// StoreAudit implements PeerService.
func (h *Handler) StoreAudit(ctx context.Context, q *connect.Request[peerv1.StoreAuditRequest]) (
	*connect.Response[peerv1.StoreAuditResponse], error,
) {
	if h.services.Gossiper == nil {
		return nil, unimplemented("gossip")
	}
	return call(ctx, q, h.services.Gossiper.StoreAudit)
}

// Admit implements PeerService.
func (h *Handler) Admit(ctx context.Context, q *connect.Request[peerv1.AdmitRequest]) (
	*connect.Response[peerv1.AdmitResponse], error,
) {
	if h.services.Admitter == nil {
		return nil, unimplemented("admission")
	}
	return call(ctx, q, h.services.Admitter.Admit)
}

// Handover implements PeerService.
func (h *Handler) Handover(ctx context.Context, q *connect.Request[peerv1.HandoverRequest]) (
	*connect.Response[peerv1.HandoverResponse], error,
) {
	if h.services.Admitter == nil {
		return nil, unimplemented("admission")
	}
	return call(ctx, q, h.services.Admitter.Handover)
}

// CancelSession implements PeerService.
func (h *Handler) CancelSession(ctx context.Context, q *connect.Request[peerv1.CancelSessionRequest]) (
	*connect.Response[peerv1.CancelSessionResponse], error,
) {
	if h.services.Canceller == nil {
		return nil, unimplemented("sessions")
	}
	found := h.services.Canceller.CancelSession(ctx, q.Msg.ProcessId, q.Msg.Secret)
	return connect.NewResponse(&peerv1.CancelSessionResponse{Found: found}), nil
}
