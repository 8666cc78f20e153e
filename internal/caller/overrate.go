package caller

import (
	"sync"
	"time"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/quota"
	"github.com/celerystep/celerystep/internal/upstream"
)

// overRate remembers which customers had no tokens at a group's owner just now, so that their next operations are refused
// without a call. The zero value is ready for use. It is safe for concurrent use, and takes no lock for other customers.
type overRate struct {
	// pauses holds a *customerPause by its customerGroup.
	pauses sync.Map
}

type customerGroup struct {
	customer string
	group    upstream.GroupID
}

type customerPause struct {
	mu    sync.Mutex
	pause quota.Backoff
}

// left returns for how long operations of the customer are refused.
func (o *overRate) left(c *catalog.Customer, g upstream.GroupID, now time.Time) time.Duration {
	v, ok := o.pauses.Load(customerGroup{c.Name, g})
	if !ok {
		return 0
	}
	p := v.(*customerPause)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pause.Remaining(now)
}

// note records whether the group's owner refused an operation for want of tokens.
func (o *overRate) note(c *catalog.Customer, g upstream.GroupID, refused bool, now time.Time) {
	key := customerGroup{c.Name, g}
	if !refused {
		if _, known := o.pauses.Load(key); known {
			o.pauses.Delete(key)
		}
		return
	}
	v, _ := o.pauses.LoadOrStore(key, &customerPause{})
	p := v.(*customerPause)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pause.Remaining(now) == 0 {
		p.pause.Denied(c, now)
	}
}
