package quota

import (
	"time"

	"github.com/celerystep/celerystep/internal/catalog"
)

const (
	// minBackoff and maxPause bound the time for which nothing is asked for a customer without tokens.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// Backoff says for how long operations of a customer are refused without asking for tokens, after there were none. It grows
// while each question is in vain, so that a customer far above its rate costs few messages. What its contract yields in the
// meantime stays in the bucket. The zero Pause is over.
type Backoff struct {
	until time.Time
	delay time.Duration
}

// Denied starts the next pause: at least the time in which the customer's contract yields a token.
func (p *Backoff) Denied(c *catalog.Customer, now time.Time) {
	p.delay = min(max(2*p.delay, minBackoff), maxBackoff)
	p.until = now.Add(max(p.delay, TokenInterval(c)))
}

// Granted ends the pause; the next one is short again.
func (p *Backoff) Granted() { *p = Backoff{} }

// Remaining returns the rest of the pause, 0 when it is over.
func (p *Backoff) Remaining(now time.Time) time.Duration { return max(0, p.until.Sub(now)) }

// TokenInterval returns the time in which the customer's contract yields a token.
func TokenInterval(c *catalog.Customer) time.Duration {
	if c.Rate <= 0 {
		return GrantLifetime
	}
	return min(max(time.Duration(float64(time.Second)/c.Rate), 10*time.Millisecond), GrantLifetime)
}
