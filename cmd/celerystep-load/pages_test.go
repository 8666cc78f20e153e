package main

import (
	"testing"

	"github.com/celerystep/celerystep/internal/pagetest"
)

// Guards against pages that name commands or flags which celerystep-load does not have.
func TestPagesNameCommands(t *testing.T) {
	commands := pagetest.Commands(t, "../..", "celerystep-load")
	if len(commands) < 5 {
		t.Fatalf("only %d commands were found", len(commands))
	}
	for _, c := range commands {
		app, _ := newCommandLine()
		if _, err := app.Parse(c.Args); err != nil {
			t.Errorf("%s: %v: %v", c.Page, c.Args, err)
		}
	}
}
