package node

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the Prometheus metrics of a node.
type Metrics struct {
	// StoreCalls counts calls to the store by kind and result.
	StoreCalls *prometheus.CounterVec
	// PeerBytes counts the bytes of calls to other instances by call and failure domain: same, other or unknown.
	PeerBytes *prometheus.CounterVec
	// StoreReturns counts the returns of the store from an older copy of its data.
	StoreReturns prometheus.Counter
}

// NewMetrics creates the metrics and registers them with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{StoreCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "celerystep_store_calls_total", Help: "Calls to the key-value service by kind and result.",
	}, []string{"kind", "result"}), PeerBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "celerystep_peer_bytes_total", Help: "Bytes of the messages of calls to other instances, in both directions, by call and failure domain.",
	}, []string{"call", "domain"}), StoreReturns: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "celerystep_store_returns_total", Help: "Returns of the key-value service from an older copy of its data.",
	})}
	r.MustRegister(m.StoreCalls, m.PeerBytes, m.StoreReturns)
	return m
}
