package quota

import (
	"time"

	"github.com/celerystep/celerystep/internal/catalog"
)

const (
	// minBackoff and maxBackoff bound the time for which no tokens are requested for a customer that got none.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// Backoff tracks for how long a customer's operations are refused without a request for tokens, after a request was not
// fully granted. The delay doubles with each such request, so that a customer far above its rate causes few messages;
// the tokens that its contract yields meanwhile remain in the bucket. The zero Backoff is over.
type Backoff struct {
	until time.Time
	delay time.Duration
}

// Denied starts the next backoff period, which is at least the time in which the customer's contract yields one token.
func (p *Backoff) Denied(c *catalog.Customer, now time.Time) {
	p.delay = min(max(2*p.delay, minBackoff), maxBackoff)
	p.until = now.Add(max(p.delay, TokenInterval(c)))
}

// Granted ends the backoff; the next one starts at the minimum.
func (p *Backoff) Granted() { *p = Backoff{} }

// Remaining returns the time left in the backoff, 0 when it is over.
func (p *Backoff) Remaining(now time.Time) time.Duration { return max(0, p.until.Sub(now)) }

// TokenInterval returns the time in which the customer's contract yields one token, limited to 10 ms at least and
// GrantLifetime at most.
func TokenInterval(c *catalog.Customer) time.Duration {
	if c.Rate <= 0 {
		return GrantLifetime
	}
	return min(max(time.Duration(float64(time.Second)/c.Rate), 10*time.Millisecond), GrantLifetime)
}
