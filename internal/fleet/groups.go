package fleet

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/experiment"
	"github.com/celerystep/celerystep/internal/standin/group"
	"github.com/celerystep/celerystep/internal/statementlog"
	"github.com/celerystep/celerystep/internal/upstream"
)

// startGroups starts the database groups of the topology.
func (f *Fleet) startGroups() error {
	for i := range f.topology.Groups {
		t := &f.topology.Groups[i]
		o := group.Options{
			ID:             t.ID,
			Slots:          t.Slots,
			Connections:    t.Connections,
			ConnectDelay:   t.ConnectTime.D(),
			ServiceTime:    t.ServiceTime.D(),
			ReceiveLag:     f.topology.DomainLatency.D() / 2,
			ApplyLag:       t.ReplicaLag.D(),
			Capture:        f.options.Capture,
			FaultFunctions: f.options.FaultFunctions,
			Logger:         f.log.Named("group"),
		}
		for _, m := range t.Members {
			o.Members = append(o.Members, group.MemberOptions{ID: m.ID, FailureDomain: m.FailureDomain})
		}
		g, err := group.Start(o)
		if err != nil {
			return errors.Wrapf(err, "start group %s", t.ID)
		}
		f.groups[t.ID] = g
	}
	return nil
}

func (f *Fleet) group(id upstream.GroupID) (*group.Group, error) {
	g, ok := f.groups[id]
	if !ok {
		return nil, errors.Errorf("unknown group %s", id)
	}
	return g, nil
}

// Primary implements experiment.GroupControl.
func (f *Fleet) Primary(id upstream.GroupID) (upstream.Member, error) {
	g, err := f.group(id)
	if err != nil {
		return upstream.Member{}, err
	}
	var best upstream.Member
	var term uint64
	for _, m := range g.Upstream().Members {
		s := g.Status(m.ID)
		if s.Role == upstream.RolePrimary && uint64(s.Term) >= term {
			best, term = m, uint64(s.Term)
		}
	}
	if best.ID == "" {
		return best, errors.Errorf("group %s has no primary", id)
	}
	return best, nil
}

// KillMember implements experiment.GroupControl.
func (f *Fleet) KillMember(_ context.Context, id upstream.GroupID, m upstream.MemberID) error {
	g, err := f.group(id)
	if err != nil {
		return err
	}
	g.Kill(m)
	return nil
}

// RestartMember implements experiment.GroupControl.
func (f *Fleet) RestartMember(_ context.Context, id upstream.GroupID, m upstream.MemberID) error {
	g, err := f.group(id)
	if err != nil {
		return err
	}
	return g.Restart(m)
}

// IsolateMember implements experiment.GroupControl. The member is partitioned only from the other members. Instances still reach
// it, which is the harder case, because an isolated primary continues to accept writes.
func (f *Fleet) IsolateMember(_ context.Context, id upstream.GroupID, m upstream.MemberID) error {
	g, err := f.group(id)
	if err != nil {
		return err
	}
	g.Isolate(m)
	return nil
}

// HealMember implements experiment.GroupControl.
func (f *Fleet) HealMember(_ context.Context, id upstream.GroupID, m upstream.MemberID) error {
	g, err := f.group(id)
	if err != nil {
		return err
	}
	g.Heal(m)
	return nil
}

// SetLag implements experiment.GroupControl.
func (f *Fleet) SetLag(_ context.Context, id upstream.GroupID, m upstream.MemberID, d time.Duration) error {
	g, err := f.group(id)
	if err != nil {
		return err
	}
	g.SetLag(m, f.topology.DomainLatency.D()/2, d)
	return nil
}

// Log implements experiment.GroupControl.
func (f *Fleet) Log(id upstream.GroupID) (experiment.LogEnd, error) {
	m, err := f.Primary(id)
	if err != nil {
		return experiment.LogEnd{}, err
	}
	s := f.groups[id].Status(m.ID)
	return experiment.LogEnd{Primary: m.ID, History: s.History, End: s.Received}, nil
}

// Statements implements experiment.GroupControl.
func (f *Fleet) Statements(id upstream.GroupID) ([]check.Statement, error) {
	g, err := f.group(id)
	if err != nil {
		return nil, err
	}
	var all []check.Statement
	for _, m := range g.Upstream().Members {
		log, dropped := g.StatementLog(m.ID)
		if dropped > 0 {
			return nil, errors.Errorf("member %s did not keep %d statements", m.ID, dropped)
		}
		all = append(all, statementlog.Convert(id, log)...)
	}
	return all, nil
}
