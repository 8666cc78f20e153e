package node

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

func TestCallersShareOneRun(t *testing.T) {
	is := is.New(t)
	var f sharedCall
	runs, release := 0, make(chan struct{})
	first, wait := f.join(func() error { runs++; <-release; return nil })
	is.True(wait > 0)
	second, _ := f.join(func() error { t.Error("a second run"); return nil })
	is.Equal(first, second)
	close(release)
	<-first
	is.Equal(runs, 1)
}

// An unresponsive store must not delay every statement: callers wait only for a run that has just started.
func TestCallersDoNotWaitForASlowOrFailedRun(t *testing.T) {
	is := is.New(t)
	var f sharedCall
	release := make(chan struct{})
	done, _ := f.join(func() error { <-release; return errors.New("the store is unavailable") })
	f.mu.Lock()
	f.startedAt = f.startedAt.Add(-sharedCallWait)
	f.mu.Unlock()
	_, wait := f.join(nil)
	is.True(wait <= 0)
	f.do(context.Background(), nil) // returns immediately
	close(release)
	<-done
	_, wait = f.join(func() error { t.Error("a run right after a failed one"); return nil })
	is.Equal(wait, time.Duration(0))
	f.mu.Lock()
	f.failedAt = f.failedAt.Add(-sharedCallBackoff)
	f.mu.Unlock()
	ran := make(chan struct{})
	f.do(context.Background(), func() error { close(ran); return nil })
	<-ran
}
