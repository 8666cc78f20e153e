package fleetlink

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/boottime"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/usage"
)

// fakeReceiver returns a fixed receipt and keeps the last delivery.
type fakeReceiver struct {
	receipt usage.Receipt
	last    usage.Delivery
}

func (r *fakeReceiver) Receive(d usage.Delivery) usage.Receipt {
	r.last = d
	return r.receipt
}

// startUsagePeer returns the client of a server with the receiver, and the address.
func startUsagePeer(tb testing.TB, r UsageReceiver) (*Peers, string) {
	tb.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s := NewServer(nil, nil, r, "i2", "p2")
	go func() { _ = s.Serve(l) }()
	tb.Cleanup(func() { _ = s.Close() })
	return NewPeers(boottime.Now), l.Addr().String()
}

func testDelivery(customers int) usage.Delivery {
	counts := make(usage.Counts)
	for i := range customers {
		counts[fmt.Sprint("customer", i)] = uint64(3 * i)
	}
	at := time.UnixMilli(1_700_000_000_123)
	return usage.Delivery{
		From: usage.Source{Instance: "i1", Process: "p1"}, At: at, Through: at.Add(-time.Second), Ledger: "l", Windows: []usage.Window{{ID: 7, Counts: counts}},
	}
}

// Guards against fields of a delivery, its receipt or a response that get lost between instances.
func TestUsageCallsKeepAllFields(t *testing.T) {
	is := is.New(t)
	r := &fakeReceiver{receipt: usage.Receipt{NotHolder: true, Ledger: "m", FixedThrough: 6, Shift: -time.Second, Interval: 2 * time.Second}}
	peers, address := startUsagePeer(t, r)
	d := testDelivery(3)
	receipt, err := peers.ReportUsage(context.Background(), address, d)
	is.NoErr(err)
	is.Equal(receipt, r.receipt)
	is.Equal(r.last, d)
	counted := fromResponse(toResponse(operation.Response{Began: 2, BeganAfter: time.Second}))
	is.Equal(counted.Began, uint32(2))
	is.Equal(counted.BeganAfter, time.Second)
}

// Guards against a failed call to an instance whose settings do not list the duty.
func TestUsageWithoutTheDuty(t *testing.T) {
	is := is.New(t)
	peers, address := startUsagePeer(t, nil)
	receipt, err := peers.ReportUsage(context.Background(), address, testDelivery(1))
	is.NoErr(err)
	is.True(receipt.NotHolder)
}

// BenchmarkReportUsage measures a delivery of 20 customers, the work of both sides together.
func BenchmarkReportUsage(b *testing.B) {
	peers, address := startUsagePeer(b, &fakeReceiver{})
	d := testDelivery(20)
	for b.Loop() {
		if _, err := peers.ReportUsage(context.Background(), address, d); err != nil {
			b.Fatal(err)
		}
	}
}
