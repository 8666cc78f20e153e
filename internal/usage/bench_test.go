package usage

import (
	"fmt"
	"testing"
	"time"
)

const (
	benchSources   = 1200
	benchCustomers = 30
)

// benchDelivery returns counts of all customers of one source.
func benchDelivery(source, n int) Delivery {
	counts := make(Counts, benchCustomers)
	for i := range benchCustomers {
		counts[fmt.Sprintf("customer%d", (source*7+i)%600)] = uint64(n)
	}
	at := fleetStart.Add(7 * time.Second)
	return Delivery{From: Source{"i", fmt.Sprint(source)}, At: at, Through: at, Windows: []Window{{terms.At(at), counts}}}
}

// BenchmarkReceive measures the holder's work for one delivery in a fleet of 1,200 instances, without the call.
func BenchmarkReceive(b *testing.B) {
	l := NewLedger(terms)
	for i := range b.N {
		d := benchDelivery(i%benchSources, i/benchSources+1)
		l.Add(d.From, d.Through, d.Windows)
	}
}

// BenchmarkCheckpoint measures a checkpoint of 1,200 instances with two open windows.
func BenchmarkCheckpoint(b *testing.B) {
	l := NewLedger(terms)
	for i := range benchSources {
		d := benchDelivery(i, 90)
		l.Add(d.From, d.Through, d.Windows)
		d.Windows[0].ID++
		l.Add(d.From, d.Through, d.Windows)
	}
	for b.Loop() {
		value, err := EncodeState(l.Snapshot(Source{"i", "p"}, nil))
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(value)), "bytes")
	}
}
