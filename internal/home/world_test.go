package home

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

// simulatedCluster is a set of managers in front of two fake groups, on a simulated clock.
type simulatedCluster struct {
	t        *testing.T
	is       *is.I
	groups   map[upstream.GroupID]*fakeGroup
	g        *fakeGroup
	ports    map[instance.ID]*fakePort
	snapshot atomic.Pointer[config.Snapshot]
	audit    auditLog
	lost     chan Loss
}

type auditLog struct {
	mu     sync.Mutex
	events []Event
}

func (l *auditLog) Record(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, e)
}

func (l *auditLog) count(k EventKind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.events {
		if e.Kind == k {
			n++
		}
	}
	return n
}

func testCluster() *config.Cluster {
	contract := config.Contract{RatePerSecond: 100000, Burst: 10000, Share: 1}
	c := &config.Cluster{
		Version:        1,
		Preset:         config.PresetOrdinary,
		FailureDomains: []config.FailureDomain{{Name: "d1"}, {Name: "d2"}, {Name: "d3"}},
	}
	for _, g := range []upstream.GroupID{"g1", "g2"} {
		c.Groups = append(c.Groups, upstream.Group{ID: g, Slots: 3, Connections: 20, Members: []upstream.Member{
			{ID: "a", FailureDomain: "d1"}, {ID: "b", FailureDomain: "d2"}, {ID: "c", FailureDomain: "d3"}}})
		c.Routes = append(c.Routes, config.Route{Database: "db-" + string(g), Group: g, Customers: []string{"c1", "c2"}})
	}
	for _, name := range []string{"c1", "c2"} {
		c.Customers = append(c.Customers, config.Customer{Name: name, Keys: []config.Key{{Name: "k"}},
			Contracts: map[config.Preset]config.Contract{config.PresetOrdinary: contract}})
	}
	return c
}

// simulate runs f in a synctest bubble with a simulated clock. All goroutines must end with f.
func simulate(t *testing.T, change func(*config.Cluster), f func(w *simulatedCluster)) {
	synctest.Test(t, func(t *testing.T) {
		w := &simulatedCluster{t: t, is: is.New(t), ports: make(map[instance.ID]*fakePort), lost: make(chan Loss, 10)}
		w.groups = map[upstream.GroupID]*fakeGroup{"g1": newFakeGroup("a", "b", "c"), "g2": newFakeGroup("a", "b", "c")}
		w.g = w.groups["g1"]
		w.configure(change)
		f(w)
		time.Sleep(5 * time.Second) // wait for delayed work of the fake groups
	})
}

// configure puts a new version of the test configuration in force, with change applied.
func (w *simulatedCluster) configure(change func(*config.Cluster)) {
	c := testCluster()
	if old := w.snapshot.Load(); old != nil {
		c.Version = old.Version() + 1
	}
	if change != nil {
		change(c)
	}
	w.snapshot.Store(config.NewSnapshot(c))
}

func (w *simulatedCluster) manager(id instance.ID, change func(*Options)) *Manager {
	w.ports[id] = &fakePort{g: w.g, unreachable: make(map[upstream.MemberID]bool)}
	o := Options{
		Info: instance.Info{ID: id},
		Port: func(g upstream.Group) upstream.Port {
			if g.ID != "g1" {
				return &fakePort{g: w.groups[g.ID]}
			}
			return w.ports[id]
		},
		Snapshot: w.snapshot.Load,
		Audit:    &w.audit,
		OnLost:   func(l Loss) { w.lost <- l },
		Seed:     1,
	}
	if change != nil {
		change(&o)
	}
	return NewManager(o)
}

// home returns a manager that owns g1, with full buckets and open connections.
func (w *simulatedCluster) home(id instance.ID) *Manager {
	m := w.manager(id, nil)
	w.acquire(m, "g1")
	return m
}

func (w *simulatedCluster) acquire(m *Manager, g upstream.GroupID) {
	_, err := m.Acquire(context.Background(), g, nil)
	w.is.NoErr(err)
	time.Sleep(2 * time.Second)
}

type recorder struct {
	bytes.Buffer
	// delay simulates a slow caller.
	delay time.Duration
}

func (r *recorder) Write(p []byte) (int, error) {
	time.Sleep(r.delay)
	return r.Buffer.Write(p)
}

// messageTypes returns the type bytes of the messages in the response.
func (r *recorder) messageTypes() string {
	var out []byte
	for p := r.Bytes(); len(p) >= 5; {
		n := int(p[1])<<24 | int(p[2])<<16 | int(p[3])<<8 | int(p[4])
		out = append(out, p[0])
		p = p[n+1:]
	}
	return string(out)
}

func query(session, text string) *request.Request {
	p, _ := (&pgproto3.Query{String: text}).Encode(nil)
	r := &request.Request{Session: request.SessionID(session), Trace: "t1", Customer: "c1", Key: "k", Route: "db-g1",
		Group: "g1", Messages: p, Timeout: 5 * time.Second}
	if len(text) > 6 && text[:6] == "SELECT" {
		r.Kind = request.KindRead
	}
	return r
}

func run(m *Manager, r *request.Request) (request.Result, string) {
	var a recorder
	res := m.Run(context.Background(), r, &a)
	return res, a.messageTypes()
}

// runConcurrently runs n concurrent calls of f and waits for all of them.
func runConcurrently(n int, f func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}

func sessionName(i int) string { return fmt.Sprintf("s%d", i) }
