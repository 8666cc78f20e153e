package ctl

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/config"
)

const (
	// collectTimeout bounds the clean-up after a change.
	collectTimeout = 2 * time.Second
	// storedInterval is the time between looks at the stored configuration while a change spreads.
	storedInterval = 500 * time.Millisecond
)

// change is one modification of the configuration.
type change struct {
	mutate func(*config.Cluster) error
	// base is the version that the change was made for when it comes from a file; nil means the present one.
	base *uint64
	// retries is the number of times that the change is made again after a version conflict. Only changes that are
	// right whatever else was changed have it.
	retries int
	// accepted, when set, is called as soon as the change is accepted or its outcome is unknown.
	accepted func(repeated bool, unknown error)
	// extra is merged into the JSON output.
	extra map[string]any
}

// changeResult is the JSON output of a change.
type changeResult struct {
	Version      uint64          `json:"version"`
	OperationID  string          `json:"operation_id,omitempty"`
	DryRun       bool            `json:"dry_run,omitempty"`
	Unchanged    bool            `json:"unchanged,omitempty"`
	Repeated     bool            `json:"repeated,omitempty"`
	Changes      []config.Change `json:"changes"`
	Confirmation *confirmation   `json:"in_force,omitempty"`
	Extra        map[string]any  `json:"extra,omitempty"`
}

// apply makes a change, or shows it with --dry-run, and waits until it is in force.
func (a *app) apply(ctx context.Context, c change) error {
	bounded, cancel := context.WithTimeout(ctx, a.o.timeout)
	defer cancel()
	targets, err := a.targets(bounded)
	if err != nil {
		return err
	}
	if a.o.dryRun {
		return a.preview(bounded, c, targets)
	}
	operation := firstOf(a.o.operation, a.env.NewOperationID())
	accepted, err := a.propose(bounded, c, operation, targets)
	if err != nil {
		var unknown *config.UnknownError
		if errors.As(err, &unknown) && c.accepted != nil {
			c.accepted(false, err)
		}
		return err
	}
	if c.accepted != nil {
		c.accepted(accepted.Repeated, nil)
	}
	return a.finish(ctx, c, operation, accepted, targets)
}

// propose repeats the proposal after a conflict as often as the change allows.
func (a *app) propose(ctx context.Context, c change, operation string, targets []target) (*config.Accepted, error) {
	for attempt := 0; ; attempt++ {
		p, err := a.proposal(ctx, c, operation, targets)
		if err != nil {
			return nil, err
		}
		accepted, err := a.repo.Propose(ctx, p)
		var conflict *config.ConflictError
		if err == nil || !errors.As(err, &conflict) || attempt >= c.retries {
			return accepted, err
		}
	}
}

func (a *app) proposal(ctx context.Context, c change, operation string, targets []target) (config.Proposal, error) {
	inForce, err := a.inForce(ctx, targets)
	if err != nil {
		return config.Proposal{}, err
	}
	p := config.Proposal{
		Mutate: c.mutate, Operator: a.o.operator, OperationID: operation, InForce: inForce, Now: a.env.Now(),
	}
	switch {
	case c.base != nil:
		p.Base = *c.base
	case a.o.base != 0:
		p.Base = a.o.base
	default:
		stored, err := a.repo.Load(ctx)
		if err != nil {
			return p, err
		}
		p.Base = stored.Version()
	}
	return p, nil
}

func (a *app) preview(ctx context.Context, c change, targets []target) error {
	p, err := a.proposal(ctx, c, "dry-run", targets)
	if err != nil {
		return err
	}
	d, err := a.repo.Preview(ctx, p)
	if err != nil {
		return err
	}
	a.say("dry run: nothing was changed; the change would make version %d:", d.Ref.Version)
	a.sayChanges(d.Changes)
	return a.printResult(changeResult{
		Version: d.Ref.Version, DryRun: true, Unchanged: d.Unchanged, Changes: nonNil(d.Changes),
	})
}

// finish reports an accepted change and waits until it is in force on all instances.
func (a *app) finish(ctx context.Context, c change, operation string, d *config.Accepted, targets []target) error {
	result := changeResult{
		Version: d.Ref.Version, OperationID: operation, Unchanged: d.Unchanged, Repeated: d.Repeated,
		Changes: nonNil(d.Changes), Extra: c.extra,
	}
	switch {
	case d.Unchanged:
		a.say("nothing to change: version %d already is as asked", d.Ref.Version)
	case d.Repeated:
		a.say("operation %s had made version %d already; nothing was changed again", operation, d.Ref.Version)
	default:
		a.say("accepted as version %d (operation %s):", d.Ref.Version, operation)
		a.sayChanges(d.Changes)
	}
	confirmed, err := a.confirm(ctx, targets, d.Ref, a.o.wait, a.keepStored(ctx, d))
	if err != nil {
		return err
	}
	result.Confirmation = &confirmed
	if err := a.printResult(result); err != nil {
		return err
	}
	a.collect(ctx, d)
	if len(confirmed.Missing) > 0 {
		return &notConfirmedError{version: d.Ref.Version, missing: confirmed.Missing}
	}
	a.say("in force on %d of %d instances after %d ms", confirmed.Confirmed, confirmed.Instances, confirmed.AfterMS)
	return nil
}

// lostError reports an accepted change that the key-value service lost before it was in force anywhere.
type lostError struct {
	version uint64
}

func (e *lostError) Error() string {
	return "the key-value service lost the accepted change, and another one has taken its version; run the command again"
}

// keepStored returns a check that runs while a change spreads: a service that was restarted from an old copy gets the
// change again.
func (a *app) keepStored(ctx context.Context, d *config.Accepted) func() error {
	last := time.Time{}
	return func() error {
		if d.Unchanged || d.Repeated || time.Since(last) < storedInterval {
			return nil
		}
		last = time.Now()
		bounded, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		stored, err := a.repo.Restore(bounded, d.Encoded)
		if err != nil || stored == d.Ref {
			return nil // without the service the instances keep what they have
		}
		kept, err := a.repo.Contains(bounded, d.Encoded.Root.OperationID)
		if err != nil || kept {
			return nil
		}
		return &lostError{version: d.Ref.Version}
	}
}

// collect deletes chunks that are no longer used. A failure only leaves them for the next change.
func (a *app) collect(ctx context.Context, d *config.Accepted) {
	if d.Unchanged || d.Repeated {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	if err := a.repo.Collect(ctx); err != nil {
		a.warn("old configurations were not deleted: %v", err)
	}
}

func (a *app) sayChanges(changes []config.Change) {
	for _, c := range changes {
		a.say("  %s", c)
	}
	if len(changes) == 0 {
		a.say("  no difference")
	}
}

// printResult writes the JSON output of a change; the text was written before.
func (a *app) printResult(r changeResult) error {
	if a.o.output != "json" {
		return nil
	}
	return a.printJSON(r)
}

func nonNil(changes []config.Change) []config.Change {
	if changes == nil {
		return []config.Change{}
	}
	return changes
}
