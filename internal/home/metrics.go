package home

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/celerystep/celerystep/internal/pool"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

// latencyBuckets are histogram buckets from 100 µs to 10 s.
var latencyBuckets = []float64{.0001, .00025, .0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10}

// metrics holds the collectors of all groups of a manager.
type metrics struct {
	statements     *prometheus.CounterVec
	reads          *prometheus.CounterVec
	queueWait      *prometheus.HistogramVec
	refusals       *prometheus.CounterVec
	commitWait     *prometheus.HistogramVec
	primaryChanges *prometheus.CounterVec
	writeGap       *prometheus.HistogramVec
	connections    *prometheus.GaugeVec
	tokens         *prometheus.CounterVec
	retries        *prometheus.CounterVec
	roundsStarted  *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "celerystep_" + name, Help: help}, labels)
	}
	histogram := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "celerystep_" + name, Help: help, Buckets: latencyBuckets}, []string{"group"})
	}
	m := &metrics{
		statements:     counter("statements_total", "Requests by customer, kind and outcome.", "group", "customer", "kind", "outcome"),
		reads:          counter("reads_total", "Reads by the role of the member that served them.", "group", "role"),
		queueWait:      histogram("queue_wait_seconds", "Time from arrival to a slot."),
		refusals:       counter("refusals_total", "Requests refused without running, by SQLSTATE.", "group", "customer", "code"),
		commitWait:     histogram("commit_acknowledgement_seconds", "Time from a commit's answer to its quorum receipt."),
		primaryChanges: counter("primary_changes_total", "Announced changes of primary.", "group"),
		writeGap:       histogram("write_gap_seconds", "Time without a primary that takes writes."),
		connections:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "celerystep_connections", Help: "Statement connections by state."}, []string{"group", "state"}),
		tokens:         counter("admitted_tokens_total", "Tokens taken from buckets that live here.", "group", "customer"),
		retries:        counter("retries_total", "Failed attempts by the decision on them.", "group", "reason"),
		roundsStarted:  counter("status_rounds_total", "Status rounds sent to all members.", "group"),
	}
	if r != nil {
		r.MustRegister(m.statements, m.reads, m.queueWait, m.refusals, m.commitWait, m.primaryChanges, m.writeGap,
			m.connections, m.tokens, m.retries, m.roundsStarted)
	}
	return m
}

// groupMetrics holds the resolved collectors of one group, which saves label lookups in the request path.
type groupMetrics struct {
	all            *metrics
	group          string
	replicaReads   prometheus.Counter
	primaryReads   prometheus.Counter
	queueWait      prometheus.Observer
	commitWait     prometheus.Observer
	writeGap       prometheus.Observer
	primaryChanges prometheus.Counter
	rounds         prometheus.Counter
}

func (m *metrics) group(id upstream.GroupID) *groupMetrics {
	g := string(id)
	return &groupMetrics{
		all:            m,
		group:          g,
		replicaReads:   m.reads.WithLabelValues(g, "replica"),
		primaryReads:   m.reads.WithLabelValues(g, "primary"),
		queueWait:      m.queueWait.WithLabelValues(g),
		commitWait:     m.commitWait.WithLabelValues(g),
		writeGap:       m.writeGap.WithLabelValues(g),
		primaryChanges: m.primaryChanges.WithLabelValues(g),
		rounds:         m.roundsStarted.WithLabelValues(g),
	}
}

// outcomes is the number of values of request.Outcome.
const outcomes = 3

// customerMetrics counts the requests of one customer by kind and outcome.
type customerMetrics struct {
	statements [2][outcomes]prometheus.Counter
	tokens     prometheus.Counter
}

func (m *groupMetrics) customer(name string) *customerMetrics {
	c := &customerMetrics{tokens: m.all.tokens.WithLabelValues(m.group, name)}
	for kind, label := range []string{request.KindWrite: "write", request.KindRead: "read"} {
		for o := range outcomes {
			c.statements[kind][o] = m.all.statements.WithLabelValues(m.group, name, label, request.Outcome(o).String())
		}
	}
	return c
}

// recordResult counts a finished request.
func (m *groupMetrics) recordResult(c *customerMetrics, r *request.Request, res *request.Result) {
	if c != nil {
		c.statements[r.Kind&1][int(res.Outcome)%outcomes].Inc()
	}
	if res.Outcome == request.OutcomeNotRun && res.Code != "" {
		m.all.refusals.WithLabelValues(m.group, customerLabel(c, r), res.Code).Inc()
	}
	if r.Kind != request.KindRead || res.Outcome != request.OutcomeDone {
		return
	}
	if res.Replica {
		m.replicaReads.Inc()
	} else {
		m.primaryReads.Inc()
	}
}

// customerLabel returns the customer label. Customers that are not in the configuration share one label, because names
// sent by callers are unbounded.
func customerLabel(c *customerMetrics, r *request.Request) string {
	if c == nil {
		return "unknown"
	}
	return r.Customer
}

func (m *groupMetrics) recordRetry(reason string) {
	m.all.retries.WithLabelValues(m.group, reason).Inc()
}

func (m *groupMetrics) recordPrimaryChange(gap time.Duration) {
	m.primaryChanges.Inc()
	m.writeGap.Observe(gap.Seconds())
}

func (m *groupMetrics) pool(p *pool.Pool) {
	for s := pool.StateOpening; s <= pool.StateClosing; s++ {
		m.all.connections.WithLabelValues(m.group, s.String()).Set(float64(p.Count(s)))
	}
}

// deleteGauges removes the group's gauges after its home role has ended.
func (m *groupMetrics) deleteGauges() {
	m.all.connections.DeletePartialMatch(prometheus.Labels{"group": m.group})
}
