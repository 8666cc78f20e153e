package ctl

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/celerystep/celerystep/internal/config"
)

func (a *app) declarePreset(cli *kingpin.Application) {
	preset := cli.Command("preset", "The preset in force.")
	a.command(preset.Command("show", "Show the preset in force."), a.showPreset)
	set := preset.Command("set", "Switch to a preset. Its contracts apply to new and waiting requests at once.")
	name := set.Arg("preset", "Preset.").Required().Enum(presetNames()...)
	a.command(set, func(ctx context.Context) error {
		return a.apply(ctx, change{mutate: func(c *config.Cluster) error {
			c.Preset = config.Preset(*name)
			return nil
		}})
	})
}

func (a *app) showPreset(ctx context.Context) error {
	c, err := a.present(ctx)
	if err != nil {
		return err
	}
	t := &table{header: []string{"PRESET", "VERSION"}, value: map[string]any{"preset": c.Preset, "version": c.Version}}
	t.add(string(c.Preset), versionText(c.Version))
	return a.print(t)
}

func (a *app) declareDomain(cli *kingpin.Application) {
	domain := cli.Command("domain", "Failure domains.")
	a.command(domain.Command("list", "List failure domains."), a.listDomains)
	a.declareDomainChange(domain, "out", "Take a failure domain out: it gets no new work after 4 s.")
	a.declareDomainChange(domain, "in", "Bring a failure domain back: its work grows over 10 s.")
}

func (a *app) declareDomainChange(domain *kingpin.CmdClause, name, help string) {
	clause := domain.Command(name, help)
	which := clause.Arg("name", "Failure domain.").Required().String()
	a.command(clause, func(ctx context.Context) error {
		return a.apply(ctx, change{mutate: func(c *config.Cluster) error { return setDomain(c, *which, name == "out") }})
	})
}

func setDomain(c *config.Cluster, name string, out bool) error {
	for i := range c.FailureDomains {
		if string(c.FailureDomains[i].Name) == name {
			c.FailureDomains[i].Out = out
			return nil
		}
	}
	return refusef("there is no failure domain %q", name)
}

// domainRow is the JSON output for one failure domain.
type domainRow struct {
	config.FailureDomain
	Members int `json:"members"`
}

func (a *app) listDomains(ctx context.Context) error {
	c, err := a.present(ctx)
	if err != nil {
		return err
	}
	t := &table{header: []string{"FAILURE DOMAIN", "REGION", "STATE", "MEMBERS"}}
	rows := []domainRow{}
	for _, d := range c.FailureDomains {
		r := domainRow{FailureDomain: d}
		for _, g := range c.Groups {
			for _, m := range g.Members {
				if m.FailureDomain == d.Name {
					r.Members++
				}
			}
		}
		state := "in"
		if d.Out {
			state = "out"
		}
		rows = append(rows, r)
		t.add(string(d.Name), d.Region, state, versionText(uint64(r.Members)))
	}
	t.value = rows
	return a.print(t)
}
