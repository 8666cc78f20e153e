package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/delegation"
	"github.com/celerystep/celerystep/internal/dispatch"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/promotion"
	"github.com/celerystep/celerystep/internal/upstream"
)

var borrower = BorrowRequest{Holder: ownership.Process{Instance: "d", ID: "p"}, Domain: "near"}

// newLendingGroup returns a group in the domain "far" with its primary there and a replica in "near".
func newLendingGroup(t *testing.T, authority Authority) (*delegateWorld, *Group) {
	w := newDelegateWorld(t)
	o := w.m.o
	o.Domain, o.Authority = "far", authority
	g := newGroup(o, ownership.Claim{Group: "g", Revision: 7}, false)
	primary := member.Member{ID: "m1", Group: "g", Address: "a1", Domain: "far", Slots: 5, Role: upstream.RolePrimary}
	g.setMembers([]member.Member{primary, replica})
	g.configure(w.catalog)
	g.machine.SetMembers(g.memberInfos(epoch), epoch)
	g.machine.StatusDone("m1", promotion.Status{Role: upstream.RolePrimary, Term: 1}, epoch)
	g.applyMembers(epoch)
	return w, g
}

// Guards against loans that the owner may not give: without a lease or proven keys, while the primary is being replaced, of a
// member that is not in service or is the primary, near the owner, or to a second delegate.
func TestWhatAnOwnerDoesNotLend(t *testing.T) {
	authority := &fakeAuthority{}
	for _, c := range []struct {
		name   string
		change func(g *Group, r *BorrowRequest)
		want   delegation.Refusal
	}{
		{"nothing is wrong", func(*Group, *BorrowRequest) {}, delegation.RefusalNone},
		{"no lease", func(*Group, *BorrowRequest) { authority.unleased = true }, delegation.RefusalNotOwner},
		{"keys not proven", func(*Group, *BorrowRequest) { authority.keysStale = true }, delegation.RefusalNotOwner},
		{"released", func(g *Group, _ *BorrowRequest) { g.release("test") }, delegation.RefusalNotOwner},
		{"same domain", func(_ *Group, r *BorrowRequest) { r.Domain = "far" }, delegation.RefusalIneligible},
		{"no replica there", func(_ *Group, r *BorrowRequest) { r.Domain = "elsewhere" }, delegation.RefusalNoReplica},
		{"primary lost", func(g *Group, _ *BorrowRequest) { g.machine.ReportedNotPrimary("m1", epoch) }, delegation.RefusalNoPrimary},
		{"replica leaves", func(g *Group, _ *BorrowRequest) {
			g.members["m2"] = member.Member{ID: "m2", Domain: "near", Leaving: true}
		}, delegation.RefusalNoReplica},
		{"replica is the primary", func(g *Group, _ *BorrowRequest) {
			g.machine.ReportedNotPrimary("m1", epoch)
			g.machine.StatusDone("m2", promotion.Status{Role: upstream.RolePrimary, Term: 2}, epoch)
		}, delegation.RefusalNoReplica},
		{"replica warms up", func(g *Group, _ *BorrowRequest) {
			m := replica
			m.WarmUntil = epoch.Add(time.Second)
			g.members["m2"] = m
		}, delegation.RefusalNoReplica},
		{"domain out of service", func(*Group, *BorrowRequest) { authority.domainOut = true }, delegation.RefusalNoReplica},
		{"replica fails", func(g *Group, _ *BorrowRequest) {
			g.machine.Failed("m2", promotion.FailureRefused, epoch)
		}, delegation.RefusalNoReplica},
		{"held by another", func(g *Group, _ *BorrowRequest) {
			g.lend(BorrowRequest{Holder: ownership.Process{Instance: "d", ID: "earlier"}, Domain: "near"})
		}, delegation.RefusalHeld},
	} {
		t.Run(c.name, func(t *testing.T) {
			*authority = fakeAuthority{}
			_, g := newLendingGroup(t, authority)
			r := borrower
			c.change(g, &r)
			_, refusal := g.lend(r)
			is.New(t).Equal(refusal, c.want)
		})
	}
}

// Guards against an owner that goes on to use what it has lent, or that does not get it back.
func TestALoanReducesTheOwnersShareUntilItLapses(t *testing.T) {
	is := is.New(t)
	w, g := newLendingGroup(t, &fakeAuthority{})
	customers := 0
	opened := func() (n int) { // how many connections to the replica the owner still opens ahead of demand
		for range 100 {
			customers++
			for _, o := range g.scheduler.Prewarm([]string{fmt.Sprint(customers)}, w.clock()) {
				g.scheduler.Opened(o.Conn, w.clock())
				if o.Member == "m2" {
					n++
				}
			}
		}
		return n
	}
	g.history.Observe(position.Position{Term: 1, LSN: 4}, epoch.Add(-30*time.Millisecond))
	offer, refusal := g.lend(borrower)
	is.Equal(refusal, delegation.RefusalNone)
	is.Equal(offer.Share, delegation.Share{Connections: 37, Slots: 3}) // of 56 and 5
	is.Equal(offer.Position, position.Position{Term: 1, LSN: 4})
	is.Equal(offer.Age, 30*time.Millisecond)
	is.Equal(offer.Revision, uint64(7))
	is.Equal(opened(), 56-37)
	w.advance(delegation.TTL)
	g.applyMembers(w.clock())
	is.Equal(opened(), 56/2-(56-37)) // up to half of the limit
	_, refusal = g.lend(borrower)
	is.Equal(refusal, delegation.RefusalNone)
	is.Equal(g.scheduler.Conns(), 56/2+56-37) // idle connections beyond the rest are closed at once
	for i := range customers {
		item := dispatch.Item{Customer: fmt.Sprint(i), Need: dispatch.NeedAny, Due: w.clock().Add(time.Hour), Deadline: w.clock().Add(time.Hour)}
		_, refused := g.scheduler.Submit(item, w.clock())
		is.Equal(refused, nil)
	}
	running := 0 // statements, and connections being opened, which take a slot too
	plan := g.scheduler.Plan(w.clock())
	for _, a := range plan.Assignments {
		if a.Member == "m2" {
			running++
		}
	}
	for _, o := range plan.Opens {
		if o.Member == "m2" {
			running++
		}
	}
	is.Equal(running, 5-3+g.limits.ExtraInFlight)
}

// Guards against a loan for each of two delegates that different views of the claims name.
func TestADomainHasOneLoan(t *testing.T) {
	is := is.New(t)
	_, g := newLendingGroup(t, &fakeAuthority{})
	granted := 0
	for _, id := range []instance.ID{"d", "e", "f"} {
		if _, refusal := g.lend(BorrowRequest{Holder: ownership.Process{Instance: id, ID: "p"}, Domain: "near"}); refusal == delegation.RefusalNone {
			granted++
		}
	}
	is.Equal(granted, 1)
}
