package admission

import (
	"time"

	"github.com/go-faster/errors"
)

// Class names the resource that an item needs, for example the primary's slots or any replica's slots. Each class has
// its own virtual time, so that customers share each resource by itself.
type Class uint8

// MaxClasses bounds the classes of a queue.
const MaxClasses = 20

// Errors of Queue.Push. The item did not enter the queue.
var (
	// ErrUnknownCustomer reports a customer that SetCustomer has not named.
	ErrUnknownCustomer = errors.New("unknown customer")
	// ErrQueueFull reports that the customer has MaxWaiting items waiting.
	ErrQueueFull = errors.New("queue of the customer is full")
	// ErrExpired reports an item whose deadline has passed.
	ErrExpired = errors.New("deadline has passed")
	// ErrClass reports a class that the queue does not have.
	ErrClass = errors.New("unknown class")
)

// Item is one unit of work that waits for a slot.
type Item[T any] struct {
	Customer string
	Class    Class
	// First puts the item ahead of its customer's other work in the class: statements of open transactions, and
	// statements that come back for another attempt. Items with First keep their order among each other.
	First bool
	// Prepaid items take no token, because theirs was taken before.
	Prepaid bool
	// Tokens is the number of tokens that the item takes; 0 counts as 1.
	Tokens int
	// Cost is the expected time in a slot; 0 means the customer's measured average.
	Cost time.Duration
	// Deadline is when the item is dropped if it is still waiting.
	Deadline time.Time
	// TokenDeadline, unless zero, is when the item is dropped if it is then still without a token.
	TokenDeadline time.Time
	// Value belongs to the caller.
	Value T
}

// Handle identifies a waiting item. The zero Handle identifies none.
type Handle struct{}

// Popped is an item that leaves the queue for a slot.
type Popped[T any] struct {
	Value  T
	Ticket Ticket
	// Waited is the time in the queue.
	Waited time.Duration
}

// Ticket identifies dispatched work until Done. The zero Ticket identifies none.
type Ticket struct{}

// Cause says why an item was dropped.
type Cause uint8

// Causes of a drop.
const (
	// CauseDeadline means that no slot became free in time.
	CauseDeadline Cause = iota + 1
	// CauseRate means that the customer had no token in time.
	CauseRate
	// CauseRemoved means that the customer was removed from the queue.
	CauseRemoved
)

// Dropped is an item that left the queue without a slot. It has not run.
type Dropped[T any] struct {
	Value  T
	Cause  Cause
	Waited time.Duration
}

// DefaultMaxWaiting bounds the items that wait for one customer.
const DefaultMaxWaiting = 1000

// Queue is the fair queue of one group: start-time fair queueing by customer within each class. Push, Pop, Remove and
// Done take O(log n) time in the number of customers and waiting items.
type Queue[T any] struct{}

// NewQueue returns a queue with the given number of classes, at most MaxClasses. maxWaiting bounds the items that wait
// for one customer; 0 means DefaultMaxWaiting.
func NewQueue[T any](classes, maxWaiting int) *Queue[T] { return &Queue[T]{} }

// SetCustomer adds the customer or changes its share and source. A share below 1 counts as 1. The change applies to
// waiting work at once.
func (q *Queue[T]) SetCustomer(name string, share int, src Source, now time.Time) {}

// RemoveCustomer drops the customer and its waiting items, which the next Expire returns.
func (q *Queue[T]) RemoveCustomer(name string, now time.Time) {}

// Push adds an item.
func (q *Queue[T]) Push(it Item[T], now time.Time) (Handle, error) { return Handle{}, nil }

// Pop takes the next item of the class whose customer has a token, and takes the token. Items whose deadline has passed
// are dropped first; the next Expire returns them. It returns false when no item may leave now.
func (q *Queue[T]) Pop(c Class, now time.Time) (Popped[T], bool) { return Popped[T]{}, false }

// Remove takes a waiting item out, for example because its caller has gone. It returns false when the item is no longer
// waiting.
func (q *Queue[T]) Remove(h Handle, now time.Time) bool { return false }

// Expire returns the items dropped since the last call and those whose deadline has passed at now. The slice is valid
// until the next call.
func (q *Queue[T]) Expire(now time.Time) []Dropped[T] { return nil }

// Done reports the time that dispatched work held its slot. The customer is charged the difference to what was expected.
func (q *Queue[T]) Done(t Ticket, cost time.Duration, now time.Time) {}

// Refresh reads the customer's source again after it changed other than by time: tokens granted, or contract changed.
func (q *Queue[T]) Refresh(name string, now time.Time) {}

// Wake returns the next time at which Pop or Expire may find something new without another call: a token or a deadline.
func (q *Queue[T]) Wake() (time.Time, bool) { return time.Time{}, false }

// Ready reports whether Pop(c, now) may return an item, by customers known to have tokens.
func (q *Queue[T]) Ready(c Class, now time.Time) bool { return false }

// Waiting returns the number of the customer's waiting items, and how many tokens the not prepaid ones need.
func (q *Queue[T]) Waiting(name string) (items, tokens int) { return 0, 0 }

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return 0 }
