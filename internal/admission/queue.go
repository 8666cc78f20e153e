package admission

import (
	"math"
	"time"

	"github.com/go-faster/errors"
)

// Class identifies the resource that an item needs, for example a slot of the primary or of any replica. Each class has
// its own virtual time, so that customers share each resource independently.
type Class uint8

// MaxClasses is the maximum number of classes in a queue.
const MaxClasses = 20

// Errors of Queue.Push. The item was not queued.
var (
	// ErrUnknownCustomer reports a customer that was not added with SetCustomer.
	ErrUnknownCustomer = errors.New("unknown customer")
	// ErrQueueFull reports that the customer has the maximum number of waiting items.
	ErrQueueFull = errors.New("queue of the customer is full")
	// ErrExpired reports that the item's deadline has already passed.
	ErrExpired = errors.New("deadline has passed")
	// ErrUnknownClass reports that the queue does not have the item's class.
	ErrUnknownClass = errors.New("unknown class")
)

// Item is a unit of work that waits for a slot.
type Item[T any] struct {
	Customer string
	Class    Class
	// First is set for statements of open transactions. It puts the item ahead of its customer's other work in the class,
	// and reserves tokens for it in all classes. Items with First are served in FIFO order.
	First bool
	// Prepaid is set for retries, whose tokens were taken at the first attempt. The item takes no token, and goes ahead of
	// all other work of its customer in the class.
	Prepaid bool
	// Tokens is the number of tokens that the item takes; 0 counts as 1.
	Tokens int
	// Cost is the expected time in a slot; 0 means the customer's moving average in the class.
	Cost time.Duration
	// Deadline is the time at which the item is dropped if it is still waiting; zero means never.
	Deadline time.Time
	// TokenDeadline, unless zero, is the time at which the item is dropped if its customer has too few tokens for it.
	TokenDeadline time.Time
	// Value is returned by Pop and Expire.
	Value T
}

// Handle identifies a waiting item. The zero Handle identifies no item.
type Handle struct{ id, generation uint32 }

// Popped is an item that was removed from the queue to run.
type Popped[T any] struct {
	Value  T
	Ticket Ticket
	// Waited is the time in the queue.
	Waited time.Duration
}

// Ticket identifies a popped item until Done is called. The zero Ticket identifies no item.
type Ticket struct {
	flow   *flow
	charge uint64
}

// DefaultMaxWaiting is the default limit of waiting items per customer.
const DefaultMaxWaiting = 1000

// noDeadline means that an item has no deadline.
const noDeadline = math.MaxInt64

// Queue is the fair queue of one group. Within each class, it applies start-time fair queueing (SFQ) between customers.
// Push, Pop, Remove and Done take O(log n) time in the number of customers and waiting items.
type Queue[T any] struct {
	scheduler
	maxWaiting int
	accounts   map[string]*account
	nodes      []*node[T]
	free       []*node[T]
	dropped    []Dropped[T]
	// droppedReturned is true if Expire has returned dropped since the last drop.
	droppedReturned bool
}

// node is a waiting item with the caller's value.
type node[T any] struct {
	itemBase
	value T
}

// NewQueue returns a queue with the given number of classes, at most MaxClasses. maxWaiting limits the waiting items
// per customer; 0 means DefaultMaxWaiting.
func NewQueue[T any](classes, maxWaiting int) *Queue[T] {
	if maxWaiting <= 0 {
		maxWaiting = DefaultMaxWaiting
	}
	q := &Queue[T]{maxWaiting: maxWaiting, accounts: make(map[string]*account)}
	q.classes = make([]class, min(max(classes, 1), MaxClasses))
	return q
}

// SetCustomer adds the customer or changes its share and source, also for items that are already waiting. A share below
// 1 counts as 1.
func (q *Queue[T]) SetCustomer(name string, share int, src Source, now time.Time) {
	a := q.accounts[name]
	if a == nil {
		a = &account{name: name, flows: make([]flow, len(q.classes))}
		for c := range a.flows {
			a.flows[c] = flow{account: a, class: Class(c), index: notInHeap}
		}
		q.accounts[name] = a
	}
	a.share = uint64(max(share, 1))
	a.source = src
	a.grants, _ = src.(*Grants)
	q.Refresh(name, now)
}

// RemoveCustomer removes the customer and drops its waiting items, which the next Expire returns.
func (q *Queue[T]) RemoveCustomer(name string, now time.Time) {
	a := q.accounts[name]
	if a == nil {
		return
	}
	delete(q.accounts, name)
	for i := range a.flows {
		for it := a.flows[i].head(); it != nil; it = a.flows[i].head() {
			q.drop(it, CauseRemoved, q.nanos(now))
		}
	}
}

// Push adds an item. The limit of waiting items does not apply to items with First or Prepaid, because the group's
// connections bound their number, and a transaction must not fail because its customer has other work waiting.
func (q *Queue[T]) Push(it Item[T], now time.Time) (Handle, error) {
	a := q.accounts[it.Customer]
	if a == nil {
		return Handle{}, ErrUnknownCustomer
	}
	if int(it.Class) >= len(q.classes) {
		return Handle{}, ErrUnknownClass
	}
	if a.waiting >= q.maxWaiting && !it.First && !it.Prepaid {
		return Handle{}, ErrQueueFull
	}
	pushed := q.nanos(now)
	deadline := q.deadline(it.Deadline)
	if deadline <= pushed {
		return Handle{}, ErrExpired
	}
	n := q.allocate()
	n.value = it.Value
	n.flow = &a.flows[it.Class]
	n.priority = priorityOf(it.First, it.Prepaid)
	n.tokens = max(it.Tokens, 1)
	n.cost = it.Cost
	n.pushed = pushed
	n.deadline = deadline
	n.tokenDeadline = q.deadline(it.TokenDeadline)
	q.insert(&n.itemBase)
	return Handle{id: n.id, generation: n.generation}, nil
}

func priorityOf(first, prepaid bool) priority {
	switch {
	case prepaid:
		return priorityPrepaid
	case first:
		return priorityTransaction
	default:
		return priorityNormal
	}
}

func (q *Queue[T]) deadline(t time.Time) int64 {
	if t.IsZero() {
		return noDeadline
	}
	return q.nanos(t)
}

// allocate returns an unused node.
func (q *Queue[T]) allocate() *node[T] {
	if n := len(q.free); n > 0 {
		got := q.free[n-1]
		q.free = q.free[:n-1]
		return got
	}
	n := &node[T]{}
	n.id = uint32(len(q.nodes))
	n.generation = 1
	n.index = notInHeap
	q.nodes = append(q.nodes, n)
	return n
}

// release returns the node of a removed item to the free list.
func (q *Queue[T]) release(it item) *node[T] {
	n := q.nodes[it.id]
	q.free = append(q.free, n)
	return n
}

// insert adds a new item to its flow and to the deadline heap.
func (s *scheduler) insert(it item) {
	f := it.flow
	it.waiting = true
	f.account.waiting++
	if it.priority != priorityPrepaid {
		f.account.tokens += it.tokens
	}
	s.length++
	f.append(it)
	it.expiry = it.deadline
	if it.priority != priorityPrepaid {
		it.expiry = min(it.deadline, it.tokenDeadline)
	}
	if it.expiry != noDeadline {
		s.expiring.push(expiringItem{it})
	}
	// A flow that is out of tokens becomes ready only if the new item is its head.
	if f.state == flowIdle || f.state != flowReady && f.head() == it {
		s.makeReady(f)
	}
}

// Pop removes the next item of the class whose customer has tokens for it, and takes the tokens. Items whose deadline
// has passed are dropped first; the next Expire returns them. Pop returns false if no item may run now.
func (q *Queue[T]) Pop(c Class, now time.Time) (Popped[T], bool) {
	if int(c) >= len(q.classes) {
		return Popped[T]{}, false
	}
	t := q.nanos(now)
	q.dropExpired(now, t)
	q.wakeDue(t)
	ready := &q.classes[c].ready
	for !ready.empty() {
		f := ready.top().flow
		head := f.head()
		if !q.takeToken(f, head, now) {
			continue
		}
		charge := q.serve(f, head)
		n := q.release(head)
		p := Popped[T]{Value: n.value, Ticket: Ticket{flow: f, charge: charge}, Waited: time.Duration(t - head.pushed)}
		var none T
		n.value = none
		return p, true
	}
	return Popped[T]{}, false
}

// Done reports how long a popped item used its slot. The customer is charged the difference to the expected cost.
func (q *Queue[T]) Done(t Ticket, cost time.Duration, _ time.Time) {
	if t.flow == nil {
		return
	}
	q.adjustCharge(t.flow, t.charge, t.flow.charge(cost))
	t.flow.recordCost(cost)
}

// Refresh must be called after the customer's source has changed other than by the passage of time, for example by a
// grant or a new contract. It discards granted tokens that no waiting item can use.
func (q *Queue[T]) Refresh(name string, _ time.Time) {
	a := q.accounts[name]
	if a == nil {
		return
	}
	a.trimGrants()
	q.refresh(a, nil)
}

// trimGrants discards granted tokens that no waiting item can use.
func (a *account) trimGrants() {
	if a.grants != nil {
		a.grants.Trim(a.tokens)
	}
}

// Ready reports whether Pop(c, now) may return an item.
func (q *Queue[T]) Ready(c Class, now time.Time) bool {
	if int(c) >= len(q.classes) {
		return false
	}
	q.wakeDue(q.nanos(now))
	return !q.classes[c].ready.empty()
}

// Waiting returns the number of the customer's waiting items and the number of tokens that those without Prepaid need.
func (q *Queue[T]) Waiting(name string) (items, tokens int) {
	a := q.accounts[name]
	if a == nil {
		return 0, 0
	}
	return a.waiting, a.tokens
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }
