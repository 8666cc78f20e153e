package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// registerMetrics registers what the audit trail and the configuration keeper know of the key-value service. The
// values are read when metrics are collected.
func (d *Daemon) registerMetrics() {
	d.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "celerystep_audit_waiting_records",
			Help: "Audit records that are not in the key-value service yet.",
		}, func() float64 { return float64(d.trail.Waiting()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "celerystep_audit_dropped_records_total",
			Help: "Audit records that never reached the key-value service.",
		}, func() float64 { return float64(d.trail.Dropped()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "celerystep_config_store_answer_age_seconds",
			Help: "Time since the key-value service last answered about the configuration; -1 before the first answer.",
		}, d.storeAnswerAge),
	)
}

func (d *Daemon) storeAnswerAge() float64 {
	at := d.keeper.LastStoreAnswer()
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Seconds()
}
