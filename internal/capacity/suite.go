package capacity

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Suite measures all slopes one after the other, so that they do not share the processor.
type Suite struct {
	Log    hclog.Logger
	Slopes []Slope
	// Progress, if set, gets the slopes of each part as soon as it has ended, so that a stopped run keeps them.
	Progress func([]Slope)
}

// measurement is one step of a suite.
type measurement struct {
	name string
	run  func(context.Context, *Suite) error
}

func measurements() []measurement {
	return []measurement{
		{"configuration", configSlopes},
		{"admission", admissionSlopes},
		{"audit", auditSlopes},
		{"callers", callerSlopes},
		{"groups", groupSlopes},
		{"links", linkSlopes},
		{"statements", statementSlopes},
		{"failover", failoverSlopes},
		{"instances", instanceSlopes},
		{"gossip", gossipSlopes},
	}
}

// MeasurementNames returns the names that Run takes.
func MeasurementNames() []string {
	var names []string
	for _, m := range measurements() {
		names = append(names, m.name)
	}
	return names
}

// Run runs the measurement of that name, or all when name is empty. One that fails is logged, and the others go on;
// the first error is returned.
func (s *Suite) Run(ctx context.Context, name string) error {
	var first error
	for _, m := range measurements() {
		if name != "" && m.name != name {
			continue
		}
		s.Log.Info("measuring", "part", m.name)
		began, from := time.Now(), len(s.Slopes)
		err := m.run(ctx, s)
		if err != nil {
			s.Log.Error("measurement failed", "part", m.name, "error", err)
		}
		if first == nil {
			first = err
		}
		if s.Progress != nil {
			s.Progress(s.Slopes[from:])
		}
		s.Log.Info("measured", "part", m.name, "seconds", time.Since(began).Seconds())
	}
	return first
}

// series collects the points of one figure.
type series struct {
	name, unit, per, note string
	points                []Point
}

func (l *series) add(size int, value float64) {
	l.points = append(l.points, Point{Size: float64(size), Value: value})
}

// keep fits the series and adds them to the suite.
func (s *Suite) keep(all ...*series) error {
	for _, l := range all {
		f, err := Fit(l.name, l.unit, l.per, l.note, l.points)
		if err != nil {
			return err
		}
		s.Slopes = append(s.Slopes, f)
	}
	return nil
}
