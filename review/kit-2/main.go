// Command kit-2 runs the scripts of the second review: it starts the program under test as separate processes on loopback
// addresses beside stand-ins of the platform, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/celerystep/celerystep/platform/platformtest"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime bounds a run, within the 120 seconds that a script has.
const maxRunTime = 110 * time.Second

// service is the name of the database service.
const service = "ledger"

// zones are the zones of the installation.
var zones = []string{"mu-north-a", "mu-north-b", "mu-north-c"}

// options are what a case needs of the environment.
type options struct {
	// instances is the number of processes, one in each zone in turn.
	instances int
	// syncReplicas is that of the service.
	syncReplicas int
	// lags are the times after which the members receive a commit; the first member is the primary.
	lags []time.Duration
}

// environment is a running installation.
type environment struct {
	record    *recorder
	names     names
	store     *platformtest.Store
	group     *group
	processes []*process
	// gates holds, for each process, what stands between it and the store.
	gates []*storeGate
	dir   string
	// trouble is false if the disruption is left out.
	trouble bool
}

// cases maps the number of a case to its check, which reports whether the rule was broken.
var cases = map[string]func(*environment) (bool, error){}

// optionsOf maps the number of a case to its options.
var optionsOf = map[string]options{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit-2 CASE FOLDER, in the repository's root")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(number, folder string) int {
	r, err := newRecorder(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	e, err := newEnvironment(r, optionsOf[number])
	if e != nil {
		defer e.close()
	}
	if err != nil {
		r.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	time.AfterFunc(maxRunTime, func() {
		r.printf("the case could not run: it took too long")
		e.close()
		os.Exit(exitNotRun)
	})
	broken, err := cases[number](e)
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		r.printf("result: the rule was broken")
		return exitBroken
	default:
		r.printf("result: the rule held")
		return exitHeld
	}
}

func newEnvironment(r *recorder, o options) (*environment, error) {
	n, err := readNames()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	e := &environment{record: r, names: n, dir: dir, store: platformtest.NewStore(), trouble: os.Getenv("TROUBLE") != "0"}
	r.printf("disruption: %t", e.trouble)
	e.group = newGroup(service, n, e.store, r, o.syncReplicas)
	for i, lag := range o.lags {
		if _, err := e.group.add(fmt.Sprintf("i-%d", i), zones[i%len(zones)], lag); err != nil {
			return e, err
		}
	}
	config, err := os.ReadFile(filepath.Join(dataFolder, "config.json"))
	if err != nil {
		return e, err
	}
	text := strings.ReplaceAll(string(config), "SYNC", strconv.Itoa(o.syncReplicas))
	e.store.Put(n.ConfigKey, json.RawMessage(text))
	for i := range o.instances {
		gate := newStoreGate(e.store.Address())
		e.gates = append(e.gates, gate)
		p, err := startProcess(fmt.Sprintf("frontend-%d", i), zones[i%len(zones)], dir, gate.address(), e.group.ordersAddress(), n, r)
		if err != nil {
			return e, err
		}
		e.processes = append(e.processes, p)
	}
	for _, p := range e.processes {
		if err := p.awaitReady(); err != nil {
			return e, err
		}
	}
	return e, e.awaitService()
}

// awaitService waits until every process serves a write.
func (e *environment) awaitService() error {
	for i, p := range e.processes {
		served := false
		for end := time.Now().Add(startTimeout); !served && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			c, err := connect("probe", p.callers(), "orders", "key-mill8", e.record)
			if err != nil {
				continue
			}
			served = c.query(fmt.Sprintf("probe-%d-%d", i, time.Now().UnixNano()), "WRITE probe 1").OK()
			c.close()
		}
		if !served {
			return fmt.Errorf("%s does not serve in time", p.name)
		}
	}
	return nil
}

// close ends all processes and stand-ins.
func (e *environment) close() {
	for _, p := range e.processes {
		p.end()
	}
	for _, g := range e.gates {
		g.close()
	}
	e.group.close()
	e.store.Close()
	_ = os.RemoveAll(e.dir)
}
