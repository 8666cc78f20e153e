package ctl

import (
	"context"
	"fmt"
	"slices"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/ctxtime"
)

const (
	// keptWithdrawn is the number of withdrawn keys that stay in the configuration, so that their names are not used
	// again soon. An instance that heard of an emergency revocation refuses the name until it restarts.
	keptWithdrawn = 50
	// withdrawRetries is the number of tries of a withdrawal after version conflicts. Withdrawing a key is right
	// whatever else was changed.
	withdrawRetries = 5
)

func (a *app) declareKey(cli *kingpin.Application) {
	key := cli.Command("key", "Customers' keys.")

	issue := key.Command("issue", "Issue a key. The secret is shown once and not stored.")
	customer := issue.Arg("customer", "Customer.").Required().String()
	name := issue.Arg("name", "Name of the new key.").Required().String()
	a.command(issue, func(ctx context.Context) error { return a.issueKey(ctx, *customer, *name, "") })

	a.declareWithdraw(key)

	rotate := key.Command("rotate", "Issue a key in place of another one. The old one works until it is withdrawn.")
	rotated := rotate.Arg("customer", "Customer.").Required().String()
	old := rotate.Arg("old", "Name of the key that is replaced.").Required().String()
	next := rotate.Arg("new", "Name of the new key.").Required().String()
	now := rotate.Flag("withdraw-old", "Withdraw the old key in the same change; callers that use it are cut off.").Bool()
	a.command(rotate, func(ctx context.Context) error {
		withdrawn := ""
		if *now {
			withdrawn = *old
		}
		if err := a.issueKey(ctx, *rotated, *next, withdrawn, *old); err != nil || *now {
			return err
		}
		a.say("when all callers use the new key: celerystepctl key withdraw %s %s", *rotated, *old)
		return nil
	})
}

func (a *app) declareWithdraw(key *kingpin.CmdClause) {
	withdraw := key.Command("withdraw", "Withdraw a key. Its sessions end within 4 s. It cannot be undone.")
	customer := withdraw.Arg("customer", "Customer.").Required().String()
	name := withdraw.Arg("name", "Key.").Required().String()
	emergency := withdraw.Flag("emergency", "Order it through any instance while the key-value service is down; "+
		"give instances with --instance.").Bool()
	a.command(withdraw, func(ctx context.Context) error {
		if *emergency {
			return a.revoke(ctx, *customer, *name)
		}
		return a.apply(ctx, change{
			retries: withdrawRetries,
			mutate:  func(c *config.Cluster) error { return withdrawKey(c, *customer, *name) },
		})
	})
}

// issueKey adds a key and shows its secret once the change is accepted. Keys in required must exist and be valid.
func (a *app) issueKey(ctx context.Context, customer, name, withdrawn string, required ...string) error {
	secret, key, err := a.env.IssueKey(name)
	if err != nil {
		return &usageError{err: err}
	}
	c := change{extra: make(map[string]any)}
	c.mutate = func(cluster *config.Cluster) error {
		for _, r := range required {
			if err := requireKey(cluster, customer, r); err != nil {
				return err
			}
		}
		if withdrawn != "" {
			if err := withdrawKey(cluster, customer, withdrawn); err != nil {
				return err
			}
		}
		return addKey(cluster, customer, key)
	}
	c.accepted = func(repeated bool, unknown error) {
		a.showSecret(c.extra, customer+"."+name, secret, repeated, unknown)
	}
	return a.apply(ctx, c)
}

// showSecret prints a new key. After an unknown outcome it is printed too, because the change may have been made.
func (a *app) showSecret(extra map[string]any, user, secret string, repeated bool, unknown error) {
	if repeated {
		a.warn("the key was issued by an earlier run, which showed its secret; issue another one if it is lost")
		return
	}
	if unknown != nil {
		fmt.Fprintf(a.env.Out, "the following key works only if the change was made:\n")
	}
	if a.o.output == "json" && unknown == nil {
		extra["user"], extra["secret"] = user, secret
		return
	}
	fmt.Fprintf(a.env.Out, "user:   %s\nsecret: %s\n(the secret is shown only now)\n", user, secret)
}

func findKey(c *config.Cluster, customer, name string) (*config.Key, error) {
	x, err := findCustomer(c, customer)
	if err != nil {
		return nil, err
	}
	for i := range x.Keys {
		if x.Keys[i].Name == name {
			return &x.Keys[i], nil
		}
	}
	return nil, refusef("customer %q has no key %q", customer, name)
}

func requireKey(c *config.Cluster, customer, name string) error {
	k, err := findKey(c, customer, name)
	if err != nil {
		return err
	}
	if k.Withdrawn {
		return refusef("key %q of customer %q is withdrawn", name, customer)
	}
	return nil
}

func addKey(c *config.Cluster, customer string, key config.Key) error {
	x, err := findCustomer(c, customer)
	if err != nil {
		return err
	}
	if k, err := findKey(c, customer, key.Name); err == nil {
		if k.Withdrawn {
			return refusef("key %q of customer %q was withdrawn; choose another name", key.Name, customer)
		}
		return refusef("customer %q has a key %q already", customer, key.Name)
	}
	x.Keys = append(forgetWithdrawn(x.Keys), key)
	return nil
}

// forgetWithdrawn drops the oldest withdrawn keys above the number that is kept.
func forgetWithdrawn(keys []config.Key) []config.Key {
	surplus := -keptWithdrawn
	for _, k := range keys {
		if k.Withdrawn {
			surplus++
		}
	}
	return slices.DeleteFunc(keys, func(k config.Key) bool {
		if !k.Withdrawn || surplus <= 0 {
			return false
		}
		surplus--
		return true
	})
}

// withdrawKey marks a key; a key that is withdrawn already stays so.
func withdrawKey(c *config.Cluster, customer, name string) error {
	k, err := findKey(c, customer, name)
	if err != nil {
		return err
	}
	k.Withdrawn = true
	return nil
}

// revoke orders an emergency revocation through the first instance that takes it.
func (a *app) revoke(ctx context.Context, customer, name string) error {
	ctx, cancel := context.WithTimeout(ctx, a.o.timeout)
	defer cancel()
	targets, err := a.targets(ctx)
	if err != nil {
		return errors.Wrap(err, "instances are not known without the key-value service; give --instance ADDRESS")
	}
	if a.o.dryRun {
		a.say("dry run: key %s.%s would be revoked through one of %d instances", customer, name, len(targets))
		return nil
	}
	var failed error = errors.New("no instance is known")
	for _, t := range targets {
		if failed = a.revokeAt(ctx, t, customer, name); failed == nil {
			return a.reportRevocation(ctx, targets, customer, name)
		}
		a.warn("%v", failed)
	}
	return errors.Wrap(failed, "no instance took the revocation")
}

func (a *app) revokeAt(ctx context.Context, t target, customer, name string) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	_, err := a.services.Operators(t.address).RevokeKey(ctx, connect.NewRequest(&peerv1.RevokeKeyRequest{
		Customer: customer, Key: name, Operator: a.o.operator,
	}))
	if err != nil {
		return errors.Wrap(err, "step=revoke peer="+t.name)
	}
	return nil
}

// reportRevocation tells on how many instances the revocation is known after the wait.
func (a *app) reportRevocation(ctx context.Context, targets []target, customer, name string) error {
	ref := config.KeyRef{Customer: customer, Key: name}
	waiting := targets
	for start := a.env.Now(); len(waiting) > 0 && a.env.Now().Sub(start) < a.o.wait && ctxtime.Sleep(ctx, confirmInterval); {
		waiting = a.unaware(ctx, waiting, ref)
	}
	a.say("key %s.%s is revoked on %d of %d instances", customer, name, len(targets)-len(waiting), len(targets))
	if a.o.output == "json" {
		if err := a.printJSON(map[string]any{"revoked": ref, "confirmed": len(targets) - len(waiting), "instances": len(targets)}); err != nil {
			return err
		}
	}
	if len(waiting) == 0 {
		return nil
	}
	var names []string
	for _, t := range waiting {
		names = append(names, t.name)
	}
	return &notRevokedError{missing: names}
}

// notRevokedError names the instances that did not confirm a revocation in time.
type notRevokedError struct{ missing []string }

func (e *notRevokedError) Error() string {
	return "these instances did not confirm the revocation in time: " + joinNames(e.missing)
}

func (a *app) unaware(ctx context.Context, targets []target, ref config.KeyRef) []target {
	var out []target
	for _, r := range a.ask(ctx, targets) {
		known := slices.ContainsFunc(r.status.Revocations, func(x config.Revocation) bool { return x.KeyRef == ref })
		if r.err != nil || !known {
			out = append(out, r.target)
		}
	}
	return out
}
