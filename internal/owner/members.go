package owner

import (
	"time"

	"github.com/celerystep/celerystep/internal/dispatch"
	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/promotion"
	"github.com/celerystep/celerystep/internal/upstream"
)

// setMembers replaces the members. Connections to a member with a new process are closed.
func (g *Group) setMembers(list []member.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := make(map[upstream.MemberID]member.Member, len(list))
	for _, m := range list {
		next[m.ID] = m
		if before, ok := g.members[m.ID]; ok && (before.Born != m.Born || before.Address != m.Address) {
			g.log.Info("member has a new process", "member", m.ID, "born", m.Born, "address", m.Address)
			g.closeConnsTo(m.ID, errMemberUnavailable)
		}
	}
	for id := range g.members {
		if _, ok := next[id]; !ok {
			g.log.Info("member has left the service discovery", "member", id)
		}
	}
	g.members = next
	g.signal()
}

// memberInfos describes the members to the promotion state machine.
func (g *Group) memberInfos(now time.Time) []promotion.Info {
	list := make([]promotion.Info, 0, len(g.members))
	for _, m := range sortedMembers(g.members) {
		list = append(list, promotion.Info{
			ID:           m.ID,
			Local:        m.Domain == g.o.Domain,
			Leaving:      m.Leaving,
			OutOfService: g.o.Authority.DomainOut(m.Domain),
			Role:         m.Role,
		})
	}
	return list
}

// applyMembers passes the members and their availability to the scheduler.
func (g *Group) applyMembers(now time.Time) {
	replaced, _, leads := g.machine.Primary()
	primary := replaced
	if !leads {
		primary = ""
	}
	g.servingPrimary = primary
	g.scheduler.SetPrimaryExpected(g.machine.ExpectedPrimary(now))
	list := make([]dispatch.MemberConfig, 0, len(g.members))
	warmRate := 0.0
	if declared := g.o.Catalog().Groups[g.id]; declared != nil {
		warmRate = declared.WarmupPerSecond
	}
	for _, m := range sortedMembers(g.members) {
		c := dispatch.MemberConfig{ID: m.ID, Slots: max(m.Slots, 1), Primary: m.ID == primary}
		if m.Domain != g.o.Domain {
			c.RoundTrip = g.o.CrossDomainRTT
		}
		c.Usable = !g.released && g.machine.Healthy(m.ID) && !g.o.Authority.DomainOut(m.Domain) && !m.Leaving
		if c.Primary {
			c.Usable = !g.released && !g.o.Authority.DomainOut(m.Domain)
		} else if m.ID == replaced {
			// A primary that is being replaced must get no new statements.
			c.Usable = false
		}
		lent := g.lent.Lent(m.ID, now)
		c.Slots, c.LentConnections = max(c.Slots-lent.Slots, 1), lent.Connections
		if now.Before(m.WarmUntil) {
			c.WarmupRate = warmRate
		}
		list = append(list, c)
	}
	g.scheduler.SetMembers(list, now)
}

// detectSilentMembers reports members that leave statements unanswered and closes the connections to replicas that are
// unhealthy.
func (g *Group) detectSilentMembers(now time.Time) {
	for _, l := range g.conns {
		if l.unansweredFor(now) >= silenceTimeout && g.machine.SilentSince(l.member.ID, l.sentAt()) {
			g.machine.Failed(l.member.ID, promotion.FailureNoAnswer, now)
			l.noteSilence(now)
		}
	}
	for id := range g.members {
		if id != g.servingPrimary && !g.machine.Healthy(id) {
			g.closeConnsTo(id, errMemberUnavailable)
		}
	}
}

// closeConnsTo closes the connections to a member. Statements running on them fail immediately.
func (g *Group) closeConnsTo(id upstream.MemberID, cause error) {
	for conn, l := range g.conns {
		if l.member.ID == id {
			l.close(cause)
			if !l.busy() {
				delete(g.conns, conn)
				g.scheduler.Closed(conn)
				g.dropTransaction(l)
			}
		}
	}
}
