package fleetlink

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// waitTimeout bounds the waits of these tests.
const waitTimeout = 10 * time.Second

func TestCallsToAnUnresponsivePeerAreCancelledAndLaterOnesFailFast(t *testing.T) {
	is := is.New(t)
	var answers atomic.Bool
	h := health{identify: func(ctx context.Context) error {
		if answers.Load() {
			return nil
		}
		<-ctx.Done()
		return ctx.Err()
	}}
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
	h := health{identify: func(context.Context) error { asked <- struct{}{}; return nil }}
	ctx, done, err := h.startCall(context.Background())
	is.NoErr(err)
	<-asked
	is.NoErr(ctx.Err())
	done()
}

func TestARefusedProbeReportsATerminatedProcess(t *testing.T) {
	is := is.New(t)
	h := health{identify: func(context.Context) error { return errors.Wrap(ErrConnectionRefused, "dial") }}
	ctx, done, err := h.startCall(context.Background())
	is.NoErr(err)
	<-ctx.Done()
	done()
	_, _, err = h.startCall(context.Background())
	is.True(errors.Is(err, ErrConnectionRefused))
}
