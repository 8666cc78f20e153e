package check

import "time"

// effectState says whether a write must, may or must not be part of the final state.
type effectState uint8

const (
	// effectNone means that the caller was told, or can conclude, that the write has no effect.
	effectNone effectState = iota
	effectUnknown
	effectAcknowledged
)

// effect is a caller's write with the conclusion that its caller can draw.
type effect struct {
	op    *Operation
	state effectState
	// invoked is the invocation of the transaction's first statement, acknowledged its acknowledgement.
	invoked      time.Time
	acknowledged time.Time
}

// version returns the version that the write reported, 0 when the caller does not know it.
func (e *effect) version() int64 {
	if e.op.Outcome != OutcomeOK || len(e.op.Values) == 0 {
		return 0
	}
	return e.op.Values[0].Version
}

// resolveEffects concludes for each write statement what became of it.
func resolveEffects(x *index) []effect {
	var effects []effect
	for i := range x.in.Operations {
		op := &x.in.Operations[i]
		if op.Kind.IsWrite() {
			effects = append(effects, resolveEffect(x, op))
		}
	}
	return effects
}

func resolveEffect(x *index, op *Operation) effect {
	e := effect{op: op, invoked: op.Invoke}
	if op.Transaction == 0 {
		e.state = stateOf(op.Outcome)
		e.acknowledged = op.Return
		return e
	}
	if begin := x.begin[op.Transaction]; begin != nil {
		e.invoked = begin.Invoke
	}
	commit := x.commit[op.Transaction]
	// A transaction whose COMMIT was never sent is rolled back when its connection ends.
	if commit == nil || stateOf(op.Outcome) == effectNone {
		return e
	}
	e.state = stateOf(commit.Outcome)
	if op.Outcome == OutcomeUnknown && e.state == effectAcknowledged {
		e.state = effectUnknown
	}
	e.acknowledged = commit.Return
	return e
}

func stateOf(o Outcome) effectState {
	switch o {
	case OutcomeOK:
		return effectAcknowledged
	case OutcomeUnknown:
		return effectUnknown
	default:
		return effectNone
	}
}
