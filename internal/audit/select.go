package audit

import (
	"cmp"
	"slices"

	"github.com/celerystep/celerystep/internal/instance"
)

type recordID struct {
	instance instance.ID
	sequence uint64
}

// Select returns the records that match the query, in order of time and without duplicates: a record may be in its
// instance's ring, with a peer and in the store. Of several records of one event the first is kept.
func Select(records []Record, q Query) []Record {
	out := make([]Record, 0, len(records))
	for i := range records {
		if q.Matches(&records[i]) {
			out = append(out, records[i])
		}
	}
	slices.SortStableFunc(out, func(a, b Record) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Sequence, b.Sequence))
	})
	out = unique(out)
	limit := q.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	return out[max(0, len(out)-limit):]
}

func unique(records []Record) []Record {
	seen := make(map[recordID]bool, len(records))
	events := make(map[string]bool)
	return slices.DeleteFunc(records, func(r Record) bool {
		id := recordID{instance: r.Instance, sequence: r.Sequence}
		double := seen[id] && r.Sequence != 0 || r.Event != "" && events[r.Event]
		seen[id] = true
		if r.Event != "" {
			events[r.Event] = true
		}
		return double
	})
}
