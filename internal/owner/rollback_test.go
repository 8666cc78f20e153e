package owner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/dispatch"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/statement"
)

var (
	openAnswer    = statement.Answer{State: statement.TxOpen}
	refusedAnswer = statement.Answer{Code: statement.CodeBusy, State: statement.TxOpen}
)

// openTestTransaction opens a transaction of a session on a connection whose further answers are the given ones.
func openTestTransaction(t *testing.T, answers ...statement.Answer) (*Group, operation.SessionID, *memberConn, *scriptedConn) {
	t.Helper()
	g := newServingGroup(&fakeAuthority{})
	l, conn := newTestConn(append([]statement.Answer{openAnswer, openAnswer}, answers...)...)
	conn.closed = make(chan struct{})
	g.conns[l.id] = l
	k := testCall(statement.KindWrite)
	k.r.Session, k.r.Begin = operation.SessionID{Instance: "i", Number: 1}, statement.KindBegin
	answer, err := g.execute(context.Background(), k, l, true)
	resp, _ := g.completeAttempt(context.Background(), k, l, true, answer, err)
	is.New(t).Equal(resp.Code, statement.CodeOK)
	return g, k.r.Session, l, conn
}

// awaitRelease waits until the connection has been used and released, and returns whether the group has kept it.
func awaitRelease(t *testing.T, g *Group, l *memberConn) (kept bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		g.mu.Lock()
		kept := g.conns[l.id] == l
		released := !kept || !l.busy() && len(g.txs) == 0
		g.mu.Unlock()
		if released {
			return kept
		}
	}
	t.Fatal("the connection was not released")
	return false
}

// Guards against a connection that is used on inside an open transaction, because the member has refused its ROLLBACK.
func TestAConnectionWhoseRollbackIsRefusedIsNotUsedOn(t *testing.T) {
	for name, end := range map[string]func(g *Group, s operation.SessionID){
		"ended by its session": func(g *Group, s operation.SessionID) { g.endTransaction(s) },
		"idle for too long": func(g *Group, _ operation.SessionID) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.endIdleTransactions(g.o.Catalog(), g.o.Clock().Add(time.Hour))
		},
		"refused for its key": func(g *Group, s operation.SessionID) {
			g.runInTransaction(context.Background(), &operation.Request{
				Session: s, Database: "orders", Key: "unknown", CatalogRevision: 5, InTransaction: true,
				Statement: statement.Statement{ID: "2", Kind: statement.KindRead},
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, s, l, conn := openTestTransaction(t, refusedAnswer, refusedAnswer, refusedAnswer, statement.Answer{})
			end(g, s)
			is.True(!awaitRelease(t, g, l))
			<-conn.closed
		})
	}
}

// Guards against the same after a statement of the transaction that the member refused.
func TestAConnectionWhoseRollbackIsRefusedAfterARefusedStatementIsNotUsedOn(t *testing.T) {
	is := is.New(t)
	g, s, l, conn := openTestTransaction(t, refusedAnswer, refusedAnswer, refusedAnswer, refusedAnswer, statement.Answer{})
	resp := g.runInTransaction(context.Background(), &operation.Request{
		Session: s, Database: "orders", Key: "k1", CatalogRevision: 5, InTransaction: true,
		Statement: statement.Statement{ID: "2", Kind: statement.KindWrite},
	})
	is.Equal(resp.Code, statement.CodeBusy)
	is.True(!awaitRelease(t, g, l))
	<-conn.closed
}

// Guards against a new connection for each ROLLBACK that a member refuses once.
func TestARefusedRollbackIsRepeated(t *testing.T) {
	is := is.New(t)
	g, s, l, conn := openTestTransaction(t, refusedAnswer, statement.Answer{})
	g.endTransaction(s)
	is.Equal(conn.awaitCommands(t, 4)[2:], []statement.Kind{statement.KindRollback, statement.KindRollback})
	is.True(awaitRelease(t, g, l))
}

// Guards against an acknowledged write that runs in a transaction which nobody commits: a single statement that succeeds inside an
// open transaction is not taken for the first one of its own.
func TestAWriteInsideATransactionOfNobodyIsInDoubt(t *testing.T) {
	is := is.New(t)
	g := newServingGroup(&fakeAuthority{})
	l, conn := newTestConn(openAnswer)
	conn.closed = make(chan struct{})
	g.conns[l.id] = l
	k := testCall(statement.KindWrite)
	answer, err := g.execute(context.Background(), k, l, true)
	resp, again := g.completeAttempt(context.Background(), k, l, true, answer, err)
	is.True(!again)
	is.Equal(resp.Code, statement.CodeInDoubt)
	is.Equal(len(g.txs), 0)
	<-conn.closed
}

// Guards against statements outside the transaction of their session: one that a member answers as outside any transaction does not
// count as a part of it.
func TestAStatementThatLeavesItsTransactionIsNotAcknowledged(t *testing.T) {
	is := is.New(t)
	g, s, _, conn := openTestTransaction(t, statement.Answer{State: statement.TxIdle})
	resp := g.runInTransaction(context.Background(), &operation.Request{
		Session: s, Database: "orders", Key: "k1", CatalogRevision: 5, InTransaction: true,
		Statement: statement.Statement{ID: "2", Kind: statement.KindWrite},
	})
	is.Equal(resp.Code, statement.CodeInDoubt)
	<-conn.closed
}

// Guards against a first statement that runs outside its transaction, because the member answers BEGIN and opens none.
func TestAFirstStatementIsNotSentWithoutItsTransaction(t *testing.T) {
	is := is.New(t)
	g := newServingGroup(&fakeAuthority{})
	l, conn := newTestConn(statement.Answer{State: statement.TxIdle}, statement.Answer{})
	l.id = dispatch.ConnID(2)
	k := testCall(statement.KindWrite)
	k.r.Begin = statement.KindBegin
	_, err := g.execute(context.Background(), k, l, true)
	is.True(err != nil)
	is.Equal(len(conn.sent), 1)
}
