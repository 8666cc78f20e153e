package home

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/failover"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Switchover moves the primary of the group at an operator's request and waits until the new primary is announced. If
// target is empty, any other member may become the primary. If the request is refused, nothing has changed.
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
	case end := <-done:
		return end.ownership, end.err
	case <-ctx.Done():
		return Ownership{}, errors.Wrap(ctx.Err(), "wait for the new primary")
	}
}

// switchoverResult is the result that a waiting operator receives.
type switchoverResult struct {
	ownership Ownership
	err       error
}

func (g *Group) startSwitchover(r failover.SwitchoverRequest) (<-chan switchoverResult, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.phase != phaseServing {
		return nil, ErrNotOwned
	}
	actions, err := g.machine.Switchover(r, g.now())
	if err != nil {
		return nil, err
	}
	w := &switchoverWaiter{target: r.Target, from: g.primary, done: make(chan switchoverResult, 1)}
	g.switchovers = append(g.switchovers, w)
	g.executeActions(actions)
	return w.done, nil
}

// switchoverWaiter is a switchover request that waits for a new primary: target, or any other than from if target is
// empty.
type switchoverWaiter struct {
	target upstream.MemberID
	from   upstream.MemberID
	done   chan switchoverResult
}

// reached reports whether primary satisfies the request.
func (w *switchoverWaiter) reached(primary upstream.MemberID) bool {
	if w.target != "" {
		return primary == w.target
	}
	return primary != w.from
}

// finishSwitchovers completes the waiting switchover requests after a primary was announced. The state machine may have
// promoted another member than requested, for example the old primary if its log was ahead.
func (g *Group) finishSwitchovers() {
	for _, w := range g.switchovers {
		end := switchoverResult{ownership: g.ownership()}
		if !w.reached(g.primary) {
			end.err = errors.Errorf("the switchover ended with %s as the primary of term %d", g.primary, g.term)
		}
		w.done <- end
	}
	g.switchovers = nil
}

// failSwitchovers fails all waiting switchover requests.
func (g *Group) failSwitchovers(err error) {
	for _, w := range g.switchovers {
		w.done <- switchoverResult{ownership: g.ownership(), err: err}
	}
	g.switchovers = nil
}
