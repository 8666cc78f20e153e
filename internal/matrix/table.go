// Package matrix injects every fault at every step of the protocols between a home and what surrounds it, and judges
// the outcome of each combination. Cells are generated, never picked by hand. A cell starts a stand-in group and several
// homes, runs a short workload through a protocol, injects its faults, heals them, and is judged by package check and by
// assertions on what histories do not show.
package matrix

import (
	"hash/fnv"
	"math/rand/v2"
	"strings"

	"github.com/go-faster/errors"
)

// Protocol is a sequence of steps that a home takes; it is run while the workload runs.
type Protocol string

// Protocols.
const (
	// ProtocolStatement sends statements of callers.
	ProtocolStatement Protocol = "statement"
	// ProtocolTakeover moves the home role after the death of a home.
	ProtocolTakeover Protocol = "takeover"
	// ProtocolFailover replaces a primary that crashed.
	ProtocolFailover Protocol = "failover"
	// ProtocolSwitchover replaces a primary by plan.
	ProtocolSwitchover Protocol = "switchover"
	// ProtocolMove moves the home role by plan.
	ProtocolMove Protocol = "move"
	// ProtocolAdmission asks the home of a customer's main group for tokens.
	ProtocolAdmission Protocol = "admission"
)

// Step is an operation of a home on something outside of it.
type Step string

// Steps on the port, and calls to peers.
const (
	StepWatch    Step = "watch"
	StepStatus   Step = "status"
	StepClaim    Step = "claim"
	StepFence    Step = "fence"
	StepPromote  Step = "promote"
	StepFollow   Step = "follow"
	StepDial     Step = "dial"
	StepHandover Step = "handover"
	StepAdmit    Step = "admit"
)

// Steps on a statement connection, split by what is sent. A reset is what ends a transaction without COMMIT, and the
// clean-up of a connection.
const (
	StepSendBegin     Step = "send-begin"
	StepSendWrite     Step = "send-write"
	StepSendRead      Step = "send-read"
	StepSendCommit    Step = "send-commit"
	StepSendReset     Step = "send-reset"
	StepReceiveBegin  Step = "receive-begin"
	StepReceiveWrite  Step = "receive-write"
	StepReceiveRead   Step = "receive-read"
	StepReceiveCommit Step = "receive-commit"
	StepReceiveReset  Step = "receive-reset"
)

// Moment says when during a step a fault arises.
type Moment string

// Moments of a step. On a connection's Send, AfterSend is right after the bytes left and AfterAnswer once the answer is
// complete. On Receive, BeforeSend is before the first byte of the answer is taken, AfterSend when its first message
// arrived, and AfterAnswer when it is complete but the home has not got its end.
const (
	BeforeSend  Moment = "before-send"
	AfterSend   Moment = "after-send"
	AfterAnswer Moment = "after-answer"
)

// Fault is what goes wrong.
type Fault string

// Faults of the connection or call at which they arise.
const (
	FaultReset Fault = "reset"
	// FaultLost loses the answer, or before the sending the request, and then breaks the connection.
	FaultLost Fault = "lost"
	// FaultDelay delays the request or the answer beyond its timeout.
	FaultDelay Fault = "delay"
	// FaultSilent keeps the present connection silent for good while new ones work.
	FaultSilent Fault = "silent"
	// FaultOneWay delivers what the home sends and loses what it should receive.
	FaultOneWay Fault = "one-way"
)

// Faults of the surroundings, which arise at the moment of the step.
const (
	// FaultPause holds the home's goroutines at the step until another home has claimed.
	FaultPause       Fault = "pause-home"
	FaultKillHome    Fault = "kill-home"
	FaultKillPrimary Fault = "kill-primary"
	// FaultIsolate cuts the primary off from the other members and from the homes' status connections; it goes on
	// believing that it leads, and statements on open connections still reach it.
	FaultIsolate Fault = "isolate-primary"
	// FaultLag keeps all replicas far behind in applying.
	FaultLag       Fault = "lag"
	FaultWithdraw  Fault = "withdraw-key"
	FaultConfigure Fault = "change-preset"
	FaultDomainOut Fault = "domain-out"
	FaultLeave     Fault = "member-leaving"
	FaultRelease   Fault = "release-home"
)

// protocolSteps lists the protocols with their steps, in the order of the report.
var protocolSteps = []struct {
	protocol Protocol
	steps    []Step
}{
	{ProtocolStatement, []Step{StepSendBegin, StepSendWrite, StepSendRead, StepSendCommit, StepSendReset,
		StepReceiveBegin, StepReceiveWrite, StepReceiveRead, StepReceiveCommit, StepReceiveReset}},
	{ProtocolTakeover, []Step{StepStatus, StepClaim, StepWatch, StepDial}},
	{ProtocolFailover, []Step{StepStatus, StepWatch, StepFence, StepPromote, StepFollow}},
	{ProtocolSwitchover, []Step{StepFence, StepPromote, StepFollow}},
	{ProtocolMove, []Step{StepHandover, StepStatus, StepClaim, StepWatch, StepDial}},
	{ProtocolAdmission, []Step{StepAdmit}},
}

var moments = []Moment{BeforeSend, AfterSend, AfterAnswer}

// faults lists all faults, those of connections first.
var faults = []Fault{FaultReset, FaultLost, FaultDelay, FaultSilent, FaultOneWay, FaultPause, FaultKillHome,
	FaultKillPrimary, FaultIsolate, FaultLag, FaultWithdraw, FaultConfigure, FaultDomainOut, FaultLeave, FaultRelease}

// local reports whether the fault concerns only the connection or call at which it arises.
func (f Fault) local() bool {
	switch f {
	case FaultReset, FaultLost, FaultDelay, FaultSilent, FaultOneWay:
		return true
	default:
		return false
	}
}

// Point is a moment of a step.
type Point struct {
	Step   Step
	Moment Moment
}

// Injection is a fault at a point.
type Injection struct {
	Point
	Fault Fault
}

// String returns step/moment/fault.
func (i Injection) String() string {
	return strings.Join([]string{string(i.Step), string(i.Moment), string(i.Fault)}, "/")
}

// Cell is one combination: a protocol with one or two injections.
type Cell struct {
	Protocol   Protocol
	Injections []Injection
}

// noFault is the second part of the name of a cell without injections.
const noFault = "no-fault"

// Name returns protocol/no-fault for a cell without injections, otherwise protocol/step/moment/fault, for pairs with a second step/moment/fault after a plus sign.
func (c Cell) Name() string {
	if len(c.Injections) == 0 {
		return string(c.Protocol) + "/" + noFault
	}
	parts := make([]string, len(c.Injections))
	for i, in := range c.Injections {
		parts[i] = in.String()
	}
	return string(c.Protocol) + "/" + strings.Join(parts, "+")
}

// seed derives the cell's seed from its name and the seed of the run.
func (c Cell) seed(run uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.Name()))
	return h.Sum64() ^ run
}

// Cells returns every protocol without a fault, and with every fault at every moment of every step.
func Cells() []Cell {
	var cells []Cell
	for _, p := range protocolSteps {
		cells = append(cells, Cell{Protocol: p.protocol})
		for _, in := range injections(p.steps) {
			cells = append(cells, Cell{Protocol: p.protocol, Injections: []Injection{in}})
		}
	}
	return cells
}

func injections(steps []Step) []Injection {
	var all []Injection
	for _, s := range steps {
		for _, m := range moments {
			for _, f := range faults {
				all = append(all, Injection{Point{s, m}, f})
			}
		}
	}
	return all
}

// Pairs samples n cells with two injections in one protocol. The sample depends on the seed only.
func Pairs(n int, seed uint64) []Cell {
	random := rand.New(rand.NewPCG(seed, 1))
	cells := make([]Cell, 0, n)
	for range n {
		p := protocolSteps[random.IntN(len(protocolSteps))]
		all := injections(p.steps)
		a, b := all[random.IntN(len(all))], all[random.IntN(len(all))]
		cells = append(cells, Cell{Protocol: p.protocol, Injections: []Injection{a, b}})
	}
	return cells
}

// Sample returns n cells drawn evenly from the protocols, the same ones for the same seed.
func Sample(cells []Cell, n int, seed uint64) []Cell {
	random := rand.New(rand.NewPCG(seed, 2))
	byProtocol := make(map[Protocol][]Cell)
	for _, c := range cells {
		byProtocol[c.Protocol] = append(byProtocol[c.Protocol], c)
	}
	for _, p := range protocolSteps {
		list := byProtocol[p.protocol]
		random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	var out []Cell
	for i := 0; len(out) < min(n, len(cells)); i++ {
		for _, p := range protocolSteps {
			if list := byProtocol[p.protocol]; i < len(list) && len(out) < n {
				out = append(out, list[i])
			}
		}
	}
	return out
}

// Parse returns the cell with the name.
func Parse(name string) (Cell, error) {
	protocol, rest, _ := strings.Cut(name, "/")
	c := Cell{Protocol: Protocol(protocol)}
	if rest == noFault {
		return c, nil
	}
	for _, text := range strings.Split(rest, "+") {
		in, ok := findInjection(c.Protocol, text)
		if !ok {
			return Cell{}, errors.Errorf("no cell %q", name)
		}
		c.Injections = append(c.Injections, in)
	}
	return c, nil
}

func findInjection(protocol Protocol, text string) (Injection, bool) {
	for _, p := range protocolSteps {
		if p.protocol != protocol {
			continue
		}
		for _, in := range injections(p.steps) {
			if in.String() == text {
				return in, true
			}
		}
	}
	return Injection{}, false
}

// shortCells is the size of the sample that the tests run besides the cells without a fault: 46 cells took 26 s with the
// race detector on a busy machine, more than the 20 s that the tests may take.
const shortCells = 24

// ShortCells returns the fixed sample that the tests run: each protocol without a fault, and cells with one.
func ShortCells() []Cell {
	var list []Cell
	for _, p := range protocolSteps {
		list = append(list, Cell{Protocol: p.protocol})
	}
	return append(list, Sample(Cells(), shortCells, 1)...)
}
