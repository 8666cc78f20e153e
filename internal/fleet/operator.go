package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/experiment"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/keys"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/upstream"
)

// operatorName is the operator recorded in the audit trail for changes made by the fleet.
const operatorName = "fleet"

// proposeAttempts bounds the retries of a change after conflicts with concurrent changes.
const proposeAttempts = 10

// operator changes the configuration in the same way as celerystepctl.
type operator struct {
	repository *config.Repository

	mu          sync.Mutex
	sequence    int
	credentials map[string]load.Credential
	issued      map[string]int
}

// startOperator stores the initial configuration.
func (f *Fleet) startOperator(ctx context.Context) error {
	initialCluster, credentials, err := f.initialCluster()
	if err != nil {
		return err
	}
	f.initialConfig = config.NewSnapshot(initialCluster)
	f.operator = &operator{
		repository:  config.NewRepository(f.store),
		credentials: credentials,
		issued:      make(map[string]int),
	}
	return f.operator.change(ctx, func(c *config.Cluster) error {
		*c = *initialCluster.Clone()
		return nil
	})
}

// requireCelerystep returns experiment.ErrUnsupported unless the fleet runs celerystep.
func (f *Fleet) requireCelerystep() error {
	if f.options.Mode == "" || f.options.Mode == experiment.ModeCelerystep {
		return nil
	}
	return experiment.ErrUnsupported
}

// change applies a change to the current configuration. It retries conflicts with the same operation id.
func (o *operator) change(ctx context.Context, mutate func(*config.Cluster) error) error {
	o.mu.Lock()
	o.sequence++
	id := fmt.Sprintf("fleet-%d-%d", time.Now().UnixNano(), o.sequence)
	o.mu.Unlock()
	var err error
	for range proposeAttempts {
		err = o.propose(ctx, id, mutate)
		var conflict *config.ConflictError
		if err == nil || !errors.As(err, &conflict) {
			return err
		}
	}
	return err
}

func (o *operator) propose(ctx context.Context, id string, mutate func(*config.Cluster) error) error {
	stored, err := o.repository.Load(ctx)
	if err != nil {
		return errors.Wrap(err, "load configuration")
	}
	_, err = o.repository.Propose(ctx, config.Proposal{
		Base: stored.Version(), Mutate: mutate, Operator: operatorName, OperationID: id,
	})
	return err
}

func (f *Fleet) setDomain(ctx context.Context, d instance.FailureDomain, out bool) error {
	if err := f.requireCelerystep(); err != nil {
		return err
	}
	return f.operator.change(ctx, func(c *config.Cluster) error {
		for i := range c.FailureDomains {
			if c.FailureDomains[i].Name == d {
				c.FailureDomains[i].Out = out
				return nil
			}
		}
		return errors.Errorf("unknown failure domain %s", d)
	})
}

// DomainOut implements experiment.OperatorControl.
func (f *Fleet) DomainOut(ctx context.Context, d instance.FailureDomain) error {
	return f.setDomain(ctx, d, true)
}

// DomainIn implements experiment.OperatorControl.
func (f *Fleet) DomainIn(ctx context.Context, d instance.FailureDomain) error {
	return f.setDomain(ctx, d, false)
}

func findCustomer(c *config.Cluster, name string) (*config.Customer, error) {
	for i := range c.Customers {
		if c.Customers[i].Name == name {
			return &c.Customers[i], nil
		}
	}
	return nil, errors.Errorf("unknown customer %s", name)
}

// IssueKey implements experiment.OperatorControl.
func (f *Fleet) IssueKey(ctx context.Context, customer string) error {
	if err := f.requireCelerystep(); err != nil {
		return err
	}
	o := f.operator
	o.mu.Lock()
	o.issued[customer]++
	name := fmt.Sprintf("k%d", o.issued[customer]+1)
	o.mu.Unlock()
	secret, key, err := keys.Issue(name)
	if err != nil {
		return err
	}
	err = o.change(ctx, func(c *config.Cluster) error {
		t, err := findCustomer(c, customer)
		if err != nil {
			return err
		}
		t.Keys = append(t.Keys, key)
		return nil
	})
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.credentials[customer] = load.Credential{User: customer + "." + name, Password: secret.Reveal()}
	o.mu.Unlock()
	return nil
}

// WithdrawKey implements experiment.OperatorControl.
func (f *Fleet) WithdrawKey(ctx context.Context, customer, key string) error {
	if err := f.requireCelerystep(); err != nil {
		return err
	}
	return f.operator.change(ctx, func(c *config.Cluster) error {
		t, err := findCustomer(c, customer)
		if err != nil {
			return err
		}
		for i := range t.Keys {
			if t.Keys[i].Name == key {
				t.Keys[i].Withdrawn = true
				return nil
			}
		}
		return errors.Errorf("customer %s has no key %s", customer, key)
	})
}

// SetPreset implements experiment.OperatorControl.
func (f *Fleet) SetPreset(ctx context.Context, p config.Preset) error {
	if err := f.requireCelerystep(); err != nil {
		return err
	}
	return f.operator.change(ctx, func(c *config.Cluster) error {
		c.Preset = p
		return nil
	})
}

// Switchover implements experiment.OperatorControl.
func (f *Fleet) Switchover(ctx context.Context, g upstream.GroupID) error {
	if err := f.requireCelerystep(); err != nil {
		return err
	}
	var last error
	for _, s := range f.list() {
		n, ok := s.(*node)
		if !ok || !n.running() {
			continue
		}
		if last = n.daemon.Switchover(ctx, g, "", operatorName); last == nil {
			return nil
		}
	}
	return last
}

// Credential implements experiment.OperatorControl.
func (f *Fleet) Credential(customer string) (load.Credential, error) {
	if f.options.Mode == experiment.ModeDirect {
		return load.Credential{User: memberUser}, nil
	}
	f.operator.mu.Lock()
	defer f.operator.mu.Unlock()
	c, ok := f.operator.credentials[customer]
	if !ok {
		return load.Credential{}, errors.Errorf("unknown customer %s", customer)
	}
	return c, nil
}
