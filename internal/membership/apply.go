package membership

import (
	"time"

	"github.com/celerystep/celerystep/internal/instance"
)

// tombstone records when an instance was found dead.
type tombstone struct {
	since time.Time
	// noReconnect is true if the instance was leaving or was never known alive; it is not contacted again.
	noReconnect bool
}

// receive merges all records of a message into the state.
func (m *Machine) receive(now time.Time, msg *Message) {
	for _, r := range msg.Members {
		m.applyUpdate(now, r, msg.From)
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
	if proof := now.Add(-msg.StoreAge); proof.After(m.lastStoreAnswer) {
		m.lastStoreAnswer = proof
	}
}

// applyUpdate merges a record received from a peer. Only this instance changes its own record.
func (m *Machine) applyUpdate(now time.Time, r Member, source instance.ID) {
	if r.ID == m.self {
		m.handleSelfUpdate(now, r, source)
		return
	}
	m.apply(now, r, CauseUpdate, source)
}

// handleSelfUpdate refutes an incorrect record of this instance with a higher incarnation.
func (m *Machine) handleSelfUpdate(now time.Time, r Member, source instance.ID) {
	self := m.selfRecord()
	if self.State == instance.StateDead || r.Incarnation < self.Incarnation {
		return
	}
	if r.Incarnation == self.Incarnation && r.State <= self.State {
		return
	}
	if m.join.done && r.Incarnation >= self.Incarnation+ReplacementGap {
		m.replaced = true
		m.recordChange(self, self, CauseReplaced, source)
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

// apply merges a record of a member into the state and updates everything derived from it.
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
	m.updateIndexes(now, before, after)
	m.updateSuspicion(now, after)
	m.markMembersChanged()
	if known || after.State != instance.StateDead {
		m.enqueueUpdate(now, updateKey{kind: kindMember, member: r.ID})
	}
	if !known || before.State != after.State || before.Incarnation != after.Incarnation {
		m.recordChange(before, after, cause, source)
	}
	if isProbeable(before) != isProbeable(after) || before.Info != after.Info {
		m.selectPartners()
	}
}

// tombstonesFull reports whether the record would add a tombstone of an unknown instance beyond MaxTombstones.
func (m *Machine) tombstonesFull(r Member) bool {
	if r.State != instance.StateDead || len(m.tombstones) < MaxTombstones {
		return false
	}
	_, known := m.state.member(r.ID)
	return !known
}

// isProbeable reports whether a member takes part in probing.
func isProbeable(r Member) bool { return r.HasAddress() && r.State != instance.StateDead }

// updateIndexes updates the ring, the peer set and the tombstones after a record changed.
func (m *Machine) updateIndexes(now time.Time, before, after Member) {
	if isProbeable(before) && (!isProbeable(after) || before.Info.FailureDomain != after.Info.FailureDomain) {
		m.ring.remove(before.ID, before.Info.FailureDomain)
		m.peers.remove(before.ID)
	}
	if isProbeable(after) {
		m.ring.add(after.ID, after.Info.FailureDomain)
		if after.ID != m.self {
			m.peers.add(after.ID)
		}
	}
	if after.State != instance.StateDead {
		delete(m.tombstones, after.ID)
		return
	}
	m.reachability.remove(after.ID)
	alive := before.ID != "" && before.State != instance.StateLeaving && before.State != instance.StateDead
	if _, ok := m.tombstones[after.ID]; !ok {
		m.tombstones[after.ID] = tombstone{since: now, noReconnect: !alive}
	}
}

// updateSuspicion starts or ends the suspicion of a member after its record changed.
func (m *Machine) updateSuspicion(now time.Time, after Member) {
	if after.ID == m.self {
		return
	}
	s, suspected := m.suspicions[after.ID]
	// A suspicion raised by other instances ends when the suspect announces that it is leaving.
	leftAfterRemoteSuspicion := after.State == instance.StateLeaving && !s.observed
	if suspected && (after.Incarnation > s.incarnation || after.State == instance.StateDead || leftAfterRemoteSuspicion) {
		delete(m.suspicions, after.ID)
		suspected = false
	}
	if after.State == instance.StateSuspect && !suspected {
		m.suspicions[after.ID] = suspicion{incarnation: after.Incarnation, deadline: now.Add(RemoteSuspectTimeout)}
	}
}

func (m *Machine) recordChange(before, after Member, cause Cause, source instance.ID) {
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

// markMembersChanged invalidates the view after a change of a member or of its reachability.
func (m *Machine) markMembersChanged() {
	m.membersVersion++
	m.changes.Members = true
	m.view = nil
}

func (m *Machine) applyHome(now time.Time, h Home) {
	after, changed := m.state.mergeHome(h)
	if !changed {
		return
	}
	m.enqueueUpdate(now, updateKey{kind: kindHome, group: h.Group})
	m.changes.Homes = append(m.changes.Homes, after)
	m.homesVersion++
	m.view = nil
}

func (m *Machine) applyConfig(c ConfigVersion) {
	if !m.state.mergeConfig(c) {
		return
	}
	m.urgent.add(updateKey{kind: kindConfig})
	m.changes.Config = true
	m.view = nil
}

func (m *Machine) applyRevocation(r Revocation) {
	after, changed := m.state.mergeRevocation(r)
	if !changed {
		return
	}
	m.urgent.add(updateKey{kind: kindRevocation, key: r.KeyRef})
	m.changes.Revocations = append(m.changes.Revocations, after)
	m.view = nil
}

// selectPartners selects the instances to probe after the ring changed.
func (m *Machine) selectPartners() {
	self := m.selfRecord()
	m.partners = m.ring.successors(m.self, self.Info.FailureDomain, ProbePartners)
}

// purgeTombstones drops expired tombstones. A tombstone received again from a peer is kept for another TombstoneTTL,
// but it is neither disseminated nor part of the digest, so it does not circulate indefinitely.
func (m *Machine) purgeTombstones(now time.Time) {
	if now.Before(m.nextRun.tombstoneScan) {
		return
	}
	m.nextRun.tombstoneScan = now.Add(TombstoneScanInterval)
	for id, t := range m.tombstones {
		if now.Sub(t.since) < TombstoneTTL {
			continue
		}
		delete(m.tombstones, id)
		m.state.removeMember(id)
		m.markMembersChanged()
	}
}
