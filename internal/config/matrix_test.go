package config

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/celerystep/celerystep/internal/platform/platformtest"
)

// spreadBound is the time within which an accepted change is in force everywhere once no fault is active (G14).
const spreadBound = 4 * time.Second

// step names the call at which faults strike.
type step struct {
	name, op, prefix string
}

var matrixSteps = []step{
	{"read root", "get", rootKey},
	{"write chunk", "swap", chunkPrefix},
	{"write history", "swap", historyPrefix},
	{"replace root", "swap", rootKey},
	{"watch answer", "watch", rootKey},
	{"read chunk", "get", chunkPrefix},
}

var matrixMoments = []string{"before send", "before answer", "after answer"}

var matrixFaults = []string{"down", "slow", "answer lost", "racing operator", "restart with older value", "instance starts from old copy"}

// cell is one row of the fault matrix.
type cell struct {
	step   step
	moment string
	faults []string
}

func (c cell) String() string {
	return fmt.Sprintf("%s / %s / %s", c.step.name, c.moment, strings.Join(c.faults, " + "))
}

func matrixCells() []cell {
	var out []cell
	for _, s := range matrixSteps {
		for _, m := range matrixMoments {
			for i, f := range matrixFaults {
				out = append(out, cell{s, m, []string{f}})
				for _, g := range matrixFaults[i+1:] {
					out = append(out, cell{s, m, []string{f, g}})
				}
			}
		}
	}
	return out
}

// Guards against a version that goes down, an accepted change that is lost, and one that is not in force everywhere
// within the bound, under each fault and each pair of faults at each step of a change.
func TestFaultMatrix(t *testing.T) {
	cells := matrixCells()
	held := 0
	for _, c := range cells {
		ok := t.Run(c.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runCell(t, c) })
		})
		if ok {
			held++
		}
	}
	t.Logf("configuration fault matrix: %d cells run, %d held", len(cells), held)
}

// injector strikes once at the step and moment of its cell.
type injector struct {
	cell  cell
	fleet *fleet
	old   platformtest.Snapshot
	armed atomic.Bool
	// down and slow are true while these faults are active; over is closed when all faults have ended.
	down, slow, lose atomic.Bool
	struck           chan struct{}
	racer            chan bool
}

func (x *injector) hook() platformtest.Hook {
	return platformtest.Hook{Before: x.before, After: x.after}
}

func (x *injector) before(ctx context.Context, c platformtest.Call) error {
	if x.matches(c, "before send") {
		x.strike()
		if x.lose.Swap(false) {
			return errLost // the request itself is lost
		}
	}
	if x.slow.Load() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(3 * time.Second):
		}
	}
	if x.down.Load() {
		return errLost
	}
	return nil
}

func (x *injector) after(_ context.Context, c platformtest.Call) error {
	if x.matches(c, "after answer") {
		time.AfterFunc(time.Millisecond, x.strike)
	}
	if x.matches(c, "before answer") {
		x.strike()
	}
	if x.lose.Swap(false) || x.down.Load() {
		return errLost
	}
	return nil
}

// matches consumes the arming at the cell's moment.
func (x *injector) matches(c platformtest.Call, moment string) bool {
	return moment == x.cell.moment && c.Op == x.cell.step.op && strings.HasPrefix(c.Key, x.cell.step.prefix) &&
		x.armed.Swap(false)
}

func (x *injector) strike() {
	for _, f := range x.cell.faults {
		switch f {
		case "down":
			x.down.Store(true)
			time.AfterFunc(3*time.Second, func() { x.down.Store(false) })
		case "slow":
			x.slow.Store(true)
			time.AfterFunc(6*time.Second, func() { x.slow.Store(false) })
		case "answer lost":
			x.lose.Store(true)
		case "racing operator":
			x.fleet.wg.Go(x.race)
		case "restart with older value":
			x.fleet.store.Restore(x.old)
		case "instance starts from old copy":
			x.fleet.store.Restore(x.old)
			x.fleet.wg.Go(func() { x.fleet.replace("p1") })
		}
	}
	close(x.struck)
}

func (x *injector) race() {
	x.racer <- x.fleet.change(x.fleet.ctx, "racer", setRate(1, 77))
}

// runCell makes one change before the fault and one during it, and checks what every keeper has in force at the end.
func runCell(t *testing.T, c cell) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
	store, _ := startRepository(t, 3)
	old := store.Snapshot()
	f := newFleet(t, ctx, store)
	defer f.wg.Wait()
	defer cancel()
	if !f.change(ctx, "a", setRate(0, 11)) {
		t.Fatal("the first change did not come into force")
	}
	x := &injector{cell: c, fleet: f, old: old, struck: make(chan struct{}), racer: make(chan bool, 1)}
	store.SetHook(x.hook())
	x.armed.Store(true)
	withdrawal := func(c *Cluster) error { c.Customers[0].Keys[0].Withdrawn = true; return nil }
	if !f.change(ctx, "b", withdrawal) {
		t.Error("the change did not come into force")
	}
	<-x.struck
	x.finish(t)
	checkEnd(t, f, c)
}

// finish waits for the end of the faults and of the racing operator's change.
func (x *injector) finish(t *testing.T) {
	for _, f := range x.cell.faults {
		if f == "racing operator" && !<-x.racer {
			t.Error("the racing operator's change did not come into force")
		}
	}
	for x.down.Load() || x.slow.Load() {
		time.Sleep(10 * time.Millisecond)
	}
}

// checkEnd checks that all accepted changes are in force on all keepers within the bound and that the store agrees.
func checkEnd(t *testing.T, f *fleet, c cell) {
	raced := strings.Contains(c.String(), "racing operator")
	complete := func(s *Snapshot) bool {
		if k, _ := s.Contract("customer-0000"); k.RatePerSecond != 11 {
			return false
		}
		k, _ := s.Contract("customer-0001")
		_, valid := s.Key("customer-0000", "key-1")
		return !valid && (!raced || k.RatePerSecond == 77)
	}
	if _, ok := f.await(spreadBound, func() bool { return f.everywhere(complete) }); !ok {
		t.Errorf("not all accepted changes are in force everywhere after %s: %s", spreadBound, f.state())
	}
	repaired := func() bool {
		stored, err := NewRepository(f.store).Load(f.ctx)
		return err == nil && stored.Cluster != nil && complete(NewSnapshot(stored.Cluster)) &&
			f.everywhere(func(s *Snapshot) bool { return s.Version() == stored.Version() })
	}
	if _, ok := f.await(2*readInterval, repaired); !ok {
		t.Errorf("the store was not repaired: %s", f.state())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, text := range f.faults {
		t.Error(text)
	}
}

func (f *fleet) state() string {
	var out []string
	for _, n := range f.all() {
		out = append(out, fmt.Sprintf("%s:%d/%s", n.id, n.keeper.Ref().Version, n.keeper.Ref().Root.Short()))
	}
	return strings.Join(out, " ")
}
