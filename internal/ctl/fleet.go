package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/operator"
)

const (
	// statusTimeout bounds the question for one instance's status.
	statusTimeout = time.Second
	// statusLimit bounds the instances that are asked at a time.
	statusLimit = 32
	// confirmInterval is the time between questions while a change spreads.
	confirmInterval = 100 * time.Millisecond
)

// target is an instance that the tool can ask.
type target struct {
	// name is the instance's id, or the address when the id is not known.
	name    string
	address string
}

// answer is the status of a target, or why there is none.
type answer struct {
	target target
	status operator.Status
	err    error
}

// targets returns the instances of the fleet: those given by flags, or the live ones of the platform's list with the
// operators' addresses that they published.
func (a *app) targets(ctx context.Context) ([]target, error) {
	var out []target
	for _, address := range a.o.instances {
		out = append(out, target{name: address, address: address})
	}
	if len(out) > 0 {
		return out, nil
	}
	listed, err := a.services.Directory.Instances(ctx)
	if err != nil {
		return nil, &config.UnavailableError{Step: "list instances", Err: err}
	}
	addresses, err := operator.Addresses(ctx, a.services.Store)
	if err != nil {
		return nil, &config.UnavailableError{Step: "read operators' addresses", Err: err}
	}
	known := make(map[instance.ID]bool, len(listed))
	for _, i := range listed {
		known[i.Info.ID] = true
		if !i.Leaving {
			out = append(out, target{name: string(i.Info.ID), address: addresses[i.Info.ID]})
		}
	}
	if err := operator.Prune(ctx, a.services.Store, known, a.env.Now()); err != nil {
		a.warn("%v", err)
	}
	slices.SortFunc(out, func(x, y target) int { return cmp.Compare(x.name, y.name) })
	return out, nil
}

// ask returns the status of each target, in the same order.
func (a *app) ask(ctx context.Context, targets []target) []answer {
	out := make([]answer, len(targets))
	var g errgroup.Group
	g.SetLimit(statusLimit)
	for i, t := range targets {
		g.Go(func() error {
			out[i] = a.askOne(ctx, t)
			return nil
		})
	}
	_ = g.Wait()
	return out
}

func (a *app) askOne(ctx context.Context, t target) answer {
	if t.address == "" {
		return answer{target: t, err: errors.New("it has not published its operators' address")}
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	r, err := a.services.Operators(t.address).Status(ctx, connect.NewRequest(&peerv1.StatusRequest{}))
	if err != nil {
		return answer{target: t, err: errors.Wrap(err, "step=status peer="+t.name)}
	}
	var s operator.Status
	if err := json.Unmarshal(r.Msg.GetJson(), &s); err != nil {
		return answer{target: t, err: errors.Wrap(err, "decode status of "+t.name)}
	}
	t.name = firstOf(string(s.Instance), t.name)
	return answer{target: t, status: s}
}

// inForce returns the highest version in force. A majority of the instances must tell theirs, because the store may be
// an old copy.
func (a *app) inForce(ctx context.Context, targets []target) (uint64, error) {
	highest, answered := uint64(0), 0
	var missing []string
	for _, r := range a.ask(ctx, targets) {
		if r.err != nil {
			missing = append(missing, r.target.name)
			continue
		}
		answered++
		highest = max(highest, r.status.Config.Version)
	}
	if 2*answered <= len(targets) && len(targets) > 0 && !a.o.unreached {
		return 0, &unreachedError{answered: answered, listed: len(targets), missing: missing}
	}
	return highest, nil
}

// confirmation says on which instances a version is in force.
type confirmation struct {
	Confirmed int      `json:"confirmed"`
	Instances int      `json:"instances"`
	Missing   []string `json:"missing,omitempty"`
	// AfterMS is the time from the start of the wait to the last confirmation.
	AfterMS int64 `json:"after_ms"`
	// waiting holds the targets that have not confirmed.
	waiting []target
}

// confirm waits until the configuration, or a later one, is in force on all targets or the time is over. Between the
// questions it calls watch, which may end the wait with an error.
func (a *app) confirm(ctx context.Context, targets []target, ref config.Ref, wait time.Duration, watch func() error) (confirmation, error) {
	start := time.Now()
	c := confirmation{Instances: len(targets), waiting: targets}
	for {
		c.waiting = a.unconfirmed(ctx, c.waiting, ref)
		c.Confirmed = c.Instances - len(c.waiting)
		c.AfterMS = time.Since(start).Milliseconds()
		if err := watch(); err != nil {
			return c, err
		}
		if len(c.waiting) == 0 || time.Since(start) >= wait || !ctxtime.Sleep(ctx, confirmInterval) {
			break
		}
	}
	for _, t := range c.waiting {
		c.Missing = append(c.Missing, t.name)
	}
	return c, nil
}

func (a *app) unconfirmed(ctx context.Context, targets []target, ref config.Ref) []target {
	var out []target
	for _, r := range a.ask(ctx, targets) {
		got := r.status.Config
		if r.err == nil && (got.Version > ref.Version || got.Version == ref.Version && (ref.Root == config.Hash{} || got == ref)) {
			continue
		}
		out = append(out, r.target)
	}
	return out
}
