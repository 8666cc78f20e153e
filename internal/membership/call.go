package membership

import (
	"time"

	"github.com/celerystep/celerystep/internal/instance"
)

// CallKind says what a call to a peer is for.
type CallKind uint8

// Kinds of call. Probe, IndirectProbe, Relay and Sample are sent as Probe; the others as Gossip.
const (
	// CallProbe asks a partner to answer.
	CallProbe CallKind = iota
	// CallIndirectProbe asks a peer to probe Target.
	CallIndirectProbe
	// CallRelay probes a target on behalf of another instance.
	CallRelay
	// CallSample asks a random peer to answer, to find out whether this instance is cut off.
	CallSample
	// CallPush spreads news to a random peer.
	CallPush
	// CallPull asks a random peer for recent news that this instance does not have.
	CallPull
	// CallDigest compares states with a random peer.
	CallDigest
	// CallFetch exchanges the records of buckets that differ.
	CallFetch
	// CallReconnect tries an instance believed dead.
	CallReconnect
)

// String returns the name used in metrics.
func (k CallKind) String() string {
	switch k {
	case CallProbe:
		return "probe"
	case CallIndirectProbe:
		return "indirect_probe"
	case CallRelay:
		return "relay"
	case CallSample:
		return "sample"
	case CallPush:
		return "push"
	case CallPull:
		return "pull"
	case CallDigest:
		return "digest"
	case CallFetch:
		return "fetch"
	case CallReconnect:
		return "reconnect"
	default:
		return "unknown"
	}
}

// IsProbe reports whether the call is sent as Probe rather than as Gossip.
func (k CallKind) IsProbe() bool { return k <= CallSample }

// Call is a request to a peer that the runtime sends. Its result is passed to Machine.HandleReply exactly once.
type Call struct {
	Kind CallKind
	To   instance.Info
	// Target is the instance that an indirect probe asks about.
	Target  instance.ID
	Message *Message
	// Timeout bounds the call; without an answer by then it has failed.
	Timeout time.Duration

	sent time.Time
	// epoch is the number of pauses of this process before the call. A failure across a pause proves nothing.
	epoch uint64
}

// Reply is the result of a call.
type Reply struct {
	// OK is false when no answer arrived in time.
	OK bool
	// Reached is the answer to an indirect probe.
	Reached bool
	// Message is the news in the answer, if any.
	Message *Message
}

// HandleReply processes the result of a call and returns the calls that follow from it.
func (m *Machine) HandleReply(now time.Time, c Call, r Reply) []Call {
	m.detectPause(now)
	if m.replaced || m.own().State == instance.StateDead {
		return nil
	}
	if r.OK && r.Message != nil {
		m.join.copying = c.Kind == CallFetch && !m.join.done
		m.receive(now, r.Message)
		m.join.copying = false
	}
	if !r.OK && c.epoch != m.epoch {
		return nil
	}
	m.noteContact(now, c, r)
	switch c.Kind {
	case CallProbe:
		return m.probeDone(now, c, r)
	case CallIndirectProbe:
		m.indirectDone(now, c, r)
	case CallDigest:
		return m.digestDone(now, c, r)
	case CallFetch:
		m.fetchDone(c, r)
	}
	return nil
}

// noteContact records whether a known peer answered.
func (m *Machine) noteContact(now time.Time, c Call, r Reply) {
	if !m.peers.has(c.To.ID) {
		return
	}
	if m.reach.record(c.To.ID, c.sent, now, r.OK) {
		m.touchMembers()
	}
	m.evaluateReach(now)
}

func (m *Machine) evaluateReach(now time.Time) {
	if !m.reach.evaluate(now, m.peers.len()) {
		return
	}
	m.changes.CutOff = true
	m.touchMembers()
}

// gossipCall makes a call that carries a message to an instance with a known address.
func (m *Machine) gossipCall(now time.Time, kind CallKind, to instance.ID, msg *Message) (Call, bool) {
	record, ok := m.state.member(to)
	if !ok || !record.HasAddress() {
		return Call{}, false
	}
	return m.call(now, kind, record.Info, msg), true
}

func (m *Machine) call(now time.Time, kind CallKind, to instance.Info, msg *Message) Call {
	timeout := PushTimeout
	switch kind {
	case CallProbe, CallIndirectProbe, CallSample:
		timeout = ProbeTimeout
	case CallRelay:
		timeout = RelayTimeout
	}
	return Call{Kind: kind, To: to, Message: msg, Timeout: timeout, sent: now, epoch: m.epoch}
}

// pickPeers returns up to n random peers, avoiding those that cannot be reached now.
func (m *Machine) pickPeers(n int, except ...instance.ID) []instance.ID {
	return m.peers.pick(m.rng, n, func(id instance.ID) bool {
		if _, ok := m.reach.unreachable[id]; ok {
			return true
		}
		for _, e := range except {
			if e == id {
				return true
			}
		}
		return false
	})
}
