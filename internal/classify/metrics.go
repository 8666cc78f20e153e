package classify

import "github.com/prometheus/client_golang/prometheus"

// Register exports what Counts and Broken report.
func (c *Classifier) Register(r prometheus.Registerer) {
	count := func(name, help string, value func() uint64) {
		o := prometheus.CounterOpts{Name: "celerystep_classify_" + name, Help: help}
		r.MustRegister(prometheus.NewCounterFunc(o, func() float64 { return float64(value()) }))
	}
	count("hits_total", "Texts whose description was in the cache.", c.hits.Load)
	count("misses_total", "Texts that were parsed.", c.misses.Load)
	count("plain_total", "Texts that were recognised without cache and grammar.", c.plain.Load)
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "celerystep_classify_broken",
		Help: "1 when the parser failed; new texts then go to the primary until the process is restarted.",
	}, func() float64 {
		if c.Broken() {
			return 1
		}
		return 0
	}))
}
