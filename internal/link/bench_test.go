package link

import (
	"context"
	"runtime"
	"strconv"
	"testing"

	"github.com/celerystep/celerystep/internal/peer"
	"github.com/celerystep/celerystep/internal/request"
)

// BenchmarkRun measures a request with a small answer over plaintext HTTP/2 on loopback.
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

// BenchmarkStreamMemory measures the memory of one stream, including both ends and their connections. Run it with
// -benchtime=1x.
func BenchmarkStreamMemory(b *testing.B) {
	const streams = 200
	for b.Loop() {
		s := newTestServer(b, &fakeRunner{}, slowOptions.Timing)
		before := inUse()
		clients := make([]*Client, streams)
		for i := range clients {
			o := slowOptions
			o.Streams = 1
			clients[i] = NewClient("home", s.address, o)
			if res := clients[i].Run(context.Background(), newRequest("s"), discard{}); res.Outcome != request.OutcomeDone {
				b.Fatal(res)
			}
		}
		b.ReportMetric(float64(inUse()-before)/streams, "B/stream")
		for _, c := range clients {
			c.Close()
		}
	}
}

func inUse() int64 {
	for range 4 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
