package pathbench

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"
)

// Cell holds the runs of all modes with one workload, concurrency and service time.
type Cell struct {
	Service     time.Duration
	Work        Work
	Concurrency int
	Runs        map[Mode][]Sample
}

// spread is the median of repeats with minimum and maximum.
type spread[T cmp.Ordered] struct{ median, low, high T }

func spreadOf[T cmp.Ordered](samples []Sample, f func(Sample) T) spread[T] {
	var s spread[T]
	if len(samples) == 0 {
		return s
	}
	values := make([]T, len(samples))
	for i, v := range samples {
		values[i] = f(v)
	}
	slices.Sort(values)
	return spread[T]{values[len(values)/2], values[0], values[len(values)-1]}
}

// ratios compares each repeat with the direct run of the same turn.
func (c *Cell) ratios(m Mode) spread[float64] {
	direct := c.Runs[ModeDirect]
	var list []Sample
	for i, s := range c.Runs[m] {
		if i < len(direct) {
			list = append(list, Sample{PerSecond: s.PerSecond / direct[i].PerSecond})
		}
	}
	return spreadOf(list, func(s Sample) float64 { return s.PerSecond })
}

// Header writes the head of the Markdown table whose rows Cell.Write writes.
func Header(w io.Writer) error {
	_, err := fmt.Fprintln(w, "| Service | Work | Callers | Mode | Statements/s (min-max) | Ratio to direct (min-max) | "+
		"p50 us (min-max) | Added p50 us | p99 us | Allocations | Bytes | CPU us | Load |\n"+
		"|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	return err
}

// Write writes a row for each mode that was run. Allocations, bytes and processor time are per statement.
func (c *Cell) Write(w io.Writer) error {
	direct := spreadOf(c.Runs[ModeDirect], func(s Sample) time.Duration { return s.Median })
	for _, m := range Modes() {
		runs := c.Runs[m]
		if len(runs) == 0 {
			continue
		}
		rate := spreadOf(runs, func(s Sample) float64 { return s.PerSecond })
		ratio := c.ratios(m)
		p50 := spreadOf(runs, func(s Sample) time.Duration { return s.Median })
		p99 := spreadOf(runs, func(s Sample) time.Duration { return s.P99 })
		allocations := spreadOf(runs, func(s Sample) float64 { return s.Allocations })
		bytes := spreadOf(runs, func(s Sample) float64 { return s.Bytes })
		cpu := spreadOf(runs, func(s Sample) time.Duration { return s.CPU })
		load := spreadOf(runs, func(s Sample) float64 { return s.Load })
		_, err := fmt.Fprintf(w, "| %s | %s | %d | %s | %.0f (%.0f-%.0f) | %.2f (%.2f-%.2f) | %d (%d-%d) | %d | %d | %.0f | %.0f | %d | %.1f |\n",
			c.Service, c.Work, c.Concurrency, m, rate.median, rate.low, rate.high, ratio.median, ratio.low, ratio.high,
			p50.median.Microseconds(), p50.low.Microseconds(), p50.high.Microseconds(), (p50.median - direct.median).Microseconds(),
			p99.median.Microseconds(), allocations.median, bytes.median, cpu.median.Microseconds(), load.high)
		if err != nil {
			return err
		}
	}
	return nil
}
