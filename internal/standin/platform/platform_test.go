package platform_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/platform/client"
	standin "github.com/celerystep/celerystep/internal/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixture struct {
	server *standin.Server
	clock  *standin.ManualClock
	store  *client.Client
}

func start(t *testing.T) fixture {
	t.Helper()
	clock := standin.NewManualClock(time.Unix(1000, 0))
	s, err := standin.Start(standin.Options{Clock: clock})
	if err != nil {
		t.Fatal(err)
	}
	c := client.New(client.Options{Address: s.Addr(), Timeout: 10 * time.Second})
	t.Cleanup(func() {
		c.Close()
		_ = s.Close()
	})
	return fixture{server: s, clock: clock, store: c}
}

// watchResult is what a watch in the background returned.
type watchResult struct {
	entry platform.Entry
	err   error
}

// watch starts a watch and returns once the server counts it as waiting.
func (f fixture) watch(t *testing.T, key string, after uint64) <-chan watchResult {
	t.Helper()
	_, before := f.server.Calls()
	out := make(chan watchResult, 1)
	go func() {
		e, err := f.store.Watch(context.Background(), key, after)
		out <- watchResult{e, err}
	}()
	f.waitForWatches(t, before+1)
	return out
}

func (f fixture) waitForWatches(t *testing.T, n int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, waiting := f.server.Calls(); waiting == n {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("no %d waiting watches", n)
		}
	}
}

// Guards against a compare-and-swap that overwrites a change it has not seen, and against wrong error mapping.
func TestCompareAndSwap(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	f := start(t)
	_, err := f.store.Get(ctx, "a")
	is.True(errors.Is(err, platform.ErrNotFound))
	e, err := f.store.CompareAndSwap(ctx, "a", 0, []byte("one"), 0)
	is.NoErr(err)
	_, err = f.store.CompareAndSwap(ctx, "a", 0, []byte("two"), 0)
	is.True(errors.Is(err, platform.ErrConflict))
	e, err = f.store.CompareAndSwap(ctx, "a", e.Revision, []byte("two"), 0)
	is.NoErr(err)
	got, err := f.store.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(got, e)
	is.True(errors.Is(f.store.Delete(ctx, "a", e.Revision-1), platform.ErrConflict))
	is.NoErr(f.store.Delete(ctx, "a", e.Revision))
	is.True(errors.Is(f.store.Delete(ctx, "a", e.Revision), platform.ErrNotFound))
}

// Guards against a value limit that is off by one, or that drops a legal value at the HTTP layer.
func TestValueLimit(t *testing.T) {
	is := is.New(t)
	f := start(t)
	_, err := f.store.CompareAndSwap(t.Context(), "a", 0, make([]byte, platform.MaxValueBytes), 0)
	is.NoErr(err)
	_, err = f.store.CompareAndSwap(t.Context(), "b", 0, make([]byte, platform.MaxValueBytes+1), 0)
	is.True(errors.Is(err, platform.ErrTooLarge))
}

// Guards against a list that returns foreign keys, no order, or more than the limit.
func TestList(t *testing.T) {
	is := is.New(t)
	f := start(t)
	for _, k := range []string{"x/2", "y/1", "x/1", "x/3"} {
		_, err := f.store.CompareAndSwap(t.Context(), k, 0, []byte(k), 0)
		is.NoErr(err)
	}
	got, err := f.store.List(t.Context(), "x/", 2)
	is.NoErr(err)
	is.Equal(len(got), 2)
	is.Equal(got[0].Key, "x/1")
	is.Equal(got[1].Key, "x/2")
}

// Guards against leases that outlive their time, against keys that outlive their lease, and against watches that miss
// the lapse.
func TestLeaseLapse(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	f := start(t)
	id, err := f.store.GrantLease(ctx, time.Second)
	is.NoErr(err)
	e, err := f.store.CompareAndSwap(ctx, "a", 0, []byte("one"), id)
	is.NoErr(err)
	f.clock.Advance(900 * time.Millisecond)
	is.NoErr(f.store.KeepAlive(ctx, id))
	f.clock.Advance(900 * time.Millisecond)
	_, err = f.store.Get(ctx, "a")
	is.NoErr(err)
	w := f.watch(t, "a", e.Revision)
	f.clock.Advance(100 * time.Millisecond)
	is.True(errors.Is((<-w).err, platform.ErrNotFound))
	is.True(errors.Is(f.store.KeepAlive(ctx, id), platform.ErrLeaseExpired))
	_, err = f.store.CompareAndSwap(ctx, "a", 0, nil, id)
	is.True(errors.Is(err, platform.ErrLeaseExpired))
}

// Guards against a lapse switch that leaves leases or their keys behind.
func TestLapseLeases(t *testing.T) {
	is := is.New(t)
	f := start(t)
	id, err := f.store.GrantLease(t.Context(), time.Hour)
	is.NoErr(err)
	_, err = f.store.CompareAndSwap(t.Context(), "a", 0, nil, id)
	is.NoErr(err)
	f.server.LapseLeases()
	_, err = f.store.Get(t.Context(), "a")
	is.True(errors.Is(err, platform.ErrNotFound))
	is.True(errors.Is(f.store.KeepAlive(t.Context(), id), platform.ErrLeaseExpired))
}

// Guards against watches that return early, miss a change, or count as more than one call while they wait.
func TestWatch(t *testing.T) {
	is := is.New(t)
	f := start(t)
	w := f.watch(t, "a", 0)
	_, err := f.store.CompareAndSwap(t.Context(), "other", 0, nil, 0)
	is.NoErr(err)
	f.waitForWatches(t, 1) // another key does not end the watch
	e, err := f.store.CompareAndSwap(t.Context(), "a", 0, []byte("one"), 0)
	is.NoErr(err)
	r := <-w
	is.NoErr(r.err)
	is.Equal(r.entry, e)
	calls, waiting := f.server.Calls()
	is.Equal(calls["Watch"], uint64(1))
	is.Equal(calls["CompareAndSwap"], uint64(2))
	is.Equal(waiting, 0)

	w = f.watch(t, "a", e.Revision)
	f.clock.Advance(30 * time.Second) // the waiting call ends and the client renews it
	for calls, _ = f.server.Calls(); calls["Watch"] < 3; calls, _ = f.server.Calls() {
		time.Sleep(time.Millisecond)
	}
	f.waitForWatches(t, 1)
	is.NoErr(f.store.Delete(t.Context(), "a", e.Revision))
	is.True(errors.Is((<-w).err, platform.ErrNotFound))
}

// Guards against an outage with effects, and against watches that survive one.
func TestDown(t *testing.T) {
	is := is.New(t)
	f := start(t)
	w := f.watch(t, "a", 0)
	f.server.SetDown(true)
	is.True((<-w).err != nil)
	_, err := f.store.CompareAndSwap(t.Context(), "a", 0, nil, 0)
	is.True(err != nil && !isPortError(err))
	f.server.SetDown(false)
	_, err = f.store.Get(t.Context(), "a")
	is.True(errors.Is(err, platform.ErrNotFound))
}

// Guards against a lost answer whose write has no effect, or whose error claims that nothing was written.
func TestLostAnswer(t *testing.T) {
	is := is.New(t)
	f := start(t)
	f.server.LoseAnswers(1)
	_, err := f.store.CompareAndSwap(t.Context(), "a", 0, []byte("one"), 0)
	is.True(err != nil && !isPortError(err))
	e, err := f.store.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(string(e.Value), "one")
	_, err = f.store.CompareAndSwap(t.Context(), "a", e.Revision, []byte("two"), 0)
	is.NoErr(err) // only one answer is lost
}

func isPortError(err error) bool {
	for _, e := range []error{
		platform.ErrNotFound, platform.ErrConflict, platform.ErrTooLarge, platform.ErrLeaseExpired,
	} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Guards against a slow service that takes effect before its delay, and against a timeout taken for a refusal.
func TestDelay(t *testing.T) {
	is := is.New(t)
	f := start(t)
	f.server.SetDelay(time.Second)
	impatient := client.New(client.Options{Address: f.server.Addr(), Timeout: 20 * time.Millisecond})
	defer impatient.Close()
	_, err := impatient.CompareAndSwap(t.Context(), "a", 0, nil, 0)
	is.True(errors.Is(err, context.DeadlineExceeded) && !isPortError(err))
	f.server.SetDelay(0)
	_, err = f.store.Get(t.Context(), "a")
	is.True(errors.Is(err, platform.ErrNotFound))
}

// Guards against a restart from an older state that keeps newer values, and against watches that survive it.
func TestRestore(t *testing.T) {
	is := is.New(t)
	f := start(t)
	older, err := f.store.CompareAndSwap(t.Context(), "a", 0, []byte("one"), 0)
	is.NoErr(err)
	s := f.server.Snapshot()
	newer, err := f.store.CompareAndSwap(t.Context(), "a", older.Revision, []byte("two"), 0)
	is.NoErr(err)
	w := f.watch(t, "a", newer.Revision)
	f.server.Restore(s)
	is.True((<-w).err != nil)
	got, err := f.store.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(got, older)
}

// Guards against an instance list that is newer than its lag allows, or that keeps removed instances.
func TestInstanceList(t *testing.T) {
	is := is.New(t)
	f := start(t)
	row := platform.InstanceEntry{Info: instance.Info{
		ID: "i1", FailureDomain: "fd-a", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2",
	}}
	f.server.Register(row)
	f.clock.Advance(time.Minute)
	row.Leaving = true
	f.server.Register(row)
	got, err := f.store.Instances(t.Context())
	is.NoErr(err)
	is.Equal(got, []platform.InstanceEntry{row})

	f.server.SetListLag(time.Second)
	got, err = f.store.Instances(t.Context())
	is.NoErr(err)
	is.True(!got[0].Leaving)
	f.clock.Advance(time.Minute)
	f.server.Unregister("i1")
	f.server.SetListLag(0)
	got, err = f.store.Instances(t.Context())
	is.NoErr(err)
	is.Equal(len(got), 0)
}
