package admission

import "time"

const (
	// initialCost is the expected cost of a flow's statements before the first measurement.
	initialCost = time.Millisecond
	// costWeight is the divisor of a new measurement in the moving average. With 8, the average follows a change within
	// about ten statements.
	costWeight = 8
)

// priority orders the items of one flow.
type priority uint8

// Priorities, in the order in which they are served.
const (
	// priorityPrepaid is for items that need no token. They come first, so that they never wait behind items that do.
	priorityPrepaid priority = iota
	// priorityTransaction is for statements of open transactions.
	priorityTransaction
	// priorityNormal is for all other items.
	priorityNormal
	priorityCount
)

// account is the state of one customer in a queue.
type account struct {
	name   string
	share  uint64
	source Source
	flows  []flow
	// waiting counts the customer's items, and tokens the tokens that those without Prepaid need.
	waiting int
	tokens  int
	// reserved is the number of tokens reserved for waiting statements of open transactions.
	reserved int
	// grants is source if that is a *Grants, and nil otherwise.
	grants *Grants
}

// flowState is the scheduling state of a flow.
type flowState uint8

const (
	// flowIdle: no waiting item.
	flowIdle flowState = iota
	// flowReady: in the ready heap of its class.
	flowReady
	// flowThrottled: in the throttled heap, until tokens become available.
	flowThrottled
	// flowParked: out of tokens until Refresh is called.
	flowParked
)

// flow is the queue of one customer in one class. Its start and finish tags are in nanoseconds of cost per unit of
// share.
type flow struct {
	account *account
	class   Class
	state   flowState
	heads   [priorityCount]item
	tails   [priorityCount]item
	// start is the start tag of the head item, and finish the finish tag of the work charged so far.
	start, finish uint64
	// arrival breaks ties between equal start tags in favor of the flow that became ready first.
	arrival uint64
	// wake is when the customer has enough tokens again, in nanoseconds since the queue's epoch.
	wake int64
	// index is the index in the ready or throttled heap.
	index int
	// reserved is the flow's part of account.reserved.
	reserved int
	// averageCost is the moving average of measured costs.
	averageCost time.Duration
}

// item is the part of a waiting item that does not depend on the value type.
type item = *itemBase

type itemBase struct {
	next, prev item
	flow       *flow
	priority   priority
	tokens     int
	cost       time.Duration
	// id and generation form the Handle. waiting is false while the item is unused.
	id         uint32
	generation uint32
	waiting    bool
	// pushed, deadline and tokenDeadline are in nanoseconds since the queue's epoch; noDeadline means none.
	pushed        int64
	deadline      int64
	tokenDeadline int64
	// expiry is the key in the deadline heap: the earlier deadline, or deadline alone once tokenDeadline has passed.
	expiry int64
	index  int
}

// head returns the next item of the flow, or nil.
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

// charge converts a cost to units of the start and finish tags.
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

// reserve reserves the n tokens for which the flow's head, a statement of an open transaction, waits. The reservation
// ends when that statement leaves the queue.
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

// throttledFlow orders flows by the time at which they have enough tokens.
type throttledFlow struct{ *flow }

func (f throttledFlow) before(o throttledFlow) bool { return f.wake < o.wake }
func (f throttledFlow) setHeapIndex(i int)          { f.index = i }
func (f throttledFlow) heapIndex() int              { return f.index }

// expiringItem orders items by expiry.
type expiringItem struct{ *itemBase }

func (e expiringItem) before(o expiringItem) bool { return e.expiry < o.expiry }
func (e expiringItem) setHeapIndex(i int)         { e.index = i }
func (e expiringItem) heapIndex() int             { return e.index }

// scheduler is the part of a queue that does not depend on the value type.
type scheduler struct {
	classes   []class
	throttled heap[throttledFlow]
	expiring  heap[expiringItem]
	arrivals  uint64
	length    int
	// epoch is the time from which the queue counts nanoseconds.
	epoch time.Time
}

// class is the scheduling state of one resource.
type class struct {
	ready heap[readyFlow]
	// virtualTime is the highest start tag served. No ready flow has a lower one.
	virtualTime uint64
	// running counts the items served but not yet done. finish is the highest finish tag.
	running int
	finish  uint64
}

// makeReady moves a flow with waiting items to the ready heap. Its start tag is raised to the virtual time, so that a
// flow earns no credit while it is idle or out of tokens.
func (s *scheduler) makeReady(f *flow) {
	s.detach(f)
	c := &s.classes[f.class]
	f.start = max(f.start, f.finish, c.virtualTime)
	s.arrivals++
	f.arrival = s.arrivals
	f.state = flowReady
	c.ready.push(readyFlow{f})
}

// detach removes the flow from the heap that it is in, if any.
func (s *scheduler) detach(f *flow) {
	switch f.state {
	case flowReady:
		s.classes[f.class].ready.remove(readyFlow{f})
	case flowThrottled:
		s.throttled.remove(throttledFlow{f})
	}
	f.state = flowIdle
}

// throttle makes a flow wait until its customer has tokens for the head.
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

// wakeDue makes the throttled flows ready that have tokens at now.
func (s *scheduler) wakeDue(now int64) {
	for !s.throttled.empty() && s.throttled.top().wake <= now {
		s.makeReady(s.throttled.top().flow)
	}
}

// takeToken takes the tokens for the flow's head. If they are not available, it throttles the flow and returns false.
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

// serve removes the head of a ready flow, charges the flow and returns the charge.
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

// removeItem removes the item from its flow and from the deadline heap.
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

// refresh makes the flows of the customer that wait for tokens ready again, except one.
func (s *scheduler) refresh(a *account, except *flow) {
	for i := range a.flows {
		f := &a.flows[i]
		if f != except && (f.state == flowThrottled || f.state == flowParked) {
			s.makeReady(f)
		}
	}
}

// adjustCharge corrects the flow's tags by the difference between the measured and the expected cost.
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
	// At the end of a busy period, past use no longer counts against any flow, because none had to wait for it.
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
