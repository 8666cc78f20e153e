package gossip

import (
	"context"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/gen/celerystep/peer/v1/peerv1connect"
	"github.com/celerystep/celerystep/internal/instance"
)

// Transport calls the peer services of other instances. Errors contain the peer.
type Transport interface {
	Gossip(ctx context.Context, to instance.Info, m *peerv1.GossipRequest) (*peerv1.GossipResponse, error)
	Probe(ctx context.Context, to instance.Info, m *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error)
	Handover(ctx context.Context, to instance.Info, m *peerv1.HandoverRequest) (*peerv1.HandoverResponse, error)
}

// Dial returns a client for the peer service of an instance. It should reuse connections and close idle ones: probe
// partners are called several times a second, while the receivers of pushes are random.
type Dial func(to instance.Info) (peerv1connect.PeerServiceClient, error)

// connectTransport implements Transport with connect-go.
type connectTransport struct {
	dial Dial
}

// NewConnectTransport returns a Transport that uses connect-go clients.
func NewConnectTransport(dial Dial) Transport { return connectTransport{dial: dial} }

// unary makes one call. Its errors contain the step and the peer.
func unary[Q, R any](
	ctx context.Context, step string, to instance.Info, dial Dial, request *Q,
	method func(peerv1connect.PeerServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[R], error),
) (*R, error) {
	client, err := dial(to)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: dial peer %s", step, to.ID)
	}
	answer, err := method(client, ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errors.Wrapf(err, "%s: call peer %s", step, to.ID)
	}
	return answer.Msg, nil
}

func (t connectTransport) Gossip(
	ctx context.Context, to instance.Info, m *peerv1.GossipRequest,
) (*peerv1.GossipResponse, error) {
	return unary(ctx, "gossip", to, t.dial, m, peerv1connect.PeerServiceClient.Gossip)
}

func (t connectTransport) Probe(
	ctx context.Context, to instance.Info, m *peerv1.ProbeRequest,
) (*peerv1.ProbeResponse, error) {
	return unary(ctx, "probe", to, t.dial, m, peerv1connect.PeerServiceClient.Probe)
}

func (t connectTransport) Handover(
	ctx context.Context, to instance.Info, m *peerv1.HandoverRequest,
) (*peerv1.HandoverResponse, error) {
	return unary(ctx, "handover", to, t.dial, m, peerv1connect.PeerServiceClient.Handover)
}
