package matrix

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/home"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/quorum"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// outage is how long a killed or isolated primary stays away.
	outage = 600 * time.Millisecond
	// farBehind is the time by which replicas apply late.
	farBehind = 400 * time.Millisecond
	// pauseLimit ends a pause when no other home manages to claim.
	pauseLimit = 3 * time.Second
)

// disturb carries out a fault of the surroundings. What takes time goes on in its own goroutine.
func (w *world) disturb(f Fault, at *homeInstance) {
	if w.cell.Protocol == ProtocolAdmission {
		at = w.homeOf(mainGroup)
	}
	g := w.groups[mainGroup]
	switch f {
	case FaultPause:
		w.pause(at)
	case FaultKillHome:
		w.tasks.Go(func() { w.kill(at) })
	case FaultKillPrimary:
		id := w.primary()
		g.Kill(id)
		w.healAfter(outage, func() { _ = g.Restart(id) })
	case FaultIsolate:
		id := w.primary()
		g.Isolate(id)
		w.setIsolated(id)
		w.healAfter(outage, func() {
			w.setIsolated("")
			g.Heal(id)
		})
	case FaultLag:
		for _, m := range g.Upstream().Members {
			g.SetLag(m.ID, 0, farBehind)
			w.healAfter(outage, func() { g.SetLag(m.ID, 0, 0) })
		}
	case FaultWithdraw:
		w.withdrawKey()
	case FaultConfigure:
		w.change(func(c *config.Cluster) { c.Preset = config.PresetPeak })
	case FaultDomainOut:
		id := w.primary()
		domain := w.domainOf(id)
		w.drain(id)
		w.change(func(c *config.Cluster) { setOut(c, domain) })
	case FaultLeave:
		id := w.primary()
		w.drain(id)
		w.change(func(c *config.Cluster) { setLeaving(c, id) })
	case FaultRelease:
		w.tasks.Go(func() { w.move(mainGroup) })
	}
}

// healAfter undoes a fault after d, or earlier when the cell heals.
func (w *world) healAfter(d time.Duration, heal func()) {
	healed := make(chan struct{})
	w.mu.Lock()
	w.heals = append(w.heals, func() { close(healed) })
	w.mu.Unlock()
	w.tasks.Go(func() {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-healed:
		}
		heal()
	})
}

// heal undoes all faults.
func (w *world) heal() {
	w.in.disarm()
	w.mu.Lock()
	heals, kept := w.heals, w.kept
	w.heals, w.kept = nil, nil
	w.mu.Unlock()
	for _, f := range heals {
		f()
	}
	for _, c := range kept {
		_ = c.Close()
	}
}

// primary returns the member that leads in the highest term.
func (w *world) primary() upstream.MemberID { return primaryOf(w, mainGroup) }

func primaryOf(w *world, id upstream.GroupID) upstream.MemberID {
	g := w.groups[id]
	var best upstream.MemberStatus
	for _, m := range g.Upstream().Members {
		s := g.Status(m.ID)
		if s.Role == upstream.RolePrimary && s.Term > best.Term {
			best = s
		}
	}
	if best.Member == "" {
		return g.Upstream().Members[0].ID
	}
	return best.Member
}

func (w *world) domainOf(id upstream.MemberID) instance.FailureDomain {
	for _, m := range w.groups[mainGroup].Upstream().Members {
		if m.ID == id {
			return m.FailureDomain
		}
	}
	return ""
}

// pause holds the instance until another one has claimed its groups and the authority of the old claim must have ended.
// The old home must then grant nothing any more, although it has not learned of its loss.
func (w *world) pause(h *homeInstance) {
	if h == nil || h.dead.Load() || h.away.Swap(true) {
		return
	}
	var held []upstream.GroupID
	for _, id := range w.order {
		if w.homeOf(id) == h {
			held = append(held, id)
		}
	}
	h.gate.shut()
	w.wake()
	w.tasks.Go(func() {
		defer h.away.Store(false)
		defer h.gate.open()
		if !w.waitTaken(h, held) {
			return
		}
		ctxtime.Sleep(w.ctx, quorum.AuthorityWindow+lateBy)
		for _, id := range held {
			w.assertNoAuthority(h, id)
		}
	})
}

// waitTaken waits until other instances are home of the groups.
func (w *world) waitTaken(h *homeInstance, ids []upstream.GroupID) bool {
	deadline := time.Now().Add(pauseLimit)
	for time.Now().Before(deadline) && w.ctx.Err() == nil {
		taken := 0
		for _, id := range ids {
			if w.homeOf(id) != h {
				taken++
			}
		}
		if taken == len(ids) {
			return true
		}
		ctxtime.Sleep(w.ctx, 5*time.Millisecond)
	}
	return false
}

// kill ends an instance at once; another one replaces it.
func (w *world) kill(h *homeInstance) {
	if h == nil || h.dead.Swap(true) {
		return
	}
	w.addHome()
	w.wake()
	h.gate.open()
	h.manager.Close()
	w.mu.Lock()
	ports := h.ports
	w.mu.Unlock()
	for _, p := range ports {
		p.Close()
	}
}

// move hands the group over to the next instance by plan.
func (w *world) move(id upstream.GroupID) {
	w.mu.Lock()
	from := w.current[id]
	busy := w.moving[id]
	w.moving[id] = true
	w.mu.Unlock()
	if busy || from == nil {
		return
	}
	defer func() {
		w.mu.Lock()
		w.moving[id] = false
		w.mu.Unlock()
		w.wake()
	}()
	ctx, cancel := context.WithTimeout(w.ctx, 3*time.Second)
	defer cancel()
	h, err := from.manager.Release(ctx, id)
	if err != nil {
		return
	}
	for _, next := range w.live(id) {
		if next != from {
			w.handOver(ctx, from, next, h)
			return
		}
	}
}

// handOver calls the next home, again when the answer was lost, as a peer would.
func (w *world) handOver(ctx context.Context, from, next *homeInstance, h home.Handover) {
	for range 3 {
		taken, answered := w.callHandover(ctx, from, next, h)
		if !answered {
			continue
		}
		if taken {
			w.setHome(h.Group, next)
		}
		return
	}
}

// callHandover makes one call through the moments of the step.
func (w *world) callHandover(ctx context.Context, from, next *homeInstance, h home.Handover) (taken, answered bool) {
	run := func() bool { return next.manager.Handover(ctx, h) }
	return callPeer(w, StepHandover, from, run)
}

// callPeer runs a call to a peer through its moments. answered is false when its answer is lost.
func callPeer[T any](w *world, step Step, from *homeInstance, run func() T) (answer T, answered bool) {
	var none T
	from.gate.pass()
	switch f := w.in.at(step, BeforeSend, from); f {
	case "":
	case FaultDelay:
		w.tasks.Go(func() {
			ctxtime.Sleep(w.ctx, peerTimeout+lateBy)
			run()
		})
		ctxtime.Sleep(w.ctx, peerTimeout)
		return none, false
	case FaultOneWay:
		run()
		return none, false
	case FaultReset:
		return none, false
	default:
		ctxtime.Sleep(w.ctx, peerTimeout)
		return none, false
	}
	from.gate.pass()
	lost := w.in.at(step, AfterSend, from)
	answer = run()
	if lost != "" {
		ctxtime.Sleep(w.ctx, peerTimeout)
		return none, false
	}
	_ = w.in.at(step, AfterAnswer, from) // a fault of the call's connection has no effect any more
	from.gate.pass()
	return answer, true
}

// peerTimeout is V of design section 8: the time in which an answer to an admission call counts.
const peerTimeout = 200 * time.Millisecond

// admitter asks the home of a customer's main group for tokens.
type admitter struct {
	w    *world
	from *homeInstance
}

// Admit implements home.RemoteAdmitter.
func (a *admitter) Admit(ctx context.Context, main upstream.GroupID, customer string, tokens int) (int, time.Duration, error) {
	to := a.w.homeOf(main)
	if to == nil || to.dead.Load() {
		return 0, 0, errLost
	}
	answer, ok := callPeer(a.w, StepAdmit, a.from, func() home.AdmitResult {
		to.gate.pass()
		return to.manager.Admit(ctx, main, []home.AdmitItem{{Customer: customer, Tokens: tokens}})
	})
	if !ok || !answer.Authoritative {
		return 0, 0, errLost
	}
	return answer.Granted[0].Tokens, answer.RetryAfter[0], nil
}

// withdrawKey withdraws the key of a customer and puts the change in force at all instances.
func (w *world) withdrawKey() {
	w.change(func(c *config.Cluster) {
		for i := range c.Customers {
			if c.Customers[i].Name == withdrawnCustomer {
				c.Customers[i].Keys = []config.Key{{Name: keyOf(withdrawnCustomer), Withdrawn: true}}
			}
		}
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.withdrawals = append(w.withdrawals, check.Withdrawal{
		Customer: withdrawnCustomer, Key: keyOf(withdrawnCustomer), At: time.Now(),
	})
}

// isolatedMember returns the member whose status connections are cut, or "".
func (w *world) isolatedMember() upstream.MemberID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isolated
}

func (w *world) setIsolated(id upstream.MemberID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isolated = id
}
