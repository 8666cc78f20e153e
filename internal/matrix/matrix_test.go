package matrix

import (
	"context"
	"os"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/celerystep/celerystep/internal/check"
)

// Guards against goroutines that outlive a cell.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against breaches of the guarantees under faults, by a fixed sample of the matrix. The whole matrix runs with
// celerystep-load matrix.
func TestShortMatrix(t *testing.T) {
	r := Run(context.Background(), Options{Cells: ShortCells(), Seed: 1}, os.Stdout)
	if err := r.Write(os.Stdout); err != nil {
		t.Fatal(err)
	}
	for _, o := range r.Outcomes {
		if !o.Held() {
			t.Errorf("%s", o.line())
		}
	}
}

// Guards against cells that cannot be repeated by name, and against names that stand for two cells.
func TestCellNames(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for _, c := range append(Cells(), Pairs(50, 7)...) {
		parsed, err := Parse(c.Name())
		is.NoErr(err)
		is.Equal(parsed, c)
		if len(c.Injections) < 2 {
			is.True(!seen[c.Name()])
		}
		seen[c.Name()] = true
	}
	_, err := Parse("statement/claim/before-send/reset")
	is.True(err != nil)
	is.Equal(Pairs(20, 3), Pairs(20, 3))
	is.True(Pairs(20, 3)[0].Name() != Pairs(20, 4)[0].Name() || Pairs(20, 3)[1].Name() != Pairs(20, 4)[1].Name())
}

// Guards against a message that is taken for another kind, so that its cells test nothing.
func TestClassify(t *testing.T) {
	is := is.New(t)
	c := &faultyConn{kinds: make(map[string]statementKind)}
	cl := &client{}
	for text, want := range map[string]statementKind{
		"BEGIN": kindBegin, "COMMIT": kindCommit, "ROLLBACK": kindReset, "DISCARD ALL": kindReset, "SELECT 1": kindRead,
		"UPDATE t SET a = 1": kindWrite, "SET a = 'b'": kindOther,
	} {
		p, _ := control(check.KindBegin, text).encode()
		is.Equal(c.classify(p), want) // text
	}
	bind := cl.read("r")
	bind.prepared = "p"
	p, _ := bind.encode()
	is.Equal(c.classify(p), kindOther)
	c.kinds["p"] = kindRead
	is.Equal(c.classify(p), kindRead)
}
