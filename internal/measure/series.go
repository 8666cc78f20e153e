package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/celerystep/celerystep/internal/check"
)

// seriesStep is the width of a step of the series.
const seriesStep = time.Second

// NewSeries returns the run over time, the warm-up included.
func NewSeries(in *Input) *Series {
	n := int((in.Duration + seriesStep - 1) / seriesStep)
	s := &Series{
		Step: seriesStep, Offered: make([]int, n), OK: make([]int, n), Refused: make([]int, n), Failed: make([]int, n),
		P50: make([]float64, n), P90: make([]float64, n), P99: make([]float64, n),
		ReplicaShare: make([]float64, n), Refusals: make(map[string][]int),
	}
	latencies := make([]*hdrhistogram.Histogram, n)
	for i := range latencies {
		latencies[i] = newHistogram()
	}
	for i := range in.History.Requests {
		q := &in.History.Requests[i]
		step := int(in.offset(q.Intended) / seriesStep)
		if step < 0 || step >= n {
			continue
		}
		s.count(step, q)
		if q.Outcome == check.OutcomeOK && q.Entitled {
			record(latencies[step], q.Latency())
		}
	}
	for i, h := range latencies {
		s.P50[i] = milliseconds(percentile(h, 50))
		s.P90[i] = milliseconds(percentile(h, 90))
		s.P99[i] = milliseconds(percentile(h, 99))
	}
	s.countReplicas(in)
	return s
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (s *Series) count(step int, q *check.Request) {
	s.Offered[step]++
	if s.Refusals[q.Customer] == nil {
		s.Refusals[q.Customer] = make([]int, len(s.Offered))
	}
	switch {
	case q.Outcome == check.OutcomeOK:
		s.OK[step]++
	case refused(q.Outcome):
		s.Refused[step]++
		s.Refusals[q.Customer][step]++
	default:
		s.Failed[step]++
	}
}

func (s *Series) countReplicas(in *Input) {
	whole := *in
	whole.Warmup = 0
	reads := make([]int, len(s.ReplicaShare))
	replica := make([]int, len(s.ReplicaShare))
	for _, r := range servedReads(&whole) {
		step := int(r.at / seriesStep)
		reads[step]++
		if r.replica {
			replica[step]++
		}
	}
	for i := range s.ReplicaShare {
		s.ReplicaShare[i] = -1
		if reads[i] > 0 {
			s.ReplicaShare[i] = float64(replica[i]) / float64(reads[i])
		}
	}
}
