package membership

import (
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
)

// pushes returns the pushes of news that are due.
func (m *Machine) pushes(now time.Time) []Call {
	if now.Before(m.due.push) {
		return nil
	}
	m.due.push = nextDue(now, m.due.push, PushInterval)
	calls := m.pulls(now)
	if m.news.len() == 0 && m.urgent.len() == 0 {
		return calls
	}
	targets := m.pickPeers(m.fanout(now))
	if len(targets) == 0 {
		return calls
	}
	msg := &Message{From: m.self, StoreAge: m.storeAge(now)}
	if !m.addNews(now, msg, MaxPushNewsBytes, len(targets), nil) {
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

// fanout returns the number of instances that the next push goes to. When the budget is short, one full message is
// sent instead of several small ones, because each call has a fixed cost.
func (m *Machine) fanout(now time.Time) int {
	const full = MaxPushNewsBytes + CallOverheadBytes
	m.budget.refill(now)
	switch left := m.budget.left(); {
	case m.urgent.len() > 0:
		return PushFanout
	case m.pulling(now) && left >= full:
		return 1
	case left >= PushFanout*full:
		return PushFanout
	case left >= full:
		return 1
	default:
		return 0
	}
}

// addNews fills a message with the news sent least often, within limit bytes and the budget, and reports whether it
// added any. The message goes to copies receivers. Records in received are known to the receiver and left out.
func (m *Machine) addNews(now time.Time, msg *Message, limit, copies int, received *Message) bool {
	if m.news.len() == 0 && m.urgent.len() == 0 {
		return false
	}
	m.budget.refill(now)
	urgent := m.fill(now, m.urgent, msg, limit, copies, UrgentMargin, received)
	room := min(limit, m.budget.left()/copies)
	if room <= 0 {
		return urgent > 0
	}
	used := m.fill(now, m.news, msg, room, copies, NewsMargin, received)
	m.budget.spend(used * copies)
	return urgent+used > 0
}

// fill adds records from the queue to the message and returns their bytes. The first record is added whatever its
// size, so that none blocks the queue.
func (m *Machine) fill(
	now time.Time, q *newsQueue, msg *Message, room, copies int, margin float64, received *Message,
) int {
	used := 0
	total := retransmissions(m.peers.len()+1, margin)
	below := total
	if q == m.news && m.pulling(now) {
		below = PullFirstSends
	}
	q.take(copies, below, total, func(k newsKey) sendResult {
		if received.has(k) {
			return sendSkipped
		}
		size := m.newsSize(k)
		if used > 0 && used+size > room {
			return sendStop
		}
		used += size
		m.attach(msg, k)
		return sendDone
	})
	return used
}

// attach appends the present value of a record to the message.
func (m *Machine) attach(msg *Message, k newsKey) {
	switch k.kind {
	case kindMember:
		record, _ := m.state.member(k.member)
		msg.Members = append(msg.Members, record.news())
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

// newsSize returns the bytes that attach adds to a message.
func (m *Machine) newsSize(k newsKey) int {
	switch k.kind {
	case kindMember:
		record, _ := m.state.member(k.member)
		record = record.news()
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

// has reports whether the message holds a record with the key. A nil message holds none.
func (msg *Message) has(k newsKey) bool {
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
	m.addDoubt(reply, msg.From)
	switch {
	case msg.Digest == nil:
	case msg.Digest.Salt != 0:
		m.answerPull(now, reply, msg.Digest)
	default:
		m.answerDigest(reply, msg)
	}
	m.addNews(now, reply, MaxPushNewsBytes, 1, msg)
	return reply
}

// reconnects returns a call to a random instance believed dead, which heals a partition after both sides declared
// each other dead. An instance that left, or that the platform's list no longer shows, is not tried.
func (m *Machine) reconnects(now time.Time) []Call {
	if now.Before(m.due.reconnect) {
		return nil
	}
	m.due.reconnect = nextDue(now, m.due.reconnect, ReconnectInterval)
	var dead []instance.ID
	for id, t := range m.tombstones {
		if !t.left && m.directory.mayExist(id) {
			dead = append(dead, id)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	slices.Sort(dead)
	id := dead[m.rng.IntN(len(dead))]
	msg := &Message{From: m.self, Members: []Member{m.own()}, StoreAge: m.storeAge(now)}
	m.addDoubt(msg, id)
	if c, ok := m.gossipCall(now, CallReconnect, id, msg); ok {
		return []Call{c}
	}
	return nil
}
