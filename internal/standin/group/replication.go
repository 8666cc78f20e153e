package group

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/standin/group/sqldb"
	"github.com/celerystep/celerystep/internal/upstream"
)

// applyBatch bounds the transactions that are applied while readers wait.
const applyBatch = 64

// linkState is the state of the replication link between two members.
type linkState uint8

const (
	linkUp linkState = iota
	// linkSilent loses everything without a sign.
	linkSilent
	// linkRefused answers with a refusal or a reset.
	linkRefused
)

// link returns the state of the link as m sees it.
func (m *member) link(p *member) linkState {
	switch {
	case m.isolated.Load(), p.isolated.Load(), p.frozen.isShut():
		return linkSilent
	case !p.isAlive():
		return linkRefused
	default:
		return linkUp
	}
}

func (m *member) isAlive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.alive
}

// receiveLoop keeps the replication stream from the member's primary until ctx ends.
func (m *member) receiveLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !m.frozen.pass(ctx.Done()) {
			return
		}
		own := m.control.wait()
		source := m.sourceAppended()
		pause := m.receive()
		t := time.NewTimer(pause)
		select {
		case <-own:
		case <-source:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// sourceAppended returns a channel that tells of the next change of the primary's log, or nil.
func (m *member) sourceAppended() <-chan struct{} {
	m.mu.Lock()
	p := m.group.members[m.primary]
	m.mu.Unlock()
	if p == nil {
		return nil
	}
	return p.appended.wait()
}

// receive takes over what the primary has and returns the time until the next attempt.
func (m *member) receive() time.Duration {
	m.mu.Lock()
	if m.role != upstream.RoleReplica || !m.alive {
		m.mu.Unlock()
		return heartbeatInterval
	}
	term := m.term
	p := m.group.members[m.primary]
	m.mu.Unlock()

	switch m.link(p) {
	case linkSilent:
		return heartbeatInterval
	case linkRefused:
		m.breakStream(term)
		return heartbeatInterval
	}
	source, ok := p.logOfTerm(term)
	if !ok {
		return heartbeatInterval
	}
	m.matchLog(term, p.id, source)
	return m.receiveFrom(term, p.id, source)
}

// logOfTerm returns the log of a member that leads in the term.
func (m *member) logOfTerm(t position.Term) ([]logEntry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role != upstream.RolePrimary || m.term != t {
		return nil, false
	}
	return m.log.entries, true
}

// breakStream makes the member report at once that it does not hear its primary.
func (m *member) breakStream(t position.Term) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term != t || m.streamBroken {
		return
	}
	m.streamBroken = true
	if silent := time.Now().Add(-brokenStreamSilence); silent.Before(m.lastHeard) {
		m.lastHeard = silent
	}
	m.changed.send()
}

func (m *member) followsLocked(t position.Term, primary upstream.MemberID) bool {
	return m.alive && m.role == upstream.RoleReplica && m.term == t && m.primary == primary
}

// matchLog drops the records that the primary does not have, once in each term.
func (m *member) matchLog(t position.Term, primary upstream.MemberID, source []logEntry) {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.matched || !m.followsLocked(t, primary) {
		return
	}
	m.matched = true
	common := commonEnd(m.log.entries, source)
	if common == m.log.end() {
		return
	}
	m.group.logger.Info("truncating the log", "member", m.id, "term", t, "from", m.log.end(), "to", common)
	m.log.truncate(common)
	m.rebuilt = min(m.rebuilt, common)
	if m.applied > common {
		m.rebuildLocked()
	}
	m.notifyControl()
}

// rebuildLocked starts with an empty database, which the applier fills from the log. As after a restart, connections
// are closed, because a client must not see the state move back.
func (m *member) rebuildLocked() {
	db, err := sqldb.OpenCommitted(readersPerMember)
	if err != nil {
		m.fault = err
		return
	}
	old := m.db
	m.db, m.applied, m.rebuilt = db, 0, m.log.end()
	m.described.reset()
	for _, s := range m.sessions {
		if !s.status {
			s.terminateLocked()
		}
	}
	// Closing waits for running reads, which do not need the locks held here.
	_ = old.Close()
}

// receiveFrom appends the records whose lag has passed and returns the time until the next attempt.
func (m *member) receiveFrom(t position.Term, primary upstream.MemberID, source []logEntry) time.Duration {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.matched || !m.followsLocked(t, primary) {
		return heartbeatInterval
	}
	m.lastHeard, m.streamBroken = now, false
	pause := heartbeatInterval
	before := m.log.end()
	for int(m.log.end()) < len(source) {
		r := source[m.log.end()].record
		if wait := m.receiveLag - now.Sub(r.committed); wait > 0 {
			pause = min(pause, wait)
			break
		}
		m.log.append(r, now)
	}
	if m.log.end() > before {
		m.notifyLog()
	}
	return pause
}

// applyLoop applies received records after their lag until ctx ends.
func (m *member) applyLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !m.frozen.pass(ctx.Done()) {
			return
		}
		control, appended := m.control.wait(), m.appended.wait()
		due, pause := m.dueToApply()
		if due > 0 {
			m.applyUpTo(due)
			continue
		}
		if m.leads() {
			// The goroutines that commit apply the log themselves.
			appended = nil
		}
		t := time.NewTimer(pause)
		select {
		case <-control:
		case <-appended:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

func (m *member) leads() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.role == upstream.RolePrimary
}

// applyPause bounds the wait of an applier that has nothing to do.
const applyPause = time.Second

// dueToApply returns the last LSN that may be applied now, or 0 and the time until the next one.
func (m *member) dueToApply() (position.LSN, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault != nil {
		return 0, applyPause
	}
	now := time.Now()
	var due position.LSN
	pause := applyPause
	for lsn := m.applied + 1; lsn <= m.log.end() && lsn <= m.applied+applyBatch; lsn++ {
		wait := m.applyLag - now.Sub(m.log.entries[lsn-1].received)
		if wait > 0 && lsn > m.rebuilt {
			pause = min(pause, wait)
			break
		}
		due = lsn
	}
	return due, pause
}

// applyAll applies the whole received log without lag.
func (m *member) applyAll() {
	m.mu.Lock()
	end := m.log.end()
	m.mu.Unlock()
	m.applyUpTo(end)
}

// applyUpTo applies the log up to and including the LSN.
func (m *member) applyUpTo(lsn position.LSN) {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	for m.applyBatch(lsn) {
	}
}

// applyBatch applies some records and reports whether there may be more. The caller holds applyMu.
func (m *member) applyBatch(lsn position.LSN) bool {
	m.mu.Lock()
	end := min(lsn, m.log.end(), m.applied+applyBatch)
	if m.fault != nil || end <= m.applied {
		m.mu.Unlock()
		return false
	}
	batch := m.log.entries[m.applied:end]
	db := m.db
	m.mu.Unlock()

	transactions := make([][]sqldb.Statement, len(batch))
	for i, e := range batch {
		transactions[i] = e.statements
	}
	if err := db.Apply(transactions); err != nil {
		m.setFault(err)
		return false
	}
	m.mu.Lock()
	m.applied = end
	m.mu.Unlock()
	m.changed.send()
	return true
}
