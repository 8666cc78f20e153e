package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/celerystep/celerystep/internal/upstream"
)

var start = time.Unix(1000, 0)

func members(ids ...upstream.MemberID) []MemberConfig {
	var out []MemberConfig
	for _, id := range ids {
		out = append(out, MemberConfig{ID: id})
	}
	return out
}

// newPool returns a pool of three members with 17 statement connections and three slots, primary a.
func newPool() *Pool {
	p := New(rand.New(rand.NewPCG(1, 2)))
	p.Configure(Config{Connections: 20, Slots: 3, Members: members("a", "b", "c")}, start)
	p.SetPrimary("a")
	return p
}

// settle carries out the plans until one is empty and returns the number of opens.
func settle(p *Pool, now time.Time) int {
	opens := 0
	for {
		actions := p.Plan(now)
		if len(actions) == 0 {
			return opens
		}
		for _, a := range actions {
			switch a.Kind {
			case ActionOpen:
				opens++
				p.Opened(a.Conn, now)
			case ActionProbe:
				p.Release(a.Conn, now)
			}
		}
	}
}

// Guards against a primary without connections while replicas hold idle ones.
func TestFloorsKeepEnoughForThePrimary(t *testing.T) {
	is := is.New(t)
	p := newPool()
	settle(p, start)
	is.Equal(p.Load("a").Idle, 4)
	is.Equal(p.Load("b").Idle, 3)
	var pinned []ConnID
	for range 40 { // read-only transactions pin connections to a replica as far as its share goes
		id, ok := p.Acquire("b", "x")
		if !ok {
			settle(p, start)
			continue
		}
		p.Pin(id)
		pinned = append(pinned, id)
	}
	is.Equal(len(pinned), 5) // 17 minus the primary's reserve of 9 minus three to c
	p.SetPrimary("c")
	settle(p, start.Add(time.Second))
	is.Equal(p.Load("c").Idle, 4) // the new primary reaches its floor at once
	is.True(p.Open() <= 17)
}

// Guards against requests that wait for a connection while another member holds idle ones above its floor.
func TestDemandMovesIdleConnections(t *testing.T) {
	is := is.New(t)
	p := New(rand.New(rand.NewPCG(1, 2)))
	p.Configure(Config{Connections: 9, Slots: 3, Members: members("a", "b", "c")}, start)
	p.SetPrimary("b")
	settle(p, start)
	p.SetPrimary("a") // three connections to b, of which a needs two
	settle(p, start)
	is.Equal(p.Load("a").Open, 3)
	for range 3 {
		id, _ := p.Acquire("a", "x")
		p.Pin(id)
	}
	_, ok := p.Acquire("a", "x")
	is.True(!ok)
	is.Equal(settle(p, start.Add(rebalanceIdle/2)), 0) // not idle for long enough
	p.Acquire("a", "x")
	settle(p, start.Add(rebalanceIdle))
	is.Equal(p.Load("a").Open, 4)
	id, _ := p.Acquire("a", "x")
	p.Pin(id)
	p.Acquire("a", "x")
	is.Equal(settle(p, start.Add(time.Second)), 0) // b and c are at their floors
	is.Equal(p.Open(), 6)
}

// Guards against new statements on a leaving member or in a failure domain that is out of service, and against
// interrupting a transaction.
func TestDrainLetsTransactionsFinish(t *testing.T) {
	is := is.New(t)
	p := newPool()
	settle(p, start)
	id, _ := p.Acquire("b", "x")
	p.Pin(id)
	c := Config{Connections: 20, Slots: 3, Members: members("a", "b", "c")}
	c.Members[1].Draining = true
	p.Configure(c, start)
	settle(p, start)
	is.Equal(p.Load("b").Open, 1)
	_, ok := p.Acquire("b", "x")
	is.True(!ok)
	is.True(p.Resume(id))
	is.True(!p.Release(id, start)) // closed, not reused
	p.Remove(id)
	c.Members[0].Draining = true
	p.Configure(c, start)
	_, ok = p.Acquire("a", "x")
	is.True(ok) // writes have no other member until the switchover
}

// Guards against opening all connections at once to a member that is reachable again, and against full load on it while
// its caches are cold.
func TestReturningMemberRampsUp(t *testing.T) {
	is := is.New(t)
	p := newPool()
	p.SetReachable("b", false, start)
	settle(p, start)
	is.Equal(p.Load("b").Open, 0)
	p.SetReachable("b", true, start)
	actions := p.Plan(start)
	is.Equal(len(actions), 1)
	is.Equal(len(p.Plan(start)), 0)
	p.OpenFailed(actions[0].Conn, start)
	is.Equal(len(p.Plan(start)), 0) // backoff
	is.Equal(len(p.Plan(start.Add(openBackoffBase))), 1)
	is.Equal(p.Weight("b", start), rampStart)
	is.True(p.Weight("b", start.Add(rampDuration/2)) == 0.55)
	is.Equal(p.Weight("b", start.Add(rampDuration)), 1.0)
	is.Equal(p.Weight("a", start), 1.0)
}

// Guards against an unresponsive idle connection that is not detected until a request uses it.
func TestKeepAliveIsDueAfterIdleTime(t *testing.T) {
	is := is.New(t)
	p := newPool()
	settle(p, start)
	is.Equal(len(p.Plan(start.Add(keepAliveInterval-1))), 0)
	actions := p.Plan(start.Add(keepAliveInterval))
	is.Equal(len(actions), 10)
	is.Equal(actions[0].Kind, ActionProbe)
	_, ok := p.Acquire("a", "x")
	is.True(!ok) // connections being probed are not handed out
	p.Release(actions[0].Conn, start.Add(keepAliveInterval))
	p.ProbeMember("a", start.Add(keepAliveInterval+1))
	is.Equal(len(p.Plan(start.Add(keepAliveInterval+1))), 1)
}

// Guards against counters that drift: compares them after random events with a recount of all connections.
func TestCountersMatchAfterRandomEvents(t *testing.T) {
	ids := []upstream.MemberID{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		p := newPool()
		now := start
		draining := make(map[upstream.MemberID]bool)
		limit := 17
		var live []ConnID
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			m := rapid.SampledFrom(ids).Draw(t, "member")
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0, 1:
				for _, a := range p.Plan(now) {
					if a.Kind != ActionClose {
						live = append(live, a.Conn)
					}
				}
			case 2:
				if id, ok := p.Acquire(m, "x"); ok {
					if draining[m] && p.primary.id != m {
						t.Fatalf("draining member %s got new work", m)
					}
					live = append(live, id)
				}
			case 3:
				p.SetPrimary(m)
			case 4:
				p.SetReachable(m, rapid.Bool().Draw(t, "reachable"), now)
			case 5:
				draining[m] = !draining[m]
				c := Config{Connections: 20, Slots: 3, Members: members(ids...)}
				for i, id := range ids {
					c.Members[i].Draining = draining[id]
				}
				p.Configure(c, now)
			case 6:
				p.DropMember(m)
			default:
				if len(live) > 0 {
					finish(t, p, live[len(live)-1], now)
					live = live[:len(live)-1]
				}
			}
			recount(t, p, limit)
		}
	})
}

// finish moves a connection that the caller holds to a random next state.
func finish(t *rapid.T, p *Pool, id ConnID, now time.Time) {
	keep := rapid.Bool().Draw(t, "keep")
	switch p.State(id) {
	case StateOpening:
		if !keep {
			p.OpenFailed(id, now)
		} else if !p.Opened(id, now) {
			p.Remove(id)
		}
	case StateTransaction:
		if !p.Resume(id) {
			p.Remove(id)
			return
		}
		finish(t, p, id, now)
	case StateBusy:
		if keep {
			p.Pin(id)
		} else {
			p.Reset(id)
		}
	case StateResetting:
		if !keep || !p.Release(id, now) {
			p.Remove(id)
		}
	case StateClosing:
		p.Remove(id)
	}
}

func recount(t *rapid.T, p *Pool, limit int) {
	if len(p.conns) > limit {
		t.Fatalf("%d connections, limit %d", len(p.conns), limit)
	}
	for _, m := range p.order {
		var total, busy, opening, idle int
		for _, c := range p.conns {
			if c.member != m {
				continue
			}
			total++
			switch c.state {
			case StateBusy:
				busy++
			case StateOpening:
				opening++
			case StateIdle:
				idle++
			}
		}
		if total != m.total || busy != m.busy || opening != m.opening || idle != len(m.idle) || busy > p.slots {
			t.Fatalf("member %s: counted %d/%d/%d/%d, kept %+v", m.id, total, busy, opening, idle, m)
		}
	}
}
