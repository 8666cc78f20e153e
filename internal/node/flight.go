package node

import (
	"context"
	"sync"
	"time"
)

const (
	// sharedCallWait is how long after the start of a run callers wait for its end.
	sharedCallWait = 150 * time.Millisecond
	// sharedCallBackoff is the time after a failed run during which no new run is started.
	sharedCallBackoff = 250 * time.Millisecond
)

// sharedCall lets concurrent callers share one run of a function. Unlike singleflight it bounds the wait of the callers and backs
// off after a failure.
type sharedCall struct {
	mu        sync.Mutex
	done      chan struct{}
	startedAt time.Time
	failedAt  time.Time
}

// do starts a run or joins the one in flight. It returns when the run has ended, when sharedCallWait has passed since its start or
// when ctx ends. During the backoff after a failed run it returns immediately.
func (f *sharedCall) do(ctx context.Context, run func() error) {
	done, wait := f.join(run)
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	case <-ctx.Done():
	}
}

// join starts a run unless one is in flight or has just failed. It returns a channel that is closed at the end of the run, and how
// long to wait for it; a wait of 0 or less means not at all.
func (f *sharedCall) join(run func() error) (<-chan struct{}, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.done == nil {
		if now.Sub(f.failedAt) < sharedCallBackoff {
			return nil, 0
		}
		f.done, f.startedAt = make(chan struct{}), now
		go f.run(run)
	}
	return f.done, f.startedAt.Add(sharedCallWait).Sub(now)
}

func (f *sharedCall) run(run func() error) {
	err := run()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.failedAt = time.Now()
	}
	close(f.done)
	f.done = nil
}
