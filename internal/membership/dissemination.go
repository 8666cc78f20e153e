package membership

import (
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
)

// pushCalls returns the pulls and pushes that are due.
func (m *Machine) pushCalls(now time.Time) []Call {
	if now.Before(m.nextRun.push) {
		return nil
	}
	m.nextRun.push = nextDue(now, m.nextRun.push, PushInterval)
	calls := m.pullCalls(now)
	if m.updates.len() == 0 && m.urgent.len() == 0 {
		return calls
	}
	targets := m.pickPeers(m.fanout(now))
	if len(targets) == 0 {
		return calls
	}
	msg := &Message{From: m.self, StoreAge: m.storeAge(now)}
	if !m.addUpdates(now, msg, MaxPushUpdateBytes, len(targets), nil) {
		return calls
	}
	m.budget.spend(CallOverheadBytes * len(targets))
	for _, id := range targets {
		if c, ok := m.gossipCall(now, CallPush, id, msg); ok {
			calls = append(calls, c)
		}
	}
	return calls
}

// fanout returns the number of instances that receive the next push. When the budget is low, one full message is sent
// instead of several small ones, because each call has a fixed cost.
func (m *Machine) fanout(now time.Time) int {
	const full = MaxPushUpdateBytes + CallOverheadBytes
	m.budget.refill(now)
	switch remaining := m.budget.remaining(); {
	case m.urgent.len() > 0:
		return PushFanout
	case m.pulling(now) && remaining >= full:
		return 1
	case remaining >= PushFanout*full:
		return PushFanout
	case remaining >= full:
		return 1
	default:
		return 0
	}
}

// addUpdates fills a message with the least-sent updates, within limit bytes and the budget, and reports whether it
// added any. The message goes to copies receivers. Records in received are known to the receiver and omitted.
func (m *Machine) addUpdates(now time.Time, msg *Message, limit, copies int, received *Message) bool {
	if m.updates.len() == 0 && m.urgent.len() == 0 {
		return false
	}
	m.budget.refill(now)
	urgent := m.drainQueue(now, m.urgent, msg, limit, copies, UrgentTransmitMargin, received)
	maxBytes := min(limit, m.budget.remaining()/copies)
	if maxBytes <= 0 {
		return urgent > 0
	}
	used := m.drainQueue(now, m.updates, msg, maxBytes, copies, TransmitMargin, received)
	m.budget.spend(used * copies)
	return urgent+used > 0
}

// drainQueue adds records from the queue to the message and returns their size in bytes. The first record is added
// whatever its size, so no record blocks the queue.
func (m *Machine) drainQueue(
	now time.Time, q *updateQueue, msg *Message, maxBytes, copies int, margin float64, received *Message,
) int {
	used := 0
	limit := transmitLimit(m.peers.len()+1, margin)
	maxSends := limit
	if q == m.updates && m.pulling(now) {
		maxSends = MaxSendsWhilePulling
	}
	q.drain(copies, maxSends, limit, func(k updateKey) sendResult {
		if received.has(k) {
			return sendSkipped
		}
		size := m.updateSize(k)
		if used > 0 && used+size > maxBytes {
			return sendStop
		}
		used += size
		m.appendUpdate(msg, k)
		return sendAdded
	})
	return used
}

// appendUpdate appends the current value of a record to the message.
func (m *Machine) appendUpdate(msg *Message, k updateKey) {
	switch k.kind {
	case kindMember:
		record, _ := m.state.member(k.member)
		msg.Members = append(msg.Members, record.update())
	case kindHome:
		record, _ := m.state.home(k.group)
		msg.Homes = append(msg.Homes, record)
	case kindRevocation:
		record, _ := m.state.revocation(k.key)
		msg.Revocations = append(msg.Revocations, record)
	case kindConfig:
		msg.Config = m.state.config
	}
}

// updateSize returns the number of bytes that appendUpdate adds to a message.
func (m *Machine) updateSize(k updateKey) int {
	switch k.kind {
	case kindMember:
		record, _ := m.state.member(k.member)
		record = record.update()
		return nestedSize(record.size())
	case kindHome:
		record, _ := m.state.home(k.group)
		return nestedSize(record.size())
	case kindRevocation:
		record, _ := m.state.revocation(k.key)
		return nestedSize(record.size())
	default:
		return nestedSize(m.state.config.size())
	}
}

// has reports whether the message contains a record with the key. A nil message contains none.
func (msg *Message) has(k updateKey) bool {
	if msg == nil {
		return false
	}
	switch k.kind {
	case kindMember:
		for i := range msg.Members {
			if msg.Members[i].ID == k.member {
				return true
			}
		}
	case kindHome:
		for i := range msg.Homes {
			if msg.Homes[i].Group == k.group {
				return true
			}
		}
	case kindRevocation:
		for i := range msg.Revocations {
			if msg.Revocations[i].KeyRef == k.key {
				return true
			}
		}
	case kindConfig:
		return msg.Config.Version > 0
	}
	return false
}

// Gossip answers a push or an exchange from a peer.
func (m *Machine) Gossip(now time.Time, msg *Message) *Message {
	m.receive(now, msg)
	reply := &Message{From: m.self, StoreAge: m.storeAge(now)}
	m.addReceiverRecord(reply, msg.From)
	switch {
	case msg.Digest == nil:
	case msg.Digest.Salt != 0:
		m.answerPull(now, reply, msg.Digest)
	default:
		m.answerDigest(reply, msg)
	}
	m.addUpdates(now, reply, MaxPushUpdateBytes, 1, msg)
	return reply
}

// reconnectCalls returns a call to a random instance believed dead, which heals a partition after both sides declared
// each other dead. It skips instances that left or that are no longer in the platform's list.
func (m *Machine) reconnectCalls(now time.Time) []Call {
	if now.Before(m.nextRun.reconnect) {
		return nil
	}
	m.nextRun.reconnect = nextDue(now, m.nextRun.reconnect, ReconnectInterval)
	var dead []instance.ID
	for id, t := range m.tombstones {
		if !t.noReconnect && m.instanceList.mayBeListed(id) {
			dead = append(dead, id)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	slices.Sort(dead)
	id := dead[m.rng.IntN(len(dead))]
	msg := &Message{From: m.self, Members: []Member{m.selfRecord()}, StoreAge: m.storeAge(now)}
	m.addReceiverRecord(msg, id)
	if c, ok := m.gossipCall(now, CallReconnect, id, msg); ok {
		return []Call{c}
	}
	return nil
}
