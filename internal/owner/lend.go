package owner

import (
	"time"

	"github.com/celerystep/celerystep/internal/delegation"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Lend lends a share of a replica of a group that this instance owns.
func (m *Manager) Lend(id upstream.GroupID, r BorrowRequest) (delegation.Offer, delegation.Refusal) {
	owned, _ := m.group(id)
	if owned == nil {
		return delegation.Offer{}, delegation.RefusalNotOwner
	}
	return owned.lend(r)
}

func (g *Group) lend(r BorrowRequest) (delegation.Offer, delegation.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock()
	m, refusal := g.lendable(r.Domain, now)
	var share delegation.Share
	first := false
	if refusal == delegation.RefusalNone {
		share, first, refusal = g.lendShare(m, r, now)
	}
	if refusal != g.refusals[r.Domain] {
		g.refusals[r.Domain] = refusal
		g.log.Info("loans of a replica", "domain", r.Domain, "delegate", r.Holder.Instance, "refusal", refusal)
	}
	if refusal != delegation.RefusalNone {
		return delegation.Offer{}, refusal
	}
	if first {
		g.log.Info("replica lent", "member", m.ID, "domain", r.Domain, "delegate", r.Holder.Instance, "process", r.Holder.ID, "claim", g.claim.Revision,
			"connections", share.Connections, "slots", share.Slots, "running", r.Running, "queued", r.Queued, "open", r.Connections)
	}
	g.applyMembers(now)
	g.scheduler.TrimToLimit()
	g.applyPlan(now)
	offer := delegation.Offer{Member: m.ID, Address: m.Address, Born: m.Born, Share: share, TTL: delegation.TTL, Revision: g.claim.Revision}
	if p, at := g.history.Known(); !p.IsZero() {
		offer.Position, offer.Age = p, now.Sub(at)
	}
	return offer, delegation.RefusalNone
}

// lendable returns the replica in the failure domain that may be lent. The group is locked.
func (g *Group) lendable(domain instance.FailureDomain, now time.Time) (member.Member, delegation.Refusal) {
	primary, _, leads := g.machine.Primary()
	switch {
	case g.released || g.stopped || !g.o.Authority.KeysFresh() || !g.o.Authority.Leased(g.claim):
		return member.Member{}, delegation.RefusalNotOwner
	case !g.o.DelegateReads || domain == g.o.Domain || !delegation.Eligible(g.o.Catalog(), g.id):
		return member.Member{}, delegation.RefusalIneligible
	case !leads:
		return member.Member{}, delegation.RefusalNoPrimary
	}
	var found []member.Member
	for _, m := range sortedMembers(g.members) {
		if m.Domain != domain || m.ID == primary || m.Leaving || now.Before(m.WarmUntil) || g.o.Authority.DomainOut(domain) || !g.machine.Healthy(m.ID) {
			continue
		}
		if g.lent.Lent(m.ID, now) != (delegation.Share{}) {
			return m, delegation.RefusalNone
		}
		found = append(found, m)
	}
	if len(found) == 0 {
		return member.Member{}, delegation.RefusalNoReplica
	}
	return found[0], delegation.RefusalNone
}

// lendShare records a loan of the replica. The group is locked.
func (g *Group) lendShare(m member.Member, r BorrowRequest, now time.Time) (share delegation.Share, first bool, refusal delegation.Refusal) {
	whole := delegation.Share{Connections: g.limits.Connections, Slots: m.Slots}
	share, ok := delegation.Lendable(whole, g.scheduler.ConnsInUse(m.ID))
	if !ok {
		return share, false, delegation.RefusalNoRoom
	}
	first, ok = g.lent.Lend(m.ID, r.Holder, share, now)
	if !ok {
		return share, false, delegation.RefusalHeld
	}
	return share, first, delegation.RefusalNone
}

// expireLoans logs the loans that were not renewed; applyMembers returns their shares. The group is locked.
func (g *Group) expireLoans(now time.Time) {
	for _, l := range g.lent.Expire(now) {
		g.log.Info("loan lapsed", "member", l.Member, "delegate", l.Holder.Instance, "process", l.Holder.ID)
	}
}
