package admission

import "time"

const (
	// initialCost stands for the cost of a customer's statements before the first is measured.
	initialCost = time.Millisecond
	// costWeight is the share of a new measurement in the average cost: 1/8 follows a change within some ten
	// statements.
	costWeight = 8
)

// priority orders the work of one flow.
type priority uint8

// Priorities in the order in which they are served.
const (
	// priorityPrepaid holds work that needs no token. It is first, so that it never waits behind work without a token.
	priorityPrepaid priority = iota
	// priorityTransaction holds statements of open transactions.
	priorityTransaction
	// priorityNormal holds all other work.
	priorityNormal
	priorityCount
)

// account is one customer in a queue.
type account struct {
	name   string
	share  uint64
	source Source
	flows  []flow
	// waiting counts the customer's items, and tokens what those that are not prepaid need.
	waiting int
	tokens  int
	// reserved counts the tokens that statements of open transactions wait for. Other work leaves them.
	reserved int
	// grants is the source when it is one, to drop tokens that no waiting item can use.
	grants *Grants
}

// flowState says where a flow is kept.
type flowState uint8

const (
	// flowIdle has no waiting item.
	flowIdle flowState = iota
	// flowReady is in the ready heap of its class.
	flowReady
	// flowThrottled is in the heap of token times.
	flowThrottled
	// flowParked waits for Refresh.
	flowParked
)

// flow is the work of one customer in one class. Tags are in nanoseconds of cost per unit of share.
type flow struct {
	account *account
	class   Class
	state   flowState
	heads   [priorityCount]item
	tails   [priorityCount]item
	// start is the tag of the head item and finish the end of the work charged so far.
	start, finish uint64
	// arrival breaks ties between equal start tags in favour of the flow that came first.
	arrival uint64
	// wake is when the customer has a token again, in nanoseconds of the queue's clock.
	wake int64
	// index is the place in the ready heap or in the heap of token times.
	index int
	// reserved is this flow's part of account.reserved.
	reserved int
	// averageCost is the moving average of measured costs.
	averageCost time.Duration
}

// item is the part of a waiting item that does not depend on the caller's type.
type item = *itemBase

type itemBase struct {
	next, prev item
	flow       *flow
	priority   priority
	tokens     int
	cost       time.Duration
	// id and generation make up the Handle; waiting is false while the item is free.
	id         uint32
	generation uint32
	waiting    bool
	// pushed, deadline and tokenDeadline are in nanoseconds of the queue's clock; noDeadline for none.
	pushed        int64
	deadline      int64
	tokenDeadline int64
	// expiry is the key in the heap of deadlines: the earlier of the two until the token deadline has passed.
	expiry int64
	index  int
}

// head returns the item that the flow serves next, or nil.
func (f *flow) head() item {
	for _, h := range f.heads {
		if h != nil {
			return h
		}
	}
	return nil
}

func (f *flow) append(it item) {
	it.next, it.prev = nil, f.tails[it.priority]
	if it.prev == nil {
		f.heads[it.priority] = it
	} else {
		it.prev.next = it
	}
	f.tails[it.priority] = it
}

func (f *flow) unlink(it item) {
	if it.prev == nil {
		f.heads[it.priority] = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		f.tails[it.priority] = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.next, it.prev = nil, nil
}

// charge converts a cost to tag units.
func (f *flow) charge(cost time.Duration) uint64 {
	return max(uint64(max(cost, 0))/f.account.share, 1)
}

func (f *flow) expectedCost(it item) time.Duration {
	if it.cost > 0 {
		return it.cost
	}
	if f.averageCost > 0 {
		return f.averageCost
	}
	return initialCost
}

func (f *flow) recordCost(cost time.Duration) {
	if f.averageCost == 0 {
		f.averageCost = max(cost, 1)
		return
	}
	f.averageCost = max(f.averageCost+(cost-f.averageCost)/costWeight, 1)
}

// reserve notes the tokens that the statement of an open transaction at the flow's head waits for. It holds until that
// statement leaves the queue.
func (f *flow) reserve(n int) {
	f.account.reserved += n - f.reserved
	f.reserved = n
}

// readyFlow orders flows by start tag.
type readyFlow struct{ *flow }

func (f readyFlow) before(o readyFlow) bool {
	if f.start != o.start {
		return f.start < o.start
	}
	return f.arrival < o.arrival
}
func (f readyFlow) setHeapIndex(i int) { f.index = i }
func (f readyFlow) heapIndex() int     { return f.index }

// throttledFlow orders flows by the time of their next token.
type throttledFlow struct{ *flow }

func (f throttledFlow) before(o throttledFlow) bool { return f.wake < o.wake }
func (f throttledFlow) setHeapIndex(i int)          { f.index = i }
func (f throttledFlow) heapIndex() int              { return f.index }

// expiringItem orders items by expiry.
type expiringItem struct{ *itemBase }

func (e expiringItem) before(o expiringItem) bool { return e.expiry < o.expiry }
func (e expiringItem) setHeapIndex(i int)         { e.index = i }
func (e expiringItem) heapIndex() int             { return e.index }

// scheduler is the part of a queue that does not depend on the caller's type.
type scheduler struct {
	classes   []class
	throttled heap[throttledFlow]
	expiring  heap[expiringItem]
	arrivals  uint64
	length    int
	// epoch is the origin of the queue's clock.
	epoch time.Time
}

// class is one resource with its own virtual time.
type class struct {
	ready heap[readyFlow]
	// virtualTime is the highest start tag served. No ready flow has a lower one.
	virtualTime uint64
	// running counts the work served and not yet done, and finish is the highest finish tag.
	running int
	finish  uint64
}

// makeReady moves a flow with work to the ready heap. Its start tag is never below the virtual time, so that a flow gains
// nothing from the time in which it was idle or without tokens.
func (s *scheduler) makeReady(f *flow) {
	s.detach(f)
	c := &s.classes[f.class]
	f.start = max(f.start, f.finish, c.virtualTime)
	s.arrivals++
	f.arrival = s.arrivals
	f.state = flowReady
	c.ready.push(readyFlow{f})
}

// detach takes the flow out of the heap that it is in.
func (s *scheduler) detach(f *flow) {
	switch f.state {
	case flowReady:
		s.classes[f.class].ready.remove(readyFlow{f})
	case flowThrottled:
		s.throttled.remove(throttledFlow{f})
	}
	f.state = flowIdle
}

// throttle sets a flow aside until its customer has tokens for the head.
func (s *scheduler) throttle(f *flow, head item, at time.Time, known bool) {
	s.detach(f)
	if head.priority == priorityTransaction {
		f.reserve(head.tokens)
	}
	if !known {
		f.state = flowParked
		return
	}
	f.wake = s.nanos(at)
	f.state = flowThrottled
	s.throttled.push(throttledFlow{f})
}

// wakeDue makes the flows ready whose token time has come.
func (s *scheduler) wakeDue(now int64) {
	for !s.throttled.empty() && s.throttled.top().wake <= now {
		s.makeReady(s.throttled.top().flow)
	}
}

// takeToken takes the tokens of the flow's head. Without them it sets the flow aside and returns false.
func (s *scheduler) takeToken(f *flow, head item, now time.Time) bool {
	if head.priority == priorityPrepaid {
		return true
	}
	a := f.account
	if head.priority == priorityNormal && a.reserved > 0 {
		at, known := a.source.Next(head.tokens+a.reserved, now)
		if !known || at.After(now) {
			s.throttle(f, head, at, known)
			return false
		}
	}
	if a.source.Take(head.tokens, now) {
		return true
	}
	at, known := a.source.Next(head.tokens, now)
	s.throttle(f, head, at, known)
	return false
}

// serve removes the head from its ready flow, charges the flow and returns the charge.
func (s *scheduler) serve(f *flow, head item) uint64 {
	c := &s.classes[f.class]
	c.virtualTime = max(c.virtualTime, f.start)
	c.running++
	charge := f.charge(f.expectedCost(head))
	f.finish = f.start + charge
	c.finish = max(c.finish, f.finish)
	s.removeItem(head)
	if f.head() == nil {
		s.detach(f)
		return charge
	}
	f.start = f.finish
	s.arrivals++
	f.arrival = s.arrivals
	c.ready.fix(readyFlow{f})
	return charge
}

// removeItem takes the item out of its flow and of the heap of deadlines.
func (s *scheduler) removeItem(it item) {
	f := it.flow
	releases := f.reserved > 0 && f.heads[priorityTransaction] == it
	f.unlink(it)
	if it.index != notInHeap {
		s.expiring.remove(expiringItem{it})
	}
	f.account.waiting--
	if it.priority != priorityPrepaid {
		f.account.tokens -= it.tokens
	}
	s.length--
	it.waiting = false
	it.generation++
	if releases {
		f.reserve(0)
		s.refresh(f.account, f)
	}
}

// refresh looks again at the flows of the customer that wait for tokens, except one.
func (s *scheduler) refresh(a *account, except *flow) {
	for i := range a.flows {
		f := &a.flows[i]
		if f != except && (f.state == flowThrottled || f.state == flowParked) {
			s.makeReady(f)
		}
	}
}

// adjustCharge charges the difference between the measured and the expected cost.
func (s *scheduler) adjustCharge(f *flow, charged, actual uint64) {
	backToBack := f.start == f.finish
	if actual >= charged {
		f.finish += actual - charged
		f.start = max(f.start, f.finish)
	} else {
		f.finish -= min(charged-actual, f.finish)
		if backToBack {
			f.start = max(f.finish, s.classes[f.class].virtualTime)
		}
	}
	if f.state == flowReady {
		s.classes[f.class].ready.fix(readyFlow{f})
	}
	c := &s.classes[f.class]
	c.finish = max(c.finish, f.finish)
	c.running--
	// At the end of a busy period all past use is forgotten: nobody waited while it went on.
	if c.running == 0 && c.ready.empty() {
		c.virtualTime = max(c.virtualTime, c.finish)
	}
}

func (s *scheduler) nanos(t time.Time) int64 {
	if s.epoch.IsZero() {
		s.epoch = t
	}
	return int64(t.Sub(s.epoch))
}
