package gossip

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/membership"
)

// metrics holds the control-plane metrics of this instance.
type metrics struct {
	calls       *prometheus.CounterVec
	bytes       *prometheus.CounterVec
	changes     *prometheus.CounterVec
	refutations prometheus.Counter
	pauses      prometheus.Counter
	listErrors  prometheus.Counter
	decisions   *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer, s *Service) (*metrics, error) {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "celerystep_gossip_calls_total",
			Help: "Calls of the control plane by kind, direction and result.",
		}, []string{"kind", "direction", "result"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "celerystep_gossip_body_bytes_total",
			Help: "Bytes of encoded messages of the control plane, without headers.",
		}, []string{"direction"}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "celerystep_gossip_member_changes_total",
			Help: "Changes of the state of an instance in the view of this one.",
		}, []string{"state", "cause"}),
		refutations: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "celerystep_gossip_refutations_total",
			Help: "Wrong suspicions of this instance that it refuted.",
		}),
		pauses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "celerystep_gossip_pauses_total",
			Help: "Pauses of this process that were long enough to distrust its timeouts.",
		}),
		listErrors: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "celerystep_gossip_list_errors_total",
			Help: "Failed readings of the platform's list of instances.",
		}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "celerystep_homes_decisions_total",
			Help: "Decisions about homes by action, cause and result.",
		}, []string{"action", "cause", "result"}),
	}
	collectors := []prometheus.Collector{m.calls, m.bytes, m.changes, m.refutations, m.pauses, m.listErrors, m.decisions}
	for _, state := range []instance.State{
		instance.StateLive, instance.StateSuspect, instance.StateLeaving, instance.StateDead,
	} {
		collectors = append(collectors, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "celerystep_gossip_members",
			Help:        "Instances in the view of this one by state.",
			ConstLabels: prometheus.Labels{"state": state.String()},
		}, func() float64 { return countState(s.View(), state) }))
	}
	collectors = append(collectors, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "celerystep_gossip_isolated",
		Help: "1 while this instance is cut off from the store and from most peers.",
	}, func() float64 { return boolValue(s.Isolated()) }))
	for _, c := range collectors {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func countState(v *membership.View, state instance.State) float64 {
	n := 0
	for m := range v.Members() {
		if v.State(m.ID) == state {
			n++
		}
	}
	return float64(n)
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func resultLabel(ok bool) string {
	if ok {
		return "ok"
	}
	return "failed"
}
