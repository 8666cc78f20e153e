package gossip

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/membership"
)

// startCalls starts the calls returned by the state machine. Each result is passed back to it exactly once.
func (s *Service) startCalls(ctx context.Context, calls []membership.Call) {
	for _, c := range calls {
		started := s.calls.TryGo(func() error {
			reply := s.send(ctx, c)
			s.step(ctx, func(now time.Time) []membership.Call { return s.machine.HandleReply(now, c, reply) })
			return nil
		})
		if !started {
			s.log.Warn("too many calls to peers are running", "kind", c.Kind.String(), "peer", c.To.ID)
			s.step(ctx, func(now time.Time) []membership.Call { return s.machine.HandleReply(now, c, membership.Reply{}) })
		}
	}
}

// send makes one call and waits for the answer.
func (s *Service) send(ctx context.Context, c membership.Call) membership.Reply {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	reply, err := s.call(ctx, c)
	s.metrics.calls.WithLabelValues(c.Kind.String(), "sent", resultLabel(err == nil)).Inc()
	if err != nil {
		s.log.Debug("call to peer failed", "kind", c.Kind.String(), "peer", c.To.ID, "error", err)
	}
	return reply
}

func (s *Service) call(ctx context.Context, c membership.Call) (membership.Reply, error) {
	if !c.Kind.IsProbe() {
		request := toProto(c.Message)
		s.countBytes("sent", request)
		answer, err := s.opts.Transport.Gossip(ctx, c.To, request)
		if err != nil {
			return membership.Reply{}, err
		}
		s.countBytes("received", answer)
		return membership.Reply{OK: true, Message: fromProto(answer.GetState())}, nil
	}
	request := &peerv1.ProbeRequest{From: string(s.opts.Self.ID), Target: string(c.Target), News: toProto(c.Message)}
	s.countBytes("sent", request)
	answer, err := s.opts.Transport.Probe(ctx, c.To, request)
	if err != nil {
		return membership.Reply{}, err
	}
	s.countBytes("received", answer)
	return membership.Reply{OK: true, Reached: answer.GetReached(), Message: fromProto(answer.GetNews())}, nil
}

func (s *Service) countBytes(direction string, m proto.Message) {
	s.metrics.bytes.WithLabelValues(direction).Add(float64(proto.Size(m)))
}

// Gossip answers a push, a pull or an exchange of a peer. It implements peerv1connect.PeerServiceHandler.
func (s *Service) Gossip(
	ctx context.Context, r *connect.Request[peerv1.GossipRequest],
) (*connect.Response[peerv1.GossipResponse], error) {
	s.countBytes("received", r.Msg)
	s.metrics.calls.WithLabelValues("gossip", "received", resultLabel(true)).Inc()
	var reply *membership.Message
	s.step(ctx, func(now time.Time) []membership.Call {
		reply = s.machine.Gossip(now, fromProto(r.Msg))
		return nil
	})
	answer := &peerv1.GossipResponse{State: toProto(reply)}
	s.countBytes("sent", answer)
	return connect.NewResponse(answer), nil
}

// Probe answers a probe of a peer, or probes the target on the peer's behalf. It implements
// peerv1connect.PeerServiceHandler.
func (s *Service) Probe(
	ctx context.Context, r *connect.Request[peerv1.ProbeRequest],
) (*connect.Response[peerv1.ProbeResponse], error) {
	s.countBytes("received", r.Msg)
	s.metrics.calls.WithLabelValues("probe", "received", resultLabel(true)).Inc()
	var reply *membership.Message
	s.step(ctx, func(now time.Time) []membership.Call {
		reply = s.machine.Probe(now, fromProto(r.Msg.GetNews()))
		return nil
	})
	answer := &peerv1.ProbeResponse{Reached: true, News: toProto(reply)}
	if target := instance.ID(r.Msg.GetTarget()); target != "" {
		answer.Reached = s.relay(ctx, target)
	}
	s.countBytes("sent", answer)
	return connect.NewResponse(answer), nil
}

// relay probes a target on behalf of a peer.
func (s *Service) relay(ctx context.Context, target instance.ID) bool {
	var call membership.Call
	known := false
	s.step(ctx, func(now time.Time) []membership.Call {
		call, known = s.machine.RelayProbe(now, target)
		return nil
	})
	if !known {
		return false
	}
	reply := s.send(ctx, call)
	s.step(ctx, func(now time.Time) []membership.Call { return s.machine.HandleReply(now, call, reply) })
	return reply.OK
}
