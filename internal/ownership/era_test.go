package ownership

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/revision"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	modelLease    = 1600 * time.Millisecond
	modelMargin   = 250 * time.Millisecond
	modelRenewal  = 450 * time.Millisecond
	modelStep     = 50 * time.Millisecond
	modelSettling = 30 * time.Second
)

// Guards against a superseded owner that gets its group back because the store's copy holds its claim.
func TestAClaimOfAnEarlierEraIsNotInForce(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner("a")
	own := Claim{Group: "g", Owner: "a", Process: "p1", Revision: 7}
	p.SetClaim(own, epoch)
	p.SetAlive(own.OwnerProcess(), true, epoch)
	p.SetClaim(claim("g", "b", "p1", 9), epoch)

	p.NewEra(1, true, modelLease, epoch)
	own.Revision = revision.Of(1, 7)
	is.True(!own.InForce())
	p.Reappeared(own, modelLease, epoch)
	is.True(!p.OwnsAny())
	is.Equal(len(p.Plan(epoch.Add(modelLease-1))), 0) // b may have a lease that the store has forgotten
	actions := p.Plan(epoch.Add(10 * time.Second))
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Expected, own.Revision)
	is.Equal(actions[0].Expired, Process{}) // a liveness key of b says nothing about its lost claim
}

// Guards against a gap without an owner: the owner whose lease was valid claims its group again at once.
func TestTheOwnerClaimsAgainAtOnceInANewEra(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner("a")
	p.SetClaim(Claim{Group: "g", Owner: "a", Process: "p1", Revision: 7}, epoch)
	p.SetAlive(Process{Instance: "a", ID: "p1"}, true, epoch)
	p.NewEra(1, true, modelLease, epoch)
	is.True(!p.OwnsAny())
	is.Equal(len(p.Plan(epoch)), 1)

	p = newTestPlanner("a")
	p.SetClaim(Claim{Group: "g", Owner: "a", Process: "p1", Revision: 7}, epoch)
	p.NewEra(1, false, modelLease, epoch) // another one may have replaced it
	is.Equal(len(p.Plan(epoch.Add(modelLease-1))), 0)
}

// modelStore is the state of the store: the claim of one group, and the leases of liveness keys by process.
type modelStore struct {
	era, revision uint64
	claim         Claim
	leases        map[Process]time.Time
}

func (s modelStore) clone() modelStore {
	s.leases = maps.Clone(s.leases)
	return s
}

// modelProcess is a process with its view of the store.
type modelProcess struct {
	self       Process
	planner    *Planner
	era        uint64
	reaches    bool
	leased     bool
	validUntil time.Time
	renewAt    time.Time
}

// acts reports whether the process acts as owner under a valid lease.
func (m *modelProcess) acts(now time.Time) bool {
	return now.Before(m.validUntil) && m.planner.OwnsAny()
}

// TestTwoOwnersNeverActAcrossReturnsOfTheStore guards against two owners with valid leases while the store comes back from older copies,
// processes notice that at different times, lose the store, and are restarted.
func TestTwoOwnersNeverActAcrossReturnsOfTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newModelWorld()
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			w.disturb(t)
			w.step()
			if n := w.acting(); n > 1 {
				t.Fatalf("%d owners act at %v in era %d", n, w.now.Sub(epoch), w.store.era)
			}
		}
		for _, p := range w.processes {
			p.reaches = true
		}
		for end := w.now.Add(modelSettling); w.acting() != 1 && w.now.Before(end); {
			w.step()
		}
		if w.acting() != 1 {
			t.Fatalf("the group has no owner in era %d", w.store.era)
		}
	})
}

type modelWorld struct {
	now       time.Time
	store     modelStore
	copies    []modelStore
	processes []*modelProcess
	started   int
}

func newModelWorld() *modelWorld {
	w := &modelWorld{now: epoch, store: modelStore{revision: 1, leases: make(map[Process]time.Time)}}
	for range 3 {
		w.processes = append(w.processes, w.start(instance.ID(fmt.Sprint("i", len(w.processes)))))
	}
	return w
}

func (w *modelWorld) start(id instance.ID) *modelProcess {
	w.started++
	self := Process{Instance: id, ID: fmt.Sprint("p", w.started)}
	p := &modelProcess{self: self, planner: NewPlanner(Self{Instance: id, Process: self.ID}), era: w.store.era, reaches: true}
	p.planner.Start(w.store.era)
	p.planner.SetGroups([]upstream.GroupID{"g"}, w.now)
	return p
}

// disturb makes one event happen, most of the time none. Copies are at most ten seconds old.
func (w *modelWorld) disturb(t *rapid.T) {
	i := rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")
	switch rapid.IntRange(0, 24).Draw(t, "event") {
	case 0:
		w.processes[i].reaches = !w.processes[i].reaches
	case 1:
		w.copies = append(w.copies, w.store.clone())
	case 2:
		if len(w.copies) > 0 {
			w.restore(w.copies[rapid.IntRange(0, len(w.copies)-1).Draw(t, "copy")])
		}
	}
}

// restore replaces the store's state by a copy, whose leases run anew.
func (w *modelWorld) restore(c modelStore) {
	era := w.store.era + 1
	w.store = c.clone()
	w.store.era = era
	for p := range w.store.leases {
		w.store.leases[p] = w.now.Add(modelLease)
	}
	w.copies = nil
}

func (w *modelWorld) acting() int {
	n := 0
	for _, p := range w.processes {
		if p.acts(w.now) {
			n++
		}
	}
	return n
}

func (w *modelWorld) step() {
	w.now = w.now.Add(modelStep)
	for p, until := range w.store.leases {
		if !w.now.Before(until) {
			delete(w.store.leases, p)
		}
	}
	for _, p := range w.processes {
		if p.reaches {
			w.sync(p)
			w.renew(p)
			w.claim(p)
		}
	}
}

// sync passes the store's state to a process.
func (w *modelWorld) sync(p *modelProcess) {
	if p.era != w.store.era {
		p.planner.NewEra(w.store.era, w.now.Before(p.validUntil), modelLease, w.now)
		p.era, p.leased, p.validUntil = w.store.era, false, time.Time{}
	}
	c := w.store.claim
	known := p.planner.Claim("g")
	if c.Revision != 0 {
		c.Revision = revision.Of(w.store.era, c.Revision)
	}
	switch {
	case c.Owner == "" && known.Owner != "":
		p.planner.Removed("g", w.now)
	case c.Owner != "" && !c.InForce():
		p.planner.Reappeared(c, modelLease, w.now)
	case c.Revision > known.Revision:
		p.planner.SetClaim(c, w.now)
	}
	alive := make(map[Process]bool)
	for process := range w.store.leases {
		alive[process] = true
	}
	p.planner.SetAliveProcesses(alive, w.now)
}

func (w *modelWorld) renew(p *modelProcess) {
	if !p.leased || w.now.Before(p.renewAt) {
		return
	}
	if _, ok := w.store.leases[p.self]; !ok {
		p.leased, p.validUntil = false, time.Time{}
		p.planner.SetAlive(p.self, false, w.now)
		return
	}
	w.grant(p)
}

func (w *modelWorld) grant(p *modelProcess) {
	p.leased, p.validUntil, p.renewAt = true, w.now.Add(modelLease-modelMargin), w.now.Add(modelRenewal)
	w.store.leases[p.self] = w.now.Add(modelLease)
}

// claim carries out the claim that the planner requests, as node.writeClaim does.
func (w *modelWorld) claim(p *modelProcess) {
	for _, a := range p.planner.Plan(w.now) {
		_, alive := w.store.leases[a.Expired]
		stored := w.store.claim.Revision
		decided := revision.Number(a.Expected) == stored && (stored == 0 || revision.Era(a.Expected) == w.store.era) && !alive
		if decided {
			w.grant(p)
			w.store.revision++
			w.store.claim = Claim{Group: "g", Owner: p.self.Instance, Process: p.self.ID, Revision: w.store.revision, Era: w.store.era}
			p.planner.SetAlive(p.self, true, w.now)
			c := w.store.claim
			c.Revision = revision.Of(w.store.era, c.Revision)
			p.planner.SetClaim(c, w.now)
		}
		p.planner.ClaimDone("g", true, w.now)
	}
}
