package pgport

import (
	"io"
	"syscall"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/upstream"
)

// SQLSTATEs of members that decide the kind of an error.
const (
	// stateStale is the group's own code for a term or generation that the member has left behind.
	stateStale              = "CS001"
	stateTooManyConnections = "53300"
)

// ServerError is an error that the member itself sent.
type ServerError struct {
	Severity string
	// Code is the SQLSTATE.
	Code    string
	Message string
}

// Error formats severity, SQLSTATE and message.
func (e *ServerError) Error() string { return e.Severity + " " + e.Code + ": " + e.Message }

// Errors of a connection that the port gave up.
var (
	errSilent = errors.New("status stream is silent")
	errClosed = errors.New("connection is closed")
)

func memberError(k upstream.ErrorKind, step string, m upstream.Member, err error) error {
	return &upstream.MemberError{Kind: k, Step: step, Member: m.ID, Err: err}
}

// startKind classifies an error of a connection's start, before which no operation was sent.
func startKind(err error) upstream.ErrorKind {
	var s *ServerError
	switch {
	case errors.As(err, &s):
		return serverKind(s)
	case isBroken(err):
		return upstream.ErrRefused
	default:
		return upstream.ErrUnreachable
	}
}

// serverKind classifies an answer of the member: an operation that it answered with an error had no effect.
func serverKind(e *ServerError) upstream.ErrorKind {
	switch e.Code {
	case stateStale:
		return upstream.ErrStale
	case stateTooManyConnections:
		return upstream.ErrLimit
	default:
		return upstream.ErrRefused
	}
}

// isBroken reports whether the other side refused, reset or closed the connection.
func isBroken(err error) bool {
	for _, e := range []error{
		syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF,
	} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// answerKind classifies an error that came after an operation had been sent.
func answerKind(err error, readOnly bool) upstream.ErrorKind {
	var s *ServerError
	answered := errors.As(err, &s)
	switch {
	case answered && s.Severity == "ERROR":
		return serverKind(s)
	case readOnly && (answered || isBroken(err)):
		return upstream.ErrRefused
	default:
		return upstream.ErrUnreachable
	}
}

// sendError reports a query that could not be sent whole, so that the member has not run it.
type sendError struct{ err error }

// Error implements error.
func (e *sendError) Error() string { return "send: " + e.err.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.err }
