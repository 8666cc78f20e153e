package fleetlink

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

const patience = 10 * time.Second

func TestCallsToASilentPeerEndAndLaterOnesFailAtOnce(t *testing.T) {
	is := is.New(t)
	var answers atomic.Bool
	h := health{identify: func(ctx context.Context) error {
		if answers.Load() {
			return nil
		}
		<-ctx.Done()
		return ctx.Err()
	}}
	ctx, done, err := h.begin(context.Background())
	is.NoErr(err)
	defer done()
	select {
	case <-ctx.Done():
	case <-time.After(patience):
		t.Fatal("the call to a silent peer goes on")
	}
	is.True(!errors.Is(context.Cause(ctx), ErrUnresponsive)) // it may have been carried out
	_, _, err = h.begin(context.Background())
	is.Equal(err, ErrUnresponsive)
	answers.Store(true)
	for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		if _, done, err := h.begin(context.Background()); err == nil {
			done()
			return
		}
		if time.Now().After(end) {
			t.Fatal("a peer that answers again is not used")
		}
	}
}

func TestASlowCallToALivePeerGoesOn(t *testing.T) {
	is := is.New(t)
	asked := make(chan struct{}, 10)
	h := health{identify: func(context.Context) error { asked <- struct{}{}; return nil }}
	ctx, done, err := h.begin(context.Background())
	is.NoErr(err)
	<-asked
	is.NoErr(ctx.Err())
	done()
}

func TestARefusedQuestionProvesTheEndOfTheProcess(t *testing.T) {
	is := is.New(t)
	h := health{identify: func(context.Context) error { return errors.Wrap(ErrConnectionRefused, "dial") }}
	ctx, done, err := h.begin(context.Background())
	is.NoErr(err)
	<-ctx.Done()
	done()
	_, _, err = h.begin(context.Background())
	is.True(errors.Is(err, ErrConnectionRefused))
}
