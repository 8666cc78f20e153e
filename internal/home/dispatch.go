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

// Queue classes of new work. The classes from firstMemberClass on are for statements of open transactions, which need
// a slot but no connection and go first: they hold connections that others wait for.
const (
	// classPrimary needs a slot and an idle connection of the primary.
	classPrimary admission.Class = 0
	// classReads needs a slot and an idle connection of some replica.
	classReads admission.Class = 1
)

// maxParked bounds the reads that left the fair queue and wait for a particular member.
const maxParked = 8

// dispatch lets waiting work leave the queue as far as authority, slots and connections allow. The group must be
// locked.
func (g *Group) dispatch(now time.Time) {
	if g.phase != phaseServing && g.phase != phaseDraining || !g.tracker.HasAuthority(now) {
		return
	}
	g.askRemote(now)
	if g.queue.Len() == 0 && len(g.parked) == 0 {
		return
	}
	g.dispatchPinned(now)
	g.dispatchParked(now)
	g.dispatchPrimary(now)
	g.dispatchReads(now)
}

// pop takes the next call of the class.
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

func (g *Group) dispatchPinned(now time.Time) {
	for _, m := range g.members {
		for g.pool.Load(m.spec.ID).FreeSlots > 0 && g.resumeNext(m, g.pool.Resume, now) {
		}
		if at, ok := g.stuckAt(m, now); ok && !now.Before(at) {
			g.resumeNext(m, g.pool.ResumeBeyond, now)
		}
	}
}

// resumeNext gives the next statement of an open transaction on the member its slot, and reports whether there was one.
func (g *Group) resumeNext(m *member, resume func(pool.ConnID) bool, now time.Time) bool {
	c, ok := g.pop(m.class, now)
	if !ok {
		return false
	}
	cn := c.session.conn
	if cn == nil || !resume(cn.id) {
		g.queue.Done(c.ticket, 0, now)
		g.refuse(c, c.notRun(retry.CodeTransactionLost, "transaction", errTransactionLost))
		return true
	}
	g.grant(c, cn, now)
	return true
}

// slotPatience is the time without any statement begun or ended on a member after which an open transaction may go beyond its
// slots: the statements in the slots may wait for locks that this transaction holds, and would do so until their
// deadlines. It is several times the service time of an ordinary statement, 1 ms.
const slotPatience = 20 * time.Millisecond

// stuckAt returns when the next statement of an open transaction may go beyond the member's slots.
func (g *Group) stuckAt(m *member, now time.Time) (time.Time, bool) {
	if g.pool.Load(m.spec.ID).FreeSlots > 0 || !g.queue.Ready(m.class, now) {
		return time.Time{}, false
	}
	return m.progress.Add(slotPatience), true
}

// stuckWake returns when a member's slots count as stuck.
func (g *Group) stuckWake(now time.Time) (time.Time, bool) {
	var wake time.Time
	for _, m := range g.members {
		if at, ok := g.stuckAt(m, now); ok && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	return wake, !wake.IsZero()
}

// primaryServes reports whether new work may go to the primary: it is announced, no majority reports a higher term, its
// status is fresh, and it is not suspect. What a suspect primary is sent ends as outcome unknown.
func (g *Group) primaryServes(now time.Time) bool {
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

func (g *Group) dispatchPrimary(now time.Time) {
	if g.writesHeld || !g.primaryServes(now) {
		return
	}
	for {
		load := g.pool.Load(g.primary)
		if load.Free == 0 {
			g.want(load, classPrimary, now)
			return
		}
		c, ok := g.pop(classPrimary, now)
		if !ok {
			return
		}
		if c.r.Kind == request.KindRead {
			g.placeRead(c, now)
			continue
		}
		g.acquire(c, g.primary, now)
	}
}

// want asks the pool for a connection when work waits for one.
func (g *Group) want(load pool.Load, class admission.Class, now time.Time) {
	if load.FreeSlots > 0 && g.queue.Ready(class, now) {
		g.wantConn(load.Member)
	}
}

func (g *Group) wantConn(id upstream.MemberID) {
	if g.pool.Want(id) && !g.inPass {
		g.wakeLoop()
	}
}

func (g *Group) dispatchReads(now time.Time) {
	for len(g.parked) < maxParked && g.readCapacity(now) {
		c, ok := g.pop(classReads, now)
		if !ok {
			return
		}
		g.placeRead(c, now)
	}
}

// readCapacity reports whether some member could take a read now. Reads overflow to the primary only beyond the slots
// that the router reserves there for writes.
func (g *Group) readCapacity(now time.Time) bool {
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
		g.want(load, classReads, now)
	}
	return false
}

// placeRead gives a read that took its token to a member, or parks it until one can serve it.
func (g *Group) placeRead(c *call, now time.Time) {
	if !g.tryRead(c, now) {
		c.state = callParked
		g.parked = append(g.parked, c)
	}
}

// tryRead routes the read and reports whether it left for a member.
func (g *Group) tryRead(c *call, now time.Time) bool {
	c.route.Waited = 0
	if !c.waitFrom.IsZero() {
		c.route.Waited = now.Sub(c.waitFrom)
	}
	d := g.choose(c, now)
	c.retryAt = c.deadline
	switch d.Outcome {
	case router.OutcomeReplica, router.OutcomePrimary:
		m := g.members[d.Index]
		if g.pool.Load(m.spec.ID).Free == 0 {
			g.wantConn(m.spec.ID)
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

// choose routes the read, if possible not to the member on which its last attempt failed.
func (g *Group) choose(c *call, now time.Time) router.Decision {
	d := g.router.Choose(&c.route, g.buildCandidates(c, now), now)
	placed := d.Outcome == router.OutcomeReplica || d.Outcome == router.OutcomePrimary
	if placed || c.avoid == "" {
		return d
	}
	c.avoid = ""
	return g.router.Choose(&c.route, g.buildCandidates(c, now), now)
}

// buildCandidates describes the members to the router. A member without an idle connection counts as busy.
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

// acquire takes a connection to the member, which has a free one, for the call.
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

// dispatchParked routes the parked reads again.
func (g *Group) dispatchParked(now time.Time) {
	left := g.parked[:0]
	for _, c := range g.parked {
		if !g.tryRead(c, now) {
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

// parkedWake returns when a parked read must be routed again or expires.
func (g *Group) parkedWake() (time.Time, bool) {
	var wake time.Time
	for _, c := range g.parked {
		if wake.IsZero() || c.retryAt.Before(wake) {
			wake = c.retryAt
		}
	}
	return wake, !wake.IsZero()
}
