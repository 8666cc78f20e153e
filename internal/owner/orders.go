package owner

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/contain"
	"github.com/celerystep/celerystep/internal/dispatch"
	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/promotion"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	probeTimeout   = 250 * time.Millisecond
	promoteTimeout = time.Second
)

// perform carries out an action of the promotion state machine. The group is locked.
func (g *Group) perform(ctx context.Context, a promotion.Action) {
	switch a.Kind {
	case promotion.ActionProbe:
		g.o.Metrics.Probes.Inc()
		go g.probe(ctx, g.members[a.Member])
	case promotion.ActionPromote, promotion.ActionConfirm:
		if a.Kind == promotion.ActionPromote {
			g.o.Metrics.Promotions.Inc()
		}
		go g.promote(ctx, a.Member, g.claim.Revision)
	case promotion.ActionRenewToken:
		go g.o.RenewClaim(g.id)
	}
}

// probe requests a member's status on a connection of its own.
func (g *Group) probe(ctx context.Context, m member.Member) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var s promotion.Status
	err := contain.Err(func() (err error) {
		s, err = g.status(ctx, m)
		return err
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock()
	if err != nil {
		g.log.Info("probe of a member failed", "member", m.ID, "error", err)
		g.machine.StatusFailed(m.ID, member.FailureOf(err), now)
	} else {
		g.log.Info("probe of a member", "member", m.ID, "role", s.Role, "term", s.Term, "position", s.Position, "lag", s.Lag)
		g.machine.StatusDone(m.ID, s, now)
		g.scheduler.Observe(m.ID, s.Position, now)
	}
	g.signal()
}

func (g *Group) status(ctx context.Context, m member.Member) (promotion.Status, error) {
	conn, err := g.o.Members.Dial(ctx, m, g.probeCustomer(), func() {})
	if err != nil {
		return promotion.Status{}, err
	}
	defer conn.Close()
	return conn.Status(ctx)
}

// probeCustomer returns the customer whose credentials probes use.
func (g *Group) probeCustomer() string {
	if names := g.o.Catalog().CustomerNamesByRate(); len(names) > 0 {
		return names[0]
	}
	return publicCustomer
}

// promote orders the promotion of a member under the fencing token.
func (g *Group) promote(ctx context.Context, id upstream.MemberID, token uint64) {
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	result := promotion.ResultUnknown
	err := contain.Err(func() (err error) {
		result, err = g.o.Promoter.Promote(ctx, g.id, id, token)
		return err
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log.Info("promotion ordered", "member", id, "token", token, "result", result, "error", err)
	g.machine.PromoteDone(id, result, g.o.Clock())
	g.signal()
}

func (g *Group) countAnswer(primary bool, code statement.Code) {
	kind := "replica"
	if primary {
		kind = "primary"
	}
	g.o.Metrics.Answers.WithLabelValues(kind, code.String()).Inc()
}

// refusalResponse logs the scheduler's refusal and returns the response for the caller.
func (g *Group) refusalResponse(c *call, r dispatch.Refusal) *operation.Response {
	if g.delegated {
		// The read goes on to the owner.
		return refusal(statement.CodeBusy, r.Reason.String(), 0)
	}
	g.o.Metrics.Answers.WithLabelValues("none", statement.CodeBusy.String()).Inc()
	g.o.Metrics.Refusals.WithLabelValues(priorityLabel(c.route.Priority), r.Reason.String()).Inc()
	g.logRefusal(c.r, "busy", r.Reason.String(), "priority", c.route.Priority, "ahead", r.ExpectedWait, "waiting", r.QueueLength, "retry_after", r.After, "attempts", c.attempts)
	return refusal(statement.CodeBusy, r.Reason.String(), r.After)
}

// logRefusal logs that a statement was refused before it ran.
func (g *Group) logRefusal(r *operation.Request, outcome, reason string, more ...any) {
	g.log.Warn("refused", append([]any{"request", r.Statement.ID, "session", r.Session.Number, "kind", r.Statement.Kind,
		"database", r.Database, "outcome", outcome, "reason", reason, "config", g.o.Catalog().Version}, more...)...)
}

// logFailure logs a failed attempt and whether another one follows.
func (g *Group) logFailure(c *call, l *memberConn, outcome, reason string, again bool) {
	g.log.Warn("attempt failed", "request", c.r.Statement.ID, "session", c.r.Session.Number, "kind", c.r.Statement.Kind,
		"database", c.r.Database, "member", l.member.ID, "outcome", outcome, "reason", reason, "again", again,
		"attempt", c.attempts, "age", g.o.Clock().Sub(c.arrived), "waited", c.waited)
}

// logAnswer logs a served statement with the inputs of the routing decision.
func (g *Group) logAnswer(c *call, l *memberConn, primary bool, a statement.Answer) {
	g.log.Info("answered", "request", c.r.Statement.ID, "session", c.r.Session.Number, "kind", c.r.Statement.Kind,
		"database", c.r.Database, "member", l.member.ID, "primary", primary, "claim", c.claim, "floor", c.floor, "position", a.Position,
		"attempt", c.attempts, "age", g.o.Clock().Sub(c.arrived), "waited", c.waited, "config", c.catalog.Version)
}
