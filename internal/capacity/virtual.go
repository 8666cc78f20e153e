// Package capacity measures what the control plane costs at sizes that do not run on one machine.
package capacity

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/membership"
)

// Leg is one direction of a call between two instances.
type Leg struct {
	Now    time.Time
	From   instance.ID
	To     instance.ID
	Kind   membership.CallKind
	Answer bool
}

// Delivery says what becomes of one direction of a call.
type Delivery struct {
	Lost      bool
	Duplicate bool
	Delay     time.Duration
}

// Traffic counts what one instance sent and received. Body bytes are those of encoded messages, without headers.
type Traffic struct {
	CallsSent     int
	CallsReceived int
	BodyBytes     int
}

// Node is one instance of a virtual network.
type Node struct {
	Info    instance.Info
	Machine *membership.Machine
	Traffic Traffic
	// Incarnation is that of the start of the node's process.
	Incarnation uint64
	// OnChange is called after each step of the machine, if set.
	OnChange func(now time.Time, c membership.Changes)

	up      bool
	paused  bool
	backlog []func()
	// life distinguishes the processes that ran one after another under the same id.
	life int
}

// Up reports whether the node's process runs.
func (n *Node) Up() bool { return n.up }

// Network runs membership machines in virtual time in one goroutine. It is a fake of the runtime and of the network
// for tests and measurements of the pure module.
type Network struct {
	Now   time.Time
	Nodes []*Node
	// Deliver decides about each direction of a call. Nil delivers all after one millisecond.
	Deliver func(Leg) Delivery

	byID   map[instance.ID]*Node
	events eventHeap
	order  uint64
	rng    *rand.Rand
}

// NewNetwork returns an empty network. Its time starts at a fixed date.
func NewNetwork(seed uint64) *Network {
	return &Network{
		Now:  time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		byID: make(map[instance.ID]*Node),
		rng:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// Add puts an instance on the network without starting it.
func (w *Network) Add(info instance.Info) *Node {
	n := &Node{Info: info}
	w.Nodes = append(w.Nodes, n)
	w.byID[info.ID] = n
	return n
}

// Rand returns the random numbers of the network.
func (w *Network) Rand() *rand.Rand { return w.rng }

// Node returns the instance with the id.
func (w *Network) Node(id instance.ID) *Node { return w.byID[id] }

// Start runs a new process of the node, with the present time as incarnation.
func (w *Network) Start(n *Node) {
	n.Incarnation = uint64(w.Now.UnixMilli())
	n.Machine = membership.New(w.Now, membership.Config{
		Self:        n.Info,
		Incarnation: n.Incarnation,
		Seed:        w.rng.Uint64(),
	})
	n.up = true
	n.paused = false
	n.backlog = nil
	n.life++
	w.tick(n, n.life, time.Duration(w.rng.Int64N(int64(membership.TickInterval))))
}

// Stop ends the node's process. When graceful, it tells its peers.
func (w *Network) Stop(n *Node, graceful bool) {
	if graceful {
		w.perform(n, n.Machine.Stop(w.Now))
	}
	n.up = false
}

// Pause stops the node from running until Resume; what arrives meanwhile waits.
func (w *Network) Pause(n *Node) { n.paused = true }

// Resume lets a paused node continue with what has arrived.
func (w *Network) Resume(n *Node) {
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	for _, f := range backlog {
		f()
	}
}

// Run advances the time by d.
func (w *Network) Run(d time.Duration) { w.RunUntil(d, func() bool { return false }) }

// RunUntil advances the time until done, which is asked each TickInterval, or by at most limit. It returns the time
// passed and whether done was true.
func (w *Network) RunUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	start := w.Now
	end := start.Add(limit)
	for check := start; !check.After(end); check = check.Add(membership.TickInterval) {
		for len(w.events) > 0 && !w.events[0].at.After(check) {
			e := heap.Pop(&w.events).(event)
			w.Now = e.at
			e.run()
		}
		w.Now = check
		if done() {
			return w.Now.Sub(start), true
		}
	}
	return limit, false
}

// After runs f when d has passed.
func (w *Network) After(d time.Duration, f func()) {
	w.order++
	heap.Push(&w.events, event{at: w.Now.Add(d), order: w.order, run: f})
}

// on runs f on the node if its process is the same as at the time of scheduling, or when it is resumed.
func (w *Network) on(n *Node, life int, f func()) {
	if !n.up || n.life != life {
		return
	}
	if n.paused {
		n.backlog = append(n.backlog, func() { w.on(n, life, f) })
		return
	}
	f()
	if n.OnChange != nil {
		n.OnChange(w.Now, n.Machine.Changes())
	}
}

func (w *Network) tick(n *Node, life int, delay time.Duration) {
	w.After(delay, func() {
		if !n.up || n.life != life {
			return
		}
		if !n.paused {
			w.on(n, life, func() { w.perform(n, n.Machine.Tick(w.Now)) })
		}
		w.tick(n, life, membership.TickInterval)
	})
}

// perform sends the calls of a node, as the runtime does.
func (w *Network) perform(n *Node, calls []membership.Call) {
	for _, c := range calls {
		w.send(n, c, func(r membership.Reply) { w.perform(n, n.Machine.HandleReply(w.Now, c, r)) })
	}
}

// send delivers a call and passes its result to done exactly once.
func (w *Network) send(n *Node, c membership.Call, done func(membership.Reply)) {
	life, finished := n.life, false
	finish := func(r membership.Reply) {
		w.on(n, life, func() {
			if !finished {
				finished = true
				done(r)
			}
		})
	}
	n.Traffic.CallsSent++
	n.Traffic.BodyBytes += c.Message.Size() + len(c.Target)
	w.After(c.Timeout, func() { finish(membership.Reply{}) })
	to := w.byID[c.To.ID]
	w.leg(Leg{From: n.Info.ID, To: to.Info.ID, Kind: c.Kind}, func() {
		w.on(to, to.life, func() { w.receive(n, to, c, finish) })
	})
}

// receive handles a call at the receiver and sends the answer back.
func (w *Network) receive(n, to *Node, c membership.Call, finish func(membership.Reply)) {
	to.Traffic.CallsReceived++
	to.Traffic.BodyBytes += c.Message.Size() + len(c.Target)
	answer := func(r membership.Reply) {
		to.Traffic.BodyBytes += r.Message.Size()
		w.leg(Leg{From: to.Info.ID, To: n.Info.ID, Kind: c.Kind, Answer: true}, func() {
			n.Traffic.BodyBytes += r.Message.Size()
			finish(r)
		})
	}
	if !c.Kind.IsProbe() {
		answer(membership.Reply{OK: true, Message: to.Machine.Gossip(w.Now, c.Message)})
		return
	}
	reply := membership.Reply{OK: true, Message: to.Machine.Probe(w.Now, c.Message)}
	if c.Target == "" {
		answer(reply)
		return
	}
	relay, ok := to.Machine.RelayProbe(w.Now, c.Target)
	if !ok {
		answer(reply)
		return
	}
	w.send(to, relay, func(r membership.Reply) {
		w.perform(to, to.Machine.HandleReply(w.Now, relay, r))
		reply.Reached = r.OK
		answer(reply)
	})
}

// leg carries one direction of a call.
func (w *Network) leg(l Leg, arrive func()) {
	l.Now = w.Now
	d := Delivery{Delay: time.Millisecond}
	if w.Deliver != nil {
		d = w.Deliver(l)
	}
	if d.Lost {
		return
	}
	w.After(d.Delay, arrive)
	if d.Duplicate {
		w.After(d.Delay+time.Millisecond, arrive)
	}
}

// event is something that happens at a time; order keeps events of the same time in the order of scheduling.
type event struct {
	at    time.Time
	order uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
