package daemon

import (
	"context"
	"encoding/json"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/internal/audit"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/gossip"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/membership"
	"github.com/celerystep/celerystep/internal/peer"
)

// gossipTransport carries membership calls over the peer client.
type gossipTransport struct {
	calls *peer.Client
	route func(instance.Info) instance.Info
}

func (t gossipTransport) address(to instance.Info) string {
	if t.route != nil {
		to = t.route(to)
	}
	return to.PeerAddress
}

// Gossip implements gossip.Transport.
func (t gossipTransport) Gossip(ctx context.Context, to instance.Info, m *peerv1.GossipRequest) (*peerv1.GossipResponse, error) {
	return t.calls.Gossip(ctx, t.address(to), m)
}

// Probe implements gossip.Transport.
func (t gossipTransport) Probe(ctx context.Context, to instance.Info, m *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
	return t.calls.Probe(ctx, t.address(to), m)
}

// Handover implements gossip.Transport.
func (t gossipTransport) Handover(ctx context.Context, to instance.Info, m *peerv1.HandoverRequest) (*peerv1.HandoverResponse, error) {
	return t.calls.Handover(ctx, t.address(to), m)
}

// news serves the calls of peers about membership, configuration and audit. It implements peer.Gossiper.
type news struct {
	service *gossip.Service
	keeper  *config.Keeper
	trail   *audit.Trail
}

// Gossip implements peer.Gossiper.
func (n *news) Gossip(ctx context.Context, m *peerv1.GossipRequest) (*peerv1.GossipResponse, error) {
	return unwrap(n.service.Gossip(ctx, connect.NewRequest(m)))
}

// Probe implements peer.Gossiper.
func (n *news) Probe(ctx context.Context, m *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
	return unwrap(n.service.Probe(ctx, connect.NewRequest(m)))
}

// FetchChunk implements peer.Gossiper.
func (n *news) FetchChunk(_ context.Context, m *peerv1.FetchChunkRequest) (*peerv1.FetchChunkResponse, error) {
	var h config.Hash
	if err := h.UnmarshalText([]byte(m.GetHash())); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	chunk, ok := n.keeper.Chunk(h)
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("chunk %s is not held", h.Short()))
	}
	return &peerv1.FetchChunkResponse{Chunk: chunk}, nil
}

// StoreAudit implements peer.Gossiper.
func (n *news) StoreAudit(_ context.Context, m *peerv1.StoreAuditRequest) (*peerv1.StoreAuditResponse, error) {
	records := make([]audit.Record, 0, len(m.GetRecords()))
	for _, r := range m.GetRecords() {
		var rec audit.Record
		if err := json.Unmarshal(r.GetJson(), &rec); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		records = append(records, rec)
	}
	n.trail.StoreCopies(records)
	return &peerv1.StoreAuditResponse{}, nil
}

func unwrap[T any](r *connect.Response[T], err error) (*T, error) {
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

// auditPeers implements audit.Peers.
type auditPeers struct {
	locator *locator
	calls   *peer.Client
}

// Live implements audit.Peers.
func (p *auditPeers) Live() []instance.Info { return p.locator.Instances() }

// StoreAudit implements audit.Peers.
func (p *auditPeers) StoreAudit(ctx context.Context, to instance.ID, records []audit.Record) error {
	info, ok := p.locator.Address(to)
	if !ok {
		return errors.Errorf("step=store_audit peer=%s: address is not known", to)
	}
	m := &peerv1.StoreAuditRequest{}
	for i := range records {
		text, err := json.Marshal(&records[i])
		if err != nil {
			return errors.Wrap(err, "encode audit record")
		}
		m.Records = append(m.Records, &peerv1.AuditRecord{Json: text})
	}
	if _, err := p.calls.StoreAudit(ctx, info.PeerAddress, m); err != nil {
		return errors.Wrapf(err, "step=store_audit peer=%s", to)
	}
	return nil
}

// fetchAttempts is the number of peers that are asked for a chunk before the store is.
const fetchAttempts = 3

// configNews spreads configuration versions through the membership. It implements config.Gossip.
type configNews struct {
	self    instance.ID
	service *gossip.Service
	locator *locator
	calls   *peer.Client
}

// Announce implements config.Gossip. OperationID stays empty, so that two roots of one version, which a store that lost
// a write can cause, are ordered by their hash here as in the keeper.
func (c *configNews) Announce(version uint64, root config.Hash) {
	c.service.AnnounceConfig(membership.ConfigVersion{Version: version, Root: string(root[:])})
}

// AnnounceRevocations implements config.Gossip.
func (c *configNews) AnnounceRevocations(list []config.Revocation) {
	for _, r := range list {
		c.service.AnnounceRevocation(membership.Revocation{
			KeyRef:    membership.KeyRef{Customer: r.Customer, Key: r.Key},
			Operator:  r.Operator,
			UnixMilli: r.UnixMS,
		})
	}
}

// FetchChunk implements config.Gossip. from may be empty; other peers are asked as well.
func (c *configNews) FetchChunk(ctx context.Context, from instance.ID, hash config.Hash) ([]byte, error) {
	var last error
	asked := 0
	for _, info := range c.order(from) {
		if asked == fetchAttempts {
			break
		}
		asked++
		r, err := c.calls.FetchChunk(ctx, info.PeerAddress, &peerv1.FetchChunkRequest{Hash: hash.String()})
		if err == nil {
			return r.GetChunk(), nil
		}
		last = errors.Wrapf(err, "step=fetch_chunk peer=%s", info.ID)
	}
	if last == nil {
		last = errors.New("step=fetch_chunk: no peer is known")
	}
	return nil, last
}

// order lists the peers to ask, from first.
func (c *configNews) order(from instance.ID) []instance.Info {
	var first, rest []instance.Info
	for _, info := range c.locator.Instances() {
		switch info.ID {
		case c.self:
		case from:
			first = append(first, info)
		default:
			rest = append(rest, info)
		}
	}
	return append(first, rest...)
}

// anyPeer stands for the unknown peer that a version was heard from; FetchChunk then asks peers in turn.
const anyPeer instance.ID = "any-peer"

// heard passes a version that was heard of to the keeper.
func heard(k *config.Keeper, v membership.ConfigVersion) {
	var root config.Hash
	if v.Version == 0 || copy(root[:], v.Root) != len(root) {
		return
	}
	k.Heard(v.Version, root, anyPeer)
}
