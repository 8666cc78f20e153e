package admission

import (
	"slices"
	"strings"
	"time"
)

// CustomerView is the state of one customer in a queue, for the status page and to explain refusals.
type CustomerView struct {
	Customer string `json:"customer"`
	Share    int    `json:"share"`
	// Waiting is the number of waiting items, and Tokens the number of tokens that they need.
	Waiting int `json:"waiting"`
	Tokens  int `json:"tokens"`
	// Throttled is true while items wait for tokens. NextToken is when the next of them has its tokens, or zero if that
	// depends on an event such as a grant.
	Throttled bool      `json:"throttled"`
	NextToken time.Time `json:"next_token"`
	// OldestWait is the longest time that the head of any of the customer's classes has waited.
	OldestWait time.Duration `json:"oldest_wait_ns"`
}

// Customers returns the customers with waiting items, sorted by name. It scans all customers, so it is meant for the
// status page and not for the request path.
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
