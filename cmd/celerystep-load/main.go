// Command celerystep-load measures a fleet under load and faults, and checks its guarantees on every run.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/version"
)

// Exit codes.
const (
	exitError = 1
	// exitViolated means that a guarantee was broken in mode celerystep.
	exitViolated = 2
	// exitNotCounted means that a run does not count because the tool itself could not keep up.
	exitNotCounted = 3
)

// Verdicts that decide the exit code.
var (
	errViolated   = errors.New("a guarantee was broken")
	errNotCounted = errors.New("a run does not count")
)

// command is one command of the program.
type command struct {
	clause *kingpin.CmdClause
	run    func(ctx context.Context, log hclog.Logger) error
}

// newCommandLine declares the commands.
func newCommandLine() (*kingpin.Application, []command) {
	app := kingpin.New("celerystep-load", "Measures a fleet under load and faults, and checks its guarantees.")
	app.Version(version.String())
	return app, []command{
		runCommand(app), compareCommand(app), reportCommand(app), listCommand(app), pathCommand(app), capacityCommand(app), matrixCommand(app), mutantsCommand(app),
	}
}

func main() {
	app, commands := newCommandLine()
	chosen := kingpin.MustParse(app.Parse(os.Args[1:]))
	log := hclog.New(&hclog.LoggerOptions{Name: "load", Output: os.Stderr})
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if c.clause.FullCommand() == chosen {
			os.Exit(exitCode(c.run(ctx, log), log))
		}
	}
}

// exitCode reports the error and returns the code for it.
func exitCode(err error, log hclog.Logger) int {
	if err == nil {
		return 0
	}
	log.Error("command failed", "error", err)
	switch {
	case errors.Is(err, errViolated):
		return exitViolated
	case errors.Is(err, errNotCounted):
		return exitNotCounted
	default:
		return exitError
	}
}
