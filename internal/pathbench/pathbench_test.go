package pathbench

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestScan guards against an answer that is taken for complete too early, and an error that counts as a statement.
func TestScan(t *testing.T) {
	is := is.New(t)
	ready, err := (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(nil)
	is.NoErr(err)
	answer, err := (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}).Encode(nil)
	is.NoErr(err)
	whole := append(answer, ready...)
	for n := range len(whole) {
		_, done, err := scan(whole[:n])
		is.NoErr(err)
		is.True(!done)
	}
	used, done, err := scan(whole)
	is.NoErr(err)
	is.True(done)
	is.Equal(used, len(whole))
	refused, err := (&pgproto3.ErrorResponse{Code: "53400"}).Encode(nil)
	is.NoErr(err)
	_, _, err = scan(refused)
	is.True(err != nil)
}

// TestRun guards against modes that do not reach the group and against rows that leave out a mode.
func TestRun(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	o := Options{
		Concurrency: []int{2}, ServiceTimes: []time.Duration{0}, Works: Works(), Modes: Modes(), Repeats: 1,
		Warmup: 10 * time.Millisecond, Duration: 50 * time.Millisecond, Slots: 3, Connections: 6,
	}
	var out strings.Builder
	cells := 0
	is.NoErr(Run(ctx, o, func(c Cell) {
		cells++
		is.NoErr(c.Write(&out))
	}))
	is.Equal(cells, len(Works()))
	is.Equal(strings.Count(out.String(), "\n"), len(Works())*len(Modes()))
}
