package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/audit"
	"github.com/celerystep/celerystep/internal/failover"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/retry"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Guards against two processes with one instance id that members take for the same home: a member accepts a generation
// again from the same owner.
func TestClaimOwnerTellsProcessesApart(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	is.True(claimOwner("i1", start) != claimOwner("i1", start.Add(time.Millisecond)))
	is.Equal(claimOwner("i1", start), claimOwner("i1", start))
}

// Guards against refusals that the audit trail files under the wrong cause.
func TestRefusalCause(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		result request.Result
		want   string
	}{
		{request.Result{Code: retry.CodeRateLimited}, audit.RefusalRate},
		{request.Result{Code: retry.CodeQueueDeadline}, audit.RefusalDeadline},
		{request.Result{Code: retry.CodeUnavailable, Step: stepIsolated}, audit.RefusalIsolated},
		{request.Result{Code: retry.CodeUnavailable, Step: "home"}, audit.RefusalUnavailable},
	} {
		is.Equal(refusalCause(&c.result), c.want)
	}
}

// Guards against member facts that an engineer cannot read at a glance.
func TestDescribeInput(t *testing.T) {
	is := is.New(t)
	is.Equal(describeInput(&failover.MemberInput{}), "never heard")
	m := failover.MemberInput{
		Known: true, Role: upstream.RoleReplica, Term: 3, LogEnd: position.Position{Term: 2, LSN: 9},
		PrimarySilence: 410 * time.Millisecond, Unreachable: true,
	}
	is.Equal(describeInput(&m), "replica term 3 log 2/9, primary unheard for 410 ms, unreachable")
}
