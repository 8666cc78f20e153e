package configcheck

import (
	"time"

	"github.com/celerystep/celerystep/internal/admission"
	"github.com/celerystep/celerystep/internal/config"
)

// serviceTime is the time of a statement in a slot for which the throughput target of the design (docs/design.md) holds.
const serviceTime = time.Millisecond

// contract compares the rate and the burst with the slots and the queues of the groups that the customer's routes lead
// to. A rate above the slots' capacity, or a burst that neither slots nor queues hold, is refused although it is granted.
func (i *inspector) contract(path string, customer *config.Customer, c config.Contract) {
	slots, waiting := 0, 0
	for id := range i.served[customer.Name] {
		g := i.groups[id]
		slots += g.Slots * i.working(g)
		waiting += admission.DefaultMaxWaiting
	}
	if slots == 0 {
		return // no route or no working member, each of which is reported itself
	}
	if capacity := float64(slots) / serviceTime.Seconds(); c.RatePerSecond > capacity {
		i.warn(path+".rate_per_second", "is %v; the %d slots of the customer's groups run %v statements of %v a second",
			c.RatePerSecond, slots, capacity, serviceTime)
	}
	if c.Burst > slots+waiting {
		i.warn(path+".burst", "is %d; the customer's groups run %d statements at once and queue %d", c.Burst, slots, waiting)
	}
}
