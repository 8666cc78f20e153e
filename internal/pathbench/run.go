package pathbench

import (
	"context"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/celerystep/celerystep/internal/ctxtime"
)

// Sample holds the figures of one run. Allocations and processor time are those of the whole process, which holds
// callers, proxies and database members; the difference to ModeDirect is what a mode adds.
type Sample struct {
	// PerSecond is the number of statements per second.
	PerSecond float64
	// Median and P99 are latencies.
	Median, P99 time.Duration
	// Allocations and Bytes are allocated heap objects and bytes per statement, CPU is processor time per statement.
	Allocations, Bytes float64
	CPU                time.Duration
	// Load is the machine's load average over one minute at the end of the run.
	Load float64
}

// phase is where a run is.
const (
	phaseWarmup int32 = iota
	phaseMeasure
	phaseEnd
)

// run measures one mode once.
func (e *environment) run(ctx context.Context, o *Options, m Mode, c *Cell) (Sample, error) {
	t, ok := e.targets[m]
	if !ok {
		return Sample{}, errors.New("no instance serves the mode")
	}
	callers := make([]*caller, 0, c.Concurrency)
	defer func() {
		for _, k := range callers {
			_ = k.conn.Close()
		}
	}()
	for i := range c.Concurrency {
		k, err := newCaller(ctx, &e.clients, t, c.Work, i)
		if err != nil {
			return Sample{}, err
		}
		callers = append(callers, k)
	}
	return measure(ctx, o, callers)
}

func measure(ctx context.Context, o *Options, callers []*caller) (Sample, error) {
	var phase atomic.Int32
	latencies := make([][]time.Duration, len(callers))
	group, ctx := errgroup.WithContext(ctx)
	for i, k := range callers {
		latencies[i] = make([]time.Duration, 0, 1<<14)
		group.Go(func() error { return k.loop(&phase, &latencies[i]) })
	}
	ctxtime.Sleep(ctx, o.Warmup)
	before := readUsage()
	phase.Store(phaseMeasure)
	ctxtime.Sleep(ctx, o.Duration)
	phase.Store(phaseEnd)
	after := readUsage()
	if err := group.Wait(); err != nil {
		return Sample{}, err
	}
	return newSample(before, after, slices.Concat(latencies...))
}

// loop sends one request after the other until the end, and notes the latencies of the measured phase.
func (c *caller) loop(phase *atomic.Int32, latencies *[]time.Duration) error {
	for {
		began := time.Now()
		if err := c.run(); err != nil {
			return err
		}
		switch phase.Load() {
		case phaseMeasure:
			*latencies = append(*latencies, time.Since(began))
		case phaseEnd:
			return nil
		}
	}
}

// usage is what the process has used so far.
type usage struct {
	at             time.Time
	mallocs, bytes uint64
	cpu            time.Duration
}

func readUsage() usage {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	cpu := time.Duration(r.Utime.Nano() + r.Stime.Nano())
	return usage{at: time.Now(), mallocs: m.Mallocs, bytes: m.TotalAlloc, cpu: cpu}
}

func newSample(before, after usage, latencies []time.Duration) (Sample, error) {
	n := len(latencies)
	if n == 0 {
		return Sample{}, errors.New("no statement was completed")
	}
	slices.Sort(latencies)
	statements := float64(n)
	return Sample{
		PerSecond:   statements / after.at.Sub(before.at).Seconds(),
		Median:      latencies[n/2],
		P99:         latencies[n*99/100],
		Allocations: float64(after.mallocs-before.mallocs) / statements,
		Bytes:       float64(after.bytes-before.bytes) / statements,
		CPU:         time.Duration(float64(after.cpu-before.cpu) / statements),
		Load:        LoadAverage(),
	}, nil
}

// LoadAverage returns the machine's load average over one minute, or 0 when it is not known.
func LoadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	v, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return v
}
