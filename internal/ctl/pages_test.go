package ctl

import (
	"bytes"
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/pagetest"
)

// Guards against pages that name commands or flags which celerystepctl does not have.
func TestPagesNameCommands(t *testing.T) {
	commands := pagetest.Commands(t, "../..", "celerystepctl")
	if len(commands) < 20 {
		t.Fatalf("only %d commands were found", len(commands))
	}
	for _, c := range commands {
		parsed := false
		var fail bytes.Buffer
		env := Environment{
			Out: &fail, Err: &fail, Getenv: func(string) string { return "amelie" },
			Connect: func(Connection) (*Services, error) { parsed = true; return nil, errDown },
		}
		Run(context.Background(), env, c.Args)
		if !parsed {
			t.Errorf("%s: %v: %s", c.Page, c.Args, fail.String())
		}
	}
}

// Guards against example configurations that operators cannot apply as they are.
func TestExamplesAreAccepted(t *testing.T) {
	for _, name := range []string{"kestrel", "swanwhistle"} {
		is := is.New(t)
		w := newWorld(t)
		out := w.must("--wait=10s", "config", "init", "../../examples/"+name+"/cluster.json")
		is.True(bytes.Contains([]byte(out), []byte("in force on 3 of 3 instances")))
	}
}
