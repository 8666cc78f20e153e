package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
)

// suspicion is the time left for a suspect to refute.
type suspicion struct {
	incarnation uint64
	deadline    time.Time
	// observed is true if this instance itself got no answer from the suspect, directly or through others.
	observed bool
}

func (s suspicion) timeout() time.Duration {
	if s.observed {
		return SuspectTimeout
	}
	return RemoteSuspectTimeout
}

// indirectProbe counts the outstanding indirect probes of a target.
type indirectProbe struct {
	pending int
}

// probeCalls returns the direct probes that are due.
func (m *Machine) probeCalls(now time.Time) []Call {
	var calls []Call
	for i := range m.nextRun.probe {
		if now.Before(m.nextRun.probe[i]) {
			continue
		}
		m.nextRun.probe[i] = nextDue(now, m.nextRun.probe[i], ProbeInterval)
		if i >= len(m.partners) {
			continue
		}
		if c, ok := m.probe(now, CallProbe, m.partners[i]); ok {
			calls = append(calls, c)
		}
	}
	return calls
}

// nextDue returns the next time of a periodic action; runs missed during a pause are skipped.
func nextDue(now, due time.Time, interval time.Duration) time.Time {
	next := due.Add(interval)
	if next.Before(now) {
		return now.Add(interval)
	}
	return next
}

func (m *Machine) probe(now time.Time, kind CallKind, to instance.ID) (Call, bool) {
	record, ok := m.state.member(to)
	if !ok || !record.HasAddress() {
		return Call{}, false
	}
	msg := &Message{From: m.self, StoreAge: m.storeAge(now)}
	m.addReceiverRecord(msg, to)
	m.addUpdates(now, msg, MaxProbeUpdateBytes, 1, nil)
	return m.call(now, kind, record.Info, msg), true
}

// addReceiverRecord adds the receiver's record to a message if this instance believes that the receiver is not live, so
// the receiver can refute it.
func (m *Machine) addReceiverRecord(msg *Message, receiver instance.ID) {
	record, ok := m.state.member(receiver)
	if ok && record.State != instance.StateLive {
		msg.Members = append(msg.Members, record.update())
	}
}

// probeDone handles the result of a direct probe. After a failure the probe is repeated through other instances, and a
// random sample of peers is contacted to find out whether this instance itself is cut off.
func (m *Machine) probeDone(now time.Time, c Call, r Reply) []Call {
	target := c.To.ID
	if r.OK {
		m.clearObservedSuspicion(now, target)
		return nil
	}
	if _, running := m.indirect[target]; running || !m.peers.has(target) {
		return nil
	}
	helpers := m.pickPeers(IndirectProbes, target)
	if len(helpers) == 0 {
		m.unanswered = append(m.unanswered, target)
		return m.sampleCalls(now)
	}
	var calls []Call
	for _, id := range helpers {
		if helper, ok := m.probe(now, CallIndirectProbe, id); ok {
			helper.Target = target
			helper.Message.Members = append(helper.Message.Members, m.nonLiveRecord(target)...)
			calls = append(calls, helper)
		}
	}
	m.indirect[target] = &indirectProbe{pending: len(calls)}
	return append(calls, m.sampleCalls(now)...)
}

// nonLiveRecord returns the record of a target that is not believed live, which the helper passes on to the target.
func (m *Machine) nonLiveRecord(target instance.ID) []Member {
	record, ok := m.state.member(target)
	if !ok || record.State == instance.StateLive {
		return nil
	}
	return []Member{record.update()}
}

// indirectDone handles the result of one indirect probe.
func (m *Machine) indirectDone(now time.Time, c Call, r Reply) {
	if r.OK && r.Reached {
		delete(m.indirect, c.Target)
		m.clearObservedSuspicion(now, c.Target)
		return
	}
	p, running := m.indirect[c.Target]
	if !running {
		return
	}
	p.pending--
	if p.pending > 0 {
		return
	}
	delete(m.indirect, c.Target)
	m.unanswered = append(m.unanswered, c.Target)
}

// clearObservedSuspicion marks a suspicion as no longer observed by this instance, because the suspect answered. The
// suspicion continues with RemoteSuspectTimeout, because only the suspect itself can refute it.
func (m *Machine) clearObservedSuspicion(now time.Time, id instance.ID) {
	s, ok := m.suspicions[id]
	if !ok || !s.observed {
		return
	}
	if record, _ := m.state.member(id); record.State != instance.StateSuspect {
		delete(m.suspicions, id)
		return
	}
	s.observed = false
	s.deadline = now.Add(RemoteSuspectTimeout)
	m.suspicions[id] = s
}

// suspectUnanswered suspects the targets whose probes all failed since the last tick. It runs on the tick, so the
// results of the sample contacted with the indirect probes are taken into account.
func (m *Machine) suspectUnanswered(now time.Time) {
	if len(m.unanswered) == 0 {
		return
	}
	m.evaluateReach(now)
	for _, target := range m.unanswered {
		m.suspect(now, target)
	}
	m.unanswered = m.unanswered[:0]
}

// suspect starts the suspicion of a target whose probes all failed. While this instance is cut off from most peers, the
// failure does not indicate a fault of the target, and nothing is disseminated.
func (m *Machine) suspect(now time.Time, target instance.ID) {
	record, ok := m.state.member(target)
	if !ok || m.reachability.cutOff || record.State == instance.StateDead {
		return
	}
	s, exists := m.suspicions[target]
	if exists && s.observed {
		return
	}
	deadline := now.Add(SuspectTimeout)
	if exists && s.deadline.Before(deadline) {
		deadline = s.deadline
	}
	m.suspicions[target] = suspicion{incarnation: record.Incarnation, deadline: deadline, observed: true}
	if record.State != instance.StateLive {
		return
	}
	suspect := Member{ID: target, State: instance.StateSuspect, Incarnation: record.Incarnation}
	m.apply(now, suspect, CauseProbeFailed, m.self)
}

// expireSuspicions declares dead the suspects that did not refute in time. While this instance is cut off, it extends
// the deadlines instead.
func (m *Machine) expireSuspicions(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.suspicions)) {
		s := m.suspicions[id]
		if now.Before(s.deadline) {
			continue
		}
		if m.reachability.cutOff {
			s.deadline = now.Add(s.timeout())
			m.suspicions[id] = s
			continue
		}
		delete(m.suspicions, id)
		m.apply(now, Member{ID: id, State: instance.StateDead, Incarnation: s.incarnation}, CauseSuspectTimeout, m.self)
	}
}

// sampleCalls returns probes that determine whether this instance is cut off: of random peers while any call fails, and
// of all peers in round-robin order while most calls fail.
func (m *Machine) sampleCalls(now time.Time) []Call {
	if m.reachability.failingCount == 0 && !m.reachability.cutOff {
		return nil
	}
	m.evaluateReach(now)
	var calls []Call
	for _, id := range m.sampleTargets(now) {
		if c, ok := m.probe(now, CallSample, id); ok {
			calls = append(calls, c)
		}
	}
	return calls
}

func (m *Machine) sampleTargets(now time.Time) []instance.ID {
	if m.reachability.cutOff && m.peers.len() > MaxExactPeers {
		return m.peers.nextRoundRobin(ScanPeersPerTick)
	}
	if now.Before(m.nextRun.sample) {
		return nil
	}
	m.nextRun.sample = now.Add(ProbeInterval)
	return m.peers.pick(m.rng, SampleSize, func(id instance.ID) bool {
		c, ok := m.reachability.contacts[id]
		return ok && now.Sub(c.updatedAt) < ProbeInterval
	})
}

// Probe answers a direct probe from a peer. The runtime answers an indirect probe with RelayProbe.
func (m *Machine) Probe(now time.Time, msg *Message) *Message {
	m.receive(now, msg)
	reply := &Message{From: m.self, StoreAge: m.storeAge(now)}
	m.addReceiverRecord(reply, msg.From)
	m.addUpdates(now, reply, MaxProbeUpdateBytes, 1, msg)
	return reply
}

// RelayProbe returns the call that probes a target on behalf of another instance. ok is false if the target's address
// is not known. The result is passed to HandleReply as well.
func (m *Machine) RelayProbe(now time.Time, target instance.ID) (c Call, ok bool) {
	return m.probe(now, CallRelay, target)
}

func (m *Machine) storeAge(now time.Time) time.Duration {
	if m.lastStoreAnswer.IsZero() {
		return 0
	}
	return max(time.Millisecond, now.Sub(m.lastStoreAnswer))
}
