package ctxtime

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestSleepEndsWithItsTimeOrItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		started := time.Now()
		is.True(Sleep(ctx, time.Second))
		is.Equal(time.Since(started), time.Second)
		is.True(Sleep(ctx, 0))
		is.True(Sleep(ctx, -time.Second))
		is.True(!Sleep(ctx, time.Hour))
		is.Equal(time.Since(started), 3*time.Second)
		is.True(!Sleep(ctx, 0))
	})
}
