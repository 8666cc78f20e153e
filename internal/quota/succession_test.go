package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/ownership"
)

// testPeriod is the succession period in these tests.
const testPeriod = 3 * time.Second

func process(n int) ownership.Process {
	return ownership.Process{Instance: "i", ID: fmt.Sprint(n)}
}

// Guards against an owner without a lease that spends a whole contract beside its successor.
func TestUnleasedCoordinatorGrantsLess(t *testing.T) {
	is := is.New(t)
	s := NewSuccession(testPeriod, nil)
	is.Equal(s.UnleasedShare(epoch, epoch), 0.5)
	is.Equal(s.UnleasedShare(epoch, epoch.Add(testPeriod-1)), 0.5)
	is.Equal(s.UnleasedShare(epoch, epoch.Add(testPeriod)), 0.0)

	p := NewCoordinator(epoch, false)
	now := epoch.Add(10 * time.Second)
	is.Equal(p.Grant(customer(100, 100), 1, 1, now), 1)
	p.SetShare(0.5, now)
	is.Equal(p.Grant(customer(100, 100), 1, 1000, now), 40) // the level is cut
	is.Equal(p.Grant(customer(100, 100), 1, 1000, now.Add(500*time.Millisecond)), 20)
	p.SetShare(0, now.Add(500*time.Millisecond))
	is.Equal(p.Grant(customer(100, 100), 1, 1000, now.Add(time.Minute)), 0)
}

// Guards against a process that has been frozen and fills its buckets at the old rate for the time since its lease ended.
func TestAShareThatFellEarlierCountsFromThen(t *testing.T) {
	is := is.New(t)
	p := NewCoordinator(epoch, false)
	now := epoch.Add(10 * time.Second)
	is.Equal(p.Grant(customer(100, 100), 1, 80, now), 80)
	p.SetShare(0.5, now)
	is.Equal(p.Grant(customer(100, 100), 1, 80, now.Add(500*time.Millisecond)), 20)
}

// Guards against a successor that fills the buckets of customers which it has not met yet as if it had always had the whole contract.
func TestBucketsOfNewCustomersCountTheEarlierShares(t *testing.T) {
	is := is.New(t)
	p := NewCoordinator(epoch, false)
	p.SetShare(0.5, epoch)
	p.SetShare(1, epoch.Add(time.Second))
	is.Equal(p.Grant(customer(100, 100), 1, 80, epoch.Add(time.Second)), 40)
}

// Guards against a successor that keeps a part for predecessors that have ended.
func TestPredecessorsAreForgotten(t *testing.T) {
	is := is.New(t)
	s := NewSuccession(testPeriod, []Predecessor{{process(1), epoch}, {process(2), epoch.Add(time.Second)}})
	is.Equal(s.Share(epoch), 0.5/3)
	is.Equal(s.Share(epoch.Add(time.Second)), 0.25)
	is.Equal(s.Share(epoch.Add(testPeriod)), 0.5)
	is.Equal(s.Share(epoch.Add(testPeriod+time.Second)), 1.0)
	s.Ended(process(2))
	is.Equal(s.Share(epoch), 0.5)
	s.Ended(process(1))
	is.Equal(s.Share(epoch), 1.0)
}

// TestSuccessorsStayWithinTheContract guards against QUOTA violations while owners that cannot reach the store or each other act side
// by side. Each owner loses its lease when the next one claims the group; a customer takes all that any of them has.
func TestSuccessorsStayWithinTheContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := customer(float64(rapid.IntRange(20, 300).Draw(t, "rate")), float64(rapid.IntRange(20, 300).Draw(t, "burst")))
		claims := claimTimes(t)
		now, end := epoch, epoch.Add(15*time.Second)
		var owners []*succeedingOwner
		var taken []time.Time
		for ; now.Before(end); now = now.Add(20 * time.Millisecond) {
			if len(owners) < len(claims) && !now.Before(claims[len(owners)]) {
				owners = append(owners, newSucceedingOwner(owners, now))
			}
			for _, o := range owners {
				for range o.take(c, rapid.IntRange(0, 40).Draw(t, "demand"), now) {
					taken = append(taken, now)
				}
			}
		}
		checkContract(t, c, taken)
	})
}

// claimTimes draws the times at which owners claim the group.
func claimTimes(t *rapid.T) []time.Time {
	claims := []time.Time{epoch}
	for range rapid.IntRange(1, 4).Draw(t, "successors") {
		gap := time.Duration(rapid.IntRange(300, 4000).Draw(t, "gap")) * time.Millisecond
		claims = append(claims, claims[len(claims)-1].Add(gap))
	}
	return claims
}

// checkContract checks all windows that begin and end with a token.
func checkContract(t *rapid.T, c *catalog.Customer, taken []time.Time) {
	for i := range taken {
		for k := i; k < len(taken); k += 16 {
			allowed := c.Burst + c.Rate*taken[k].Sub(taken[i]).Seconds()
			if n := k - i + 1; float64(n) > math.Ceil(allowed)+1 {
				t.Fatalf("%d tokens in %v, the contract allows %.1f", n, taken[k].Sub(taken[i]), allowed)
			}
		}
	}
}

// succeedingOwner is an owner that does not learn of its successors.
type succeedingOwner struct {
	succession  *Succession
	coordinator *Coordinator
	limiter     *LocalLimiter
	leaseEnd    time.Time
	share       float64
}

// newSucceedingOwner ends the lease of the last owner.
func newSucceedingOwner(earlier []*succeedingOwner, now time.Time) *succeedingOwner {
	var predecessors []Predecessor
	for i, o := range earlier {
		if o.leaseEnd.IsZero() {
			o.leaseEnd = now
		}
		predecessors = append(predecessors, Predecessor{process(i), o.leaseEnd})
	}
	return &succeedingOwner{
		succession: NewSuccession(testPeriod, predecessors), coordinator: NewCoordinator(now, false), limiter: NewLocalLimiter(now), share: 1,
	}
}

// take spends up to n tokens and returns how many.
func (o *succeedingOwner) take(c *catalog.Customer, n int, now time.Time) int {
	share, from := o.succession.Share(now), now
	if !o.leaseEnd.IsZero() {
		share, from = o.succession.UnleasedShare(o.leaseEnd, now), o.leaseEnd
	}
	if share != o.share {
		if share > o.share {
			from = now
		}
		o.share = share
		o.coordinator.SetShare(share, from)
		o.limiter.SetShare(share, from)
	}
	granted := o.coordinator.Grant(c, 1, n, now)
	for granted < n && o.limiter.Take(c, 1, now) {
		granted++
	}
	return granted
}
