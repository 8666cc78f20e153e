// Package dispatch decides, for one database group, which queued statement runs next, on which member and connection,
// which connections to open and close, and which statements to refuse. It starts no goroutines, opens no sockets and
// reads no clock; none of its types is safe for concurrent use.
//
// A connection belongs to one member and one customer. Few statements are in flight at each member, so the order of the
// rest is determined here: by due time, with statements that can still be in time first. Statements of customers with
// much queued work go behind those of customers with little. Where the priorities of the routes differ, statements of a higher
// priority go first within these limits; see Priorities.
package dispatch

import (
	"time"

	"github.com/celerystep/celerystep/internal/balance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Need specifies which members can run a statement.
type Need uint8

// Needs of a statement.
const (
	// NeedPrimary is for writes and for reads that must see every commit.
	NeedPrimary Need = iota
	// NeedAny is for reads that any member whose log has reached Item.Floor can run.
	NeedAny
)

// Ticket identifies a queued item. The zero Ticket identifies none.
type Ticket uint64

// ConnID identifies a connection. It is never reused.
type ConnID uint64

// Item is a statement to be queued for a connection.
type Item struct {
	Customer string
	Need     Need
	// Floor is the position that a replica's log must have reached.
	Floor position.Position
	// Due is when the caller wants the answer, Deadline when it stops waiting for it.
	Due      time.Time
	Deadline time.Time
	// Cost is the expected execution time, during which the statement takes a slot.
	Cost time.Duration
	// OpensTransaction is true when the statement opens a transaction, which keeps its connection.
	OpensTransaction bool
	// Avoid is a member on which the statement has failed before.
	Avoid upstream.MemberID
	// Retried is true for a statement that was attempted before; it is not refused because of the
	// expected wait, nor shed, as a member may have begun to run it. A full queue still refuses it.
	Retried bool
	// Priority is the priority of the statement's route; 0 is the highest.
	Priority int
	// CustomerPriority is the priority of the customer's contract; 0 is the highest.
	CustomerPriority int
	// Weight is the customer's share of the slots relative to other customers; at least 1.
	Weight float64
}

// MemberConfig describes a member to the scheduler.
type MemberConfig struct {
	ID upstream.MemberID
	// Slots is the number of statements that the member runs concurrently.
	Slots int
	// LentConnections is the number of connections to the member that another instance uses at present.
	LentConnections int
	// RoundTrip is the expected network round-trip time to the member.
	RoundTrip time.Duration
	// Primary is true for the primary.
	Primary bool
	// Usable is false while the member must not get new statements.
	Usable bool
	// WarmupRate limits the statements per second to a member that is warming up; 0 means no limit.
	WarmupRate float64
	// Shared is true while another instance also sends statements to the member.
	Shared bool
}

// Limits configures a Scheduler.
type Limits struct {
	// Connections is the maximum number of open connections to one member.
	Connections int
	// IdleConnections is the number of connections to one member that are kept while idle. The others are closed, so
	// that another owner finds room immediately when this one fails and its connections linger.
	IdleConnections int
	// ExtraInFlight is the number of statements in flight at a member beyond its slots, which hides the network delay.
	ExtraInFlight int
	// QueueLength is the maximum number of queued items.
	QueueLength int
	// Handshake is the expected time to open a connection.
	Handshake time.Duration
	// TransactionPercent is the percentage of a member's connections that open transactions may hold.
	TransactionPercent int
	// Priorities is the range of the priorities of the group's routes.
	Priorities Priorities
}

// DefaultLimits returns limits for a group whose members accept the given number of connections from the whole fleet.
func DefaultLimits(connections int) Limits {
	// A new owner must be able to connect while connections of the previous one linger.
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

// Reason is the reason for a refusal.
type Reason uint8

// Reasons of a refusal.
const (
	// ReasonQueueTooLong: the expected wait exceeds the time until the item is due.
	ReasonQueueTooLong Reason = iota + 1
	// ReasonQueueFull: the queue has reached its maximum length.
	ReasonQueueFull
	// ReasonNoMember: no member can run the statement now.
	ReasonNoMember
	// ReasonDeadline: the item waited until its deadline.
	ReasonDeadline
	// ReasonShed: more urgent items leave no time for the queued item.
	ReasonShed
	// ReasonOverShare: the customer has received more than its share while others wait, and the target would be missed.
	ReasonOverShare
)

// String returns the name used in logs.
func (r Reason) String() string {
	return [...]string{"none", "queue_too_long", "queue_full", "no_member", "deadline", "shed", "over_share"}[r]
}

// Refusal gives the reason why a statement is not run and when to retry.
type Refusal struct {
	Reason Reason
	// After is the delay after which a retry is likely to succeed.
	After time.Duration
	// ExpectedWait is the wait that led to the refusal: the expected one, or the elapsed one for an item that was
	// queued. QueueLength is the length of the queue.
	ExpectedWait time.Duration
	QueueLength  int
}

// Assignment assigns a connection to an item, which has left the queue. Done must be called when the statement has
// ended.
type Assignment struct {
	Ticket Ticket
	Conn   ConnID
	Member upstream.MemberID
	Waited time.Duration
}

// Open requests a new connection. Opened, OpenFailed or OpenRejected must be called.
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

// Plan holds the actions that the caller has to carry out.
type Plan struct {
	Assignments []Assignment
	Opens       []Open
	Closes      []ConnID
	Expired     []Expired
	// Abandoned lists connections whose member has left a read unanswered and is judged failing. They have to be closed,
	// and the reads to be run elsewhere.
	Abandoned []ConnID
}

// queuedItem is an item in the queue.
type queuedItem struct {
	Item
	ticket  Ticket
	since   time.Time
	opening ConnID
	// effectiveDue is the due time, deferred by the customer's other queued work.
	effectiveDue time.Time
	// latestStart is when the item must start to meet its target.
	latestStart time.Time
	// surplus is true for an item beyond its customer's share.
	surplus bool
	// delayed is true for an item that more urgent ones have delayed beyond the minimum share.
	delayed bool
}

// Scheduler schedules the statements of one group.
type Scheduler struct {
	limits  Limits
	members []*member
	conns   map[ConnID]*conn
	// queue is sorted by goesBefore.
	queue      []*queuedItem
	lastTicket Ticket
	lastConn   ConnID
	closes     []ConnID
	// primaryExpected is when a primary is expected, while there is none.
	primaryExpected time.Time

	balancer *balance.Balancer
	// shared is true while other instances send statements to the members.
	shared bool
	// unansweredAt is the time of the last search for statements without an answer.
	unansweredAt time.Time
	// runningSince is the end of the last pause of this process.
	runningSince time.Time
	// candidates and options are reused by each choice.
	candidates []balance.Candidate
	options    []option

	shares  [2]shares
	retries [2]retrySchedule
	// displaced holds the items that a more urgent one has displaced since the last plan.
	displaced []Expired
	// delaying is, by need, the work that was assigned while less urgent items were waiting.
	delaying [2]time.Duration
}

// New returns a scheduler that knows no members.
func New(l Limits) *Scheduler {
	return &Scheduler{
		limits: l, conns: make(map[ConnID]*conn), retries: [2]retrySchedule{make(retrySchedule), make(retrySchedule)},
	}
}

// SetLimits replaces the limits.
func (s *Scheduler) SetLimits(l Limits) {
	before := s.limits.Priorities
	s.limits = l
	if l.Priorities != before {
		s.reorder()
	}
}

// SetPrimaryExpected sets when a primary is expected. The zero time means that no estimate is available.
func (s *Scheduler) SetPrimaryExpected(t time.Time) { s.primaryExpected = t }

// Len returns the number of queued items.
func (s *Scheduler) Len() int { return len(s.queue) }

// Submit queues an item, or refuses it immediately when it could not be served in time.
func (s *Scheduler) Submit(it Item, now time.Time) (Ticket, *Refusal) {
	w := &queuedItem{Item: it, since: now, effectiveDue: it.Due, latestStart: latestStart(it.Due, it.Cost, now)}
	submit := s.submitByDue
	if s.limits.Priorities.differ() {
		submit = s.submitPrioritized
	}
	if r := submit(w, now); r != nil {
		return 0, r
	}
	s.lastTicket++
	w.ticket = s.lastTicket
	s.insert(w)
	return w.ticket, nil
}

// submitByDue determines the item's place where all priorities are equal, or refuses it.
func (s *Scheduler) submitByDue(w *queuedItem, now time.Time) *Refusal {
	alone, fairnessDelay := s.fairShare(w, now)
	w.effectiveDue = w.effectiveDue.Add(fairnessDelay)
	return s.refuse(w, alone+fairnessDelay, now)
}

// Cancel removes an item from the queue. It returns false when the item is not queued any more.
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

// Plan returns the actions that result from the events since the last call.
func (s *Scheduler) Plan(now time.Time) Plan {
	p := Plan{Abandoned: s.observeUnanswered(now)}
	s.expire(now, &p)
	s.shed(now, &p)
	s.assignMinimumShare(now, &p)
	for c := range numClasses {
		s.assign(now, &p, c)
	}
	p.Closes, s.closes = s.closes, nil
	return p
}

// isOpening reports whether the connection is still being opened. A connection that is open may have been assigned to
// another item.
func (s *Scheduler) isOpening(id ConnID) bool {
	c := s.conns[id]
	return c != nil && c.state == connOpening
}

// expire removes the items whose deadline has passed, and those that no member can serve before it.
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

// unservable returns the reason why a queued item cannot be served any more, or nil.
func (s *Scheduler) unservable(w *queuedItem, now time.Time) *Refusal {
	if !now.Before(w.Deadline) {
		return &Refusal{Reason: ReasonDeadline, After: w.Cost, ExpectedWait: now.Sub(w.since), QueueLength: len(s.queue)}
	}
	if s.anyUsable(w) || s.primaryExpected.After(now) && s.primaryExpected.Add(w.Cost).Before(w.Deadline) {
		return nil
	}
	return &Refusal{Reason: ReasonNoMember, After: s.memberRetryAfter(now), ExpectedWait: now.Sub(w.since), QueueLength: len(s.queue)}
}

// assign assigns connections to the items of a class.
func (s *Scheduler) assign(now time.Time, p *Plan, c class) {
	for i := 0; i < len(s.queue); {
		w := s.queue[i]
		if s.class(w, now) != c || s.saturated(w) || !s.assignItem(i, now, p) {
			i++
		}
	}
}

// assignItem assigns a connection to the queued item with the index and removes it from the queue. It returns false, and
// requests a connection if one should be opened, when there is none.
func (s *Scheduler) assignItem(i int, now time.Time, p *Plan) bool {
	w := s.queue[i]
	m, c := s.choose(w, now)
	if c == nil {
		if m != nil && !s.isOpening(w.opening) {
			if o, ok := s.open(m, w.Customer, now); ok {
				w.opening = o.Conn
				p.Opens = append(p.Opens, o)
			}
		}
		return false
	}
	s.remove(i)
	s.countDelay(w)
	s.start(c, w, now)
	if m.lastPosition.Less(w.Floor) {
		// Only one statement at a time tests whether a replica has caught up.
		m.lastPositionAt = now
	}
	p.Assignments = append(p.Assignments, Assignment{Ticket: w.ticket, Conn: c.id, Member: m.ID, Waited: now.Sub(w.since)})
	return true
}
