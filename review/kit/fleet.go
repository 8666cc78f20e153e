package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/celerystep/celerystep/platform/platformtest"
)

const startLimit = 25 * time.Second

// tenantKey is the key of the only tenant.
const tenantKey = "k7f3a91c2"

// fleet is a small deployment: the stand-ins of the platform, the databases and the instances.
type fleet struct {
	wire      *wireNames
	record    *record
	dir       string
	store     *platformtest.Store
	databases []*database
	instances []*instance
	stop      chan struct{}
}

// kinds are the types of the routes of each service. The database of a route is the service's name with the prefix.
var kinds = map[string]string{"p-": "primary", "b-": "bounded_staleness", "r-": "read_your_writes"}

// newFleet starts a deployment with the services and six instances, and waits until all are in rotation.
func newFleet(recordPath string, services []string) (*fleet, error) {
	wire, err := readWire()
	if err != nil {
		return nil, err
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	f := &fleet{wire: wire, record: rec, store: platformtest.NewStore(), stop: make(chan struct{})}
	if f.dir, err = os.MkdirTemp("", "celerystep-review-"); err != nil {
		return f, err
	}
	zones := []string{"north-a", "north-b", "north-c"}
	f.store.Put(wire.ConfigKey, f.config(services))
	for i, name := range services {
		db, err := newDatabase(name, wire, f.store, rec, []string{zones[i%3], zones[(i+1)%3], zones[(i+2)%3]})
		if err != nil {
			return f, err
		}
		f.databases = append(f.databases, db)
	}
	cloud, err := orders(f.databases)
	if err != nil {
		return f, err
	}
	for i, zone := range []string{"north-a", "north-a", "north-a", "north-b", "north-b", "north-c"} {
		in, err := newInstance(wire, rec, f.dir, fmt.Sprintf("frontend-%d", i), zone, f.store.Address(), cloud)
		if err != nil {
			return f, err
		}
		f.instances = append(f.instances, in)
		if err := in.start(); err != nil {
			return f, err
		}
	}
	for _, in := range f.instances {
		go func() {
			time.Sleep(rand.N(time.Second))
			in.probe(f.stop)
		}()
	}
	return f, f.await(startLimit, "all instances are in rotation", func() bool { return len(f.rotation()) == len(f.instances) })
}

// config returns the desired state: three routes for each service, and one tenant.
func (f *fleet) config(services []string) map[string]any {
	var routes, list []any
	for _, name := range services {
		for prefix, kind := range kinds {
			fields := map[string]any{"name": "route-" + prefix + name, "host": prefix + name, "type": kind, "service": name}
			if prefix == "b-" {
				maps.Copy(fields, f.wire.Dashboards)
			}
			routes = append(routes, with(f.wire.Route, fields))
		}
		list = append(list, with(f.wire.Service, map[string]any{"name": name}))
	}
	tenant := map[string]any{"name": "mill", "apiKeys": []string{tenantKey}, "ratePerS": 2000, "burst": 2000}
	return map[string]any{"version": 3, "routes": routes, "services": list, "limits": f.wire.Limits, "tenants": []any{tenant}}
}

func (f *fleet) await(limit time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(limit); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("timed out: " + what)
		}
	}
	return nil
}

// rotation returns the instances that the balancer uses: those in rotation, or all if there are none.
func (f *fleet) rotation() []*instance {
	var list []*instance
	for _, in := range f.instances {
		if in.inRotation() {
			list = append(list, in)
		}
	}
	return list
}

// pick returns the instance that gets a new connection.
func (f *fleet) pick() *instance {
	list := f.rotation()
	if len(list) == 0 {
		list = f.instances
	}
	return list[rand.IntN(len(list))]
}

// owner returns the instance whose claim on the service is in the store, and the claim's revision.
func (f *fleet) owner(service string) (*instance, uint64) {
	resp, err := http.Get("http://" + f.store.Address() + f.wire.GetPath + url.QueryEscape(f.wire.ClaimKey+service))
	if err != nil {
		return nil, 0
	}
	defer func() { _ = resp.Body.Close() }()
	var item struct {
		Value    []byte `json:"value"`
		Revision uint64 `json:"revision"`
	}
	var claim struct {
		Instance string `json:"instance"`
	}
	if json.NewDecoder(resp.Body).Decode(&item) != nil || json.Unmarshal(item.Value, &claim) != nil {
		return nil, 0
	}
	for _, in := range f.instances {
		if in.name == claim.Instance {
			return in, item.Revision
		}
	}
	return nil, 0
}

// close ends all processes. The logs are kept when KEEP is set.
func (f *fleet) close() {
	close(f.stop)
	for _, in := range f.instances {
		in.close()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", f.dir)
	} else {
		_ = os.RemoveAll(f.dir)
	}
	f.record.close()
}
