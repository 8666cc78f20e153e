// Package statementlog turns the statement log of the stand-in group into the form that the checkers read.
package statementlog

import (
	"fmt"
	"strings"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/standin/group"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Convert returns the statements of one member's log.
func Convert(id upstream.GroupID, log []group.LoggedStatement) []check.Statement {
	out := make([]check.Statement, 0, len(log))
	for i := range log {
		out = append(out, convert(id, &log[i]))
	}
	return out
}

// instanceOf cuts the start time of the process off the owner of a claim.
func instanceOf(owner instance.ID) instance.ID {
	id, _, _ := strings.Cut(string(owner), "#")
	return instance.ID(id)
}

func convert(id upstream.GroupID, l *group.LoggedStatement) check.Statement {
	s := check.Statement{
		Group:       id,
		Member:      l.Member,
		Role:        l.Role,
		Connection:  uint64(l.Connection),
		Transaction: l.Transaction,
		Owner:       instanceOf(l.Owner),
		Customer:    l.Customer,
		Text:        l.SQL,
		Start:       l.Time,
		Position:    l.Position,
		Code:        l.State,
	}
	for _, a := range l.Args {
		s.Params = append(s.Params, fmt.Sprint(a))
	}
	return s
}
