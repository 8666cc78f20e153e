// Command celerystep-group runs stand-ins for replicated database groups. Faults are switched by the SQL function
// group_fault when the settings allow it.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"os"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/standin/group"
	"github.com/celerystep/celerystep/internal/standin/program"
)

const (
	name = "celerystep-group"
	help = "Stand-in for replicated PostgreSQL-compatible database groups, in memory."
)

func main() { os.Exit(program.Main(name, help, os.Args[1:], os.Stderr, run)) }

func run(ctx context.Context, s settings, log hclog.Logger) error {
	var groups []*group.Group
	defer func() {
		for _, g := range groups {
			_ = g.Close()
		}
	}()
	for _, gs := range s.Groups {
		g, err := group.Start(gs.options(log))
		if err != nil {
			return errors.Wrapf(err, "start group %s", gs.ID)
		}
		groups = append(groups, g)
		for _, m := range g.Upstream().Members {
			log.Info("listening", "group", gs.ID, "member", m.ID, "address", m.Address)
		}
	}
	<-ctx.Done()
	if s.StatementLog == "" {
		return nil
	}
	return writeStatements(s.StatementLog, groups, log)
}

// writeStatements writes the statement logs as JSON, one statement a line.
func writeStatements(path string, groups []*group.Group, log hclog.Logger) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create statement log")
	}
	defer func() {
		if e := f.Close(); err == nil {
			err = e
		}
	}()
	w := bufio.NewWriter(f)
	encoder := json.NewEncoder(w)
	for _, g := range groups {
		u := g.Upstream()
		for _, m := range u.Members {
			statements, dropped := g.StatementLog(m.ID)
			if dropped > 0 {
				log.Warn("statement log is incomplete", "group", u.ID, "member", m.ID, "dropped", dropped)
			}
			for _, s := range statements {
				line := loggedLine{Group: u.ID, LoggedStatement: s}
				if err := encoder.Encode(line); err != nil {
					return errors.Wrap(err, "write statement log")
				}
			}
		}
	}
	return w.Flush()
}
