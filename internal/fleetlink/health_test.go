package fleetlink

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// waitTimeout bounds the waits of these tests.
const waitTimeout = 10 * time.Second

func TestCallsToAnUnresponsivePeerAreCancelledAndLaterOnesFailFast(t *testing.T) {
	is := is.New(t)
	var answers atomic.Bool
	h := newHealth(func(ctx context.Context) error {
		if answers.Load() {
			return nil
		}
		<-ctx.Done()
		return ctx.Err()
	})
	ctx, done, err := h.startCall(context.Background())
	is.NoErr(err)
	defer done()
	select {
	case <-ctx.Done():
	case <-time.After(waitTimeout):
		t.Fatal("the call to an unresponsive peer was not cancelled")
	}
	is.True(!errors.Is(context.Cause(ctx), ErrUnresponsive)) // the peer may have executed the call
	_, _, err = h.startCall(context.Background())
	is.Equal(err, ErrUnresponsive)
	answers.Store(true)
	for end := time.Now().Add(waitTimeout); ; time.Sleep(5 * time.Millisecond) {
		if _, done, err := h.startCall(context.Background()); err == nil {
			done()
			return
		}
		if time.Now().After(end) {
			t.Fatal("calls still fail after the peer has recovered")
		}
	}
}

func TestASlowCallToAResponsivePeerIsNotCancelled(t *testing.T) {
	is := is.New(t)
	asked := make(chan struct{}, 10)
	h := newHealth(func(context.Context) error { asked <- struct{}{}; return nil })
	ctx, done, err := h.startCall(context.Background())
	is.NoErr(err)
	<-asked
	is.NoErr(ctx.Err())
	done()
}

func TestARefusedProbeReportsATerminatedProcess(t *testing.T) {
	is := is.New(t)
	refusal := &RefusedError{At: time.Unix(1000, 0)}
	h := newHealth(func(context.Context) error { return errors.Wrap(refusal, "dial") })
	ctx, done, err := h.startCall(context.Background())
	is.NoErr(err)
	<-ctx.Done()
	done()
	_, _, err = h.startCall(context.Background())
	is.True(errors.Is(err, ErrConnectionRefused))
	is.Equal(err, refusal) // with its time
}

// Guards against a peer that stalls twice in a short time: a call from before the first recovery starts a probe, which fails before
// another call begins. That ended the process with "close of nil channel".
func TestAPeerThatStallsTwiceDoesNotEndTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var stalled atomic.Bool
		h := newHealth(func(ctx context.Context) error {
			if !stalled.Load() {
				return nil
			}
			<-ctx.Done()
			return ctx.Err()
		})
		stalled.Store(true)
		first, done, err := h.startCall(context.Background())
		is.NoErr(err)
		defer done()
		time.Sleep(2*probeAfter - 10*time.Millisecond) // the first probe is about to fail
		second, done, err := h.startCall(context.Background())
		is.NoErr(err)
		defer done()
		time.Sleep(20 * time.Millisecond)
		is.Equal(context.Cause(first), errPeerUnresponsive)
		stalled.Store(false)
		time.Sleep(probeRetryDelay) // the peer has recovered
		is.NoErr(second.Err())
		stalled.Store(true)
		time.Sleep(2 * probeAfter) // long enough for a probe that the second call starts
		is.Equal(context.Cause(second), errPeerUnresponsive)
		_, done, err = h.startCall(context.Background())
		is.NoErr(err) // nothing is known of the second stall yet
		done()
	})
}

// Guards against a probe whose panic ends the process: it runs in a goroutine of its own.
func TestAPanicInAProbeCountsAsAFailedProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var panics atomic.Bool
		panics.Store(true)
		h := newHealth(func(context.Context) error {
			if panics.Load() {
				panic("probe")
			}
			return nil
		})
		ctx, done, err := h.startCall(context.Background())
		is.NoErr(err)
		defer done()
		<-ctx.Done()
		_, _, err = h.startCall(context.Background())
		is.Equal(err, ErrUnresponsive)
		panics.Store(false)
		time.Sleep(2 * probeRetryDelay)
		_, done, err = h.startCall(context.Background())
		is.NoErr(err)
		done()
	})
}
