package experiment

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/load"
)

// experimentsDir holds the ready experiments, seen from this package.
const experimentsDir = "../../experiments"

// maxDuration bounds the ready experiments, shortDuration most of them.
const (
	maxDuration   = 3 * time.Minute
	shortDuration = 40 * time.Second
)

// Guards against ready experiments that cannot be read, that run for too long or that cover one deployment only.
func TestReadyExperiments(t *testing.T) {
	is := is.New(t)
	paths, err := List(experimentsDir)
	is.NoErr(err)
	kinds := make(map[string]int)
	long := 0
	for _, path := range paths {
		e, err := Load(path)
		if err != nil {
			t.Error(err)
			continue
		}
		kinds[filepath.Base(path)]++
		is.Equal(e.Deployment, filepath.Base(filepath.Dir(path)))
		is.True(e.Duration.D() <= maxDuration)
		if e.Duration.D() > shortDuration {
			long++
		}
		_, err = load.NewSchedule(&e.Load, e.contracts(e.schedule(e.Seed)), e.Duration.D(), e.Seed)
		is.NoErr(err)
	}
	is.True(len(kinds) >= 10)
	for kind, n := range kinds {
		if n != 2 {
			t.Errorf("%s exists for %d deployments", kind, n)
		}
	}
	is.True(long*2 < len(paths))
}

// Guards against a base that hides the file's own fields, and against misspelt fields that are ignored.
func TestLoadOnTopOfBase(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	write("base.json", `{"name": "base", "duration": "9s", "load": {"request_timeout": "7s", "idle_close": {"naive": "1s"}}}`)
	path := write("x.json", `{"base": "base.json", "name": "x", "load": {"idle_close": {"direct": "2s"}}}`)
	e, err := decode(path)
	is.NoErr(err)
	is.Equal(e.Name, "x")
	is.Equal(e.Duration.D(), 9*time.Second)
	is.Equal(e.Load.RequestTimeout.D(), 7*time.Second)
	is.Equal(len(e.Load.IdleClose), 2)
	_, err = decode(write("y.json", `{"base": "base.json", "durration": "1s"}`))
	is.True(err != nil)
}

// Guards against drawn faults that take the majority of a group away, that are never undone or that differ between two
// draws with the same seed.
func TestRandomFaults(t *testing.T) {
	is := is.New(t)
	e, err := Load(filepath.Join(experimentsDir, "kestrel", "random-faults.json"))
	is.NoErr(err)
	faults := e.schedule(5)
	again := e.schedule(5)
	is.Equal(len(faults), len(again))
	down := make(map[string]bool)
	for i, f := range faults {
		is.Equal(f, again[i])
		is.NoErr(f.validate(&e.Topology))
		key := string(f.Group)
		switch f.Action {
		case ActionKillMember, ActionIsolateMember:
			is.True(!down[key])
			down[key] = true
		case ActionRestartMember, ActionHealMember:
			is.True(down[key])
			delete(down, key)
		}
	}
	is.Equal(len(down), 0)
	is.True(len(faults) > 10)
}
