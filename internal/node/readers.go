package node

import (
	"context"
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/fanout"
	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// discoveryTimeout bounds one look for readers when a process starts.
	discoveryTimeout = time.Second
	// discoveryDelay and discoveryLimit are, for an instance with one core, when it looks for readers for the first time
	// during the first start of a fleet, and when it reads the store although there are none yet. Both are inversely
	// proportional to its cores: instances with more CPU time claim groups first, and the others then find readers.
	discoveryDelay = 300 * time.Millisecond
	discoveryLimit = 600 * time.Millisecond
	// maxDiscoveryTime bounds both, so that a fleet of tiny instances starts in time.
	maxDiscoveryTime = 3500 * time.Millisecond
	// discoveryInterval is the time between two looks for readers.
	discoveryInterval = 400 * time.Millisecond
)

// isReader reports whether other instances may ask this one for shared entries.
func (n *Node) isReader() bool { return n.readers.Load().Reads && !n.draining.Load() }

// chooseReaders chooses the readers among the owners. Owners whose liveness key is absent count when there are too few
// others: after an outage of the whole fleet, the same instances soon own groups again.
func (n *Node) chooseReaders(t *claimTable) {
	readers := fanout.Choose(candidates(t.claims))
	if len(readers) == 0 {
		readers = fanout.Choose(candidates(t.last))
	}
	n.setReaders(readers)
}

// setReaders sets the readers. The caller holds n.mu.
func (n *Node) setReaders(readers []fanout.Reader) {
	self := n.opts.Settings
	isSelf := func(r fanout.Reader) bool { return r.Instance == self.Instance }
	next := &fanout.Route{Reads: slices.ContainsFunc(readers, isSelf)}
	next.Readers = slices.DeleteFunc(fanout.Order(self.Instance, self.Domain, readers), isSelf)
	n.planner.SetRelayed(len(next.Readers) > 0 && !next.Reads)
	if before := n.readers.Swap(next); next.Reads && !before.Reads {
		// Others ask a new reader at once, so its content must be confirmed now.
		select {
		case n.becameReader <- struct{}{}:
		default:
		}
	}
}

func candidates(claims map[upstream.GroupID]ownership.Claim) []fanout.Reader {
	list := make([]fanout.Reader, 0, len(claims))
	for _, c := range claims {
		list = append(list, candidate(c))
	}
	return list
}

func candidate(c ownership.Claim) fanout.Reader {
	return fanout.Reader{Instance: c.Owner, Process: c.Process, Address: c.Address, Domain: c.Domain, Cores: c.Cores}
}

// awaitReaders looks for readers when a process starts. During the first start of a fleet it waits for some to appear.
func (n *Node) awaitReaders(ctx context.Context) {
	delay, limit := discoveryTimes(n.opts.Settings)
	for waited := delay; ctxtime.Sleep(ctx, delay); waited += delay {
		n.discoverReaders(ctx)
		if len(n.readers.Load().Readers) > 0 || waited >= limit {
			return
		}
		delay = discoveryInterval
	}
}

// discoverReaders looks for readers with a cheap read of the claims, which may be old, so that a process that starts does
// not add to the load of the store.
func (n *Node) discoverReaders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	entries, err := n.opts.Store.ListStale(ctx, n.opts.Decoder.Prefixes().Ownership)
	if err != nil {
		n.opts.Log.Warn("could not look for readers; reading the store", "error", err)
		return
	}
	var found []fanout.Reader
	for _, e := range entries {
		if c, ok := n.opts.Decoder.Decode(mirror.Event{Entry: e}); ok && c.Claim != nil {
			found = append(found, candidate(c.Claim.Claim))
		}
	}
	readers := fanout.Choose(found)
	n.opts.Log.Info("looked for readers", "claims", len(found), "readers", len(readers))
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.claims.Load().last == nil {
		n.setReaders(readers)
	}
}

// discoveryTimes returns when an instance looks for readers first, and when it stops to wait for them, counted from the
// start of its process.
func discoveryTimes(s Settings) (delay, limit time.Duration) {
	if !s.FirstStart || s.Cores <= 0 {
		return 0, 0
	}
	perCore := func(d time.Duration) time.Duration { return min(time.Duration(float64(d)/s.Cores), maxDiscoveryTime) }
	return perCore(discoveryDelay), perCore(discoveryLimit)
}

// newReaderServer returns the server that passes on the shared entries.
func (n *Node) newReaderServer() *fanout.Server {
	prefixes := n.opts.Decoder.Prefixes()
	return &fanout.Server{
		Copies:    map[string]*fanout.Copy{prefixes.Operators: n.operators, prefixes.Ownership: n.ownership},
		Confirmed: n.operators,
		Reads:     n.isReader,
		CatchUp:   n.CatchUp,
		Clock:     n.opts.Clock,
	}
}

// copyOf returns the copy of a prefix, or nil if it is not passed on.
func (n *Node) copyOf(prefix string) *fanout.Copy {
	switch prefixes := n.opts.Decoder.Prefixes(); prefix {
	case prefixes.Operators:
		return n.operators
	case prefixes.Ownership:
		return n.ownership
	default:
		return nil
	}
}
