package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/promotion"
	"github.com/celerystep/celerystep/internal/statement"
)

const (
	// failedAttemptRetryAfter is the retry delay sent when a member refused the statement or could not be reached for it.
	failedAttemptRetryAfter = 20 * time.Millisecond
	// notSentDetail explains the refusal of a statement that was not sent.
	notSentDetail = "the session could not be set up at the member"
)

// completeAttempt converts the member's answer to the response and releases the connection.
func (g *Group) completeAttempt(ctx context.Context, c *call, l *memberConn, primary bool, answer statement.Answer, err error) (operation.Response, bool) {
	if err != nil {
		return g.completeLostAttempt(ctx, c, l, err)
	}
	g.mu.Lock()
	g.observeOutcome(c, l, answer.Code)
	if opensTransaction(c, answer) {
		g.keepTransaction(c, l, primary)
	} else {
		g.releaseConn(l, nil)
	}
	g.mu.Unlock()
	g.countAnswer(primary, answer.Code)
	if answer.Code == statement.CodeOK {
		g.logAnswer(c, l, primary, answer)
		return operation.Response{Answer: answer}, false
	}
	again := g.recordFailure(c, l, primary, answer)
	g.logFailure(c, l, answer.Code.String(), answer.Detail, again)
	if c.r.Begin != statement.KindInvalid {
		answer.State = statement.TxFailed
	}
	return operation.Response{Answer: answer, RetryAfter: failedAttemptRetryAfter}, again
}

// opensTransaction reports whether the answer leaves the transaction open that the call began. One whose first statement failed is
// not kept.
func opensTransaction(c *call, answer statement.Answer) bool {
	return c.r.Begin != statement.KindInvalid && answer.Code == statement.CodeOK && answer.State != statement.TxIdle
}

// recordFailure records what the member's refusal implies for routing, and returns whether another attempt may succeed.
func (g *Group) recordFailure(c *call, l *memberConn, primary bool, answer statement.Answer) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock()
	switch answer.Code {
	case statement.CodeLagging:
		g.scheduler.ReportLagging(l.member.ID, now)
		c.primaryOnly = true
	case statement.CodeReadOnly:
		if primary {
			g.machine.ReportedNotPrimary(l.member.ID, now)
			g.signal()
		}
		c.primaryOnly = true
	case statement.CodeFailed:
		if !c.reads() {
			return false
		}
		c.avoid = l.member.ID
	case statement.CodeBusy, statement.CodeWrongMember, statement.CodeConnectionLimit:
		c.avoid = l.member.ID
	case statement.CodeUnknownStatement:
	default:
		return false
	}
	return true
}

// completeLostAttempt handles a statement whose connection broke or whose answer did not arrive in time.
func (g *Group) completeLostAttempt(ctx context.Context, c *call, l *memberConn, err error) (operation.Response, bool) {
	g.mu.Lock()
	g.recordLoss(l, err, g.o.Clock())
	g.releaseConn(l, err)
	g.mu.Unlock()
	c.avoid = l.member.ID
	timedOut := ctx.Err() != nil
	var notSent *notSentError
	switch {
	case errors.As(err, &notSent):
		g.logFailure(c, l, "not_sent", err.Error(), !timedOut)
		if c.r.Begin != statement.KindInvalid {
			return aborted(notSentDetail), !timedOut
		}
		return *refusal(statement.CodeBusy, notSentDetail, failedAttemptRetryAfter), !timedOut
	case c.r.Begin != statement.KindInvalid && c.r.Statement.Kind != statement.KindCommit && !c.ranElsewhere(err):
		// The transaction ends with its connection, and no commit was requested.
		again := !timedOut && c.reads()
		g.logFailure(c, l, "aborted", err.Error(), again)
		return aborted("the connection to the member broke in the transaction"), again
	case c.reads() && c.r.Statement.Kind != statement.KindCommit:
		code := statement.CodeFailed
		if timedOut {
			code = statement.CodeTimeout
		}
		g.logFailure(c, l, code.String(), err.Error(), !timedOut)
		return operation.Response{Answer: statement.Answer{Code: code, Detail: "no answer from the member"}}, !timedOut
	default:
		g.logFailure(c, l, "in_doubt", err.Error(), false)
		return operation.Response{Answer: statement.Answer{Code: statement.CodeInDoubt, Detail: inDoubtDetail(err)}}, false
	}
}

// inDoubtDetail explains to the caller why it is not known whether its changes last.
func inDoubtDetail(err error) string {
	for _, cause := range []error{errPrimaryReplaced, errWrongTransaction} {
		if errors.Is(err, cause) {
			return cause.Error()
		}
	}
	return "the member's answer was lost"
}

// ranElsewhere reports whether a write ran outside the transaction of its session, so that rolling that back does not undo it.
func (c *call) ranElsewhere(err error) bool {
	return errors.Is(err, errWrongTransaction) && c.r.Statement.Writes()
}

// recordLoss records that a connection was lost while a statement ran on it. A connection that was not in the state that its
// session needs is no sign of a failing member, which has answered. The group is locked.
func (g *Group) recordLoss(l *memberConn, err error, now time.Time) {
	f := member.FailureOf(err)
	if f != promotion.FailureConnectionLost || errors.Is(err, errSessionState) || l.memberReplaced(g) {
		return
	}
	g.machine.Failed(l.member.ID, f, now)
	g.observeLoss(l, err)
	g.signal()
}
