package local

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"text/template"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/upstream"
	"github.com/celerystep/celerystep/internal/version"
)

// Exit codes of celerystep-local.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// Addresses of celerystep-local.
const (
	platformAddress = "127.0.0.1:6400"
	closeTimeout    = 10 * time.Second
)

var callerAddresses = []string{"127.0.0.1:6401", "127.0.0.1:6402", "127.0.0.1:6403"}

// flags holds the command line.
type flags struct {
	demo     bool
	example  string
	logLevel string
}

// Main runs the command line of celerystep-local and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var f flags
	app := kingpin.New("celerystep-local", "Runs a key-value service, three database groups and three instances in one process.")
	app.Version(version.String())
	app.UsageWriter(stdout).ErrorWriter(stderr)
	ended := -1
	app.Terminate(func(code int) { ended = code })
	app.Flag("demo", "Run a first workload with the loss of a primary, print a summary and end.").BoolVar(&f.demo)
	app.Flag("example", "Deployment whose sizes are used.").Default(string(ExampleKestrel)).
		EnumVar(&f.example, string(ExampleKestrel), string(ExampleSwanWhistle))
	app.Flag("log-level", "Lowest level of the log lines on standard error.").Default("error").
		EnumVar(&f.logLevel, "off", "error", "warn", "info", "debug")
	_, err := app.Parse(args)
	if ended >= 0 {
		return ended // --help or --version
	}
	if err != nil {
		app.Errorf("%s, try --help", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := f.run(ctx, stdout, stderr); err != nil {
		app.Errorf("%s", err)
		return exitError
	}
	return exitOK
}

func (f *flags) run(ctx context.Context, stdout, stderr io.Writer) (err error) {
	log := hclog.New(&hclog.LoggerOptions{Name: "local", Level: hclog.LevelFromString(f.logLevel), Output: stderr})
	s, err := Start(ctx, Options{
		Example: Example(f.example), Logger: log, CallerAddresses: callerAddresses, PlatformAddress: platformAddress,
	})
	if err != nil {
		return errors.Wrap(err, "start")
	}
	defer func() {
		closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		err = errors.Join(err, s.Close(closing))
	}()
	if f.demo {
		return s.Demo(ctx, stdout)
	}
	if err := s.describe(stdout); err != nil {
		return err
	}
	<-ctx.Done()
	fmt.Fprintln(stdout, "stopping")
	return nil
}

// description is what the guide shows.
type description struct {
	URLs       []string
	Credential load.Credential
	Platform   string
	Group      upstream.GroupID
	Primary    upstream.MemberID
	// Members lists the other members, which take the fault function after the primary is gone.
	Members []upstream.Member
}

var guide = template.Must(template.New("guide").Parse(`celerystep is running: three instances, three groups of three members, one key-value service.

customer key: {{.Credential.User}} / {{.Credential.Password}}

psql:
{{range .URLs}}  psql '{{.}}'
{{end}}
operators:
  go run ./cmd/celerystepctl --platform {{.Platform}} --operator NAME status
  go run ./cmd/celerystepctl --platform {{.Platform}} --operator NAME explain --group {{.Group}}

kill the primary of group {{.Group}}, now {{.Primary}} (any other member takes the call):
{{range .Members}}  psql 'postgres://celerystep@{{.Address}}/{{$.Group}}?sslmode=disable' -c "SELECT group_fault('kill', '{{$.Primary}}')"
{{end}}and bring it back: the same with 'restart' in place of 'kill'.

SIGTERM or Ctrl-C ends the process.
`))

// describe prints how to connect and how to kill a primary.
func (s *System) describe(w io.Writer) error {
	d := description{Platform: s.fleet.Platform().Addr(), Group: s.topology.Groups[0].ID}
	var err error
	if d.Credential, err = s.fleet.Credential(s.sizes.customer); err != nil {
		return err
	}
	primary, err := s.fleet.Primary(d.Group)
	if err != nil {
		return err
	}
	d.Primary = primary.ID
	for _, m := range s.fleet.Group(d.Group).Upstream().Members {
		if m.ID != primary.ID {
			d.Members = append(d.Members, m)
		}
	}
	for i := range instances {
		d.URLs = append(d.URLs, s.URL(i, d.Credential, s.Database()))
	}
	return guide.Execute(w, d)
}
