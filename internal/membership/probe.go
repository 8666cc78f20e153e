package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
)

// suspicion is the time that a suspect has left to refute.
type suspicion struct {
	incarnation uint64
	deadline    time.Time
	// observed is true when this instance itself got no answer, directly or through others.
	observed bool
}

func (s suspicion) timeout() time.Duration {
	if s.observed {
		return SuspectTimeout
	}
	return HearsayTimeout
}

// indirectProbe counts the answers that are outstanding for a target.
type indirectProbe struct {
	waiting int
}

// probes returns the direct probes that are due.
func (m *Machine) probes(now time.Time) []Call {
	var calls []Call
	for i := range m.due.probe {
		if now.Before(m.due.probe[i]) {
			continue
		}
		m.due.probe[i] = nextDue(now, m.due.probe[i], ProbeInterval)
		if i >= len(m.partners) {
			continue
		}
		if c, ok := m.probe(now, CallProbe, m.partners[i]); ok {
			calls = append(calls, c)
		}
	}
	return calls
}

// nextDue returns the next time of a periodic action; times missed during a pause are not made up for.
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
	m.addDoubt(msg, to)
	m.addNews(now, msg, MaxProbeNewsBytes, 1, nil)
	return m.call(now, kind, record.Info, msg), true
}

// addDoubt puts what this instance believes of the receiver into a message unless that is what the receiver expects,
// so that the receiver can refute it.
func (m *Machine) addDoubt(msg *Message, receiver instance.ID) {
	record, ok := m.state.member(receiver)
	if ok && record.State != instance.StateLive {
		msg.Members = append(msg.Members, record.news())
	}
}

// probeDone handles the result of a direct probe. A missed probe is repeated through others, and a random sample of
// peers is contacted to find out whether this instance itself is cut off.
func (m *Machine) probeDone(now time.Time, c Call, r Reply) []Call {
	target := c.To.ID
	if r.OK {
		m.confirmAlive(now, target)
		return nil
	}
	if _, running := m.indirect[target]; running || !m.peers.has(target) {
		return nil
	}
	helpers := m.pickPeers(IndirectProbes, target)
	if len(helpers) == 0 {
		m.unanswered = append(m.unanswered, target)
		return m.samples(now)
	}
	var calls []Call
	for _, id := range helpers {
		if helper, ok := m.probe(now, CallIndirectProbe, id); ok {
			helper.Target = target
			helper.Message.Members = append(helper.Message.Members, m.doubt(target)...)
			calls = append(calls, helper)
		}
	}
	m.indirect[target] = &indirectProbe{waiting: len(calls)}
	return append(calls, m.samples(now)...)
}

// doubt returns the record of a suspect, for a helper to show it to the suspect.
func (m *Machine) doubt(target instance.ID) []Member {
	record, ok := m.state.member(target)
	if !ok || record.State == instance.StateLive {
		return nil
	}
	return []Member{record.news()}
}

// indirectDone handles the result of one indirect probe.
func (m *Machine) indirectDone(now time.Time, c Call, r Reply) {
	if r.OK && r.Reached {
		delete(m.indirect, c.Target)
		m.confirmAlive(now, c.Target)
		return
	}
	p, running := m.indirect[c.Target]
	if !running {
		return
	}
	p.waiting--
	if p.waiting > 0 {
		return
	}
	delete(m.indirect, c.Target)
	m.unanswered = append(m.unanswered, c.Target)
}

// confirmAlive ends the own observation of a suspect that answered. The suspicion then waits for the refutation, which
// only the suspect itself can spread.
func (m *Machine) confirmAlive(now time.Time, id instance.ID) {
	s, ok := m.suspicions[id]
	if !ok || !s.observed {
		return
	}
	if record, _ := m.state.member(id); record.State != instance.StateSuspect {
		delete(m.suspicions, id)
		return
	}
	s.observed = false
	s.deadline = now.Add(HearsayTimeout)
	m.suspicions[id] = s
}

// judgeUnanswered handles the targets that nobody reached since the last tick. It waits for the tick so that the
// sample that was contacted together with the indirect probes counts.
func (m *Machine) judgeUnanswered(now time.Time) {
	if len(m.unanswered) == 0 {
		return
	}
	m.evaluateReach(now)
	for _, target := range m.unanswered {
		m.suspect(now, target)
	}
	m.unanswered = m.unanswered[:0]
}

// suspect starts the suspicion of a target that nobody reached. While this instance is cut off from most peers the
// failure is not the target's, and nothing is spread.
func (m *Machine) suspect(now time.Time, target instance.ID) {
	record, ok := m.state.member(target)
	if !ok || m.reach.cut || record.State == instance.StateDead {
		return
	}
	s, known := m.suspicions[target]
	if known && s.observed {
		return
	}
	deadline := now.Add(SuspectTimeout)
	if known && s.deadline.Before(deadline) {
		deadline = s.deadline
	}
	m.suspicions[target] = suspicion{incarnation: record.Incarnation, deadline: deadline, observed: true}
	if record.State != instance.StateLive {
		return
	}
	suspect := Member{ID: target, State: instance.StateSuspect, Incarnation: record.Incarnation}
	m.apply(now, suspect, CauseProbeFailed, m.self)
}

// expireSuspicions declares suspects dead that did not refute in time. While this instance is cut off it waits.
func (m *Machine) expireSuspicions(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.suspicions)) {
		s := m.suspicions[id]
		if now.Before(s.deadline) {
			continue
		}
		if m.reach.cut {
			s.deadline = now.Add(s.timeout())
			m.suspicions[id] = s
			continue
		}
		delete(m.suspicions, id)
		m.apply(now, Member{ID: id, State: instance.StateDead, Incarnation: s.incarnation}, CauseSuspectTimeout, m.self)
	}
}

// samples returns the contacts that show whether this instance is cut off: some random peers while any call fails,
// and all peers in turn while most fail.
func (m *Machine) samples(now time.Time) []Call {
	if m.reach.failing == 0 && !m.reach.cut {
		return nil
	}
	m.evaluateReach(now)
	var calls []Call
	for _, id := range m.sampled(now) {
		if c, ok := m.probe(now, CallSample, id); ok {
			calls = append(calls, c)
		}
	}
	return calls
}

func (m *Machine) sampled(now time.Time) []instance.ID {
	if m.reach.cut && m.peers.len() > ExactPeers {
		return m.peers.nextInTurn(ScanPerTick)
	}
	if now.Before(m.due.sample) {
		return nil
	}
	m.due.sample = now.Add(ProbeInterval)
	return m.peers.pick(m.rng, SampleSize, func(id instance.ID) bool {
		c, ok := m.reach.contacts[id]
		return ok && now.Sub(c.at) < ProbeInterval
	})
}

// Probe answers a direct probe from a peer. The runtime answers an indirect probe with RelayProbe.
func (m *Machine) Probe(now time.Time, news *Message) *Message {
	m.receive(now, news)
	reply := &Message{From: m.self, StoreAge: m.storeAge(now)}
	m.addDoubt(reply, news.From)
	m.addNews(now, reply, MaxProbeNewsBytes, 1, news)
	return reply
}

// RelayProbe returns the call that probes a target on behalf of another instance. ok is false if the target's address
// is not known. The result is passed to HandleReply as well.
func (m *Machine) RelayProbe(now time.Time, target instance.ID) (c Call, ok bool) {
	return m.probe(now, CallRelay, target)
}

func (m *Machine) storeAge(now time.Time) time.Duration {
	if m.storeProof.IsZero() {
		return 0
	}
	return max(time.Millisecond, now.Sub(m.storeProof))
}
