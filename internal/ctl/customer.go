package ctl

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/upstream"
)

func (a *app) declareCustomer(cli *kingpin.Application) {
	customer := cli.Command("customer", "Customers and their contracts.")
	a.declareCustomerAdd(customer)
	a.declareSetContract(customer)

	remove := customer.Command("remove", "Remove a customer with its keys.")
	name := remove.Arg("name", "Customer.").Required().String()
	routes := remove.Flag("from-routes", "Also take it off the routes that allow it.").Bool()
	a.command(remove, func(ctx context.Context) error {
		return a.apply(ctx, change{mutate: func(c *config.Cluster) error { return removeCustomer(c, *name, *routes) }})
	})

	a.command(customer.Command("list", "List customers with the contract in force."), a.listCustomers)
}

func (a *app) declareCustomerAdd(customer *kingpin.CmdClause) {
	add := customer.Command("add", "Add a customer without keys. A contract is RATE:BURST:SHARE, for example 200:400:4.")
	name := add.Arg("name", "Customer.").Required().String()
	group := add.Flag("main-group", "Group at whose home the token bucket lives. Default: group of the first route.").String()
	contracts := make(map[config.Preset]*string)
	for _, p := range config.Presets() {
		contracts[p] = add.Flag(string(p), "Contract under preset "+string(p)+".").Required().String()
	}
	a.command(add, func(ctx context.Context) error {
		next := config.Customer{Name: *name, MainGroup: upstream.GroupID(*group), Contracts: make(map[config.Preset]config.Contract)}
		for p, text := range contracts {
			k, err := parseContract(*text)
			if err != nil {
				return &usageError{err: fmt.Errorf("--%s: %w", p, err)}
			}
			next.Contracts[p] = k
		}
		return a.apply(ctx, change{mutate: func(c *config.Cluster) error { return addCustomer(c, next) }})
	})
}

func (a *app) declareSetContract(customer *kingpin.CmdClause) {
	set := customer.Command("set-contract", "Change the contract of a customer under one preset.")
	name := set.Arg("name", "Customer.").Required().String()
	preset := set.Arg("preset", "Preset.").Required().Enum(presetNames()...)
	rate := set.Flag("rate", "Statements a second.").Float64()
	burst := set.Flag("burst", "Statements that may come at once.").Int()
	share := set.Flag("share", "Weight in the fair queue.").Int()
	a.command(set, func(ctx context.Context) error {
		return a.apply(ctx, change{mutate: func(c *config.Cluster) error {
			x, err := findCustomer(c, *name)
			if err != nil {
				return err
			}
			k := x.Contracts[config.Preset(*preset)]
			setIf(&k.RatePerSecond, *rate)
			setIf(&k.Burst, *burst)
			setIf(&k.Share, *share)
			x.Contracts[config.Preset(*preset)] = k
			return nil
		}})
	})
}

func presetNames() []string {
	var out []string
	for _, p := range config.Presets() {
		out = append(out, string(p))
	}
	return out
}

// setIf assigns a flag's value when the flag was given; no valid value is zero.
func setIf[T int | float64](to *T, value T) {
	if value != 0 {
		*to = value
	}
}

// parseContract reads RATE:BURST:SHARE.
func parseContract(text string) (config.Contract, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 3 {
		return config.Contract{}, fmt.Errorf("%q must be RATE:BURST:SHARE", text)
	}
	rate, err := strconv.ParseFloat(parts[0], 64)
	if err != nil {
		return config.Contract{}, fmt.Errorf("rate %q is not a number", parts[0])
	}
	burst, err := strconv.Atoi(parts[1])
	if err != nil {
		return config.Contract{}, fmt.Errorf("burst %q is not a whole number", parts[1])
	}
	share, err := strconv.Atoi(parts[2])
	if err != nil {
		return config.Contract{}, fmt.Errorf("share %q is not a whole number", parts[2])
	}
	return config.Contract{RatePerSecond: rate, Burst: burst, Share: share}, nil
}

// findCustomer returns the customer for a change.
func findCustomer(c *config.Cluster, name string) (*config.Customer, error) {
	for i := range c.Customers {
		if c.Customers[i].Name == name {
			return &c.Customers[i], nil
		}
	}
	return nil, refusef("there is no customer %q", name)
}

func addCustomer(c *config.Cluster, next config.Customer) error {
	if _, err := findCustomer(c, next.Name); err == nil {
		return refusef("customer %q exists already", next.Name)
	}
	c.Customers = append(c.Customers, next)
	return nil
}

func removeCustomer(c *config.Cluster, name string, fromRoutes bool) error {
	if _, err := findCustomer(c, name); err != nil {
		return err
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.OpenCustomer == name {
			return refusef("route %q is open as customer %q; close it first", r.Database, name)
		}
		if !slices.Contains(r.Customers, name) {
			continue
		}
		if !fromRoutes {
			return refusef("route %q allows customer %q; take it off there or give --from-routes", r.Database, name)
		}
		r.Customers = slices.DeleteFunc(r.Customers, func(s string) bool { return s == name })
	}
	c.Customers = slices.DeleteFunc(c.Customers, func(x config.Customer) bool { return x.Name == name })
	return nil
}

// customerRow is the JSON output for one customer.
type customerRow struct {
	Name      string           `json:"name"`
	MainGroup upstream.GroupID `json:"main_group"`
	Contract  config.Contract  `json:"contract"`
	Keys      []string         `json:"keys"`
	Withdrawn []string         `json:"withdrawn_keys"`
	Databases []string         `json:"databases"`
}

func (a *app) listCustomers(ctx context.Context) error {
	c, err := a.present(ctx)
	if err != nil {
		return err
	}
	snapshot := config.NewSnapshot(c)
	t := &table{header: []string{"CUSTOMER", "MAIN GROUP", "RATE/S", "BURST", "SHARE", "KEYS", "WITHDRAWN", "DATABASES"}}
	rows := []customerRow{}
	for i := range c.Customers {
		r := describeCustomer(snapshot, &c.Customers[i])
		rows = append(rows, r)
		t.add(r.Name, string(r.MainGroup), fmt.Sprint(r.Contract.RatePerSecond), strconv.Itoa(r.Contract.Burst),
			strconv.Itoa(r.Contract.Share), joinNames(r.Keys), strconv.Itoa(len(r.Withdrawn)), joinNames(r.Databases))
	}
	t.value = rows
	return a.print(t)
}

func describeCustomer(s *config.Snapshot, c *config.Customer) customerRow {
	r := customerRow{Name: c.Name, Keys: []string{}, Withdrawn: []string{}, Databases: []string{}}
	r.MainGroup, _ = s.MainGroup(c.Name)
	r.Contract, _ = s.Contract(c.Name)
	for _, k := range c.Keys {
		if k.Withdrawn {
			r.Withdrawn = append(r.Withdrawn, k.Name)
			continue
		}
		r.Keys = append(r.Keys, k.Name)
	}
	for _, route := range s.Cluster().Routes {
		if route.Allows(c.Name) || route.OpenCustomer == c.Name {
			r.Databases = append(r.Databases, route.Database)
		}
	}
	return r
}

// present returns the stored configuration.
func (a *app) present(ctx context.Context) (*config.Cluster, error) {
	stored, err := a.repo.Load(ctx)
	if err != nil {
		return nil, err
	}
	if stored.Cluster == nil {
		return nil, refusef("there is no configuration yet; make one with celerystepctl config init FILE")
	}
	return stored.Cluster, nil
}
