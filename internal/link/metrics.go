package link

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of the streams to other instances.
type Metrics struct {
	streams   prometheus.Gauge
	failures  prometheus.Counter
	roundTrip prometheus.Histogram
}

// NewMetrics creates the metrics and registers them with r unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		streams: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "celerystep_link_streams",
			Help: "Open streams to other instances.",
		}),
		failures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "celerystep_link_failures_total",
			Help: "Streams to other instances that ended with an error.",
		}),
		roundTrip: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "celerystep_link_round_trip_seconds",
			Help:    "Time from a heartbeat to its answer.",
			Buckets: prometheus.ExponentialBuckets(50e-6, 2, 15),
		}),
	}
	if r != nil {
		r.MustRegister(m.streams, m.failures, m.roundTrip)
	}
	return m
}
