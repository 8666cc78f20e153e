package fleetlink

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/delegation"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/owner"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/statement"
)

// Guards against fields that are lost between a delegate and an owner or a caller's instance, and against a position that seems
// to be known for a later time than it is.
func TestDelegationMessages(t *testing.T) {
	is := is.New(t)
	offer := delegation.Offer{
		Member: "m", Address: "a:1", Born: 3, Share: delegation.Share{Connections: 66, Slots: 3}, TTL: delegation.TTL, Revision: 9,
		Position: position.Position{Term: 2, LSN: 7}, Age: 1500*time.Microsecond + time.Nanosecond,
	}
	got, refusal := fromOffer(toOffer(offer, delegation.RefusalNone))
	is.Equal(refusal, delegation.RefusalNone)
	is.Equal(got.Age, 1501*time.Microsecond)
	got.Age = offer.Age
	is.Equal(got, offer)
	offer.Age = 2 * time.Hour
	got, _ = fromOffer(toOffer(offer, delegation.RefusalNone))
	is.True(got.Position.IsZero() || got.Age >= offer.Age)
	_, refusal = fromOffer(toOffer(delegation.Offer{}, delegation.RefusalHeld))
	is.Equal(refusal, delegation.RefusalHeld)

	r := owner.BorrowRequest{Holder: ownership.Process{Instance: "i", ID: "p"}, Domain: "d", Running: 1, Queued: 2, Connections: 3}
	is.Equal(fromBorrowRequest(toBorrowRequest("g", r)), r)
	declined := operation.ReadResult{Decline: delegation.DeclineFailed, Charged: true}
	is.Equal(fromReadResponse(toReadResponse(declined)), declined)
	served := operation.ReadResult{Response: operation.Response{Answer: statement.Answer{Rows: []string{"1"}}, CatalogRevision: 4}}
	is.Equal(fromReadResponse(toReadResponse(served)), served)
	is.Equal(delegation.DeclineFromWire(200), delegation.DeclineFailed) // a cause that this version does not know
	is.True(delegation.RefusalFromWire(200) != delegation.RefusalNone)
	is.True(fromRequest(toRequest(&operation.Request{Charged: true})).Charged)
}
