package experiment

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Action is something that happens to the fleet during a run.
type Action string

// Actions. Those from operators are planned operations and must cost no request (G13).
const (
	ActionKillInstance    Action = "kill_instance"
	ActionPauseInstance   Action = "pause_instance"
	ActionStopInstance    Action = "stop_instance"
	ActionReplaceInstance Action = "replace_instance"
	// ActionRollInstances replaces all instances one after the other.
	ActionRollInstances Action = "roll_instances"
	ActionKillMember    Action = "kill_member"
	ActionRestartMember Action = "restart_member"
	ActionIsolateMember Action = "isolate_member"
	ActionHealMember    Action = "heal_member"
	ActionSetLag        Action = "set_lag"
	ActionPlatformDown  Action = "platform_down"
	ActionPlatformUp    Action = "platform_up"
	ActionPlatformSlow  Action = "platform_slow"
	ActionLoseAnswers   Action = "platform_lose_answers"
	ActionDomainOut     Action = "domain_out"
	ActionDomainIn      Action = "domain_in"
	ActionIssueKey      Action = "issue_key"
	ActionWithdrawKey   Action = "withdraw_key"
	ActionSetPreset     Action = "set_preset"
	ActionSwitchover    Action = "switchover"
)

// planned lists the operators' actions and the graceful ones.
var planned = []Action{
	ActionStopInstance, ActionReplaceInstance, ActionRollInstances, ActionDomainOut, ActionDomainIn, ActionIssueKey,
	ActionWithdrawKey, ActionSetPreset, ActionSwitchover,
}

// unplanned lists the actions after which errors are excused while the fleet recovers. An outage of the key-value
// service and replicas that lag are not among them: traffic must go on.
var unplanned = []Action{ActionKillInstance, ActionPauseInstance, ActionKillMember, ActionIsolateMember}

// undo maps the actions that last to those that end them. A lag and a delay end when they are set to 0.
var undo = map[Action]Action{
	ActionKillInstance:  ActionReplaceInstance,
	ActionKillMember:    ActionRestartMember,
	ActionIsolateMember: ActionHealMember,
	ActionSetLag:        ActionSetLag,
	ActionPlatformDown:  ActionPlatformUp,
	ActionPlatformSlow:  ActionPlatformSlow,
	ActionDomainOut:     ActionDomainIn,
}

// Names that stand for a member.
const (
	// MemberPrimary is the group's primary at the moment of the action.
	MemberPrimary upstream.MemberID = "primary"
	// MemberReplica is the first other member.
	MemberReplica upstream.MemberID = "replica"
	// MemberLast is the member that the last action on the group hit.
	MemberLast upstream.MemberID = "last"
)

// Fault is one action with its time and its target.
type Fault struct {
	// At counts from the start of the run, the warm-up included.
	At       load.Duration          `json:"at"`
	Action   Action                 `json:"action"`
	Instance int                    `json:"instance,omitempty"`
	Group    upstream.GroupID       `json:"group,omitempty"`
	Member   upstream.MemberID      `json:"member,omitempty"`
	Domain   instance.FailureDomain `json:"failure_domain,omitempty"`
	Customer string                 `json:"customer,omitempty"`
	// Key is the key to withdraw; empty means the first one that the customer had.
	Key    string        `json:"key,omitempty"`
	Preset config.Preset `json:"preset,omitempty"`
	// For is the length of a pause, a delay or a lag.
	For   load.Duration `json:"for,omitempty"`
	Count int           `json:"count,omitempty"`
}

// target describes what the fault hits, for marks and progress lines.
func (f *Fault) target() string {
	var parts []string
	switch f.Action {
	case ActionKillInstance, ActionPauseInstance, ActionStopInstance, ActionReplaceInstance:
		parts = append(parts, "instance "+strconv.Itoa(f.Instance))
	}
	for _, p := range []string{string(f.Group), string(f.Member), string(f.Domain), f.Customer, f.Key, string(f.Preset)} {
		if p != "" {
			parts = append(parts, p)
		}
	}
	return strings.Join(parts, " ")
}

// validate checks that the fault names what its action needs.
func (f *Fault) validate(t *Topology) error {
	switch f.Action {
	case ActionKillInstance, ActionPauseInstance, ActionStopInstance, ActionReplaceInstance:
		if f.Instance < 0 || f.Instance >= t.Instances {
			return errors.Errorf("instance: %d is not in 0..%d", f.Instance, t.Instances-1)
		}
	case ActionKillMember, ActionRestartMember, ActionIsolateMember, ActionHealMember, ActionSetLag:
		return f.validateMember(t)
	case ActionSwitchover:
		if _, ok := t.group(f.Group); !ok {
			return errors.Errorf("group: unknown %q", f.Group)
		}
	case ActionDomainOut, ActionDomainIn:
		if !t.hasDomain(f.Domain) {
			return errors.Errorf("failure_domain: unknown %q", f.Domain)
		}
	case ActionIssueKey, ActionWithdrawKey:
		if _, ok := t.customer(f.Customer); !ok {
			return errors.Errorf("customer: unknown %q", f.Customer)
		}
	case ActionSetPreset:
		return f.validatePreset(t)
	case ActionRollInstances, ActionPlatformDown, ActionPlatformUp, ActionPlatformSlow, ActionLoseAnswers:
	default:
		return errors.Errorf("action: unknown %q", f.Action)
	}
	return nil
}

func (f *Fault) validateMember(t *Topology) error {
	g, ok := t.group(f.Group)
	if !ok {
		return errors.Errorf("group: unknown %q", f.Group)
	}
	switch f.Member {
	case MemberPrimary, MemberReplica, MemberLast:
		return nil
	}
	if !slices.ContainsFunc(g.Members, func(m Member) bool { return m.ID == f.Member }) {
		return errors.Errorf("member: unknown %q", f.Member)
	}
	return nil
}

func (f *Fault) validatePreset(t *Topology) error {
	for i := range t.Customers {
		if _, ok := t.Customers[i].Contracts[f.Preset]; !ok {
			return errors.Errorf("preset: customer %s has no contract for %q", t.Customers[i].Name, f.Preset)
		}
	}
	return nil
}

// RandomFaults draws a schedule from the run's seed.
type RandomFaults struct {
	// From and To bound the times of the faults; all are undone by To.
	From load.Duration `json:"from"`
	To   load.Duration `json:"to"`
	// Every is the mean time between two faults, For the mean time until one is undone.
	Every   load.Duration `json:"every"`
	For     load.Duration `json:"for"`
	Actions []Action      `json:"actions"`
}

// minFaultTime keeps a drawn fault long enough to be noticed.
const minFaultTime = 500 * time.Millisecond

// draw returns the schedule. A group has at most one member down or cut off at a time, so that a majority remains;
// faults of different groups, instances and of the platform overlap as they come.
func (r *RandomFaults) draw(t *Topology, seed uint64) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0xfa17))
	busy := make(map[string]time.Duration)
	var faults []Fault
	at := r.From.D()
	for {
		at += time.Duration(rng.ExpFloat64() * float64(r.Every))
		length := minFaultTime + time.Duration(rng.ExpFloat64()*float64(r.For))
		if at+length >= r.To.D() {
			return faults
		}
		f := r.drawOne(t, rng, at, length)
		key := f.busyKey()
		if busy[key] > at {
			continue
		}
		busy[key] = at + length
		faults = append(faults, f)
		if end, ok := undo[f.Action]; ok {
			f.Action, f.At, f.For = end, load.Duration(at+length), 0
			f.Member = lastOf(f.Member)
			faults = append(faults, f)
		}
	}
}

// lastOf returns the name of the member that an earlier action chose, empty when the action has no member.
func lastOf(m upstream.MemberID) upstream.MemberID {
	if m == "" {
		return ""
	}
	return MemberLast
}

// busyKey names what may have only one fault at a time.
func (f *Fault) busyKey() string {
	switch f.Action {
	case ActionKillInstance, ActionPauseInstance, ActionReplaceInstance:
		return "instance " + strconv.Itoa(f.Instance)
	case ActionKillMember, ActionIsolateMember, ActionSetLag, ActionSwitchover:
		return "group " + string(f.Group)
	case ActionDomainOut:
		// A domain out takes a member of every group with it.
		return "domain"
	default:
		return string(f.Action)
	}
}

func (r *RandomFaults) drawOne(t *Topology, rng *rand.Rand, at, length time.Duration) Fault {
	f := Fault{At: load.Duration(at), Action: r.Actions[rng.IntN(len(r.Actions))]}
	switch f.Action {
	case ActionKillInstance, ActionPauseInstance, ActionReplaceInstance:
		f.Instance = rng.IntN(t.Instances)
		f.For = load.Duration(length)
	case ActionKillMember, ActionIsolateMember, ActionSetLag, ActionSwitchover:
		f.Group = t.Groups[rng.IntN(len(t.Groups))].ID
		f.For = load.Duration(length)
		f.Member = []upstream.MemberID{MemberPrimary, MemberReplica}[rng.IntN(2)]
		if f.Action == ActionSetLag {
			f.Member = MemberReplica
		}
	case ActionDomainOut:
		f.Domain = t.FailureDomains[rng.IntN(len(t.FailureDomains))]
	case ActionPlatformSlow:
		f.For = load.Duration(length / 10)
	case ActionLoseAnswers:
		f.Count = 1 + rng.IntN(5)
	}
	return f
}
