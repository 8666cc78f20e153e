package owner

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/dispatch"
	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

// newReadingGroup returns a group with two replicas and a read that runs on a connection to one of them.
func newReadingGroup(log *strings.Builder) (*Group, *memberConn) {
	g := newServingGroup(&fakeAuthority{})
	g.log = hclog.New(&hclog.LoggerOptions{Output: log})
	g.scheduler.SetLimits(dispatch.DefaultLimits(20))
	g.scheduler.SetMembers([]dispatch.MemberConfig{{ID: "m1", Slots: 4, Usable: true}, {ID: "m2", Slots: 4, Usable: true}}, epoch)
	it := dispatch.Item{Customer: "mill", Need: dispatch.NeedAny, Due: epoch.Add(time.Second), Deadline: epoch.Add(time.Second), Cost: 10 * time.Millisecond}
	g.scheduler.Submit(it, epoch)
	open := g.scheduler.Plan(epoch).Opens[0]
	g.scheduler.Opened(open.Conn, epoch)
	g.scheduler.Plan(epoch)
	l, _ := newTestConn()
	l.id, l.member.ID = open.Conn, open.Member
	l.markSent(epoch)
	g.conns[l.id] = l
	return g, l
}

// Guards against reads that wait until their deadline for a replica that hangs a part of its statements.
func TestAnUnansweredReadIsRunElsewhere(t *testing.T) {
	is := is.New(t)
	var log strings.Builder
	g, l := newReadingGroup(&log)
	ctx, cancel := l.context(context.Background())
	defer cancel(nil)
	for range 2 {
		g.applyPlan(epoch)
		is.NoErr(ctx.Err())
		g.scheduler.ObserveFailure(l.id, epoch) // counts once for a statement
	}
	g.applyPlan(epoch.Add(200 * time.Millisecond))
	is.NoErr(ctx.Err()) // one failure is not enough
	failOthers(g, l.member.ID)
	g.applyPlan(epoch.Add(250 * time.Millisecond))
	is.NoErr(ctx.Err()) // it may only be slow
	g.applyPlan(epoch.Add(300 * time.Millisecond))
	is.Equal(context.Cause(ctx), errUnanswered)
	t.Log(log.String())
	is.True(strings.Contains(log.String(), "judgement=failing before=normal"))
	c := testCall(statement.KindRead)
	_, again := g.completeLostAttempt(context.Background(), c, l, errUnanswered)
	is.True(again)
	is.Equal(c.avoid, l.member.ID)
}

// failOthers lets the member fail four statements of other customers.
func failOthers(g *Group, id upstream.MemberID) {
	for _, customer := range []string{"a", "b", "c", "d"} {
		for _, o := range g.scheduler.Prewarm([]string{customer}, epoch) {
			g.scheduler.Opened(o.Conn, epoch)
			if o.Member == id {
				g.scheduler.ObserveFailure(o.Conn, epoch)
			}
		}
	}
}

// Guards against a customer whose session values members refuse and who makes replicas count as failing.
func TestOnlyLostConnectionsCountAsFailures(t *testing.T) {
	is := is.New(t)
	var log strings.Builder
	g, l := newReadingGroup(&log)
	refused := setupError([]statement.Answer{{Code: statement.CodeFailed}})
	is.True(errors.Is(refused, member.ErrLost))
	g.observeLoss(l, refused)
	is.Equal(g.scheduler.States(epoch)[l.member.ID].FailureShare, 0.0)
	g.observeLoss(l, member.ErrLost)
	is.True(g.scheduler.States(epoch)[l.member.ID].FailureShare > 0)
}

// Guards against costs that are learned from a slow replica as if all were slow.
func TestCostsAreThoseOfANormalReplica(t *testing.T) {
	is := is.New(t)
	var log strings.Builder
	g, l := newReadingGroup(&log)
	c := testCall(statement.KindRead)
	other, _ := newTestConn()
	open := g.scheduler.Prewarm([]string{"other"}, epoch)
	for _, o := range open {
		if o.Member != l.member.ID {
			other.id, other.member.ID = o.Conn, o.Member
		}
	}
	for i := range 200 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		g.observeTime(c, l, 50*time.Millisecond, now)
		g.observeTime(c, other, 10*time.Millisecond, now)
	}
	cost := g.costs.estimate(c.route, c.r.Statement)
	is.True(cost >= 8*time.Millisecond && cost <= 15*time.Millisecond)
}

// Guards against a customer whose reads fail at every member and make replicas count as failing for all customers.
func TestOnlyFailuresThatAnotherAttemptAvoidsCount(t *testing.T) {
	for _, c := range []struct {
		name    string
		last    statement.Code
		failing bool
	}{{"fails everywhere", statement.CodeFailed, false}, {"runs elsewhere", statement.CodeOK, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var log strings.Builder
			g, l := newReadingGroup(&log)
			for range 20 {
				read := testCall(statement.KindRead)
				for _, code := range []statement.Code{statement.CodeFailed, c.last} {
					_, again := g.completeAttempt(context.Background(), read, l, false, statement.Answer{Code: code}, nil)
					is.Equal(again, code == statement.CodeFailed)
				}
			}
			is.Equal(g.scheduler.States(epoch)[l.member.ID].Failing, c.failing)
		})
	}
}
