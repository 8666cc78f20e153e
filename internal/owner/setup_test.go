package owner

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/statement"
)

var failedAnswer = statement.Answer{Code: statement.CodeFailed}

// kindsSent returns the kinds of the commands that were sent.
func (c *scriptedConn) kindsSent() []statement.Kind {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kinds []statement.Kind
	for _, s := range c.sent {
		kinds = append(kinds, s.Kind)
	}
	return kinds
}

// runScripted runs the call on a connection that gives the answers, and completes the attempt.
func runScripted(t *testing.T, k *call, primary bool, answers ...statement.Answer) (*Group, *memberConn, *scriptedConn, operation.Response) {
	t.Helper()
	g := newServingGroup(&fakeAuthority{})
	l, conn := newTestConn(answers...)
	g.conns[l.id] = l
	answer, err := g.execute(context.Background(), k, l, primary)
	resp, _ := g.completeAttempt(context.Background(), k, l, primary, answer, err)
	return g, l, conn, resp
}

// Guards against statements that run with other session values than their session's, or with a prepared statement that the member does
// not have, because what sets them up fails and the statement is already on its way.
func TestAStatementIsNotSentBeforeItsSessionIsSetUp(t *testing.T) {
	for _, c := range []struct {
		name    string
		kind    statement.Kind
		primary bool
		values  map[string]string
		prepare bool
	}{
		{"write", statement.KindWrite, true, map[string]string{"a": "1"}, false},
		{"read at a replica", statement.KindRead, false, map[string]string{"a": "1"}, false},
		{"prepared write", statement.KindExecute, true, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := testCall(c.kind)
			k.r.Values, k.r.Statement.Prepared.Writes = c.values, c.prepare
			g, l, conn, resp := runScripted(t, k, c.primary,
				failedAnswer, failedAnswer, failedAnswer, failedAnswer, failedAnswer)
			for _, kind := range conn.kindsSent() {
				is.True(kind != c.kind) // the statement was sent
			}
			is.Equal(resp.Code, statement.CodeBusy) // nothing ran
			is.True(g.conns[l.id] != l)             // nobody else may use the connection
		})
	}
}

// Guards against the same with the values of the session that has used the connection before: the RESET between them fails.
func TestAStatementIsNotSentAfterAFailedReset(t *testing.T) {
	is := is.New(t)
	first := testCall(statement.KindWrite)
	first.r.Values = map[string]string{"a": "1"}
	g, l, conn, resp := runScripted(t, first, true, statement.Answer{}, statement.Answer{},
		failedAnswer, failedAnswer, failedAnswer, statement.Answer{})
	is.Equal(resp.Code, statement.CodeOK)
	second := testCall(statement.KindWrite)
	answer, err := g.execute(context.Background(), second, l, true)
	resp, _ = g.completeAttempt(context.Background(), second, l, true, answer, err)
	is.Equal(resp.Code, statement.CodeBusy)
	is.Equal(conn.kindsSent()[2], statement.KindReset)
	for _, kind := range conn.kindsSent()[2:] {
		is.Equal(kind, statement.KindReset)
	}
	is.True(g.conns[l.id] != l)
}

// Guards against the same for a value that is set inside a transaction.
func TestAStatementOfATransactionIsNotSentBeforeItsValuesAreSet(t *testing.T) {
	is := is.New(t)
	g, s, l, conn := openTestTransaction(t, statement.Answer{Code: statement.CodeFailed, State: statement.TxOpen},
		statement.Answer{State: statement.TxOpen}, statement.Answer{State: statement.TxOpen})
	resp := g.runInTransaction(context.Background(), &operation.Request{
		Session: s, Database: "orders", Key: "k1", CatalogRevision: 5, InTransaction: true, Values: map[string]string{"a": "1"},
		Statement: statement.Statement{ID: "2", Kind: statement.KindWrite},
	})
	is.Equal(resp.Code, statement.CodeAborted)
	is.Equal(conn.kindsSent()[2:], []statement.Kind{statement.KindSet})
	is.True(g.conns[l.id] != l)
	<-conn.closed
}

// Guards against a new connection for each SET that a member fails once.
func TestAFailedSetupIsRepeated(t *testing.T) {
	is := is.New(t)
	k := testCall(statement.KindWrite)
	k.r.Values = map[string]string{"a": "1"}
	g, l, conn, resp := runScripted(t, k, true, failedAnswer, statement.Answer{}, statement.Answer{}, statement.Answer{})
	is.Equal(resp.Code, statement.CodeOK)
	is.Equal(conn.kindsSent(), []statement.Kind{statement.KindSet, statement.KindReset, statement.KindSet, statement.KindWrite})
	is.Equal(g.conns[l.id], l)
}
