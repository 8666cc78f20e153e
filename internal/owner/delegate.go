package owner

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/delegation"
	"github.com/celerystep/celerystep/internal/dispatch"
	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/promotion"
	"github.com/celerystep/celerystep/internal/upstream"
)

// borrowTimeout bounds a request for a loan. A later response would leave little of the loan.
const borrowTimeout = 400 * time.Millisecond

// errLoanLapsed is the cause for which a delegate closes the connections of a loan that was not renewed in time.
var errLoanLapsed = errors.New("the loan of the replica has lapsed")

// Delegate runs reads and read-only transactions of a group that another instance owns, on the share of a replica that the owner
// lends. It uses the queue, the connections and the checks of a Group that holds this replica only.
type Delegate struct {
	g *Group
	// The fields below are guarded by the group's lock.
	borrower delegation.Borrower
	// known are the group's members as this instance sees them.
	known []member.Member
	// active is true while a loan is in use, refusal the owner's last one.
	active  bool
	refusal delegation.Refusal
}

func newDelegate(o Options, id upstream.GroupID) *Delegate {
	o.Log = o.Log.With("delegated", true)
	d := &Delegate{g: newGroup(o, ownership.Claim{Group: id}, false)}
	d.g.delegated, d.g.covers, d.g.answered = true, d.covers, d.recordOutcome
	return d
}

// RunRead implements operation.ReadRunner.
func (m *Manager) RunRead(ctx context.Context, r *operation.Request) operation.ReadResult {
	if r.InTransaction {
		return operation.ReadResult{Response: m.runInDelegatedTransaction(ctx, r)}
	}
	c := m.o.Catalog()
	if !m.o.DelegateReads || !delegation.Eligible(c, r.Group) {
		return operation.ReadResult{Decline: delegation.DeclineNoGrant}
	}
	if r.CatalogRevision > c.Revision {
		go m.o.CatchUp(context.WithoutCancel(ctx), r.CatalogRevision)
	}
	tokens, d := m.delegate(r.Group)
	if d == nil {
		return operation.ReadResult{Decline: delegation.DeclineNoGrant}
	}
	result := d.runRead(ctx, r, tokens)
	d.g.endUnclaimed(ctx, r)
	return result
}

func (m *Manager) knownDelegate(id upstream.GroupID) *Delegate {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.delegates[id]
}

// delegate returns the delegate of the group and the owned group whose rate limiter it uses. It returns nil if this instance
// owns no group: it would have neither tokens nor a current view of keys and members. It also returns nil if it owns this one.
func (m *Manager) delegate(id upstream.GroupID) (tokens *Group, d *Delegate) {
	m.mu.RLock()
	tokens, d = m.limiterGroup(), m.delegates[id]
	owned := m.groups[id] != nil
	m.mu.RUnlock()
	if owned || tokens == nil {
		return nil, nil
	}
	if d != nil {
		return tokens, d
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.delegates[id] == nil {
		d := newDelegate(m.o, id)
		d.setMembers(m.members[id])
		m.delegates[id] = d
		go d.run(context.Background())
	}
	return tokens, m.delegates[id]
}

// limiterGroup returns the first owned group, or nil. The manager is locked.
func (m *Manager) limiterGroup() *Group {
	var first *Group
	for _, g := range m.groups {
		if first == nil || g.id < first.id {
			first = g
		}
	}
	return first
}

// setMembers replaces the members as this instance sees them.
func (d *Delegate) setMembers(list []member.Member) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.known = list
	for id, m := range d.g.members {
		if known, ok := d.find(id); !ok || known.Born != m.Born || known.Address != m.Address {
			d.g.closeConnsTo(id, errMemberUnavailable)
		}
	}
	d.g.signal()
}

func (d *Delegate) find(id upstream.MemberID) (member.Member, bool) {
	i := slices.IndexFunc(d.known, func(m member.Member) bool { return m.ID == id })
	if i < 0 {
		return member.Member{}, false
	}
	return d.known[i], true
}

// loan returns the loan that may be used now and its member. The group is locked.
func (d *Delegate) loan(now time.Time) (delegation.Grant, member.Member, bool) {
	grant, ok := d.borrower.Grant(now)
	m, known := d.find(grant.Member)
	ok = ok && known && m.Born == grant.Born && m.Address == grant.Address && !m.Leaving && !d.g.o.Authority.DomainOut(m.Domain)
	return grant, m, ok
}

// run steps the delegate until ctx ends.
func (d *Delegate) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.g.mu.Lock()
	d.g.cancel = cancel
	stopped := d.g.stopped
	d.g.mu.Unlock()
	if stopped {
		return
	}
	timer := time.NewTimer(stepInterval)
	defer timer.Stop()
	for {
		if d.step() {
			timer.Reset(stepInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-d.g.wake:
		case <-timer.C:
		}
	}
}

// step applies the loan and the passage of time. It returns false while there is nothing to do without an event.
func (d *Delegate) step() bool {
	g := d.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return false
	}
	now := g.o.Clock()
	g.detectSilentMembers(now)
	d.applyLoan(now)
	if now.Sub(g.lastHousekeeping) >= housekeepingInterval {
		g.lastHousekeeping = now
		g.scheduler.CloseExpiredIdle(now)
		g.endIdleTransactions(g.o.Catalog(), now)
	}
	if len(g.txs) > 0 {
		d.renew(now)
	}
	g.applyPlan(now)
	return d.active || len(g.conns) > 0 || len(g.waiters) > 0
}

// applyLoan passes the loan to the scheduler, or withdraws the member when the loan has ended. The group is locked.
func (d *Delegate) applyLoan(now time.Time) {
	g := d.g
	grant, m, ok := d.loan(now)
	ok = ok && d.active
	if ok && !g.machine.Healthy(m.ID) {
		g.log.Info("the borrowed replica does not answer", "member", m.ID)
		d.borrower.Drop(now)
		ok = false
	}
	d.abandonTransactions(now)
	if !ok {
		if !grant.Until.IsZero() && !now.Before(grant.Until) {
			// The owner may use these connections now, also those on which reads still run.
			d.closeConns(errLoanLapsed)
		}
		if d.active {
			d.active = false
			g.log.Info("borrowed replica returned", "member", grant.Member, "claim", grant.Revision, "expired", now.Sub(grant.Until))
		}
		g.scheduler.SetMembers(nil, now)
		return
	}
	limits := dispatch.DefaultLimits(1)
	limits.Connections, limits.IdleConnections, limits.ExtraInFlight = grant.Share.Connections, grant.Share.Connections, 0
	g.scheduler.SetLimits(limits)
	g.scheduler.TrimToLimit()
	g.scheduler.SetMembers([]dispatch.MemberConfig{{ID: m.ID, Slots: grant.Share.Slots, Usable: true}}, now)
}

// adopt starts to use the loan, which is not a renewal of the one in use. The group is locked.
func (d *Delegate) adopt(grant delegation.Grant, m member.Member, now time.Time) {
	g := d.g
	d.closeConns(errMemberUnavailable)
	g.members = map[upstream.MemberID]member.Member{m.ID: m}
	g.machine = promotion.New(promotion.DefaultTiming(), now)
	g.machine.SetMembers([]promotion.Info{{ID: m.ID, Local: true}}, now)
	d.active = true
	g.log.Info("replica borrowed", "member", m.ID, "claim", grant.Revision, "connections", grant.Share.Connections, "slots", grant.Share.Slots,
		"position", grant.Position, "age", grant.Age, "valid", grant.Until.Sub(now))
}

// closeConns closes all connections. The group is locked.
func (d *Delegate) closeConns(cause error) {
	for id := range d.g.members {
		d.g.closeConnsTo(id, cause)
	}
}

// borrow requests a loan from the group's owner.
func (d *Delegate) borrow(r BorrowRequest) {
	g := d.g
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	sent := g.o.Clock()
	offer, refusal := g.o.Lender.BorrowReplica(ctx, g.id, r)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock()
	if refusal != d.refusal {
		d.refusal = refusal
		g.log.Info("requests for a replica", "refusal", refusal)
	}
	if refusal != delegation.RefusalNone {
		d.borrower.Refused(now)
		return
	}
	// The response was composed after the request was sent, so what was true by its age is true by that age before sent.
	g.history.Observe(offer.Position, sent.Add(-offer.Age))
	before, _ := d.borrower.Grant(now)
	if !d.borrower.Granted(offer, sent, now) {
		g.log.Info("loan arrived too late", "member", offer.Member, "claim", offer.Revision, "took", now.Sub(sent))
		return
	}
	g.claim.Revision = offer.Revision
	if grant, m, ok := d.loan(now); ok && (!d.active || before.Member != m.ID || before.Born != m.Born || before.Address != m.Address) {
		d.adopt(grant, m, now)
	}
	d.applyLoan(now)
	g.applyPlan(now)
	g.signal()
}

// borrowed reports whether a loan is in use, and requests or renews one if that is due.
func (d *Delegate) borrowed() bool {
	g := d.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock()
	d.renew(now)
	_, _, ok := d.loan(now)
	return ok && d.active
}

// renew requests or renews a loan if that is due. The group is locked.
func (d *Delegate) renew(now time.Time) {
	g := d.g
	if d.borrower.Ask(now) {
		go d.borrow(BorrowRequest{
			Domain: g.o.Domain, Running: g.scheduler.Running(), Queued: g.scheduler.Len(), Connections: g.scheduler.Conns(),
		})
	}
}
