package intake

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
)

// Cause names the limit that a client has met.
type Cause string

// Limits that close a connection, or refuse one.
const (
	CauseSessions  Cause = "sessions"
	CauseStarting  Cause = "starting"
	CauseStart     Cause = "start"
	CauseMessage   Cause = "message"
	CauseResponse  Cause = "response"
	CauseStalled   Cause = "memory_stalled"
	CauseHeaviest  Cause = "memory_heaviest"
	CauseExhausted Cause = "memory_exhausted"
	CausePeerConns Cause = "peer_connections"
	CausePeerCalls Cause = "peer_calls"
	CauseProbes    Cause = "probe_connections"
)

// logInterval is the shortest time between two log lines on one limit.
const logInterval = time.Second

// reporter counts the clients that meet a limit and logs a bounded part of them.
type reporter struct {
	log     hclog.Logger
	counter *prometheus.CounterVec

	mu   sync.Mutex
	last map[Cause]*reported
}

// reported is the last log line on a limit and the number of clients since.
type reported struct {
	at      time.Time
	omitted int
}

func newReporter(log hclog.Logger, r prometheus.Registerer) *reporter {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "celerystep_intake_limited_total", Help: "Connections and calls that were closed or refused because of a limit on clients.",
	}, []string{"limit"})
	r.MustRegister(c)
	return &reporter{log: log, counter: c, last: make(map[Cause]*reported)}
}

// limited reports that a client has met a limit.
func (r *reporter) limited(cause Cause, peer string, held int64) {
	r.counter.WithLabelValues(string(cause)).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.last[cause]
	if last == nil {
		last = &reported{}
		r.last[cause] = last
	}
	now := time.Now()
	if now.Sub(last.at) < logInterval {
		last.omitted++
		return
	}
	r.log.Warn("client limited", "limit", cause, "client", peer, "held_bytes", held, "not_logged", last.omitted)
	last.at, last.omitted = now, 0
}
