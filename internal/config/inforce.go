package config

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
)

const (
	// startupWait is how long a starting instance prefers the peers' version over the store's, which may be an old
	// copy. Gossip reaches a new instance within a few rounds of 200 ms.
	startupWait = time.Second
	// writeBackSpread is the range of the random delay before a write-back or a write of revocations. All instances
	// notice an old store at about the same time and one of them is enough.
	writeBackSpread = time.Second
	// firstRetry doubles with each failure up to lastRetry.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 10 * time.Second
	// maxCandidates bounds the configurations that are known and not in force.
	maxCandidates = 8
	// maxSources bounds the peers remembered for one configuration.
	maxSources = 8
	// maxSourceFailures is the number of failures after which a source is given up. A peer may announce a version that
	// it is still loading itself, so one failure does not count.
	maxSourceFailures = 4
	// lastLoadRetry bounds the delay between loads; a change has to be in force everywhere within 4 s.
	lastLoadRetry = 400 * time.Millisecond
	// maxRejected bounds the configurations remembered as unusable.
	maxRejected = 32
)

// actionKind says what the I/O around the decisions has to do.
type actionKind uint8

const (
	// actionLoad loads Ref from Peer, or from the store when Peer is empty, and reports to loaded.
	actionLoad actionKind = iota + 1
	// actionInstall puts the loaded Ref in force and announces it.
	actionInstall
	// actionWriteBack writes the configuration in force into the store and reports to wroteBack.
	actionWriteBack
	// actionWriteRevocations proposes the pending revocations and reports to wroteRevocations.
	actionWriteRevocations
	// actionReadRoot reads the root from the store and reports to storeAnswered.
	actionReadRoot
	// actionReportFork records that two roots with the same version exist; Other is the one not in force.
	actionReportFork
	// actionReportBehind records that the store holds Other, which is older than the version in force.
	actionReportBehind
)

type action struct {
	kind  actionKind
	ref   Ref
	other Ref
	peer  instance.ID
}

// inForce decides which configuration is in force. It does no I/O: events and the time come in, actions go out. A
// lower version never replaces a higher one.
type inForce struct {
	random  *rand.Rand
	current Ref
	// watcher is true while this instance holds a watch and therefore writes revocations into the store.
	watcher bool
	// heard is true once a peer has told its version.
	heard     bool
	holdUntil time.Time

	store      Ref
	storeKnown bool

	candidates []*knownRef
	rejected   []Ref
	forks      []Ref
	loading    bool
	retryAt    time.Time
	failures   int

	writing       bool
	writeAt       time.Time
	writeFailures int

	pending        int
	revoking       bool
	revokeAt       time.Time
	revokeFailures int
}

// knownRef is a configuration that is newer than the one in force, with the places that have it.
type knownRef struct {
	ref     Ref
	inStore bool
	peers   []source
}

// source is a peer that announced a configuration.
type source struct {
	id       instance.ID
	failures int
}

func (c *knownRef) addPeer(id instance.ID) {
	for _, s := range c.peers {
		if s.id == id {
			return
		}
	}
	c.peers = appendBounded(c.peers, source{id: id}, maxSources)
}

// peerFailed moves a peer to the end, or drops it.
func (c *knownRef) peerFailed(id instance.ID) {
	for i, s := range c.peers {
		if s.id != id {
			continue
		}
		c.peers = slices.Delete(c.peers, i, i+1)
		s.failures++
		if s.failures < maxSourceFailures {
			c.peers = append(c.peers, s)
		}
		return
	}
}

func newInForce(random *rand.Rand) *inForce { return &inForce{random: random} }

// storeAnswered handles the root found in the store; a zero ref means that there is none.
func (m *inForce) storeAnswered(now time.Time, ref Ref) []action {
	if m.holdUntil.IsZero() {
		m.holdUntil = now.Add(startupWait)
	}
	m.store, m.storeKnown = ref, true
	for _, c := range m.candidates {
		c.inStore = c.ref == ref
	}
	var out []action
	switch {
	case ref.Version > m.current.Version:
		m.learn(ref).inStore = true
	case ref != m.current && !m.writing && m.writeAt.IsZero():
		m.writeAt = now.Add(m.spread())
		out = append(out, m.reportStore(ref))
	}
	return append(out, m.tick(now)...)
}

func (m *inForce) reportStore(ref Ref) action {
	if ref.Version == m.current.Version {
		return action{kind: actionReportFork, ref: m.current, other: ref}
	}
	return action{kind: actionReportBehind, ref: m.current, other: ref}
}

// storeFailed handles a store that did not answer.
func (m *inForce) storeFailed(now time.Time) []action {
	m.storeKnown = false
	return m.tick(now)
}

// heardFrom handles a peer's announcement of its version in force.
func (m *inForce) heardFrom(now time.Time, ref Ref, from instance.ID) []action {
	if ref.IsZero() {
		return nil
	}
	m.heard = true
	var out []action
	if ref.Version == m.current.Version && ref != m.current && !slices.Contains(m.forks, ref) {
		m.forks = appendBounded(m.forks, ref, maxRejected)
		out = append(out, action{kind: actionReportFork, ref: m.current, other: ref})
	}
	if ref.Newer(m.current) && !slices.Contains(m.rejected, ref) {
		m.learn(ref).addPeer(from)
	}
	return append(out, m.tick(now)...)
}

// learn returns the entry for a configuration, which is created when it is new.
func (m *inForce) learn(ref Ref) *knownRef {
	for _, c := range m.candidates {
		if c.ref == ref {
			return c
		}
	}
	c := &knownRef{ref: ref}
	m.candidates = append(m.candidates, c)
	slices.SortFunc(m.candidates, func(a, b *knownRef) int {
		if a.ref.Newer(b.ref) {
			return -1
		}
		return 1
	})
	m.candidates = m.candidates[:min(len(m.candidates), maxCandidates)]
	return c
}

// loadResult says how a load ended.
type loadResult uint8

const (
	loadOK loadResult = iota
	// loadFailed means that the source did not give the configuration.
	loadFailed
	// loadInvalid means that the configuration has mistakes; it is not tried again.
	loadInvalid
)

// loaded handles the end of an actionLoad.
func (m *inForce) loaded(now time.Time, ref Ref, from instance.ID, result loadResult) []action {
	m.loading = false
	var out []action
	switch result {
	case loadOK:
		m.failures = 0
		if ref.Newer(m.current) {
			m.current = ref
			out = append(out, action{kind: actionInstall, ref: ref})
		}
	case loadInvalid:
		m.rejected = appendBounded(m.rejected, ref, maxRejected)
	case loadFailed:
		out = m.sourceFailed(now, ref, from)
	}
	m.candidates = slices.DeleteFunc(m.candidates, func(c *knownRef) bool {
		return !c.ref.Newer(m.current) || slices.Contains(m.rejected, c.ref)
	})
	return append(out, m.tick(now)...)
}

// sourceFailed forgets a source. When none is left, the store is asked for the newest root.
func (m *inForce) sourceFailed(now time.Time, ref Ref, from instance.ID) []action {
	m.retryAt = now.Add(min(m.retry(m.failures), lastLoadRetry))
	m.failures++
	c := m.learn(ref)
	if from == "" {
		c.inStore = false
	}
	c.peerFailed(from)
	if len(c.peers) > 0 || c.inStore {
		return nil
	}
	m.candidates = slices.DeleteFunc(m.candidates, func(k *knownRef) bool { return k == c })
	return []action{{kind: actionReadRoot}}
}

// wroteBack handles the end of an actionWriteBack; stored is what the store holds after a success.
func (m *inForce) wroteBack(now time.Time, stored Ref, ok bool) []action {
	m.writing = false
	if !ok {
		m.writeAt = now.Add(m.retry(m.writeFailures) + m.spread())
		m.writeFailures++
		return m.tick(now)
	}
	m.writeFailures = 0
	return m.storeAnswered(now, stored)
}

// setPending tells how many revocations the configuration in force lacks.
func (m *inForce) setPending(now time.Time, n int) []action {
	m.pending = n
	return m.tick(now)
}

// wroteRevocations handles the end of an actionWriteRevocations.
func (m *inForce) wroteRevocations(now time.Time, ok bool) []action {
	m.revoking = false
	m.revokeFailures++
	if ok {
		m.revokeFailures = 0
	}
	return m.tick(now)
}

// setWatcher tells whether this instance holds a watch.
func (m *inForce) setWatcher(now time.Time, watcher bool) []action {
	m.watcher = watcher
	return m.tick(now)
}

// tick starts what is due.
func (m *inForce) tick(now time.Time) []action {
	var out []action
	if a, ok := m.dueLoad(now); ok {
		out = append(out, a)
	}
	if m.dueWriteBack(now) {
		out = append(out, action{kind: actionWriteBack, ref: m.current, other: m.store})
	}
	if m.dueRevocations(now) {
		out = append(out, action{kind: actionWriteRevocations, ref: m.current})
	}
	return out
}

func (m *inForce) dueLoad(now time.Time) (action, bool) {
	if m.loading || now.Before(m.retryAt) {
		return action{}, false
	}
	for _, c := range m.candidates {
		if slices.Contains(m.rejected, c.ref) {
			continue
		}
		if len(c.peers) > 0 {
			m.loading = true
			return action{kind: actionLoad, ref: c.ref, peer: c.peers[0].id}, true
		}
		if c.inStore && !m.holding(now) {
			m.loading = true
			return action{kind: actionLoad, ref: c.ref}, true
		}
	}
	return action{}, false
}

// holding reports whether a starting instance still waits for its peers before it takes the store's version.
func (m *inForce) holding(now time.Time) bool {
	return m.current.IsZero() && !m.heard && now.Before(m.holdUntil)
}

func (m *inForce) dueWriteBack(now time.Time) bool {
	if m.writing || m.writeAt.IsZero() || now.Before(m.writeAt) {
		return false
	}
	m.writeAt = time.Time{}
	if m.current.IsZero() || m.storeKnown && (m.store == m.current || m.store.Version > m.current.Version) {
		return false
	}
	m.writing = true
	return true
}

// dueRevocations waits for a store that holds the version in force, because a proposal needs it as its base.
func (m *inForce) dueRevocations(now time.Time) bool {
	if m.pending == 0 || !m.watcher || m.revoking || !m.storeKnown || m.store != m.current {
		m.revokeAt = time.Time{}
		return false
	}
	if m.revokeAt.IsZero() {
		m.revokeAt = now.Add(m.spread())
		if m.revokeFailures > 0 {
			m.revokeAt = m.revokeAt.Add(m.retry(m.revokeFailures))
		}
	}
	if now.Before(m.revokeAt) {
		return false
	}
	m.revokeAt = time.Time{}
	m.revoking = true
	return true
}

// wakeAt returns the time of the next due action, or the zero time.
func (m *inForce) wakeAt(now time.Time) time.Time {
	var next time.Time
	for _, t := range []time.Time{m.holdUntil, m.retryAt, m.writeAt, m.revokeAt} {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	return next
}

func (m *inForce) spread() time.Duration {
	return time.Duration(m.random.Int64N(int64(writeBackSpread)))
}

func (m *inForce) retry(failures int) time.Duration {
	if failures > 10 {
		return lastRetry
	}
	return min(firstRetry<<failures, lastRetry)
}

func appendBounded[T any](list []T, x T, limit int) []T {
	list = append(list, x)
	if len(list) > limit {
		list = slices.Delete(list, 0, len(list)-limit)
	}
	return list
}
