// Package dispatch decides, for one database group, which waiting statement runs next, on which member and connection,
// which connections to open and close, and which statements to refuse. It has no goroutines, sockets or clock reads, and
// none of its types is safe for concurrent use.
//
// A connection belongs to one member and one customer. Few statements are in flight at each member, so that the order of
// the rest is decided here: by due time, those that can still be in time first. A customer with much waiting work goes
// behind customers with little.
package dispatch

import (
	"time"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Need says which members can run a statement.
type Need uint8

// Needs of a statement.
const (
	// NeedPrimary is for writes and for reads that must see every commit.
	NeedPrimary Need = iota
	// NeedAny is for reads that any member with Item.Floor in its log can run.
	NeedAny
)

// Ticket identifies a waiting item. The zero Ticket identifies none.
type Ticket uint64

// ConnID identifies a connection. It is never reused.
type ConnID uint64

// Item is a statement that waits for a connection.
type Item struct {
	Customer string
	Need     Need
	// Floor is the position that a replica's log must hold.
	Floor position.Position
	// Due is when the caller wants the answer, Deadline when it no longer waits.
	Due      time.Time
	Deadline time.Time
	// Cost is the expected time in a slot.
	Cost time.Duration
	// OpensTransaction is true when the statement opens a transaction, which keeps its connection.
	OpensTransaction bool
	// Avoid names a member that has failed the statement before.
	Avoid upstream.MemberID
	// Retried is true for a statement that was tried before; it is not refused for the length of the queue.
	Retried bool
}

// MemberConfig is what the scheduler is told about a member.
type MemberConfig struct {
	ID upstream.MemberID
	// Slots is the number of statements that the member runs at once.
	Slots int
	// RoundTrip is the expected network delay to the member and back.
	RoundTrip time.Duration
	// Primary is true for the member that leads.
	Primary bool
	// Usable is false while the member may not get new work.
	Usable bool
	// WarmupRate bounds the statements that a starting member gets; 0 means no bound.
	WarmupRate float64
}

// Limits bound what the scheduler does.
type Limits struct {
	// Connections bounds the open connections to one member.
	Connections int
	// IdleConnections is the number of connections to one member that stay open while they are idle. The rest is left free, so that
	// another owner finds room at once when this one disappears with its connections.
	IdleConnections int
	// ExtraInFlight is the number of statements in flight at a member beyond its slots, which covers the network delay.
	ExtraInFlight int
	// QueueLength bounds the waiting items.
	QueueLength int
	// Handshake is the expected time to open a connection.
	Handshake time.Duration
	// TransactionPercent is the share of a member's connections that open transactions may hold, in percent.
	TransactionPercent int
}

// DefaultLimits returns limits for a group whose members take the given number of connections from the whole fleet.
func DefaultLimits(connections int) Limits {
	// A new owner must be able to connect while the connections of the previous one linger.
	reserve := max(1, connections/8)
	return Limits{
		Connections:        max(1, connections-reserve),
		IdleConnections:    max(1, connections/2),
		ExtraInFlight:      1,
		QueueLength:        400,
		Handshake:          15 * time.Millisecond,
		TransactionPercent: 70,
	}
}

// Reason says why an item was refused.
type Reason uint8

// Reasons of a refusal.
const (
	// ReasonQueueTooLong: the items ahead take longer than the caller waits.
	ReasonQueueTooLong Reason = iota + 1
	// ReasonQueueFull: too many items wait.
	ReasonQueueFull
	// ReasonNoMember: no member can run the statement now.
	ReasonNoMember
	// ReasonDeadline: the item waited until its deadline.
	ReasonDeadline
)

// String returns the name used in logs.
func (r Reason) String() string {
	return [...]string{"none", "queue_too_long", "queue_full", "no_member", "deadline"}[r]
}

// Refusal tells why a statement does not run and when to come back.
type Refusal struct {
	Reason Reason
	// After is when another attempt is likely to succeed.
	After time.Duration
	// ExpectedWait is the expected wait that led to the refusal, Waiting the length of the queue.
	ExpectedWait time.Duration
	QueueLength  int
}

// Assignment gives a waiting item its connection. The item has left the queue; Done must follow.
type Assignment struct {
	Ticket Ticket
	Conn   ConnID
	Member upstream.MemberID
	Waited time.Duration
}

// Open asks for a new connection. Opened or OpenFailed must follow.
type Open struct {
	Conn     ConnID
	Member   upstream.MemberID
	Customer string
}

// Expired is an item that left the queue without a connection.
type Expired struct {
	Ticket  Ticket
	Refusal Refusal
}

// Plan is what the caller has to do next.
type Plan struct {
	Assignments []Assignment
	Opens       []Open
	Closes      []ConnID
	Expired     []Expired
}

// queuedItem is an item in the queue.
type queuedItem struct {
	Item
	ticket  Ticket
	since   time.Time
	opening ConnID
	// effectiveDue is the due time, put off by the customer's other waiting work.
	effectiveDue time.Time
}

// Scheduler is the state of one group.
type Scheduler struct {
	limits  Limits
	members []*member
	conns   map[ConnID]*conn
	// queue is sorted by order.
	queue      []*queuedItem
	lastTicket Ticket
	lastConn   ConnID
	closes     []ConnID
	// primaryExpected is when a primary is expected to lead, while there is none.
	primaryExpected time.Time
}

// New returns a scheduler without members.
func New(l Limits) *Scheduler {
	return &Scheduler{limits: l, conns: make(map[ConnID]*conn)}
}

// SetLimits applies limits from now on.
func (s *Scheduler) SetLimits(l Limits) { s.limits = l }

// SetPrimaryExpected tells when a primary is expected to lead. The zero time means that nothing is known.
func (s *Scheduler) SetPrimaryExpected(t time.Time) { s.primaryExpected = t }

// Len returns the number of waiting items.
func (s *Scheduler) Len() int { return len(s.queue) }

// Submit puts an item into the queue, or refuses it at once when it could not be served in time.
func (s *Scheduler) Submit(it Item, now time.Time) (Ticket, *Refusal) {
	w := &queuedItem{Item: it, since: now, effectiveDue: it.Due}
	alone, fairnessDelay := s.fairShare(w, now)
	w.effectiveDue = w.effectiveDue.Add(fairnessDelay)
	if r := s.refuse(w, alone+fairnessDelay, now); r != nil {
		return 0, r
	}
	s.lastTicket++
	w.ticket = s.lastTicket
	i := len(s.queue)
	for i > 0 && s.queue[i-1].effectiveDue.After(w.effectiveDue) {
		i--
	}
	s.queue = append(s.queue, nil)
	copy(s.queue[i+1:], s.queue[i:])
	s.queue[i] = w
	return w.ticket, nil
}

// Cancel takes an item out of the queue. It returns false when the item is no longer there.
func (s *Scheduler) Cancel(t Ticket) bool {
	for i, w := range s.queue {
		if w.ticket == t {
			s.remove(i)
			return true
		}
	}
	return false
}

func (s *Scheduler) remove(i int) {
	copy(s.queue[i:], s.queue[i+1:])
	s.queue[len(s.queue)-1] = nil
	s.queue = s.queue[:len(s.queue)-1]
}

// Plan returns what is to be done after the events since the last call.
func (s *Scheduler) Plan(now time.Time) Plan {
	var p Plan
	s.expire(now, &p)
	s.assign(now, &p, true)
	s.assign(now, &p, false)
	p.Closes, s.closes = s.closes, nil
	return p
}

// isOpening reports whether the connection is on its way. One that is open already went to another item.
func (s *Scheduler) isOpening(id ConnID) bool {
	c := s.conns[id]
	return c != nil && c.state == connOpening
}

// expire drops the items whose deadline has passed, and those that nothing can serve before it.
func (s *Scheduler) expire(now time.Time, p *Plan) {
	for i := 0; i < len(s.queue); {
		w := s.queue[i]
		r := s.unservable(w, now)
		if r == nil {
			i++
			continue
		}
		s.remove(i)
		p.Expired = append(p.Expired, Expired{Ticket: w.ticket, Refusal: *r})
	}
}

// unservable returns why a waiting item cannot be served any more, or nil.
func (s *Scheduler) unservable(w *queuedItem, now time.Time) *Refusal {
	if !now.Before(w.Deadline) {
		return &Refusal{Reason: ReasonDeadline, After: w.Cost, ExpectedWait: now.Sub(w.since), QueueLength: len(s.queue)}
	}
	if s.anyUsable(w) || s.primaryExpected.After(now) && s.primaryExpected.Add(w.Cost).Before(w.Deadline) {
		return nil
	}
	return &Refusal{Reason: ReasonNoMember, After: s.memberRetryAfter(now), ExpectedWait: now.Sub(w.since), QueueLength: len(s.queue)}
}

// assign gives connections to items that can still be in time, or to the others.
func (s *Scheduler) assign(now time.Time, p *Plan, inTime bool) {
	for i := 0; i < len(s.queue); {
		w := s.queue[i]
		if w.Due.After(now) != inTime {
			i++
			continue
		}
		m, c := s.choose(w, now)
		switch {
		case c != nil:
			s.remove(i)
			s.start(c, now)
			if m.lastPosition.Less(w.Floor) {
				// One statement at a time finds out whether a replica has caught up.
				m.lastPositionAt = now
			}
			p.Assignments = append(p.Assignments, Assignment{Ticket: w.ticket, Conn: c.id, Member: m.ID, Waited: now.Sub(w.since)})
			continue
		case m != nil && !s.isOpening(w.opening):
			if o, ok := s.open(m, w.Customer, now); ok {
				w.opening = o.Conn
				p.Opens = append(p.Opens, o)
			}
		}
		i++
	}
}
