// Package ctl implements celerystepctl, the operators' tool. It changes the configuration in the key-value service and
// asks instances for their status.
package ctl

import (
	"context"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/gen/celerystep/peer/v1/peerv1connect"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/version"
)

// Environment is what the tool needs from outside.
type Environment struct {
	Out io.Writer
	Err io.Writer
	// Getenv returns environment variables.
	Getenv func(string) string
	Now    func() time.Time
	// NewOperationID returns an id that no other change has.
	NewOperationID func() string
	// IssueKey returns a new secret, shown once, with its verifier.
	IssueKey func(name string) (secret string, key config.Key, err error)
	// Connect prepares the connections; it makes no call.
	Connect func(c Connection) (*Services, error)
}

// Connection says how to reach the key-value service and the instances.
type Connection struct {
	Platform        string
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

// Services holds the connections of one run.
type Services struct {
	Store     platform.Store
	Directory platform.Directory
	// Operators returns a client for an instance's operators' address.
	Operators func(address string) peerv1connect.OperatorServiceClient
	Close     func()
}

// options holds the flags that all commands share.
type options struct {
	connection Connection
	instances  []string
	operator   string
	output     string
	operation  string
	dryRun     bool
	unreached  bool
	base       uint64
	wait       time.Duration
	timeout    time.Duration
}

// app is one run of the tool.
type app struct {
	env      Environment
	o        options
	services *Services
	repo     *config.Repository
	commands map[string]func(context.Context) error
}

const (
	// defaultWait is the time in which a change is in force everywhere (design section 10).
	defaultWait = 4 * time.Second
	// defaultTimeout bounds a change with its repetitions.
	defaultTimeout = 15 * time.Second
)

// Run executes the command line without the program's name and returns the exit code.
func Run(ctx context.Context, env Environment, args []string) int {
	// "config show" has a flag of this name, so kingpin cannot declare it for the whole program.
	if len(args) == 1 && args[0] == "--version" {
		_, _ = io.WriteString(env.Out, version.String()+"\n")
		return 0
	}
	a := &app{env: env, commands: make(map[string]func(context.Context) error)}
	cli, ended := a.newCommandLine()
	name, err := cli.Parse(args)
	if *ended >= 0 {
		return *ended // --help or --version
	}
	if err != nil {
		return a.fail(&usageError{err: err})
	}
	a.o.operator = firstOf(a.o.operator, env.Getenv("USER"))
	if a.o.operator == "" {
		return a.fail(&usageError{err: errors.New("give your name with --operator; $USER is empty")})
	}
	a.services, err = env.Connect(a.o.connection)
	if err != nil {
		return a.fail(&usageError{err: err})
	}
	defer a.services.Close()
	a.repo = config.NewRepository(a.services.Store)
	if err := a.commands[name](ctx); err != nil {
		return a.fail(err)
	}
	return ExitOK
}

// newCommandLine declares flags and commands. The second result is set to the exit code by --help.
func (a *app) newCommandLine() (*kingpin.Application, *int) {
	ended := new(int)
	*ended = -1
	cli := kingpin.New("celerystepctl", "Operates a celerystep fleet. Exit codes: "+exitHelp)
	cli.UsageWriter(a.env.Out).ErrorWriter(a.env.Err)
	cli.Terminate(func(code int) { *ended = code })
	cli.HelpFlag.Short('h')
	a.declareFlags(cli)
	a.declareCustomer(cli)
	a.declareKey(cli)
	a.declareUpstream(cli)
	a.declareRoute(cli)
	a.declarePreset(cli)
	a.declareDomain(cli)
	a.declareConfig(cli)
	a.declareStatus(cli)
	a.declareAudit(cli)
	return cli, ended
}

func (a *app) declareFlags(cli *kingpin.Application) {
	cli.Flag("platform", "Address of the key-value service (default $CELERYSTEP_PLATFORM).").
		Default(firstOf(a.env.Getenv("CELERYSTEP_PLATFORM"), "127.0.0.1:2380")).StringVar(&a.o.connection.Platform)
	cli.Flag("instance", "Operators' address of an instance, repeatable. Default: all published in the key-value service.").
		StringsVar(&a.o.instances)
	cli.Flag("tls-certificate", "PEM file with the operator's certificate.").StringVar(&a.o.connection.CertificateFile)
	cli.Flag("tls-key", "PEM file with the operator's private key.").StringVar(&a.o.connection.KeyFile)
	cli.Flag("tls-authority", "PEM file with the fleet's certificate authority.").StringVar(&a.o.connection.AuthorityFile)
	cli.Flag("operator", "Your name, kept in the audit trail (default $USER).").StringVar(&a.o.operator)
	cli.Flag("output", "Output format.").Short('o').Default("table").EnumVar(&a.o.output, "table", "json")
	cli.Flag("dry-run", "Check a change and show it without making it.").BoolVar(&a.o.dryRun)
	cli.Flag("operation-id", "Id of the change, to repeat one whose outcome is unknown. Default: a new one.").
		StringVar(&a.o.operation)
	cli.Flag("base-version", "Refuse the change unless this version is present. Default: the version found.").
		Uint64Var(&a.o.base)
	cli.Flag("wait", "Time to wait until a change is in force on all instances.").Default(defaultWait.String()).
		DurationVar(&a.o.wait)
	cli.Flag("timeout", "Time for a change with its repetitions.").Default(defaultTimeout.String()).
		DurationVar(&a.o.timeout)
	cli.Flag("accept-unreachable", "Make a change although most instances do not tell their version in force.").
		BoolVar(&a.o.unreached)
}

// command declares a command that is run by f.
func (a *app) command(clause *kingpin.CmdClause, f func(context.Context) error) {
	a.commands[clause.FullCommand()] = f
}

func firstOf(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
