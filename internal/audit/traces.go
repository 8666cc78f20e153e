package audit

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

// traceShards spreads the locks of the index, so that requests do not share one.
const traceShards = 64

// TraceEntry is the outcome of one request.
type TraceEntry struct {
	Trace    request.TraceID
	Time     time.Time
	Customer string
	Group    upstream.GroupID
	Outcome  request.Outcome
	// Code, Step and Peer describe a refusal or an unknown outcome; Member served a request that ran.
	Code   string
	Step   string
	Peer   string
	Member upstream.MemberID
}

// Traces is a bounded index of the outcomes of recent requests. It is safe for concurrent use.
type Traces struct {
	shards [traceShards]traceShard
}

type traceShard struct {
	mu      sync.Mutex
	entries []TraceEntry
	next    int
}

// DefaultTraces is the usual capacity of an index. An entry takes about 200 bytes.
const DefaultTraces = 8_192

// NewTraces returns an index that keeps about the given number of entries.
func NewTraces(capacity int) *Traces {
	x := &Traces{}
	for i := range x.shards {
		x.shards[i].entries = make([]TraceEntry, max(1, capacity/traceShards))
	}
	return x
}

func (x *Traces) shard(t request.TraceID) *traceShard {
	return &x.shards[xxhash.Sum64String(string(t))%traceShards]
}

// Note stores an outcome in place of the oldest entry of its shard.
func (x *Traces) Note(e TraceEntry) {
	s := x.shard(e.Trace)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[s.next] = e
	s.next = (s.next + 1) % len(s.entries)
}

// Find returns the outcome of a trace as a record without sequence.
func (x *Traces) Find(t request.TraceID) (Record, bool) {
	s := x.shard(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if t != "" && e.Trace == t {
			return e.record(), true
		}
	}
	return Record{}, false
}

func (e *TraceEntry) record() Record {
	r := Record{Time: e.Time, Kind: KindTrace, Trace: e.Trace, Group: e.Group, Customer: e.Customer, Local: true}
	r.Event = "trace/" + string(e.Trace) + "/" + e.Outcome.String()
	facts := []Input{
		{Key: "outcome", Value: e.Outcome.String()},
		{Key: "code", Value: e.Code},
		{Key: "step", Value: e.Step},
		{Key: "peer", Value: e.Peer},
		{Key: "member", Value: string(e.Member)},
	}
	for _, f := range facts {
		if f.Value != "" {
			r.Inputs = append(r.Inputs, f)
		}
	}
	return r
}
