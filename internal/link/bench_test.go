package link

import (
	"context"
	"strconv"
	"testing"

	"github.com/celerystep/celerystep/internal/peer"
	"github.com/celerystep/celerystep/internal/request"
)

// BenchmarkRun measures a request with a small answer over one hop of plaintext loopback.
func BenchmarkRun(b *testing.B) {
	f := &fakeRunner{}
	c := newTestClient(b, f, Options{Timing: peer.Timing{Heartbeat: peer.HeartbeatInterval, Silence: 10e9, SlowReader: 10e9}})
	b.Run("sequential", func(b *testing.B) {
		r := newRequest("one")
		b.ReportAllocs()
		for b.Loop() {
			if res := c.Run(context.Background(), r, discard{}); res.Outcome != request.OutcomeDone {
				b.Fatal(res)
			}
		}
	})
	b.Run("parallel", func(b *testing.B) {
		var n counter
		b.SetParallelism(16)
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			r := newRequest(request.SessionID(strconv.Itoa(n.next())))
			for pb.Next() {
				if res := c.Run(context.Background(), r, discard{}); res.Outcome != request.OutcomeDone {
					b.Error(res)
				}
			}
		})
	})
}
