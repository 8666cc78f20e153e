package usage

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the metrics of usage reports.
type Metrics struct {
	Operations    prometheus.Counter
	Deliveries    *prometheus.CounterVec
	Fixed         prometheus.Counter
	Reports       *prometheus.CounterVec
	Late          prometheus.Counter
	Unreported    prometheus.Gauge
	Holder        prometheus.Gauge
	CheckpointLen prometheus.Gauge
	WallStep      prometheus.Gauge
}

// NewMetrics creates and registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Operations: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "celerystep_usage_operations_total", Help: "Operations (single statements or transactions) of this instance's callers that members began to run.",
		}),
		Deliveries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "celerystep_usage_deliveries_total", Help: "Deliveries of counts to the holder by result.",
		}, []string{"result"}),
		Fixed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "celerystep_usage_windows_fixed_total", Help: "Windows whose counts this instance has fixed in the store.",
		}),
		Reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "celerystep_usage_reports_total", Help: "Calls that report a window by result.",
		}, []string{"result"}),
		Late: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "celerystep_usage_late_operations_total", Help: "Operations that were delivered after the counts of their window were fixed.",
		}),
		Unreported: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "celerystep_usage_unreported_windows", Help: "Windows that are fixed and not reported, at the holder.",
		}),
		Holder: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "celerystep_usage_holder", Help: "1 while this instance holds the duty to report.",
		}),
		CheckpointLen: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "celerystep_usage_checkpoint_bytes", Help: "Size of the last state that was stored.",
		}),
		WallStep: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "celerystep_usage_wall_clock_step_seconds", Help: "How far the wall clock is ahead of the clock that numbers the windows.",
		}),
	}
	r.MustRegister(m.Operations, m.Deliveries, m.Fixed, m.Reports, m.Late, m.Unreported, m.Holder, m.CheckpointLen, m.WallStep)
	return m
}
