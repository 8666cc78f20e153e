package dispatch

import (
	"slices"
	"time"
)

// shareCredit is how long a customer may need, at its share of the slots, to make up for what it has received beyond it. It
// lets customers send a few statements at once.
const shareCredit = 500 * time.Millisecond

// shares accounts for the work that customers submit while they contend for the primary or for any member, by weighted fair
// queueing. A customer's account is the work that it has submitted by unit of its weight; the virtual time is the work by unit
// of weight that all would have received if the slots had been shared by weight. A customer whose account is ahead of the
// virtual time has received more than its share. Unused shares are lent to the others.
type shares struct {
	accounts map[string][]account
	virtual  time.Duration
	at       time.Time
}

// account is the work, by unit of weight, that a customer has submitted with a priority or a higher one. So the less urgent work
// of a customer does not count against its urgent work.
type account struct {
	priority int
	work     time.Duration
}

// work returns the work that counts against the item.
func (t *shares) work(w *queuedItem) time.Duration {
	work := t.virtual
	for _, a := range t.accounts[w.Customer] {
		if a.priority <= w.Priority {
			work = max(work, a.work)
		}
	}
	return work
}

// charge adds the item's work to the accounts that it counts for.
func (t *shares) charge(w *queuedItem) {
	if t.accounts == nil {
		return
	}
	list := t.accounts[w.Customer]
	if !slices.ContainsFunc(list, func(a account) bool { return a.priority == w.Priority }) {
		list = append(list, account{w.Priority, t.work(w)})
		t.accounts[w.Customer] = list
	}
	for i, a := range list {
		if a.priority >= w.Priority {
			list[i].work = max(t.virtual, a.work) + scale(w.Cost, 1/w.weight())
		}
	}
}

// advance moves the virtual time by the share of a unit of weight, given the weight of all waiting customers.
func (t *shares) advance(slots int, weight float64, now time.Time) {
	if weight == 0 || t.accounts == nil {
		t.accounts, t.virtual = make(map[string][]account), 0
	} else {
		t.virtual += scale(now.Sub(t.at)*time.Duration(slots), 1/weight)
	}
	t.at = now
}

// share determines the item's place among those of other customers: an item beyond its customer's share goes behind those of
// others in any priority, and is due later.
func (s *Scheduler) share(w *queuedItem, now time.Time) {
	slots, _, _ := s.capacity(w, now)
	if slots == 0 {
		return
	}
	t := &s.shares[w.Need]
	weight, others := s.waitingWeight(w)
	t.advance(slots, weight, now)
	wait := scale(t.work(w)-t.virtual, weight/float64(slots))
	if others && wait > shareCredit {
		w.surplus = true
		w.effectiveDue = w.Due.Add(wait - shareCredit)
	}
}

// weight returns the weight of the item's customer.
func (w *queuedItem) weight() float64 { return max(w.Weight, 1) }

// waitingWeight returns the weight of the customers that wait for the same slots as the item, and whether others are among them.
func (s *Scheduler) waitingWeight(w *queuedItem) (weight float64, others bool) {
	customers := make(map[string]bool)
	for _, q := range s.queue {
		if q.Need == w.Need && !customers[q.Customer] {
			customers[q.Customer] = true
			weight += q.weight()
			others = others || q.Customer != w.Customer
		}
	}
	return weight, others
}
