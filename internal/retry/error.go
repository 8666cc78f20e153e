package retry

import (
	"strings"

	"github.com/celerystep/celerystep/internal/request"
)

// Error is the failure of a request, with the step at which it occurred and the peer that was involved.
type Error struct {
	Outcome request.Outcome
	// Code is the SQLSTATE for the caller.
	Code string
	// Step names the operation that failed, for example "queue" or "receive".
	Step string
	// Peer names the member or instance that was involved; empty for a local refusal.
	Peer  string
	Trace request.TraceID
	// Err is the cause.
	Err error
}

// Error formats all fields; the text for a request that did not run starts with "not run".
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.Message())
	b.WriteString(" (step=")
	b.WriteString(e.Step)
	if e.Peer != "" {
		b.WriteString(" peer=")
		b.WriteString(e.Peer)
	}
	b.WriteString(" trace=")
	b.WriteString(string(e.Trace))
	b.WriteString(" code=")
	b.WriteString(e.Code)
	b.WriteString(")")
	return b.String()
}

// Message returns the text for the caller: the outcome followed by the cause.
func (e *Error) Message() string {
	cause := "no cause given"
	if e.Err != nil {
		cause = e.Err.Error()
	}
	switch e.Outcome {
	case request.OutcomeNotRun:
		return "not run: " + cause
	case request.OutcomeUnknown:
		if e.Code == CodeReadFailed {
			return "read failed without effect: " + cause
		}
		return "outcome unknown: " + cause
	default:
		return cause
	}
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Result converts the error to the result of its request.
func (e *Error) Result(txStatus byte) request.Result {
	return request.Result{
		Outcome:  e.Outcome,
		TxStatus: txStatus,
		Code:     e.Code,
		Message:  e.Message(),
		Step:     e.Step,
		Peer:     e.Peer,
	}
}
