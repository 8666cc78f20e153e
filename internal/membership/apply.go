package membership

import (
	"time"

	"github.com/celerystep/celerystep/internal/instance"
)

// tombstone remembers when an instance was found dead.
type tombstone struct {
	since time.Time
	// left is true when the instance was leaving or never known alive; nobody tries to reach it again.
	left bool
}

// receive joins all records of a message into the state.
func (m *Machine) receive(now time.Time, msg *Message) {
	for _, r := range msg.Members {
		m.applyNews(now, r, msg.From)
	}
	for _, h := range msg.Homes {
		m.applyHome(now, h)
	}
	if msg.Config.Version > 0 {
		m.applyConfig(msg.Config)
	}
	for _, r := range msg.Revocations {
		m.applyRevocation(r)
	}
	if msg.StoreAge <= 0 {
		return
	}
	if proof := now.Add(-msg.StoreAge); proof.After(m.storeProof) {
		m.storeProof = proof
	}
}

// applyNews joins a record that a peer sent. Only this instance changes its own record.
func (m *Machine) applyNews(now time.Time, r Member, source instance.ID) {
	if r.ID == m.self {
		m.answerNewsOfSelf(now, r, source)
		return
	}
	m.apply(now, r, CauseUpdate, source)
}

// answerNewsOfSelf refutes wrong news about this instance with a higher incarnation.
func (m *Machine) answerNewsOfSelf(now time.Time, r Member, source instance.ID) {
	self := m.own()
	if self.State == instance.StateDead || r.Incarnation < self.Incarnation {
		return
	}
	if r.Incarnation == self.Incarnation && r.State <= self.State {
		return
	}
	if m.join.done && r.Incarnation >= self.Incarnation+ReplacedMargin {
		m.replaced = true
		m.explain(self, self, CauseReplaced, source)
		return
	}
	if r.State == instance.StateLeaving && r.Incarnation == self.Incarnation {
		m.apply(now, r, CauseListedLeaving, source)
		return
	}
	self.Incarnation = r.Incarnation + 1
	m.changes.Refutations++
	m.apply(now, self, CauseRefuted, source)
}

// apply joins a record of a member into the state and all that follows from it.
func (m *Machine) apply(now time.Time, r Member, cause Cause, source instance.ID) {
	if m.tombstonesFull(r) {
		return
	}
	before, after, known := m.state.mergeMember(r)
	if known && before == after {
		return
	}
	if !known {
		before = Member{}
	}
	m.index(now, before, after)
	m.follow(now, after)
	m.touchMembers()
	if known || after.State != instance.StateDead {
		m.spread(now, newsKey{kind: kindMember, member: r.ID})
	}
	if !known || before.State != after.State || before.Incarnation != after.Incarnation {
		m.explain(before, after, cause, source)
	}
	if placed(before) != placed(after) || before.Info != after.Info {
		m.selectPartners()
	}
}

// tombstonesFull reports whether the record would add a tombstone of an unknown instance beyond the limit.
func (m *Machine) tombstonesFull(r Member) bool {
	if r.State != instance.StateDead || len(m.tombstones) < MaxTombstones {
		return false
	}
	_, known := m.state.member(r.ID)
	return !known
}

// placed reports whether a member takes part in probes.
func placed(r Member) bool { return r.HasAddress() && r.State != instance.StateDead }

// index keeps the ring and the set of peers in line with a changed record.
func (m *Machine) index(now time.Time, before, after Member) {
	if placed(before) && (!placed(after) || before.Info.FailureDomain != after.Info.FailureDomain) {
		m.ring.remove(before.ID, before.Info.FailureDomain)
		m.peers.remove(before.ID)
	}
	if placed(after) {
		m.ring.add(after.ID, after.Info.FailureDomain)
		if after.ID != m.self {
			m.peers.add(after.ID)
		}
	}
	if after.State != instance.StateDead {
		delete(m.tombstones, after.ID)
		return
	}
	m.reach.remove(after.ID)
	alive := before.ID != "" && before.State != instance.StateLeaving && before.State != instance.StateDead
	if _, ok := m.tombstones[after.ID]; !ok {
		m.tombstones[after.ID] = tombstone{since: now, left: !alive}
	}
}

// follow starts or ends the suspicion that belongs to a changed record.
func (m *Machine) follow(now time.Time, after Member) {
	if after.ID == m.self {
		return
	}
	s, suspected := m.suspicions[after.ID]
	// A suspicion that others spread ends when the suspect announces that it is leaving.
	announced := after.State == instance.StateLeaving && !s.observed
	if suspected && (after.Incarnation > s.incarnation || after.State == instance.StateDead || announced) {
		delete(m.suspicions, after.ID)
		suspected = false
	}
	if after.State == instance.StateSuspect && !suspected {
		m.suspicions[after.ID] = suspicion{incarnation: after.Incarnation, deadline: now.Add(HearsayTimeout)}
	}
}

func (m *Machine) explain(before, after Member, cause Cause, source instance.ID) {
	m.changes.MemberChanges = append(m.changes.MemberChanges, MemberChange{
		ID:          after.ID,
		Known:       before.ID != "",
		From:        before.State,
		To:          after.State,
		Incarnation: after.Incarnation,
		Cause:       cause,
		Source:      source,
	})
}

// touchMembers marks the members of the view as changed.
func (m *Machine) touchMembers() {
	m.membersVersion++
	m.changes.Members = true
	m.view = nil
}

func (m *Machine) applyHome(now time.Time, h Home) {
	after, changed := m.state.mergeHome(h)
	if !changed {
		return
	}
	m.spread(now, newsKey{kind: kindHome, group: h.Group})
	m.changes.Homes = append(m.changes.Homes, after)
	m.homesVersion++
	m.view = nil
}

func (m *Machine) applyConfig(c ConfigVersion) {
	if !m.state.mergeConfig(c) {
		return
	}
	m.urgent.add(newsKey{kind: kindConfig})
	m.changes.Config = true
	m.view = nil
}

func (m *Machine) applyRevocation(r Revocation) {
	after, changed := m.state.mergeRevocation(r)
	if !changed {
		return
	}
	m.urgent.add(newsKey{kind: kindRevocation, key: r.KeyRef})
	m.changes.Revocations = append(m.changes.Revocations, after)
	m.view = nil
}

// selectPartners chooses the instances to probe after the ring changed.
func (m *Machine) selectPartners() {
	self := m.own()
	m.partners = m.ring.next(m.self, self.Info.FailureDomain, ProbePartners)
}

// forgetTombstones drops old tombstones. A record of a tombstone that comes back is kept for TombstoneAge again, but
// is neither spread nor part of the digest, so that it does not circulate for ever.
func (m *Machine) forgetTombstones(now time.Time) {
	if now.Before(m.due.forget) {
		return
	}
	m.due.forget = now.Add(ForgetInterval)
	for id, t := range m.tombstones {
		if now.Sub(t.since) < TombstoneAge {
			continue
		}
		delete(m.tombstones, id)
		m.state.removeMember(id)
		m.touchMembers()
	}
}
