// Package connstate records what a connection to a member holds of the session that uses it: its transaction, its values and its
// prepared statements. The record changes only by the codes and states of the member's answers, so that a command which was refused,
// failed or not answered never counts as carried out.
package connstate

import (
	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/statement"
)

// Reasons for which the state of a connection is not known.
var (
	// ErrUnanswered: a command was sent and not answered.
	ErrUnanswered = errors.New("a command on the connection was not answered")
	// ErrValuesUnknown: a change of the session values has failed, which may have had a part of its effect.
	ErrValuesUnknown = errors.New("a change of the session values on the connection failed")
	// ErrContradicted: the member does not know a statement that it has prepared.
	ErrContradicted = errors.New("the member does not know a statement that was prepared on the connection")
)

// State is what a connection holds as far as the member has said. The zero value is the state of a new connection. It is used by
// one goroutine at a time.
type State struct {
	tx       statement.TxState
	values   map[string]string
	prepared map[string]statement.Prepared
	// valuesUnknown is true while the member may hold other values than the recorded ones.
	valuesUnknown bool
	// lost is why the state cannot be known any more; nil while it can.
	lost error
}

// Record applies the member's answers to commands that were sent in one batch, in their order.
func (s *State) Record(sent []member.Command, answers []statement.Answer) {
	for i, a := range answers {
		s.tx = a.State
		s.recordCommand(sent[i].Statement, a.Code)
	}
	if len(answers) < len(sent) {
		s.lost = ErrUnanswered
	}
}

func (s *State) recordCommand(c statement.Statement, code statement.Code) {
	switch {
	case code == statement.CodeOK:
		s.recordSuccess(c)
	case code == statement.CodeUnknownStatement && c.Kind == statement.KindExecute:
		if _, ok := s.prepared[c.Name]; ok {
			s.lost = ErrContradicted
		}
	case code.NotRun():
	default:
		s.recordFailure(c)
	}
}

func (s *State) recordSuccess(c statement.Statement) {
	switch c.Kind {
	case statement.KindSet:
		if s.values == nil {
			s.values = make(map[string]string)
		}
		s.values[c.Name] = c.Value
	case statement.KindReset:
		s.values, s.prepared, s.valuesUnknown = nil, nil, false
	case statement.KindPrepare:
		if s.prepared == nil {
			s.prepared = make(map[string]statement.Prepared)
		}
		s.prepared[c.Name] = c.Prepared
	default:
	}
}

// recordFailure records a command that may have had a part of its effect.
func (s *State) recordFailure(c statement.Statement) {
	switch c.Kind {
	case statement.KindSet:
		s.valuesUnknown = true
	case statement.KindReset:
		s.prepared, s.valuesUnknown = nil, true
	case statement.KindPrepare:
		delete(s.prepared, c.Name)
	default:
	}
}

// Transaction returns the transaction state that the member reported last.
func (s *State) Transaction() statement.TxState { return s.tx }

// Unproven returns why the state is not known, or nil. A connection of unproven state must not be given to another session.
func (s *State) Unproven() error {
	if s.lost == nil && s.valuesUnknown {
		return ErrValuesUnknown
	}
	return s.lost
}
