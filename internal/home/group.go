package home

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/admission"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/exchange"
	"github.com/celerystep/celerystep/internal/failover"
	"github.com/celerystep/celerystep/internal/mutation"
	"github.com/celerystep/celerystep/internal/pool"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/quorum"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/retry"
	"github.com/celerystep/celerystep/internal/router"
	"github.com/celerystep/celerystep/internal/upstream"
)

// phase is the stage of a group's home role.
type phase uint8

const (
	// phaseClaiming: no majority has accepted the claim yet.
	phaseClaiming phase = iota
	phaseServing
	// phaseDraining: only statements of open transactions run.
	phaseDraining
	phaseClosed
)

// Errors of a group.
var (
	errNotHome     = errors.New("this instance is not the home of the group")
	errMoved       = errors.New("the home of the group is moving")
	errNoAuthority = errors.New("the claim is not confirmed by a majority")
	errNoPrimary   = errors.New("the group has no primary that takes writes")
)

// Group is the runtime of one group's home role, from its claim to its release or loss.
type Group struct {
	id      upstream.GroupID
	o       *Options
	port    upstream.Port
	log     hclog.Logger
	metrics *groupMetrics
	// manager is asked for tokens of customers whose main group is another one.
	manager *Manager
	// base is the origin of authority.
	base time.Time
	// authority is the end of the confirmed authority in nanoseconds since base; 0 without authority.
	authority atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	// kick wakes the loop.
	kick chan struct{}
	// claimedOrLost is closed when the claim succeeds or the role ends.
	claimedOrLost chan struct{}
	// drained is closed when a draining group has no request and no transaction left.
	drained chan struct{}

	// mu guards everything below. It is held for microseconds and never while waiting for a member or a caller.
	mu    sync.Mutex
	phase phase
	// published is true once the manager sends requests here.
	published bool

	snapshot *config.Snapshot
	spec     upstream.Group
	members  []*member

	tracker *quorum.Tracker
	machine *failover.Machine
	pool    *pool.Pool
	queue   *admission.Queue[*call]
	router  *router.Router
	retry   *retry.Policy

	claim   upstream.Claim
	primary upstream.MemberID
	term    position.Term
	// gapSince is when the group was last seen to lose its primary; zero while the primary takes writes.
	gapSince time.Time
	// nextPass is when the loop runs again at the latest.
	nextPass time.Time
	// writesHeld is true while a switchover keeps new writes in the queue; drain asks for a report when none runs.
	writesHeld   bool
	holdDrain    bool
	holdDeadline time.Time
	// writers counts running writes and open write transactions.
	writers int

	rounds     rounds
	sessions   map[request.SessionID]*sessionState
	conns      map[pool.ConnID]*conn
	customers  map[string]*customer
	remote     []*customer
	handover   *Handover
	refillFrom time.Time
	accepted   map[exchange.Setting]bool
	commits    []*commitWaiter
	parked     []*call
	candidates []router.Candidate
	// readsTurn is true when a read is next to leave for the primary.
	readsTurn bool
	// active counts the requests inside Run.
	active   int
	authHeld bool
	// inPass is true while the loop's pass runs, which plans the pool itself.
	inPass bool
	// switchovers are the operators' orders that wait for an announcement.
	switchovers []*switchoverWaiter
}

// newGroup starts the claim of the group. handover is nil for an unplanned takeover.
func newGroup(m *Manager, spec upstream.Group, snapshot *config.Snapshot, h *Handover) *Group {
	now := m.o.Now()
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{
		id:            spec.ID,
		o:             &m.o,
		port:          m.o.Port(spec),
		log:           m.o.Logger.With("group", spec.ID),
		metrics:       m.metrics.group(spec.ID),
		manager:       m,
		base:          now,
		ctx:           ctx,
		cancel:        cancel,
		kick:          make(chan struct{}, 1),
		claimedOrLost: make(chan struct{}),
		drained:       make(chan struct{}),
		snapshot:      snapshot,
		spec:          spec,
		handover:      h,
		sessions:      make(map[request.SessionID]*sessionState),
		conns:         make(map[pool.ConnID]*conn),
		customers:     make(map[string]*customer),
		accepted:      make(map[exchange.Setting]bool),
		gapSince:      now,
	}
	g.addDecisions(m.nextSeed())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyGroup(spec, now)
	for _, c := range snapshot.Cluster().Customers {
		g.applyCustomer(c.Name, now)
	}
	g.tasks.Go(g.loop)
	g.act(g.machine.Start(now))
	return g
}

// addDecisions creates the pure parts with random sources that derive from one seed.
func (g *Group) addDecisions(seed uint64) {
	source := func(stream uint64) rand.Source { return rand.NewPCG(seed, stream) }
	g.tracker = quorum.New(nil)
	g.machine = failover.New(failover.Config{Group: g.id, Owner: g.o.Owner, Timing: g.o.Timing}, source(1))
	g.pool = pool.New(rand.New(source(2)))
	g.router = router.New(router.DefaultPolicy(), source(3))
	g.retry = retry.NewPolicy(rand.New(source(4)))
	g.queue = admission.NewQueue[*call](admission.MaxClasses, 0)
}

func (g *Group) now() time.Time { return g.o.Now() }

// confirmed reports, without the lock, whether the home's authority is confirmed at now.
func (g *Group) confirmed(now time.Time) bool {
	if mutation.On(mutation.IgnoreAuthority) {
		return true
	}
	return int64(now.Sub(g.base)) < g.authority.Load()
}

// updateAuthority copies the end of the authority to where the request path reads it, and tells the failover state
// machine when it is lost or regained.
func (g *Group) updateAuthority(now time.Time) {
	if g.phase == phaseClosed {
		return
	}
	until := g.tracker.AuthorityUntil()
	ns := int64(0)
	if !until.IsZero() {
		ns = int64(until.Sub(g.base))
	}
	g.authority.Store(ns)
	held := g.tracker.HasAuthority(now)
	if held == g.authHeld {
		return
	}
	g.authHeld = held
	g.log.Info("authority changed", "held", held, "generation", g.claim.Generation)
	g.act(g.machine.AuthorityChanged(held, now))
	g.wakeLoop()
}

// wakeLoop makes the loop run a pass soon.
func (g *Group) wakeLoop() {
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// loop does what is due by time until the group is closed.
func (g *Group) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-timer.C:
		case <-g.kick:
		}
		timer.Reset(g.pass())
	}
}

// pass does what is due and returns the time until the next pass.
func (g *Group) pass() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.phase == phaseClosed {
		return loopInterval
	}
	now := g.now()
	g.inPass = true
	defer func() { g.inPass = false }()
	g.refreshConfig(now)
	g.updateAuthority(now)
	g.startDueRound(now)
	g.act(g.machine.Tick(now))
	g.checkHold(now)
	g.endIdleTransactions(now)
	g.expire(now)
	g.dispatch(now)
	g.planPool(now)
	g.noteGap(now)
	g.metrics.pool(g.pool)
	wait := g.untilNextPass(now)
	g.nextPass = now.Add(wait)
	return wait
}

// noteGap follows whether the group has a primary that takes writes.
func (g *Group) noteGap(now time.Time) {
	if g.primaryServes(now) {
		g.gapSince = time.Time{}
	} else if g.gapSince.IsZero() {
		g.gapSince = now
	}
}

func (g *Group) untilNextPass(now time.Time) time.Duration {
	wait := loopInterval
	earlier := func(t time.Time, ok bool) {
		if ok {
			wait = min(wait, max(t.Sub(now), time.Millisecond/4))
		}
	}
	earlier(g.machine.NextTick())
	earlier(g.queue.NextWake())
	earlier(g.rounds.due, true)
	earlier(g.parkedWake())
	earlier(g.askWake())
	return wait
}

// end stops all work of the group. Requests that wait are refused as not run, connections are closed, and running
// statements fail. It returns false when the group was closed before. The group must be locked.
func (g *Group) end(cause failover.Cause) bool {
	if g.phase == phaseClosed {
		return false
	}
	if g.phase == phaseClaiming {
		close(g.claimedOrLost)
	}
	g.phase = phaseClosed
	g.log.Info("home role ended", "cause", cause, "generation", g.claim.Generation)
	g.authority.Store(0)
	g.machine.Stop(g.now())
	g.refuseWaiting(errNotHome)
	g.failCommits()
	g.failRounds()
	for _, cn := range g.conns {
		cn.close()
	}
	g.failSwitchovers(ErrNotOwned)
	g.cancel()
	g.checkDrained()
	return true
}

// wait blocks until all goroutines of the group ended, and closes the port if it can be closed.
func (g *Group) wait() {
	g.tasks.Wait()
	if c, ok := g.port.(interface{ Close() }); ok {
		c.Close()
	}
	g.metrics.forget()
}

// lose ends the home role because the claim is gone or the machine gave it up.
func (g *Group) lose(cause failover.Cause) {
	if !g.end(cause) {
		return
	}
	g.record(Event{Kind: EventLoss, Cause: string(cause), Text: "The home role ended without a planned release."})
	loss := Loss{Group: g.id, Generation: g.claim.Generation, Cause: cause}
	// The group's own tasks must not wait for themselves, so the manager finishes in its own goroutine.
	g.manager.lost(g, loss)
}

// ownership describes the role. The group must be locked.
func (g *Group) ownership() Ownership {
	return Ownership{
		Group:      g.id,
		Generation: g.claim.Generation,
		Primary:    g.primary,
		Term:       g.term,
		Lost:       g.phase == phaseClosed || !g.tracker.HasAuthority(g.now()),
		Draining:   g.phase == phaseDraining,
	}
}
