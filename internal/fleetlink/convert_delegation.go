package fleetlink

import (
	"time"

	fleetv1 "github.com/celerystep/celerystep/gen/celerystep/fleet/v1"
	"github.com/celerystep/celerystep/internal/delegation"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/owner"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/upstream"
)

func toReadResponse(r operation.ReadResult) *fleetv1.RunReadResponse {
	if r.Decline != delegation.DeclineNone {
		return &fleetv1.RunReadResponse{Decline: uint32(r.Decline), Charged: r.Charged}
	}
	return &fleetv1.RunReadResponse{Response: toResponse(r.Response)}
}

func fromReadResponse(r *fleetv1.RunReadResponse) operation.ReadResult {
	return operation.ReadResult{
		Response: fromResponse(r.GetResponse()), Decline: delegation.DeclineFromWire(r.GetDecline()), Charged: r.GetCharged(),
	}
}

func toBorrowRequest(g upstream.GroupID, r owner.BorrowRequest) *fleetv1.BorrowReplicaRequest {
	return &fleetv1.BorrowReplicaRequest{
		Group: string(g), Instance: string(r.Holder.Instance), Process: r.Holder.ID, Domain: string(r.Domain),
		Running: uint32(r.Running), Queued: uint32(r.Queued), Connections: uint32(r.Connections),
	}
}

func fromBorrowRequest(r *fleetv1.BorrowReplicaRequest) owner.BorrowRequest {
	return owner.BorrowRequest{
		Holder: ownership.Process{Instance: instance.ID(r.GetInstance()), ID: r.GetProcess()}, Domain: instance.FailureDomain(r.GetDomain()),
		Running: int(r.GetRunning()), Queued: int(r.GetQueued()), Connections: int(r.GetConnections()),
	}
}

func toOffer(o delegation.Offer, refusal delegation.Refusal) *fleetv1.BorrowReplicaResponse {
	if refusal != delegation.RefusalNone {
		return &fleetv1.BorrowReplicaResponse{Refusal: uint32(refusal)}
	}
	return &fleetv1.BorrowReplicaResponse{
		Member: string(o.Member), Address: o.Address, Born: o.Born,
		Connections: uint32(o.Share.Connections), Slots: uint32(o.Share.Slots), TtlMs: uint32(o.TTL.Milliseconds()), Revision: o.Revision,
		// The age is rounded up: a position must not seem to be known for a later time than it is.
		Position: toPosition(o.Position), AgeUs: uint64((o.Age + time.Microsecond - 1) / time.Microsecond),
	}
}

func fromOffer(r *fleetv1.BorrowReplicaResponse) (delegation.Offer, delegation.Refusal) {
	if r.GetRefusal() != 0 {
		return delegation.Offer{}, delegation.RefusalFromWire(r.GetRefusal())
	}
	o := delegation.Offer{
		Member: upstream.MemberID(r.GetMember()), Address: r.GetAddress(), Born: r.GetBorn(),
		Share: delegation.Share{Connections: int(r.GetConnections()), Slots: int(r.GetSlots())},
		TTL:   time.Duration(r.GetTtlMs()) * time.Millisecond, Revision: r.GetRevision(),
	}
	if age := r.GetAgeUs(); age <= maxAgeUs {
		o.Position, o.Age = fromPosition(r.GetPosition()), time.Duration(age)*time.Microsecond
	}
	return o, delegation.RefusalNone
}

// maxAgeUs is the age in microseconds from which a position is ignored. A shortened age would make it seem known for a later
// time than it is.
const maxAgeUs = 3_600_000_000
