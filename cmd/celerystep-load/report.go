package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/experiment"
	"github.com/celerystep/celerystep/internal/measure"
	"github.com/celerystep/celerystep/internal/report"
)

func compareCommand(app *kingpin.Application) command {
	c := app.Command("compare", "Compare two result files.")
	a := c.Arg("a", "Results to compare with.").Required().ExistingFile()
	b := c.Arg("b", "Results to compare.").Required().ExistingFile()
	return command{clause: c, run: func(context.Context, hclog.Logger) error {
		before, err := report.Read(*a)
		if err != nil {
			return err
		}
		after, err := report.Read(*b)
		if err != nil {
			return err
		}
		return report.Compare(os.Stdout, *a, before, *b, after)
	}}
}

func reportCommand(app *kingpin.Application) command {
	c := app.Command("report", "Show result files.")
	files := c.Arg("results", "Result files.").Required().ExistingFiles()
	html := c.Flag("html", "File to write an HTML report to.").String()
	modes := c.Flag("modes", "Compare the modes of each experiment.").Bool()
	return command{clause: c, run: func(context.Context, hclog.Logger) error {
		var results []*measure.Result
		for _, path := range *files {
			list, err := report.Read(path)
			if err != nil {
				return err
			}
			results = append(results, list...)
		}
		if err := report.Summary(os.Stdout, results); err != nil {
			return err
		}
		if *modes {
			if err := report.CompareModes(os.Stdout, results); err != nil {
				return err
			}
		}
		return writeHTML(*html, results)
	}}
}

// writeHTML writes the HTML report, if a path is given.
func writeHTML(path string, results []*measure.Result) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create report")
	}
	if err := report.HTML(f, results); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func listCommand(app *kingpin.Application) command {
	c := app.Command("list", "List the ready experiments.")
	directory := c.Flag("dir", "Directory of the ready experiments.").Default(defaultDirectory).String()
	return command{clause: c, run: func(context.Context, hclog.Logger) error {
		paths, err := experiment.List(*directory)
		if err != nil {
			return err
		}
		for _, path := range paths {
			e, err := experiment.Load(path)
			if err != nil {
				return err
			}
			fmt.Printf("%-48s %6s x%d  %s\n", path, e.Duration.D(), e.Repeats, e.Description)
		}
		return nil
	}}
}
