package audit

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// refusalWindow is the time over which refusals are counted into one record.
	refusalWindow = time.Second
	// refusalTraces is the number of trace ids that a record names; they fit into maxValueBytes as UUIDs.
	refusalTraces = 6
	// refusalShards spreads the locks, so that the refusals of different customers rarely meet.
	refusalShards = 16
	// refusalKeys bounds the counters per shard; further customers of the shard are counted together.
	refusalKeys = 256
)

// Refusals counts refused requests per customer, group and cause, so that a flood makes one record a second and not
// one per request. It is safe for concurrent use.
type Refusals struct {
	shards [refusalShards]refusalShard
}

type refusalShard struct {
	mu      sync.Mutex
	windows map[refusalKey]*refusalCount
}

type refusalKey struct {
	customer string
	group    upstream.GroupID
	cause    string
}

type refusalCount struct {
	start  time.Time
	count  int
	traces []string
}

// NewRefusals returns empty counters.
func NewRefusals() *Refusals {
	f := &Refusals{}
	for i := range f.shards {
		f.shards[i].windows = make(map[refusalKey]*refusalCount)
	}
	return f
}

// Note counts one refusal. Cause is one of the Refusal constants.
func (f *Refusals) Note(now time.Time, customer string, group upstream.GroupID, cause string, trace request.TraceID) {
	s := &f.shards[xxhash.Sum64String(customer)%refusalShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	key := refusalKey{customer: customer, group: group, cause: cause}
	c := s.windows[key]
	if c == nil && len(s.windows) >= refusalKeys {
		key = refusalKey{cause: cause}
		c = s.windows[key]
	}
	if c == nil {
		c = &refusalCount{start: now}
		s.windows[key] = c
	}
	c.count++
	if len(c.traces) < refusalTraces {
		c.traces = append(c.traces, string(trace))
	}
}

// Collect returns one record for each counter whose second is over, or for all counters when all is set.
func (f *Refusals) Collect(now time.Time, all bool) []Record {
	var out []Record
	for i := range f.shards {
		out = append(out, f.shards[i].collect(now, all)...)
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Group, b.Group),
			cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

func (s *refusalShard) collect(now time.Time, all bool) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Record
	for key, c := range s.windows {
		if !all && now.Sub(c.start) < refusalWindow {
			continue
		}
		delete(s.windows, key)
		out = append(out, c.record(key, now))
	}
	return out
}

func (c *refusalCount) record(key refusalKey, now time.Time) Record {
	r := Record{
		Time:     c.start,
		Kind:     KindRefused,
		Cause:    key.cause,
		Group:    key.group,
		Customer: key.customer,
		Inputs: []Input{
			{Key: "count", Value: strconv.Itoa(c.count)},
			{Key: "window_ms", Value: strconv.FormatInt(now.Sub(c.start).Milliseconds(), 10)},
			{Key: "first_traces", Value: strings.Join(c.traces, " ")},
		},
	}
	if c.count == 1 {
		r.Trace = request.TraceID(c.traces[0])
	}
	return r
}
