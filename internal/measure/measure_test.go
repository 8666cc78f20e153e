package measure

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/upstream"
)

var epoch = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func milli(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// write returns an acknowledged write of g1.
func write(ms int) check.Operation {
	return check.Operation{Group: "g1", Kind: check.KindUpdate, Outcome: check.OutcomeOK, Return: at(ms)}
}

// request returns a request of one statement that took 10 ms.
func request(customer string, ms int, o check.Outcome) check.Request {
	return check.Request{
		Customer: customer, Group: "g1", Statements: 1, Entitled: true, Intended: at(ms), Done: at(ms + 10), Outcome: o,
	}
}

func testInput() *Input {
	return &Input{
		History: &check.Input{Start: at(0)}, Warmup: milli(1000), Duration: milli(11_000), Timeout: 10 * time.Second,
		Contracts: []load.ContractChange{{Customer: "c1", Rate: 20, Burst: 5}, {Customer: "c2", Rate: 20, Burst: 5}},
	}
}

// Guards against a failover gap that starts at the fault instead of the last acknowledgement, that hides an outage
// without end, or that takes in the next interruption.
func TestGaps(t *testing.T) {
	is := is.New(t)
	in := testInput()
	for _, ms := range []int{1000, 1500, 2000, 2900, 4700, 5000, 6000, 9000} {
		in.History.Operations = append(in.History.Operations, write(ms))
	}
	in.Marks = []Mark{
		{Action: "kill_member", Group: "g1", At: milli(3000), Ended: milli(3001), Interrupts: true},
		{Action: "set_lag", Group: "g1", At: milli(3500), Ended: milli(3501)},
		{Action: "kill_member", Group: "g2", At: milli(4000), Ended: milli(4001), Interrupts: true},
		{Action: "switchover", Group: "g1", At: milli(4800), Ended: milli(4900), Interrupts: true, Error: "refused"},
		{Action: "kill_instance", At: milli(6500), Ended: milli(6501), Interrupts: true},
	}
	m := Compute(in)
	is.Equal(len(m.Gaps), 2)
	steady := milli(900)                                                                             // 2000 to 2900
	is.Equal(m.Gaps[0], Gap{Group: "g1", Cause: "kill_member", Length: milli(1800), Steady: steady}) // 2900 to 4700
	is.Equal(m.Gaps[1], Gap{Group: "g1", Cause: "kill_instance", Length: milli(3000), Steady: steady})

	in.History.Operations = in.History.Operations[:7]
	want := Gap{Group: "g1", Cause: "kill_instance", Length: milli(5000), Steady: steady, Censored: true}
	is.Equal(Compute(in).Gaps[1], want)
}

// Guards against counting refusals that the customer brought on itself or that operators asked for.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	in := testInput()
	excess := request("c1", 3000, check.OutcomeNotRun)
	excess.Entitled = false
	withdrawn := request("c1", 4000, check.OutcomeNotRun)
	withdrawn.Key = "k1"
	faulty := request("c1", 6000, check.OutcomeNotSent)
	wrongful := request("c1", 5000, check.OutcomeNotRun)
	wrongful.Code = "57P05"
	early := request("c1", 500, check.OutcomeNotRun)
	in.History.Requests = []check.Request{early, request("c1", 2000, check.OutcomeOK), excess, withdrawn, wrongful, faulty}
	in.History.Withdrawals = []check.Withdrawal{{Customer: "c1", Key: "k1", At: at(3900)}}
	in.History.Faults = []check.Window{{Name: "kill_member", From: at(5900), To: at(7000)}}
	r := Compute(in).Refusals
	is.Equal(r.Entitled, 3)
	is.Equal(r.Wrongful, 2)
	is.Equal(r.WithoutFault, 1)
	is.Equal(r.ByCode, map[string]int{"57P05": 1, "none": 1})
}

// Guards against a worst-served customer that is hidden by its failures, and against a customer above its rate that
// counts as badly served although it got its rate.
func TestCustomers(t *testing.T) {
	is := is.New(t)
	in := testInput()
	for i := range 200 {
		ms := 1000 + 50*i
		q := request("c1", ms, check.OutcomeOK)
		if i%20 == 0 {
			q.Outcome = check.OutcomeUnknown
		}
		in.History.Requests = append(in.History.Requests, q)
		for j := range 10 { // c2 sends ten times its rate and gets its rate
			q := request("c2", ms, check.OutcomeNotRun)
			q.Entitled = false
			if j == 0 {
				q.Outcome, q.Entitled = check.OutcomeOK, true
			}
			in.History.Requests = append(in.History.Requests, q)
		}
	}
	m := Compute(in)
	is.Equal(m.Customers[0].Requests, Counts{Offered: 200, OK: 190, Failed: 10})
	is.Equal(m.Customers[0].GoodputRatio, 0.95)
	is.Equal(m.Customers[1].GoodputRatio, 1.0)
	is.Equal(m.Worst.GoodputCustomer, "c1")
	is.Equal(m.Worst.P99Customer, "c1")
	is.True(m.Worst.P99 >= 9*time.Second) // a failure counts as the timeout
	is.Equal(m.Customers[1].P99.Round(time.Millisecond), milli(10))
	is.Equal(m.Reads.Count, int64(390)) // neither failures nor excess requests have a latency
}

// Guards against a replica share that counts reads of read-write transactions, retries or failed statements.
func TestReplicaShare(t *testing.T) {
	is := is.New(t)
	in := testInput()
	add := func(id check.StatementID, t check.TransactionID, role upstream.Role, ms int, code string) {
		op := check.Operation{Statement: id, Transaction: t, Kind: check.KindRead, Group: "g1"}
		in.History.Operations = append(in.History.Operations, op)
		in.History.Statements = append(in.History.Statements, check.Statement{
			Group: "g1", Role: role, Params: []string{id.String()}, Start: at(ms), End: at(ms + 1), Code: code,
		})
	}
	add(1, 0, upstream.RoleReplica, 2000, "")
	add(2, 0, upstream.RolePrimary, 2000, "")
	add(3, 9, upstream.RolePrimary, 2000, "")      // in a transaction
	add(4, 0, upstream.RolePrimary, 2000, "57P01") // failed, then retried on a replica
	add(4, 0, upstream.RoleReplica, 2100, "")
	add(5, 0, upstream.RolePrimary, 500, "") // warm-up
	is.Equal(Compute(in).Replica, ReplicaShare{Reads: 3, Replica: 2, Share: 2.0 / 3})
	s := NewSeries(in)
	is.Equal(s.ReplicaShare[0], 0.0)
	is.Equal(s.ReplicaShare[1], -1.0)
	is.Equal(s.ReplicaShare[2], 2.0/3)
}

// Guards against errors attributed to the wrong phase.
func TestPhases(t *testing.T) {
	is := is.New(t)
	in := testInput()
	in.Marks = []Mark{
		{Action: "domain_out", At: milli(4000), Ended: milli(4100)},
		{Action: "domain_in", At: milli(8000), Ended: milli(8100)},
	}
	for ms := 1000; ms < 11_000; ms += 500 {
		o := check.OutcomeOK
		if ms == 5000 || ms == 9000 {
			o = check.OutcomeNotRun
		}
		in.History.Requests = append(in.History.Requests, request("c1", ms, o))
	}
	p := Compute(in).Phases
	is.Equal(len(p), 3)
	is.Equal([]int{p[0].Entitled, p[1].Entitled, p[2].Entitled}, []int{6, 9, 5})
	is.Equal([]int{p[0].Errors, p[1].Errors, p[2].Errors}, []int{0, 1, 1})
}
