package retry

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/celerystep/celerystep/internal/request"
)

func newPolicy() *Policy { return NewPolicy(rand.New(rand.NewPCG(1, 2))) }

// Guards against running a write twice after its first bytes were sent, and against running any request again once its
// answer has begun.
func TestDecideForbidsRunningTwice(t *testing.T) {
	now := time.Unix(100, 0)
	cases := []struct {
		name string
		c    Context
		want Reason
	}{
		{"read after send", Context{Kind: request.KindRead, Sent: true}, ReasonRetry},
		{"write before send", Context{}, ReasonRetry},
		{"write after send", Context{Sent: true}, ReasonMayHaveRun},
		{"idempotent write after send", Context{Sent: true, Idempotent: true}, ReasonRetry},
		{"read after answer", Context{Kind: request.KindRead, Sent: true, AnswerBegun: true}, ReasonAnswerBegun},
		{"idempotent write after answer", Context{Sent: true, Idempotent: true, AnswerBegun: true}, ReasonAnswerBegun},
		{"read in transaction", Context{Kind: request.KindRead, InTransaction: true}, ReasonTransaction},
		{"cancelled read", Context{Kind: request.KindRead, Canceled: true}, ReasonCanceled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			c.c.Attempt = 1
			c.c.Remaining = time.Second
			d := newPolicy().Decide(c.c, now)
			is.Equal(d.Reason, c.want)
			is.Equal(d.Retry, c.want == ReasonRetry)
		})
	}
	is := is.New(t)
	is.Equal(newPolicy().Decide(Context{Kind: request.KindRead, Attempt: 1}, now).Reason, ReasonDeadline)
}

// Guards against retries that multiply the load: compares the budget with a count of all events in the window.
func TestBudgetAgreesWithCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		var requests, retries []int64
		slot := int64(1000)
		count := func(events []int64) int {
			n := 0
			for _, e := range events {
				if e > slot-budgetBuckets {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			slot += rapid.Int64Range(0, 12).Draw(t, "advance")
			now := time.Unix(0, slot*int64(bucketWidth))
			for range rapid.IntRange(0, 60).Draw(t, "requests") {
				b.Request(now)
				requests = append(requests, slot)
			}
			for range rapid.IntRange(0, 20).Draw(t, "retries") {
				want := count(retries) < max(budgetFloor, count(requests)/10)
				if got := b.Take(now); got != want {
					t.Fatalf("Take=%v, want %v", got, want)
				}
				if want {
					retries = append(retries, slot)
				}
			}
		}
	})
}

// Guards against delays outside their bounds and against retries in lockstep.
func TestDelayIsJitteredWithinBounds(t *testing.T) {
	is := is.New(t)
	p := newPolicy()
	for attempt, bound := range map[int]time.Duration{1: backoffBase, 3: 4 * backoffBase, 7: backoffMax, 80: backoffMax} {
		seen := make(map[time.Duration]bool)
		for range 50 {
			d := p.Delay(attempt)
			is.True(d >= 0 && d < bound)
			seen[d] = true
		}
		is.True(len(seen) > 40)
	}
}

// Guards against error texts that lack the outcome, the step, the peer or the trace that operators need.
func TestErrorNamesOutcomeStepPeerTrace(t *testing.T) {
	is := is.New(t)
	e := &Error{Code: CodeOutcomeUnknown, Step: "receive", Peer: "m1", Trace: "t-9", Err: errors.New("reset")}
	for _, part := range []string{"outcome unknown", "reset", "step=receive", "peer=m1", "trace=t-9", "code=08007"} {
		is.True(strings.Contains(e.Error(), part))
	}
	e.Outcome = request.OutcomeNotRun
	is.True(strings.HasPrefix(e.Result('I').Message, "not run"))
	e.Outcome, e.Code = request.OutcomeUnknown, CodeReadFailed
	is.True(strings.HasPrefix(e.Message(), "read failed without effect"))
}
