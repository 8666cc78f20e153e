// Package report writes and reads results as JSON lines, and shows them as text and as HTML with plots.
package report

import (
	"bufio"
	"encoding/json"
	"io"
	"os"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/measure"
)

// Write appends one result as a JSON line.
func Write(w io.Writer, r *measure.Result) error {
	line, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	if _, err := w.Write(append(line, '\n')); err != nil {
		return errors.Wrap(err, "write result")
	}
	return nil
}

// Read returns the results of a file of JSON lines.
func Read(path string) ([]*measure.Result, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read results")
	}
	defer f.Close()
	d := json.NewDecoder(bufio.NewReader(f))
	var results []*measure.Result
	for {
		r := &measure.Result{}
		err := d.Decode(r)
		if errors.Is(err, io.EOF) {
			return results, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "result %d of %s", len(results)+1, path)
		}
		results = append(results, r)
	}
}
