package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/experiment"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/standin/group"
	"github.com/celerystep/celerystep/internal/upstream"
)

// startGroups starts the database groups of the topology.
func (f *Fleet) startGroups() error {
	for i := range f.topology.Groups {
		t := &f.topology.Groups[i]
		o := group.Options{
			ID:           t.ID,
			Slots:        t.Slots,
			Connections:  t.Connections,
			ConnectDelay: t.ConnectTime.D(),
			ServiceTime:  t.ServiceTime.D(),
			ReceiveLag:   f.topology.DomainLatency.D() / 2,
			ApplyLag:     t.ReplicaLag.D(),
			Capture:      f.options.Capture,
			Logger:       f.log.Named("group"),
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

// IsolateMember implements experiment.GroupControl. The member is cut off from the other members only. Instances still
// reach it, which is the harder case: a primary that goes on taking writes.
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
		all = append(all, transactions(id, log)...)
	}
	return all, nil
}

// transactions turns a member's log, which names each statement's transaction, into statements with the BEGIN and the
// end that the checkers read.
func transactions(id upstream.GroupID, log []group.LoggedStatement) []check.Statement {
	byID := make(map[uint64][]*group.LoggedStatement)
	var order []uint64
	for i := range log {
		t := log[i].Transaction
		if byID[t] == nil {
			order = append(order, t)
		}
		byID[t] = append(byID[t], &log[i])
	}
	var out []check.Statement
	for _, t := range order {
		out = append(out, transaction(id, byID[t])...)
	}
	return out
}

func transaction(id upstream.GroupID, log []*group.LoggedStatement) []check.Statement {
	first, last := log[0], log[len(log)-1]
	if len(log) == 1 && !first.Block {
		return []check.Statement{single(id, first)}
	}
	begin := statement(id, first)
	begin.Text, begin.Params, begin.Code, begin.Position = "BEGIN", nil, "", position.Position{}
	begin.Start = first.Time.Add(-time.Nanosecond)
	out := []check.Statement{begin}
	for _, l := range log {
		s := statement(id, l)
		s.Position = position.Position{}
		out = append(out, s)
	}
	if last.Outcome == group.OutcomeOpen {
		return out
	}
	end := statement(id, last)
	end.Text, end.Params, end.Code = "COMMIT", nil, ""
	if last.Outcome == group.OutcomeRolledBack {
		end.Text = "ROLLBACK"
	}
	end.Start = last.Time.Add(time.Nanosecond)
	end.End = end.Start
	return append(out, end)
}

// single returns a statement that was a transaction by itself.
func single(id upstream.GroupID, l *group.LoggedStatement) check.Statement {
	s := statement(id, l)
	if l.Outcome == group.OutcomeOpen {
		s.End = time.Time{}
	}
	return s
}

func statement(id upstream.GroupID, l *group.LoggedStatement) check.Statement {
	s := check.Statement{
		Group:      id,
		Member:     l.Member,
		Role:       l.Role,
		Connection: uint64(l.Connection),
		Owner:      l.Owner,
		Customer:   l.Customer,
		Text:       l.SQL,
		Start:      l.Time,
		End:        l.Time,
		Position:   l.Position,
		Code:       l.State,
	}
	for _, a := range l.Args {
		s.Params = append(s.Params, fmt.Sprint(a))
	}
	return s
}
