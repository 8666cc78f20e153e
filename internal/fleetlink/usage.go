package fleetlink

import (
	"context"
	"time"

	"connectrpc.com/connect"

	fleetv1 "github.com/celerystep/celerystep/gen/celerystep/fleet/v1"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/usage"
)

// UsageReceiver takes the counts of other instances.
type UsageReceiver interface {
	Receive(d usage.Delivery) usage.Receipt
}

// ReportUsage implements usage.Peers.
func (p *Peers) ReportUsage(ctx context.Context, address string, d usage.Delivery) (usage.Receipt, error) {
	peer := p.At(address)
	ctx, done, err := peer.health.startCall(ctx)
	if err != nil {
		return usage.Receipt{}, err
	}
	defer done()
	started := time.Now()
	resp, err := peer.client.ReportUsage(ctx, connect.NewRequest(toDelivery(d)))
	if err != nil {
		return usage.Receipt{}, peer.classifyError(err, started)
	}
	return fromReceipt(resp.Msg), nil
}

// ReportUsage implements fleetv1connect.FleetServiceHandler.
func (h *handler) ReportUsage(_ context.Context, r *connect.Request[fleetv1.ReportUsageRequest]) (*connect.Response[fleetv1.ReportUsageResponse], error) {
	if h.usage == nil {
		return connect.NewResponse(&fleetv1.ReportUsageResponse{NotHolder: true}), nil
	}
	return connect.NewResponse(toReceipt(h.usage.Receive(fromDelivery(r.Msg)))), nil
}

func toDelivery(d usage.Delivery) *fleetv1.ReportUsageRequest {
	return &fleetv1.ReportUsageRequest{
		Instance: string(d.From.Instance), Process: d.From.Process, AtMs: d.At.UnixMilli(), ThroughMs: d.Through.UnixMilli(),
		Ledger: d.Ledger, Windows: usage.ToWindows(d.Windows),
	}
}

func fromDelivery(r *fleetv1.ReportUsageRequest) usage.Delivery {
	return usage.Delivery{
		From: usage.Source{Instance: instance.ID(r.GetInstance()), Process: r.GetProcess()},
		At:   time.UnixMilli(r.GetAtMs()), Through: time.UnixMilli(r.GetThroughMs()),
		Ledger: r.GetLedger(), Windows: usage.FromWindows(r.GetWindows()),
	}
}

func toReceipt(r usage.Receipt) *fleetv1.ReportUsageResponse {
	return &fleetv1.ReportUsageResponse{
		NotHolder: r.NotHolder, Ledger: r.Ledger, FixedThrough: uint64(r.FixedThrough), ShiftMs: r.Shift.Milliseconds(),
		IntervalMs: uint32(r.Interval.Milliseconds()),
	}
}

func fromReceipt(r *fleetv1.ReportUsageResponse) usage.Receipt {
	return usage.Receipt{
		NotHolder: r.GetNotHolder(), Ledger: r.GetLedger(), FixedThrough: usage.WindowID(r.GetFixedThrough()),
		Shift:    time.Duration(r.GetShiftMs()) * time.Millisecond,
		Interval: time.Duration(r.GetIntervalMs()) * time.Millisecond,
	}
}
