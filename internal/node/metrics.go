package node

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the Prometheus metrics of a node.
type Metrics struct {
	// StoreCalls counts calls to the store by kind and result.
	StoreCalls *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{StoreCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "celerystep_store_calls_total", Help: "Calls to the key-value service by kind and result.",
	}, []string{"kind", "result"})}
	r.MustRegister(m.StoreCalls)
	return m
}
