package audit

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/request"
)

var night = time.Date(2026, 7, 14, 23, 59, 58, 120_000_000, time.UTC)

// Guards against an explanation that leaves out what the record knows, or that an engineer cannot read.
func TestSentences(t *testing.T) {
	cases := []struct {
		name   string
		record Record
		want   string
	}{
		{"failover started", Record{Kind: KindFailoverStarted, Group: "orders", Cause: "the connection was refused",
			Inputs: []Input{{"primary", "m1"}, {"silence_ms", "612"}, {"silent_replicas", "m2, m3"}}},
			"group orders: failover from primary m1 started because the connection was refused; it was silent for 612 ms; m2, m3 did not hear it either. Writes wait until a new primary leads."},
		{"failover promoted", Record{Kind: KindFailoverPromoted, Group: "orders", Term: 8, Cause: "its log was the most complete of the fenced majority",
			Inputs: []Input{{"from", "m1"}, {"to", "m2"}, {"position", "7/1042"}, {"fenced", "m2, m3"}, {"passed_over", "m3 at 7/1040"}}},
			"group orders: m2 was promoted in place of m1 in term 8 because its log was the most complete of the fenced majority; its log ended at 7/1042; members fenced: m2, m3; passed over: m3 at 7/1040."},
		{"failover finished", Record{Kind: KindFailoverFinished, Group: "orders", Term: 8, Inputs: []Input{{"primary", "m2"}, {"duration_ms", "1310"}}},
			"group orders: failover finished, m2 leads in term 8 after 1310 ms. Waiting writes go on."},
		{"failover failed", Record{Kind: KindFailoverFailed, Group: "orders", Cause: "only one member answered", Inputs: []Input{{"step", "fence"}, {"peer", "m3"}, {"retry_ms", "500"}}},
			"group orders: failover stopped at step fence at m3 because only one member answered; it is tried again after 500 ms."},
		{"step with text", Record{Kind: KindFailoverStep, Group: "orders", Term: 8, Cause: "primary_silent", Text: "Fencing m2 and m3.", Inputs: []Input{{"step", "fence"}}},
			"group orders: Fencing m2 and m3 [failover.step, cause primary_silent, term 8, step=fence]."},
		{"claim", Record{Instance: "mu-b2", Kind: KindHomeClaimed, Group: "orders", Generation: 12, Cause: "mu-a1 is dead", Inputs: []Input{{"previous_owner", "mu-a1"}, {"members", "m1, m2"}}},
			"mu-b2 became home of group orders with generation 12 because mu-a1 is dead; the home before was mu-a1; accepted by m1, m2. Connections of older generations are closed by the members."},
		{"key withdrawn", Record{Kind: KindKeyWithdrawn, Customer: "smelters", Operator: "amelie", Version: 18, Inputs: []Input{{"key", "dispatch"}}},
			"operator amelie withdrew key dispatch of customer smelters (configuration version 18). Callers with this key are refused and its sessions end within 4 s."},
		{"preset", Record{Kind: KindPresetChanged, Operator: "amelie", Version: 19, Inputs: []Input{{"from", "ordinary"}, {"to", "peak"}}},
			"operator amelie switched the preset from ordinary to peak (configuration version 19). Rates, bursts and shares of the new preset apply to new and waiting requests."},
		{"domain out", Record{Kind: KindDomainOut, Operator: "amelie", Version: 20, Inputs: []Input{{"failure_domain", "north-b"}}},
			"operator amelie took failure domain north-b out (configuration version 20). It gets no new work after 4 s; homes and primaries in it move by planned switchover."},
		{"refusals", Record{Kind: KindRefused, Cause: RefusalRate, Customer: "meters", Group: "readings", Inputs: []Input{{"count", "482"}, {"window_ms", "1003"}, {"first_traces", "t1 t2"}}},
			"482 requests of customer meters on group readings refused within 1.003s because the customer was over its rate (53400). None of it was run; first traces: t1 t2."},
		{"unknown outcome", Record{Kind: KindOutcomeUnknown, Trace: "t9", Customer: "smelters", Group: "orders", Cause: "the primary was replaced", Inputs: []Input{{"step", "commit"}, {"peer", "m1"}}},
			"the outcome of request t9 is unknown (08007), customer smelters, group orders, because the primary was replaced; the last step was commit at m1. It may have taken effect: look before it is repeated."},
		{"loss", Record{Instance: "mu-a1", Kind: KindLost, Cause: "too long", Inputs: []Input{{"count", "12"}, {"where", "waiting"}}},
			"12 audit records of mu-a1 were lost while waiting: too long."},
		{"kind without sentence", Record{Kind: "member.warming", Group: "orders", Cause: "it returned", Version: 3, Inputs: []Input{{"member", "m3"}}, Trace: "t"},
			"member.warming of group orders because it returned, configuration version 3, member=m3, trace t."},
		{"inputs missing", Record{Kind: KindPresetChanged}, "an unknown operator switched the preset from unknown to unknown. Rates, bursts and shares of the new preset apply to new and waiting requests."},
	}
	for _, c := range cases {
		if got := Sentence(&c.record); got != c.want {
			t.Errorf("%s:\n got %s\nwant %s", c.name, got, c.want)
		}
	}
}

// Guards against wrong selection, order and duplicates, and against output that depends on the order of the input.
func TestExplainSelects(t *testing.T) {
	is := is.New(t)
	records := []Record{
		{Instance: "b", Sequence: 7, Time: night.Add(3 * time.Second), Kind: KindFailoverFinished, Group: "orders", Inputs: []Input{{"primary", "m2"}}},
		{Instance: "a", Sequence: 1, Time: night, Kind: KindPresetChanged, Operator: "o", Event: "config/2"},
		{Instance: "b", Sequence: 1, Time: night, Kind: KindPresetChanged, Operator: "o", Event: "config/2"},
		{Instance: "a", Sequence: 2, Time: night.Add(time.Second), Kind: KindHomeClaimed, Group: "readings"},
		{Instance: "b", Sequence: 7, Time: night.Add(3 * time.Second), Kind: KindFailoverFinished, Group: "orders", Inputs: []Input{{"primary", "m2"}}},
		{Instance: "a", Sequence: 3, Time: night.Add(time.Hour), Kind: KindHomeClaimed, Group: "orders"},
		{Instance: "a", Sequence: 4, Time: night, Kind: KindRefused, Customer: "meters", Cause: RefusalRate, Inputs: []Input{{"first_traces", "t1 t2"}}},
	}
	q := Query{Group: "orders", Until: night.Add(time.Minute)}
	want := "3 records about group orders.\n" +
		"2026-07-14 (UTC)\n" +
		"23:59:58.120 a: operator o switched the preset from unknown to unknown. Rates, bursts and shares of the new preset apply to new and waiting requests.\n" +
		"23:59:58.120 a: unknown requests of customer meters refused within an unknown time because the customer was over its rate (53400). None of it was run; first traces: t1 t2.\n" +
		"2026-07-15 (UTC)\n" +
		"00:00:01.120 b: group orders: failover finished, m2 leads in term 0. Waiting writes go on.\n"
	is.Equal(Explain(records, q).String(), want)
	slices.Reverse(records)
	is.Equal(Explain(records, q).String(), want)
	is.Equal(len(Explain(records, Query{Trace: "t2"}).Lines), 1)
	is.Equal(len(Explain(records, Query{Customer: "smelters"}).Lines), 4)
	is.Equal(len(Explain(records, Query{Since: night.Add(time.Minute)}).Lines), 1)
	is.Equal(len(Explain(records, Query{Limit: 2}).Lines), 2)
	is.Equal(Explain(nil, Query{Trace: "x"}).String(), "No records about trace x.\n")
}

// Guards against a flood of refusals that makes a flood of records, and against unbounded counters.
func TestRefusalsAreAggregated(t *testing.T) {
	is := is.New(t)
	f := NewRefusals()
	for i := range 10_000 {
		f.Note(night.Add(time.Duration(i)*50*time.Microsecond), "meters", "readings", RefusalRate, request.TraceID(rune('a'+i%26)))
	}
	f.Note(night, "clubs", "rosters", RefusalDeadline, "t")
	is.Equal(len(f.Collect(night.Add(500*time.Millisecond), false)), 0)
	got := f.Collect(night.Add(1500*time.Millisecond), false)
	is.Equal(len(got), 2)
	is.Equal(got[0].Customer, "clubs")
	is.Equal(got[0].Trace, request.TraceID("t"))
	is.Equal(got[1].Input("count"), "10000")
	is.Equal(got[1].Input("first_traces"), "a b c d e f")
	for i := range 100_000 {
		f.Note(night, string(rune(i)), "g", RefusalRate, "t")
	}
	is.True(len(f.Collect(night, true)) <= refusalShards*(refusalKeys+1))
}

// Guards against a trace that is not found, and against an index that grows.
func TestTraces(t *testing.T) {
	is := is.New(t)
	x := NewTraces(traceShards * 2)
	x.Note(TraceEntry{Trace: "t1", Time: night, Customer: "c", Group: "g", Outcome: request.OutcomeNotRun, Code: "53400", Step: "admit"})
	r, ok := x.Find("t1")
	is.True(ok)
	is.Equal(Sentence(&r), "request t1 of customer c on group g was refused and not run with 53400 at step admit.")
	for i := range 10_000 {
		x.Note(TraceEntry{Trace: request.TraceID(rune(i + 1000))})
	}
	_, ok = x.Find("t1")
	is.True(!ok)
	_, ok = x.Find("")
	is.True(!ok)
}
