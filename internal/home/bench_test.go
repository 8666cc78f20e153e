package home

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
	"github.com/celerystep/celerystep/internal/upstream/pgport"
)

// BenchmarkRead measures the overhead of the home for a read. "direct" exchanges the same messages on a connection to
// the same replica without the home. The target for the difference is less than 30 µs.
func BenchmarkRead(b *testing.B) {
	g, m := startStandIn(b, 0)
	r := query("s", "SELECT id FROM t WHERE id = 1")
	r.Kind = request.KindRead
	res, _ := run(m, r)
	r.Floor, r.HasFloor = res.Floor, true
	b.Run("home", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if res := m.Run(context.Background(), r, io.Discard); res.Outcome != request.OutcomeDone {
				b.Fatal(res)
			}
		}
	})
	b.Run("home_two_customers", func(b *testing.B) {
		other := *r
		other.Customer, other.Session = "c2", "s2"
		for i := 0; b.Loop(); i++ {
			next := r
			if i%2 == 0 {
				next = &other
			}
			if res := m.Run(context.Background(), next, io.Discard); res.Outcome != request.OutcomeDone {
				b.Fatal(res)
			}
		}
	})
	port := pgport.New(pgport.Options{})
	defer port.Close()
	conn, err := port.Dial(context.Background(), g.Upstream().Members[1], upstream.Claim{Generation: 1, Owner: "h1"})
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	b.Run("direct", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			exchangeDirect(b, conn, r.Messages)
		}
	})
}

func exchangeDirect(b *testing.B, conn upstream.Conn, p []byte) {
	conn.SetDeadline(time.Now().Add(time.Second))
	if err := conn.Send(p); err != nil {
		b.Fatal(err)
	}
	for {
		m, err := conn.Receive()
		if err != nil {
			b.Fatal(err)
		}
		if m[0] == 'Z' {
			return
		}
	}
}

// BenchmarkThroughput measures concurrent reads of many sessions with a service time of 1 ms.
func BenchmarkThroughput(b *testing.B) {
	_, m := startStandIn(b, time.Millisecond)
	for _, sessions := range []int{6, 24, 96} {
		b.Run(fmt.Sprintf("reads/%d", sessions), func(b *testing.B) {
			next := make(chan struct{})
			go func() {
				for range b.N {
					next <- struct{}{}
				}
				close(next)
			}()
			runConcurrently(sessions, func(i int) {
				r := query(fmt.Sprintf("b%d", i), "SELECT id FROM t WHERE id = 1")
				r.Kind = request.KindRead
				for range next {
					res := m.Run(context.Background(), r, io.Discard)
					if res.Outcome != request.OutcomeDone {
						b.Error(res)
					}
					r.Floor, r.HasFloor = res.Floor, true
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "reads/s")
		})
	}
}
