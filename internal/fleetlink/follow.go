package fleetlink

import (
	"context"
	"time"

	"connectrpc.com/connect"

	fleetv1 "github.com/celerystep/celerystep/gen/celerystep/fleet/v1"
	"github.com/celerystep/celerystep/internal/fanout"
	"github.com/celerystep/celerystep/internal/mirror"
)

// Follow implements fanout.Peers. It uses a connection of its own, so that a large value does not delay statements.
func (p *Peers) Follow(ctx context.Context, address string, r fanout.Request) (fanout.Answer, error) {
	peer, started := p.At(address), time.Now()
	resp, err := peer.bulk.Follow(ctx, connect.NewRequest(toFollowRequest(r)))
	if err != nil {
		return fanout.Answer{}, peer.classifyError(err, started)
	}
	return fromFollowResponse(resp.Msg), nil
}

func toFollowRequest(r fanout.Request) *fleetv1.FollowRequest {
	return &fleetv1.FollowRequest{Prefix: r.Prefix, After: r.After, AtLeast: r.AtLeast, WaitMs: uint32(r.Wait.Milliseconds())}
}

func fromFollowRequest(r *fleetv1.FollowRequest) fanout.Request {
	return fanout.Request{
		Prefix: r.GetPrefix(), After: r.GetAfter(), AtLeast: r.GetAtLeast(), Wait: time.Duration(r.GetWaitMs()) * time.Millisecond,
	}
}

func toFollowResponse(a fanout.Answer) *fleetv1.FollowResponse {
	resp := &fleetv1.FollowResponse{
		Changes:  make([]*fleetv1.FollowChange, len(a.Changes)),
		Revision: a.Revision,
		// Rounded up: content must never seem younger than it is.
		AgeMs:     uint32((a.Age + time.Millisecond - 1) / time.Millisecond),
		Compacted: a.Compacted,
	}
	for i, c := range a.Changes {
		resp.Changes[i] = &fleetv1.FollowChange{
			Key: c.Key, Value: c.Value, GzipValue: c.Compressed, Revision: c.Revision, Created: c.Created, Deleted: c.Deleted,
		}
	}
	return resp
}

func fromFollowResponse(r *fleetv1.FollowResponse) fanout.Answer {
	a := fanout.Answer{
		Changes:   make([]fanout.Change, len(r.GetChanges())),
		Revision:  r.GetRevision(),
		Age:       time.Duration(r.GetAgeMs()) * time.Millisecond,
		Compacted: r.GetCompacted(),
	}
	for i, c := range r.GetChanges() {
		entry := mirror.Entry{Key: c.GetKey(), Value: c.GetValue(), Revision: c.GetRevision(), Created: c.GetCreated()}
		a.Changes[i] = fanout.Change{Event: mirror.Event{Entry: entry, Deleted: c.GetDeleted()}, Compressed: c.GetGzipValue()}
	}
	return a
}
