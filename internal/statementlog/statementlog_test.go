package statementlog

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/standin/group"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Guards against transactions of the groups' logs that lose their borders, so that mixing is not seen: each statement
// keeps the transaction and the connection that it ran in.
func TestConvertKeepsTransactions(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1, 0)
	log := []group.LoggedStatement{
		{Time: at, Role: upstream.RolePrimary, Connection: 1, Transaction: 1, SQL: "a", Outcome: group.OutcomeCommitted},
		{Time: at, Role: upstream.RoleReplica, Connection: 2, Transaction: 2, SQL: "b", Outcome: group.OutcomeRolledBack},
		{Time: at, Role: upstream.RolePrimary, Connection: 1, Transaction: 1, SQL: "c", Args: []any{int64(7)}},
		{Time: at, Role: upstream.RolePrimary, Connection: 1, Transaction: 3, SQL: "d", Outcome: group.OutcomeOpen},
	}
	got := Convert("g", log)
	is.Equal(len(got), len(log))
	for i, s := range got {
		is.Equal(s.Transaction, log[i].Transaction)
		is.Equal(s.Connection, uint64(log[i].Connection))
		is.Equal(s.Text, log[i].SQL)
		is.Equal(s.Role, log[i].Role)
	}
	is.Equal(got[2].Params, []string{"7"})
}
