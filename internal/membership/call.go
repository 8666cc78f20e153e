package membership

import (
	"time"

	"github.com/celerystep/celerystep/internal/instance"
)

// CallKind is the purpose of a call to a peer.
type CallKind uint8

// Call kinds. CallProbe, CallIndirectProbe, CallRelay and CallSample use the Probe method; the others use Gossip.
const (
	// CallProbe probes a partner directly.
	CallProbe CallKind = iota
	// CallIndirectProbe asks a peer to probe Target.
	CallIndirectProbe
	// CallRelay probes a target on behalf of another instance.
	CallRelay
	// CallSample probes a random peer to find out whether this instance is cut off.
	CallSample
	// CallPush sends updates to a random peer.
	CallPush
	// CallPull asks a random peer for recent updates that this instance does not have.
	CallPull
	// CallDigest compares state digests with a random peer.
	CallDigest
	// CallFetch exchanges the records of buckets that differ.
	CallFetch
	// CallReconnect contacts an instance believed dead.
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

// IsProbe reports whether the call uses the Probe method rather than Gossip.
func (k CallKind) IsProbe() bool { return k <= CallSample }

// Call is a request to a peer that the runtime sends. Its result is passed to Machine.HandleReply exactly once.
type Call struct {
	Kind CallKind
	To   instance.Info
	// Target is the instance that an indirect probe asks about.
	Target  instance.ID
	Message *Message
	// Timeout is the time after which an unanswered call has failed.
	Timeout time.Duration

	sent time.Time
	// epoch is the number of pauses of this process before the call. A failure across a pause is not evidence against
	// the peer.
	epoch uint64
}

// Reply is the result of a call.
type Reply struct {
	// OK is false when no answer arrived in time.
	OK bool
	// Reached is the answer to an indirect probe.
	Reached bool
	// Message holds the updates in the answer, if any.
	Message *Message
}

// HandleReply processes the result of a call and returns the calls that follow from it.
func (m *Machine) HandleReply(now time.Time, c Call, r Reply) []Call {
	m.detectPause(now)
	if m.replaced || m.selfRecord().State == instance.StateDead {
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
	m.recordContact(now, c, r)
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

// recordContact records whether a known peer answered.
func (m *Machine) recordContact(now time.Time, c Call, r Reply) {
	if !m.peers.has(c.To.ID) {
		return
	}
	if m.reachability.recordResult(c.To.ID, c.sent, now, r.OK) {
		m.markMembersChanged()
	}
	m.evaluateReach(now)
}

func (m *Machine) evaluateReach(now time.Time) {
	if !m.reachability.evaluate(now, m.peers.len()) {
		return
	}
	m.changes.CutOff = true
	m.markMembersChanged()
}

// gossipCall returns a call that carries a message to an instance. ok is false if its address is not known.
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

// pickPeers returns up to n random peers, excluding those that are unreachable.
func (m *Machine) pickPeers(n int, except ...instance.ID) []instance.ID {
	return m.peers.pick(m.rng, n, func(id instance.ID) bool {
		if _, ok := m.reachability.unreachable[id]; ok {
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
