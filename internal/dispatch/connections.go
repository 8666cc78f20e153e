package dispatch

import (
	"time"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// connState is the state of a connection.
type connState uint8

const (
	connOpening connState = iota
	connIdle
	// connBusy runs a statement outside a transaction, or the first one of a transaction.
	connBusy
	// connHeld belongs to an open transaction between two statements.
	connHeld
	// connHeldBusy runs a statement of an open transaction.
	connHeldBusy
)

const (
	// idleTimeout is shorter than the time after which members close idle connections.
	idleTimeout = 45 * time.Second
	// excessIdleTimeout is the idle timeout of connections beyond Limits.IdleConnections.
	excessIdleTimeout = 2 * time.Second
	// minEvictIdle is how long a connection must be idle before it may be evicted for another customer.
	minEvictIdle = 30 * time.Millisecond
	// openRetryDelay is the delay after a failed attempt to open a connection.
	openRetryDelay = 100 * time.Millisecond
	// connLimitPeriod is how long a rejected connection limits the number of connections to the member.
	connLimitPeriod = 300 * time.Millisecond
	// maxOpening limits the connections being opened to one member: each takes a slot meanwhile.
	maxOpening = 2
)

type conn struct {
	id       ConnID
	member   *member
	customer string
	state    connState
	since    time.Time
	started  time.Time
	// cost is the expected cost of the last statement, ahead the number of statements beyond the member's slots when it was
	// sent.
	cost  time.Duration
	ahead int
	// repeatable is true while a read runs that another member may run instead.
	repeatable bool
	// failureCounted is true when the balancer knows that the statement failed or was not answered.
	failureCounted bool
}

// member is the scheduler's state of one member.
type member struct {
	MemberConfig
	// running counts running statements and connections being opened, each of which takes a slot.
	running   int
	opening   int
	heldConns int
	conns     []*conn
	// lastPosition is the newest position reported by the member, at lastPositionAt.
	lastPosition   position.Position
	lastPositionAt time.Time
	// openAfter is the earliest time for another open after a failure.
	openAfter time.Time
	// connLimit is how many connections the member accepts at present, until connLimitUntil.
	connLimit      int
	connLimitUntil time.Time
	// noneEvictableAt is when no connection could be evicted for any customer: none can at the same time.
	noneEvictableAt time.Time
	// warmupTokens is the token bucket that limits statements to a member that is warming up.
	warmupTokens float64
	warmupAt     time.Time
}

// SetMembers replaces the members. Idle connections to members that were removed or are not usable are closed.
func (s *Scheduler) SetMembers(list []MemberConfig, now time.Time) {
	old := s.members
	s.members = make([]*member, 0, len(list))
	for _, c := range list {
		m := findMember(old, c.ID)
		if m == nil {
			m = &member{warmupAt: now}
		}
		m.MemberConfig = c
		s.members = append(s.members, m)
	}
	s.updateBalancer()
	for _, m := range old {
		if findMember(s.members, m.ID) == nil {
			m.Usable = false
		}
	}
	for _, c := range s.conns {
		if !c.member.Usable && c.state == connIdle {
			s.closeConn(c)
		}
	}
}

func findMember(list []*member, id upstream.MemberID) *member {
	for _, m := range list {
		if m.ID == id {
			return m
		}
	}
	return nil
}

// open requests a connection, evicting another customer's idle one if the limit is reached.
func (s *Scheduler) open(m *member, customer string, now time.Time) (Open, bool) {
	if m.opening >= maxOpening || now.Before(m.openAfter) {
		return Open{}, false
	}
	if len(m.conns) >= s.connLimit(m, now) {
		evictable := s.evictable(m, customer, now)
		if evictable == nil {
			return Open{}, false
		}
		s.closeConn(evictable)
	}
	s.lastConn++
	c := &conn{id: s.lastConn, member: m, customer: customer, state: connOpening, since: now}
	s.conns[c.id] = c
	m.conns = append(m.conns, c)
	m.opening++
	m.running++
	return Open{Conn: c.id, Member: m.ID, Customer: customer}, true
}

// evictable returns the connection of another customer that has been idle for longest, or nil.
func (s *Scheduler) evictable(m *member, customer string, now time.Time) *conn {
	if m.noneEvictableAt.Equal(now) {
		return nil
	}
	var oldest *conn
	anyIdle := false
	for _, c := range m.conns {
		if c.state != connIdle || now.Sub(c.since) < minEvictIdle {
			continue
		}
		anyIdle = true
		if c.customer != customer && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	if !anyIdle {
		m.noneEvictableAt = now
	}
	return oldest
}

// Prewarm returns the connections to open ahead of demand: one for each customer at each usable member, up to half of
// the connection limit.
func (s *Scheduler) Prewarm(customers []string, now time.Time) []Open {
	var opens []Open
	for _, m := range s.members {
		if !m.Usable {
			continue
		}
		for _, customer := range customers {
			if len(m.conns) >= min(s.limits.Connections/2, s.allowance(m)) || m.hasConn(customer) {
				continue
			}
			if o, ok := s.open(m, customer, now); ok {
				opens = append(opens, o)
			}
		}
	}
	return opens
}

func (m *member) hasConn(customer string) bool {
	for _, c := range m.conns {
		if c.customer == customer {
			return true
		}
	}
	return false
}

// Opened records that a connection has been opened.
func (s *Scheduler) Opened(id ConnID, now time.Time) {
	c := s.conns[id]
	if c == nil {
		return
	}
	c.member.opening--
	c.member.running--
	c.state, c.since = connIdle, now
	if !c.member.Usable {
		s.closeConn(c)
	}
}

// OpenFailed records that a connection could not be opened.
func (s *Scheduler) OpenFailed(id ConnID, now time.Time) {
	c := s.conns[id]
	if c == nil {
		return
	}
	c.member.openAfter = now.Add(openRetryDelay)
	s.removeConn(c)
}

// OpenRejected records that a connection could not be opened because the member has none left: somebody else holds some, for
// example an earlier owner that lost power. For a while the connections that are open are used in turn instead.
func (s *Scheduler) OpenRejected(id ConnID, now time.Time) {
	c := s.conns[id]
	if c == nil {
		return
	}
	m := c.member
	s.removeConn(c)
	m.connLimit, m.connLimitUntil = max(1, len(m.conns)), now.Add(connLimitPeriod)
	if len(m.conns) == 0 {
		m.openAfter = now.Add(openRetryDelay)
	}
}

// connLimit returns how many connections to the member may be open.
func (s *Scheduler) connLimit(m *member, now time.Time) int {
	if now.Before(m.connLimitUntil) {
		return min(s.allowance(m), m.connLimit)
	}
	return s.allowance(m)
}

// allowance returns how many connections to the member this scheduler may hold.
func (s *Scheduler) allowance(m *member) int { return max(0, s.limits.Connections-m.LentConnections) }

// ConnsInUse returns the number of connections to the member that are not idle.
func (s *Scheduler) ConnsInUse(id upstream.MemberID) int {
	n := 0
	if m := findMember(s.members, id); m != nil {
		for _, c := range m.conns {
			if c.state != connIdle {
				n++
			}
		}
	}
	return n
}

// Running returns the number of statements that run in slots of the members.
func (s *Scheduler) Running() int {
	n := 0
	for _, m := range s.members {
		n += m.running
	}
	return n
}

// Conns returns the number of connections.
func (s *Scheduler) Conns() int { return len(s.conns) }

// Closed records that a connection has been closed, whatever its state.
func (s *Scheduler) Closed(id ConnID) {
	if c := s.conns[id]; c != nil {
		s.removeConn(c)
	}
}

// start takes the connection and a slot for a statement outside a transaction.
func (s *Scheduler) start(c *conn, w *queuedItem, now time.Time) {
	c.state = connBusy
	c.cost, c.repeatable = w.Cost, w.Need == NeedAny && !w.OpensTransaction
	c.markStarted(now)
	c.member.spendWarmupToken(now)
}

// markStarted records that a statement is sent.
func (c *conn) markStarted(now time.Time) {
	c.started, c.failureCounted = now, false
	c.member.running++
	c.ahead = max(0, c.member.running-c.member.Slots)
}

// Done records that the statement on the connection has ended. open is true when it left a transaction open, which
// holds the connection until Done is called with open false.
func (s *Scheduler) Done(id ConnID, open bool, now time.Time) {
	c := s.conns[id]
	if c == nil {
		return
	}
	if c.busy() {
		c.member.running--
	}
	if c.inTransaction() {
		c.member.heldConns--
	}
	c.since = now
	c.state = connIdle
	if open {
		c.state = connHeld
		c.member.heldConns++
		return
	}
	if !c.member.Usable {
		s.closeConn(c)
	}
}

// Resume takes a slot for the next statement of the connection's transaction. It does not wait for a free slot: only
// the end of the transaction frees the connection.
func (s *Scheduler) Resume(id ConnID, now time.Time) {
	c := s.conns[id]
	if c == nil || c.state != connHeld {
		return
	}
	c.state, c.repeatable = connHeldBusy, false
	c.markStarted(now)
}

// Observe records a position that the member reported.
func (s *Scheduler) Observe(id upstream.MemberID, p position.Position, now time.Time) {
	m := findMember(s.members, id)
	if m == nil || p.IsZero() {
		return
	}
	m.lastPosition, m.lastPositionAt = p, now
}

// ReportLagging records that the member refused a read because its log has not reached the position.
func (s *Scheduler) ReportLagging(id upstream.MemberID, now time.Time) {
	if m := findMember(s.members, id); m != nil {
		m.lastPositionAt = now
	}
}

// CloseExpiredIdle closes the connections whose idle timeout has passed.
func (s *Scheduler) CloseExpiredIdle(now time.Time) {
	for _, c := range s.conns {
		if c.state == connIdle && now.Sub(c.since) > idleTimeout {
			s.closeConn(c)
		}
	}
	for _, m := range s.members {
		for len(m.conns) > s.limits.IdleConnections {
			c := m.oldestIdle()
			if c == nil || now.Sub(c.since) <= excessIdleTimeout {
				break
			}
			s.closeConn(c)
		}
	}
}

// TrimToLimit closes the longest idle connections of each member until it is within the connection limit or has only
// connections in use.
func (s *Scheduler) TrimToLimit() {
	for _, m := range s.members {
		for len(m.conns) > s.allowance(m) {
			c := m.oldestIdle()
			if c == nil {
				break
			}
			s.closeConn(c)
		}
	}
}

// oldestIdle returns the connection that has been idle for longest, or nil.
func (m *member) oldestIdle() *conn {
	var oldest *conn
	for _, c := range m.conns {
		if c.state == connIdle && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	return oldest
}

// CloseIdle closes all idle connections, for an owner that releases the group.
func (s *Scheduler) CloseIdle() {
	for _, c := range s.conns {
		if c.state == connIdle {
			s.closeConn(c)
		}
	}
}

func (c *conn) busy() bool {
	return c.state == connBusy || c.state == connHeldBusy || c.state == connOpening
}

func (c *conn) inTransaction() bool { return c.state == connHeld || c.state == connHeldBusy }

// closeConn adds the connection to those that the caller has to close, and removes it.
func (s *Scheduler) closeConn(c *conn) {
	s.closes = append(s.closes, c.id)
	s.removeConn(c)
}

func (s *Scheduler) removeConn(c *conn) {
	m := c.member
	if c.busy() {
		m.running--
	}
	if c.state == connOpening {
		m.opening--
	}
	if c.inTransaction() {
		m.heldConns--
	}
	delete(s.conns, c.id)
	for i, other := range m.conns {
		if other == c {
			m.conns[i] = m.conns[len(m.conns)-1]
			m.conns = m.conns[:len(m.conns)-1]
			break
		}
	}
}
