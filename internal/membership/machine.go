package membership

import (
	"math/rand/v2"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
)

// Config holds what a Machine knows at its start.
type Config struct {
	Self instance.Info
	// Incarnation is the start time of the process in milliseconds since 1970, so that an instance that was replaced
	// and kept its id wins over the records of its predecessor.
	Incarnation uint64
	// Seed makes the random choices repeatable.
	Seed uint64
}

// Machine is the membership state of one instance. It is not safe for concurrent use.
//
// The runtime calls Tick each TickInterval, performs the calls that the methods return, passes each result to HandleReply,
// and passes calls from peers to Gossip, Probe and Relay.
type Machine struct {
	self     instance.ID
	rng      *rand.Rand
	state    *state
	ring     ring
	peers    *peerSet
	partners []instance.ID
	reach    *reach

	suspicions map[instance.ID]suspicion
	tombstones map[instance.ID]tombstone
	indirect   map[instance.ID]*indirectProbe
	unanswered []instance.ID
	urgent     *newsQueue
	news       *newsQueue
	recent     recentNews
	pullUntil  time.Time
	budget     byteBudget
	directory  directory
	join       join

	started    time.Time
	lastRun    time.Time
	epoch      uint64
	due        schedule
	replaced   bool
	storeProof time.Time

	view           *View
	membersVersion uint64
	homesVersion   uint64
	changes        Changes
}

// schedule holds the next time of each periodic action.
type schedule struct {
	probe     [ProbePartners]time.Time
	push      time.Time
	exchange  time.Time
	reconnect time.Time
	sample    time.Time
	forget    time.Time
}

// New returns a machine that knows only its own instance. It joins the fleet through the instances passed to ApplyInstanceList.
func New(now time.Time, c Config) *Machine {
	m := &Machine{
		self:       c.Self.ID,
		rng:        rand.New(rand.NewPCG(c.Seed, c.Incarnation)),
		state:      newState(),
		peers:      newPeerSet(),
		reach:      newReach(),
		suspicions: make(map[instance.ID]suspicion),
		tombstones: make(map[instance.ID]tombstone),
		indirect:   make(map[instance.ID]*indirectProbe),
		urgent:     newNewsQueue(),
		news:       newNewsQueue(),
		directory:  newDirectory(),
		started:    now,
		lastRun:    now,
	}
	m.budget.refill(now)
	m.schedule(now)
	m.apply(now, Member{
		ID:              c.Self.ID,
		State:           instance.StateLive,
		Incarnation:     c.Incarnation,
		Info:            c.Self,
		InfoIncarnation: c.Incarnation,
	}, CauseJoined, c.Self.ID)
	return m
}

// schedule spreads the periodic actions of the instances of a fleet that starts at once.
func (m *Machine) schedule(now time.Time) {
	start := now.Add(m.random(ProbeInterval))
	for i := range m.due.probe {
		m.due.probe[i] = start.Add(time.Duration(i) * ProbeInterval / ProbePartners)
	}
	m.due.push = now.Add(m.random(PushInterval))
	m.due.exchange = now.Add(m.random(JoinInterval))
	m.due.reconnect = now.Add(m.random(ReconnectInterval))
	m.due.forget = now.Add(m.random(ForgetInterval))
}

// Preload gives the machine the state in the view, as if it had joined. Measurements start from it; the buckets of
// the view are shared until they change.
func (m *Machine) Preload(now time.Time, v *View) {
	m.state.root = 0
	for i := range v.buckets {
		m.state.buckets[i] = v.buckets[i]
		m.state.shared[i] = true
		m.state.root ^= v.buckets[i].hash
	}
	own, _ := m.state.member(m.self)
	m.state.mergeConfig(v.config)
	for member := range v.Members() {
		m.index(now, Member{}, member)
	}
	m.join.done = true
	m.due.exchange = now.Add(m.random(ExchangeInterval))
	m.selectPartners()
	m.apply(now, own, CauseJoined, m.self)
	m.urgent, m.news = newNewsQueue(), newNewsQueue()
	m.changes = Changes{}
}

// random returns a duration in [0, d).
func (m *Machine) random(d time.Duration) time.Duration { return time.Duration(m.rng.Int64N(int64(d))) }

// own returns the record of this instance.
func (m *Machine) own() Member {
	self, _ := m.state.member(m.self)
	return self
}

// Tick performs what is due and returns the calls to make.
func (m *Machine) Tick(now time.Time) []Call {
	m.detectPause(now)
	if m.replaced || m.own().State == instance.StateDead {
		return nil
	}
	m.judgeUnanswered(now)
	m.expireSuspicions(now)
	m.forgetTombstones(now)
	calls := m.probes(now)
	calls = append(calls, m.pushes(now)...)
	calls = append(calls, m.exchanges(now)...)
	calls = append(calls, m.reconnects(now)...)
	return append(calls, m.samples(now)...)
}

// detectPause restarts the timeouts after this process did not run for a while.
func (m *Machine) detectPause(now time.Time) {
	gap := now.Sub(m.lastRun)
	m.lastRun = now
	if gap < PauseThreshold {
		return
	}
	m.epoch++
	for id, s := range m.suspicions {
		s.deadline = now.Add(s.timeout())
		m.suspicions[id] = s
	}
	clear(m.indirect)
	m.unanswered = nil
	m.join.fetching = false
	m.reach.clear()
	m.touchMembers()
	m.changes.Pauses++
}

// Leave announces that this instance is shutting down and must get no new homes.
func (m *Machine) Leave(now time.Time) {
	self := m.own()
	if self.State == instance.StateDead {
		return
	}
	self.State = instance.StateLeaving
	m.apply(now, self, CauseLeaving, m.self)
}

// Stop announces the end of this instance and returns the calls that tell its peers.
func (m *Machine) Stop(now time.Time) []Call {
	self := m.own()
	self.State = instance.StateDead
	targets := append(m.pickPeers(PushFanout), m.partners...)
	m.apply(now, self, CauseStopped, m.self)
	var calls []Call
	for _, id := range targets {
		message := &Message{From: m.self, Members: []Member{self}}
		if c, ok := m.gossipCall(now, CallPush, id, message); ok {
			calls = append(calls, c)
		}
	}
	return calls
}

// AnnounceHome spreads a record of a home. Lower generations than the known one have no effect.
func (m *Machine) AnnounceHome(now time.Time, h Home) { m.applyHome(now, h) }

// AnnounceConfig spreads a version of the configuration. Versions below the known one have no effect.
func (m *Machine) AnnounceConfig(c ConfigVersion) { m.applyConfig(c) }

// AnnounceRevocation spreads an emergency revocation of a key.
func (m *Machine) AnnounceRevocation(r Revocation) { m.applyRevocation(r) }

// Isolated reports whether this instance has been cut off from the store and from more than half of the peers it
// knows for IsolationDelay. It must be called at least once each TickInterval.
func (m *Machine) Isolated(now time.Time, storeReachable bool) bool {
	return m.reach.isolated(now, storeReachable)
}

// CutOffFor returns how long this instance has been cut off from more than half of its known peers, or 0 if it is not.
func (m *Machine) CutOffFor(now time.Time) time.Duration {
	if !m.reach.cut {
		return 0
	}
	return now.Sub(m.reach.cutSince)
}

// RecordStoreAnswer records that the key-value service answered this instance.
func (m *Machine) RecordStoreAnswer(now time.Time) { m.storeProof = now }

// StoreAge returns the age of the latest known proof that the key-value service answered some instance, and whether
// there is one. In a large fleet the proof takes minutes to spread, because it does not cause news.
func (m *Machine) StoreAge(now time.Time) (time.Duration, bool) {
	return now.Sub(m.storeProof), !m.storeProof.IsZero()
}

// View returns a snapshot of the state. It costs nothing when nothing changed since the last call.
func (m *Machine) View() *View {
	if m.view != nil {
		return m.view
	}
	m.view = &View{
		Self:           m.own(),
		Joined:         m.join.done,
		CutOff:         m.reach.cut,
		MembersVersion: m.membersVersion,
		HomesVersion:   m.homesVersion,
		buckets:        m.state.buckets,
		config:         m.state.config,
		unreachable:    m.reach.unreachable,
	}
	for i := range m.state.shared {
		m.state.shared[i] = true
	}
	return m.view
}

// Changes returns what changed since the last call.
func (m *Machine) Changes() Changes {
	c := m.changes
	m.changes = Changes{}
	return c
}

// Replaced reports whether another process with this instance's id was started later. The machine is silent then, and
// the process should end.
func (m *Machine) Replaced() bool { return m.replaced }
