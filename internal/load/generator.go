package load

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/pgauth"
	"github.com/celerystep/celerystep/internal/upstream"
)

// connectParallel bounds the connections that are opened at once before the run.
const connectParallel = 64

// Target is what the generator connects to, as the platform's balancer shows it.
type Target interface {
	// Endpoints returns the addresses that callers for the database may use now.
	Endpoints(database string) []Endpoint
	// Credential returns the customer's newest key.
	Credential(customer string) (Credential, error)
	// Group returns the group behind a database name.
	Group(database string) upstream.GroupID
}

// Options are the settings of a run besides its schedule.
type Options struct {
	Target Target
	// Proxy is true when the target understands celerystep's session parameters.
	Proxy bool
	// IdleClose closes a session's connection after this idle time; 0 means never.
	IdleClose time.Duration
}

// History is what the callers recorded.
type History struct {
	Operations []check.Operation
	Requests   []check.Request
}

// Counts are running totals, for progress lines.
type Counts struct {
	Sent, OK, Refused, Failed uint64
}

// progress holds the running totals.
type progress struct {
	sent, ok, refused, failed atomic.Uint64
}

func (p *progress) count(r *check.Request) {
	p.sent.Add(1)
	switch r.Outcome {
	case check.OutcomeOK:
		p.ok.Add(1)
	case check.OutcomeNotRun, check.OutcomeNotSent:
		p.refused.Add(1)
	default:
		p.failed.Add(1)
	}
}

// Generator runs a schedule once: Connect, then Run.
type Generator struct {
	target    Target
	proxy     bool
	idleClose time.Duration
	timeout   time.Duration
	start     time.Time
	clients   pgauth.Clients
	progress  progress
	sessions  []*session
	schedule  *Schedule
}

// NewGenerator prepares the sessions of the schedule.
func NewGenerator(s *Schedule, o Options) *Generator {
	g := &Generator{
		target: o.Target, proxy: o.Proxy, idleClose: o.IdleClose,
		timeout: s.plan.RequestTimeout.D(), schedule: s,
	}
	for i := range s.plan.Streams {
		stream := &s.plan.Streams[i]
		for range stream.Sessions {
			id := check.SessionID(len(g.sessions) + 1)
			g.sessions = append(g.sessions, &session{
				gen: g, id: id, stream: stream, group: o.Target.Group(stream.Database),
				rng:     rand.New(rand.NewPCG(s.seed, uint64(id)<<32)),
				queue:   queue{signal: make(chan struct{}, 1)},
				written: make(map[string]int),
			})
		}
	}
	return g
}

// Connect opens the sessions' connections, so that the run starts in a steady state. Sessions that cannot connect
// before the deadline of ctx connect with their first request.
func (g *Generator) Connect(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(connectParallel)
	for _, s := range g.sessions {
		group.Go(func() error {
			if g.idleClose == 0 {
				s.connectOnce(ctx, 0)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// Run sends the schedule with its offsets counted from start and returns when all requests have an outcome, at the
// latest one request timeout after the last arrival. When ctx ends early the rest is not sent.
func (g *Generator) Run(ctx context.Context, start time.Time) History {
	g.start = start
	var wg sync.WaitGroup
	for _, s := range g.sessions {
		wg.Go(func() { s.run(ctx) })
	}
	g.dispatch(ctx)
	for _, s := range g.sessions {
		s.queue.close()
	}
	wg.Wait()
	return g.history()
}

// dispatch hands each arrival to its session at its time.
func (g *Generator) dispatch(ctx context.Context) {
	for i := range g.schedule.arrivals {
		a := &g.schedule.arrivals[i]
		wait := time.Until(g.start.Add(a.at))
		if wait > 0 && !ctxtime.Sleep(ctx, wait) {
			return
		}
		g.sessions[a.session].queue.push(queued{check.RequestID(i + 1), a})
	}
}

// Counts returns the running totals.
func (g *Generator) Counts() Counts {
	p := &g.progress
	return Counts{p.sent.Load(), p.ok.Load(), p.refused.Load(), p.failed.Load()}
}

func (g *Generator) history() History {
	var h History
	for _, s := range g.sessions {
		h.Operations = append(h.Operations, s.operations...)
		h.Requests = append(h.Requests, s.requests...)
	}
	slices.SortStableFunc(h.Operations, func(a, b check.Operation) int { return a.Invoke.Compare(b.Invoke) })
	slices.SortStableFunc(h.Requests, func(a, b check.Request) int { return a.Intended.Compare(b.Intended) })
	return h
}
