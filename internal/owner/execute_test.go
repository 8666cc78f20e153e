package owner

import (
	"context"
	"fmt"
	"sync"
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
)

// scriptedConn answers commands from a list and records them.
type scriptedConn struct {
	mu      sync.Mutex
	answers []statement.Answer
	sent    []member.Command
	// closed is closed by Close, unless it is nil.
	closed chan struct{}
}

func (c *scriptedConn) Do(_ context.Context, commands ...member.Command) ([]statement.Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, commands...)
	n := len(commands)
	answers := c.answers[:n]
	c.answers = c.answers[n:]
	return answers, nil
}

// awaitCommands waits until n commands have been sent and returns their kinds.
func (c *scriptedConn) awaitCommands(t *testing.T, n int) []statement.Kind {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		var kinds []statement.Kind
		for _, s := range c.sent {
			kinds = append(kinds, s.Kind)
		}
		c.mu.Unlock()
		if len(kinds) >= n {
			return kinds
		}
		if time.Now().After(end) {
			t.Fatalf("%v was sent, want %d commands", kinds, n)
		}
	}
}

func (c *scriptedConn) Status(context.Context) (promotion.Status, error) {
	return promotion.Status{}, member.ErrBusy
}

func (c *scriptedConn) Close() {
	if c.closed != nil {
		close(c.closed)
	}
}

// newServingGroup returns a group that can run statements.
func newServingGroup(a Authority) *Group {
	g := newTestGroup(newCatalog(5, "orders", "mill", "k1"), a)
	g.o.Metrics = NewMetrics(prometheus.NewRegistry())
	return g
}

func newTestConn(answers ...statement.Answer) (*memberConn, *scriptedConn) {
	conn := &scriptedConn{answers: answers}
	return &memberConn{id: dispatch.ConnID(1), member: member.Member{ID: "m1"}, customer: "mill", conn: conn}, conn
}

func testCall(k statement.Kind) *call {
	return &call{
		r:       &operation.Request{Statement: statement.Statement{ID: "1", Kind: k}},
		route:   &catalog.Route{Database: "orders", Group: "g", Consistency: catalog.Primary},
		catalog: newCatalog(5, "orders", "mill", "k1"),
	}
}

// Guards against reads on a primary that another owner may have replaced: as a replica it answers them, and opens read-only
// transactions. The next owner need not wait for the end of this one's lease, so a valid lease changes nothing.
func TestReadsOnThePrimaryAreGuarded(t *testing.T) {
	const (
		begin     = statement.KindBegin
		beginRead = statement.KindBeginRead
		read      = statement.KindRead
		write     = statement.KindWrite
	)
	for _, c := range []struct {
		name   string
		begin  statement.Kind
		first  statement.Kind
		opened statement.Kind
	}{
		{"read", statement.KindInvalid, read, begin},
		{"write", statement.KindInvalid, write, write},
		{"read-only transaction", beginRead, read, begin},
		{"plain transaction", begin, read, begin},
		{"read-only transaction whose first statement writes", beginRead, write, beginRead},
	} {
		for _, unleased := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, unleased %t", c.name, unleased), func(t *testing.T) {
				is := is.New(t)
				g := newServingGroup(&fakeAuthority{unleased: unleased})
				l, conn := newTestConn(statement.Answer{State: statement.TxOpen}, statement.Answer{State: statement.TxOpen}, statement.Answer{})
				if c.opened == write {
					l, conn = newTestConn(statement.Answer{})
				}
				k := testCall(c.first)
				k.r.Begin = c.begin
				_, err := g.execute(context.Background(), k, l, true)
				is.NoErr(err)
				is.Equal(conn.sent[0].Kind, c.opened)
				is.Equal(k.tx.guarded, c.first == read && c.begin != begin)
			})
		}
	}
}

// Guards against a guarded read that is sent with its BEGIN in one go: after a refused BEGIN a replica would run it.
func TestAGuardedReadIsNotSentAfterARefusedBegin(t *testing.T) {
	for _, begin := range []statement.Kind{statement.KindInvalid, statement.KindBeginRead} {
		t.Run(begin.String(), func(t *testing.T) {
			is := is.New(t)
			g := newServingGroup(&fakeAuthority{})
			l, conn := newTestConn(statement.Answer{Code: statement.CodeReadOnly})
			k := testCall(statement.KindRead)
			k.r.Begin = begin
			answer, err := g.execute(context.Background(), k, l, true)
			is.NoErr(err)
			is.Equal(answer.Code, statement.CodeReadOnly)
			is.Equal(len(conn.sent), 1)
		})
	}
}

// Guards against writes in a guarded read-only transaction, which the member would accept.
func TestAGuardedReadTransactionRefusesWrites(t *testing.T) {
	is := is.New(t)
	g := newServingGroup(&fakeAuthority{unleased: true})
	l, conn := newTestConn(statement.Answer{State: statement.TxIdle})
	session := operation.SessionID{Instance: "i", Number: 1}
	g.txs[session] = &transaction{memberConn: l, mode: txMode{begin: statement.KindBegin, guarded: true}, primary: true}
	resp := g.runInTransaction(context.Background(), &operation.Request{
		Session: session, Database: "orders", Key: "k1", CatalogRevision: 5, InTransaction: true,
		Statement: statement.Statement{ID: "1", Kind: statement.KindWrite},
	})
	is.Equal(resp.Code, statement.CodeReadOnly)
	is.Equal(resp.State, statement.TxFailed)
	is.Equal(conn.awaitCommands(t, 1), []statement.Kind{statement.KindRollback})
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
		tx       txMode
		kind     statement.Kind
		observed bool
	}{
		{"read in a read-only transaction", readOnly, read, false},
		{"commit of a read-only transaction", readOnly, commit, false},
		{"write in a read-only transaction", readOnly, write, true},
		{"read in a plain transaction", plain, read, true},
		{"write in a plain transaction", plain, write, true},
		{"commit without a write", plain, commit, false},
		{"commit of a write", wrote, commit, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := newServingGroup(&fakeAuthority{})
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
			g := newServingGroup(&fakeAuthority{unleased: true})
			l, _ := newTestConn(statement.Answer{State: statement.TxOpen},
				statement.Answer{Code: code, State: statement.TxOpen, Position: position.Position{Term: 2, LSN: 7}}, statement.Answer{})
			_, err := g.execute(context.Background(), testCall(statement.KindRead), l, true)
			is.NoErr(err)
			is.Equal(g.history.Latest().IsZero(), code != statement.CodeOK)
		})
	}
}

// Guards against a transaction that nothing ends: the session's instance gave up its first statement, which was still running
// here, and the session has opened another transaction since.
func TestATransactionThatIsReplacedIsRolledBack(t *testing.T) {
	for _, busy := range []bool{false, true} {
		t.Run(fmt.Sprintf("busy %t", busy), func(t *testing.T) {
			is := is.New(t)
			g := newServingGroup(&fakeAuthority{})
			session := operation.SessionID{Instance: "i", Number: 1}
			older, olderConn := newTestConn(statement.Answer{State: statement.TxIdle})
			older.state.Record([]member.Command{member.OwnCommand(statement.KindBegin)}, []statement.Answer{{State: statement.TxOpen}})
			newer, _ := newTestConn()
			first := &transaction{memberConn: older, mode: txMode{begin: statement.KindBegin}, primary: true, busy: busy}
			g.txs[session] = first
			k := testCall(statement.KindRead)
			k.r.Session, k.r.Begin, k.tx = session, statement.KindBegin, txMode{begin: statement.KindBegin}
			_, again := g.completeAttempt(context.Background(), k, newer, true, statement.Answer{State: statement.TxOpen}, nil)
			is.True(!again)
			if busy {
				inside := testCall(statement.KindRead)
				inside.r.Session, inside.r.InTransaction = session, true
				g.completeInTransaction(context.Background(), inside, first, statement.Answer{State: statement.TxOpen}, nil)
			}
			g.mu.Lock()
			is.Equal(g.txs[session].memberConn, newer)
			g.mu.Unlock()
			is.Equal(olderConn.awaitCommands(t, 1), []statement.Kind{statement.KindRollback})
		})
	}
}

// Guards against a read that was assigned to the primary and sent unguarded, because the group learned between the assignment
// and the sending that the member does not lead: as a replica it answers from a log that lacks acknowledged commits.
func TestReadsAssignedToAPrimaryThatWasLostAreGuarded(t *testing.T) {
	is := is.New(t)
	g := newServingGroup(&fakeAuthority{})
	l, _ := newTestConn()
	g.conns[l.id] = l
	g.servingPrimary = ""
	k := testCall(statement.KindRead)
	g.queueItem(k, g.o.Clock())

	_, primary, refused := g.takeConn(dispatch.Assignment{Conn: l.id, Member: l.member.ID}, k)
	is.Equal(refused, nil)
	is.True(primary) // the read runs inside a plain transaction, which a replica refuses
}
