package home

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/admission"
	"github.com/celerystep/celerystep/internal/pool"
	"github.com/celerystep/celerystep/internal/quorum"
	"github.com/celerystep/celerystep/internal/router"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// streamBackoffBase and streamBackoffMax bound the wait before a broken status stream is opened again. They are
	// short, because a member that returns is not used before its stream is back.
	streamBackoffBase = 20 * time.Millisecond
	streamBackoffMax  = 500 * time.Millisecond
)

// member is the runtime of one member. It is guarded by the group's lock, except mailbox.
type member struct {
	spec upstream.Member
	// class is the queue class of statements of open transactions on this member.
	class admission.Class
	// mailbox holds the id of the latest round that the member has not been asked for.
	mailbox chan quorum.RoundID
	stop    context.CancelFunc
	// streaming is true between the first status of a stream and its end.
	streaming bool
	statusAt  time.Time
	out       bool
	latency   router.LatencyAverage
}

// addMember starts the status stream and the status requests of a member.
func (g *Group) addMember(spec upstream.Member, class admission.Class) *member {
	ctx, cancel := context.WithCancel(g.ctx)
	m := &member{spec: spec, class: class, mailbox: make(chan quorum.RoundID, 1), stop: cancel}
	g.tasks.Go(func() { g.watch(ctx, m) })
	g.tasks.Go(func() { g.answerRounds(ctx, m) })
	return m
}

func (g *Group) member(id upstream.MemberID) *member {
	for _, m := range g.members {
		if m.spec.ID == id {
			return m
		}
	}
	return nil
}

// watch keeps the member's status stream open.
func (g *Group) watch(ctx context.Context, m *member) {
	backoff := streamBackoffBase
	for ctx.Err() == nil {
		started := g.now()
		err := g.port.Watch(ctx, g.specOf(m), func(s upstream.MemberStatus) { g.streamed(m, &s) })
		if ctx.Err() != nil {
			return
		}
		now := g.now()
		g.streamBroken(m, err, now)
		if now.Sub(started) > streamBackoffMax {
			backoff = streamBackoffBase
		}
		sleep(ctx, backoff)
		backoff = min(2*backoff, streamBackoffMax)
	}
}

func (g *Group) specOf(m *member) upstream.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m.spec
}

// streamed takes a status from the member's stream.
func (g *Group) streamed(m *member, s *upstream.MemberStatus) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.phase == phaseClosed {
		return
	}
	now := g.now()
	if !m.streaming {
		m.streaming = true
		g.pool.SetReachable(m.spec.ID, true, now)
		g.log.Info("status stream open", "member", m.spec.ID, "role", s.Role, "term", s.Term)
	}
	m.statusAt = now
	change := g.tracker.Observe(s, now)
	g.act(g.machine.StatusReceived(s, now))
	g.changed(change, now)
}

func (g *Group) streamBroken(m *member, err error, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.phase == phaseClosed {
		return
	}
	if m.streaming {
		g.log.Warn("status stream broken", "member", m.spec.ID, "error", err)
	}
	m.streaming = false
	g.pool.SetReachable(m.spec.ID, false, now)
	// What broke the stream may have broken the statement connections too.
	g.pool.ProbeMember(m.spec.ID, now)
	g.act(g.machine.StreamBroken(m.spec.ID, now))
	g.wakeLoop()
}

// changed wakes what waits for the facts that a status moved. The group must be locked.
func (g *Group) changed(c quorum.Change, now time.Time) {
	g.updateAuthority(now)
	if c.Acknowledged || c.Primary {
		g.settleCommits()
	}
	if c.Applied || c.Primary {
		g.dispatch(now)
	}
}

// usable reports whether new work may go to the member: its stream is open and not silent.
func (m *member) usable(now time.Time) bool { return m.streaming && now.Sub(m.statusAt) < staleStatus }

func (m *member) draining() bool { return m.out || m.spec.State == upstream.MemberLeaving }

func (g *Group) poolConfig() pool.Config {
	c := pool.Config{Connections: g.spec.Connections, Slots: g.spec.Slots}
	for _, m := range g.members {
		c.Members = append(c.Members, pool.MemberConfig{ID: m.spec.ID, Draining: m.draining()})
	}
	return c
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
