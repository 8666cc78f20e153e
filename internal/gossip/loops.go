package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/membership"
)

const (
	// directoryInterval is the mean interval between reads of the platform's list; the jitter is 20 %.
	directoryInterval = 5 * time.Second
	// joinDirectoryInterval is the interval between reads while the instance has not joined.
	joinDirectoryInterval = time.Second
	// directoryTimeout is the timeout of a read of the list.
	directoryTimeout = 2 * time.Second
	// storeCheckInterval is the interval between store checks while most peers are unreachable.
	storeCheckInterval = 500 * time.Millisecond
	// storeCheckAge is how long the store counts as reachable after an answer.
	storeCheckAge = 600 * time.Millisecond
)

// tickLoop ticks the state machine.
func (s *Service) tickLoop(ctx context.Context) error {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.step(ctx, s.tick)
		}
	}
}

// tick runs the state machine and evaluates whether this instance is isolated and whether it may claim homes.
func (s *Service) tick(now time.Time) []membership.Call {
	calls := s.machine.Tick(now)
	cut := s.machine.CutOffFor(now)
	reachable := s.opts.StoreCheck == nil || s.storeReachable(now)
	if cut > 0 {
		wake(s.storeCheck)
	}
	isolated := s.machine.Isolated(now, reachable)
	if s.isolated.Swap(isolated) != isolated {
		s.events.add(event{isolation: true, isolated: isolated})
	}
	joined := s.machine.View().Joined
	s.mayClaim.Store(joined && !isolated && (cut == 0 || (reachable && cut >= minorityClaimDelay)))
	return calls
}

func (s *Service) storeReachable(now time.Time) bool {
	seen := s.lastStoreAnswer.Load()
	return seen != nil && now.Sub(*seen) <= storeCheckAge
}

// wake sends a signal unless one is pending.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// storeLoop checks the store on request of tick, at most once per storeCheckInterval.
func (s *Service) storeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.storeCheck:
		}
		if s.opts.StoreCheck == nil {
			continue
		}
		started := time.Now()
		check, cancel := context.WithTimeout(ctx, storeCheckInterval)
		err := s.opts.StoreCheck(check)
		cancel()
		if err == nil {
			s.RecordStoreAnswer()
		}
		if !ctxtime.Sleep(ctx, storeCheckInterval-time.Since(started)) {
			return ctx.Err()
		}
	}
}

// directoryLoop reads the platform's list periodically. After a failed read the state machine keeps its last list.
func (s *Service) directoryLoop(ctx context.Context) error {
	for {
		s.readDirectory(ctx)
		wait := directoryInterval - directoryInterval/5 + rand.N(directoryInterval*2/5)
		if !s.View().Joined {
			wait = joinDirectoryInterval
		}
		if !ctxtime.Sleep(ctx, wait) {
			return ctx.Err()
		}
	}
}

func (s *Service) readDirectory(ctx context.Context) {
	read, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	entries, err := s.opts.Directory.Instances(read)
	if err != nil {
		s.metrics.listErrors.Inc()
		s.log.Warn("cannot read the list of instances", "error", err)
		return
	}
	s.step(ctx, func(now time.Time) []membership.Call { return s.machine.ApplyInstanceList(now, entries) })
}

// event is a change to pass to the listeners.
type event struct {
	changes   membership.Changes
	view      *membership.View
	isolation bool
	isolated  bool
	replaced  bool
}

// eventQueue passes events from the state machine to the dispatching goroutine, so listeners may call the service.
type eventQueue struct {
	mu     sync.Mutex
	events []event
	signal chan struct{}
}

// add queues an event unless it is empty.
func (q *eventQueue) add(e event) {
	empty := e.changes.Empty() && e.changes.Pauses == 0 && len(e.changes.MemberChanges) == 0
	if empty && !e.isolation && !e.replaced {
		return
	}
	q.mu.Lock()
	q.events = append(q.events, e)
	q.mu.Unlock()
	wake(q.signal)
}

func (q *eventQueue) take() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.events = nil
	return events
}

// dispatchLoop passes events to the listeners in order.
func (s *Service) dispatchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.events.signal:
		}
		for _, e := range s.events.take() {
			s.recordEvent(e)
			for _, l := range s.listeners {
				l.notify(e)
			}
		}
	}
}

// recordEvent logs and counts an event.
func (s *Service) recordEvent(e event) {
	for _, c := range e.changes.MemberChanges {
		s.metrics.changes.WithLabelValues(c.To.String(), string(c.Cause)).Inc()
		level := s.log.Info
		if c.To == instance.StateSuspect {
			level = s.log.Debug
		}
		level("member changed", "member", c.ID, "from", c.From.String(), "to", c.To.String(),
			"incarnation", c.Incarnation, "cause", c.Cause, "source", c.Source)
	}
	s.metrics.refutations.Add(float64(e.changes.Refutations))
	s.metrics.pauses.Add(float64(e.changes.Pauses))
	if e.changes.Pauses > 0 {
		s.log.Warn("this process was paused; its timeouts were restarted")
	}
	if e.changes.CutOff {
		s.log.Warn("reachability of peers changed", "cut_off", e.view.CutOff)
	}
	if e.isolation {
		s.log.Warn("isolation changed", "isolated", e.isolated)
	}
	if e.replaced {
		s.log.Error("a later process with the same id was seen", "member", s.opts.Self.ID)
	}
}

// notify passes an event to a listener.
func (l *Listener) notify(e event) {
	if l.Member != nil {
		for _, c := range e.changes.MemberChanges {
			l.Member(c)
		}
	}
	if l.Home != nil {
		for _, h := range e.changes.Homes {
			l.Home(h)
		}
	}
	if l.Config != nil && e.changes.Config {
		l.Config(e.view.Config())
	}
	if l.Revocation != nil {
		for _, r := range e.changes.Revocations {
			l.Revocation(r)
		}
	}
	if l.View != nil && !e.changes.Empty() {
		l.View(e.view)
	}
	if l.Isolated != nil && e.isolation {
		l.Isolated(e.isolated)
	}
	if l.Replaced != nil && e.replaced {
		l.Replaced()
	}
}
