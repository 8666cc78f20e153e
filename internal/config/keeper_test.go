package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/celerystep/celerystep/internal/audit"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/platform/platformtest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// inBubble runs a test with a fleet that has version 2 in force, on simulated time.
func inBubble(t *testing.T, run func(is *is.I, f *fleet, old platformtest.Snapshot)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		store, _ := startRepository(t, 3)
		old := store.Snapshot()
		f := newFleet(t, ctx, store)
		defer f.wg.Wait()
		defer cancel()
		is.True(f.change(ctx, "a", setRate(0, 11)))
		run(is, f, old)
		is.Equal(f.faults, nil)
	})
}

func (f *fleet) storedVersion() uint64 {
	stored, err := NewRepository(f.store).Load(f.ctx)
	if err != nil {
		return 0
	}
	return stored.Version()
}

func (f *fleet) kinds() map[audit.Kind]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[audit.Kind]int)
	for _, r := range f.records {
		out[r.Kind]++
	}
	return out
}

// Guards against a store that keeps an old copy while nobody makes a change, and against one that lost everything.
func TestKeepersRepairStore(t *testing.T) {
	inBubble(t, func(is *is.I, f *fleet, old platformtest.Snapshot) {
		for _, s := range []platformtest.Snapshot{old, platformtest.NewStore().Snapshot()} {
			f.store.Restore(s)
			_, ok := f.await(5*time.Second, func() bool { return f.storedVersion() == 2 })
			is.True(ok)
		}
		is.True(f.kinds()[audit.KindConfigBehind] > 0)
		is.True(f.kinds()[audit.KindConfigRepaired] > 0)
	})
}

// Guards against serving without a configuration, and against an instance that needs the store to start.
func TestKeeperStartsWithoutStore(t *testing.T) {
	inBubble(t, func(is *is.I, f *fleet, _ platformtest.Snapshot) {
		f.store.SetHook(platformtest.Hook{Before: func(context.Context, platformtest.Call) error { return errLost }})
		f.replace("p4")
		is.Equal(f.node("p4").keeper.Snapshot(), nil)
		_, ok := f.await(spreadBound, func() bool { return f.node("p4").keeper.Ref().Version == 2 })
		is.True(ok)
		<-f.node("p4").keeper.Ready()

		lonely := NewKeeper(KeeperOptions{Self: "x", Store: f.store, Gossip: f.node("p0"), Membership: f, Audit: f,
			Log: f.node("p0").keeper.o.Log})
		f.wg.Go(func() { _ = lonely.Run(f.ctx) })
		time.Sleep(time.Minute)
		is.Equal(lonely.Snapshot(), nil)
	})
}

// Guards against a revoked key that works during an outage, and against one that the store never learns of or that
// makes several versions.
func TestEmergencyRevocation(t *testing.T) {
	inBubble(t, func(is *is.I, f *fleet, _ platformtest.Snapshot) {
		f.store.SetHook(platformtest.Hook{Before: func(context.Context, platformtest.Call) error { return errLost }})
		ref := KeyRef{Customer: "customer-0001", Key: "key-2"}
		f.node("p4").keeper.Revoke(Revocation{KeyRef: ref, Operator: "amelie", UnixMS: 1})
		revoked := func(s *Snapshot) bool { _, ok := s.Key(ref.Customer, ref.Key); return !ok }
		took, ok := f.await(spreadBound, func() bool { return f.everywhere(revoked) })
		is.True(ok)
		is.True(took < time.Second)
		f.store.SetHook(platformtest.Hook{})
		written := func(s *Snapshot) bool {
			c, _ := s.Customer(ref.Customer)
			return s.Version() > 2 && c.Keys[1].Withdrawn
		}
		_, ok = f.await(2*spreadBound, func() bool { return f.everywhere(written) })
		is.True(ok)
		time.Sleep(time.Minute)
		is.Equal(f.storedVersion(), uint64(3)) // several watchers tried, one version was made
		is.True(f.everywhere(revoked))
		is.Equal(f.kinds()[audit.KindKeyRevoked], 1)
	})
}

// Guards against instances that disagree for good after two roots with one version were accepted, and against a fork
// that nobody is told of.
func TestForkConverges(t *testing.T) {
	inBubble(t, func(is *is.I, f *fleet, _ platformtest.Snapshot) {
		other := sample(2, 3)
		other.Version, other.OperationID = 2, "other"
		e := encode(t, other)
		_, err := NewRepository(f.store).writeBack(f.ctx, e, func(Ref) bool { return true })
		is.NoErr(err)
		f.replace("p4")
		same := func() bool {
			stored, err := NewRepository(f.store).Load(f.ctx)
			return err == nil && f.everywhere(func(s *Snapshot) bool { return s.cluster.OperationID == stored.Cluster.OperationID })
		}
		_, ok := f.await(2*readInterval, same)
		is.True(ok)
		is.True(f.kinds()[audit.KindConfigFork] > 0)
	})
}

// Guards against a configuration with mistakes that comes into force because another program wrote it.
func TestInvalidConfigurationIsRejected(t *testing.T) {
	inBubble(t, func(is *is.I, f *fleet, _ platformtest.Snapshot) {
		bad := sample(2, 3)
		bad.Version = 3
		bad.Groups[0].Slots = 0
		_, err := NewRepository(f.store).WriteBack(f.ctx, encode(t, bad))
		is.NoErr(err)
		time.Sleep(2 * readInterval)
		is.True(f.everywhere(func(s *Snapshot) bool { return s.Version() == 2 }))
		is.Equal(f.kinds()[audit.KindConfigRejected], 5) // once on each instance, though each reads the root again
	})
}

// Guards against more calls to the store than design section 10 allows: one watch each 30 s per watcher and one read
// each 60 s per instance.
func TestStoreCallBudget(t *testing.T) {
	inBubble(t, func(is *is.I, f *fleet, _ platformtest.Snapshot) {
		gets, watches := f.store.Calls("get"), f.store.Calls("watch")
		time.Sleep(time.Hour)
		gets, watches = f.store.Calls("get")-gets, f.store.Calls("watch")-watches
		t.Logf("in one hour: %d reads by 5 instances, %d watches by 4 watchers", gets, watches)
		is.True(gets <= 5*60*11/10)
		is.True(watches <= 4*120*3/2) // a watch ends early when a read is due
	})
}

// Guards against subscribers that are called out of order or miss the configuration in force.
func TestSubscribersInOrder(t *testing.T) {
	inBubble(t, func(is *is.I, f *fleet, _ platformtest.Snapshot) {
		var calls []string
		k := f.node("p0").keeper
		for _, name := range []string{"a", "b"} {
			k.Subscribe(func(s *Snapshot) { calls = append(calls, fmt.Sprint(name, s.Version())) })
		}
		is.True(f.change(f.ctx, "b", setRate(0, 12)))
		synctest.Wait()
		is.Equal(calls, []string{"a2", "b2", "a3", "b3"})
	})
}

// Guards against a state machine that loses the newest version, goes back, or loads twice at a time, under any order
// of events. The naive model is the highest version that was loaded.
func TestInForceAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newInForce(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		now := time.Unix(0, 0)
		var highest, model Ref
		var loads []action
		handle := func(list []action) {
			for _, a := range list {
				if a.kind == actionLoad {
					loads = append(loads, a)
				}
				if a.kind == actionInstall && a.ref != model {
					t.Fatalf("installed %v, model %v", a.ref, model)
				}
			}
			if len(loads) > 1 {
				t.Fatal("two loads at a time")
			}
		}
		finish := func(result loadResult) {
			a := loads[0]
			loads = nil
			if result == loadOK && a.ref.Newer(model) {
				model = a.ref
			}
			handle(m.loaded(now, a.ref, a.peer, result))
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			ref := Ref{Version: rapid.Uint64Range(0, 6).Draw(t, "version")}
			ref.Root[0] = byte(rapid.IntRange(0, 1).Draw(t, "root"))
			switch e := rapid.IntRange(0, 4).Draw(t, "event"); {
			case e == 0:
				handle(m.storeAnswered(now, ref))
			case e == 1:
				handle(m.storeFailed(now))
			case e == 2:
				if ref.Newer(highest) && ref.Version > 0 {
					highest = ref
				}
				handle(m.heardFrom(now, ref, instance.ID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "peer"))))
			case e == 3 && len(loads) == 1:
				finish(rapid.SampledFrom([]loadResult{loadOK, loadFailed}).Draw(t, "result"))
			default:
				handle(m.tick(now))
			}
			if m.current != model {
				t.Fatalf("in force %v, model %v", m.current, model)
			}
		}
		handle(m.heardFrom(now, highest, "z"))
		for range 40 {
			now = now.Add(time.Second)
			handle(m.tick(now))
			if len(loads) == 1 {
				finish(loadOK)
			}
		}
		if highest.Newer(m.current) {
			t.Fatalf("in force %v, heard of %v", m.current, highest)
		}
	})
}

// Guards against domains without watchers, more watchers than the budget allows, and instances that disagree.
func TestWatchers(t *testing.T) {
	is := is.New(t)
	var live []instance.Info
	for i := range 1_200 {
		live = append(live, instance.Info{
			ID:            instance.ID(fmt.Sprintf("i%d", i)),
			FailureDomain: instance.FailureDomain(strings.Repeat("d", 1+i%10)),
		})
	}
	chosen := Watchers(live)
	is.Equal(len(chosen), 30)
	slices.Reverse(live)
	is.Equal(Watchers(live), chosen)
	left := slices.DeleteFunc(live, func(i instance.Info) bool { return i.ID != "i0" })
	is.Equal(Watchers(left), map[instance.ID]bool{"i0": true})
}

// Guards against an instance that never learns of a version because the peer that announced it does not give it out:
// after several tries the store is asked.
func TestStoreIsAskedWhenPeersFail(t *testing.T) {
	is := is.New(t)
	m := newInForce(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	ref := Ref{Version: 3}
	actions := m.heardFrom(now, ref, "a")
	for range maxSourceFailures {
		is.Equal(actions, []action{{kind: actionLoad, ref: ref, peer: "a"}})
		actions = m.loaded(now, ref, "a", loadFailed)
		now = now.Add(lastLoadRetry)
		actions = append(actions, m.tick(now)...)
	}
	is.Equal(actions, []action{{kind: actionReadRoot}})
	is.Equal(m.storeAnswered(now, ref), []action{{kind: actionLoad, ref: ref}}) // a peer was heard, so no wait
	is.Equal(m.loaded(now, ref, "", loadOK), []action{{kind: actionInstall, ref: ref}})
}
