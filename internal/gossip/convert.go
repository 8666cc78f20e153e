package gossip

import (
	"time"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/membership"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// toProto encodes a message for the peer protocol.
func toProto(m *membership.Message) *peerv1.GossipRequest {
	p := &peerv1.GossipRequest{
		From:       string(m.From),
		StoreAgeMs: uint64(m.StoreAge.Milliseconds()),
	}
	for i := range m.Members {
		p.Members = append(p.Members, memberToProto(&m.Members[i]))
	}
	for i := range m.Homes {
		p.Homes = append(p.Homes, homeToProto(&m.Homes[i]))
	}
	if m.Config.Version > 0 {
		p.Config = &peerv1.ConfigRecord{
			Version:     m.Config.Version,
			OperationId: m.Config.OperationID,
			Root:        []byte(m.Config.Root),
		}
	}
	for _, r := range m.Revocations {
		p.Revocations = append(p.Revocations, &peerv1.Revocation{
			Customer: r.Customer,
			Key:      r.Key,
			Operator: r.Operator,
			UnixMs:   r.UnixMilli,
		})
	}
	if m.Digest != nil {
		p.Digest = &peerv1.Digest{
			Root:    m.Digest.Root,
			Buckets: m.Digest.Buckets,
			Wanted:  m.Digest.Wanted,
			Joined:  m.Digest.Joined,
			Recent:  m.Digest.Recent,
			Salt:    m.Digest.Salt,
		}
	}
	return p
}

func memberToProto(m *membership.Member) *peerv1.MemberRecord {
	p := &peerv1.MemberRecord{
		Id:          string(m.ID),
		State:       uint32(m.State),
		Incarnation: m.Incarnation,
	}
	if !m.HasAddress() {
		return p
	}
	p.FailureDomain = string(m.Info.FailureDomain)
	p.PeerAddress = m.Info.PeerAddress
	p.CallerAddress = m.Info.CallerAddress
	if m.InfoIncarnation != m.Incarnation {
		p.InfoIncarnation = m.InfoIncarnation
	}
	return p
}

func homeToProto(h *membership.Home) *peerv1.HomeRecord {
	return &peerv1.HomeRecord{
		Group:      string(h.Group),
		Owner:      string(h.Owner),
		Generation: h.Generation,
		Primary:    string(h.Primary),
		Term:       uint64(h.Term),
		Released:   h.Released,
	}
}

// fromProto decodes a message. A nil message yields an empty one.
func fromProto(p *peerv1.GossipRequest) *membership.Message {
	m := &membership.Message{
		From:     instance.ID(p.GetFrom()),
		StoreAge: time.Duration(p.GetStoreAgeMs()) * time.Millisecond,
		Config: membership.ConfigVersion{
			Version:     p.GetConfig().GetVersion(),
			OperationID: p.GetConfig().GetOperationId(),
			Root:        string(p.GetConfig().GetRoot()),
		},
	}
	for _, r := range p.GetMembers() {
		m.Members = append(m.Members, memberFromProto(r))
	}
	for _, h := range p.GetHomes() {
		m.Homes = append(m.Homes, homeFromProto(h))
	}
	for _, r := range p.GetRevocations() {
		m.Revocations = append(m.Revocations, membership.Revocation{
			KeyRef:    membership.KeyRef{Customer: r.GetCustomer(), Key: r.GetKey()},
			Operator:  r.GetOperator(),
			UnixMilli: r.GetUnixMs(),
		})
	}
	if d := p.GetDigest(); d != nil {
		m.Digest = &membership.Digest{
			Root:    d.Root,
			Buckets: d.Buckets,
			Wanted:  d.Wanted,
			Joined:  d.Joined,
			Recent:  d.Recent,
			Salt:    d.Salt,
		}
	}
	return m
}

// memberFromProto decodes a record. A record without a peer address contains only the state and incarnation.
func memberFromProto(r *peerv1.MemberRecord) membership.Member {
	m := membership.Member{
		ID:          instance.ID(r.GetId()),
		State:       instance.State(min(r.GetState(), uint32(instance.StateDead))),
		Incarnation: r.GetIncarnation(),
	}
	if r.GetPeerAddress() == "" {
		return m
	}
	m.Info = instance.Info{
		ID:            m.ID,
		FailureDomain: instance.FailureDomain(r.GetFailureDomain()),
		PeerAddress:   r.GetPeerAddress(),
		CallerAddress: r.GetCallerAddress(),
	}
	m.InfoIncarnation = r.GetInfoIncarnation()
	if m.InfoIncarnation == 0 {
		m.InfoIncarnation = m.Incarnation
	}
	return m
}

func homeFromProto(h *peerv1.HomeRecord) membership.Home {
	return membership.Home{
		Group:      upstream.GroupID(h.GetGroup()),
		Owner:      instance.ID(h.GetOwner()),
		Generation: h.GetGeneration(),
		Primary:    upstream.MemberID(h.GetPrimary()),
		Term:       position.Term(h.GetTerm()),
		Released:   h.GetReleased(),
	}
}
