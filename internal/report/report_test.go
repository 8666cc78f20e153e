package report

import (
	"bytes"
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/measure"
)

// result returns a run with the given throughput and failover gap in milliseconds.
func result(mode string, repeat int, throughput float64, gap int) *measure.Result {
	return &measure.Result{
		Experiment: "crash", Deployment: "kestrel", Mode: mode, Fleet: "simulated", Repeat: repeat,
		Guarantees: check.Report{{Guarantee: check.G2, Checker: "lost acknowledged write", Status: check.StatusHeld, Cases: 7}},
		Marks:      []measure.Mark{{Action: "kill_member", Target: "g1 m1", At: time.Second, Ended: time.Second}},
		Measures: &measure.Measures{
			Throughput: throughput,
			Gaps:       []measure.Gap{{Group: "g1", Cause: "kill_member", Length: time.Duration(gap) * time.Millisecond}},
		},
		Series: &measure.Series{
			Step: time.Second, Offered: []int{5, 6}, OK: []int{5, 4}, Refused: []int{0, 1}, Failed: []int{0, 1},
			P50: []float64{1, 2}, P90: []float64{1, 2}, P99: []float64{1, 2}, ReplicaShare: []float64{-1, 0.5},
			Refusals: map[string][]int{"c1": {0, 1}},
		},
	}
}

// Guards against results that change on their way through a file.
func TestJSONLines(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "results.jsonl")
	f, err := os.Create(path)
	is.NoErr(err)
	is.NoErr(Write(f, result("celerystep", 0, 100, 800)))
	is.NoErr(Write(f, result("celerystep", 1, 110, 900)))
	is.NoErr(f.Close())
	back, err := Read(path)
	is.NoErr(err)
	is.Equal(len(back), 2)
	is.Equal(back[1].Measures.Gaps, result("celerystep", 1, 110, 900).Measures.Gaps)
	is.Equal(back[1].Guarantees, result("celerystep", 1, 110, 900).Guarantees)
}

// Guards against a summary that hides a run that does not count, a violation, or that the fleet was simulated.
func TestSummary(t *testing.T) {
	is := is.New(t)
	overloaded := result("celerystep", 1, 9999, 9999)
	overloaded.Measures, overloaded.Series = nil, nil
	overloaded.SelfCheck = load.SelfCheck{Reasons: []string{"the generator fell behind"}}
	overloaded.Guarantees[0].Status = check.StatusViolated
	overloaded.Guarantees[0].Violations = []check.Violation{{Detail: "row a is gone"}}
	var b strings.Builder
	is.NoErr(Summary(&b, []*measure.Result{result("celerystep", 0, 100, 800), overloaded}))
	text := b.String()
	for _, want := range []string{
		"kestrel/crash mode=celerystep: 2 runs", "simulated fleet", "run 1 does not count: the generator fell behind",
		"violated  cases=14", "row a is gone", "throughput                 100 [min 100, max 100]", "p50=800 ms",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in\n%s", want, text)
		}
	}
	is.True(!strings.Contains(text, "9999"))
}

// Guards against ratios the wrong way round, and against modes that are compared across experiments.
func TestCompare(t *testing.T) {
	is := is.New(t)
	a := []*measure.Result{result("direct", 0, 200, 400), result("direct", 1, 220, 400), result("direct", 2, 240, 400)}
	b := []*measure.Result{result("celerystep", 0, 180, 800), result("celerystep", 1, 198, 800), result("celerystep", 2, 216, 800)}
	var out strings.Builder
	is.NoErr(CompareModes(&out, append(a, b...)))
	is.True(strings.Contains(out.String(), "A=direct (3 of 3 runs count), B=celerystep (3 of 3 runs count)"))
	is.True(strings.Contains(out.String(), "B/A 0.9 "))
	is.True(strings.Contains(out.String(), "B/A 2 "))
	out.Reset()
	is.NoErr(Compare(&out, "old", a, "new", b))
	is.Equal(out.String(), "no experiment and mode is in both\n")
}

// Guards against an interval that does not hold the median, and against ratios over nothing.
func TestSpread(t *testing.T) {
	is := is.New(t)
	s := NewSpread([]float64{5, 1, 3, 2, 4})
	is.Equal(s.Median, 3.0)
	is.True(s.Min == 1 && s.Max == 5 && s.Low >= 1 && s.Low <= 3 && s.High >= 3 && s.High <= 5)
	r, ok := Ratio([]float64{10, 10, 10}, []float64{5, 5, 5})
	is.True(ok && r.Median == 0.5 && r.Low == 0.5 && r.High == 0.5)
	_, ok = Ratio([]float64{0, 0}, []float64{1})
	is.True(!ok)
}

// Guards against plots that cannot be drawn and reports without them.
func TestHTML(t *testing.T) {
	is := is.New(t)
	r := result("celerystep", 0, 100, 800)
	c := charts(r.Series)
	for i := range c {
		data, err := c[i].render(r.Series.Step, r.Marks)
		is.NoErr(err)
		image, err := png.Decode(bytes.NewReader(data))
		is.NoErr(err)
		is.True(image.Bounds().Dx() > 100)
	}
	var b strings.Builder
	is.NoErr(HTML(&b, []*measure.Result{r}))
	is.Equal(strings.Count(b.String(), "data:image/png;base64,"), len(c))
	is.True(strings.Contains(b.String(), "kill_member"))
}
