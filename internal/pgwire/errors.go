package pgwire

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATE codes that the entry instance reports itself.
const (
	CodeProtocolViolation   = "08P01"
	CodeUnknownOutcome      = "08007"
	CodeConnectionFailure   = "08006"
	CodeFeatureNotSupported = "0A000"
	CodeInvalidValue        = "22023"
	CodeActiveTransaction   = "25001"
	CodeFailedTransaction   = "25P02"
	CodeInvalidStatement    = "26000"
	CodeInvalidAuth         = "28000"
	CodeInvalidPassword     = "28P01"
	CodeInvalidCursor       = "34000"
	CodeUnknownDatabase     = "3D000"
	CodeRolledBack          = "40000"
	CodeDuplicateStatement  = "42P05"
	CodeTooManyConnections  = "53300"
	CodeLimitExceeded       = "54000"
	CodeQueryCanceled       = "57014"
	CodeShutdown            = "57P01"
	CodeUnavailable         = "57P03"
	CodeInternal            = "XX000"
)

// Error is an error for a caller. Trace, Step and Peer go into the detail field, so that the on-call engineer can find
// the request in logs and in the audit trail.
type Error struct {
	// Fatal is true when the connection ends with the error.
	Fatal   bool
	Code    string
	Message string
	Hint    string
	Trace   string
	Step    string
	Peer    string
}

// Error formats the error for logs.
func (e *Error) Error() string { return e.Code + ": " + e.Message }

// Append encodes the error after dst.
func (e *Error) Append(dst []byte) []byte {
	severity := "ERROR"
	if e.Fatal {
		severity = "FATAL"
	}
	m := pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.Code,
		Message:             clean(e.Message),
		Detail:              clean(e.detail()),
		Hint:                clean(e.Hint),
	}
	return Append(dst, &m)
}

func (e *Error) detail() string {
	d := "trace=" + e.Trace
	if e.Step != "" {
		d += " step=" + e.Step
	}
	if e.Peer != "" {
		d += " peer=" + e.Peer
	}
	return d
}

// clean drops NUL bytes, which end a field.
func clean(s string) string { return strings.ReplaceAll(s, "\x00", "") }

// Notice encodes a warning after dst.
func Notice(dst []byte, code, message string) []byte {
	return Append(dst, &pgproto3.NoticeResponse{
		Severity:            "WARNING",
		SeverityUnlocalized: "WARNING",
		Code:                code,
		Message:             clean(message),
	})
}

// Append encodes a message after dst. A message that cannot be encoded is left out, which only happens above 1 GB.
func Append(dst []byte, m pgproto3.BackendMessage) []byte {
	out, err := m.Encode(dst)
	if err != nil {
		return dst
	}
	return out
}

// AppendReady encodes ReadyForQuery with the transaction status after dst.
func AppendReady(dst []byte, status byte) []byte { return append(dst, 'Z', 0, 0, 0, 5, status) }

// AppendParameter encodes a ParameterStatus after dst.
func AppendParameter(dst []byte, name, value string) []byte {
	return Append(dst, &pgproto3.ParameterStatus{Name: name, Value: clean(value)})
}

// AppendComplete encodes a CommandComplete with the tag after dst.
func AppendComplete(dst []byte, tag string) []byte {
	return Append(dst, &pgproto3.CommandComplete{CommandTag: []byte(tag)})
}
