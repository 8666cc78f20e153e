package home

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/admission"
	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/pool"
	"github.com/celerystep/celerystep/internal/quorum"
	"github.com/celerystep/celerystep/internal/router"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// streamBackoffBase and streamBackoffMax bound the backoff before a broken status stream is reopened. They are
	// short, because a recovered member is not used until its stream is open.
	streamBackoffBase = 20 * time.Millisecond
	streamBackoffMax  = 500 * time.Millisecond
)

// member is the runtime state of one member. All fields except pendingRound are guarded by the group's lock.
type member struct {
	spec upstream.Member
	// class is the queue class for statements of open transactions on this member.
	class admission.Class
	// pendingRound holds the latest status round for which no request has been sent to the member yet.
	pendingRound chan quorum.RoundID
	stop         context.CancelFunc
	// streaming is true from the first status of a stream until the stream ends.
	streaming bool
	statusAt  time.Time
	// out is true when the member's failure domain is taken out.
	out     bool
	latency router.LatencyAverage
}

// addMember starts the status stream and the status polling of a member.
func (g *Group) addMember(spec upstream.Member, class admission.Class) *member {
	ctx, cancel := context.WithCancel(g.ctx)
	m := &member{spec: spec, class: class, pendingRound: make(chan quorum.RoundID, 1), stop: cancel}
	g.tasks.Go(func() { g.watch(ctx, m) })
	g.tasks.Go(func() { g.pollMember(ctx, m) })
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

// watch keeps the member's status stream open, reopening it with backoff.
func (g *Group) watch(ctx context.Context, m *member) {
	backoff := streamBackoffBase
	for ctx.Err() == nil {
		started := g.now()
		err := g.port.Watch(ctx, g.specOf(m), func(s upstream.MemberStatus) { g.handleStreamStatus(m, &s) })
		if ctx.Err() != nil {
			return
		}
		now := g.now()
		g.handleStreamError(m, err, now)
		if now.Sub(started) > streamBackoffMax {
			backoff = streamBackoffBase
		}
		ctxtime.Sleep(ctx, backoff)
		backoff = min(2*backoff, streamBackoffMax)
	}
}

func (g *Group) specOf(m *member) upstream.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m.spec
}

// handleStreamStatus processes a status from the member's stream.
func (g *Group) handleStreamStatus(m *member, s *upstream.MemberStatus) {
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
	g.executeActions(g.machine.StatusReceived(s, now))
	g.handleStatusChange(change, now)
}

func (g *Group) handleStreamError(m *member, err error, now time.Time) {
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
	// The statement connections to the member may be broken too.
	g.pool.ProbeMember(m.spec.ID, now)
	g.executeActions(g.machine.StreamBroken(m.spec.ID, now))
	g.wakeLoop()
}

// handleStatusChange resumes the commits and queued work that the new status allows. The group must be locked.
func (g *Group) handleStatusChange(c quorum.Change, now time.Time) {
	g.updateAuthority(now)
	if c.Acknowledged || c.Primary {
		g.completeCommits()
	}
	if c.Applied || c.Primary {
		g.dispatch(now)
	}
}

// usable reports whether the member may get new work: its status stream is open and its last status is not stale.
func (m *member) usable(now time.Time) bool {
	return m.streaming && now.Sub(m.statusAt) < statusStaleAfter
}

func (m *member) draining() bool { return m.out || m.spec.State == upstream.MemberLeaving }

func (g *Group) poolConfig() pool.Config {
	c := pool.Config{Connections: g.spec.Connections, Slots: g.spec.Slots}
	for _, m := range g.members {
		c.Members = append(c.Members, pool.MemberConfig{ID: m.spec.ID, Draining: m.draining()})
	}
	return c
}
