package check

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

const (
	// registerTimeout bounds the search on one row; a row that needs longer is undecided.
	registerTimeout = 2 * time.Second
	// maxTimeouts bounds the rows of a run whose search may end without a result; the rows after them are undecided.
	maxTimeouts = 10
	// maxUnknownWrites bounds the writes with an unknown outcome on one row, because each doubles the search.
	maxUnknownWrites = 14
	// maxRowOperations bounds the history of one row.
	maxRowOperations = 4000
)

// registerState is the state of a row: how often it was written, and by whom last.
type registerState struct {
	version int64
	writer  StatementID
}

// registerInput is a write with its marker, or a read.
type registerInput struct {
	write  bool
	marker StatementID
}

// registerOutput is what the caller saw; known is false when no answer came.
type registerOutput struct {
	known bool
	value registerState
}

// registerModel is a row that counts its writes.
var registerModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		s := state.(registerState)
		in := input.(registerInput)
		out := output.(registerOutput)
		if in.write {
			s = registerState{s.version + 1, in.marker}
		}
		return !out.known || out.value == s, s
	},
}

// rowHistory is the history of one row, with the number of writes whose outcome is unknown.
type rowHistory struct {
	operations []porcupine.Operation
	sample     *Operation
	unknown    int
}

// checkRegisters checks per row that writes and reads on the primary are linearizable: there is one order of them
// that agrees with real time, with every answer and with the final state. Reads that a replica may serve are not
// part of it, because they are only promised to see the session's own writes.
func checkRegisters(x *index, r *Result) {
	rows := x.rowHistories()
	timeouts := 0
	for _, k := range sortedRows(rows) {
		h := rows[k]
		tooMany := h.unknown > maxUnknownWrites || len(h.operations) > maxRowOperations
		if tooMany || timeouts == maxTimeouts {
			r.Undecided++
			continue
		}
		switch porcupine.CheckOperationsTimeout(registerModel, h.operations, registerTimeout) {
		case porcupine.Unknown:
			timeouts++
			r.Undecided++
		case porcupine.Illegal:
			r.Cases++
			r.violate(h.sample.Invoke, []*Operation{h.sample}, "row %s: no order of its %d operations fits",
				k.row.ID, len(h.operations))
		default:
			r.Cases++
		}
	}
}

// sortedRows returns the rows with the shortest histories first.
func sortedRows(rows map[groupRow]*rowHistory) []groupRow {
	keys := make([]groupRow, 0, len(rows))
	for k := range rows {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b groupRow) int {
		return cmp.Or(
			cmp.Compare(len(rows[a].operations), len(rows[b].operations)),
			cmp.Compare(a.group, b.group),
			cmp.Compare(a.row.Table, b.row.Table),
			cmp.Compare(a.row.ID, b.row.ID),
		)
	})
	return keys
}

// rowHistories collects the updates and the primary reads of each row, ended by a read of the final state.
func (x *index) rowHistories() map[groupRow]*rowHistory {
	rows := make(map[groupRow]*rowHistory)
	for i := range x.effects {
		x.addWrite(rows, &x.effects[i])
	}
	for i := range x.in.Operations {
		x.addPrimaryRead(rows, &x.in.Operations[i])
	}
	for k, h := range rows {
		if x.finals[k.group] == nil {
			continue
		}
		v := x.rows[k]
		h.add(registerInput{}, registerOutput{true, registerState{v.Version, v.Writer}}, finalCall, finalCall)
	}
	return rows
}

const (
	// finalCall is the time of the read of the final state, after all others.
	finalCall = math.MaxInt64 - 2
	// neverReturned is the end of an operation without an answer: it may take effect at any time, or never.
	neverReturned = math.MaxInt64 - 1
)

func (x *index) addWrite(rows map[groupRow]*rowHistory, e *effect) {
	if e.op.Kind != KindUpdate || e.state == effectNone {
		return
	}
	h := historyOf(rows, e.op)
	in := registerInput{write: true, marker: e.op.Statement}
	call := x.nanoseconds(e.invoked)
	if e.state == effectUnknown {
		h.unknown++
		h.add(in, registerOutput{}, call, neverReturned)
		return
	}
	out := registerOutput{known: e.version() > 0, value: registerState{e.version(), e.op.Statement}}
	h.add(in, out, call, x.nanoseconds(e.acknowledged))
}

// addPrimaryRead adds reads inside committed transactions, which run on the primary. They may take effect between the
// start and the end of their transaction.
func (x *index) addPrimaryRead(rows map[groupRow]*rowHistory, op *Operation) {
	if op.Kind != KindRead || op.Transaction == 0 || op.ReadOnly || op.Outcome != OutcomeOK {
		return
	}
	begin, commit := x.begin[op.Transaction], x.commit[op.Transaction]
	if begin == nil || commit == nil || commit.Outcome != OutcomeOK {
		return
	}
	v := op.readValues()[0]
	out := registerOutput{true, registerState{v.Version, v.Writer}}
	historyOf(rows, op).add(registerInput{}, out, x.nanoseconds(begin.Invoke), x.nanoseconds(commit.Return))
}

func historyOf(rows map[groupRow]*rowHistory, op *Operation) *rowHistory {
	k := groupRow{op.Group, op.Row}
	if rows[k] == nil {
		rows[k] = &rowHistory{sample: op}
	}
	return rows[k]
}

func (h *rowHistory) add(in registerInput, out registerOutput, call, ret int64) {
	h.operations = append(h.operations, porcupine.Operation{Input: in, Output: out, Call: call, Return: ret})
}

func (x *index) nanoseconds(t time.Time) int64 { return t.Sub(x.in.Start).Nanoseconds() }
