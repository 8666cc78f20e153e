package matrix

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/failover"
	"github.com/celerystep/celerystep/internal/home"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/standin/group"
	"github.com/celerystep/celerystep/internal/upstream"
	"github.com/celerystep/celerystep/internal/upstream/pgport"
)

// Groups of a cell. The second one exists in the admission protocol only, where the first is the customers' main group.
const (
	mainGroup  upstream.GroupID = "g1"
	otherGroup upstream.GroupID = "g2"
)

const (
	// homeCount is the number of instances that may be home.
	homeCount = 3
	// idleInTransaction ends a transaction whose connection went silent, which would otherwise block writes.
	idleInTransaction = 300 * time.Millisecond
	// drainTime bounds a planned release.
	drainTime = 300 * time.Millisecond
	// connectionLimit leaves room for connections that stay open at a member after they went silent.
	connectionLimit = 30
)

// timing is that of the product divided by about two, so that cells are short. The silence stays above two and a half
// status intervals.
var timing = failover.Timing{
	HeartbeatTimeout:   250 * time.Millisecond,
	ProbeTimeout:       100 * time.Millisecond,
	OperationTimeout:   150 * time.Millisecond,
	StepTimeout:        400 * time.Millisecond,
	PartitionTimeout:   700 * time.Millisecond,
	IsolationTimeout:   250 * time.Millisecond,
	BackoffMin:         20 * time.Millisecond,
	BackoffMax:         200 * time.Millisecond,
	WriteHoldTimeout:   400 * time.Millisecond,
	SwitchoverRetryMin: 100 * time.Millisecond,
	SwitchoverRetryMax: time.Second,
	RetryInterval:      50 * time.Millisecond,
}

// homeInstance is an instance that may be home of groups.
type homeInstance struct {
	id      instance.ID
	manager *home.Manager
	gate    *gate
	// dead is true once it was killed; away while it is paused, which the others take for dead.
	dead, away atomic.Bool
	ports      []*pgport.Port
}

// world is the surroundings of one cell.
type world struct {
	cell   Cell
	random *rand.Rand
	groups map[upstream.GroupID]*group.Group
	order  []upstream.GroupID
	in     *injector

	snapshot atomic.Pointer[config.Snapshot]
	// tasks are goroutines of the surroundings, late what goes on after its home gave up.
	tasks, late sync.WaitGroup
	ctx         context.Context
	cancel      context.CancelFunc
	kick        chan struct{}

	mu    sync.Mutex
	homes []*homeInstance
	// current is the home of each group as the instances know it; moving is true during a planned move.
	current map[upstream.GroupID]*homeInstance
	moving  map[upstream.GroupID]bool
	kept    []upstream.Conn
	heals   []func()
	// next numbers the instances.
	next        int
	contracts   []check.Contract
	withdrawals []check.Withdrawal
	// isolated is the member that a fault cut off.
	isolated upstream.MemberID
	// draining is the member that a fault told to drain.
	draining      upstream.MemberID
	drainingSince time.Time
	// changes orders the changes of the configuration.
	changes   sync.Mutex
	problems  []Problem
	undecided int
}

func newWorld(cell Cell, seed uint64) (*world, error) {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		cell:    cell,
		random:  rand.New(rand.NewPCG(seed, 0)),
		groups:  make(map[upstream.GroupID]*group.Group),
		ctx:     ctx,
		cancel:  cancel,
		kick:    make(chan struct{}, 1),
		current: make(map[upstream.GroupID]*homeInstance),
		moving:  make(map[upstream.GroupID]bool),
	}
	w.in = &injector{surroundings: w}
	for _, i := range cell.Injections {
		w.in.plan = append(w.in.plan, &planned{Injection: i, skip: w.skip(i.Step)})
	}
	if err := w.startGroups(); err != nil {
		cancel()
		return nil, err
	}
	w.configure(w.cluster())
	for range homeCount {
		w.addHome()
	}
	return w, nil
}

// skip draws the number of occurrences of a step that pass before its fault. Steps that are rare in a protocol fail at
// once.
func (w *world) skip(s Step) int {
	switch s {
	case StepPromote, StepFollow, StepHandover:
		return 0
	case StepSendReset, StepReceiveReset, StepFence, StepClaim, StepAdmit:
		return w.random.IntN(2)
	default:
		return w.random.IntN(3)
	}
}

func (w *world) startGroups() error {
	w.order = []upstream.GroupID{mainGroup}
	if w.cell.Protocol == ProtocolAdmission {
		w.order = append(w.order, otherGroup)
	}
	for _, id := range w.order {
		g, err := group.Start(group.Options{
			ID: id,
			Members: []group.MemberOptions{
				{ID: "a", FailureDomain: "d1"}, {ID: "b", FailureDomain: "d2"}, {ID: "c", FailureDomain: "d3"},
			},
			Connections:              connectionLimit,
			IdleInTransactionTimeout: idleInTransaction,
			Schema:                   schema(),
		})
		if err != nil {
			w.closeGroups()
			return errors.Wrapf(err, "start group %s", id)
		}
		w.groups[id] = g
	}
	return nil
}

func (w *world) closeGroups() {
	for id, g := range w.groups {
		if err := g.Err(); err != nil {
			w.problem(AssertStandin, "group %s: %s", id, err)
		}
		_ = g.Close()
	}
}

// addHome adds an instance without groups.
func (w *world) addHome() *homeInstance {
	w.mu.Lock()
	w.next++
	h := &homeInstance{id: instance.ID(fmt.Sprintf("h%d", w.next)), gate: newGate()}
	seed := w.random.Uint64()
	w.mu.Unlock()
	h.manager = home.NewManager(home.Options{
		Info:         instance.Info{ID: h.id},
		Port:         func(g upstream.Group) upstream.Port { return w.openPort(h) },
		Snapshot:     w.snapshot.Load,
		Locate:       w.locate,
		Admitter:     &admitter{w: w, from: h},
		OnLost:       func(home.Loss) { w.wake() },
		Seed:         seed,
		Timing:       timing,
		DrainTimeout: drainTime,
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.homes = append(w.homes, h)
	return h
}

func (w *world) openPort(h *homeInstance) upstream.Port {
	p := pgport.New(pgport.Options{ConnectTimeout: time.Second})
	w.mu.Lock()
	defer w.mu.Unlock()
	h.ports = append(h.ports, p)
	return newPort(p, w.in, h, w)
}

// keep holds a connection that its home closed while it was silent.
func (w *world) keep(c upstream.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kept = append(w.kept, c)
}

func (w *world) locate(id upstream.GroupID) (instance.ID, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.current[id]
	if h == nil {
		return "", false
	}
	return h.id, true
}

func (w *world) homeOf(id upstream.GroupID) *homeInstance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current[id]
}

// live lists the instances that are neither dead nor paused, those after the group's home first.
func (w *world) live(id upstream.GroupID) []*homeInstance {
	w.mu.Lock()
	defer w.mu.Unlock()
	start := 0
	for i, h := range w.homes {
		if h == w.current[id] {
			start = i + 1
		}
	}
	var list []*homeInstance
	for i := range w.homes {
		h := w.homes[(start+i)%len(w.homes)]
		if !h.dead.Load() && !h.away.Load() {
			list = append(list, h)
		}
	}
	return list
}

func (w *world) setHome(id upstream.GroupID, h *homeInstance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current[id] = h
}

// wake makes the coordinator look at the groups soon.
func (w *world) wake() {
	select {
	case w.kick <- struct{}{}:
	default:
	}
}

// firstHomes claims the groups with full buckets, as after a planned move, so that the workload starts at once. In the
// admission protocol each group has another home.
func (w *world) firstHomes() error {
	for i, id := range w.order {
		h := w.homes[i]
		full := home.Handover{Group: id}
		for name, c := range w.bursts() {
			full.Buckets = append(full.Buckets, home.BucketLevel{Customer: name, MicroTokens: int64(c) * 1e6})
		}
		ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
		_, err := h.manager.Acquire(ctx, id, &full)
		cancel()
		if err != nil {
			return errors.Wrapf(err, "first claim of %s", id)
		}
		w.setHome(id, h)
	}
	return nil
}

// coordinate gives each group a home whenever it has none, as the instances' coordinators would.
func (w *world) coordinate() {
	for w.ctx.Err() == nil {
		for _, id := range w.order {
			w.ensureHome(id)
		}
		t := time.NewTimer(20 * time.Millisecond)
		select {
		case <-w.ctx.Done():
		case <-w.kick:
		case <-t.C:
		}
		t.Stop()
	}
}

func (w *world) ensureHome(id upstream.GroupID) {
	w.mu.Lock()
	h, moving := w.current[id], w.moving[id]
	w.mu.Unlock()
	if moving || h != nil && !h.dead.Load() && !h.away.Load() && owns(h, id) {
		return
	}
	candidates := w.live(id)
	if len(candidates) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
	defer cancel()
	next := candidates[0]
	if _, err := next.manager.Acquire(ctx, id, nil); err == nil || errors.Is(err, home.ErrOwned) {
		w.setHome(id, next)
	}
}

func owns(h *homeInstance, id upstream.GroupID) bool {
	for _, o := range h.manager.Owned() {
		if o.Group == id {
			return true
		}
	}
	return false
}

// close ends all parts and reports homes whose goroutines do not end.
func (w *world) close() {
	w.cancel()
	w.mu.Lock()
	homes := append([]*homeInstance(nil), w.homes...)
	w.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, h := range homes {
			h.gate.open()
			h.manager.Close()
		}
		w.tasks.Wait()
		w.late.Wait()
	}()
	select {
	case <-done:
	case <-time.After(closeLimit):
		w.problem(AssertGoroutines, "goroutines did not end within %s", closeLimit)
	}
	w.mu.Lock()
	kept := w.kept
	w.mu.Unlock()
	for _, h := range homes {
		for _, p := range h.ports {
			p.Close()
		}
	}
	for _, c := range kept {
		_ = c.Close()
	}
	w.closeGroups()
}

// closeLimit is longer than any timeout of a home.
const closeLimit = 5 * time.Second
