package owner

import (
	"time"

	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/statement"
)

// begun counts how many times members began to run the statement of a call.
type begun struct {
	// sentAt is when the caller's statement was sent in the present attempt; zero if it was not.
	sentAt time.Time
	count  uint32
	// lastAt is when the last counted attempt was sent.
	lastAt time.Time
}

// markSent records that the caller's statement is about to be sent to a member. Statements that celerystep issues itself are not
// recorded.
func (b *begun) markSent(now time.Time) { b.sentAt = now }

// finish counts the present attempt, whose statement was answered with the code or, with an error, was not answered.
func (b *begun) finish(code statement.Code, err error) {
	if !b.sentAt.IsZero() && (err != nil || hasBegun(code)) {
		b.count++
		b.lastAt = b.sentAt
	}
	b.sentAt = time.Time{}
}

// record copies the count to the response to a statement that arrived at the caller's instance at the given time.
func (b *begun) record(resp *operation.Response, arrived time.Time) {
	if b.count > 0 {
		resp.Began, resp.BeganAfter = b.count, max(0, b.lastAt.Sub(arrived))
	}
}

// hasBegun reports whether a member that answered with the code had begun to run the statement.
func hasBegun(code statement.Code) bool {
	switch code {
	case statement.CodeMalformed, statement.CodeUnauthenticated, statement.CodeUnknownDatabase, statement.CodeAborted:
		return false
	default:
		return !code.NotRun()
	}
}
