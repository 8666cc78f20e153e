package home

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/failover"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Switchover moves the primary of the group on an operator's order and waits until the new one is announced. target may
// be empty. An error before the start says why the order was refused; nothing was changed then.
func (m *Manager) Switchover(ctx context.Context, id upstream.GroupID, target upstream.MemberID, operator string) (Ownership, error) {
	g := m.find(id)
	if g == nil {
		return Ownership{}, ErrNotOwned
	}
	done, err := g.startSwitchover(failover.SwitchoverRequest{Target: target, Operator: operator})
	if err != nil {
		return Ownership{}, err
	}
	select {
	case o := <-done:
		if o.Lost {
			return o, ErrNotOwned
		}
		return o, nil
	case <-ctx.Done():
		return Ownership{}, errors.Wrap(ctx.Err(), "wait for the new primary")
	}
}

func (g *Group) startSwitchover(r failover.SwitchoverRequest) (<-chan Ownership, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.phase != phaseServing {
		return nil, ErrNotOwned
	}
	actions, err := g.machine.Switchover(r, g.now())
	if err != nil {
		return nil, err
	}
	done := make(chan Ownership, 1)
	g.switchovers = append(g.switchovers, done)
	g.act(actions)
	return done, nil
}

// answerSwitchovers tells the operators who wait that a primary was announced or the role ended.
func (g *Group) answerSwitchovers() {
	for _, done := range g.switchovers {
		done <- g.ownership()
	}
	g.switchovers = nil
}
