package ctl

import (
	"context"
	"os"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/jsoncheck"
)

func (a *app) declareConfig(cli *kingpin.Application) {
	clause := cli.Command("config", "The whole configuration.")

	initial := clause.Command("init", "Make the first configuration from a file.")
	first := initial.Arg("file", "Configuration file; see examples/.").Required().ExistingFile()
	a.command(initial, func(ctx context.Context) error { return a.replaceConfig(ctx, *first, true) })

	apply := clause.Command("apply", "Replace the configuration by an edited output of config show.")
	next := apply.Arg("file", "Configuration file. Its version must be the present one.").Required().ExistingFile()
	a.command(apply, func(ctx context.Context) error { return a.replaceConfig(ctx, *next, false) })

	show := clause.Command("show", "Print the configuration as a file that apply reads.")
	version := show.Flag("version", "One of the kept versions. Default: the present one.").Uint64()
	a.command(show, func(ctx context.Context) error { return a.showConfig(ctx, *version) })

	diff := clause.Command("diff", "Show the difference between the present configuration and a file, or two versions.")
	file := diff.Arg("file", "Configuration file.").ExistingFile()
	from := diff.Flag("from", "First version.").Uint64()
	to := diff.Flag("to", "Second version. Default: the present one.").Uint64()
	a.command(diff, func(ctx context.Context) error { return a.diffConfig(ctx, *file, *from, *to) })

	a.declareConfigCheck(clause)

	a.command(clause.Command("history", "List the kept versions with who made them."), a.listHistory)
}

// readFile reads and checks a configuration file.
func readFile(path string) (*config.Cluster, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return nil, &usageError{err: err}
	}
	c, problems := config.ParseFile(document)
	if len(problems) > 0 {
		return nil, jsoncheck.Problems(problems)
	}
	return c, nil
}

func (a *app) replaceConfig(ctx context.Context, path string, initial bool) error {
	next, err := readFile(path)
	if err != nil {
		return err
	}
	base := next.Version
	if initial {
		base = 0
	}
	if !initial && base == 0 {
		return refusef("%s has no version; take the output of config show, or use config init", path)
	}
	return a.apply(ctx, change{base: &base, mutate: func(c *config.Cluster) error {
		*c = *next.Clone()
		return nil
	}})
}

// load returns a kept version; 0 means the present one.
func (a *app) load(ctx context.Context, version uint64) (*config.Cluster, error) {
	if version == 0 {
		return a.present(ctx)
	}
	return a.repo.LoadVersion(ctx, version)
}

func (a *app) showConfig(ctx context.Context, version uint64) error {
	c, err := a.load(ctx, version)
	if err != nil {
		return err
	}
	document, err := config.FormatFile(c)
	if err != nil {
		return err
	}
	_, err = a.env.Out.Write(document)
	return err
}

func (a *app) diffConfig(ctx context.Context, file string, from, to uint64) error {
	if (file == "") == (from == 0) {
		return &usageError{err: refusef("give either a file or --from")}
	}
	first, err := a.load(ctx, from)
	if err != nil {
		return err
	}
	var second *config.Cluster
	if file != "" {
		second, err = readFile(file)
	} else {
		second, err = a.load(ctx, to)
	}
	if err != nil {
		return err
	}
	changes := config.Diff(first, second)
	a.sayChanges(changes)
	if a.o.output == "json" {
		return a.printJSON(nonNil(changes))
	}
	return nil
}

func (a *app) listHistory(ctx context.Context) error {
	roots, err := a.repo.History(ctx)
	if err != nil {
		return err
	}
	t := &table{header: []string{"VERSION", "TIME (UTC)", "OPERATOR", "OPERATION", "CHANGES", "FIRST CHANGE"}}
	rows := []config.Root{}
	for _, h := range roots {
		r := h.Root
		rows = append(rows, r)
		first := ""
		if len(r.Summary) > 0 {
			first = r.Summary[0]
		}
		at := time.UnixMilli(r.UnixMS).UTC().Format(time.DateTime)
		t.add(versionText(r.Version), at, r.Operator, r.OperationID, strconv.Itoa(r.Changes), first)
	}
	t.value = rows
	return a.print(t)
}

func versionText(v uint64) string { return strconv.FormatUint(v, 10) }
