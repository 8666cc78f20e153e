package retry

import (
	"math/rand/v2"
	"time"

	"github.com/celerystep/celerystep/internal/mutation"
	"github.com/celerystep/celerystep/internal/request"
)

const (
	// backoffBase is the maximum delay before the first retry.
	backoffBase = 10 * time.Millisecond
	// backoffMax is the maximum delay before any retry.
	backoffMax = 500 * time.Millisecond
)

// Reason is the reason why a request is or is not retried.
type Reason string

// Reasons of a decision.
const (
	ReasonRetry       Reason = "retry"
	ReasonAnswerBegun Reason = "answer_begun"
	ReasonTransaction Reason = "in_transaction"
	ReasonCanceled    Reason = "canceled"
	ReasonMayHaveRun  Reason = "may_have_run"
	ReasonDeadline    Reason = "deadline"
	ReasonBudget      Reason = "budget"
)

// Context describes a failed attempt.
type Context struct {
	Kind request.Kind
	// Idempotent is the caller's declaration that the request may run more than once.
	Idempotent bool
	// InTransaction is true when the request belongs to an open transaction; that has ended with its connection.
	InTransaction bool
	// Sent is true once a byte of the statement may have reached an upstream.
	Sent bool
	// AnswerBegun is true once a byte of the answer has been passed to the caller.
	AnswerBegun bool
	Canceled    bool
	// Attempt is the number of attempts that have failed, starting at 1.
	Attempt int
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
}

// Decision is the result of Policy.Decide.
type Decision struct {
	Retry bool
	// After is the delay before the next attempt.
	After  time.Duration
	Reason Reason
}

// Policy decides on the retries of one group. It is not safe for concurrent use.
type Policy struct {
	Budget
	random *rand.Rand
}

// NewPolicy returns a policy whose jitter comes from random.
func NewPolicy(random *rand.Rand) *Policy { return &Policy{random: random} }

// Decide decides whether the failed request may run again; a retry that it allows counts against the budget.
func (p *Policy) Decide(c Context, now time.Time) Decision {
	if reason := forbiddenReason(c); reason != "" {
		return Decision{Reason: reason}
	}
	delay := p.Delay(c.Attempt)
	if delay >= c.Remaining {
		return Decision{Reason: ReasonDeadline}
	}
	if !p.Take(now) {
		return Decision{Reason: ReasonBudget}
	}
	return Decision{Retry: true, After: delay, Reason: ReasonRetry}
}

// forbiddenReason returns the reason why the request must not run again regardless of the budget, or "".
func forbiddenReason(c Context) Reason {
	switch {
	case c.AnswerBegun:
		return ReasonAnswerBegun
	case c.InTransaction:
		return ReasonTransaction
	case c.Canceled:
		return ReasonCanceled
	case c.Sent && c.Kind != request.KindRead && !c.Idempotent && !mutation.On(mutation.RetryWrite):
		return ReasonMayHaveRun
	default:
		return ""
	}
}

// Delay returns the backoff after the given number of failed attempts, starting at 1: full jitter under an
// exponentially growing bound, so that requests that failed together are not retried together.
func (p *Policy) Delay(attempt int) time.Duration {
	bound := backoffMax
	if shift := attempt - 1; shift < 6 {
		bound = min(backoffMax, backoffBase<<max(shift, 0))
	}
	return time.Duration(p.random.Int64N(int64(bound)))
}
