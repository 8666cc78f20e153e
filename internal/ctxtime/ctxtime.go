// Package ctxtime has waits that end with a context.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether ctx is still active. It returns at once if ctx ends or d is not positive.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
