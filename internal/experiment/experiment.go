// Package experiment runs load on a fleet while faults and operators disturb it, judges the histories and computes
// the measures of the design page (section 1).
package experiment

import (
	"bytes"
	"cmp"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/load"
)

// Extension is that of experiment files; BaseFile is the name of the file that the others of a directory build on.
const (
	Extension = ".json"
	BaseFile  = "base.json"
)

// Experiment is one experiment file.
type Experiment struct {
	// Base names a file in the same directory that is read first; this file's fields replace those of the base.
	Base        string `json:"base,omitempty"`
	Name        string `json:"name"`
	Description string `json:"description"`
	// Deployment is "kestrel" or "swanwhistle".
	Deployment string `json:"deployment"`
	// Seed fixes arrivals and drawn faults; repeat n uses Seed+n.
	Seed    uint64 `json:"seed"`
	Repeats int    `json:"repeats"`
	// Warmup is the start of the run that the measures leave out; Duration includes it.
	Warmup   load.Duration `json:"warmup"`
	Duration load.Duration `json:"duration"`
	Topology Topology      `json:"topology"`
	Load     load.Plan     `json:"load"`
	Faults   []Fault       `json:"faults,omitempty"`
	Random   *RandomFaults `json:"random_faults,omitempty"`
	Bounds   load.Bounds   `json:"bounds"`
}

// Load reads an experiment file and its base, and checks the result.
func Load(path string) (*Experiment, error) {
	e, err := decode(path)
	if err != nil {
		return nil, err
	}
	if err := e.Validate(); err != nil {
		return nil, errors.Wrapf(err, "experiment %s", path)
	}
	return e, nil
}

// decode reads the file on top of its base.
func decode(path string) (*Experiment, error) {
	fields, err := readObject(path)
	if err != nil {
		return nil, err
	}
	if base, ok := fields["base"].(string); ok {
		under, err := readObject(filepath.Join(filepath.Dir(path), base))
		if err != nil {
			return nil, err
		}
		fields = merge(under, fields)
	}
	whole, err := json.Marshal(fields)
	if err != nil {
		return nil, errors.Wrapf(err, "experiment %s", path)
	}
	e := &Experiment{Repeats: 1, Bounds: load.DefaultBounds()}
	d := json.NewDecoder(bytes.NewReader(whole))
	// A misspelt field must not be ignored.
	d.DisallowUnknownFields()
	if err := d.Decode(e); err != nil {
		return nil, errors.Wrapf(err, "experiment %s", path)
	}
	return e, nil
}

func readObject(path string) (map[string]any, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read experiment")
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var fields map[string]any
	if err := d.Decode(&fields); err != nil {
		return nil, errors.Wrapf(err, "experiment %s", path)
	}
	return fields, nil
}

// merge lays the fields of over on those of under. Objects are merged, everything else is replaced.
func merge(under, over map[string]any) map[string]any {
	for k, v := range over {
		inner, ok := v.(map[string]any)
		below, both := under[k].(map[string]any)
		if ok && both {
			v = merge(below, inner)
		}
		under[k] = v
	}
	return under
}

// List returns the paths of the experiment files below the directory, in order.
func List(dir string) ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*", "*"+Extension))
	if err != nil {
		return nil, errors.Wrap(err, "list experiments")
	}
	paths = slices.DeleteFunc(paths, func(p string) bool { return filepath.Base(p) == BaseFile })
	slices.Sort(paths)
	return paths, nil
}

// Find returns the path for a name: a path to a file, or "deployment/experiment" below the directory.
func Find(dir, name string) string {
	if strings.HasSuffix(name, Extension) {
		return name
	}
	return filepath.Join(dir, name+Extension)
}

// Validate checks the experiment as a whole. Errors carry the JSON path.
func (e *Experiment) Validate() error {
	if e.Name == "" || e.Duration <= e.Warmup || e.Repeats <= 0 {
		return errors.New("name, duration above warmup, repeats: must be given")
	}
	if err := e.Topology.validate(); err != nil {
		return errors.Wrap(err, "topology")
	}
	if err := e.Load.Validate(); err != nil {
		return errors.Wrap(err, "load")
	}
	for i := range e.Load.Streams {
		if err := e.validateStream(&e.Load.Streams[i]); err != nil {
			return errors.Wrapf(err, "load.streams[%d]", i)
		}
	}
	for i := range e.Faults {
		if err := e.Faults[i].validate(&e.Topology); err != nil {
			return errors.Wrapf(err, "faults[%d]", i)
		}
	}
	return e.validateRandom()
}

func (e *Experiment) validateStream(s *load.Stream) error {
	c, ok := e.Topology.customer(s.Customer)
	if !ok {
		return errors.Errorf("customer: unknown %q", s.Customer)
	}
	if !slices.Contains(c.Databases, s.Database) {
		return errors.Errorf("database: customer %s may not use %q", s.Customer, s.Database)
	}
	return nil
}

func (e *Experiment) validateRandom() error {
	if e.Random == nil {
		return nil
	}
	r := e.Random
	if len(r.Actions) == 0 || r.Every <= 0 || r.For <= 0 || r.To <= r.From {
		return errors.New("random_faults: actions, every, for and to after from must be given")
	}
	return nil
}

// schedule returns the faults of one repeat in order of time.
func (e *Experiment) schedule(seed uint64) []Fault {
	faults := slices.Clone(e.Faults)
	if e.Random != nil {
		faults = append(faults, e.Random.draw(&e.Topology, seed)...)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// contracts returns the customers' contracts over the run, as the preset changes of the schedule plan them.
func (e *Experiment) contracts(faults []Fault) []load.ContractChange {
	changes := e.contractsAt(0, config.PresetOrdinary)
	for _, f := range faults {
		if f.Action == ActionSetPreset {
			changes = append(changes, e.contractsAt(f.At.D(), f.Preset)...)
		}
	}
	return changes
}

func (e *Experiment) contractsAt(at time.Duration, p config.Preset) []load.ContractChange {
	var changes []load.ContractChange
	for i := range e.Topology.Customers {
		c := &e.Topology.Customers[i]
		contract := c.Contracts[p]
		changes = append(changes, load.ContractChange{
			Customer: c.Name, At: at, Rate: contract.RatePerSecond, Burst: contract.Burst,
		})
	}
	return changes
}
