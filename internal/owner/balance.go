package owner

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Values of the label for the place of a member.
const (
	placeLocal  = "local"
	placeRemote = "remote"
)

// observeTime records how long the member took for a statement. The expected cost is that of a member of normal speed.
// The group is locked.
func (g *Group) observeTime(c *call, l *memberConn, took time.Duration, now time.Time) {
	cost := g.costs.estimate(c.route, c.r.Statement)
	g.costs.record(c.route, c.r.Statement, g.scheduler.ObserveAnswer(l.id, cost, took, now))
	place := placeRemote
	if l.member.Domain == g.o.Domain {
		place = placeLocal
	}
	g.o.Metrics.Statements.WithLabelValues(g.memberKind(l.member.ID), place).Inc()
}

// observeOutcome records which members failed a read, once a later attempt has run it: a read that fails everywhere says
// nothing about them. The group is locked.
func (g *Group) observeOutcome(c *call, l *memberConn, code statement.Code) {
	switch {
	case code == statement.CodeFailed && c.reads():
		c.failedOn = append(c.failedOn, l.member.ID)
	case code == statement.CodeOK:
		for _, id := range c.failedOn {
			g.scheduler.ObserveFailedRead(id, g.o.Clock())
		}
		c.failedOn = nil
	}
}

// observeLoss records that the member lost a statement, unless the session's values prevented it from running. The group
// is locked.
func (g *Group) observeLoss(l *memberConn, err error) {
	if !errors.Is(err, errSessionState) {
		g.scheduler.ObserveFailure(l.id, g.o.Clock())
	}
}

// memberKind returns the value of the metrics' label for the member. The group is locked.
func (g *Group) memberKind(id upstream.MemberID) string {
	if id == g.servingPrimary {
		return "primary"
	}
	return "replica"
}

// recordStates records what is known about the members. The group is locked.
func (g *Group) recordStates(now time.Time) {
	for id, state := range g.scheduler.States(now) {
		g.o.Metrics.MemberSlowdown.WithLabelValues(g.memberKind(id)).Observe(state.Slowdown)
		g.o.Metrics.MemberFailures.WithLabelValues(g.memberKind(id)).Observe(state.FailureShare)
	}
}

// logJudgements logs which members are judged slow, failing or normal from now on. The group is locked.
func (g *Group) logJudgements() {
	for _, c := range g.scheduler.Judgements() {
		g.log.Info("member judged", "member", c.Member, "kind", g.memberKind(c.Member), "judgement", c.After.Judgement(), "before", c.Before.Judgement(),
			"slowdown", c.After.Slowdown, "failure_share", c.After.FailureShare, "answers", c.After.Answers, "failures", c.After.Failures, "age", c.After.Age)
	}
}
