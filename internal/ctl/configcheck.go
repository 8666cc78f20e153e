package ctl

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/configcheck"
	"github.com/celerystep/celerystep/internal/jsoncheck"
)

// checkResult is the JSON output of config check.
type checkResult struct {
	Findings []configcheck.Finding `json:"findings"`
	// Against names the configuration that the file was compared with; empty means that there was none.
	Against string `json:"against,omitempty"`
	// NotCompared says why the file was checked alone.
	NotCompared string          `json:"not_compared,omitempty"`
	Differences []config.Change `json:"differences"`
}

// findingsError reports that config check found something.
type findingsError struct{ count int }

func (e *findingsError) Error() string { return fmt.Sprintf("findings: %d", e.count) }

// unreadableError reports a configuration that config check cannot compare with.
type unreadableError struct {
	against string
	err     error
}

func (e *unreadableError) Error() string { return fmt.Sprintf("read %s: %v", e.against, e.err) }
func (e *unreadableError) Unwrap() error { return e.err }

func (a *app) declareConfigCheck(clause *kingpin.CmdClause) {
	check := clause.Command("check", "Check a file before it is applied. Exit codes: 0 no findings, 1 findings, 2 cannot read.")
	file := check.Arg("file", "Configuration file.").Required().ExistingFile()
	against := check.Flag("against", "Version or file to compare with. Default: the present version, if it can be read.").String()
	a.command(check, func(ctx context.Context) error { return a.checkConfig(ctx, *file, *against) })
}

func (a *app) checkConfig(ctx context.Context, path, against string) error {
	document, err := os.ReadFile(path)
	if err != nil {
		return &usageError{err: err}
	}
	base, result, err := a.loadBase(ctx, against)
	if err != nil {
		return err
	}
	next, positions, problems := config.ParseDocument(document)
	result.Findings = configcheck.Errors(problems)
	result.Differences = []config.Change{}
	if next != nil {
		result.Findings = append(result.Findings, configcheck.Inspect(next)...)
	}
	if next != nil && base != nil {
		result.Findings = append(result.Findings, configcheck.Errors(config.CheckChange(base, next))...)
		result.Differences = nonNil(config.Diff(base, next))
	}
	locate(result.Findings, positions)
	if err := a.printCheck(result, next != nil); err != nil {
		return err
	}
	if len(result.Findings) > 0 {
		return &findingsError{count: len(result.Findings)}
	}
	return nil
}

// locate fills in the lines of findings and puts them in order of line.
func locate(findings []configcheck.Finding, positions *jsoncheck.Positions) {
	if positions == nil {
		return
	}
	for i := range findings {
		if findings[i].Line == 0 {
			findings[i].Line = positions.Line(findings[i].Path)
		}
	}
	slices.SortStableFunc(findings, func(a, b configcheck.Finding) int { return a.Line - b.Line })
}

// loadBase returns the configuration to compare with. Without against it is nil when there is none or the key-value
// service does not answer.
func (a *app) loadBase(ctx context.Context, against string) (*config.Cluster, checkResult, error) {
	bounded, cancel := context.WithTimeout(ctx, a.o.timeout)
	defer cancel()
	if against == "" {
		return a.loadPresent(bounded)
	}
	base, name, err := a.loadNamed(bounded, against)
	if err != nil {
		return nil, checkResult{}, &unreadableError{against: name, err: err}
	}
	return base, checkResult{Against: name}, nil
}

func (a *app) loadPresent(ctx context.Context) (*config.Cluster, checkResult, error) {
	base, err := a.present(ctx)
	var (
		down *config.UnavailableError
		none *refusedError
	)
	switch {
	case err == nil:
		return base, checkResult{Against: "version " + versionText(base.Version)}, nil
	case errors.As(err, &down), errors.As(err, &none):
		return nil, checkResult{NotCompared: err.Error()}, nil
	}
	return nil, checkResult{}, &unreadableError{against: "the present version", err: err}
}

// loadNamed reads a version when the text is a number, and a file otherwise. It also returns the name for messages.
func (a *app) loadNamed(ctx context.Context, against string) (*config.Cluster, string, error) {
	version, err := strconv.ParseUint(against, 10, 64)
	if err != nil {
		base, err := readFile(against)
		return base, against, err
	}
	base, err := a.repo.LoadVersion(ctx, version)
	return base, "version " + versionText(version), err
}

func (a *app) printCheck(r checkResult, valid bool) error {
	if a.o.output == "json" {
		return a.printJSON(r)
	}
	for _, f := range r.Findings {
		a.say("%s", f)
	}
	if len(r.Findings) == 0 {
		a.say("no findings")
	}
	switch {
	case r.NotCompared != "":
		a.say("not compared: %s", r.NotCompared)
	case !valid:
		a.say("not compared with %s: the file has errors", r.Against)
	default:
		a.say("differences from %s:", r.Against)
		a.sayChanges(r.Differences)
	}
	return nil
}
