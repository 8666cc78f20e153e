package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/celerystep/celerystep/internal/request"
)

// Metrics counts callers and their statements.
type Metrics struct {
	callers  prometheus.Gauge
	starts   *prometheus.CounterVec
	refusals *prometheus.CounterVec
	received prometheus.Counter
	sent     prometheus.Counter
	// requests holds the counters by kind and outcome, resolved once to avoid a label lookup per request.
	requests   [2][3]prometheus.Counter
	statements [2]prometheus.Counter
	retries    prometheus.Counter
}

var (
	kindNames    = [...]string{request.KindWrite: "write", request.KindRead: "read"}
	outcomeNames = [...]request.Outcome{request.OutcomeUnknown, request.OutcomeDone, request.OutcomeNotRun}
)

// NewMetrics creates the metrics and registers them unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		callers: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "celerystep_entry_callers",
			Help: "Connected callers.",
		}),
		starts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "celerystep_entry_starts_total",
			Help: "Connections by the SQLSTATE of their start-up; 00000 when it succeeded.",
		}, []string{"code"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "celerystep_entry_errors_total",
			Help: "Errors that this instance reported to callers, by SQLSTATE.",
		}, []string{"code"}),
		received: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "celerystep_entry_received_bytes_total",
			Help: "Bytes of requests from callers.",
		}),
		sent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "celerystep_entry_sent_bytes_total",
			Help: "Bytes of answers to callers.",
		}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "celerystep_entry_retries_total",
			Help: "Requests that were sent again, to another home or after a wait for one.",
		}),
	}
	requests := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "celerystep_entry_requests_total",
		Help: "Requests passed to homes, by kind and outcome.",
	}, []string{"kind", "outcome"})
	statements := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "celerystep_entry_statements_total",
		Help: "Statements in requests passed to homes, by kind.",
	}, []string{"kind"})
	for kind, name := range kindNames {
		m.statements[kind] = statements.WithLabelValues(name)
		for _, o := range outcomeNames {
			m.requests[kind][o] = requests.WithLabelValues(name, o.String())
		}
	}
	if r != nil {
		r.MustRegister(m.callers, m.starts, m.refusals, m.received, m.sent, m.retries, requests, statements)
	}
	return m
}
