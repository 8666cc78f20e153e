package owner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/promotion"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

// hookedConn runs a function before the first answer to a command of the kind.
type hookedConn struct {
	*scriptedConn
	kind statement.Kind
	hook func()
}

func (c *hookedConn) Do(ctx context.Context, commands ...member.Command) ([]statement.Answer, error) {
	if commands[0].Kind == c.kind && c.hook != nil {
		c.hook()
		c.hook = nil
	}
	return c.scriptedConn.Do(ctx, commands...)
}

// leadSynchronously makes m1 the confirmed primary of a group with one synchronous replica.
func leadSynchronously(g *Group) {
	g.machine.SetSyncReplicas(1)
	now := g.o.Clock()
	g.machine.SetMembers([]promotion.Info{{ID: "m1"}, {ID: "m2"}}, now)
	g.machine.StatusDone("m1", promotion.Status{Role: upstream.RolePrimary, Term: 1, Position: position.Position{Term: 1, LSN: 5}}, now)
	now = now.Add(time.Second)
	g.machine.Tick(now)
	g.machine.PromoteDone("m1", promotion.ResultAccepted, now)
}

// orderReplacement has the machine order the promotion of m2, whose log ends at 1/5.
func orderReplacement(t *testing.T, g *Group) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock().Add(2 * time.Second)
	g.machine.SetMembers([]promotion.Info{{ID: "m1", Leaving: true}, {ID: "m2"}}, now)
	g.machine.Tick(now)
	g.machine.PrimaryIdle()
	g.machine.StatusDone("m2", promotion.Status{Role: upstream.RoleReplica, Term: 1, Position: position.Position{Term: 1, LSN: 5}}, now)
	g.machine.Tick(now)
	if phase, _, cause := g.machine.Phase(); phase != promotion.PhasePromoting {
		t.Fatalf("phase %s: %s", phase, cause)
	}
}

func commitOf(s operation.SessionID) *operation.Request {
	return &operation.Request{
		Session: s, Database: "orders", Key: "k1", CatalogRevision: 5, InTransaction: true,
		Statement: statement.Statement{ID: "2", Kind: statement.KindCommit},
	}
}

// Guards against the loss of a commit that the primary acknowledges after its successor, which lacks it, was ordered to lead.
func TestACommitIsNotSentToAPrimaryThatIsBeingReplaced(t *testing.T) {
	is := is.New(t)
	committed := statement.Answer{Position: position.Position{Term: 1, LSN: 6}}
	g, s, _, conn := openTestTransaction(t, committed, statement.Answer{})
	leadSynchronously(g)
	orderReplacement(t, g)
	resp := g.runInTransaction(context.Background(), commitOf(s))
	is.Equal(resp.Code, statement.CodeAborted)
	is.Equal(conn.awaitCommands(t, 3)[2:], []statement.Kind{statement.KindRollback})
}

// Guards against the same for a commit that is under way when the order is sent.
func TestACommitThatIsAnsweredDuringAReplacementIsInDoubt(t *testing.T) {
	for _, held := range []bool{false, true} {
		is := is.New(t)
		committed := statement.Answer{Position: position.Position{Term: 1, LSN: 6}}
		if held {
			committed.Position.LSN = 5
		}
		g, s, l, conn := openTestTransaction(t, committed)
		leadSynchronously(g)
		l.conn = &hookedConn{scriptedConn: conn, kind: statement.KindCommit, hook: func() { orderReplacement(t, g) }}
		resp := g.runInTransaction(context.Background(), commitOf(s))
		want := statement.CodeInDoubt
		if held {
			want = statement.CodeOK
		}
		is.Equal(resp.Code, want)
	}
}

// Guards against the same for a single write.
func TestAWriteThatIsAnsweredDuringAReplacementIsInDoubt(t *testing.T) {
	is := is.New(t)
	g := newServingGroup(&fakeAuthority{})
	leadSynchronously(g)
	l, conn := newTestConn(statement.Answer{Position: position.Position{Term: 1, LSN: 6}})
	l.conn = &hookedConn{scriptedConn: conn, kind: statement.KindWrite, hook: func() { orderReplacement(t, g) }}
	k := testCall(statement.KindWrite)
	answer, err := g.execute(context.Background(), k, l, true)
	resp, again := g.completeAttempt(context.Background(), k, l, true, answer, err)
	is.True(!again)
	is.Equal(resp.Code, statement.CodeInDoubt)
	is.True(g.history.Latest().IsZero())
}
