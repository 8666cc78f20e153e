package naive

import (
	"context"
	"sync"
	"time"
)

// bucket is a token bucket in which requests wait for their tokens.
type bucket struct {
	limit Limit

	mu    sync.Mutex
	level float64
	at    time.Time
}

// take waits for n tokens and takes them. It takes none and returns false when they would come after ctx's deadline.
func (b *bucket) take(ctx context.Context, n int) bool {
	wait, ok := b.reserve(ctx, time.Now(), n)
	if !ok {
		return false
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// reserve takes n tokens, which may be there only after the returned time.
func (b *bucket) reserve(ctx context.Context, now time.Time, n int) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+b.limit.Rate*now.Sub(b.at).Seconds(), float64(b.limit.Burst))
	b.at = now
	missing := float64(n) - b.level
	wait := time.Duration(max(0, missing) / b.limit.Rate * float64(time.Second))
	if deadline, ok := ctx.Deadline(); ok && now.Add(wait).After(deadline) {
		return 0, false
	}
	b.level -= float64(n)
	return wait, true
}
