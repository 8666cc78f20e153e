package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/celerystep/celerystep/internal/upstream"
)

// BenchmarkPlan measures one planning step during the first start of a fleet, in an instance that owns one group.
func BenchmarkPlan(b *testing.B) {
	for _, groups := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			now := time.Unix(1000, 0)
			p := NewPlanner(Self{Instance: "instance-1", Process: "p", Cores: 0.2, FirstStart: true})
			ids := make([]upstream.GroupID, groups)
			for i := range ids {
				ids[i] = upstream.GroupID(fmt.Sprintf("group-%d", i))
			}
			p.SetGroups(ids, now)
			p.SetClaim(Claim{Group: ids[0], Owner: "instance-1", Process: "p", Revision: 1}, now)
			for b.Loop() {
				p.Plan(now)
				p.NextPlanTime(now)
			}
		})
	}
}
