package config

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/platform/platformtest"
)

var errLost = errors.New("answer lost")

// propose makes a change as an operator would.
func propose(ctx context.Context, r *Repository, base uint64, id string, mutate func(*Cluster) error) (*Accepted, error) {
	return r.Propose(ctx, Proposal{
		Base: base, Mutate: mutate, Operator: "op-" + id, OperationID: id, InForce: base, Now: time.UnixMilli(1),
	})
}

func setRate(customer int, rate float64) func(*Cluster) error {
	return func(c *Cluster) error {
		k := c.Customers[customer].Contracts[PresetOrdinary]
		k.RatePerSecond = rate
		c.Customers[customer].Contracts[PresetOrdinary] = k
		return nil
	}
}

// startRepository returns a store that holds version 1.
func startRepository(t *testing.T, customers int) (*platformtest.Store, *Repository) {
	t.Helper()
	store := platformtest.NewStore()
	r := NewRepository(store)
	_, err := propose(t.Context(), r, 0, "init", func(c *Cluster) error { *c = *sample(2, customers); return nil })
	if err != nil {
		t.Fatal(err)
	}
	return store, r
}

// Guards against a change that overwrites another operator's, and against a conflict that does not say what differs.
func TestProposeReportsConflict(t *testing.T) {
	is := is.New(t)
	_, r := startRepository(t, 3)
	ctx := t.Context()
	_, err := propose(ctx, r, 1, "first", setRate(0, 11))
	is.NoErr(err)
	_, err = propose(ctx, r, 1, "second", setRate(0, 22))
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Base, uint64(1))
	is.Equal(conflict.Current.Version, uint64(2))
	is.Equal(conflict.Current.Operator, "op-first")
	is.Equal(conflict.Changes[0].String(), "customer customer-0000: contract ordinary: rate 50/s -> 11/s")
	is.Equal(conflict.Overlap, []string{"customer customer-0000: contract ordinary: rate 50/s -> 22/s"})
	stored, err := r.Load(ctx)
	is.NoErr(err)
	is.Equal(stored.Cluster.Customers[0].Contracts[PresetOrdinary].RatePerSecond, 11.0)
}

// Guards against a change that is made twice when an operator repeats it, and against one that is refused then.
func TestProposeRepeated(t *testing.T) {
	is := is.New(t)
	_, r := startRepository(t, 3)
	ctx := t.Context()
	first, err := propose(ctx, r, 1, "x", setRate(0, 11))
	is.NoErr(err)
	_, err = propose(ctx, r, 2, "y", setRate(0, 12))
	is.NoErr(err)
	again, err := propose(ctx, r, 1, "x", setRate(0, 11))
	is.NoErr(err)
	is.True(again.Repeated)
	is.Equal(again.Ref, first.Ref)
	same, err := propose(ctx, r, 3, "z", setRate(0, 12))
	is.NoErr(err)
	is.True(same.Unchanged)
	is.Equal(same.Ref.Version, uint64(3))
}

// Guards against building on a store that lost accepted changes, and against a version that was in force already.
func TestProposeRefusesStoreBehind(t *testing.T) {
	is := is.New(t)
	store, r := startRepository(t, 3)
	ctx := t.Context()
	old := store.Snapshot()
	accepted, err := propose(ctx, r, 1, "x", setRate(0, 11))
	is.NoErr(err)
	store.Restore(old)
	_, err = r.Propose(ctx, Proposal{Base: 1, Mutate: setRate(1, 9), Operator: "o", OperationID: "y", InForce: 2})
	var behind *BehindError
	is.True(errors.As(err, &behind))
	is.Equal(*behind, BehindError{Stored: 1, InForce: 2})
	stored, err := r.WriteBack(ctx, accepted.Encoded)
	is.NoErr(err)
	is.Equal(stored, accepted.Ref)
	next, err := propose(ctx, r, 2, "y", setRate(1, 9))
	is.NoErr(err)
	is.Equal(next.Ref.Version, uint64(3))
	is.Equal(next.Cluster.Customers[0].Contracts[PresetOrdinary].RatePerSecond, 11.0)
}

// Guards against an invalid change that reaches the store.
func TestProposeRefusesMistakes(t *testing.T) {
	is := is.New(t)
	store, r := startRepository(t, 3)
	before := store.Keys("")
	_, err := propose(t.Context(), r, 1, "x", setRate(0, -1))
	var invalid *InvalidError
	is.True(errors.As(err, &invalid))
	is.Equal(invalid.Problems[0].Path, "customers[0].contracts.ordinary.rate_per_second")
	is.Equal(store.Keys(""), before)
}

// Guards against a wrong answer to the operator when the store is down: nothing changed, or not known.
func TestProposeDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, r := startRepository(t, 3)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		store.SetHook(platformtest.Hook{Before: failOn("get", "")})
		_, err := propose(ctx, r, 1, "x", setRate(0, 11))
		var unavailable *UnavailableError
		is.True(errors.As(err, &unavailable))
		is.True(strings.Contains(err.Error(), `step=read root peer="key-value service"`))

		store.SetHook(platformtest.Hook{After: failOn("swap", rootKey)})
		_, err = propose(ctx, r, 1, "x", setRate(0, 11))
		is.NoErr(err) // the second try meets a conflict and finds its own operation

		store.SetHook(platformtest.Hook{Before: failOn("swap", rootKey)})
		_, err = propose(ctx, r, 2, "y", setRate(0, 12))
		var unknown *UnknownError
		is.True(errors.As(err, &unknown))
		is.Equal(unknown.Version, uint64(3))
	})
}

// failOn returns a hook that fails all calls of an operation on keys with the prefix.
func failOn(op, prefix string) func(context.Context, platformtest.Call) error {
	return func(_ context.Context, c platformtest.Call) error {
		if c.Op == op && strings.HasPrefix(c.Key, prefix) {
			return errLost
		}
		return nil
	}
}

// Guards against unbounded growth of the store, and against the deletion of a chunk that a root still refers to.
func TestCollectKeepsWhatIsUsed(t *testing.T) {
	is := is.New(t)
	store, r := startRepository(t, 40)
	ctx := t.Context()
	highest := 0
	for i := range 120 {
		_, err := propose(ctx, r, uint64(i+1), fmt.Sprint("op", i), setRate(i%40, float64(i+1000)))
		is.NoErr(err)
		is.NoErr(r.Collect(ctx))
		highest = max(highest, len(store.Keys(chunkPrefix)))
	}
	is.Equal(len(store.Keys(historyPrefix)), historyVersions)
	roots, err := r.History(ctx)
	is.NoErr(err)
	is.Equal(len(roots), historyVersions+1)
	for _, h := range roots {
		_, err := r.loadRoot(ctx, h.Bytes)
		is.NoErr(err)
	}
	// 41 chunks of the root, one for each kept version, and those that wait for two visits of their part.
	is.True(highest <= 41+historyVersions+2*collectPartitions+2)
}

// Guards against the deletion of a chunk between the moment a proposal finds it stored and the replacement of the root:
// the collection runs at each call of a proposal that brings an unused chunk back.
func TestCollectRace(t *testing.T) {
	for at := range 18 {
		is := is.New(t)
		store, r := startRepository(t, 1)
		ctx := t.Context()
		for i := range historyVersions + 2 { // leaves the chunk of the first rate unused
			_, err := propose(ctx, r, uint64(i+1), fmt.Sprint("op", i), setRate(0, float64(i+100)))
			is.NoErr(err)
			if i == historyVersions {
				collectAll(t, NewRepository(store)) // lists the chunk as a candidate
			}
		}
		calls := 0
		store.SetHook(platformtest.Hook{Before: func(_ context.Context, c platformtest.Call) error {
			calls++
			if calls == at {
				store.SetHook(platformtest.Hook{})
				collectAll(t, NewRepository(store))
				collectAll(t, NewRepository(store))
			}
			return nil
		}})
		_, err := propose(ctx, r, historyVersions+3, "back", setRate(0, 50))
		is.NoErr(err)
		store.SetHook(platformtest.Hook{})
		stored, err := NewRepository(store).Load(ctx)
		is.NoErr(err)
		is.Equal(stored.Cluster.Customers[0].Contracts[PresetOrdinary].RatePerSecond, 50.0)
	}
}

// collectAll visits all parts.
func collectAll(t *testing.T, r *Repository) {
	t.Helper()
	ctx := t.Context()
	root, err := r.read(ctx, "read root", rootKey)
	if err != nil {
		t.Fatal(err)
	}
	used, _, err := r.usedChunks(ctx, root)
	if err != nil {
		t.Fatal(err)
	}
	for part := range collectPartitions {
		if err := r.collectPart(ctx, fmt.Sprintf("%x", part), root.Revision, used); err != nil {
			t.Fatal(err)
		}
	}
}
