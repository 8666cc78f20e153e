package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/capacity"
)

func capacityCommand(app *kingpin.Application) command {
	c := app.Command("capacity", "Measure how the costs grow with the size, and print the slopes.")
	part := c.Flag("part", "The only part to measure.").Enum(capacity.MeasurementNames()...)
	out := c.Flag("json", "File to write the slopes to as JSON; without one they follow the table.").String()
	return command{clause: c, run: func(ctx context.Context, log hclog.Logger) error {
		var written error
		s := &capacity.Suite{Log: log, Progress: func(slopes []capacity.Slope) {
			written = errors.Join(written, capacity.WriteSlopes(os.Stdout, slopes))
		}}
		err := s.Run(ctx, *part)
		return errors.Join(err, written, writeSlopes(*out, s.Slopes))
	}}
}

// writeSlopes writes JSON to the file, or to standard output without a path.
func writeSlopes(path string, slopes []capacity.Slope) error {
	if path == "" {
		return capacity.WriteJSON(os.Stdout, slopes)
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create JSON file")
	}
	return errors.Join(capacity.WriteJSON(f, slopes), f.Close())
}
