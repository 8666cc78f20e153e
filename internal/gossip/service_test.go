package gossip

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/homes"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/membership"
)

// Guards against groups that stay without a home after a crash, and against failures of the platform's list affecting
// the fleet.
func TestCrashMovesHomes(t *testing.T) {
	runInFleet(t, 6, 12, func(t *testing.T, f *testFleet) {
		f.set(func() { f.listDown = true })
		time.Sleep(20 * time.Second)
		f.stop("i2")
		t.Logf("homes moved after %s", f.eventually(t, "homes after a crash", 4*time.Second, f.settled))
		f.set(func() { f.listDown = false })
		f.start(t, "i2")
		f.eventually(t, "return", 10*time.Second, func() bool { return len(f.nodes["i0"].service.Live()) == 6 })
		f.eventually(t, "homes after the return", 90*time.Second, func() bool {
			return len(f.nodes["i2"].Owned()) > 0 && f.settled()
		})
	})
}

// Guards against a restart that no peer detects and that leaves groups with an owner that does not hold them.
func TestQuickRestartReclaimsHomes(t *testing.T) {
	runInFleet(t, 6, 12, func(t *testing.T, f *testFleet) {
		f.stop("i1")
		f.start(t, "i1")
		f.eventually(t, "homes after a quick restart", 6*time.Second, f.settled)
	})
}

// Guards against a graceful shutdown that loses bucket levels, or whose death must first be detected by probes.
func TestLeaveHandsHomesOver(t *testing.T) {
	for _, lost := range []int{0, 2, 3} {
		runInFleet(t, 6, 12, func(t *testing.T, f *testFleet) {
			is := is.New(t)
			leaving := f.nodes["i4"]
			held := len(leaving.Owned())
			is.True(held > 0)
			f.set(func() { f.loseAnswers = lost })
			leaving.service.Leave()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			is.True(leaving.coordinator.Drain(ctx))
			f.eventually(t, "homes after leaving", 10*time.Second, f.settled)
			leaving.service.Stop(ctx)
			d := f.eventually(t, "death of the leaving instance", time.Second, func() bool {
				return f.nodes["i0"].service.View().State("i4") == instance.StateDead
			})
			is.True(d < membership.SuspectTimeout)
			handovers := 0
			f.set(func() {
				for _, n := range f.nodes {
					for _, h := range n.handovers {
						is.Equal(h.Buckets, []homes.BucketLevel{{Customer: "c", MicroTokens: 5}})
						handovers++
					}
				}
			})
			is.Equal(handovers, held) // each level is used once, even if answers are lost
		})
	}
}

// Guards against homes that remain in a failure domain that was taken out.
func TestDomainOutMovesHomes(t *testing.T) {
	runInFleet(t, 6, 12, func(t *testing.T, f *testFleet) {
		empty := func() bool {
			return len(f.nodes["i1"].Owned())+len(f.nodes["i4"].Owned()) == 0 && f.settled()
		}
		f.configure(12, "d1")
		d := f.eventually(t, "homes after the domain was taken out", 4*time.Second, empty)
		t.Logf("homes moved after %s", d)
		f.configure(12)
		f.eventually(t, "homes after the domain came back", 2*time.Minute, func() bool { return !empty() && f.settled() })
	})
}

// Guards against a group without a home because the first candidate cannot reach the group's members.
func TestOthersClaimWhenFirstCandidateCannot(t *testing.T) {
	runInFleet(t, 6, 12, func(t *testing.T, f *testFleet) {
		f.set(func() { f.refuse["i3"] = true })
		for _, g := range f.nodes["i3"].Owned() {
			f.nodes["i3"].coordinator.Yield(g)
		}
		f.eventually(t, "homes after yielding", 4*time.Second, func() bool {
			return len(f.nodes["i3"].Owned()) == 0 && f.settled()
		})
		f.stop("i5")
		f.eventually(t, "homes that i3 cannot claim", 4*homes.ClaimTurn, f.settled)
		time.Sleep(2 * time.Minute) // moves back to i3 are attempted and refused meanwhile
		f.eventually(t, "homes after refused moves", 10*time.Second, f.settled)
	})
}

// Guards against an instance that keeps serving while a key withdrawal may have been accepted elsewhere.
func TestIsolatedInstance(t *testing.T) {
	runInFleet(t, 6, 6, func(t *testing.T, f *testFleet) {
		is := is.New(t)
		f.set(func() { f.cutOff["i0"] = true })
		time.Sleep(10 * time.Second)
		is.True(!f.nodes["i0"].service.Isolated()) // it reaches the store
		f.set(func() { f.cutOff["i0"] = false })
		f.eventually(t, "healing", 30*time.Second, f.settled)
		f.set(func() { f.conflictingClaims = nil }) // both sides may claim while they reach the store and the groups but not each other
		time.Sleep(10 * time.Second)
		f.set(func() { f.cutOff["i0"], f.storeDown = true, true })
		d := f.eventually(t, "isolation", 4*time.Second, f.nodes["i0"].service.Isolated)
		t.Logf("isolated after %s", d)
		is.True(!f.nodes["i1"].service.Isolated())
		held := len(f.nodes["i0"].Owned())
		time.Sleep(10 * time.Second)
		is.True(len(f.nodes["i0"].Owned()) <= held) // it claims nothing
		f.set(func() { f.cutOff["i0"], f.storeDown = false, false })
		f.eventually(t, "end of isolation", 5*time.Second, func() bool { return !f.nodes["i0"].service.Isolated() })
		f.set(func() { f.conflictingClaims = nil })
	})
}

// Guards against announcements that do not reach all instances or listeners, or that revert.
func TestAnnouncements(t *testing.T) {
	runInFleet(t, 6, 3, func(t *testing.T, f *testFleet) {
		is := is.New(t)
		key := membership.KeyRef{Customer: "c", Key: "k"}
		f.nodes["i0"].service.AnnounceConfig(membership.ConfigVersion{Version: 7, OperationID: "o", Root: "r"})
		f.nodes["i1"].service.AnnounceConfig(membership.ConfigVersion{Version: 6, OperationID: "p", Root: "q"})
		f.nodes["i2"].service.AnnounceRevocation(membership.Revocation{KeyRef: key, Operator: "op", UnixMilli: 1})
		f.nodes["i3"].service.RecordStoreAnswer()
		f.eventually(t, "announcements", 2*time.Second, func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, n := range f.nodes {
				if n.service.View().Config().Version != 7 || !n.service.View().Revoked(key) || len(n.revoked) != 1 {
					return false
				}
			}
			return true
		})
		f.eventually(t, "store age", 10*time.Second, func() bool {
			_, known := f.nodes["i5"].service.StoreAge()
			return known
		})
		is.Equal(f.nodes["i4"].service.View().Config().OperationID, "o")
	})
}
