package owner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/statement"
)

// breakingConn breaks after its answers.
type breakingConn struct{ scriptedConn }

func (c *breakingConn) Do(ctx context.Context, commands ...member.Command) ([]statement.Answer, error) {
	if len(c.answers) >= len(commands) {
		return c.scriptedConn.Do(ctx, commands...)
	}
	return c.answers, member.ErrLost
}

// Guards against usage that counts what no member began, or omits what one began: rejections, statements of celerystep, lost answers
// and retries.
func TestStatementsThatAMemberBeganAreCounted(t *testing.T) {
	const read, write = statement.KindRead, statement.KindWrite
	ok, open := statement.Answer{}, statement.Answer{State: statement.TxOpen}
	code := func(c statement.Code) statement.Answer { return statement.Answer{Code: c} }
	for _, c := range []struct {
		name  string
		kind  statement.Kind
		begin statement.Kind
		// answers holds those of each attempt; the connection breaks when there are too few.
		answers [][]statement.Answer
		want    uint32
	}{
		{"write", write, 0, [][]statement.Answer{{ok}}, 1},
		{"guarded read", read, 0, [][]statement.Answer{{open, open, ok}}, 1},
		{"read after a refused BEGIN of celerystep", read, 0, [][]statement.Answer{{code(statement.CodeReadOnly)}}, 0},
		{"lost BEGIN", write, statement.KindBegin, [][]statement.Answer{{}}, 0},
		{"lost answer after a BEGIN", write, statement.KindBegin, [][]statement.Answer{{open}}, 1},
		{"rejected", write, 0, [][]statement.Answer{{code(statement.CodeBusy)}}, 0},
		{"failed", write, 0, [][]statement.Answer{{code(statement.CodeFailed)}}, 1},
		{"lost answer", write, 0, [][]statement.Answer{{}}, 1},
		{"retried after a rejection", write, 0, [][]statement.Answer{{code(statement.CodeConnectionLimit)}, {ok}}, 1},
		{"retried after a lost answer", read, 0, [][]statement.Answer{{open}, {open, open, ok}}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := newServingGroup(&fakeAuthority{})
			k := testCall(c.kind)
			k.r.Begin = c.begin
			now := epoch
			g.o.Clock = func() time.Time { return now }
			k.arrived = epoch.Add(-time.Second)
			for _, answers := range c.answers {
				now = now.Add(time.Second)
				l, _ := newTestConn()
				l.conn = &breakingConn{scriptedConn{answers: answers}}
				answer, err := g.execute(context.Background(), k, l, true)
				k.begun.finish(answer.Code, err)
			}
			var resp operation.Response
			k.begun.record(&resp, k.arrived)
			is.Equal(resp.Began, c.want)
			if c.want > 0 {
				is.Equal(resp.BeganAfter, time.Duration(1+len(c.answers))*time.Second)
			}
		})
	}
}

// Guards against responses within a transaction that do not say whether a member began the statement.
func TestStatementsOfATransactionAreCounted(t *testing.T) {
	is := is.New(t)
	g := newServingGroup(&fakeAuthority{})
	l, _ := newTestConn(statement.Answer{State: statement.TxOpen}, statement.Answer{Code: statement.CodeFailed, State: statement.TxIdle})
	session := operation.SessionID{Instance: "i", Number: 1}
	g.txs[session] = &transaction{memberConn: l, mode: txMode{begin: statement.KindBegin}, primary: true}
	run := func() operation.Response {
		return g.runInTransaction(context.Background(), &operation.Request{
			Session: session, Database: "orders", Key: "k1", CatalogRevision: 5, InTransaction: true,
			Statement: statement.Statement{ID: "1", Kind: statement.KindWrite},
		})
	}
	l.customer = "mill"
	is.Equal(run().Began, uint32(1))
	is.Equal(run().Began, uint32(1)) // it failed, after it began
	is.Equal(run().Began, uint32(0)) // the transaction has ended
}

// Guards against a customer above its rate: a read that a member began and failed, and whose next attempt was refused, has used
// its token.
func TestTheTokenOfAReadThatRanIsNotReturned(t *testing.T) {
	is := is.New(t)
	c := testCall(statement.KindRead)
	is.True(c.refundable(statement.CodeBusy))
	c.begun.markSent(time.Unix(1, 0))
	c.begun.finish(statement.CodeFailed, nil)
	is.True(!c.refundable(statement.CodeBusy))
	is.True(!c.refundable(statement.CodeOK))
}
