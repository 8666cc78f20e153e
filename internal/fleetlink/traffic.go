package fleetlink

import (
	"context"
	"path"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/celerystep/celerystep/gen/celerystep/fleet/v1"
)

// Traffic counts the bytes of messages to and from peers.
type Traffic struct {
	// Bytes has the labels call and domain.
	Bytes *prometheus.CounterVec
	// DomainLabel returns the label of a peer's failure domain.
	DomainLabel func(address string) string
}

// interceptor counts the messages of the calls to one peer, in both directions and without headers.
func (t *Traffic) interceptor(address string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			counter := t.Bytes.WithLabelValues(callLabel(r), t.DomainLabel(address))
			counter.Add(messageSize(r.Any()))
			resp, err := next(ctx, r)
			if err == nil {
				counter.Add(messageSize(resp.Any()))
			}
			return resp, err
		}
	}
}

// callLabel returns the name of the call, with the prefix of the entries that a Follow call asks for.
func callLabel(r connect.AnyRequest) string {
	name := path.Base(r.Spec().Procedure)
	if f, ok := r.Any().(*fleetv1.FollowRequest); ok {
		return name + ":" + f.GetPrefix()
	}
	return name
}

func messageSize(m any) float64 {
	p, ok := m.(proto.Message)
	if !ok {
		return 0
	}
	return float64(proto.Size(p))
}
