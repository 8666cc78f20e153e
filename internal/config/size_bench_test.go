package config

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkSizes measures what docs/decisions/0009-configuration.md states. Run it with
// go test -run '^$' -bench Sizes -benchmem ./internal/config
func BenchmarkSizes(b *testing.B) {
	for _, customers := range []int{8, 1_000, 4_000} {
		groups := 2_300
		if customers == 8 {
			groups = 3
		}
		c := sample(groups, customers)
		c.Version = 1
		name := fmt.Sprintf("groups=%d/customers=%d", groups, customers)
		b.Run("encode/"+name, func(b *testing.B) { benchmarkEncode(b, c) })
		b.Run("check/"+name, func(b *testing.B) {
			for b.Loop() {
				if len(Check(c)) > 0 {
					b.Fatal("sample is not valid")
				}
			}
		})
		b.Run("load/"+name, func(b *testing.B) { benchmarkLoad(b, c) })
		b.Run("apply/"+name, func(b *testing.B) { benchmarkApply(b, c) })
	}
}

func benchmarkEncode(b *testing.B, c *Cluster) {
	var e *Encoded
	for b.Loop() {
		e = encode(b, c)
	}
	largest := 0
	for _, p := range e.Chunks {
		largest = max(largest, len(p))
	}
	b.ReportMetric(float64(len(e.Chunks)), "chunks")
	b.ReportMetric(float64(len(e.Bytes)), "root-bytes")
	b.ReportMetric(float64(largest), "largest-chunk-bytes")
	b.ReportMetric(float64(e.Size()), "all-bytes")
}

// benchmarkLoad decodes, checks and indexes a configuration as a starting daemon does, and measures what stays in
// memory.
func benchmarkLoad(b *testing.B, c *Cluster) {
	e := encode(b, c)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	decoder, kept := decodeFor(b, e)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		decodeFor(b, e)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "kept-bytes")
	runtime.KeepAlive(decoder)
	runtime.KeepAlive(kept)
}

func decodeFor(b *testing.B, e *Encoded) (*Decoder, *Snapshot) {
	d := NewDecoder()
	c, err := d.Decode(e)
	if err != nil || len(Check(c)) > 0 {
		b.Fatal(err)
	}
	return d, NewSnapshot(c)
}

// benchmarkApply withdraws one key: decode of the changed chunk, whole check and new index.
func benchmarkApply(b *testing.B, c *Cluster) {
	before := encode(b, c)
	next := c.Clone()
	next.Version = 2
	next.Customers[len(next.Customers)/2].Keys[0].Withdrawn = true
	after := encode(b, next)
	fresh := 0
	for h, p := range after.Chunks {
		if before.Chunks[h] == nil {
			fresh += len(p)
		}
	}
	d := NewDecoder()
	for b.Loop() {
		b.StopTimer()
		if _, err := d.Decode(before); err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		x, err := d.Decode(after)
		if err != nil || len(Check(x)) > 0 {
			b.Fatal(err)
		}
		NewSnapshot(x)
	}
	b.ReportMetric(float64(fresh), "changed-chunk-bytes")
	b.ReportMetric(float64(len(after.Bytes)), "root-bytes")
}
