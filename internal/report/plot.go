package report

import (
	"bytes"
	"image/color"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/celerystep/celerystep/internal/measure"
)

// Size of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 3 * vg.Inch
)

// palette colours the curves of a plot in order.
var palette = []color.Color{
	color.RGBA{R: 31, G: 119, B: 180, A: 255}, color.RGBA{R: 214, G: 39, B: 40, A: 255},
	color.RGBA{R: 44, G: 160, B: 44, A: 255}, color.RGBA{R: 255, G: 127, B: 14, A: 255},
	color.RGBA{R: 148, G: 103, B: 189, A: 255}, color.RGBA{R: 140, G: 86, B: 75, A: 255},
	color.RGBA{R: 227, G: 119, B: 194, A: 255}, color.RGBA{R: 127, G: 127, B: 127, A: 255},
}

// Colours of the marks.
var (
	plannedColor   = color.NRGBA{R: 90, G: 90, B: 220, A: 160}
	unplannedColor = color.NRGBA{R: 220, G: 60, B: 60, A: 160}
)

// curve is a named line over the steps of a series. Values below zero are left out.
type curve struct {
	name   string
	values []float64
}

// chart is a plot over the time of a run.
type chart struct {
	title  string
	unit   string
	curves []curve
}

// charts returns the plots of a run.
func charts(s *measure.Series) []chart {
	return []chart{
		{"Throughput", "requests/s", []curve{
			{"offered", floats(s.Offered)}, {"ok", floats(s.OK)}, {"refused", floats(s.Refused)}, {"failed", floats(s.Failed)},
		}},
		{"Latency from the intended arrival", "ms", []curve{{"p50", s.P50}, {"p90", s.P90}, {"p99", s.P99}}},
		{"Refusals by customer", "requests/s", refusalCurves(s)},
		{"Share of reads served by replicas", "", []curve{{"replica share", s.ReplicaShare}}},
	}
}

func refusalCurves(s *measure.Series) []curve {
	var list []curve
	for _, name := range slices.Sorted(maps.Keys(s.Refusals)) {
		list = append(list, curve{name, floats(s.Refusals[name])})
	}
	return list
}

func floats(values []int) []float64 {
	list := make([]float64, len(values))
	for i, v := range values {
		list[i] = float64(v)
	}
	return list
}

// render draws the chart with the run's marks as PNG.
func (c *chart) render(step time.Duration, marks []measure.Mark) ([]byte, error) {
	p := plot.New()
	p.Title.Text = c.title
	p.X.Label.Text = "s"
	p.X.Tick.Marker = plot.TickerFunc(secondTicks)
	p.Y.Label.Text = c.unit
	p.Y.Min = 0
	p.Legend.Top = true
	top := 0.0
	for i, v := range c.curves {
		points := v.points(step)
		for _, xy := range points {
			top = max(top, xy.Y)
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, errors.Wrapf(err, "plot %s", v.name)
		}
		line.Color = palette[i%len(palette)]
		p.Add(line)
		p.Legend.Add(v.name, line)
	}
	if err := addMarks(p, marks, max(top, 1)); err != nil {
		return nil, err
	}
	w, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return nil, errors.Wrap(err, "plot")
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return nil, errors.Wrap(err, "plot")
	}
	return b.Bytes(), nil
}

// tickSeconds is the distance between two labelled ticks of the time axis.
const tickSeconds = 5

func secondTicks(from, to float64) []plot.Tick {
	var ticks []plot.Tick
	for t := int(from); float64(t) <= to; t++ {
		tick := plot.Tick{Value: float64(t)}
		if t%tickSeconds == 0 {
			tick.Label = strconv.Itoa(t)
		}
		ticks = append(ticks, tick)
	}
	return ticks
}

func (c *curve) points(step time.Duration) plotter.XYs {
	var points plotter.XYs
	for i, v := range c.values {
		if v >= 0 {
			points = append(points, plotter.XY{X: float64(i) * step.Seconds(), Y: v})
		}
	}
	return points
}

// addMarks draws a dashed line and the name of each mark.
func addMarks(p *plot.Plot, marks []measure.Mark, top float64) error {
	var labels plotter.XYLabels
	for i, m := range marks {
		x := m.At.Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: top}})
		if err != nil {
			return errors.Wrapf(err, "mark %s", m.Action)
		}
		line.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		line.Color = unplannedColor
		if m.Planned {
			line.Color = plannedColor
		}
		p.Add(line)
		// Neighbouring labels are drawn at different heights.
		y := top * (1 - 0.08*float64(i%4))
		labels.XYs = append(labels.XYs, plotter.XY{X: x, Y: y})
		labels.Labels = append(labels.Labels, m.Action)
	}
	if len(labels.Labels) == 0 {
		return nil
	}
	drawn, err := plotter.NewLabels(labels)
	if err != nil {
		return errors.Wrap(err, "marks")
	}
	p.Add(drawn)
	return nil
}
