package check

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

var epoch = time.Unix(1_700_000_000, 0)

// at returns the moment that many milliseconds after the start.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

var (
	rowA = RowKey{"commitments", "a"}
	rowB = RowKey{"commitments", "b"}
)

// Positions of the operations in the correct history.
const (
	opConnect = iota
	opWriteA
	opReadA
	opBegin
	opTxReadA
	opTxWriteA
	opTxWriteB
	opCommit
	opAgedRead
	opRefused
	opOldKey
)

// Positions of the statements in the correct history.
const (
	logWriteA = iota
	logReadA
	logTxReadA
	logTxWriteA
	logTxWriteB
	logAgedRead
)

// operation returns an operation of session 1 of customer c1 that succeeded within 10 ms.
func operation(id StatementID, t TransactionID, kind Kind, row RowKey, ms int, values ...Value) Operation {
	return Operation{
		Statement: id, Session: 1, Transaction: t, Connection: 1, Customer: "c1", Key: "k1", Instance: "i1",
		FailureDomain: "d1", Group: "g1", Kind: kind, Row: row, Invoke: at(ms), Return: at(ms + 10),
		Outcome: OutcomeOK, Values: values,
	}
}

func logged(id StatementID, transaction, connection uint64, ms int, lsn position.LSN) Statement {
	s := Statement{
		Group: "g1", Member: "m1", Role: upstream.RolePrimary, Connection: connection, Transaction: transaction,
		Owner: "i1", Customer: "c1", Params: []string{id.String()}, Start: at(ms + 2), End: at(ms + 6),
	}
	if lsn > 0 {
		s.Position = position.Position{Term: 1, LSN: lsn}
	}
	return s
}

// correctInput is a history that keeps every guarantee and gives every checker something to judge: a write, a read of
// it, a transaction over two rows, a read with a stated age, a refusal and a key that is refused after withdrawal.
func correctInput() *Input {
	refused := operation(9, 0, KindUpdate, rowB, 7000)
	refused.Outcome, refused.Code = OutcomeNotRun, "53400"
	oldKey := operation(0, 0, KindConnect, RowKey{}, 9000)
	oldKey.Key, oldKey.Outcome, oldKey.Code = "k0", OutcomeNotRun, "28P01"
	aged := operation(8, 0, KindRead, rowA, 6000, Value{rowA, 2, 5})
	aged.MaxAge = 500 * time.Millisecond
	return &Input{
		Start: at(0), End: at(10_000), Tagged: true,
		Operations: []Operation{
			opConnect:  operation(0, 0, KindConnect, RowKey{}, 0),
			opWriteA:   operation(1, 0, KindUpdate, rowA, 100, Value{rowA, 1, 1}),
			opReadA:    operation(2, 0, KindRead, rowA, 200, Value{rowA, 1, 1}),
			opBegin:    operation(0, 1, KindBegin, RowKey{}, 300),
			opTxReadA:  operation(4, 1, KindRead, rowA, 320, Value{rowA, 1, 1}),
			opTxWriteA: operation(5, 1, KindUpdate, rowA, 340, Value{rowA, 2, 5}),
			opTxWriteB: operation(6, 1, KindUpdate, rowB, 360, Value{rowB, 1, 6}),
			opCommit:   operation(0, 1, KindCommit, RowKey{}, 380),
			opAgedRead: aged,
			opRefused:  refused,
			opOldKey:   oldKey,
		},
		Statements: []Statement{
			logWriteA:   logged(1, 1, 7, 100, 1),
			logReadA:    logged(2, 2, 8, 200, 0),
			logTxReadA:  logged(4, 3, 7, 320, 0),
			logTxWriteA: logged(5, 3, 7, 340, 0),
			logTxWriteB: logged(6, 3, 7, 360, 3),
			logAgedRead: logged(8, 4, 8, 6000, 0),
		},
		Requests: []Request{
			{ID: 1, Customer: "c1", Group: "g1", Entitled: true, Intended: at(6000), Done: at(6010), Outcome: OutcomeOK},
		},
		Finals: []Final{{
			Group: "g1", Primary: "m1", History: position.History{{Term: 1}}, End: 3,
			Rows: []Value{{rowA, 2, 5}, {rowB, 1, 6}},
		}},
		Contracts:   []Contract{{Customer: "c1", From: at(0), Rate: 10, Burst: 5}},
		Withdrawals: []Withdrawal{{Customer: "c1", Key: "k0", At: at(1000)}},
		Outages: []Outage{
			{FailureDomain: "d2", From: at(1000), To: at(9000)},
			{Group: "g1", Member: "m3", From: at(1000)},
		},
		Planned:         []Window{{"domain out", at(5900), at(6100)}},
		MemberDomains:   map[MemberKey]instance.FailureDomain{{"g1", "m1"}: "d1", {"g1", "m2"}: "d2"},
		InstanceDomains: map[instance.ID]instance.FailureDomain{"i1": "d1", "i2": "d2"},
		Secrets:         []string{"secret-of-c1"},
	}
}

// Guards against checkers that reject a correct history, or that pass because they judged nothing.
func TestCorrectHistoryHolds(t *testing.T) {
	for _, r := range Run(correctInput()) {
		if r.Status != StatusHeld || r.Cases == 0 {
			t.Errorf("%s %s: %s with %d cases: %v", r.Guarantee, r.Checker, r.Status, r.Cases, r.Violations)
		}
	}
}

// Guards against a checker that misses a broken history of its kind.
func TestBrokenHistoriesAreCaught(t *testing.T) {
	cases := []struct {
		checker string
		name    string
		break_  func(in *Input)
	}{
		{"stale own read", "read misses the write before it", func(in *Input) {
			in.Operations[opReadA].Values = nil
		}},
		{"stale own read", "read on another instance misses a committed transaction", func(in *Input) {
			op := &in.Operations[opAgedRead]
			op.Instance, op.Connection, op.MaxAge = "i2", 2, 0
			op.Values = []Value{{rowA, 1, 1}}
		}},
		{"read older than its stated age", "another session's write is older than the age", func(in *Input) {
			op := &in.Operations[opAgedRead]
			op.Session, op.Values = 2, []Value{{rowA, 1, 1}}
		}},
		{"lost acknowledged write", "final version too low", func(in *Input) {
			in.Finals[0].Rows[0] = Value{rowA, 1, 1}
		}},
		{"lost acknowledged write", "row missing", func(in *Input) {
			in.Finals[0].Rows = in.Finals[0].Rows[:1]
		}},
		{"lost acknowledged write", "overwritten by a write with the same version", func(in *Input) {
			in.Finals[0].Rows[0].Writer = 77
		}},
		{"acknowledgement by a replaced primary", "the next term starts before the commit", func(in *Input) {
			in.Finals[0].History = position.History{{Term: 1}, {Term: 2, Start: 2}}
			in.Finals[0].End = 9
		}},
		{"row linearizability", "primary read returns a version that was never current", func(in *Input) {
			in.Operations[opTxReadA].Values = []Value{{rowA, 0, 0}}
		}},
		{"row linearizability", "write skips a version", func(in *Input) {
			in.Operations[opTxWriteA].Values = []Value{{rowA, 3, 5}}
			in.Finals[0].Rows[0] = Value{rowA, 3, 5}
		}},
		{"mixed transactions", "a single statement runs inside the transaction", func(in *Input) {
			in.Statements[logReadA] = logged(2, 3, 7, 350, 0)
		}},
		{"mixed transactions", "two single statements run as one transaction", func(in *Input) {
			in.Statements[logAgedRead].Transaction = 2
		}},
		{"mixed transactions", "a single statement runs on the transaction's connection", func(in *Input) {
			in.Statements[logReadA] = logged(2, 2, 7, 350, 0)
		}},
		{"mixed transactions", "the transaction runs on two connections", func(in *Input) {
			in.Statements[logTxWriteB].Connection = 9
		}},
		{"mixed transactions", "the transaction runs as two", func(in *Input) {
			in.Statements[logTxWriteB].Transaction = 9
		}},
		{"mixed transactions", "two sessions share a transaction", func(in *Input) {
			in.Operations[opTxWriteB].Session = 2
		}},
		{"statement run for another customer", "wrong tag", func(in *Input) {
			in.Statements[logReadA].Customer = "c2"
		}},
		{"statement run for another customer", "wrong group", func(in *Input) {
			in.Statements[logReadA].Group = "g2"
		}},
		{"key seen by an upstream", "key in a parameter", func(in *Input) {
			in.Statements[logReadA].Params = append(in.Statements[logReadA].Params, "x secret-of-c1")
		}},
		{"withdrawn key accepted", "connection accepted", func(in *Input) {
			in.Operations[opOldKey].Outcome = OutcomeOK
		}},
		{"withdrawn key accepted", "statement of a connected caller accepted", func(in *Input) {
			in.Operations[opAgedRead].Key = "k0"
		}},
		{"rate and burst", "seven statements within 0.4 s with a burst of five", func(in *Input) {
			in.Contracts[0].Rate = 1
		}},
		{"work in a failure domain taken out", "statement on a member", func(in *Input) {
			in.Statements[logAgedRead].Member = "m2"
		}},
		{"work in a failure domain taken out", "statement by a home", func(in *Input) {
			in.Statements[logAgedRead].Owner = "i2"
		}},
		{"work in a failure domain taken out", "statement accepted by an instance", func(in *Input) {
			in.Operations[opAgedRead].FailureDomain = "d2"
		}},
		{"answer to another request", "row of another read", func(in *Input) {
			in.Operations[opReadA].Values = []Value{{rowB, 1, 6}}
		}},
		{"answer to another request", "marker of another write", func(in *Input) {
			in.Operations[opWriteA].Values[0].Writer = 6
		}},
		{"false not run", "the refused statement is in the log", func(in *Input) {
			in.Statements = append(in.Statements, logged(9, 9, 8, 7100, 4))
		}},
		{"doubled write", "the log holds it twice", func(in *Input) {
			in.Statements = append(in.Statements, logged(1, 9, 8, 120, 4))
		}},
		{"doubled write", "the final version counts it twice", func(in *Input) {
			in.Finals[0].Rows[1].Version = 2
		}},
		{"work on a leaving member", "statement on it", func(in *Input) {
			in.Statements[logAgedRead].Member = "m3"
		}},
		{"error during a planned operation", "request fails", func(in *Input) {
			in.Requests[0].Outcome = OutcomeUnknown
		}},
	}
	for _, c := range cases {
		t.Run(c.checker+"/"+c.name, func(t *testing.T) {
			in := correctInput()
			c.break_(in)
			for _, r := range Run(in) {
				if r.Checker == c.checker && r.Status != StatusViolated {
					t.Errorf("not caught: %s with %d cases", r.Status, r.Cases)
				}
			}
		})
	}
}

// Guards against checkers that call a legal history broken: what a caller does not know is no claim, and faults or
// lacking evidence excuse or leave open.
func TestLegalHistoriesPass(t *testing.T) {
	cases := []struct {
		checker string
		want    Status
		change  func(in *Input)
	}{
		{"lost acknowledged write", StatusHeld, func(in *Input) { // a commit without an answer may be lost
			in.Operations[opCommit].Outcome = OutcomeUnknown
			in.Finals[0].Rows = []Value{{rowA, 1, 1}}
		}},
		{"row linearizability", StatusHeld, func(in *Input) { // or may have taken effect
			in.Operations[opCommit].Outcome = OutcomeUnknown
		}},
		{"row linearizability", StatusHeld, func(in *Input) { // a refused COMMIT rolls back
			in.Operations[opCommit].Outcome = OutcomeNotRun
			in.Finals[0].Rows = []Value{{rowA, 1, 1}}
		}},
		{"doubled write", StatusHeld, func(in *Input) { // a failed run and one that succeeded are one run
			s := logged(1, 9, 8, 90, 0)
			s.Code = "25006"
			in.Statements = append(in.Statements, s)
		}},
		{"rate and burst", StatusHeld, func(in *Input) { // the caller sent them long before they began together
			in.Contracts[0].Rate = 1
			for i := range in.Operations {
				in.Operations[i].Invoke = at(-20_000 + 1000*i)
			}
		}},
		{"error during a planned operation", StatusNoCases, func(in *Input) {
			in.Requests[0].Outcome = OutcomeUnknown
			in.Faults = []Window{{"kill primary", at(6005), at(6300)}}
		}},
		{"statement run for another customer", StatusUndecided, func(in *Input) {
			in.Statements[logReadA].Customer = ""
		}},
		{"acknowledgement by a replaced primary", StatusUndecided, func(in *Input) {
			in.Statements[logTxWriteB].Position = position.Position{}
		}},
	}
	for _, c := range cases {
		in := correctInput()
		c.change(in)
		for _, r := range Run(in) {
			if r.Checker == c.checker && r.Status != c.want {
				t.Errorf("%s: %s, want %s: %v", r.Checker, r.Status, c.want, r.Violations)
			}
		}
	}
}

// Guards against markers that cannot be found again in statements.
func TestMarker(t *testing.T) {
	is := is.New(t)
	s := Statement{Text: "SELECT /* rq:zz rq:000000000000abcd */ 1"}
	id, ok := s.Marker()
	is.True(ok)
	is.Equal(id, StatementID(0xabcd))
	is.Equal(id.String(), "rq:000000000000abcd")
	_, ok = ParseMarker("rq:12")
	is.True(!ok)
}
