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
	// Phase is the phase of the failover state machine, which it entered at Since because of Cause.
	Phase string         `json:"phase"`
	Cause failover.Cause `json:"cause"`
	Since time.Time      `json:"since"`
	// WritesHeld is true while a switchover holds back writes, CommitsStalled while commits get no quorum receipt.
	WritesHeld     bool `json:"writes_held"`
	CommitsStalled bool `json:"commits_stalled"`
	// Waiting counts queued requests, Parked the reads that wait for a member, and Settling the commits that wait for
	// quorum receipt.
	Waiting  int            `json:"waiting"`
	Parked   int            `json:"parked"`
	Settling int            `json:"settling"`
	Members  []MemberStatus `json:"members"`
}

// MemberStatus is the home's view of a member. Known is false if no status was received yet.
type MemberStatus struct {
	Status upstream.MemberStatus `json:"status"`
	Known  bool                  `json:"known"`
	// Usable is false while the status stream is broken or stale.
	Usable bool `json:"usable"`
	// Age is the age of the member's data; negative if unknown.
	Age time.Duration `json:"age_ns"`
	// Latency is the moving average of the member's read latency.
	Latency time.Duration `json:"latency_ns"`
	// Weight is the routing weight, which rises from 0.1 to 1 after a member becomes reachable again.
	Weight float64   `json:"weight"`
	Load   pool.Load `json:"load"`
}

// Status returns the state of all groups that this instance is the home of.
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
