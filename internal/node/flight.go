package node

import (
	"context"
	"sync"
	"time"
)

const (
	// flightPatience is how long after the start of a run callers wait for it.
	sharedCallWait = 150 * time.Millisecond
	// flightPause is the time after a failed run for which callers go on without another one.
	sharedCallBackoff = 250 * time.Millisecond
)

// flight lets concurrent callers share one run of a function.
type sharedCall struct {
	mu        sync.Mutex
	done      chan struct{}
	startedAt time.Time
	failedAt  time.Time
}

// do runs f, or waits for the run that is under way. It returns when the run has ended, when it takes long or when ctx ends;
// after a failed run it returns at once for a while.
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

// join starts a run unless one is under way or has just failed. It returns how long to wait for it.
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
