package home

import (
	"time"

	"github.com/celerystep/celerystep/internal/failover"
	"github.com/celerystep/celerystep/internal/pool"
	"github.com/celerystep/celerystep/internal/upstream"
)

// GroupStatus is a group's state for the status page.
type GroupStatus struct {
	Ownership
	// Phase is the state of the failover state machine, entered for Cause at Since.
	Phase string         `json:"phase"`
	Cause failover.Cause `json:"cause"`
	Since time.Time      `json:"since"`
	// WritesHeld is true during a switchover, CommitsStalled while commits get no quorum receipt.
	WritesHeld     bool `json:"writes_held"`
	CommitsStalled bool `json:"commits_stalled"`
	// Waiting counts queued requests, Parked reads that wait for a member, Settling commits that wait for receipt.
	Waiting  int            `json:"waiting"`
	Parked   int            `json:"parked"`
	Settling int            `json:"settling"`
	Members  []MemberStatus `json:"members"`
}

// MemberStatus is what the home knows of a member.
type MemberStatus struct {
	Status upstream.MemberStatus `json:"status"`
	Known  bool                  `json:"known"`
	// Usable is false while the status stream is broken or silent.
	Usable bool `json:"usable"`
	// Age is the age of the member's data; negative when it is not known.
	Age time.Duration `json:"age_ns"`
	// Latency is the moving average of its reads.
	Latency time.Duration `json:"latency_ns"`
	// Weight is the routing weight of a member that returns, from 0.1 to 1.
	Weight float64   `json:"weight"`
	Load   pool.Load `json:"load"`
}

// Status describes the groups whose home this instance is.
func (m *Manager) Status() []GroupStatus {
	var out []GroupStatus
	for _, g := range *m.groups.Load() {
		out = append(out, g.status())
	}
	return out
}

func (g *Group) status() GroupStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	v := g.machine.View()
	s := GroupStatus{
		Ownership:      g.ownership(),
		Phase:          v.Phase.String(),
		Cause:          v.Cause,
		Since:          v.Since,
		WritesHeld:     g.writesHeld,
		CommitsStalled: g.commitsStalled(now),
		Waiting:        g.queue.Len(),
		Parked:         len(g.parked),
		Settling:       len(g.commits),
	}
	for _, m := range g.members {
		s.Members = append(s.Members, g.memberStatus(m, now))
	}
	return s
}

func (g *Group) memberStatus(m *member, now time.Time) MemberStatus {
	id := m.spec.ID
	s := MemberStatus{
		Status:  upstream.MemberStatus{Member: id},
		Usable:  m.usable(now),
		Age:     -1,
		Latency: m.latency.Value(),
		Weight:  g.pool.Weight(id, now),
		Load:    g.pool.Load(id),
	}
	if latest, _ := g.tracker.Status(id); latest != nil {
		s.Status, s.Known = *latest, true
	}
	if age, ok := g.tracker.Age(id, now); ok {
		s.Age = age
	}
	return s
}
