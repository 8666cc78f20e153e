// Package program holds what the mains of the stand-ins share: the command line, the settings file, and the end on a
// signal.
package program

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
)

// Run is the body of a program. It returns when ctx ends.
type Run[S any] func(ctx context.Context, settings S, log hclog.Logger) error

// Main reads the command line and the settings file, runs the program until SIGTERM or SIGINT and returns its exit
// code.
func Main[S any](name, help string, args []string, logs io.Writer, run Run[S]) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return MainContext(ctx, name, help, args, logs, run)
}

// MainContext is Main with the end of ctx in place of a signal.
func MainContext[S any](ctx context.Context, name, help string, args []string, logs io.Writer, run Run[S]) int {
	app := kingpin.New(name, help)
	app.Version(version())
	path := app.Flag("settings", "Path of the JSON settings file.").Required().ExistingFile()
	level := app.Flag("log-level", "Least level of log lines.").Default("info").Enum("debug", "info", "warn", "error")
	if _, err := app.Parse(args); err != nil {
		app.Errorf("%s, try --help", err)
		return 2
	}
	log := hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.LevelFromString(*level), Output: logs})
	settings, err := load[S](*path)
	if err != nil {
		log.Error("cannot read the settings", "path", *path, "error", err)
		return 1
	}
	if err := run(ctx, settings, log); err != nil {
		log.Error("stopped with an error", "error", err)
		return 1
	}
	log.Info("stopped")
	return 0
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}

// load reads a settings file. Unknown fields are errors, so that a misspelt one is not silently ignored.
func load[S any](path string) (S, error) {
	var s S
	f, err := os.Open(path)
	if err != nil {
		return s, err
	}
	defer func() { _ = f.Close() }()
	d := json.NewDecoder(f)
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, errors.Wrap(err, "decode settings")
	}
	return s, nil
}
