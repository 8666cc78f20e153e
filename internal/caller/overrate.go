package caller

import (
	"sync"
	"time"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/quota"
	"github.com/celerystep/celerystep/internal/upstream"
)

// overRate caches rate-limit refusals by customer and group, so that further operations are refused without a call to
// the owner until a backoff expires. The zero value is ready to use. It is safe for concurrent use, and customers do
// not contend for a common lock.
type overRate struct {
	// backoffs maps customerGroup to *customerBackoff.
	backoffs sync.Map
}

type customerGroup struct {
	customer string
	group    upstream.GroupID
}

type customerBackoff struct {
	mu      sync.Mutex
	backoff quota.Backoff
}

// remaining returns how long operations of the customer are still refused.
func (o *overRate) remaining(c *catalog.Customer, g upstream.GroupID, now time.Time) time.Duration {
	v, ok := o.backoffs.Load(customerGroup{c.Name, g})
	if !ok {
		return 0
	}
	p := v.(*customerBackoff)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backoff.Remaining(now)
}

// record records whether the group's owner refused an operation because the customer had no tokens left.
func (o *overRate) record(c *catalog.Customer, g upstream.GroupID, refused bool, now time.Time) {
	key := customerGroup{c.Name, g}
	if !refused {
		if _, known := o.backoffs.Load(key); known {
			o.backoffs.Delete(key)
		}
		return
	}
	v, _ := o.backoffs.LoadOrStore(key, &customerBackoff{})
	p := v.(*customerBackoff)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.backoff.Remaining(now) == 0 {
		p.backoff.Denied(c, now)
	}
}
