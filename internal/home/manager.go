package home

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/retry"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Errors returned by the ownership methods of Manager.
var (
	// ErrOwned reports that the instance is already the home of the group.
	ErrOwned = errors.New("already the home of the group")
	// ErrNotOwned reports that the instance is not the home of the group.
	ErrNotOwned = errors.New("not the home of the group")
	// ErrUnknownGroup reports a group that is not in the configuration.
	ErrUnknownGroup = errors.New("group is not in the configuration")
	// ErrNotClaimed reports that no majority of members accepted the claim.
	ErrNotClaimed = errors.New("no majority of members accepted the claim")
	// ErrClosed reports that the manager is closed.
	ErrClosed = errors.New("manager is closed")
)

type groups map[upstream.GroupID]*Group

// Manager runs the groups that this instance is the home of. It implements request.Runner.
type Manager struct {
	o       Options
	metrics *metrics
	// groups is copied on write, so that requests look up their group without a lock.
	groups atomic.Pointer[groups]

	// mu serializes changes of groups and guards the fields below.
	mu     sync.Mutex
	random *rand.Rand
	closed bool
	// pending holds the groups that are being claimed.
	pending map[upstream.GroupID]bool
	tasks   sync.WaitGroup
}

// NewManager returns a manager without groups.
func NewManager(o Options) *Manager {
	o.setDefaults()
	m := &Manager{
		o:       o,
		metrics: newMetrics(o.Registerer),
		random:  rand.New(rand.NewPCG(o.Seed, 0)),
		pending: make(map[upstream.GroupID]bool),
	}
	m.groups.Store(&groups{})
	return m
}

func (m *Manager) nextSeed() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Uint64()
}

func (m *Manager) find(id upstream.GroupID) *Group { return (*m.groups.Load())[id] }

// Run executes the request if this instance is the home of its group. Otherwise the outcome is not run.
func (m *Manager) Run(ctx context.Context, r *request.Request, a request.Answer) request.Result {
	if g := m.find(r.Group); g != nil {
		return g.run(ctx, r, a)
	}
	e := &retry.Error{
		Outcome: request.OutcomeNotRun,
		Code:    retry.CodeUnavailable,
		Step:    "home",
		Peer:    string(m.o.Info.ID),
		Trace:   r.Trace,
		Err:     errNotHome,
	}
	res := e.Result('I')
	if r.InTransaction {
		res.TxStatus = 'E'
	}
	if id, ok := m.o.Locate(r.Group); ok && id != m.o.Info.ID {
		res.Home = id
	}
	return res
}

// End releases the session's resources in the group and rolls back its open transaction.
func (m *Manager) End(_ context.Context, id upstream.GroupID, s request.SessionID) {
	if g := m.find(id); g != nil {
		g.endSession(s)
	}
}

// Cancel stops the session's current request. A waiting request ends as not run. A running statement gets 100 ms to
// finish; then its connection is closed, which also ends its transaction.
func (m *Manager) Cancel(_ context.Context, id upstream.GroupID, s request.SessionID) {
	if g := m.find(id); g != nil {
		g.cancelSession(s)
	}
}

// ConfigChanged makes all groups apply the configuration in force immediately instead of within 100 ms.
func (m *Manager) ConfigChanged() {
	for _, g := range *m.groups.Load() {
		g.wakeLoop()
	}
}

// Admit grants tokens from the buckets of customers whose main group is id.
func (m *Manager) Admit(_ context.Context, id upstream.GroupID, items []AdmitItem) AdmitResult {
	g := m.find(id)
	if g == nil {
		return AdmitResult{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admit(items, g.now())
}

// requestTokensFromHome requests tokens from the home of the main group, locally if that is this instance.
func (m *Manager) requestTokensFromHome(ctx context.Context, main upstream.GroupID, customer string, tokens int) (int, time.Duration, error) {
	if m.find(main) != nil {
		a := m.Admit(ctx, main, []AdmitItem{{Customer: customer, Tokens: tokens}})
		if !a.Authoritative {
			return 0, 0, errNoAuthority
		}
		return a.Granted[0].Tokens, a.RetryAfter[0], nil
	}
	if m.o.Admitter == nil {
		return 0, 0, errors.New("no way to ask the customer's home")
	}
	return m.o.Admitter.Admit(ctx, main, customer, tokens)
}

// Acquire claims the group and returns once a majority of its members has accepted the claim. With a handover, the
// token buckets continue at the levels handed over. On error, the instance is not the home of the group, but a minority
// of members may have accepted the claim; the next claimant's higher generation overrides it.
func (m *Manager) Acquire(ctx context.Context, id upstream.GroupID, h *Handover) (Ownership, error) {
	if err := m.reserve(id); err != nil {
		return Ownership{}, err
	}
	defer m.unreserve(id)
	snapshot := m.o.Snapshot()
	spec, ok := snapshot.Group(id)
	if !ok {
		return Ownership{}, ErrUnknownGroup
	}
	g := newGroup(m, *spec, snapshot, h)
	select {
	case <-g.claimedOrLost:
	case <-ctx.Done():
	}
	if o, ok := m.publish(g); ok {
		return o, nil
	}
	g.wait()
	if ctx.Err() != nil {
		return Ownership{}, errors.Wrap(ctx.Err(), "claim")
	}
	return Ownership{}, ErrNotClaimed
}

// reserve marks a claim of the group as in progress, of which there can be only one at a time.
func (m *Manager) reserve(id upstream.GroupID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.closed:
		return ErrClosed
	case m.pending[id] || m.find(id) != nil:
		return ErrOwned
	}
	m.pending[id] = true
	m.tasks.Add(1)
	return nil
}

func (m *Manager) unreserve(id upstream.GroupID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pending, id)
	m.tasks.Done()
}

// publish opens a claimed group for requests. A group whose claim failed is closed.
func (m *Manager) publish(g *Group) (Ownership, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.phase != phaseServing || m.closed {
		g.endRole("not_claimed")
		return Ownership{}, false
	}
	g.published = true
	m.updateGroups(func(all groups) { all[g.id] = g })
	return g.ownership(), true
}

// updateGroups stores a modified copy of the groups.
func (m *Manager) updateGroups(change func(groups)) {
	old := *m.groups.Load()
	all := make(groups, len(old)+1)
	for id, g := range old {
		all[id] = g
	}
	change(all)
	m.groups.Store(&all)
}

func (m *Manager) remove(g *Group) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateGroups(func(all groups) {
		if all[g.id] == g {
			delete(all, g.id)
		}
	})
}

// handleLoss removes a group whose role ended without Release and reports the loss. The group must be locked.
func (m *Manager) handleLoss(g *Group, l Loss) {
	if !g.published {
		return // Acquire reports the error
	}
	m.tasks.Go(func() {
		m.remove(g)
		g.wait()
		if f := m.o.OnLost; f != nil {
			f(l)
		}
	})
}

// Release ends the home role in a planned move. It refuses new requests as not run, waits for open transactions until
// ctx ends or the drain timeout expires, rolls back those left, and returns the state for the next home.
func (m *Manager) Release(ctx context.Context, id upstream.GroupID) (Handover, error) {
	g := m.find(id)
	if g == nil {
		return Handover{}, ErrNotOwned
	}
	if !g.startDrain() {
		return Handover{}, ErrNotOwned
	}
	ctx, cancel := context.WithTimeout(ctx, m.o.DrainTimeout)
	defer cancel()
	select {
	case <-g.drained:
	case <-ctx.Done():
	}
	h, ok := g.finishDrain()
	m.remove(g)
	g.wait()
	if !ok {
		return Handover{}, ErrNotOwned
	}
	return h, nil
}

// Handover takes over a group from its previous home. It returns false when the claim fails; another instance then
// claims the group without the bucket levels.
func (m *Manager) Handover(ctx context.Context, h Handover) bool {
	o, err := m.Acquire(ctx, h.Group, &h)
	if errors.Is(err, ErrOwned) {
		// An earlier attempt succeeded, but its response was lost.
		return m.ownsNewerThan(h.Group, h.Generation)
	}
	if err != nil {
		m.o.Logger.Warn("handover failed", "group", h.Group, "from", h.From, "error", err)
		return false
	}
	return o.Generation > h.Generation
}

func (m *Manager) ownsNewerThan(id upstream.GroupID, generation uint64) bool {
	g := m.find(id)
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.phase == phaseServing && g.claim.Generation > generation
}

// Owned lists the groups that this instance is the home of.
func (m *Manager) Owned() []Ownership {
	var out []Ownership
	for _, g := range *m.groups.Load() {
		g.mu.Lock()
		out = append(out, g.ownership())
		g.mu.Unlock()
	}
	return out
}

// Close ends all home roles immediately, without a handover.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	all := *m.groups.Load()
	m.groups.Store(&groups{})
	m.mu.Unlock()
	for _, g := range all {
		g.mu.Lock()
		g.endRole("closed")
		g.mu.Unlock()
	}
	for _, g := range all {
		g.wait()
	}
	m.tasks.Wait()
}

// startDrain stops accepting requests outside open transactions. It returns false if the group is not serving.
func (g *Group) startDrain() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.phase != phaseServing {
		return false
	}
	g.phase = phaseDraining
	g.refuseWaiting(errMoving)
	g.checkDrained()
	return true
}

// finishDrain ends the role and returns the state for the next home, or false if the role was lost while draining.
func (g *Group) finishDrain() (Handover, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.phase != phaseDraining {
		return Handover{}, false
	}
	for _, cn := range g.conns {
		if s := cn.session; s != nil && s.call == nil {
			g.rollBackIdle(s, "release")
		}
	}
	h := Handover{
		From:       g.o.Info.ID,
		Group:      g.id,
		Generation: g.claim.Generation,
		Buckets:    g.bucketLevels(g.now()),
		Floor:      g.floorPosition(),
	}
	g.record(Event{Kind: EventRelease, Cause: "planned", Text: "The home role was released; its successor gets the bucket levels."})
	g.endRole("released")
	return h, true
}

// floorPosition returns the highest acknowledged position.
func (g *Group) floorPosition() position.Position { return g.tracker.Acknowledged() }
