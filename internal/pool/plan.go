package pool

import (
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/upstream"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of action.
const (
	// ActionOpen requests a connection to Member; Opened or OpenFailed must be called.
	ActionOpen ActionKind = iota + 1
	// ActionProbe requests a keep-alive probe; on success Release must be called, otherwise the connection must be
	// closed and reported with Remove.
	ActionProbe
	// ActionClose requests to close the connection, which the pool has already removed.
	ActionClose
)

// Action is a step that the caller has to carry out.
type Action struct {
	Kind   ActionKind
	Conn   ConnID
	Member upstream.MemberID
	// Reason explains the action for the logs.
	Reason string
}

// Plan returns the steps that are due and marks their connections. Call it after each change and at least every
// 100 ms.
func (p *Pool) Plan(now time.Time) []Action {
	var actions []Action
	actions = p.planDrain(actions)
	actions = p.planProbes(actions, now)
	actions = p.planFloors(actions, now)
	actions = p.planDemand(actions, now)
	for _, m := range p.order {
		m.wanted = 0
	}
	return actions
}

// planDrain closes idle connections that must not be used any more or that are above the limit.
func (p *Pool) planDrain(actions []Action) []Action {
	first := len(actions)
	for _, c := range p.conns {
		if c.state == StateIdle && (c.closeOnRelease || !p.takesNewWork(c.member)) {
			actions = append(actions, p.close(c, "member draining"))
		}
	}
	sortActions(actions[first:])
	for excess := len(p.conns) - p.limit; excess > 0; excess-- {
		victim := p.surplus(nil)
		if victim == nil {
			break
		}
		actions = append(actions, p.close(victim.idle[0], "above the group's limit"))
	}
	return actions
}

func (p *Pool) planProbes(actions []Action, now time.Time) []Action {
	for _, m := range p.order {
		for _, c := range slices.Clone(m.idle) {
			if now.Before(c.probeDue) {
				continue
			}
			m.removeIdle(c)
			c.state = StateResetting
			actions = append(actions, Action{Kind: ActionProbe, Conn: c.id, Member: m.id, Reason: "keep-alive"})
		}
	}
	return actions
}

// planFloors opens connections up to each member's floor, first for the primary.
func (p *Pool) planFloors(actions []Action, now time.Time) []Action {
	for _, m := range p.primaryFirst() {
		for m.total < p.floor(m) && p.canOpen(m, now) {
			if len(p.conns) >= p.limit && !p.evict(m, &actions, now, 0) {
				break
			}
			actions = append(actions, p.open(m, "below the member's floor"))
		}
	}
	return actions
}

// planDemand opens connections for requests that found no idle one.
func (p *Pool) planDemand(actions []Action, now time.Time) []Action {
	for _, m := range p.primaryFirst() {
		need := min(m.wanted, p.slots-m.busy) - m.opening - p.resetting(m)
		for ; need > 0 && p.canOpen(m, now) && p.withinShare(m); need-- {
			if len(p.conns) >= p.limit && !p.evict(m, &actions, now, rebalanceIdle) {
				break
			}
			actions = append(actions, p.open(m, "demand"))
		}
	}
	return actions
}

// resetting counts the connections to the member that will be idle again after one round trip.
func (p *Pool) resetting(m *member) int {
	if m.wanted == 0 {
		return 0
	}
	n := 0
	for _, c := range p.conns {
		if c.member == m && c.state == StateResetting {
			n++
		}
	}
	return n
}

func (p *Pool) primaryFirst() []*member {
	if p.primary == nil {
		return p.order
	}
	order := make([]*member, 0, len(p.order))
	order = append(order, p.primary)
	for _, m := range p.order {
		if m != p.primary {
			order = append(order, m)
		}
	}
	return order
}

// reserve is the number of connections reserved for the primary: no other member can run writes, and transactions hold
// their connections between statements.
func (p *Pool) reserve() int { return (p.limit + 1) / 2 }

// floor is the number of connections that the member keeps even without demand: enough to use all its slots, and one
// more on the primary for a transaction between two statements.
func (p *Pool) floor(m *member) int {
	if !p.takesNewWork(m) {
		return 0
	}
	if m == p.primary {
		return min(p.reserve(), p.slots+1)
	}
	replicas := 0
	for _, other := range p.order {
		if other != p.primary && p.takesNewWork(other) {
			replicas++
		}
	}
	return min(p.slots, (p.limit-p.reserve())/max(1, replicas))
}

// withinShare reports whether another connection to the member leaves the primary's reserve intact.
func (p *Pool) withinShare(m *member) bool {
	if m == p.primary {
		return true
	}
	others := 0
	for _, other := range p.order {
		if other != p.primary {
			others += other.total
		}
	}
	return others < p.limit-p.reserve()
}

func (p *Pool) canOpen(m *member, now time.Time) bool {
	return m.reachable && p.takesNewWork(m) && !now.Before(m.openAfter) && m.opening < p.maxOpenings(m, now)
}

// maxOpenings limits the opens in progress: one at a time during the ramp or after a failure, so that a member that is
// still starting is not hit by all connections at once.
func (p *Pool) maxOpenings(m *member, now time.Time) int {
	if m.failures > 0 || m.warming(now) {
		return 1
	}
	return max(1, p.slots)
}

// evict closes the longest idle connection of the member with the largest surplus, if it has been idle for at least
// idle, to make room for a connection to m.
func (p *Pool) evict(m *member, actions *[]Action, now time.Time, idle time.Duration) bool {
	victim := p.surplus(m)
	if victim == nil {
		return false
	}
	c := victim.idle[0]
	if now.Sub(c.idleSince) < idle {
		return false
	}
	*actions = append(*actions, p.close(c, "moved to "+string(m.id)))
	return true
}

// surplus returns the member other than m with idle connections and the most connections above its floor, or nil.
func (p *Pool) surplus(m *member) *member {
	var found *member
	most := 0
	for _, other := range p.order {
		if other == m || len(other.idle) == 0 {
			continue
		}
		if extra := other.total - p.floor(other); extra > most {
			found, most = other, extra
		}
	}
	return found
}

func (p *Pool) open(m *member, reason string) Action {
	p.next++
	c := &conn{id: p.next, member: m, state: StateOpening}
	p.conns[c.id] = c
	m.total++
	m.opening++
	return Action{Kind: ActionOpen, Conn: c.id, Member: m.id, Reason: reason}
}

// close removes an idle connection. It does not count against the limit any more, because the caller closes it before
// it carries out later actions of the same plan.
func (p *Pool) close(c *conn, reason string) Action {
	c.member.removeIdle(c)
	c.member.total--
	c.state = StateClosing
	delete(p.conns, c.id)
	return Action{Kind: ActionClose, Conn: c.id, Member: c.member.id, Reason: reason}
}

func sortActions(actions []Action) {
	slices.SortFunc(actions, func(a, b Action) int {
		if a.Conn < b.Conn {
			return -1
		}
		return 1
	})
}
