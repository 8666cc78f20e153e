package promotion

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

var epoch = time.Unix(1000, 0)

// group simulates the members and the platform for a machine, in steps of 10 ms. Answers arrive within the same step.
type group struct {
	t       *testing.T
	m       *Machine
	now     time.Time
	infos   []Info
	members map[upstream.MemberID]*fakeMember
	// orders holds the promotions that were ordered; accept decides their result.
	orders  []upstream.MemberID
	renewed int
	accept  func(id upstream.MemberID) Result
}

// fakeMember is the actual state of a member.
type fakeMember struct {
	status Status
	fail   Failure
	probes int
}

func at(term, lsn int) position.Position {
	return position.Position{Term: position.Term(term), LSN: position.LSN(lsn)}
}

func newGroup(t *testing.T) *group {
	g := &group{t: t, now: epoch, members: map[upstream.MemberID]*fakeMember{
		"a": {status: Status{Role: upstream.RolePrimary, Term: 1, Position: at(1, 9)}},
		"b": {status: Status{Role: upstream.RoleReplica, Term: 1, Position: at(1, 7)}},
		"c": {status: Status{Role: upstream.RoleReplica, Term: 1, Position: at(1, 8)}},
	}}
	g.infos = []Info{{ID: "a", Role: upstream.RolePrimary}, {ID: "b", Role: upstream.RoleReplica}, {ID: "c", Role: upstream.RoleReplica}}
	g.accept = g.promote
	g.m = New(DefaultTiming(), epoch)
	return g
}

// promote makes the member the primary of the next term.
func (g *group) promote(id upstream.MemberID) Result {
	for other, p := range g.members {
		if other == id {
			if p.status.Role != upstream.RolePrimary {
				p.status.Role, p.status.Term = upstream.RolePrimary, p.status.Term+1
				p.status.Position.Term = p.status.Term
			}
			continue
		}
		p.status.Role = upstream.RoleReplica
	}
	return ResultAccepted
}

func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(10 * time.Millisecond) {
		g.m.SetMembers(g.infos, g.now)
		for _, a := range g.m.Tick(g.now) {
			g.act(a)
		}
	}
}

func (g *group) act(a Action) {
	switch a.Kind {
	case ActionProbe:
		p := g.members[a.Member]
		p.probes++
		if p.fail != 0 {
			g.m.StatusFailed(a.Member, p.fail, g.now)
			return
		}
		g.m.StatusDone(a.Member, p.status, g.now)
	case ActionPromote, ActionConfirm:
		if a.Kind == ActionPromote {
			g.orders = append(g.orders, a.Member)
		}
		g.m.PromoteDone(a.Member, g.accept(a.Member), g.now)
	case ActionRenewToken:
		g.renewed++
		g.m.TokenRenewed()
	}
}

func (g *group) isPrimary(id upstream.MemberID) bool {
	primary, _, isPrimary := g.m.Primary()
	return isPrimary && primary == id
}

func (g *group) probes() int {
	n := 0
	for _, p := range g.members {
		n += p.probes
	}
	return n
}

func TestLearnsThePrimaryWithOneProbe(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.run(5 * time.Second)
	is.True(g.isPrimary("a"))
	is.True(g.m.settled())
	is.Equal(g.probes(), 1) // status requests are expensive
	is.Equal(len(g.orders), 0)
}

func TestReplacesACrashedPrimaryByTheLongestLog(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.run(time.Second)
	g.members["a"].fail = FailureRefused
	g.m.Failed("a", FailureConnectionLost, g.now)
	crashed := g.now
	for !g.isPrimary("c") && g.now.Before(crashed.Add(2*time.Second)) {
		g.run(10 * time.Millisecond)
	}
	is.True(g.isPrimary("c"))
	is.Equal(g.orders, []upstream.MemberID{"c"})
	is.True(g.now.Sub(crashed) < 600*time.Millisecond)
}

func TestReplacesAnUnresponsivePrimary(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.run(time.Second)
	g.members["a"].fail = FailureNoAnswer
	g.m.Failed("a", FailureNoAnswer, g.now)
	g.run(time.Second)
	is.True(g.isPrimary("c"))
}

func TestASingleConnectionResetReplacesNothing(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.run(time.Second)
	for range 5 {
		g.m.Failed("a", FailureConnectionLost, g.now)
		g.run(500 * time.Millisecond)
	}
	is.True(g.isPrimary("a"))
	is.Equal(len(g.orders), 0)
}

func TestABusyPrimaryStays(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.run(time.Second)
	g.members["a"].fail = FailureBusy
	g.m.Failed("a", FailureNoAnswer, g.now)
	g.run(2 * time.Second)
	is.True(g.isPrimary("a"))
}

func TestADrainingPrimaryIsReplacedOnceAReplicaHasItsLog(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.run(time.Second)
	g.m.Acknowledged(at(1, 9))
	g.infos[0].Leaving = true
	g.run(100 * time.Millisecond)
	phase, _, _ := g.m.Phase()
	is.Equal(phase, PhaseDraining)
	g.m.PrimaryIdle()
	g.run(200 * time.Millisecond)
	is.Equal(len(g.orders), 0) // no replica has 1/9
	g.members["b"].status.Position = at(1, 9)
	g.run(500 * time.Millisecond)
	is.Equal(g.orders, []upstream.MemberID{"b"})
	is.True(g.isPrimary("b"))
}

func TestADrainingPrimaryWithoutASuccessorStays(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.run(time.Second)
	for i := range g.infos {
		g.infos[i].Leaving = true
	}
	g.run(3 * time.Second)
	is.True(g.isPrimary("a"))
}

// Guards against retry hints that promise a primary when a replacement takes much longer than expected.
func TestALongChangeHasNoEstimate(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.run(time.Second)
	for _, p := range g.members {
		p.fail = FailureNoAnswer
	}
	g.m.Failed("a", FailureNoAnswer, g.now)
	g.run(500 * time.Millisecond)
	if phase, _, _ := g.m.Phase(); phase != PhaseLeading {
		is.True(g.m.ExpectedPrimary(g.now).After(g.now))
	}
	g.run(5 * time.Second)
	is.True(!g.isPrimary("a"))
	is.True(g.m.ExpectedPrimary(g.now).IsZero()) // no member answers
}

func TestAMemberOutOfServiceIsReplacedAndNeverSelected(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.run(time.Second)
	g.infos[0].OutOfService, g.infos[2].OutOfService = true, true
	g.run(3 * time.Second)
	is.True(g.isPrimary("b")) // c has the longer log, but is out
}

func TestARejectedOrderRenewsTheToken(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.run(time.Second)
	rejections := 0
	g.accept = func(id upstream.MemberID) Result {
		if rejections++; rejections == 1 {
			return ResultRejected
		}
		return g.promote(id)
	}
	g.members["a"].fail = FailureRefused
	g.m.Failed("a", FailureConnectionLost, g.now)
	g.run(3 * time.Second)
	is.True(g.renewed >= 1)
	is.True(g.isPrimary("c"))
}

func TestAnOrderWithoutAnswerIsRepeatedForTheSameMember(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.run(time.Second)
	tries := 0
	g.accept = func(id upstream.MemberID) Result {
		if tries++; tries < 4 {
			g.members["b"].status.Position = at(1, 20) // another replica has the longer log by now
			return ResultUnknown
		}
		return g.promote(id)
	}
	g.members["a"].fail = FailureRefused
	g.m.Failed("a", FailureConnectionLost, g.now)
	g.run(2 * time.Second)
	is.Equal(g.orders, []upstream.MemberID{"c", "c", "c", "c"})
	is.True(g.isPrimary("c"))
}

func TestFollowsAPromotionByAnotherOwner(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.run(time.Second)
	g.promote("b")
	g.m.ReportedNotPrimary("a", g.now)
	g.infos[0].Role, g.infos[1].Role = upstream.RoleReplica, upstream.RolePrimary
	g.run(500 * time.Millisecond)
	is.True(g.isPrimary("b"))
	is.Equal(len(g.orders), 0)
}

func TestNobodyIsPromotedWhileNobodyAnswers(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	for _, p := range g.members {
		p.fail = FailureNoAnswer
	}
	g.run(5 * time.Second)
	is.Equal(len(g.orders), 0)
	for _, p := range g.members {
		p.fail = 0
	}
	g.run(time.Second)
	is.True(g.isPrimary("a"))
}

func TestAFailingReplicaIsProbedUntilItAnswers(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.run(time.Second)
	g.members["b"].fail = FailureRefused
	g.m.Failed("b", FailureRefused, g.now)
	g.run(2 * time.Second)
	is.True(!g.m.Healthy("b"))
	is.True(g.members["b"].probes <= 12) // with growing intervals
	g.members["b"].fail = 0
	g.run(time.Second)
	is.True(g.m.Healthy("b"))
	is.True(g.isPrimary("a"))
}

func TestDecisionsAreExplained(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.run(time.Second)
	is.Equal(len(g.m.Explanations()), 1)
	is.Equal(len(g.m.Explanations()), 0)
}

// Guards against losing acknowledged commits: each is held by one of the two replicas, so both must answer, unless the
// one that answers is known to hold all of them.
func TestAcknowledgedCommitsSurviveWithSyncReplicas(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.m.SetSyncReplicas(1)
	g.run(time.Second)
	g.m.Acknowledged(at(1, 8))
	g.members["a"].fail, g.members["c"].fail = FailureRefused, FailureNoAnswer
	g.m.Failed("a", FailureConnectionLost, g.now)
	g.run(2 * time.Second)
	is.Equal(len(g.orders), 0) // b ends at 1/7
	g.members["c"].fail = 0
	g.run(time.Second)
	is.True(g.isPrimary("c"))
}

// Guards against losing acknowledged commits when the service discovery lists one replica only, and that one lacks them: the count
// of the listed members says nothing about the commits that members which are not listed hold.
func TestALogWithoutAcknowledgedCommitsIsNotPromotedWhenItsMemberIsListedAlone(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.m.SetSyncReplicas(1)
	g.run(time.Second)
	g.m.Acknowledged(at(1, 8))
	all := g.infos
	g.infos = all[1:2] // b, whose log ends at 1/7
	g.run(3 * time.Second)
	is.Equal(len(g.orders), 0)

	// The primary, which has worked all the time, is listed again.
	g.infos = all[:2]
	g.run(time.Second)
	is.True(g.isPrimary("a"))
	is.Equal(len(g.orders), 0)
}

// Guards against a new owner that promotes the member whose entry is back first after an outage of the store.
func TestNobodyIsPromotedBeforeTheMembersAreComplete(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	all := g.infos
	g.infos = all[1:2]
	g.m.SetMembersCompleteAt(g.now.Add(2 * time.Second))
	g.run(1900 * time.Millisecond)
	is.Equal(len(g.orders), 0)
	g.infos = all
	g.run(time.Second)
	is.True(g.isPrimary("a"))
	is.Equal(len(g.orders), 0)

	// The primary is lost for good in the next outage.
	g = newGroup(t)
	g.infos = all[1:]
	g.m.SetMembersCompleteAt(g.now.Add(2 * time.Second))
	g.run(3 * time.Second)
	is.Equal(g.orders, []upstream.MemberID{"c"})
}

// Guards against a group that never gets a primary again because commits were rolled back while no synchronous replica was required.
func TestCommitsThatWereRolledBackAreNotAwaited(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.run(time.Second)
	g.m.Acknowledged(at(1, 9))
	g.members["a"].fail = FailureRefused
	g.m.Failed("a", FailureConnectionLost, g.now)
	g.run(time.Second)
	is.True(g.isPrimary("c")) // its log ends at 1/8

	g.m.SetSyncReplicas(1)
	g.members["c"].fail, g.members["a"].fail = FailureRefused, 0
	g.members["a"].status.Position, g.members["b"].status.Position = at(1, 8), at(1, 8)
	g.m.Failed("c", FailureConnectionLost, g.now)
	g.run(time.Second)
	is.Equal(g.orders, []upstream.MemberID{"c", "a"})
}

// Guards against unguarded reads on a primary that a late order of this owner replaces: the order was sent while the primary
// seemed dead and its result is unknown.
func TestAnOrderWithoutResultShutsOutConfirmationUntilTheTokenIsRenewed(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.run(time.Second)
	is.True(g.m.settled())
	g.accept = func(upstream.MemberID) Result { return ResultUnknown }
	g.members["a"].fail = FailureRefused
	g.m.Failed("a", FailureConnectionLost, g.now)
	g.run(time.Second)
	is.True(len(g.orders) > 0)

	// The target leaves the service discovery, and the primary answers again.
	all := g.infos
	g.infos = g.infos[:1]
	g.members["a"].fail = 0
	for end := g.now.Add(3 * time.Second); !g.isPrimary("a") && g.now.Before(end); {
		g.run(10 * time.Millisecond)
		is.True(!g.m.settled() || !g.isPrimary("a"))
	}
	g.infos = all
	is.True(g.isPrimary("a"))
	g.accept = g.promote
	g.run(2 * time.Second)
	is.True(g.renewed > 0)
	is.True(g.m.settled()) // under a token that shuts the order out
}

// Guards against a confirmation whose order has an earlier token: it does not shut out other orders under that token.
func TestAnOrderUnderAnEarlierTokenDoesNotConfirm(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.m.SetMembers(g.infos, epoch)
	g.m.StatusDone("a", g.members["a"].status, epoch)
	now := epoch.Add(time.Second)
	is.Equal(g.m.Tick(now), []Action{{Kind: ActionConfirm, Member: "a"}})
	g.m.TokenRenewed()
	g.m.PromoteDone("a", ResultAccepted, now)
	is.True(!g.m.settled())
	now = now.Add(time.Second)
	is.Equal(g.m.Tick(now), []Action{{Kind: ActionConfirm, Member: "a"}})
	g.m.PromoteDone("a", ResultAccepted, now)
	is.True(g.m.settled())
}

// Guards against a claim written again and again while the platform does not answer: an order for the primary itself is harmless.
func TestAnUnansweredConfirmationOfThePrimaryRenewsNothing(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.accept = func(upstream.MemberID) Result { return ResultUnknown }
	g.run(5 * time.Second)
	is.True(g.isPrimary("a"))
	is.Equal(g.renewed, 0)
	g.accept = g.promote
	g.run(time.Second)
	is.True(g.m.settled())
}
