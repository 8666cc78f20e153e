package daemon

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/platform/client"
	"github.com/celerystep/celerystep/internal/settings"
	"github.com/celerystep/celerystep/internal/upstream"
	"github.com/celerystep/celerystep/internal/upstream/pgport"
	"github.com/celerystep/celerystep/internal/version"
)

// Exit codes of celerystepd.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// commandLine holds the declared commands with their arguments.
type commandLine struct {
	app                  *kingpin.Application
	run, check, defaults *kingpin.CmdClause
	runFile, checkFile   *string
}

func newCommandLine() *commandLine {
	app := kingpin.New("celerystepd", "Proxy daemon: session consistency, fair shares and failover for database groups.")
	app.Version(version.String())
	c := &commandLine{app: app}
	c.run = app.Command("run", "Run the daemon until SIGTERM, which starts a graceful shutdown.")
	c.runFile = c.run.Arg("FILE", "Settings file in JSON.").Required().String()
	c.check = app.Command("check", "Check a settings file and list every mistake with its JSON path and line.")
	c.checkFile = c.check.Arg("FILE", "Settings file in JSON.").Required().String()
	c.defaults = app.Command("defaults", "Print the settings with their defaults.")
	return c
}

// Main runs the command line of celerystepd and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	c := newCommandLine()
	c.app.UsageWriter(stderr)
	command, err := c.app.Parse(args)
	if err != nil {
		c.app.Errorf("%s, try --help", err)
		return exitUsage
	}
	switch command {
	case c.run.FullCommand():
		err = runDaemon(*c.runFile, stderr)
	case c.check.FullCommand():
		err = settings.RunCheck(stdout, *c.checkFile)
	case c.defaults.FullCommand():
		err = settings.RunDefaults(stdout)
	}
	if err != nil {
		c.app.Errorf("%s", err)
		return exitError
	}
	return exitOK
}

func runDaemon(path string, logs io.Writer) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "celerystepd", Level: hclog.LevelFromString(s.Log.Level), Output: logs})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	store := client.New(client.Options{Address: s.Platform.Address, Timeout: s.Timeouts.PlatformCall.Duration()})
	defer store.Close()
	d, err := New(Options{
		Settings:  s,
		Logger:    log,
		Store:     store,
		Directory: store,
		Port:      func(g upstream.Group) upstream.Port { return newPort(s, g) },
	})
	if err != nil {
		return errors.Wrap(err, "start")
	}
	return d.Run(ctx)
}

func newPort(s *settings.Settings, g upstream.Group) upstream.Port {
	return pgport.New(pgport.Options{
		User:           s.Upstream.User,
		Database:       string(g.ID),
		ConnectTimeout: s.Timeouts.UpstreamDial.Duration(),
	})
}
