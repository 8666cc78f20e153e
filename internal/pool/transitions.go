package pool

import (
	"time"

	"github.com/celerystep/celerystep/internal/upstream"
)

// Want records that a request waits for a connection to the member; Plan then opens one if the limits allow it. It
// returns false when enough connections are being opened already.
func (p *Pool) Want(id upstream.MemberID) bool {
	m, ok := p.members[id]
	if !ok {
		return false
	}
	m.wanted++
	return min(m.wanted, p.slots-m.busy) > m.opening
}

// Acquire takes an idle connection and a slot of the member for a request that is not in a transaction. It prefers a
// connection that served the same affinity last. When there is a free slot but no idle connection, it records the
// demand for Plan and returns false.
func (p *Pool) Acquire(id upstream.MemberID, affinity string) (ConnID, bool) {
	m, ok := p.members[id]
	if !ok || !p.takesNewWork(m) || m.busy >= p.slots {
		return 0, false
	}
	if len(m.idle) == 0 {
		m.wanted++
		return 0, false
	}
	c := m.pickIdle(affinity)
	m.removeIdle(c)
	c.state = StateBusy
	c.affinity = affinity
	m.busy++
	return c.id, true
}

func (m *member) pickIdle(affinity string) *conn {
	for i := len(m.idle) - 1; i >= 0; i-- {
		if m.idle[i].affinity == affinity {
			return m.idle[i]
		}
	}
	return m.idle[len(m.idle)-1]
}

// Resume takes a slot for the next statement of a transaction. It returns false when the connection is not in a
// transaction. It does not wait for a free slot: statements that wait for the locks of this transaction may hold all
// slots, and only this transaction's end can release them. The excess is bounded by the open transactions.
func (p *Pool) Resume(id ConnID) bool {
	c, ok := p.conns[id]
	if !ok || c.state != StateTransaction {
		return false
	}
	c.state = StateBusy
	c.member.busy++
	return true
}

// Pin ends a statement that left a transaction open: its slot is freed, and the connection stays pinned to the session.
func (p *Pool) Pin(id ConnID) {
	c, ok := p.conns[id]
	if !ok || c.state != StateBusy {
		return
	}
	c.state = StateTransaction
	c.member.busy--
}

// Reset marks a connection as being verified before reuse, and frees a slot that it held.
func (p *Pool) Reset(id ConnID) {
	c, ok := p.conns[id]
	if !ok {
		return
	}
	p.freeSlot(c)
	c.state = StateResetting
}

// Release makes a connection idle after a statement or a successful verification. It returns false when the connection
// must be closed and reported with Remove instead: its member is draining, it was dropped, or the pool is above its
// limit.
func (p *Pool) Release(id ConnID, now time.Time) bool {
	c, ok := p.conns[id]
	if !ok {
		return false
	}
	p.freeSlot(c)
	if c.closeOnRelease || !p.takesNewWork(c.member) || len(p.conns) > p.limit {
		c.state = StateClosing
		return false
	}
	p.makeIdle(c, now)
	return true
}

func (p *Pool) makeIdle(c *conn, now time.Time) {
	c.state = StateIdle
	c.idleSince = now
	c.probeDue = now.Add(keepAliveInterval)
	c.member.idle = append(c.member.idle, c)
}

func (p *Pool) freeSlot(c *conn) {
	if c.state == StateBusy {
		c.member.busy--
	}
}

// Opened records a successful open. It returns false when the connection is not needed any more and must be closed and
// reported with Remove.
func (p *Pool) Opened(id ConnID, now time.Time) bool {
	c, ok := p.conns[id]
	if !ok || c.state != StateOpening {
		return false
	}
	c.member.opening--
	c.member.failures = 0
	c.state = StateResetting
	return p.Release(id, now)
}

// OpenFailed records a failed open and starts the member's open backoff.
func (p *Pool) OpenFailed(id ConnID, now time.Time) {
	c, ok := p.conns[id]
	if !ok || c.state != StateOpening {
		return
	}
	m := c.member
	m.failures++
	m.openAfter = now.Add(p.openBackoff(m.failures))
	p.Remove(id)
}

// openBackoff grows with the consecutive failures; half of it is jitter, so that homes do not reconnect to a recovering
// member in lockstep.
func (p *Pool) openBackoff(failures int) time.Duration {
	bound := openBackoffMax
	if shift := failures - 1; shift < 6 {
		bound = min(openBackoffMax, openBackoffBase<<max(shift, 0))
	}
	half := bound / 2
	return half + time.Duration(p.random.Int64N(int64(half)))
}

// Remove removes a connection that was closed, whatever its state.
func (p *Pool) Remove(id ConnID) {
	c, ok := p.conns[id]
	if !ok {
		return
	}
	switch c.state {
	case StateBusy:
		c.member.busy--
	case StateIdle:
		c.member.removeIdle(c)
	case StateOpening:
		c.member.opening--
	}
	c.member.total--
	delete(p.conns, id)
}

// State returns the state of the connection, or 0 when it is unknown.
func (p *Pool) State(id ConnID) State {
	c, ok := p.conns[id]
	if !ok {
		return 0
	}
	return c.state
}

// Member returns the member of the connection, or "" when it is unknown.
func (p *Pool) Member(id ConnID) upstream.MemberID {
	c, ok := p.conns[id]
	if !ok {
		return ""
	}
	return c.member.id
}

// Count returns the number of connections in the state.
func (p *Pool) Count(s State) int {
	n := 0
	for _, c := range p.conns {
		if c.state == s {
			n++
		}
	}
	return n
}

// Open returns the number of connections in any state.
func (p *Pool) Open() int { return len(p.conns) }
