package admission

import (
	"slices"
	"strings"
	"time"
)

// CustomerView is the state of one customer in a queue, for the status page and for the explanation of refusals.
type CustomerView struct {
	Customer string `json:"customer"`
	Share    int    `json:"share"`
	// Waiting is the number of waiting items, and Tokens what they need.
	Waiting int `json:"waiting"`
	Tokens  int `json:"tokens"`
	// Throttled is true while work waits for tokens. NextToken is when they come, zero when only an event brings them.
	Throttled bool      `json:"throttled"`
	NextToken time.Time `json:"next_token"`
	// OldestWait is the time for which the item that is served next in its class has waited, over all classes.
	OldestWait time.Duration `json:"oldest_wait_ns"`
}

// Customers returns the customers with waiting work by name. It looks at all customers and is meant for the status page,
// not for the path of a request.
func (q *Queue[T]) Customers(now time.Time) []CustomerView {
	var list []CustomerView
	for _, a := range q.accounts {
		if a.waiting > 0 {
			list = append(list, q.view(a, now))
		}
	}
	slices.SortFunc(list, func(a, b CustomerView) int { return strings.Compare(a.Customer, b.Customer) })
	return list
}

func (q *Queue[T]) view(a *account, now time.Time) CustomerView {
	v := CustomerView{Customer: a.name, Share: int(a.share), Waiting: a.waiting, Tokens: a.tokens}
	for i := range a.flows {
		f := &a.flows[i]
		head := f.head()
		if head == nil {
			continue
		}
		v.OldestWait = max(v.OldestWait, now.Sub(q.epoch)-time.Duration(head.pushed))
		if head.hasToken(now) {
			continue
		}
		v.Throttled = true
		at, known := a.source.Next(head.tokens, now)
		if known && (v.NextToken.IsZero() || at.Before(v.NextToken)) {
			v.NextToken = at
		}
	}
	return v
}
