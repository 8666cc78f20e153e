package group

import (
	"fmt"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/standin/group/sqldb"
	"github.com/celerystep/celerystep/internal/standin/group/sqltext"
)

// SQLSTATEs that members send. StateStale is the group's own code for a term or generation that the member has left
// behind.
const (
	StateStale               = "CS001"
	stateAdminShutdown       = "57P01"
	stateCannotConnect       = "57P03"
	stateCanceled            = "57014"
	stateTooManyConnections  = "53300"
	stateReadOnly            = "25006"
	stateFailedTransaction   = "25P02"
	stateActiveTransaction   = "25001"
	stateIdleInTransaction   = "25P03"
	stateIdleSession         = "57P05"
	stateNoTransaction       = "25P01"
	stateSyntax              = "42601"
	stateUndefinedObject     = "42704"
	stateUndefinedStatement  = "26000"
	stateUndefinedPortal     = "34000"
	stateUndefinedParameter  = "42P02"
	stateNotSupported        = "0A000"
	statePrerequisite        = "55000"
	stateInvalidParameter    = "22023"
	stateInvalidText         = "22P02"
	stateInvalidBinary       = "22P03"
	stateOutOfRange          = "22003"
	stateProtocol            = "08P01"
	stateInsufficientPrivs   = "42501"
	stateInternal            = "XX000"
	stateDuplicateStatement  = "42P05"
	severityError            = "ERROR"
	severityFatal            = "FATAL"
	messageFailedTransaction = "current transaction is aborted, commands ignored until end of transaction block"
)

// sqlError is an error as the client sees it.
type sqlError struct {
	State   string
	Message string
	// Fatal errors end the connection.
	Fatal bool
}

// Error formats state and message.
func (e *sqlError) Error() string { return e.State + ": " + e.Message }

func errorf(state, format string, args ...any) *sqlError {
	return &sqlError{State: state, Message: fmt.Sprintf(format, args...)}
}

func fatalf(state, format string, args ...any) *sqlError {
	return &sqlError{State: state, Message: fmt.Sprintf(format, args...), Fatal: true}
}

// errTerminated reports that the member has closed the connection.
func errTerminated() *sqlError {
	return fatalf(stateAdminShutdown, "the connection is closed by the member")
}

// asSQLError gives every error a SQLSTATE.
func asSQLError(err error) *sqlError {
	var e *sqlError
	if errors.As(err, &e) {
		return e
	}
	var u *sqltext.UnsupportedError
	if errors.As(err, &u) {
		return errorf(stateNotSupported, "%s", u)
	}
	if errors.Is(err, sqldb.ErrClosed) {
		return fatalf(stateCannotConnect, "the member is rebuilding its database")
	}
	return errorf(sqldb.State(err), "%s", err)
}
