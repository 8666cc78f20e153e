package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/connstate"
	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/statement"
)

// execute runs a call that is not in a transaction on a connection.
func (g *Group) execute(ctx context.Context, c *call, l *memberConn, primary bool) (statement.Answer, error) {
	ctx, cancel := l.context(ctx)
	defer cancel(nil)
	// Another owner may have replaced the primary at any time. As a replica it still answers reads and opens read-only
	// transactions, but refuses plain ones, so reads that rely on the primary run in those.
	guarded := primary && c.reads() && !c.r.Statement.Writes()
	c.tx = txMode{begin: c.r.Begin, guarded: guarded}
	// What opens a transaction may be sent together with the setup: the caller's statement waits for the answers to both.
	setup := l.state.Setup(c.r.Values, c.r.Statement)
	if c.r.Begin != statement.KindInvalid {
		return g.executeAfterBegin(ctx, c, l, append(setup, g.beginCommand(c, primary)), primary)
	}
	if guarded {
		return g.readInTransaction(ctx, c, l, append(setup, member.OwnCommand(statement.KindBegin)))
	}
	command := member.Command{Statement: withPreparedName(c.r.Statement)}
	if !c.r.Statement.Writes() {
		command.After = c.after(primary)
	}
	if err := g.setUp(ctx, c, l); err != nil {
		return statement.Answer{}, err
	}
	return g.send(ctx, c, l, command, primary)
}

// beginCommand returns the command that opens the call's transaction on the member: a plain one for a guarded read-only
// transaction.
func (g *Group) beginCommand(c *call, primary bool) member.Command {
	if c.tx.guarded {
		c.tx.begin = statement.KindBegin
		return member.OwnCommand(statement.KindBegin)
	}
	begin := member.OwnCommand(c.r.Begin)
	begin.After = c.after(primary)
	return begin
}

// after returns the position that the member's log must have reached before it serves a read: none at the primary, which
// holds every commit.
func (c *call) after(primary bool) position.Position {
	if primary {
		return position.Position{}
	}
	return c.floor
}

// answeredAsPrimary reports whether a successful answer proves that the member was the primary while it ran the statement.
// A member that lost the lead refuses writes and the statements of plain transactions, except the commit of one that wrote
// nothing.
func answeredAsPrimary(s statement.Statement, tx txMode) bool {
	return s.Writes() || tx.begin == statement.KindBegin && (s.Kind != statement.KindCommit || tx.wrote)
}

// executeAfterBegin opens a transaction and, once the member has accepted it, runs its first statement.
func (g *Group) executeAfterBegin(ctx context.Context, c *call, l *memberConn, begin []member.Command, primary bool) (statement.Answer, error) {
	if answer, err := g.runSetup(ctx, l, begin); err != nil || answer.Code != statement.CodeOK {
		return answer, err
	}
	return g.send(ctx, c, l, member.Command{Statement: withPreparedName(c.r.Statement)}, primary)
}

// readInTransaction reads inside a plain transaction. The BEGIN is not pipelined with the read: after a refused BEGIN a
// replica would run the read all the same.
func (g *Group) readInTransaction(ctx context.Context, c *call, l *memberConn, begin []member.Command) (statement.Answer, error) {
	if answer, err := g.runSetup(ctx, l, begin); err != nil || answer.Code != statement.CodeOK {
		return answer, err
	}
	started := g.o.Clock()
	c.begun.markSent(started)
	answers, err := l.do(ctx, member.Command{Statement: withPreparedName(c.r.Statement)}, member.OwnCommand(statement.KindRollback))
	if len(answers) == 0 {
		return statement.Answer{}, closeCauseOr(ctx, err)
	}
	// The read has been answered; without an answer to the ROLLBACK only the connection is unusable, and its release closes it.
	if err := checkInTransaction(statement.KindRead, answers[0]); err != nil {
		return statement.Answer{}, err
	}
	g.observe(c, l, answers[0], started, answers[0].Code == statement.CodeOK)
	answers[0].State = statement.TxIdle
	return answers[0], nil
}

// runSetup sends commands that celerystep issues itself, of which the last one opens a transaction, and returns the answer to that.
// When an earlier one fails, the connection counts as lost.
func (g *Group) runSetup(ctx context.Context, l *memberConn, commands []member.Command) (statement.Answer, error) {
	answers, err := l.do(ctx, commands...)
	if err != nil {
		return statement.Answer{}, &notSentError{closeCauseOr(ctx, err)}
	}
	if err := setupError(answers[:len(answers)-1]); err != nil {
		return statement.Answer{}, &notSentError{err}
	}
	last := answers[len(answers)-1]
	if last.Code == statement.CodeOK && last.State != statement.TxOpen {
		return statement.Answer{}, &notSentError{errors.Wrapf(errSessionState, "BEGIN left the state %s", last.State)}
	}
	g.mu.Lock()
	g.machine.AnswerReceived(l.member.ID, g.o.Clock())
	g.scheduler.Observe(l.member.ID, last.Position, g.o.Clock())
	g.mu.Unlock()
	return last, nil
}

func setupError(answers []statement.Answer) error {
	for _, a := range answers {
		if a.Code != statement.CodeOK {
			return errors.Wrapf(errSessionState, "the member refused a session setting: %s %s", a.Code, a.Detail)
		}
	}
	return nil
}

// setUp establishes the session's values and its prepared statement on the connection. The member must have confirmed them before the
// statement is sent: it would run a statement whose setup has failed with the values of another session.
func (g *Group) setUp(ctx context.Context, c *call, l *memberConn) error {
	var refused error
	for range maxSetupRounds {
		commands := l.state.Setup(c.r.Values, c.r.Statement)
		if len(commands) == 0 {
			return nil
		}
		if l.state.Transaction() != statement.TxIdle && commands[0].Kind == statement.KindReset {
			// A reset inside a transaction would discard values that it depends on; values may only be added.
			return &notSentError{errors.Wrap(errSessionState, "the session values changed in a way that needs a reset")}
		}
		answers, err := l.do(ctx, commands...)
		if err != nil {
			return &notSentError{closeCauseOr(ctx, err)}
		}
		if refused = setupError(answers); refused == nil {
			g.o.Metrics.Setups.WithLabelValues("done").Inc()
			return nil
		}
		g.o.Metrics.Setups.WithLabelValues("refused").Inc()
	}
	return &notSentError{refused}
}

// notSentError is the failure of what precedes the caller's statement, which was not sent.
type notSentError struct{ cause error }

// Error implements error.
func (e *notSentError) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error { return e.cause }

// send runs the caller's statement. primary is true when the member is used as the primary.
func (g *Group) send(ctx context.Context, c *call, l *memberConn, command member.Command, primary bool) (statement.Answer, error) {
	started := g.o.Clock()
	c.begun.markSent(started)
	answers, err := l.do(ctx, command)
	if err != nil {
		return statement.Answer{}, closeCauseOr(ctx, err)
	}
	answer := answers[0]
	if err := c.checkState(answer); err != nil {
		return statement.Answer{}, err
	}
	authoritative := primary && answer.Code == statement.CodeOK && answeredAsPrimary(command.Statement, c.tx)
	if !g.observe(c, l, answer, started, authoritative) {
		return statement.Answer{}, errPrimaryReplaced
	}
	return answer, nil
}

// checkState returns an error if the statement has succeeded outside the transaction of its session, or inside one that the session
// has not opened.
func (c *call) checkState(answer statement.Answer) error {
	if c.tx.begin != statement.KindInvalid {
		return checkInTransaction(c.r.Statement.Kind, answer)
	}
	if answer.Code == statement.CodeOK && answer.State != statement.TxIdle {
		return errors.Wrapf(errWrongTransaction, "%s left the state %s", c.r.Statement.Kind, answer.State)
	}
	return nil
}

// checkInTransaction returns an error if a statement that needs an open transaction has succeeded without one.
func checkInTransaction(k statement.Kind, answer statement.Answer) error {
	if answer.Code == statement.CodeOK && answer.State != statement.TxOpen && k != statement.KindCommit {
		return errors.Wrapf(errWrongTransaction, "%s left the state %s", k, answer.State)
	}
	return nil
}

// executeInTransaction runs a statement of an open transaction.
func (g *Group) executeInTransaction(ctx context.Context, c *call, l *memberConn, primary bool) (statement.Answer, error) {
	ctx, cancel := l.context(ctx)
	defer cancel(nil)
	if err := g.setUp(ctx, c, l); err != nil {
		return statement.Answer{}, err
	}
	return g.send(ctx, c, l, member.Command{Statement: withPreparedName(c.r.Statement)}, primary)
}

// observe records an answer. authoritative is true when the member was the primary while it answered. It returns false for a commit
// that a change of the primary may undo, and which must not be acknowledged.
func (g *Group) observe(c *call, l *memberConn, answer statement.Answer, started time.Time, authoritative bool) bool {
	now := g.o.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.machine.AnswerReceived(l.member.ID, now)
	g.scheduler.Observe(l.member.ID, answer.Position, now)
	if authoritative && c.commits() && !g.machine.AcknowledgeCommit(l.member.ID, answer.Position) {
		return false
	}
	if authoritative {
		g.history.Observe(answer.Position, started)
		g.machine.Acknowledged(answer.Position)
	}
	if answer.Code == statement.CodeOK {
		g.observeTime(c, l, now.Sub(started), now)
	}
	kind := "replica"
	if authoritative {
		kind = "primary"
	}
	g.o.Metrics.MemberLatency.WithLabelValues(kind).Observe(now.Sub(started).Seconds())
	return true
}

// withPreparedName replaces the caller's name of a prepared statement by its name on members.
func withPreparedName(s statement.Statement) statement.Statement {
	if s.Kind == statement.KindExecute {
		s.Name = connstate.PreparedName(s.Prepared)
	}
	return s
}

// closeCauseOr returns the cause for which this process ended the statement, or else err.
func closeCauseOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// costs holds moving averages of the execution time of statements, by route and kind.
type costs struct {
	byRoute map[costKey]time.Duration
}

type costKey struct {
	route string
	kind  statement.Kind
}

const (
	// initialCost is the estimate before the first measurement.
	initialCost = 15 * time.Millisecond
	// costWeight is the weight of a new measurement in percent.
	costWeight = 10
)

func (c *costs) estimate(r *catalog.Route, s statement.Statement) time.Duration {
	if d := c.byRoute[costKey{r.Name, s.Kind}]; d > 0 {
		return d
	}
	return initialCost
}

func (c *costs) record(r *catalog.Route, s statement.Statement, d time.Duration) {
	if c.byRoute == nil {
		c.byRoute = make(map[costKey]time.Duration)
	}
	k := costKey{r.Name, s.Kind}
	old := c.byRoute[k]
	if old == 0 {
		old = initialCost
	}
	c.byRoute[k] = (old*(100-costWeight) + d*costWeight) / 100
}
