// Package pool tracks one group's statement connections: how many are open to each member, which of them are idle, and
// which to open, probe or close next. Package dispatch, in contrast, queues statements as well. The package does no
// I/O, starts no goroutines and reads no clock; the caller carries out the actions of Plan and reports their results. A
// Pool is not safe for concurrent use.
package pool

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/upstream"
)

// ConnID identifies a connection of one pool. It is never reused.
type ConnID uint64

// State is the state of a connection.
type State uint8

// States of a connection.
const (
	// StateOpening counts against the limit although the connection is not usable yet.
	StateOpening State = iota + 1
	StateIdle
	// StateBusy runs a statement and holds a slot of its member.
	StateBusy
	// StateTransaction is pinned to a session between two statements of a transaction; it holds no slot.
	StateTransaction
	// StateResetting is being verified by a reset after a transaction or by a keep-alive probe. It holds no slot,
	// because neither runs a statement of a caller.
	StateResetting
	// StateClosing waits for the caller to close the connection and to report it with Remove.
	StateClosing
)

// String returns the name used in logs and metrics.
func (s State) String() string {
	names := [...]string{"", "opening", "idle", "busy", "transaction", "resetting", "closing"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

const (
	// keepAliveInterval is the idle time after which a connection is probed. A connection can stop answering without
	// being reset, so idle ones are probed before a request uses them.
	keepAliveInterval = 5 * time.Second
	// rebalanceIdle is the idle time after which a connection may be closed in favour of another member. Opening one
	// takes 10 to 30 ms, so connections must not follow every short change of load.
	rebalanceIdle = 250 * time.Millisecond
	// rampDuration is the time over which the routing weight of a member that is reachable again grows to 1.
	rampDuration = 10 * time.Second
	// rampStart is the routing weight at the beginning of the ramp.
	rampStart = 0.1
	// openBackoffBase and openBackoffMax bound the delay after failed opens.
	openBackoffBase = 50 * time.Millisecond
	openBackoffMax  = 2 * time.Second
)

// MemberConfig is the configured part of a member's state.
type MemberConfig struct {
	ID upstream.MemberID
	// Draining is true for a leaving member and for a member in a failure domain that is out of service. Such a member
	// gets no new statements unless it is the primary.
	Draining bool
}

// Config bounds a pool.
type Config struct {
	// Connections bounds the open connections of the group over all members, one status connection per member
	// included.
	Connections int
	// Slots bounds the statements that one member runs at once.
	Slots   int
	Members []MemberConfig
}

type conn struct {
	id     ConnID
	member *member
	state  State
	// affinity is the customer served last; its settings are still in effect on the connection.
	affinity string
	// idleSince is the time at which the connection last became idle.
	idleSince time.Time
	// probeDue is the time of the next keep-alive probe.
	probeDue time.Time
	// closeOnRelease connections are closed instead of becoming idle.
	closeOnRelease bool
}

// Pool is the state of all connections of a group.
type Pool struct {
	limit   int
	slots   int
	members map[upstream.MemberID]*member
	// order lists the members by id, so that decisions do not depend on map order.
	order   []*member
	conns   map[ConnID]*conn
	primary *member
	next    ConnID
	random  *rand.Rand
	// started is set by the first Configure. Members present at the start get no ramp, because at the start all
	// members are equally cold.
	started bool
}

// New returns an empty pool; random gives the jitter of open backoff.
func New(random *rand.Rand) *Pool {
	return &Pool{
		members: make(map[upstream.MemberID]*member),
		conns:   make(map[ConnID]*conn),
		random:  random,
	}
}

// Configure applies limits and members. Connections to removed members are closed once they are idle.
func (p *Pool) Configure(c Config, now time.Time) {
	p.limit = max(0, c.Connections-len(c.Members))
	p.slots = c.Slots
	present := make(map[upstream.MemberID]bool, len(c.Members))
	for _, mc := range c.Members {
		present[mc.ID] = true
		p.configureMember(mc, now)
	}
	for id, m := range p.members {
		if !present[id] {
			p.removeMember(m)
		}
	}
	p.sortMembers()
	p.started = true
}

func (p *Pool) configureMember(mc MemberConfig, now time.Time) {
	m, ok := p.members[mc.ID]
	if !ok {
		m = &member{id: mc.ID, reachable: true}
		if p.started {
			m.rampFrom = now
		}
		p.members[mc.ID] = m
	}
	if m.draining && !mc.Draining {
		m.rampFrom = now
	}
	m.draining = mc.Draining
}

func (p *Pool) removeMember(m *member) {
	m.draining = true
	m.removed = true
	if p.primary == m {
		p.primary = nil
	}
	delete(p.members, m.id)
	for _, c := range p.conns {
		if c.member == m {
			c.closeOnRelease = true
		}
	}
}

func (p *Pool) sortMembers() {
	p.order = p.order[:0]
	for _, m := range p.members {
		p.order = append(p.order, m)
	}
	slices.SortFunc(p.order, func(a, b *member) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
}

// SetPrimary names the primary; an empty id means that none is known.
func (p *Pool) SetPrimary(id upstream.MemberID) { p.primary = p.members[id] }

// SetReachable records whether the member is reachable. A member that becomes reachable starts its ramp.
func (p *Pool) SetReachable(id upstream.MemberID, reachable bool, now time.Time) {
	m, ok := p.members[id]
	if !ok || m.reachable == reachable {
		return
	}
	m.reachable = reachable
	if reachable {
		m.rampFrom = now
		m.failures = 0
		m.openAfter = time.Time{}
	}
}

// DropMember closes all connections to the member, for example after it accepted another claim. It returns the actions
// for the idle ones; the others are closed when their statement ends.
func (p *Pool) DropMember(id upstream.MemberID) []Action {
	var actions []Action
	for _, c := range p.conns {
		if c.member.id != id {
			continue
		}
		c.closeOnRelease = true
		if c.state == StateIdle {
			actions = append(actions, p.close(c, "member dropped"))
		}
	}
	sortActions(actions)
	return actions
}

// ProbeMember makes all idle connections to the member due for a probe: what made one connection stop answering may
// affect the others too.
func (p *Pool) ProbeMember(id upstream.MemberID, now time.Time) {
	m, ok := p.members[id]
	if !ok {
		return
	}
	for _, c := range m.idle {
		c.probeDue = now
	}
}
