package owner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/dispatch"
	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/promotion"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

// scriptedConn answers commands from a list and records them.
type scriptedConn struct {
	answers []statement.Answer
	sent    []member.Command
}

func (c *scriptedConn) Do(_ context.Context, commands ...member.Command) ([]statement.Answer, error) {
	c.sent = append(c.sent, commands...)
	n := len(commands)
	answers := c.answers[:n]
	c.answers = c.answers[n:]
	return answers, nil
}

func (c *scriptedConn) Status(context.Context) (promotion.Status, error) {
	return promotion.Status{}, member.ErrBusy
}

func (c *scriptedConn) Close() {}

// newLeadingGroup returns a group whose primary m1 is confirmed under the owner's token.
func newLeadingGroup(a Authority) *Group {
	g := newTestGroup(newCatalog(5, "orders", "mill", "k1"), a)
	g.o.Metrics = NewMetrics(prometheus.NewRegistry())
	g.machine.SetMembers([]promotion.Info{{ID: "m1"}}, epoch)
	g.machine.StatusDone("m1", promotion.Status{Role: upstream.RolePrimary, Term: 1}, epoch)
	g.machine.PromoteDone("m1", promotion.ResultAccepted, epoch)
	g.servingPrimary = "m1"
	return g
}

func newTestConn(answers ...statement.Answer) (*memberConn, *scriptedConn) {
	conn := &scriptedConn{answers: answers}
	return &memberConn{id: dispatch.ConnID(1), member: member.Member{ID: "m1"}, customer: "mill", conn: conn}, conn
}

func testCall(k statement.Kind) *call {
	return &call{
		r:     &operation.Request{Statement: statement.Statement{ID: "1", Kind: k}},
		route: &catalog.Route{Database: "orders", Group: "g", Consistency: catalog.Primary},
	}
}

// Guards against read-only transactions on a primary that another owner may have replaced: as a replica it accepts them.
func TestReadTransactionsOnAnUnconfirmedPrimaryAreGuarded(t *testing.T) {
	for _, c := range []struct {
		name     string
		unleased bool
		begin    statement.Kind
		first    statement.Kind
		opened   statement.Kind
	}{
		{"confirmed", false, statement.KindBeginRead, statement.KindRead, statement.KindBeginRead},
		{"unconfirmed", true, statement.KindBeginRead, statement.KindRead, statement.KindBegin},
		{"unconfirmed, plain", true, statement.KindBegin, statement.KindRead, statement.KindBegin},
		{"unconfirmed, first statement writes", true, statement.KindBeginRead, statement.KindWrite, statement.KindBeginRead},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := newLeadingGroup(&fakeAuthority{unleased: c.unleased})
			l, conn := newTestConn(statement.Answer{State: statement.TxOpen}, statement.Answer{State: statement.TxOpen})
			k := testCall(c.first)
			k.r.Begin = c.begin
			_, err := g.execute(context.Background(), k, l, true)
			is.NoErr(err)
			is.Equal(conn.sent[0].Kind, c.opened)
			is.Equal(k.tx.guarded, c.opened != c.begin)
		})
	}
}

// Guards against writes in a guarded read-only transaction, which the member would accept.
func TestAGuardedReadTransactionRefusesWrites(t *testing.T) {
	is := is.New(t)
	g := newLeadingGroup(&fakeAuthority{unleased: true})
	l, conn := newTestConn(statement.Answer{State: statement.TxIdle})
	session := operation.SessionID{Instance: "i", Number: 1}
	g.txs[session] = &transaction{memberConn: l, mode: txMode{begin: statement.KindBegin, guarded: true}, primary: true}
	resp := g.runInTransaction(context.Background(), &operation.Request{
		Session: session, Database: "orders", Key: "k1", CatalogRevision: 5, InTransaction: true,
		Statement: statement.Statement{ID: "1", Kind: statement.KindWrite},
	})
	is.Equal(resp.Code, statement.CodeReadOnly)
	is.Equal(resp.State, statement.TxFailed)
	for l.busy() {
		time.Sleep(time.Millisecond) // until the transaction has been rolled back
	}
	is.Equal(len(conn.sent), 1)
	is.Equal(conn.sent[0].Kind, statement.KindRollback)
}

// Guards against floors of replica reads that lack commits: the log of a primary that another owner has replaced does not
// hold what was acknowledged since.
func TestPositionsOfAReplacedPrimaryAreNotObserved(t *testing.T) {
	const (
		read   = statement.KindRead
		write  = statement.KindWrite
		commit = statement.KindCommit
	)
	readOnly, plain := txMode{begin: statement.KindBeginRead}, txMode{begin: statement.KindBegin}
	wrote := txMode{begin: statement.KindBegin, wrote: true}
	for _, c := range []struct {
		name     string
		unleased bool
		tx       txMode
		kind     statement.Kind
		observed bool
	}{
		{"read in a read-only transaction", false, readOnly, read, true},
		{"read in a read-only transaction, unconfirmed", true, readOnly, read, false},
		{"commit of a read-only transaction, unconfirmed", true, readOnly, commit, false},
		{"read in a plain transaction, unconfirmed", true, plain, read, true},
		{"write in a plain transaction, unconfirmed", true, plain, write, true},
		{"commit without a write, unconfirmed", true, plain, commit, false},
		{"commit without a write", false, plain, commit, true},
		{"commit of a write, unconfirmed", true, wrote, commit, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := newLeadingGroup(&fakeAuthority{unleased: c.unleased})
			l, _ := newTestConn(statement.Answer{State: statement.TxOpen, Position: position.Position{Term: 2, LSN: 7}})
			k := testCall(c.kind)
			k.tx, k.r.InTransaction = c.tx, true
			_, err := g.executeInTransaction(context.Background(), k, l, true)
			is.NoErr(err)
			is.Equal(!g.history.Latest().IsZero(), c.observed)
		})
	}
}

// Guards against the same through a guarded read that the member refuses between its BEGIN and the read.
func TestThePositionOfARefusedGuardedReadIsNotObserved(t *testing.T) {
	for _, code := range []statement.Code{statement.CodeOK, statement.CodeReadOnly} {
		t.Run(code.String(), func(t *testing.T) {
			is := is.New(t)
			g := newLeadingGroup(&fakeAuthority{unleased: true})
			l, _ := newTestConn(statement.Answer{State: statement.TxOpen},
				statement.Answer{Code: code, Position: position.Position{Term: 2, LSN: 7}}, statement.Answer{})
			_, err := g.execute(context.Background(), testCall(statement.KindRead), l, true)
			is.NoErr(err)
			is.Equal(g.history.Latest().IsZero(), code != statement.CodeOK)
		})
	}
}

// Guards against the position of a former primary that this owner itself has replaced while the statement ran.
func TestThePositionOfAPrimaryReplacedByThisOwnerIsNotObserved(t *testing.T) {
	is := is.New(t)
	g := newLeadingGroup(&fakeAuthority{})
	g.servingPrimary = "m2"
	l, _ := newTestConn(statement.Answer{State: statement.TxOpen, Position: position.Position{Term: 2, LSN: 7}})
	k := testCall(statement.KindRead)
	k.tx, k.r.InTransaction = txMode{begin: statement.KindBeginRead}, true
	_, err := g.executeInTransaction(context.Background(), k, l, true)
	is.NoErr(err)
	is.True(g.history.Latest().IsZero())
}
