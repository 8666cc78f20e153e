package home

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/admission"
	"github.com/celerystep/celerystep/internal/failover"
	"github.com/celerystep/celerystep/internal/pool"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/retry"
	"github.com/celerystep/celerystep/internal/router"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Queue classes. The classes from firstMemberClass on are for statements of open transactions, one class per member.
// These statements wait only for a token and are dispatched first, because their transactions occupy connections and
// locks that others wait for.
const (
	// classWrites is for writes, which need a slot and an idle connection of the primary.
	classWrites admission.Class = iota
	// classPrimaryReads is for reads that no replica can serve. They need the same.
	classPrimaryReads
	// classReads is for reads that need a slot and an idle connection of any replica.
	classReads
	// firstMemberClass is the class for open transactions on the first member.
	firstMemberClass
)

// maxParked bounds the reads that have left the fair queue and wait for a member that can serve them.
const maxParked = 8

// dispatch grants connections to waiting calls as far as authority, slots and connections allow. The group must be
// locked.
func (g *Group) dispatch(now time.Time) {
	if g.phase != phaseServing && g.phase != phaseDraining || !g.tracker.HasAuthority(now) {
		return
	}
	g.requestRemoteTokens(now)
	if g.queue.Len() == 0 && len(g.parked) == 0 {
		return
	}
	g.dispatchPinned(now)
	g.dispatchParked(now)
	g.dispatchPrimary(now)
	g.dispatchReads(now)
}

// pop removes the next call of the class from the queue.
func (g *Group) pop(class admission.Class, now time.Time) (*call, bool) {
	p, ok := g.queue.Pop(class, now)
	if !ok {
		return nil, false
	}
	c := p.Value
	c.ticket = p.Ticket
	c.prepaid = true
	g.metrics.queueWait.Observe(now.Sub(c.arrived).Seconds())
	return c, true
}

// dispatchPinned dispatches statements of open transactions without waiting for a slot. Otherwise a deadlock is
// possible: statements that wait for the locks of a transaction may hold all slots until that transaction ends.
func (g *Group) dispatchPinned(now time.Time) {
	for _, m := range g.members {
		for {
			c, ok := g.pop(m.class, now)
			if !ok {
				break
			}
			cn := c.session.conn
			if cn == nil || !g.pool.Resume(cn.id) {
				g.queue.Done(c.ticket, 0, now)
				g.refuse(c, c.notRun(retry.CodeTransactionLost, "transaction", errTransactionLost))
				continue
			}
			g.grant(c, cn, now)
		}
	}
}

// primaryAvailable reports whether the primary may get new work: it is announced, no majority reports a higher term,
// its status is not stale, and it is not suspect. Writes sent to a suspect primary may end with an unknown outcome.
func (g *Group) primaryAvailable(now time.Time) bool {
	id, term, ok := g.tracker.Primary()
	if !ok || id != g.primary || term != g.term {
		return false
	}
	if p := g.machine.View().Phase; p != failover.PhaseSteady && p != failover.PhaseHolding {
		return false
	}
	m := g.member(id)
	return m != nil && m.usable(now)
}

// dispatchPrimary alternates between writes and reads that need the primary. Writes stay queued while a switchover
// holds them or commits are stalled.
func (g *Group) dispatchPrimary(now time.Time) {
	if !g.primaryAvailable(now) {
		return
	}
	writes := !g.writesHeld && !g.commitsStalled(now)
	for {
		load := g.pool.Load(g.primary)
		if load.Free == 0 {
			g.requestConnIfReady(load, classWrites, now)
			g.requestConnIfReady(load, classPrimaryReads, now)
			return
		}
		c, ok := g.popPrimary(writes, now)
		if !ok {
			return
		}
		if c.r.Kind == request.KindRead {
			g.routeOrPark(c, now)
			continue
		}
		g.acquire(c, g.primary, now)
	}
}

// popPrimary removes a write or a read from the queue, alternating if both are waiting.
func (g *Group) popPrimary(writes bool, now time.Time) (*call, bool) {
	order := [2]admission.Class{classWrites, classPrimaryReads}
	if g.readNext {
		order[0], order[1] = order[1], order[0]
	}
	for _, class := range order {
		if class == classWrites && !writes {
			continue
		}
		if c, ok := g.pop(class, now); ok {
			g.readNext = class == classWrites
			return c, true
		}
	}
	return nil, false
}

// requestConnIfReady requests a connection from the pool if the member has a free slot and the class has ready work.
func (g *Group) requestConnIfReady(load pool.Load, class admission.Class, now time.Time) {
	if load.FreeSlots > 0 && g.queue.Ready(class, now) {
		g.requestConn(load.Member)
	}
}

func (g *Group) requestConn(id upstream.MemberID) {
	if g.pool.Want(id) && !g.inPass {
		g.wakeLoop()
	}
}

func (g *Group) dispatchReads(now time.Time) {
	for len(g.parked) < maxParked && g.hasReadCapacity(now) {
		c, ok := g.pop(classReads, now)
		if !ok {
			return
		}
		g.routeOrPark(c, now)
	}
}

// hasReadCapacity reports whether any member could serve a read now. Reads overflow to the primary only if it has more
// free slots than the router reserves there for writes.
func (g *Group) hasReadCapacity(now time.Time) bool {
	for _, m := range g.members {
		load := g.pool.Load(m.spec.ID)
		if !m.usable(now) {
			continue
		}
		if m.spec.ID == g.primary {
			if load.Free > router.DefaultPolicy().PrimaryReserve {
				return true
			}
			continue
		}
		if m.draining() {
			continue
		}
		if load.Free > 0 {
			return true
		}
		g.requestConnIfReady(load, classReads, now)
	}
	return false
}

// routeOrPark routes a read that has its tokens, or parks it until a member can serve it.
func (g *Group) routeOrPark(c *call, now time.Time) {
	if !g.routeRead(c, now) {
		c.state = callParked
		g.parked = append(g.parked, c)
	}
}

// routeRead routes the read and reports whether it is no longer waiting.
func (g *Group) routeRead(c *call, now time.Time) bool {
	c.route.Waited = 0
	if !c.waitFrom.IsZero() {
		c.route.Waited = now.Sub(c.waitFrom)
	}
	d := g.chooseMember(c, now)
	c.retryAt = c.deadline
	switch d.Outcome {
	case router.OutcomeReplica, router.OutcomePrimary:
		m := g.members[d.Index]
		if g.pool.Load(m.spec.ID).Free == 0 {
			g.requestConn(m.spec.ID)
			return false
		}
		g.acquire(c, m.spec.ID, now)
		return true
	case router.OutcomeWait:
		if d.Reason == router.ReasonFloorNotReached && c.waitFrom.IsZero() {
			c.waitFrom = now
		}
		if d.Retry > 0 {
			c.retryAt = now.Add(d.Retry)
			g.wakeBy(c.retryAt)
		}
	}
	return false
}

// chooseMember asks the router for a member, avoiding the one on which the last attempt failed if possible.
func (g *Group) chooseMember(c *call, now time.Time) router.Decision {
	d := g.router.Choose(&c.route, g.buildCandidates(c, now), now)
	placed := d.Outcome == router.OutcomeReplica || d.Outcome == router.OutcomePrimary
	if placed || c.avoid == "" {
		return d
	}
	c.avoid = ""
	return g.router.Choose(&c.route, g.buildCandidates(c, now), now)
}

// buildCandidates builds the router's input. Members without an idle connection count as busy.
func (g *Group) buildCandidates(c *call, now time.Time) []router.Candidate {
	out := g.candidates[:0]
	for _, m := range g.members {
		id := m.spec.ID
		status, _ := g.tracker.Status(id)
		fresh, _ := g.tracker.FreshAsOf(id)
		load := g.pool.Load(id)
		out = append(out, router.Candidate{
			Member:      id,
			Status:      status,
			FreshAsOf:   fresh,
			Primary:     id == g.primary,
			Unreachable: !m.usable(now) || id == c.avoid,
			Leaving:     m.spec.State == upstream.MemberLeaving,
			DomainOut:   m.out,
			Running:     g.spec.Slots - load.Free,
			Slots:       g.spec.Slots,
			Idle:        load.Idle,
			Latency:     m.latency.Value(),
			Ramp:        int(g.pool.Weight(id, now) * 100),
		})
	}
	g.candidates = out
	return out
}

// acquire grants the call a connection to the member, which must have a free one.
func (g *Group) acquire(c *call, id upstream.MemberID, now time.Time) {
	connID, ok := g.pool.Acquire(id, c.r.Customer)
	cn := g.conns[connID]
	if !ok || cn == nil {
		g.queue.Done(c.ticket, 0, now)
		g.refuse(c, c.notRun(retry.CodeUnavailable, "acquire", errors.Errorf("no connection to member %s", id)))
		return
	}
	g.grant(c, cn, now)
}

// dispatchParked tries to route the parked reads.
func (g *Group) dispatchParked(now time.Time) {
	left := g.parked[:0]
	for _, c := range g.parked {
		if !g.routeRead(c, now) {
			left = append(left, c)
		}
	}
	clear(g.parked[len(left):])
	g.parked = left
}

func (g *Group) unpark(c *call) {
	for i, other := range g.parked {
		if other == c {
			g.parked = append(g.parked[:i], g.parked[i+1:]...)
			break
		}
	}
	g.queue.Done(c.ticket, 0, g.now())
}

func (g *Group) expireParked(now time.Time) {
	for _, c := range append([]*call(nil), g.parked...) {
		if now.Before(c.deadline) {
			continue
		}
		g.unpark(c)
		g.refuse(c, c.notRun(retry.CodeQueueDeadline, "route", errors.New("no member could serve the read in time")))
	}
}

// nextParkedRetry returns the next time at which a parked read is routed again or expires.
func (g *Group) nextParkedRetry() (time.Time, bool) {
	var wake time.Time
	for _, c := range g.parked {
		if wake.IsZero() || c.retryAt.Before(wake) {
			wake = c.retryAt
		}
	}
	return wake, !wake.IsZero()
}
