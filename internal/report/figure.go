package report

import (
	"time"

	"github.com/celerystep/celerystep/internal/measure"
)

// figure is a number that each run yields.
type figure struct {
	name string
	unit string
	// get returns the number, and false when the run has none.
	get func(m *measure.Measures) (float64, bool)
}

// figures lists what summaries and comparisons show, the five measures of the design page first.
var figures = []figure{
	{"replica share of reads", "", func(m *measure.Measures) (float64, bool) { return m.Replica.Share, m.Replica.Reads > 0 }},
	{"failover gap (longest)", "ms", longestGap},
	{"worst customer p99", "ms", func(m *measure.Measures) (float64, bool) { return milliseconds(m.Worst.P99), m.Worst.P99 > 0 }},
	{"worst p99 / median p99", "", func(m *measure.Measures) (float64, bool) { return m.Worst.P99Ratio, m.Worst.P99Ratio > 0 }},
	{"worst goodput / allowed", "", func(m *measure.Measures) (float64, bool) { return m.Worst.GoodputRatio, len(m.Customers) > 0 }},
	{"median goodput / allowed", "", func(m *measure.Measures) (float64, bool) { return m.Worst.MedianGoodputRatio, len(m.Customers) > 0 }},
	{"wrongful refusals", "", func(m *measure.Measures) (float64, bool) { return float64(m.Refusals.Wrongful), true }},
	{"wrongful, no fault near", "", func(m *measure.Measures) (float64, bool) { return float64(m.Refusals.WithoutFault), true }},
	{"wrongful refusals share", "%", func(m *measure.Measures) (float64, bool) { return 100 * m.Refusals.Share, m.Refusals.Entitled > 0 }},
	phaseErrors("before"), phaseErrors("during"), phaseErrors("after"),
	phaseP99("before"), phaseP99("during"), phaseP99("after"),
	{"throughput", "requests/s", func(m *measure.Measures) (float64, bool) { return m.Throughput, true }},
	{"failed requests", "", func(m *measure.Measures) (float64, bool) { return float64(m.Requests.Failed), true }},
	latency("read p50", func(m *measure.Measures) (measure.Latency, time.Duration) { return m.Reads, m.Reads.P50 }),
	latency("read p99", func(m *measure.Measures) (measure.Latency, time.Duration) { return m.Reads, m.Reads.P99 }),
	latency("write p50", func(m *measure.Measures) (measure.Latency, time.Duration) { return m.Writes, m.Writes.P50 }),
	latency("write p99", func(m *measure.Measures) (measure.Latency, time.Duration) { return m.Writes, m.Writes.P99 }),
	latency("transaction p50", func(m *measure.Measures) (measure.Latency, time.Duration) {
		return m.Transactions, m.Transactions.P50
	}),
	latency("transaction p99", func(m *measure.Measures) (measure.Latency, time.Duration) {
		return m.Transactions, m.Transactions.P99
	}),
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func longestGap(m *measure.Measures) (float64, bool) {
	longest := time.Duration(0)
	for _, g := range m.Gaps {
		longest = max(longest, g.Length)
	}
	return milliseconds(longest), len(m.Gaps) > 0
}

func phaseErrors(name string) figure {
	return figure{"errors " + name, "", func(m *measure.Measures) (float64, bool) {
		p, ok := phase(m, name)
		return float64(p.Errors), ok
	}}
}

func phaseP99(name string) figure {
	return figure{"p99 " + name, "ms", func(m *measure.Measures) (float64, bool) {
		p, ok := phase(m, name)
		return milliseconds(p.P99), ok && p.Entitled > 0
	}}
}

func phase(m *measure.Measures, name string) (measure.Phase, bool) {
	for _, p := range m.Phases {
		if p.Name == name {
			return p, true
		}
	}
	return measure.Phase{}, false
}

func latency(name string, get func(m *measure.Measures) (measure.Latency, time.Duration)) figure {
	return figure{name, "ms", func(m *measure.Measures) (float64, bool) {
		l, d := get(m)
		return milliseconds(d), l.Count > 0
	}}
}

// values returns the figure over the runs that count.
func (f *figure) values(results []*measure.Result) []float64 {
	var list []float64
	for _, r := range results {
		if r.Measures == nil {
			continue
		}
		if v, ok := f.get(r.Measures); ok {
			list = append(list, v)
		}
	}
	return list
}
