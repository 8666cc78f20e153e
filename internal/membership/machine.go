package membership

import (
	"math/rand/v2"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
)

// Config holds the parameters of a Machine.
type Config struct {
	Self instance.Info
	// Incarnation is the start time of the process in milliseconds since the Unix epoch. A process that replaces
	// another under the same id therefore overrides the records of its predecessor.
	Incarnation uint64
	// Seed makes random choices reproducible.
	Seed uint64
}

// Machine is the membership state machine of one instance. It is not safe for concurrent use.
//
// The runtime calls Tick every TickInterval, performs the calls that the methods return, passes each result to
// HandleReply, and passes calls from peers to Gossip, Probe and RelayProbe.
type Machine struct {
	self         instance.ID
	rng          *rand.Rand
	state        *state
	ring         ring
	peers        *peerSet
	partners     []instance.ID
	reachability *reachability

	suspicions   map[instance.ID]suspicion
	tombstones   map[instance.ID]tombstone
	indirect     map[instance.ID]*indirectProbe
	unanswered   []instance.ID
	urgent       *updateQueue
	updates      *updateQueue
	recent       recentUpdates
	pullUntil    time.Time
	budget       byteBudget
	instanceList instanceList
	join         join

	started         time.Time
	lastRun         time.Time
	epoch           uint64
	nextRun         schedule
	replaced        bool
	lastStoreAnswer time.Time

	view           *View
	membersVersion uint64
	homesVersion   uint64
	changes        Changes
}

// schedule holds the next due time of each periodic action.
type schedule struct {
	probe         [ProbePartners]time.Time
	push          time.Time
	exchange      time.Time
	reconnect     time.Time
	sample        time.Time
	tombstoneScan time.Time
}

// New returns a machine that knows only its own instance. It joins the fleet through the instances passed to
// ApplyInstanceList.
func New(now time.Time, c Config) *Machine {
	m := &Machine{
		self:         c.Self.ID,
		rng:          rand.New(rand.NewPCG(c.Seed, c.Incarnation)),
		state:        newState(),
		peers:        newPeerSet(),
		reachability: newReachability(),
		suspicions:   make(map[instance.ID]suspicion),
		tombstones:   make(map[instance.ID]tombstone),
		indirect:     make(map[instance.ID]*indirectProbe),
		urgent:       newUpdateQueue(),
		updates:      newUpdateQueue(),
		instanceList: newInstanceList(),
		started:      now,
		lastRun:      now,
	}
	m.budget.refill(now)
	m.initSchedule(now)
	m.apply(now, Member{
		ID:              c.Self.ID,
		State:           instance.StateLive,
		Incarnation:     c.Incarnation,
		Info:            c.Self,
		InfoIncarnation: c.Incarnation,
	}, CauseJoined, c.Self.ID)
	return m
}

// initSchedule randomizes the first run of each periodic action, so the instances of a fleet that starts at once do not
// act at the same time.
func (m *Machine) initSchedule(now time.Time) {
	start := now.Add(m.randomDuration(ProbeInterval))
	for i := range m.nextRun.probe {
		m.nextRun.probe[i] = start.Add(time.Duration(i) * ProbeInterval / ProbePartners)
	}
	m.nextRun.push = now.Add(m.randomDuration(PushInterval))
	m.nextRun.exchange = now.Add(m.randomDuration(JoinInterval))
	m.nextRun.reconnect = now.Add(m.randomDuration(ReconnectInterval))
	m.nextRun.tombstoneScan = now.Add(m.randomDuration(TombstoneScanInterval))
}

// Preload initializes the machine with the state of the view, as if it had joined. Measurements use it. The buckets of
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
		m.updateIndexes(now, Member{}, member)
	}
	m.join.done = true
	m.nextRun.exchange = now.Add(m.randomDuration(ExchangeInterval))
	m.selectPartners()
	m.apply(now, own, CauseJoined, m.self)
	m.urgent, m.updates = newUpdateQueue(), newUpdateQueue()
	m.changes = Changes{}
}

// randomDuration returns a random duration in [0, d).
func (m *Machine) randomDuration(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d)))
}

// selfRecord returns the record of this instance.
func (m *Machine) selfRecord() Member {
	self, _ := m.state.member(m.self)
	return self
}

// Tick runs the actions that are due and returns the calls to make.
func (m *Machine) Tick(now time.Time) []Call {
	m.detectPause(now)
	if m.replaced || m.selfRecord().State == instance.StateDead {
		return nil
	}
	m.suspectUnanswered(now)
	m.expireSuspicions(now)
	m.purgeTombstones(now)
	calls := m.probeCalls(now)
	calls = append(calls, m.pushCalls(now)...)
	calls = append(calls, m.exchangeCalls(now)...)
	calls = append(calls, m.reconnectCalls(now)...)
	return append(calls, m.sampleCalls(now)...)
}

// detectPause restarts all timeouts if this process did not run for PauseThreshold.
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
	m.reachability.clear()
	m.markMembersChanged()
	m.changes.Pauses++
}

// Leave announces that this instance is shutting down and must not get new homes.
func (m *Machine) Leave(now time.Time) {
	self := m.selfRecord()
	if self.State == instance.StateDead {
		return
	}
	self.State = instance.StateLeaving
	m.apply(now, self, CauseLeaving, m.self)
}

// Stop announces that this instance stops and returns the calls that notify its peers.
func (m *Machine) Stop(now time.Time) []Call {
	self := m.selfRecord()
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

// AnnounceHome disseminates the record of a home. A generation lower than the known one has no effect.
func (m *Machine) AnnounceHome(now time.Time, h Home) { m.applyHome(now, h) }

// AnnounceConfig disseminates a configuration version. A version lower than the known one has no effect.
func (m *Machine) AnnounceConfig(c ConfigVersion) { m.applyConfig(c) }

// AnnounceRevocation disseminates an emergency revocation of a key.
func (m *Machine) AnnounceRevocation(r Revocation) { m.applyRevocation(r) }

// Isolated reports whether this instance has been cut off from the store and from more than half of its known peers for
// IsolationDelay. It must be called at least once per TickInterval.
func (m *Machine) Isolated(now time.Time, storeReachable bool) bool {
	return m.reachability.isolated(now, storeReachable)
}

// CutOffFor returns how long this instance has been cut off from more than half of its known peers, or 0 if it is not.
func (m *Machine) CutOffFor(now time.Time) time.Duration {
	if !m.reachability.cutOff {
		return 0
	}
	return now.Sub(m.reachability.cutOffSince)
}

// RecordStoreAnswer records that the key-value service answered this instance.
func (m *Machine) RecordStoreAnswer(now time.Time) { m.lastStoreAnswer = now }

// StoreAge returns the time since the key-value service is known to have answered any instance; ok is false if that is
// not known. In a large fleet this value takes minutes to spread, because a new answer does not trigger dissemination.
func (m *Machine) StoreAge(now time.Time) (time.Duration, bool) {
	return now.Sub(m.lastStoreAnswer), !m.lastStoreAnswer.IsZero()
}

// View returns a snapshot of the state. The snapshot is cached until the state changes.
func (m *Machine) View() *View {
	if m.view != nil {
		return m.view
	}
	m.view = &View{
		Self:           m.selfRecord(),
		Joined:         m.join.done,
		CutOff:         m.reachability.cutOff,
		MembersVersion: m.membersVersion,
		HomesVersion:   m.homesVersion,
		buckets:        m.state.buckets,
		config:         m.state.config,
		unreachable:    m.reachability.unreachable,
	}
	for i := range m.state.shared {
		m.state.shared[i] = true
	}
	return m.view
}

// Changes returns the changes since the last call.
func (m *Machine) Changes() Changes {
	c := m.changes
	m.changes = Changes{}
	return c
}

// Replaced reports whether a later process with the same instance id was seen. The machine then makes no more calls,
// and the process should exit.
func (m *Machine) Replaced() bool { return m.replaced }
