package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"gonum.org/v1/gonum/stat"
)

// minPoints is the least number of sizes that give a line and its error.
const minPoints = 3

// Point is one measured figure.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is a line fitted to figures at several sizes.
type Slope struct {
	Name string `json:"name"`
	// Unit is that of the values, Per the unit of the sizes.
	Unit   string  `json:"unit"`
	Per    string  `json:"per"`
	Points []Point `json:"points"`
	// Base is the value at size 0 and Slope its growth for each unit of size.
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// Error is the standard error of Slope.
	Error float64 `json:"standard_error"`
	// Note says what the figure contains.
	Note string `json:"note,omitempty"`
}

// Fit fits a line to the points by least squares.
func Fit(name, unit, per, note string, points []Point) (Slope, error) {
	s := Slope{Name: name, Unit: unit, Per: per, Note: note, Points: points}
	if len(points) < minPoints {
		return s, errors.Errorf("%s: %d points, want at least %d", name, len(points), minPoints)
	}
	var x, y []float64
	for _, p := range points {
		x = append(x, p.Size)
		y = append(y, p.Value)
	}
	s.Base, s.Slope = stat.LinearRegression(x, y, nil, false)
	s.Error = slopeError(x, y, s.Base, s.Slope)
	return s, nil
}

// slopeError returns the standard error of a fitted slope: the residual deviation over the spread of the sizes.
func slopeError(x, y []float64, base, slope float64) float64 {
	mean := stat.Mean(x, nil)
	residual, spread := 0.0, 0.0
	for i := range x {
		r := y[i] - base - slope*x[i]
		residual += r * r
		spread += (x[i] - mean) * (x[i] - mean)
	}
	return math.Sqrt(residual / float64(len(x)-2) / spread)
}

// At returns the fitted value at a size.
func (s *Slope) At(size float64) float64 { return s.Base + s.Slope*size }

// WriteSlopes prints the slopes as a table.
func WriteSlopes(w io.Writer, slopes []Slope) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "figure\tunit\tper\tbase\tslope\tstandard error\tpoints")
	for _, s := range slopes {
		fmt.Fprintf(t, "%s\t%s\t%s\t%.4g\t%.4g\t%.2g\t", s.Name, s.Unit, s.Per, s.Base, s.Slope, s.Error)
		for _, p := range s.Points {
			fmt.Fprintf(t, "%g:%.4g ", p.Size, p.Value)
		}
		fmt.Fprintln(t)
	}
	return wrap(t.Flush(), "write table")
}

// WriteJSON prints the slopes as one JSON array.
func WriteJSON(w io.Writer, slopes []Slope) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return wrap(e.Encode(slopes), "write JSON")
}

// wrap names the step of an error; a nil error stays nil, which errors.Wrap does not promise.
func wrap(err error, step string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, step)
}
