// Package connstate records what a connection to a member holds of the session that uses it. The record changes only by the codes
// and states of the member's answers, so that a command which was refused or not answered never counts as carried out.
package connstate

import (
	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/statement"
)

// ErrUnanswered: a command was sent and not answered, so its effect on the connection is not known.
var ErrUnanswered = errors.New("a command on the connection was not answered")

// State is what a connection holds as far as the member has said. The zero value is the state of a new connection. It is used by
// one goroutine at a time.
type State struct {
	tx statement.TxState
	// unproven is why the state is not known; nil while it is.
	unproven error
}

// Record applies the member's answers to commands that were sent in one batch, in their order.
func (s *State) Record(sent []member.Command, answers []statement.Answer) {
	for _, a := range answers {
		s.tx = a.State
	}
	if len(answers) < len(sent) {
		s.unproven = ErrUnanswered
	}
}

// Transaction returns the transaction state that the member reported last.
func (s *State) Transaction() statement.TxState { return s.tx }

// Unproven returns why the state is not known, or nil. A connection of unproven state must be closed.
func (s *State) Unproven() error { return s.unproven }
