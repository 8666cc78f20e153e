package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
)

// join is the progress of an instance that does not have the fleet's state yet. Until it is done, the instance must not
// conclude that a group has no home.
type join struct {
	done bool
	// fetching is true while a fetch is outstanding.
	fetching bool
	fetched  [BucketCount]bool
	// copying is true while the records of a fetch are merged into the state. These are not disseminated again.
	copying bool
	// answered is true once another joining instance has answered.
	answered bool
	// contacted is true once a call to another instance was made.
	contacted bool
}

// exchangeCalls returns the digest exchange with a random peer that is due, or the next calls of joining.
func (m *Machine) exchangeCalls(now time.Time) []Call {
	if now.Before(m.nextRun.exchange) {
		return nil
	}
	if !m.join.done {
		return m.joinStep(now)
	}
	jitter := m.randomDuration(ExchangeInterval*2/5) - ExchangeInterval/5
	m.nextRun.exchange = now.Add(ExchangeInterval + jitter)
	for _, id := range m.pickPeers(1) {
		if c, ok := m.gossipCall(now, CallDigest, id, m.digestRequest(now)); ok {
			return []Call{c}
		}
	}
	return nil
}

// joinStep contacts some known peers and listed instances, or ends joining if there is no source for the state.
func (m *Machine) joinStep(now time.Time) []Call {
	m.nextRun.exchange = now.Add(JoinInterval)
	waited := now.Sub(m.started)
	switch {
	case m.join.answered && waited >= ColdStartDelay:
		m.finishJoin()
		return nil
	case m.instanceList.loaded && !m.join.contacted && len(m.instanceList.seeds(m)) == 0 && m.peers.len() == 0:
		m.finishJoin()
		return nil
	case m.instanceList.loaded && waited >= JoinTimeout:
		m.finishJoin()
		return nil
	}
	if m.join.fetching {
		return nil
	}
	var calls []Call
	for _, id := range m.pickPeers(1) {
		if c, ok := m.gossipCall(now, CallDigest, id, m.digestRequest(now)); ok {
			calls = append(calls, c)
		}
	}
	for _, seed := range m.pickSeeds(JoinFanout - len(calls)) {
		calls = append(calls, m.call(now, CallDigest, seed, m.digestRequest(now)))
	}
	m.join.contacted = m.join.contacted || len(calls) > 0
	return calls
}

func (m *Machine) finishJoin() {
	m.join.done = true
	m.changes.Joined = true
	m.view = nil
}

// digestRequest returns a message with this instance's own record and the root of its state.
func (m *Machine) digestRequest(now time.Time) *Message {
	return &Message{
		From:     m.self,
		Members:  []Member{m.selfRecord()},
		StoreAge: m.storeAge(now),
		Digest:   &Digest{Root: m.state.root, Joined: m.join.done},
	}
}

// digestDone fetches the differing buckets after a peer answered with its bucket hashes.
func (m *Machine) digestDone(now time.Time, c Call, r Reply) []Call {
	if !r.OK || r.Message == nil || r.Message.Digest == nil {
		return nil
	}
	theirs := r.Message.Digest
	if !theirs.Joined && !m.join.done {
		m.join.answered = true
	}
	differing := m.differing(theirs)
	if !m.join.done && theirs.Joined && m.allFetched(differing) {
		m.finishJoin()
		return nil
	}
	if len(differing) == 0 || m.join.fetching {
		return nil
	}
	m.join.fetching = true
	return []Call{m.call(now, CallFetch, c.To, m.fetchRequest(now, differing))}
}

// differing returns the buckets whose hash differs from the peer's, starting at a random one so that repairs of limited
// size cover all of them over time.
func (m *Machine) differing(theirs *Digest) []uint32 {
	if len(theirs.Buckets) != BucketCount {
		return nil
	}
	offset := m.rng.IntN(BucketCount)
	var list []uint32
	for i := range BucketCount {
		b := (i + offset) % BucketCount
		if m.state.buckets[b].hash != theirs.Buckets[b] {
			list = append(list, uint32(b))
		}
	}
	return list
}

func (m *Machine) allFetched(buckets []uint32) bool {
	for _, b := range buckets {
		if !m.join.fetched[b] {
			return false
		}
	}
	return true
}

// fetchRequest returns a message that sends this instance's records of as many differing buckets as fit and requests
// the peer's records of them.
func (m *Machine) fetchRequest(now time.Time, differing []uint32) *Message {
	msg := m.digestRequest(now)
	if !m.join.done {
		differing = slices.DeleteFunc(differing, func(b uint32) bool { return m.join.fetched[b] })
	}
	size := 0
	for _, b := range differing {
		part := m.state.records(b, false)
		size += part.Size()
		if size > MaxFetchBytes && len(msg.Digest.Wanted) > 0 {
			break
		}
		msg.append(part)
		msg.Digest.Wanted = append(msg.Digest.Wanted, b)
	}
	msg.Config = m.state.config
	return msg
}

// fetchDone records which buckets a joining instance has fetched. The next join step compares the digests again,
// because the answer may have been limited in size.
func (m *Machine) fetchDone(c Call, r Reply) {
	m.join.fetching = false
	if m.join.done || !r.OK || r.Message == nil || r.Message.Digest == nil || !r.Message.Digest.Joined {
		return
	}
	for _, b := range r.Message.Digest.Wanted {
		if b < BucketCount {
			m.join.fetched[b] = true
		}
	}
}

// answerDigest adds the records of the requested buckets to a reply, or the bucket hashes if the states differ and no
// buckets were requested.
func (m *Machine) answerDigest(reply, request *Message) {
	reply.Digest = &Digest{Root: m.state.root, Joined: m.join.done}
	if request.Digest.Root == m.state.root {
		return
	}
	reply.Config = m.state.config
	if len(request.Digest.Wanted) > 0 {
		m.answerWanted(reply, request)
		return
	}
	reply.Digest.Buckets = make([]uint64, BucketCount)
	for i, b := range m.state.buckets {
		reply.Digest.Buckets[i] = b.hash
	}
}

// answerWanted adds the records of the requested buckets that the request does not contain, as many whole buckets as
// fit.
func (m *Machine) answerWanted(reply, request *Message) {
	limit := MaxFetchBytes
	if !request.Digest.Joined {
		limit = MaxJoinBytes
	}
	known := indexMessage(request)
	size := 0
	for _, b := range request.Digest.Wanted {
		if b >= BucketCount {
			continue
		}
		part := m.state.records(b, true)
		known.removeKnown(part)
		size += part.Size()
		if size > limit && len(reply.Digest.Wanted) > 0 {
			return
		}
		reply.append(part)
		reply.Digest.Wanted = append(reply.Digest.Wanted, b)
	}
}

// records returns the records of a bucket in a fixed order, with dead members only if dead is set.
func (s *state) records(b uint32, dead bool) *Message {
	msg := &Message{}
	for _, r := range s.buckets[b].members {
		if dead || r.State != instance.StateDead {
			msg.Members = append(msg.Members, r)
		}
	}
	for _, r := range s.buckets[b].homes {
		msg.Homes = append(msg.Homes, r)
	}
	for _, r := range s.buckets[b].revocations {
		msg.Revocations = append(msg.Revocations, r)
	}
	slices.SortFunc(msg.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(msg.Homes, func(a, b Home) int { return cmp.Compare(a.Group, b.Group) })
	slices.SortFunc(msg.Revocations, func(a, b Revocation) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Key, b.Key))
	})
	return msg
}

// append appends the records of another message.
func (msg *Message) append(o *Message) {
	msg.Members = append(msg.Members, o.Members...)
	msg.Homes = append(msg.Homes, o.Homes...)
	msg.Revocations = append(msg.Revocations, o.Revocations...)
}

// messageIndex looks up the records of a message by key.
type messageIndex struct {
	members     map[instance.ID]Member
	homes       map[string]Home
	revocations map[KeyRef]Revocation
}

func indexMessage(msg *Message) messageIndex {
	x := messageIndex{
		members:     make(map[instance.ID]Member, len(msg.Members)),
		homes:       make(map[string]Home, len(msg.Homes)),
		revocations: make(map[KeyRef]Revocation, len(msg.Revocations)),
	}
	for _, r := range msg.Members {
		x.members[r.ID] = r
	}
	for _, r := range msg.Homes {
		x.homes[string(r.Group)] = r
	}
	for _, r := range msg.Revocations {
		x.revocations[r.KeyRef] = r
	}
	return x
}

// removeKnown removes from msg the records that the indexed message contains with the same value, and tombstones of
// instances that the indexed message does not contain.
func (x messageIndex) removeKnown(msg *Message) {
	msg.Members = slices.DeleteFunc(msg.Members, func(r Member) bool {
		have, ok := x.members[r.ID]
		return (ok && have == r) || (!ok && r.State == instance.StateDead)
	})
	msg.Homes = slices.DeleteFunc(msg.Homes, func(r Home) bool { return x.homes[string(r.Group)] == r })
	msg.Revocations = slices.DeleteFunc(msg.Revocations, func(r Revocation) bool {
		return x.revocations[r.KeyRef] == r
	})
}
