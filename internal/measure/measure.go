package measure

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Histograms hold microseconds from 1 to histogramMax with three significant digits.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// minEntitled is the least number of entitled requests for which a customer's percentiles are compared.
const minEntitled = 100

// noCode stands for the SQLSTATE of a request whose connection broke or never came about.
const noCode = "none"

// Input is what the measures are computed from.
type Input struct {
	History *check.Input
	Marks   []Mark
	// Warmup and Duration count from History.Start; requests are taken by intended arrival between them.
	Warmup   time.Duration
	Duration time.Duration
	// Timeout is what an entitled request that did not succeed counts as.
	Timeout   time.Duration
	Contracts []load.ContractChange
}

// offset returns the time since the start of the run.
func (in *Input) offset(t time.Time) time.Duration { return t.Sub(in.History.Start) }

// requests returns the requests that count.
func (in *Input) requests() []*check.Request {
	var list []*check.Request
	for i := range in.History.Requests {
		q := &in.History.Requests[i]
		if at := in.offset(q.Intended); at >= in.Warmup && at < in.Duration {
			list = append(list, q)
		}
	}
	return list
}

// Compute returns the measures of a run.
func Compute(in *Input) *Measures {
	requests := in.requests()
	seconds := (in.Duration - in.Warmup).Seconds()
	m := &Measures{FailedByCode: make(map[string]int)}
	reads, writes, transactions := newHistogram(), newHistogram(), newHistogram()
	for _, q := range requests {
		m.Requests.add(q.Outcome)
		if q.Outcome != check.OutcomeOK && !refused(q.Outcome) {
			m.FailedByCode[cmp.Or(q.Code, noCode)]++
		}
		if q.Outcome != check.OutcomeOK || !q.Entitled {
			continue
		}
		switch {
		case q.Statements > 1:
			record(transactions, q.Latency())
		case q.Write:
			record(writes, q.Latency())
		default:
			record(reads, q.Latency())
		}
	}
	m.Throughput = float64(m.Requests.OK) / seconds
	m.Reads, m.Writes, m.Transactions = summarise(reads), summarise(writes), summarise(transactions)
	m.Replica = replicaShare(in)
	m.Gaps = gaps(in)
	m.Customers = customers(in, requests)
	m.Worst = worst(m.Customers)
	m.Refusals = refusals(in, requests)
	m.Phases = phases(in, requests)
	return m
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

// record adds a latency; one beyond the range counts as its end.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

func percentile(h *hdrhistogram.Histogram, p float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(p)) * time.Microsecond
}

func summarise(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(),
		P50:   percentile(h, 50), P90: percentile(h, 90), P99: percentile(h, 99), P999: percentile(h, 99.9),
		Max: time.Duration(h.Max()) * time.Microsecond,
	}
}

// servedRead is a read outside read-write transactions as a group's log shows it.
type servedRead struct {
	at      time.Duration
	replica bool
}

// servedReads returns each read once, by the execution that began last: the one whose answer counted.
func servedReads(in *Input) []servedRead {
	eligible := make(map[check.StatementID]bool)
	for i := range in.History.Operations {
		op := &in.History.Operations[i]
		if op.Kind.IsRead() && (op.Transaction == 0 || op.ReadOnly) {
			eligible[op.Statement] = true
		}
	}
	last := make(map[check.StatementID]*check.Statement)
	for i := range in.History.Statements {
		s := &in.History.Statements[i]
		id, ok := s.Marker()
		at := in.offset(s.Start)
		if !ok || !eligible[id] || s.Code != "" || at < in.Warmup || at >= in.Duration {
			continue
		}
		if last[id] == nil || s.Start.After(last[id].Start) {
			last[id] = s
		}
	}
	reads := make([]servedRead, 0, len(last))
	for _, s := range last {
		reads = append(reads, servedRead{in.offset(s.Start), s.Role == upstream.RoleReplica})
	}
	return reads
}

func replicaShare(in *Input) ReplicaShare {
	var r ReplicaShare
	for _, s := range servedReads(in) {
		r.Reads++
		if s.replica {
			r.Replica++
		}
	}
	if r.Reads > 0 {
		r.Share = float64(r.Replica) / float64(r.Reads)
	}
	return r
}

// acknowledgedWrites returns the moments of acknowledged writes by group, in order.
func acknowledgedWrites(in *Input) map[upstream.GroupID][]time.Duration {
	acks := make(map[upstream.GroupID][]time.Duration)
	for i := range in.History.Operations {
		op := &in.History.Operations[i]
		single := op.Kind.IsWrite() && op.Transaction == 0
		commit := op.Kind == check.KindCommit && !op.ReadOnly
		if op.Outcome == check.OutcomeOK && (single || commit) {
			acks[op.Group] = append(acks[op.Group], in.offset(op.Return))
		}
	}
	for _, list := range acks {
		slices.Sort(list)
	}
	return acks
}

// gaps returns for each interruption and group the longest time without an acknowledged write between it and the next
// one on the same group or the end of the load.
func gaps(in *Input) []Gap {
	acks := acknowledgedWrites(in)
	groups := slices.Sorted(maps.Keys(acks))
	var list []Gap
	for i, m := range in.Marks {
		if !m.Interrupts || m.Error != "" {
			continue
		}
		for _, g := range groups {
			if m.Group != "" && m.Group != g {
				continue
			}
			gap := Gap{Group: g, Cause: m.Action}
			gap.Length, gap.Censored = longestGap(acks[g], m.At, nextInterruption(in.Marks[i+1:], g, in.Duration))
			gap.Steady, _ = longestGap(acks[g], in.Warmup, nextInterruption(in.Marks, g, in.Duration))
			list = append(list, gap)
		}
	}
	return list
}

func nextInterruption(marks []Mark, g upstream.GroupID, end time.Duration) time.Duration {
	for _, m := range marks {
		if m.Interrupts && m.Error == "" && (m.Group == "" || m.Group == g) {
			return min(m.At, end)
		}
	}
	return end
}

// longestGap returns the longest time between two acknowledgements that touches from..to. It is censored when it lasts
// up to the end of the span, after which the span does not tell how it went on.
func longestGap(acks []time.Duration, from, to time.Duration) (time.Duration, bool) {
	i, _ := slices.BinarySearch(acks, from)
	last := from
	if i > 0 {
		last = acks[i-1]
	}
	longest := time.Duration(0)
	for ; i < len(acks) && acks[i] <= to; i++ {
		longest = max(longest, acks[i]-last)
		last = acks[i]
	}
	if to-last > longest {
		return to - last, true
	}
	return longest, false
}

// refusals counts what was refused although it was within the contract. A refused key that operators had withdrawn
// does not count.
func refusals(in *Input, requests []*check.Request) Refusals {
	r := Refusals{ByCode: make(map[string]int)}
	for _, q := range requests {
		if !q.Entitled || in.History.KeyWithdrawn(q) {
			continue
		}
		r.Entitled++
		if !refused(q.Outcome) {
			continue
		}
		r.Wrongful++
		r.ByCode[cmp.Or(q.Code, noCode)]++
		if !overlapsAny(in.History.Faults, q) {
			r.WithoutFault++
		}
	}
	if r.Entitled > 0 {
		r.Share = float64(r.Wrongful) / float64(r.Entitled)
	}
	return r
}

func overlapsAny(windows []check.Window, q *check.Request) bool {
	return slices.ContainsFunc(windows, func(w check.Window) bool { return w.Overlaps(q.Intended, q.Done) })
}

// phases splits the run at its first and its last mark. Marks that a mode could not carry out count too, so that the
// phases of all modes are the same.
func phases(in *Input, requests []*check.Request) []Phase {
	if len(in.Marks) == 0 {
		return nil
	}
	first, last := in.Duration, time.Duration(0)
	for _, m := range in.Marks {
		first = min(first, m.At)
		last = max(last, m.Ended)
	}
	last = min(last, in.Duration)
	list := []Phase{
		{Name: "before", From: in.Warmup, To: first},
		{Name: "during", From: first, To: last},
		{Name: "after", From: last, To: in.Duration},
	}
	for i := range list {
		fillPhase(in, &list[i], requests)
	}
	return list
}

func fillPhase(in *Input, p *Phase, requests []*check.Request) {
	h := newHistogram()
	for _, q := range requests {
		at := in.offset(q.Intended)
		if at < p.From || at >= p.To || !q.Entitled || in.History.KeyWithdrawn(q) {
			continue
		}
		p.Entitled++
		if q.Outcome != check.OutcomeOK {
			p.Errors++
		}
		record(h, in.servedLatency(q))
	}
	p.P50, p.P99 = percentile(h, 50), percentile(h, 99)
}

// servedLatency is the request's latency, or the timeout when it did not succeed.
func (in *Input) servedLatency(q *check.Request) time.Duration {
	if q.Outcome != check.OutcomeOK {
		return max(in.Timeout, q.Latency())
	}
	return q.Latency()
}
