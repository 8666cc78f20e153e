package usage

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/celerystep/celerystep/internal/instance"
)

var (
	errDown = errors.New("no answer")
	terms   = Settings{Window: 5 * time.Second, Late: 10 * time.Second, Lease: 3 * time.Second}
	// fleetStart is the true time at which a simulation starts, the beginning of a window.
	fleetStart = time.Unix(1_700_000_000, 0)
)

// fleet simulates instances, the store and the service in virtual time. It implements Store and Sender for one instance at a time, as
// the fields of node tell.
type fleet struct {
	t     *testing.T
	nodes []*node
	now   time.Duration

	// The store.
	value           []byte
	revision, clock uint64
	storeDown       bool
	storeLoses      bool
	saves           int
	lostClaims      int

	// The duty: the claim in the store.
	holder int
	token  uint64

	// The service.
	highest       uint64
	rejected      map[uint64]bool
	serviceDown   bool
	serviceLoses  bool
	reports       map[WindowID]Counts
	reportedAfter map[WindowID]time.Duration
	acts          []act

	truth map[WindowID]Counts
	// deliveries holds all deliveries, for replays.
	deliveries []Delivery
	// each is called after each step.
	each func()
	// pause delays the next delivery.
	pause time.Duration
	// slow statements are answered after this time.
	slow    time.Duration
	answers []answer
}

// answer is the future answer of a statement.
type answer struct {
	node     *node
	process  int
	arrived  time.Time
	customer string
	at       time.Duration
}

// act is an accepted report.
type act struct {
	holder instance.ID
	at     time.Duration
}

// node is a simulated instance.
type node struct {
	fleet *fleet
	index int
	*Reporter
	process int
	alive   bool
	quiet   bool
	// wall is how far its wall clock is ahead.
	wall time.Duration
	// believes is the token of an earlier claim that the node takes for current; 0 if it knows the claim.
	believes uint64
	cutOff   bool
}

func newSimulation(t *testing.T, n int) *fleet {
	f := &fleet{
		t: t, clock: 1, token: 1, truth: make(map[WindowID]Counts), reports: make(map[WindowID]Counts),
		reportedAfter: make(map[WindowID]time.Duration), rejected: make(map[uint64]bool), each: func() {},
	}
	for i := range n {
		f.nodes = append(f.nodes, &node{fleet: f, index: i})
		f.nodes[i].start()
	}
	return f
}

func (n *node) id() instance.ID { return instance.ID(fmt.Sprint("i", n.index)) }

// start starts a new process of the instance.
func (n *node) start() {
	n.process++
	n.alive = true
	n.Reporter = NewReporter(Options{
		Settings: terms, Self: Source{n.id(), fmt.Sprint("p", n.process)}, Store: n, Duty: n, Peers: n, Sender: n,
		Boot: func() time.Time { return time.Unix(0, 0).Add(time.Duration(n.index)*time.Hour + n.fleet.now) },
		Wall: func() time.Time { return fleetStart.Add(n.fleet.now + n.wall) },
		Log:  hclog.NewNullLogger(), Metrics: NewMetrics(prometheus.NewRegistry()),
	})
}

// Holder implements Duty.
func (n *node) Holder() Holder {
	f := n.fleet
	if n.believes > 0 {
		return Holder{Address: fmt.Sprint(n.index), Mine: true, Token: n.believes}
	}
	return Holder{Address: fmt.Sprint(f.holder), Mine: f.holder == n.index, Token: f.token}
}

// Renew implements Duty.
func (n *node) Renew() { n.fleet.claim(n.index) }

// claim makes the instance the holder under a new token.
func (f *fleet) claim(i int) {
	f.clock++
	f.holder, f.token = i, f.clock
}

// ReportUsage implements Peers.
func (n *node) ReportUsage(_ context.Context, address string, d Delivery) (Receipt, error) {
	f := n.fleet
	f.deliveries = append(f.deliveries, d)
	f.now += f.pause
	f.pause = 0
	var to int
	_, _ = fmt.Sscan(address, &to)
	if !f.nodes[to].alive || n.cutOff {
		return Receipt{}, errDown
	}
	return f.nodes[to].Receive(d), nil
}

// Load implements Store.
func (n *node) Load(context.Context) ([]byte, uint64, error) {
	if n.fleet.storeDown {
		return nil, 0, errDown
	}
	return n.fleet.value, n.fleet.revision, nil
}

// Save implements Store.
func (n *node) Save(_ context.Context, value []byte, revision, token uint64) (uint64, error) {
	f := n.fleet
	f.saves++
	switch {
	case f.storeDown:
		return 0, errDown
	case revision != f.revision:
		return 0, &ConflictError{Value: f.value, Revision: f.revision}
	case token != f.token:
		f.lostClaims++
		return 0, ErrClaimLost
	}
	f.clock++
	f.value, f.revision = value, f.clock
	if f.storeLoses {
		return 0, errDown
	}
	return f.revision, nil
}

// Report implements Sender.
func (n *node) Report(_ context.Context, id WindowID, counts Counts, token uint64) (Result, error) {
	f := n.fleet
	if f.serviceDown {
		return ResultUnknown, errDown
	}
	if token < f.highest {
		if f.rejected[token] {
			f.t.Errorf("%s called again with the rejected token %d", n.id(), token)
		}
		f.rejected[token] = true
		return ResultRejected, nil
	}
	f.highest = token
	f.acts = append(f.acts, act{n.id(), f.now})
	if before, ok := f.reports[id]; !ok {
		f.reports[id] = maps.Clone(counts)
		f.reportedAfter[id] = fleetStart.Add(f.now).Sub(terms.End(id))
	} else if !maps.Equal(before, counts) {
		f.t.Fatalf("window %d was reported with %v and with %v", id, before, counts)
	}
	if f.serviceLoses {
		return ResultUnknown, errDown
	}
	return ResultAccepted, nil
}

// run simulates until the given time since the start.
func (f *fleet) run(until time.Duration) {
	const step = 50 * time.Millisecond
	ctx := context.Background()
	for ; f.now < until; f.now += step {
		for _, n := range f.nodes {
			if !n.alive {
				continue
			}
			ms := f.now.Milliseconds()
			if !n.quiet {
				f.call(n, fmt.Sprint("c", (ms/50+int64(n.index))%3))
			}
			if (ms+int64(n.index)*150)%1000 == 0 {
				n.Deliver(ctx)
			}
			if ms%250 == 0 {
				n.updateLedger(ctx)
			}
			n.report(ctx)
		}
		f.each()
		for len(f.answers) > 0 && f.answers[0].at <= f.now {
			a := f.answers[0]
			f.answers = f.answers[1:]
			if a.node.process == a.process {
				a.node.Answered(a.arrived, a.customer, 1, 0)
			}
		}
	}
}

// call runs a statement of a caller of the instance.
func (f *fleet) call(n *node, customer string) {
	arrived := n.o.Boot()
	n.Arrived(arrived)
	if f.slow > 0 && customer == "c0" {
		f.answers = append(f.answers, answer{n, n.process, arrived, customer, f.now + f.slow})
	} else {
		n.Answered(arrived, customer, 1, 0)
	}
	id := terms.At(fleetStart.Add(f.now))
	if f.truth[id] == nil {
		f.truth[id] = make(Counts)
	}
	f.truth[id][customer]++
}

// check fails unless all windows that are due have been reported in time with the true counts, of which the given share may be
// missing.
func (f *fleet) check(tolerance float64) {
	f.t.Helper()
	for id := terms.At(fleetStart); terms.End(id).Add(terms.Late).Before(fleetStart.Add(f.now)); id++ {
		counts, ok := f.reports[id]
		if !ok {
			f.t.Errorf("window %d was not reported", id)
			continue
		}
		if after := f.reportedAfter[id]; after > terms.Late {
			f.t.Errorf("window %d was reported %v after its end", id, after)
		}
		for customer, n := range f.truth[id] {
			if got := counts[customer]; got > n || float64(got) < float64(n)*(1-tolerance) {
				f.t.Errorf("window %d: %s has %d, want %d", id, customer, got, n)
			}
		}
	}
	f.checkTurns()
}

// checkTurns fails if holders acted in the order A, B, A within the lease.
func (f *fleet) checkTurns() {
	f.t.Helper()
	last := make(map[instance.ID]time.Duration)
	for i, a := range f.acts {
		if at, ok := last[a.holder]; ok && f.acts[i-1].holder != a.holder && a.at-at < terms.Lease {
			f.t.Errorf("%s acted at %v and, after %s, at %v", a.holder, at, f.acts[i-1].holder, a.at)
		}
		last[a.holder] = a.at
	}
}
