// Package fanout spreads the shared entries of the key-value store over a fleet. A few instances, the readers, read the
// store; the others ask a reader over the links between instances. So the number of calls to the store does not grow with
// the fleet, and a large value leaves the store a few times instead of once for each instance.
//
// Readers are chosen from the owners of database groups, which every instance knows. The choice needs no coordination:
// instances whose views differ for a moment are refused by the reader that they ask and try the next one.
//
// Choose, Order, Selector and Copy read no clock, start no goroutines and open no connections. Source connects them to
// the store and to the peers.
package fanout

import (
	"time"

	"github.com/celerystep/celerystep/internal/mirror"
)

// Request asks a reader for the changes below a prefix.
type Request struct {
	Prefix string
	// After is the revision up to which the asking instance knows the content; 0 asks for the complete content.
	After uint64
	// AtLeast, unless 0, asks the reader to read up to this revision before it answers, if it can in a short time.
	AtLeast uint64
	// Wait bounds how long the reader waits for a change.
	Wait time.Duration
}

// Answer is a reader's answer to a Request.
type Answer struct {
	// Changes holds the latest change of each changed key, ordered by revision.
	Changes []Change
	// Revision is the revision of the store that the reader's content reflects.
	Revision uint64
	// Age is how long ago, at most, the store confirmed that the reader's content is current.
	Age time.Duration
	// Compacted is true when the reader cannot tell which keys were deleted after Request.After. It has no changes then.
	Compacted bool
}

// Change is an event whose value may be compressed.
type Change struct {
	mirror.Event
	// Compressed, unless nil, holds the value compressed with gzip; Event.Value is then empty.
	Compressed []byte
}
