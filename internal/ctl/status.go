package ctl

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/operator"
)

// switchoverTimeout bounds a planned switchover, which takes well under 5 s.
const switchoverTimeout = 15 * time.Second

func (a *app) declareStatus(cli *kingpin.Application) {
	a.command(cli.Command("status", "Show the instances with the versions in force and the groups' homes."), a.showStatus)

	wait := cli.Command("wait", "Wait until a version is in force on all instances.")
	version := wait.Arg("version", "Version; 0 means the stored one.").Required().Uint64()
	a.command(wait, func(ctx context.Context) error { return a.waitFor(ctx, *version) })

	move := cli.Command("switchover", "Move the primary of a group. No request is refused for it.")
	group := move.Arg("group", "Group.").Required().String()
	to := move.Flag("target", "Member to promote. Default: the home chooses.").String()
	a.command(move, func(ctx context.Context) error { return a.switchover(ctx, *group, *to) })
}

// statusRow is the JSON output for one instance.
type statusRow struct {
	Instance string           `json:"instance"`
	Address  string           `json:"address,omitempty"`
	Error    string           `json:"error,omitempty"`
	Status   *operator.Status `json:"status,omitempty"`
}

func (a *app) showStatus(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.o.timeout)
	defer cancel()
	targets, err := a.targets(ctx)
	if err != nil {
		return err
	}
	t := &table{header: []string{"INSTANCE", "DOMAIN", "PHASE", "VERSION", "PRESET", "STORE", "CALLERS", "HOME OF"}}
	rows := []statusRow{}
	failed := 0
	for _, r := range a.ask(ctx, targets) {
		row := statusRow{Instance: r.target.name, Address: r.target.address}
		if r.err != nil {
			failed++
			row.Error = r.err.Error()
			t.add(r.target.name, "", "no answer", "", "", "", "", r.err.Error())
		} else {
			s := r.status
			row.Status = &s
			t.add(r.target.name, string(s.FailureDomain), string(s.Phase), versionText(s.Config.Version), string(s.Preset),
				storeAge(s.StoreAnswerAgeMS), strconv.Itoa(s.Callers), homes(s.Homes))
		}
		rows = append(rows, row)
	}
	t.value = rows
	if err := a.print(t); err != nil {
		return err
	}
	a.sayStored(ctx)
	if failed > 0 {
		return errors.Errorf("%d of %d instances did not answer", failed, len(targets))
	}
	return nil
}

func storeAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String() + " ago"
}

func homes(list []operator.Home) string {
	var out []string
	for _, h := range list {
		text := fmt.Sprintf("%s (primary %s, term %d, generation %d)", h.Group, h.Primary, h.Term, h.Generation)
		if h.Lost {
			text += " UNCONFIRMED"
		}
		out = append(out, text)
	}
	return strings.Join(out, ", ")
}

func (a *app) sayStored(ctx context.Context) {
	if a.o.output == "json" {
		return
	}
	stored, err := a.repo.Load(ctx)
	if err != nil {
		a.say("key-value service: %v", err)
		return
	}
	a.say("key-value service: version %d", stored.Version())
}

func (a *app) waitFor(ctx context.Context, version uint64) error {
	targets, err := a.targets(ctx)
	if err != nil {
		return err
	}
	if version == 0 {
		c, err := a.present(ctx)
		if err != nil {
			return err
		}
		version = c.Version
	}
	c, err := a.confirm(ctx, targets, config.Ref{Version: version}, a.o.wait, func() error { return nil })
	if err != nil {
		return err
	}
	a.say("version %d is in force on %d of %d instances", version, c.Confirmed, c.Instances)
	if a.o.output == "json" {
		if err := a.printJSON(c); err != nil {
			return err
		}
	}
	if len(c.Missing) > 0 {
		return &notConfirmedError{version: version, missing: c.Missing}
	}
	return nil
}

// switchover asks the home of the group, which the instances' status tells.
func (a *app) switchover(ctx context.Context, group, to string) error {
	ctx, cancel := context.WithTimeout(ctx, switchoverTimeout)
	defer cancel()
	targets, err := a.targets(ctx)
	if err != nil {
		return err
	}
	home, ok := a.homeOf(ctx, targets, group)
	if !ok {
		return errors.Errorf("no instance says that it is the home of group %q", group)
	}
	if a.o.dryRun {
		a.say("dry run: %s, the home of group %s, would be asked for the switchover", home.name, group)
		return nil
	}
	r, err := a.services.Operators(home.address).Switchover(ctx, connect.NewRequest(&peerv1.SwitchoverRequest{
		Group: group, Target: to, Operator: a.o.operator,
	}))
	if err != nil {
		return errors.Wrap(err, "step=switchover peer="+home.name)
	}
	a.say("group %s: %s leads in term %d", group, r.Msg.GetPrimary(), r.Msg.GetTerm())
	if a.o.output == "json" {
		return a.printJSON(map[string]any{"group": group, "primary": r.Msg.GetPrimary(), "term": r.Msg.GetTerm()})
	}
	return nil
}

// homeOf returns the instance with the highest generation for the group.
func (a *app) homeOf(ctx context.Context, targets []target, group string) (target, bool) {
	var found target
	highest := uint64(0)
	for _, r := range a.ask(ctx, targets) {
		for _, h := range r.status.Homes {
			if r.err == nil && string(h.Group) == group && h.Generation > highest {
				found, highest = r.target, h.Generation
			}
		}
	}
	return found, highest > 0
}
