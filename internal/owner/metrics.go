package owner

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the counters and histograms of the owned groups.
type Metrics struct {
	Answers       *prometheus.CounterVec
	QueueWait     prometheus.Histogram
	PriorityWait  *prometheus.HistogramVec
	Refusals      *prometheus.CounterVec
	MemberLatency *prometheus.HistogramVec
	Promotions    prometheus.Counter
	Dials         *prometheus.CounterVec
	Probes        prometheus.Counter
	// MemberSlowdown and MemberFailures show what is known about members when groups do their housekeeping.
	MemberSlowdown *prometheus.HistogramVec
	MemberFailures *prometheus.HistogramVec
	Statements     *prometheus.CounterVec
	// Setups counts the round trips for which a statement waited until its session was set up.
	Setups *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	buckets := []float64{.001, .002, .005, .01, .02, .05, .1, .15, .25, .5, 1, 2.5}
	m := &Metrics{
		Answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "celerystep_owner_answers_total", Help: "Statements by the kind of member and the code of the answer.",
		}, []string{"member", "code"}),
		QueueWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "celerystep_owner_wait_seconds", Help: "Time that statements waited for a connection.", Buckets: buckets,
		}),
		PriorityWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "celerystep_owner_priority_wait_seconds", Help: "Time that statements waited for a connection, by the priority of the route.",
			Buckets: buckets,
		}, []string{"priority"}),
		Refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "celerystep_owner_refusals_total", Help: "Statements refused by the scheduler, by the priority of the route and the reason.",
		}, []string{"priority", "reason"}),
		MemberLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "celerystep_owner_member_seconds", Help: "Time that members took for statements.", Buckets: buckets,
		}, []string{"member"}),
		Promotions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "celerystep_owner_promotions_total", Help: "Orders to promote a member.",
		}),
		Dials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "celerystep_owner_dials_total", Help: "Connections to members by result.",
		}, []string{"result"}),
		Probes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "celerystep_owner_probes_total", Help: "Status requests to members.",
		}),
		MemberSlowdown: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "celerystep_owner_member_slowdown", Help: "Factor by which members are slower than the others, sampled every 0.5 s.",
			Buckets: []float64{1, 2, 3, 5, 10},
		}, []string{"member"}),
		MemberFailures: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "celerystep_owner_member_failure_share", Help: "Share of statements that members fail or leave unanswered, sampled every 0.5 s.",
			Buckets: []float64{.01, .1, .2, .4, .6, 1},
		}, []string{"member"}),
		Statements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "celerystep_owner_statements_total", Help: "Statements that members answered by the kind of member and its place: the failure domain of the owner or another.",
		}, []string{"member", "place"}),
		Setups: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "celerystep_owner_setups_total", Help: "Round trips that set up a session on a connection before its statement, by result.",
		}, []string{"result"}),
	}
	r.MustRegister(m.Answers, m.QueueWait, m.PriorityWait, m.Refusals, m.MemberLatency, m.Promotions, m.Dials, m.Probes, m.MemberSlowdown,
		m.MemberFailures, m.Statements, m.Setups)
	return m
}

// maxPriorityLabel is the highest priority number that metrics tell apart; it bounds their cardinality.
const maxPriorityLabel = 4

// priorityLabel returns the value of the label for a route's priority.
func priorityLabel(priority int) string {
	if priority >= maxPriorityLabel {
		return strconv.Itoa(maxPriorityLabel) + "+"
	}
	return strconv.Itoa(max(priority, 0))
}
