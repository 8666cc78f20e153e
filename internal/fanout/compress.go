package fanout

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/platform"
)

// minCompressedBytes is the size from which values are compressed; smaller ones fit in a few packets anyway.
const minCompressedBytes = 4 << 10

// compress compresses a value. The level is the fastest one: a configuration repeats its words, and the processors of
// readers are small.
func compress(value []byte) []byte {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(value)
	_ = w.Close()
	return b.Bytes()
}

// event returns the change with its value decompressed.
func (c Change) event() (mirror.Event, error) {
	if c.Compressed == nil {
		return c.Event, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(c.Compressed))
	if err != nil {
		return mirror.Event{}, errors.Wrapf(err, "decompress %s", c.Key)
	}
	// One byte more than the store allows shows that the value is too large.
	value, err := io.ReadAll(io.LimitReader(r, platform.MaxValueBytes+1))
	if err != nil {
		return mirror.Event{}, errors.Wrapf(err, "decompress %s", c.Key)
	}
	if len(value) > platform.MaxValueBytes {
		return mirror.Event{}, errors.Wrapf(platform.ErrTooLarge, "decompress %s", c.Key)
	}
	e := c.Event
	e.Value = value
	return e, nil
}
