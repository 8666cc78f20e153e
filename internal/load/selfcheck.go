package load

import (
	"fmt"
	"math"
	"runtime"
	"runtime/metrics"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Bounds are what a run must keep for its figures to count.
type Bounds struct {
	// LagP99 bounds the 99th percentile of the time from an intended arrival to its start by an idle session. Beyond
	// it the generator offered another load than planned.
	LagP99 Duration `json:"lag_p99"`
	// CPU bounds the share of the processors' time that the whole process used. Beyond it the processors, not the
	// configured slots, were the bottleneck.
	CPU float64 `json:"cpu"`
	// ServiceExcessP95 bounds the 95th percentile of the time by which reads at the groups took longer than the
	// configured service time. Beyond it the stand-ins were slower than configured. It is not judged when the groups'
	// logs do not tell when statements ended.
	ServiceExcessP95 Duration `json:"service_excess_p95"`
	// TimerLateP99 bounds the 99th percentile of the time by which a timer of one millisecond fired late. The stand-ins
	// wait for their service time with such timers, so beyond it their slots were slower than configured.
	TimerLateP99 Duration `json:"timer_late_p99"`
}

// DefaultBounds are used where an experiment gives none.
func DefaultBounds() Bounds {
	return Bounds{
		LagP99:           Duration(10 * time.Millisecond),
		CPU:              0.85,
		ServiceExcessP95: Duration(5 * time.Millisecond),
		TimerLateP99:     Duration(5 * time.Millisecond),
	}
}

// SelfCheck is what the tool measured about itself.
type SelfCheck struct {
	LagP99           time.Duration `json:"lag_p99_ns"`
	CPU              float64       `json:"cpu"`
	ServiceExcessP95 time.Duration `json:"service_excess_p95_ns"`
	TimerLateP99     time.Duration `json:"timer_late_p99_ns"`
	// SchedulerP99 is the time that runnable goroutines waited for a processor, for information.
	SchedulerP99 time.Duration `json:"scheduler_p99_ns"`
	// Reasons say why the run does not count; empty when it does.
	Reasons []string `json:"reasons,omitempty"`
}

// Valid reports whether the run's figures count.
func (s *SelfCheck) Valid() bool { return len(s.Reasons) == 0 }

// Judge fills Reasons from the bounds.
func (s *SelfCheck) Judge(b Bounds) {
	s.Reasons = nil
	if s.LagP99 > b.LagP99.D() {
		s.Reasons = append(s.Reasons, fmt.Sprintf("the generator fell behind: scheduling lag p99 %s, bound %s",
			s.LagP99, b.LagP99.D()))
	}
	if s.CPU > b.CPU {
		s.Reasons = append(s.Reasons, fmt.Sprintf("the processors were saturated: %.0f %% used, bound %.0f %%",
			100*s.CPU, 100*b.CPU))
	}
	if s.ServiceExcessP95 > b.ServiceExcessP95.D() {
		s.Reasons = append(s.Reasons, fmt.Sprintf("the stand-in groups were slower than configured: p95 %s over the service time, bound %s",
			s.ServiceExcessP95, b.ServiceExcessP95.D()))
	}
	if s.TimerLateP99 > b.TimerLateP99.D() {
		s.Reasons = append(s.Reasons, fmt.Sprintf("the processors could not keep the stand-ins' service times: timers p99 %s late, bound %s",
			s.TimerLateP99, b.TimerLateP99.D()))
	}
}

// LagP99 returns the generator's scheduling lag over the requests whose session was idle.
func LagP99(requests []check.Request) time.Duration {
	var lags []time.Duration
	for i := range requests {
		if r := &requests[i]; r.Idle {
			lags = append(lags, r.Start.Sub(r.Intended))
		}
	}
	return quantile(lags, 0.99)
}

// ServiceExcessP95 returns by how much single reads took longer at the groups than the service time. Writes and
// transactions are left out, because they also wait for locks and replication.
func ServiceExcessP95(operations []check.Operation, statements []check.Statement, service map[upstream.GroupID]time.Duration) time.Duration {
	reads := make(map[check.StatementID]bool)
	for i := range operations {
		if op := &operations[i]; op.Kind.IsRead() && op.Transaction == 0 {
			reads[op.Statement] = true
		}
	}
	var excess []time.Duration
	for i := range statements {
		s := &statements[i]
		id, ok := s.Marker()
		if ok && reads[id] && !s.End.IsZero() {
			excess = append(excess, s.End.Sub(s.Start)-service[s.Group])
		}
	}
	return quantile(excess, 0.95)
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

// Usage samples the process's use of the processors.
type Usage struct {
	began   time.Time
	cpu     time.Duration
	waiting *metrics.Float64Histogram
	stop    chan struct{}
	stopped chan struct{}
	late    []time.Duration
}

const (
	// schedulerMetric is the runtime's histogram of the time that goroutines waited to run.
	schedulerMetric = "/sched/latencies:seconds"
	// probeTimer is the timer whose lateness is sampled, probeEvery the pause between two samples.
	probeTimer = time.Millisecond
	probeEvery = 10 * time.Millisecond
)

// StartUsage begins a sample. Stop must be called.
func StartUsage() (*Usage, error) {
	cpu, err := processorTime()
	if err != nil {
		return nil, err
	}
	u := &Usage{
		began: time.Now(), cpu: cpu, waiting: schedulerWaits(), stop: make(chan struct{}), stopped: make(chan struct{}),
	}
	go u.probe()
	return u, nil
}

// probe samples how late short timers fire.
func (u *Usage) probe() {
	defer close(u.stopped)
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	for {
		select {
		case <-u.stop:
			return
		case <-t.C:
		}
		began := time.Now()
		time.Sleep(probeTimer)
		u.late = append(u.late, time.Since(began)-probeTimer)
	}
}

// Stop ends the sample and fills in what it found.
func (u *Usage) Stop(s *SelfCheck) error {
	close(u.stop)
	<-u.stopped
	now, err := processorTime()
	if err != nil {
		return err
	}
	available := time.Since(u.began) * time.Duration(runtime.GOMAXPROCS(0))
	s.CPU = float64(now-u.cpu) / float64(available)
	s.SchedulerP99 = waitQuantile(u.waiting, schedulerWaits(), 0.99)
	s.TimerLateP99 = quantile(u.late, 0.99)
	return nil
}

func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, errors.Wrap(err, "step=getrusage")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

func schedulerWaits() *metrics.Float64Histogram {
	sample := []metrics.Sample{{Name: schedulerMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return nil
	}
	return sample[0].Value.Float64Histogram()
}

// waitQuantile returns the upper end of the bucket that holds the quantile of what came between two samples.
func waitQuantile(before, after *metrics.Float64Histogram, q float64) time.Duration {
	if before == nil || after == nil {
		return 0
	}
	total := uint64(0)
	for i := range after.Counts {
		total += after.Counts[i] - before.Counts[i]
	}
	rank := uint64(q * float64(total))
	seen := uint64(0)
	for i := range after.Counts {
		seen += after.Counts[i] - before.Counts[i]
		if seen > rank {
			upper := after.Buckets[i+1]
			if math.IsInf(upper, 1) {
				upper = after.Buckets[i]
			}
			return time.Duration(upper * float64(time.Second))
		}
	}
	return 0
}
