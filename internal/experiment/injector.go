package experiment

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/measure"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// recovery is the time after an unplanned fault within which errors are excused: every change of primary must be
	// over within it (design page, section 6).
	recovery = 14 * time.Second
	// settling is the time after a planned operation that still counts as part of it. Sessions and homes move within
	// the spread bound.
	settling = check.SpreadBound + time.Second
)

// injector carries out the faults of a run at their times and records what happened.
type injector struct {
	fleet    Fleet
	topology *Topology
	log      hclog.Logger
	start    time.Time

	mu     sync.Mutex
	last   map[upstream.GroupID]upstream.MemberID
	active map[string]Fault
	keys   map[string]string
	events []event
}

// event is a fault with what became of it.
type event struct {
	fault Fault
	// primary is true when the fault hit the group's primary.
	primary bool
	began   time.Time
	ended   time.Time
	err     error
}

func newInjector(f Fleet, t *Topology, log hclog.Logger) *injector {
	in := &injector{
		fleet: f, topology: t, log: log,
		last:   make(map[upstream.GroupID]upstream.MemberID),
		active: make(map[string]Fault),
		keys:   make(map[string]string),
	}
	for i := range t.Customers {
		name := t.Customers[i].Name
		if cred, err := f.Credential(name); err == nil {
			in.keys[name] = cred.KeyName()
		}
	}
	return in
}

// run carries out the faults and returns when all have ended. An action that takes long does not delay the others.
func (in *injector) run(ctx context.Context, start time.Time, faults []Fault) {
	in.start = start
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, f := range faults {
		t := time.NewTimer(time.Until(start.Add(f.At.D())))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		wg.Go(func() { in.carryOut(ctx, f) })
	}
}

// carryOut runs one fault and records it.
func (in *injector) carryOut(ctx context.Context, f Fault) {
	e := event{fault: f, began: time.Now()}
	e.err = in.resolve(&e)
	if e.err == nil {
		e.err = in.apply(ctx, &e.fault)
	}
	e.ended = time.Now()
	in.record(e)
	if e.err != nil {
		in.log.Warn("action failed", "action", f.Action, "target", e.fault.target(), "error", e.err)
		return
	}
	in.log.Info("action done", "action", f.Action, "target", e.fault.target(), "at", e.began.Sub(in.start),
		"took", e.ended.Sub(e.began))
}

// resolve replaces names that stand for a member or a key by what they mean now.
func (in *injector) resolve(e *event) error {
	f := &e.fault
	in.mu.Lock()
	defer in.mu.Unlock()
	if f.Action == ActionWithdrawKey && f.Key == "" {
		f.Key = in.keys[f.Customer]
	}
	if f.Member == "" {
		return nil
	}
	if f.Member == MemberLast {
		f.Member = in.last[f.Group]
		if f.Member == "" {
			return errors.New("no earlier action on the group")
		}
		return nil
	}
	primary, err := in.fleet.Primary(f.Group)
	if err != nil && (f.Member == MemberPrimary || f.Member == MemberReplica) {
		return errors.Wrapf(err, "step=primary group=%s", f.Group)
	}
	switch f.Member {
	case MemberPrimary:
		f.Member = primary.ID
	case MemberReplica:
		f.Member = in.replica(f.Group, primary.ID)
	}
	e.primary = f.Member == primary.ID
	in.last[f.Group] = f.Member
	return nil
}

// replica returns the first member that is not the primary.
func (in *injector) replica(g upstream.GroupID, primary upstream.MemberID) upstream.MemberID {
	group, _ := in.topology.group(g)
	for _, m := range group.Members {
		if m.ID != primary {
			return m.ID
		}
	}
	return primary
}

// apply calls the fleet.
func (in *injector) apply(ctx context.Context, f *Fault) error {
	switch f.Action {
	case ActionKillInstance:
		return in.fleet.KillInstance(ctx, f.Instance)
	case ActionPauseInstance:
		return in.fleet.PauseInstance(ctx, f.Instance, f.For.D())
	case ActionStopInstance:
		return in.fleet.StopInstance(ctx, f.Instance)
	case ActionReplaceInstance:
		return in.fleet.ReplaceInstance(ctx, f.Instance)
	case ActionRollInstances:
		return in.roll(ctx)
	case ActionKillMember:
		return in.fleet.KillMember(ctx, f.Group, f.Member)
	case ActionRestartMember:
		return in.fleet.RestartMember(ctx, f.Group, f.Member)
	case ActionIsolateMember:
		return in.fleet.IsolateMember(ctx, f.Group, f.Member)
	case ActionHealMember:
		return in.fleet.HealMember(ctx, f.Group, f.Member)
	case ActionSetLag:
		return in.fleet.SetLag(ctx, f.Group, f.Member, f.For.D())
	case ActionPlatformDown, ActionPlatformUp:
		return in.fleet.PlatformDown(ctx, f.Action == ActionPlatformDown)
	case ActionPlatformSlow:
		return in.fleet.PlatformSlow(ctx, f.For.D())
	case ActionLoseAnswers:
		return in.fleet.PlatformLoseAnswers(ctx, f.Count)
	case ActionDomainOut:
		return in.fleet.DomainOut(ctx, f.Domain)
	case ActionDomainIn:
		return in.fleet.DomainIn(ctx, f.Domain)
	case ActionIssueKey:
		return in.fleet.IssueKey(ctx, f.Customer)
	case ActionWithdrawKey:
		return in.fleet.WithdrawKey(ctx, f.Customer, f.Key)
	case ActionSetPreset:
		return in.fleet.SetPreset(ctx, f.Preset)
	default:
		return in.fleet.Switchover(ctx, f.Group)
	}
}

func (in *injector) roll(ctx context.Context) error {
	for i := range in.topology.Instances {
		if err := in.fleet.ReplaceInstance(ctx, i); err != nil {
			return errors.Wrapf(err, "step=replace instance=%d", i)
		}
	}
	return nil
}

// record keeps the event and what it leaves to be undone.
func (in *injector) record(e event) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.events = append(in.events, e)
	if e.err != nil {
		return
	}
	for begin, end := range undo {
		if e.fault.Action == end {
			delete(in.active, e.fault.activeKey(begin))
		}
	}
	if _, ok := undo[e.fault.Action]; ok && !e.fault.ends() {
		in.active[e.fault.activeKey(e.fault.Action)] = e.fault
	}
}

// ends reports whether the fault sets a lag or a delay back to 0.
func (f *Fault) ends() bool {
	return (f.Action == ActionSetLag || f.Action == ActionPlatformSlow) && f.For == 0
}

// activeKey names a lasting fault by its action and its target.
func (f *Fault) activeKey(a Action) string {
	t := *f
	t.Action = a
	return string(a) + " " + t.target()
}

// restore undoes what is still in effect, so that the final state can be read. Killed instances stay dead.
func (in *injector) restore(ctx context.Context) error {
	in.mu.Lock()
	faults := make([]Fault, 0, len(in.active))
	for _, f := range in.active {
		faults = append(faults, f)
	}
	in.mu.Unlock()
	for _, f := range faults {
		if f.Action == ActionKillInstance {
			continue
		}
		f.Action, f.For = undo[f.Action], 0
		if err := in.apply(ctx, &f); err != nil {
			return errors.Wrapf(err, "step=restore action=%s target=%s", f.Action, f.target())
		}
	}
	return nil
}

// marks returns what happened, in order of time.
func (in *injector) marks() []measure.Mark {
	in.mu.Lock()
	defer in.mu.Unlock()
	slices.SortStableFunc(in.events, func(a, b event) int { return cmp.Compare(a.began.Sub(b.began), 0) })
	marks := make([]measure.Mark, 0, len(in.events))
	for _, e := range in.events {
		m := measure.Mark{
			Action: string(e.fault.Action), Target: e.fault.target(), Group: e.fault.Group,
			At: e.began.Sub(in.start), Ended: e.ended.Sub(in.start),
			Planned: slices.Contains(planned, e.fault.Action), Interrupts: e.interrupts(),
		}
		if e.err != nil {
			m.Error = e.err.Error()
		}
		marks = append(marks, m)
	}
	return marks
}

// interrupts reports whether writes may pause: the fault hits a primary, or an instance that may be a group's home.
func (e *event) interrupts() bool {
	switch e.fault.Action {
	case ActionKillMember, ActionIsolateMember:
		return e.primary
	case ActionKillInstance, ActionPauseInstance, ActionStopInstance, ActionReplaceInstance, ActionRollInstances,
		ActionDomainOut, ActionDomainIn, ActionSwitchover:
		return true
	default:
		return false
	}
}

// judge fills in what the checkers need to know about operators and faults.
func (in *injector) judge(input *check.Input) {
	in.mu.Lock()
	defer in.mu.Unlock()
	input.Contracts = in.topology.checkContracts(config.PresetOrdinary, in.start, in.start)
	for _, e := range in.events {
		if e.err != nil {
			continue
		}
		if slices.Contains(planned, e.fault.Action) {
			w := check.Window{Name: string(e.fault.Action), From: e.began, To: e.ended.Add(settling)}
			input.Planned = append(input.Planned, w)
		}
		if slices.Contains(unplanned, e.fault.Action) {
			to := e.ended.Add(e.fault.For.D() + recovery)
			input.Faults = append(input.Faults, check.Window{Name: string(e.fault.Action), From: e.began, To: to})
		}
		switch e.fault.Action {
		case ActionSetPreset:
			by := e.ended.Add(check.SpreadBound)
			input.Contracts = append(input.Contracts, in.topology.checkContracts(e.fault.Preset, e.began, by)...)
		case ActionWithdrawKey:
			input.Withdrawals = append(input.Withdrawals,
				check.Withdrawal{Customer: e.fault.Customer, Key: e.fault.Key, At: e.ended})
		case ActionDomainOut:
			input.Outages = append(input.Outages, check.Outage{FailureDomain: e.fault.Domain, From: e.ended})
		case ActionDomainIn:
			endOutage(input.Outages, e)
		}
	}
}

// endOutage marks the open outage of the domain as over.
func endOutage(outages []check.Outage, e event) {
	for i := range outages {
		if outages[i].FailureDomain == e.fault.Domain && outages[i].To.IsZero() {
			outages[i].To = e.began
		}
	}
}

// checkContracts returns the customers' contracts under the preset.
func (t *Topology) checkContracts(p config.Preset, from, by time.Time) []check.Contract {
	list := make([]check.Contract, 0, len(t.Customers))
	for i := range t.Customers {
		c := t.Customers[i].Contracts[p]
		list = append(list, check.Contract{
			Customer: t.Customers[i].Name, From: from, By: by, Rate: c.RatePerSecond, Burst: c.Burst,
		})
	}
	return list
}
