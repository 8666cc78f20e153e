package platform

import (
	"context"
	"time"

	"connectrpc.com/connect"

	platformv1 "github.com/celerystep/celerystep/gen/celerystep/platform/v1"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/platform"
)

// service implements the handlers of PlatformService.
type service struct{ s *Server }

// Get returns one entry.
func (x *service) Get(
	ctx context.Context, r *connect.Request[platformv1.GetRequest],
) (*connect.Response[platformv1.GetResponse], error) {
	if err := x.s.begin(ctx, "Get"); err != nil {
		return nil, err
	}
	defer x.s.mu.Unlock()
	e, err := x.s.store.get(r.Msg.GetKey())
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&platformv1.GetResponse{Entry: wireEntry(e)}), nil
}

// List returns the entries with a prefix.
func (x *service) List(
	ctx context.Context, r *connect.Request[platformv1.ListRequest],
) (*connect.Response[platformv1.ListResponse], error) {
	if err := x.s.begin(ctx, "List"); err != nil {
		return nil, err
	}
	defer x.s.mu.Unlock()
	out := new(platformv1.ListResponse)
	for _, e := range x.s.store.list(r.Msg.GetPrefix(), int(r.Msg.GetLimit())) {
		out.Entries = append(out.Entries, wireEntry(e))
	}
	return connect.NewResponse(out), nil
}

// CompareAndSwap stores a value when the revision matches.
func (x *service) CompareAndSwap(
	ctx context.Context, r *connect.Request[platformv1.CompareAndSwapRequest],
) (*connect.Response[platformv1.CompareAndSwapResponse], error) {
	if err := x.s.begin(ctx, "CompareAndSwap"); err != nil {
		return nil, err
	}
	defer x.s.mu.Unlock()
	m := r.Msg
	e, err := x.s.store.compareAndSwap(m.GetKey(), m.GetExpectedRevision(), m.GetValue(), m.GetLeaseId())
	if err != nil {
		return nil, wireError(err)
	}
	if err := x.s.finishWriteLocked(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&platformv1.CompareAndSwapResponse{Entry: wireEntry(e)}), nil
}

// Delete removes a key when the revision matches.
func (x *service) Delete(
	ctx context.Context, r *connect.Request[platformv1.DeleteRequest],
) (*connect.Response[platformv1.DeleteResponse], error) {
	if err := x.s.begin(ctx, "Delete"); err != nil {
		return nil, err
	}
	defer x.s.mu.Unlock()
	if err := x.s.store.delete(r.Msg.GetKey(), r.Msg.GetExpectedRevision()); err != nil {
		return nil, wireError(err)
	}
	if err := x.s.finishWriteLocked(); err != nil {
		return nil, err
	}
	return connect.NewResponse(new(platformv1.DeleteResponse)), nil
}

// Watch waits for a change of one key.
func (x *service) Watch(
	ctx context.Context, r *connect.Request[platformv1.WatchRequest],
) (*connect.Response[platformv1.WatchResponse], error) {
	if err := x.s.begin(ctx, "Watch"); err != nil {
		return nil, err
	}
	defer x.s.mu.Unlock()
	wait := time.Duration(r.Msg.GetWaitMs()) * time.Millisecond
	w, err := x.s.watchLocked(ctx, r.Msg.GetKey(), r.Msg.GetAfterRevision(), wait)
	if err != nil {
		return nil, err
	}
	out := &platformv1.WatchResponse{Changed: w.changed, Deleted: w.deleted}
	if w.changed && !w.deleted {
		out.Entry = wireEntry(w.entry)
	}
	return connect.NewResponse(out), nil
}

// GrantLease creates a lease.
func (x *service) GrantLease(
	ctx context.Context, r *connect.Request[platformv1.GrantLeaseRequest],
) (*connect.Response[platformv1.GrantLeaseResponse], error) {
	if err := x.s.begin(ctx, "GrantLease"); err != nil {
		return nil, err
	}
	defer x.s.mu.Unlock()
	ttl := time.Duration(r.Msg.GetTtlMs()) * time.Millisecond
	id := x.s.store.grantLease(ttl, x.s.clock.Now())
	if err := x.s.finishWriteLocked(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&platformv1.GrantLeaseResponse{LeaseId: id}), nil
}

// KeepAlive extends a lease.
func (x *service) KeepAlive(
	ctx context.Context, r *connect.Request[platformv1.KeepAliveRequest],
) (*connect.Response[platformv1.KeepAliveResponse], error) {
	if err := x.s.begin(ctx, "KeepAlive"); err != nil {
		return nil, err
	}
	defer x.s.mu.Unlock()
	if err := x.s.store.keepAlive(r.Msg.GetLeaseId(), x.s.clock.Now()); err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(new(platformv1.KeepAliveResponse)), nil
}

// Instances returns the instance list as it was one list lag ago.
func (x *service) Instances(
	ctx context.Context, _ *connect.Request[platformv1.InstancesRequest],
) (*connect.Response[platformv1.InstancesResponse], error) {
	if err := x.s.begin(ctx, "Instances"); err != nil {
		return nil, err
	}
	defer x.s.mu.Unlock()
	out := new(platformv1.InstancesResponse)
	for _, row := range x.s.directory.view(x.s.clock.Now().Add(-x.s.faults.ListLag)) {
		out.Instances = append(out.Instances, &platformv1.Instance{
			Id:            string(row.Info.ID),
			FailureDomain: string(row.Info.FailureDomain),
			PeerAddress:   row.Info.PeerAddress,
			CallerAddress: row.Info.CallerAddress,
			Leaving:       row.Leaving,
		})
	}
	return connect.NewResponse(out), nil
}

// Register changes the instance list. It stands for the platform's scheduler, so it works during an outage and is not
// counted.
func (x *service) Register(
	_ context.Context, r *connect.Request[platformv1.RegisterRequest],
) (*connect.Response[platformv1.RegisterResponse], error) {
	i := r.Msg.GetInstance()
	if i.GetId() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNoInstance)
	}
	if r.Msg.GetRemove() {
		x.s.Unregister(instance.ID(i.GetId()))
		return connect.NewResponse(new(platformv1.RegisterResponse)), nil
	}
	x.s.Register(platform.InstanceEntry{
		Info: instance.Info{
			ID:            instance.ID(i.GetId()),
			FailureDomain: instance.FailureDomain(i.GetFailureDomain()),
			PeerAddress:   i.GetPeerAddress(),
			CallerAddress: i.GetCallerAddress(),
		},
		Leaving: i.GetLeaving(),
	})
	return connect.NewResponse(new(platformv1.RegisterResponse)), nil
}

// SetFaults replaces the fault switches. It works during an outage and is not counted.
func (x *service) SetFaults(
	_ context.Context, r *connect.Request[platformv1.SetFaultsRequest],
) (*connect.Response[platformv1.SetFaultsResponse], error) {
	f := r.Msg.GetFaults()
	x.s.SetFaults(Faults{
		Down:        f.GetDown(),
		Delay:       time.Duration(f.GetDelayMs()) * time.Millisecond,
		LoseAnswers: int(f.GetLoseAnswers()),
		ListLag:     time.Duration(f.GetListLagMs()) * time.Millisecond,
	})
	if f.GetLapseLeases() {
		x.s.LapseLeases()
	}
	return connect.NewResponse(new(platformv1.SetFaultsResponse)), nil
}

// Statistics returns the counted calls. It works during an outage and is not counted.
func (x *service) Statistics(
	context.Context, *connect.Request[platformv1.StatisticsRequest],
) (*connect.Response[platformv1.StatisticsResponse], error) {
	calls, waiting := x.s.Calls()
	return connect.NewResponse(&platformv1.StatisticsResponse{Calls: calls, WaitingWatches: uint32(waiting)}), nil
}
