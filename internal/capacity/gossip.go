package capacity

import (
	"fmt"
	"io"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/membership"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/upstream"
)

// GossipSizes are the numbers of instances at which the control plane is measured.
var GossipSizes = []int{50, 100, 200, 400, 800, 1200}

const (
	// gossipDomains is the number of failure domains of the measured fleet (design page, section 14).
	gossipDomains = 10
	// groupsPerInstance scales 2,300 groups at 1,200 instances.
	groupsPerInstance = 2300.0 / 1200.0
	// steadyTime is the time over which the steady state is measured; it holds two exchanges of each instance.
	steadyTime = 20 * time.Second
	// scenarioLimit bounds one scenario in virtual time.
	scenarioLimit = 2 * time.Minute
	// cutTime is how long a failure domain stays cut off.
	cutTime = 30 * time.Second
	// peakWindow is the number of seconds of WindowBytesPerSecond.
	peakWindow = 5
	// claimDelay is the time after which the homes of lost instances are announced anew: detection and a claim.
	claimDelay = 1500 * time.Millisecond
	// restartDrain and restartGap are the times between leaving, end and new start of a restarted instance.
	restartDrain = 500 * time.Millisecond
	restartGap   = time.Second
)

// GossipResult is the cost of one scenario. Bytes count both directions, bodies and CallOverheadBytes for each call.
type GossipResult struct {
	Instances int
	Scenario  string
	// Virtual is the virtual time that the figures cover.
	Virtual time.Duration
	// BytesPerSecond is the mean of an instance, WindowBytesPerSecond its mean in the worst peakWindow seconds,
	// PeakBytesPerSecond in the worst second, and WorstBytesPerSecond that of the worst instance in its worst second.
	BytesPerSecond       float64
	WindowBytesPerSecond float64
	PeakBytesPerSecond   float64
	WorstBytesPerSecond  float64
	CallsPerSecond       float64
	// CPU is the processor time of an instance for each second of virtual time, the network of the measurement and
	// the garbage collector included, encoding and sockets not included.
	CPU time.Duration
	// Spread is the time until all instances knew and MostSpread until 99 % knew; 0 when the scenario has none. With
	// restarts it counts from the last start, with a cut or a death from its beginning.
	Spread     time.Duration
	MostSpread time.Duration
	// WrongDeaths counts live, connected instances that some instance took for dead, once for each pair.
	WrongDeaths int
}

// MeasureGossip runs all scenarios with n instances. Equal seeds give equal traffic.
func MeasureGossip(n int, seed uint64) ([]GossipResult, error) {
	scenarios := []struct {
		name string
		run  func(*gossipFleet) error
	}{
		{"steady", (*gossipFleet).steady},
		{"one death", (*gossipFleet).oneDeath},
		{"one configuration", (*gossipFleet).oneConfiguration},
		{"5 % restarted", (*gossipFleet).restarts},
		{"domain cut off", (*gossipFleet).cutDomain},
		{"domain healed", (*gossipFleet).healDomain},
	}
	var results []GossipResult
	f := newGossipFleet(n, seed)
	for _, s := range scenarios {
		f.begin()
		if err := s.run(f); err != nil {
			return results, errors.Wrapf(err, "%s with %d instances", s.name, n)
		}
		results = append(results, f.end(s.name))
	}
	return results, nil
}

// WriteGossip prints results as a table.
func WriteGossip(w io.Writer, results []GossipResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "instances\tscenario\tvirtual s\tbytes/s\tworst 5 s\tpeak bytes/s\tworst bytes/s\tcalls/s\tCPU us/s\t99 % ms\tall ms\twrong deaths\t")
	for _, r := range results {
		fmt.Fprintf(t, "%d\t%s\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%d\t%d\t%d\t\n",
			r.Instances, r.Scenario, r.Virtual.Seconds(), r.BytesPerSecond, r.WindowBytesPerSecond,
			r.PeakBytesPerSecond, r.WorstBytesPerSecond, r.CallsPerSecond, float64(r.CPU.Nanoseconds())/1000,
			r.MostSpread.Milliseconds(), r.Spread.Milliseconds(), r.WrongDeaths)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	return nil
}

// gossipFleet is a fleet in a virtual network with its meters.
type gossipFleet struct {
	*Network
	n      int
	cutOff instance.FailureDomain

	spread      time.Duration
	mostSpread  time.Duration
	wrongDeaths int
	started     time.Time
	cpuStart    time.Duration
	total       Traffic
	last        []Traffic
	seconds     []float64
	worst       float64
	nextSecond  time.Time
}

// newGossipFleet returns a fleet whose instances have all joined and that is quiet.
func newGossipFleet(n int, seed uint64) *gossipFleet {
	f := &gossipFleet{Network: NewNetwork(seed), n: n}
	f.addNodes()
	view := f.fullView()
	for _, node := range f.Nodes {
		f.Start(node)
		node.Machine.Preload(f.Now, view)
		node.Machine.ApplyInstanceList(f.Now, f.list())
		node.OnChange = func(now time.Time, c membership.Changes) { f.watch(node, c) }
	}
	f.Deliver = f.deliver
	return f
}

// gossipInfo returns the i-th instance; ids and addresses have the length of real ones.
func gossipInfo(i int) instance.Info {
	domain := i % gossipDomains
	return instance.Info{
		ID:            instance.ID(fmt.Sprintf("region-0%d-proxy-%04d", domain%3, i)),
		FailureDomain: instance.FailureDomain(fmt.Sprintf("region-0%d-zone-%d", domain%3, domain)),
		PeerAddress:   fmt.Sprintf("10.20.%d.%d:7420", i/200, i%200),
		CallerAddress: fmt.Sprintf("10.20.%d.%d:5432", i/200, i%200),
	}
}

// fullView returns a view with all instances and homes, as of the present time.
func (f *gossipFleet) fullView() *membership.View {
	incarnation := uint64(f.Now.UnixMilli())
	m := membership.New(f.Now, membership.Config{Self: f.Nodes[0].Info, Incarnation: incarnation})
	for _, node := range f.Nodes {
		record := membership.Member{
			ID: node.Info.ID, Incarnation: incarnation, Info: node.Info, InfoIncarnation: incarnation,
		}
		m.Gossip(f.Now, &membership.Message{From: node.Info.ID, Members: []membership.Member{record}})
	}
	for i := range f.groups() {
		m.AnnounceHome(f.Now, f.home(i, 1, f.Nodes[i%f.n]))
	}
	m.AnnounceConfig(membership.ConfigVersion{Version: 1, OperationID: "initial", Root: "root"})
	return m.View()
}

func (f *gossipFleet) groups() int { return int(float64(f.n) * groupsPerInstance) }

// home returns the record of the i-th group.
func (f *gossipFleet) home(i int, generation uint64, owner *Node) membership.Home {
	return membership.Home{
		Group:      upstream.GroupID(fmt.Sprintf("group-%05d", i)),
		Owner:      owner.Info.ID,
		Generation: generation,
		Primary:    "member-1",
		Term:       1,
	}
}

// list returns the platform's list; it shows all instances all the time, as a lagging list does.
func (f *gossipFleet) list() []platform.InstanceEntry {
	var entries []platform.InstanceEntry
	for _, node := range f.Nodes {
		entries = append(entries, platform.InstanceEntry{Info: node.Info})
	}
	return entries
}

func (f *gossipFleet) deliver(l Leg) Delivery {
	if f.cutOff == "" {
		return Delivery{Delay: time.Millisecond}
	}
	from, to := f.Node(l.From), f.Node(l.To)
	cut := (from.Info.FailureDomain == f.cutOff) != (to.Info.FailureDomain == f.cutOff)
	return Delivery{Lost: cut, Delay: time.Millisecond}
}

// watch counts instances that are taken for dead although they run and are not cut off from the observer.
func (f *gossipFleet) watch(observer *Node, c membership.Changes) {
	for _, change := range c.MemberChanges {
		about := f.Node(change.ID)
		cut := f.cutOff != "" && (observer.Info.FailureDomain == f.cutOff) != (about.Info.FailureDomain == f.cutOff)
		if change.To == instance.StateDead && about.Up() && !cut && change.Incarnation >= about.Incarnation {
			f.wrongDeaths++
		}
	}
}

func (f *gossipFleet) steady() error {
	f.Run(steadyTime)
	return nil
}

// oneDeath ends an instance without notice and measures until all others know.
func (f *gossipFleet) oneDeath() error {
	victim := f.Nodes[0]
	f.Stop(victim, false)
	err := f.await(func(n *Node) bool { return n.Machine.View().State(victim.Info.ID) == instance.StateDead })
	f.Run(5 * time.Second)
	return err
}

// oneConfiguration announces a version at one instance and measures until all others know.
func (f *gossipFleet) oneConfiguration() error {
	f.Nodes[1].Machine.AnnounceConfig(membership.ConfigVersion{
		Version:     2,
		OperationID: "second",
		Root:        string(make([]byte, 64)),
	})
	err := f.await(func(n *Node) bool { return n.Machine.View().Config().Version == 2 })
	f.Run(5 * time.Second)
	return err
}

// restarts replaces 5 % of the instances within a second and measures until all instances agree on who lives.
func (f *gossipFleet) restarts() error {
	count := max(1, f.n/20)
	for i := range count {
		node := f.Nodes[2+i*(f.n-2)/count]
		start := time.Duration(i) * time.Second / time.Duration(count)
		f.After(start, func() { node.Machine.Leave(f.Now) })
		f.After(start+restartDrain, func() { f.Stop(node, true) })
		f.After(start+restartDrain+restartGap, func() {
			f.Start(node)
			node.Machine.ApplyInstanceList(f.Now, f.list())
		})
	}
	f.Run(time.Second + restartDrain + restartGap)
	err := f.awaitAllLive()
	f.Run(5 * time.Second)
	return err
}

// cutDomain cuts off one failure domain, claims its homes at others, and measures until all others take its instances
// for dead and know the new homes.
func (f *gossipFleet) cutDomain() error {
	f.cutOff = f.Nodes[3].Info.FailureDomain
	cut := func(n *Node) bool { return n.Info.FailureDomain == f.cutOff }
	var moved []membership.Home
	for i := range f.groups() {
		if cut(f.Nodes[i%f.n]) {
			moved = append(moved, f.home(i, 2, f.Nodes[(i+1)%f.n]))
		}
	}
	f.After(claimDelay, func() {
		for _, h := range moved {
			f.Node(h.Owner).Machine.AnnounceHome(f.Now, h)
		}
	})
	err := f.await(func(n *Node) bool {
		view := n.Machine.View()
		for _, node := range f.Nodes {
			if cut(node) && view.State(node.Info.ID) != instance.StateDead {
				return cut(n)
			}
		}
		for _, h := range moved {
			if known, _ := view.Home(h.Group); known != h {
				return cut(n)
			}
		}
		return true
	})
	f.Run(cutTime)
	return err
}

// healDomain ends the cut and measures until all instances agree that all live.
func (f *gossipFleet) healDomain() error {
	f.cutOff = ""
	err := f.awaitAllLive()
	f.Run(5 * time.Second)
	return err
}

func (f *gossipFleet) awaitAllLive() error {
	up := 0
	for _, node := range f.Nodes {
		if node.Up() {
			up++
		}
	}
	return f.await(func(n *Node) bool {
		view := n.Machine.View()
		return !view.CutOff && view.Joined && len(view.Live()) == up
	})
}

// await runs until the condition holds at all instances that run and notes the time.
func (f *gossipFleet) await(known func(*Node) bool) error {
	remaining := slices.Clone(f.Nodes)
	start := f.Now
	d, ok := f.RunUntil(scenarioLimit, func() bool {
		f.meter()
		remaining = slices.DeleteFunc(remaining, func(n *Node) bool { return !n.Up() || known(n) })
		if f.mostSpread == 0 && len(remaining) <= f.n/100 {
			f.mostSpread = f.Now.Sub(start)
		}
		return len(remaining) == 0
	})
	f.spread = d
	if !ok {
		return errors.Errorf("after %s instance %s does not know", scenarioLimit, remaining[0].Info.ID)
	}
	return nil
}

// Run advances the time and meters each second.
func (f *gossipFleet) Run(d time.Duration) {
	f.RunUntil(d, func() bool {
		f.meter()
		return false
	})
}

// begin starts the meters of a scenario.
func (f *gossipFleet) begin() {
	f.spread, f.mostSpread, f.wrongDeaths = 0, 0, 0
	f.seconds, f.worst = nil, 0
	f.last = make([]Traffic, len(f.Nodes))
	f.total = f.sum()
	for i, node := range f.Nodes {
		f.last[i] = node.Traffic
	}
	f.started = f.Now
	f.nextSecond = f.Now.Add(time.Second)
	f.cpuStart = processorTime()
}

// meter notes the traffic of each second.
func (f *gossipFleet) meter() {
	if f.Now.Before(f.nextSecond) {
		return
	}
	f.nextSecond = f.nextSecond.Add(time.Second)
	sum := 0.0
	for i, node := range f.Nodes {
		b := wireBytes(node.Traffic) - wireBytes(f.last[i])
		f.last[i] = node.Traffic
		sum += b
		f.worst = max(f.worst, b)
	}
	f.seconds = append(f.seconds, sum/float64(f.n))
}

// peak returns the highest mean over a number of seconds in a row.
func (f *gossipFleet) peak(window int) float64 {
	highest := 0.0
	for i := range f.seconds {
		part := f.seconds[i:min(i+window, len(f.seconds))]
		sum := 0.0
		for _, b := range part {
			sum += b
		}
		highest = max(highest, sum/float64(window))
	}
	return highest
}

// end returns the figures since begin.
func (f *gossipFleet) end(name string) GossipResult {
	cpu := processorTime() - f.cpuStart
	virtual := f.Now.Sub(f.started)
	share := virtual.Seconds() * float64(f.n)
	now := f.sum()
	calls := now.CallsSent + now.CallsReceived - f.total.CallsSent - f.total.CallsReceived
	return GossipResult{
		Instances:            f.n,
		Scenario:             name,
		Virtual:              virtual,
		BytesPerSecond:       (wireBytes(now) - wireBytes(f.total)) / share,
		WindowBytesPerSecond: f.peak(peakWindow),
		PeakBytesPerSecond:   f.peak(1),
		WorstBytesPerSecond:  f.worst,
		CallsPerSecond:       float64(calls) / share,
		CPU:                  time.Duration(float64(cpu) / share),
		Spread:               f.spread,
		MostSpread:           f.mostSpread,
		WrongDeaths:          f.wrongDeaths,
	}
}

func (f *gossipFleet) sum() Traffic {
	var t Traffic
	for _, node := range f.Nodes {
		t.CallsSent += node.Traffic.CallsSent
		t.CallsReceived += node.Traffic.CallsReceived
		t.BodyBytes += node.Traffic.BodyBytes
	}
	return t
}

// wireBytes adds the headers of the calls to the bodies.
func wireBytes(t Traffic) float64 {
	return float64(t.BodyBytes + membership.CallOverheadBytes*(t.CallsSent+t.CallsReceived))
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
