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

// TestModes guards against modes that do not reach the group, and workloads that a mode answers with an error.
func TestModes(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	e, err := newEnvironment(ctx, &Options{Slots: 3, Connections: 6}, 0, 1)
	is.NoErr(err)
	defer func() { is.NoErr(e.close(ctx)) }()
	for _, m := range Modes() {
		for _, w := range Works() {
			c, err := newCaller(ctx, &e.clients, e.targets[m], w, 0)
			is.NoErr(err)
			is.NoErr(c.run())
			is.NoErr(c.conn.Close())
		}
	}
}

// TestWrite guards against rows that leave out a mode or compare runs of different turns.
func TestWrite(t *testing.T) {
	is := is.New(t)
	c := Cell{Work: WorkRead, Concurrency: 1, Runs: make(map[Mode][]Sample)}
	for _, m := range Modes() {
		c.Runs[m] = []Sample{{PerSecond: 100}, {PerSecond: 300}}
	}
	c.Runs[ModeHop] = []Sample{{PerSecond: 50}, {PerSecond: 150}}
	var out strings.Builder
	is.NoErr(c.Write(&out))
	is.Equal(strings.Count(out.String(), "\n"), len(Modes()))
	is.Equal(c.ratios(ModeHop), spread[float64]{0.5, 0.5, 0.5})
}
