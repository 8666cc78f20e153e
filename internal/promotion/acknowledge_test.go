package promotion

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/upstream"
)

// Guards against commits that are lost because the primary acknowledges them after its successor was selected: with synchronous
// replicas another one may hold them.
func TestCommitsAfterTheSelectionAreNotAcknowledged(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.members["b"].status.Position = at(1, 9)
	g.members["c"].status.Position = at(1, 9)
	g.m.SetSyncReplicas(1)
	g.run(time.Second)
	is.True(g.m.MayCommit("a"))
	is.True(g.m.AcknowledgeCommit("a", at(1, 9)))

	accepted := false
	g.accept = func(id upstream.MemberID) Result {
		if accepted {
			return g.promote(id)
		}
		return ResultUnknown
	}
	g.infos[0].Leaving = true
	g.run(time.Second)
	is.True(len(g.orders) > 0)
	is.True(!g.m.MayCommit("a"))
	is.True(!g.m.AcknowledgeCommit("a", at(1, 10))) // c alone may hold it
	is.True(g.m.AcknowledgeCommit("a", at(1, 9)))   // the selected log holds it
	is.Equal(g.m.acknowledged, at(1, 9))

	accepted = true
	g.run(time.Second)
	is.True(g.isPrimary("b"))
	is.True(!g.m.AcknowledgeCommit("a", at(1, 10))) // an answer that arrives late
	is.True(g.m.AcknowledgeCommit("b", at(2, 10)))
}

// Guards against the same while the primary drains, and against refusals when nothing depends on synchronous replicas.
func TestCommitsAreAcknowledgedUntilTheSelection(t *testing.T) {
	for _, replicas := range []int{0, 1} {
		is := is.New(t)
		g := newGroup(t)
		g.m.SetSyncReplicas(replicas)
		g.run(time.Second)
		g.infos[0].Leaving = true
		g.run(50 * time.Millisecond)
		phase, _, _ := g.m.Phase()
		is.Equal(phase, PhaseDraining)
		is.True(g.m.MayCommit("a"))
		is.True(g.m.AcknowledgeCommit("a", at(1, 10)))
		g.run(DefaultTiming().DrainTimeout + DefaultTiming().CatchUpTimeout)
		is.Equal(len(g.orders) > 0, replicas == 0) // nobody holds 1/10
	}
}

// Guards against the same through an order of an earlier owner, which takes effect late: it is shut out only once the platform has
// accepted one under the new token.
func TestCommitsWaitForTheConfirmationOfTheToken(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.m.SetSyncReplicas(1)
	g.accept = func(upstream.MemberID) Result { return ResultUnknown }
	g.run(time.Second)
	is.True(g.isPrimary("a"))
	is.True(!g.m.MayCommit("a"))
	is.True(!g.m.AcknowledgeCommit("a", at(1, 10)))
	g.accept = g.promote
	g.run(time.Second)
	is.True(g.m.MayCommit("a"))
}

// Guards against the same in transactions that go on after a hand-over, whose commits the next owner does not know of.
func TestCommitsAfterAHandOverEndWithThePrimary(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.m.SetSyncReplicas(1)
	g.run(time.Second)
	g.m.HandOver()
	is.True(g.m.MayCommit("a"))
	g.infos[0].Leaving = true
	g.m.SetMembers(g.infos, g.now)
	is.True(!g.m.MayCommit("a"))
	is.True(!g.m.AcknowledgeCommit("a", at(1, 10)))
}
