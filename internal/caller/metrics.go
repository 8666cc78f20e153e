package caller

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/celerystep/celerystep/internal/statement"
)

// Metrics are the metrics of callers' sessions and statements.
type Metrics struct {
	Sessions  prometheus.Gauge
	Rejected  *prometheus.CounterVec
	Answers   *prometheus.CounterVec
	Durations *prometheus.HistogramVec
	// DelegateReads counts reads and statements of read-only transactions that were sent to a delegate, by outcome: served, aborted, or
	// the cause of a decline.
	DelegateReads *prometheus.CounterVec
	// Panics counts sessions that were ended by a panic.
	Panics prometheus.Counter
}

// NewMetrics creates and registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Sessions: prometheus.NewGauge(prometheus.GaugeOpts{Name: "celerystep_caller_sessions", Help: "Open sessions."}),
		Rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "celerystep_caller_rejected_total", Help: "Sessions that were not opened, by code.",
		}, []string{"code"}),
		Answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "celerystep_caller_answers_total", Help: "Statements by kind and code of the answer.",
		}, []string{"kind", "code"}),
		Durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "celerystep_caller_seconds", Help: "Time from a statement's arrival to its answer.",
			Buckets: []float64{.002, .005, .01, .02, .05, .1, .15, .25, .5, 1, 2.5},
		}, []string{"kind"}),
		DelegateReads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "celerystep_caller_delegate_reads_total", Help: "Reads and statements of read-only transactions sent to the delegate of their group, by outcome.",
		}, []string{"outcome"}),
		Panics: prometheus.NewCounter(prometheus.CounterOpts{Name: "celerystep_caller_panics_total", Help: "Sessions that were ended by a panic."}),
	}
	r.MustRegister(m.Sessions, m.Rejected, m.Answers, m.Durations, m.DelegateReads, m.Panics)
	return m
}

// observe counts an answer. The duration is recorded only for statements that are sent to an owner.
func (m *Metrics) observe(k statement.Kind, c statement.Code, d time.Duration) {
	m.Answers.WithLabelValues(k.String(), c.String()).Inc()
	switch k {
	case statement.KindRead, statement.KindWrite, statement.KindExecute, statement.KindCommit:
		m.Durations.WithLabelValues(k.String()).Observe(d.Seconds())
	}
}
