package config

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/platform"
)

const (
	// readInterval is the mean time between reads of the root by each instance. At 1,200 instances these are 20 calls a
	// second.
	readInterval = 60 * time.Second
	// watchRenewal bounds one waiting watch.
	watchRenewal = 30 * time.Second
	// roleInterval is the time between looks at the list of live instances.
	roleInterval = time.Second
	// Retries after a failed read: watchers keep the delay short, because a change made right after an outage has to be
	// in force within 4 s; an instance that has a version and holds no watch waits for its next read.
	firstReadRetry = 250 * time.Millisecond
	lastReadRetry  = 2 * time.Second
)

// follow reads the root now and then, and watches it while this instance is a watcher.
func (k *Keeper) follow(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		watcher := k.updateRole()
		revision, err := k.observe(ctx)
		if err != nil {
			k.waitRetry(ctx, watcher, failures)
			failures++
			continue
		}
		failures = 0
		k.untilNextRead(ctx, revision)
	}
	return nil
}

// updateRole tells the state machine whether this instance is a watcher.
func (k *Keeper) updateRole() bool {
	watcher := Watchers(k.o.Membership.Live())[k.o.Self]
	k.post(func(m *inForce, now time.Time) []action {
		if m.watcher == watcher {
			return nil
		}
		return m.setWatcher(now, watcher)
	})
	return watcher
}

// observe reads the root and reports it. It returns the revision for a watch.
func (k *Keeper) observe(ctx context.Context) (uint64, error) {
	var e platform.Entry
	err := withTimeout(ctx, func(ctx context.Context) error {
		var err error
		e, err = k.o.Store.Get(ctx, rootKey)
		return err
	})
	if errors.Is(err, platform.ErrNotFound) {
		k.reportRoot(nil)
		return 0, nil
	}
	if err != nil {
		k.post(func(m *inForce, now time.Time) []action { return m.storeFailed(now) })
		return 0, err
	}
	k.reportRoot(e.Value)
	return e.Revision, nil
}

// reportRoot tells the state machine what the store holds; nil means no root.
func (k *Keeper) reportRoot(value []byte) {
	k.storeAnswer.Store(time.Now().UnixNano())
	var ref Ref
	if value != nil {
		root, err := ParseRoot(value)
		if err != nil {
			k.o.Log.Error("stored root not readable", "step", "read root", "peer", storePeer, "error", err)
			return
		}
		ref = Ref{Version: root.Version, Root: HashOf(value)}
	}
	k.post(func(m *inForce, now time.Time) []action { return m.storeAnswered(now, ref) })
}

// waitRetry waits after a failed read.
func (k *Keeper) waitRetry(ctx context.Context, watcher bool, failures int) {
	d := k.nextRead()
	if watcher || k.Snapshot() == nil {
		d = min(firstReadRetry<<min(failures, 10), lastReadRetry)
		d += time.Duration(k.random.Int64N(int64(d) / 2))
	}
	k.sleep(ctx, d)
}

// nextRead returns the time until the next read, 45 to 75 s.
func (k *Keeper) nextRead() time.Duration {
	return readInterval*3/4 + time.Duration(k.random.Int64N(int64(readInterval/2)))
}

// sleep waits until d has passed, a read is asked for, or ctx ends.
func (k *Keeper) sleep(ctx context.Context, d time.Duration) (interrupted bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return true
	case <-k.readRoot:
		return true
	case <-t.C:
		return false
	}
}

// untilNextRead returns when the root has to be read again. Meanwhile a watcher waits for changes.
func (k *Keeper) untilNextRead(ctx context.Context, revision uint64) {
	deadline := time.Now().Add(k.nextRead())
	for ctx.Err() == nil && time.Now().Before(deadline) {
		left := time.Until(deadline)
		if !k.updateRole() {
			if k.sleep(ctx, min(left, roleInterval)) {
				return
			}
			continue
		}
		next, ok := k.watch(ctx, revision, min(left, watchRenewal))
		if !ok {
			return
		}
		revision = next
	}
}

// watch waits for one change. It returns false when the root has to be read, because the watch failed or a read was
// asked for.
func (k *Keeper) watch(ctx context.Context, revision uint64, wait time.Duration) (uint64, bool) {
	bounded, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	go k.cancelOnRead(bounded, cancel)
	e, err := k.o.Store.Watch(bounded, rootKey, revision)
	switch {
	case err == nil:
		k.reportRoot(e.Value)
		return e.Revision, true
	case errors.Is(bounded.Err(), context.DeadlineExceeded):
		return revision, true
	case bounded.Err() == nil:
		k.sleep(ctx, firstReadRetry) // keeps a watch that fails at once from being repeated without pause
	}
	return revision, false
}

// cancelOnRead ends a watch when a read is asked for.
func (k *Keeper) cancelOnRead(bounded context.Context, cancel context.CancelFunc) {
	select {
	case <-k.readRoot:
		cancel()
	case <-bounded.Done():
	}
}
