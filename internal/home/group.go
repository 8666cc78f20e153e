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

// phase is the lifecycle phase of a group's home role.
type phase uint8

const (
	// phaseClaiming: no majority has accepted the claim yet.
	phaseClaiming phase = iota
	phaseServing
	// phaseDraining: a planned release is in progress; only statements of open transactions run.
	phaseDraining
	phaseClosed
)

// Reasons why a group refuses a request.
var (
	errNotHome     = errors.New("this instance is not the home of the group")
	errMoving      = errors.New("the home of the group is moving")
	errNoAuthority = errors.New("the claim is not confirmed by a majority")
	errNoPrimary   = errors.New("the group has no primary that takes writes")
)

// Group runs the home role for one group, from the claim to the release or loss.
type Group struct {
	id      upstream.GroupID
	o       *Options
	port    upstream.Port
	log     hclog.Logger
	metrics *groupMetrics
	// manager provides tokens of customers whose main group is another one.
	manager *Manager
	// timeBase is the origin of authorityUntil.
	timeBase time.Time
	// authorityUntil is the time up to which a majority has confirmed the claim, in nanoseconds since timeBase; 0 when it
	// is not confirmed. Like a leader lease, it permits work without asking the members each time.
	authorityUntil atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	// wake triggers a pass of the loop.
	wake chan struct{}
	// claimedOrLost is closed when the claim succeeds or the role ends.
	claimedOrLost chan struct{}
	// drained is closed when a draining group has no requests or open transactions left, or when the role ends.
	drained chan struct{}

	// mu guards the fields below. It is held for microseconds, and never while waiting for a member or a caller.
	mu    sync.Mutex
	phase phase
	// published is true once the manager routes requests to the group.
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
	// writeGapSince is when the group was first seen without a primary that accepts writes; zero while it has one.
	writeGapSince time.Time
	// nextPass is the latest time of the loop's next pass.
	nextPass time.Time
	// writesHeld is true while a switchover keeps new writes in the queue. With reportDrain, the state machine is notified
	// once no write is active. Idle write transactions are rolled back after holdDeadline.
	writesHeld   bool
	reportDrain  bool
	holdDeadline time.Time
	// activeWrites counts running writes and open write transactions.
	activeWrites int

	rounds          rounds
	sessions        map[request.SessionID]*sessionState
	conns           map[pool.ConnID]*conn
	customers       map[string]*customer
	remoteCustomers []*customer
	handover        *Handover
	refillFrom      time.Time
	commits         []*commitWaiter
	parked          []*call
	candidates      []router.Candidate
	// readNext is true when the primary's next free slot goes to a read. Reads and writes alternate.
	readNext bool
	// activeRequests counts the requests inside Run.
	activeRequests int
	hasAuthority   bool
	// inPass is true during a pass of the loop, which ends by planning the pool.
	inPass bool
	// switchovers are operator requests that wait for a new primary.
	switchovers []*switchoverWaiter
}

// newGroup creates a group and starts claiming it. h is nil for an unplanned takeover.
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
		timeBase:      now,
		ctx:           ctx,
		cancel:        cancel,
		wake:          make(chan struct{}, 1),
		claimedOrLost: make(chan struct{}),
		drained:       make(chan struct{}),
		snapshot:      snapshot,
		spec:          spec,
		handover:      h,
		sessions:      make(map[request.SessionID]*sessionState),
		conns:         make(map[pool.ConnID]*conn),
		customers:     make(map[string]*customer),
		writeGapSince: now,
	}
	g.initComponents(m.nextSeed())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyGroup(spec, now)
	for _, c := range snapshot.Cluster().Customers {
		g.applyCustomer(c.Name, now)
	}
	g.tasks.Go(g.loop)
	g.executeActions(g.machine.Start(now))
	return g
}

// initComponents creates the decision components, with random sources derived from one seed.
func (g *Group) initComponents(seed uint64) {
	source := func(stream uint64) rand.Source { return rand.NewPCG(seed, stream) }
	g.tracker = quorum.New(nil)
	g.machine = failover.New(failover.Config{Group: g.id, Owner: g.o.Owner, Timing: g.o.Timing}, source(1))
	g.pool = pool.New(rand.New(source(2)))
	g.router = router.New(router.DefaultPolicy(), source(3))
	g.retry = retry.NewPolicy(rand.New(source(4)))
	g.queue = admission.NewQueue[*call](admission.MaxClasses, 0)
}

func (g *Group) now() time.Time { return g.o.Now() }

// confirmed reports whether a majority confirms the home's claim at now. It does not need the lock.
func (g *Group) confirmed(now time.Time) bool {
	if mutation.On(mutation.IgnoreAuthority) {
		return true
	}
	return int64(now.Sub(g.timeBase)) < g.authorityUntil.Load()
}

// updateAuthority publishes the end of the confirmed authority for the request path, and notifies the failover state
// machine when authority is lost or regained.
func (g *Group) updateAuthority(now time.Time) {
	if g.phase == phaseClosed {
		return
	}
	until := g.tracker.AuthorityUntil()
	ns := int64(0)
	if !until.IsZero() {
		ns = int64(until.Sub(g.timeBase))
	}
	g.authorityUntil.Store(ns)
	held := g.tracker.HasAuthority(now)
	if held == g.hasAuthority {
		return
	}
	g.hasAuthority = held
	g.log.Info("authority changed", "held", held, "generation", g.claim.Generation)
	g.executeActions(g.machine.AuthorityChanged(held, now))
	g.wakeLoop()
}

// wakeLoop triggers a pass of the loop.
func (g *Group) wakeLoop() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// loop runs time-driven work until the group is closed.
func (g *Group) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-timer.C:
		case <-g.wake:
		}
		timer.Reset(g.runPass())
	}
}

// runPass runs the work that is due and returns the time until the next pass.
func (g *Group) runPass() time.Duration {
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
	g.executeActions(g.machine.Tick(now))
	g.checkWriteHold(now)
	g.endIdleTransactions(now)
	g.expireCalls(now)
	g.dispatch(now)
	g.planPool(now)
	g.trackWriteGap(now)
	g.metrics.pool(g.pool)
	wait := g.untilNextPass(now)
	g.nextPass = now.Add(wait)
	return wait
}

// trackWriteGap records when the group loses and regains a primary that accepts writes.
func (g *Group) trackWriteGap(now time.Time) {
	if g.primaryAvailable(now) {
		g.writeGapSince = time.Time{}
	} else if g.writeGapSince.IsZero() {
		g.writeGapSince = now
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
	earlier(g.nextParkedRetry())
	earlier(g.nextTokenRequest())
	return wait
}

// endRole stops all work of the group: waiting requests are refused as not run, connections are closed, and running
// statements fail. It returns false if the group was already closed. The group must be locked.
func (g *Group) endRole(cause failover.Cause) bool {
	if g.phase == phaseClosed {
		return false
	}
	if g.phase == phaseClaiming {
		close(g.claimedOrLost)
	}
	g.phase = phaseClosed
	g.log.Info("home role ended", "cause", cause, "generation", g.claim.Generation)
	g.authorityUntil.Store(0)
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

// wait blocks until all goroutines of the group have ended, and closes the port if it has a Close method.
func (g *Group) wait() {
	g.tasks.Wait()
	if c, ok := g.port.(interface{ Close() }); ok {
		c.Close()
	}
	g.metrics.deleteGauges()
}

// loseRole ends the home role because the claim was superseded or the failover state machine gave it up.
func (g *Group) loseRole(cause failover.Cause) {
	if !g.endRole(cause) {
		return
	}
	g.record(Event{Kind: EventLoss, Cause: string(cause), Text: "The home role ended without a planned release."})
	loss := Loss{Group: g.id, Generation: g.claim.Generation, Cause: cause}
	// The manager waits for the group's goroutines, and this may be one of them, so it uses a goroutine of its own.
	g.manager.handleLoss(g, loss)
}

// ownership returns the current state of the role. The group must be locked.
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
