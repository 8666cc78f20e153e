package home

import (
	"time"

	"github.com/celerystep/celerystep/internal/admission"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/failover"
	"github.com/celerystep/celerystep/internal/mutation"
	"github.com/celerystep/celerystep/internal/quorum"
	"github.com/celerystep/celerystep/internal/upstream"
)

// refreshConfig applies the configuration in force if it has changed. The group must be locked.
func (g *Group) refreshConfig(now time.Time) {
	latest := g.o.Snapshot()
	if latest == g.snapshot || latest == nil {
		return
	}
	old := g.snapshot
	g.snapshot = latest
	if spec, ok := latest.Group(g.id); ok {
		g.applyGroup(*spec, now)
	}
	g.applyCustomers(old, now)
	g.refuseInvalid()
	g.dispatch(now)
	g.wakeLoop()
}

// applyGroup applies the group's members, limits and failure domains.
func (g *Group) applyGroup(spec upstream.Group, now time.Time) {
	g.spec = spec
	old := g.members
	g.members = nil
	for _, ms := range spec.Members {
		g.members = append(g.members, g.keepOrAdd(old, ms))
	}
	for _, m := range old {
		if g.member(m.spec.ID) != m {
			m.stop()
			g.closeMember(m.spec.ID)
		}
	}
	g.applyMembers(now)
}

// keepOrAdd returns the existing state of the member, or adds a new one if the member or its address is new.
func (g *Group) keepOrAdd(old []*member, spec upstream.Member) *member {
	if mutation.On(mutation.IgnoreLeaving) {
		spec.State = upstream.MemberActive
	}
	for _, m := range old {
		if m.spec.ID == spec.ID && m.spec.Address == spec.Address {
			m.spec = spec
			m.out = g.snapshot.DomainOut(spec.FailureDomain)
			return m
		}
	}
	m := g.addMember(spec, g.unusedClass(old))
	m.out = g.snapshot.DomainOut(spec.FailureDomain)
	return m
}

// unusedClass returns a queue class that no member uses.
func (g *Group) unusedClass(old []*member) admission.Class {
	used := make(map[admission.Class]bool)
	for _, m := range append(old[:len(old):len(old)], g.members...) {
		used[m.class] = true
	}
	for c := firstMemberClass; c < admission.MaxClasses; c++ {
		if !used[c] {
			return c
		}
	}
	return admission.MaxClasses - 1
}

func (g *Group) applyMembers(now time.Time) {
	ids := make([]upstream.MemberID, 0, len(g.members))
	intents := make([]failover.Member, 0, len(g.members))
	for _, m := range g.members {
		ids = append(ids, m.spec.ID)
		intents = append(intents, failover.Member{
			ID:        m.spec.ID,
			Leaving:   m.spec.State == upstream.MemberLeaving,
			DomainOut: m.out,
		})
	}
	g.tracker.SetMembers(ids)
	g.pool.Configure(g.poolConfig(), now)
	g.rounds.open = quorum.RoundID(0)
	g.executeActions(g.machine.Configure(intents, now))
}

// closeMember closes the connections to a member that was removed from the group.
func (g *Group) closeMember(id upstream.MemberID) {
	for _, cn := range g.conns {
		if cn.member == id {
			cn.close()
		}
	}
}

// applyCustomers adds, updates and removes customers.
func (g *Group) applyCustomers(old *config.Snapshot, now time.Time) {
	for _, c := range old.Cluster().Customers {
		if _, ok := g.snapshot.Customer(c.Name); !ok {
			g.removeCustomer(c.Name, now)
		}
	}
	for _, c := range g.snapshot.Cluster().Customers {
		g.applyCustomer(c.Name, now)
	}
}
