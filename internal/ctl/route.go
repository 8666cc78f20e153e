package ctl

import (
	"context"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/upstream"
)

func (a *app) declareRoute(cli *kingpin.Application) {
	route := cli.Command("route", "Routes from database names to groups.")

	add := route.Command("add", "Add a route, or allow more customers on an existing one.")
	database := add.Arg("database", "Database name.").Required().String()
	group := add.Arg("group", "Group.").Required().String()
	allowed := add.Flag("customer", "Customer that may use it with a key, repeatable.").Strings()
	a.command(add, func(ctx context.Context) error {
		return a.apply(ctx, change{mutate: func(c *config.Cluster) error { return addRoute(c, *database, *group, *allowed) }})
	})

	remove := route.Command("remove", "Remove a route, or only the given customers from it.")
	removed := remove.Arg("database", "Database name.").Required().String()
	denied := remove.Flag("customer", "Customer that may no longer use it, repeatable.").Strings()
	a.command(remove, func(ctx context.Context) error {
		return a.apply(ctx, change{mutate: func(c *config.Cluster) error { return removeRoute(c, *removed, *denied) }})
	})

	open := route.Command("open", "Open a route to callers without a key.")
	opened := open.Arg("database", "Database name.").Required().String()
	as := open.Arg("customer", "Customer whose contract bounds their work.").Required().String()
	a.command(open, func(ctx context.Context) error {
		return a.apply(ctx, change{mutate: func(c *config.Cluster) error { return openRoute(c, *opened, *as) }})
	})

	shut := route.Command("close", "Close a route to callers without a key.")
	closed := shut.Arg("database", "Database name.").Required().String()
	a.command(shut, func(ctx context.Context) error {
		return a.apply(ctx, change{mutate: func(c *config.Cluster) error { return openRoute(c, *closed, "") }})
	})
}

func findRoute(c *config.Cluster, database string) (*config.Route, error) {
	for i := range c.Routes {
		if c.Routes[i].Database == database {
			return &c.Routes[i], nil
		}
	}
	return nil, refusef("there is no route for database %q", database)
}

func addRoute(c *config.Cluster, database, group string, customers []string) error {
	r, err := findRoute(c, database)
	if err != nil {
		c.Routes = append(c.Routes, config.Route{Database: database, Group: upstream.GroupID(group), Customers: customers})
		return nil
	}
	if string(r.Group) != group {
		return refusef("route %q leads to group %q; remove it first to move it", database, r.Group)
	}
	for _, name := range customers {
		if !slices.Contains(r.Customers, name) {
			r.Customers = append(r.Customers, name)
		}
	}
	return nil
}

func removeRoute(c *config.Cluster, database string, customers []string) error {
	r, err := findRoute(c, database)
	if err != nil {
		return err
	}
	if len(customers) == 0 {
		c.Routes = slices.DeleteFunc(c.Routes, func(x config.Route) bool { return x.Database == database })
		return nil
	}
	for _, name := range customers {
		if !slices.Contains(r.Customers, name) {
			return refusef("route %q does not allow customer %q", database, name)
		}
	}
	r.Customers = slices.DeleteFunc(r.Customers, func(s string) bool { return slices.Contains(customers, s) })
	return nil
}

func openRoute(c *config.Cluster, database, customer string) error {
	r, err := findRoute(c, database)
	if err != nil {
		return err
	}
	r.OpenCustomer = customer
	return nil
}
