package connstate

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/statement"
)

const (
	// maxPrepared limits the statements prepared on one connection; the connection is reset when it is reached.
	maxPrepared = 100
	// maxPreparedInTransaction is the limit while a transaction is open, in which the connection cannot be reset.
	maxPreparedInTransaction = 2 * maxPrepared
)

// Setup returns the commands that are still needed before the statement of a session with the given values may be sent; none if
// the connection is ready for it. They have no effect on the record before their answers are recorded.
func (s *State) Setup(values map[string]string, st statement.Statement) []member.Command {
	var out []member.Command
	held, prepared := s.values, s.prepared
	if s.valuesUnknown || s.hasExtraValues(values) || len(s.prepared) >= s.preparedLimit() {
		out = append(out, member.OwnCommand(statement.KindReset))
		held, prepared = nil, nil
	}
	out = append(out, changedValues(held, values)...)
	if st.Kind != statement.KindExecute {
		return out
	}
	name := PreparedName(st.Prepared)
	if known, ok := prepared[name]; ok && known == st.Prepared {
		return out
	}
	c := member.OwnCommand(statement.KindPrepare)
	c.Name, c.Prepared = name, st.Prepared
	return append(out, c)
}

func (s *State) preparedLimit() int {
	if s.tx == statement.TxIdle {
		return maxPrepared
	}
	return maxPreparedInTransaction
}

// hasExtraValues reports whether the connection has a value set that the session does not have.
func (s *State) hasExtraValues(values map[string]string) bool {
	for name := range s.values {
		if _, ok := values[name]; !ok {
			return true
		}
	}
	return false
}

// changedValues returns the commands that set what differs from the held values, by name.
func changedValues(held, values map[string]string) []member.Command {
	names := make([]string, 0, len(values))
	for name, v := range values {
		if held[name] != v {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var out []member.Command
	for _, name := range names {
		c := member.OwnCommand(statement.KindSet)
		c.Name, c.Value = name, values[name]
		out = append(out, c)
	}
	return out
}

// PreparedName returns the name under which a statement is prepared on members, which is independent of the callers' names for it.
func PreparedName(p statement.Prepared) string {
	kind := "r"
	if p.Writes {
		kind = "w"
	}
	return fmt.Sprintf("%s%016x", kind, xxhash.Sum64String(p.Definition))
}
