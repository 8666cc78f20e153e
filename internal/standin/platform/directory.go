package platform

import (
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/platform"
)

// maxListEvents bounds the changes kept for one instance. The lag that tests set spans only a few of them.
const maxListEvents = 64

// listEvent is a change of one row of the instance list.
type listEvent struct {
	at      time.Time
	row     platform.InstanceEntry
	removed bool
}

// directory is the instance list with its past, so that an older view can be served.
type directory struct {
	events map[instance.ID][]listEvent
}

func newDirectory() *directory { return &directory{events: make(map[instance.ID][]listEvent)} }

func (d *directory) record(row platform.InstanceEntry, removed bool, now time.Time) {
	id := row.Info.ID
	e := append(d.events[id], listEvent{at: now, row: row, removed: removed})
	if len(e) > maxListEvents {
		e = e[len(e)-maxListEvents:]
	}
	d.events[id] = e
}

// view returns the list as it was at the given time, in the order of instance ids.
func (d *directory) view(at time.Time) []platform.InstanceEntry {
	var out []platform.InstanceEntry
	for _, events := range d.events {
		for _, e := range slices.Backward(events) {
			if e.at.After(at) {
				continue
			}
			if !e.removed {
				out = append(out, e.row)
			}
			break
		}
	}
	slices.SortFunc(out, func(a, b platform.InstanceEntry) int {
		if a.Info.ID < b.Info.ID {
			return -1
		}
		return 1
	})
	return out
}
