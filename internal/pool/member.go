package pool

import (
	"time"

	"github.com/celerystep/celerystep/internal/upstream"
)

type member struct {
	id        upstream.MemberID
	draining  bool
	removed   bool
	reachable bool
	// idle is ordered by time of last use. The most recently used connection is taken first, so that surplus
	// connections stay idle and can be replaced by connections to other members.
	idle []*conn
	// total counts connections in any state, busy those that hold a slot, opening those being opened.
	total   int
	busy    int
	opening int
	// wanted counts requests that found a free slot but no idle connection since the last Plan.
	wanted int
	// failures counts consecutive failed opens; no open starts before openAfter.
	failures  int
	openAfter time.Time
	// rampFrom is when the member became available again; zero for a member that was present at the start.
	rampFrom time.Time
}

// takesNewWork reports whether requests outside of open transactions may use the member.
func (p *Pool) takesNewWork(m *member) bool {
	if m.removed {
		return false
	}
	return !m.draining || m == p.primary
}

// warming reports whether the member's ramp is in progress.
func (m *member) warming(now time.Time) bool {
	return !m.rampFrom.IsZero() && now.Sub(m.rampFrom) < rampDuration
}

// Weight returns the member's routing weight, which grows from rampStart to 1 over rampDuration.
func (p *Pool) Weight(id upstream.MemberID, now time.Time) float64 {
	m, ok := p.members[id]
	if !ok {
		return 0
	}
	if !m.warming(now) {
		return 1
	}
	done := float64(now.Sub(m.rampFrom)) / float64(rampDuration)
	return rampStart + (1-rampStart)*max(0, done)
}

// Load describes the utilization of a member.
type Load struct {
	Member upstream.MemberID
	// Free is the number of statements that could start now: idle connections, bounded by free slots.
	Free int
	// FreeSlots is the number of slots not in use.
	FreeSlots int
	// Busy counts the running statements, Idle the idle connections, Open all connections.
	Busy int
	Idle int
	Open int
	// TakesNewWork is false while the member drains, unless it is the primary.
	TakesNewWork bool
}

// Load returns the utilization of the member.
func (p *Pool) Load(id upstream.MemberID) Load {
	m, ok := p.members[id]
	if !ok {
		return Load{Member: id}
	}
	free := max(0, p.slots-m.busy)
	return Load{
		Member:       id,
		Free:         min(free, len(m.idle)),
		FreeSlots:    free,
		Busy:         m.busy,
		Idle:         len(m.idle),
		Open:         m.total,
		TakesNewWork: p.takesNewWork(m),
	}
}

func (m *member) removeIdle(c *conn) {
	for i, other := range m.idle {
		if other == c {
			m.idle = append(m.idle[:i], m.idle[i+1:]...)
			return
		}
	}
}
