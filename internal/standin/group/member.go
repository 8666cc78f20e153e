package group

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/standin/group/sqldb"
	"github.com/celerystep/celerystep/internal/upstream"
)

// member is one database server of the group.
type member struct {
	group   *Group
	id      upstream.MemberID
	options MemberOptions
	address string

	slots      chan struct{}
	statements statementLog
	parsed     cache
	described  cache
	lastTx     atomic.Uint64
	// changed is sent at each change of the status, appended when the log or anything in control changes, and control
	// when the role, the term, a lag or a fault changes.
	changed, appended, control broadcast
	// frozen stops the member's goroutines as a stopped process would.
	frozen gate

	isolated    atomic.Bool
	serviceTime atomic.Int64

	// applyMu serialises changes of the applied state. It is taken before mu.
	applyMu sync.Mutex

	mu       sync.Mutex
	alive    bool
	listener net.Listener
	stop     context.CancelFunc
	sessions map[uint32]*session

	// The fields below are durable: they survive Kill and Restart.
	log        memberLog
	db         *sqldb.Committed
	applied    position.LSN
	term       position.Term
	fenceOwner string
	role       upstream.Role
	primary    upstream.MemberID
	generation uint64
	owner      string

	// matched is true once the log is known to be a prefix of the primary's in this term.
	matched bool
	// rebuilt is the LSN up to which the database is rebuilt after a truncation, without apply lag.
	rebuilt      position.LSN
	lastHeard    time.Time
	streamBroken bool
	writer       *writer
	receiveLag   time.Duration
	applyLag     time.Duration
	// fault is the error that stopped the applying of the log.
	fault error
}

func newMember(g *Group, o MemberOptions, primary upstream.MemberID) (*member, error) {
	db, err := sqldb.OpenCommitted(readersPerMember)
	if err != nil {
		return nil, err
	}
	m := &member{
		group:      g,
		id:         o.ID,
		options:    o,
		slots:      make(chan struct{}, g.options.Slots),
		statements: statementLog{limit: g.options.StatementLogLimit},
		sessions:   make(map[uint32]*session),
		db:         db,
		term:       1,
		role:       upstream.RoleReplica,
		primary:    primary,
		matched:    true,
		lastHeard:  time.Now(),
		writer:     newWriter(),
		receiveLag: g.options.ReceiveLag,
		applyLag:   g.options.ApplyLag,
	}
	m.serviceTime.Store(int64(g.options.ServiceTime))
	if o.ID == primary {
		m.role, m.primary = upstream.RolePrimary, ""
	}
	return m, nil
}

// status returns what the member reports about itself.
func (m *member) status() upstream.MemberStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.statusLocked()
}

func (m *member) statusLocked() upstream.MemberStatus {
	s := upstream.MemberStatus{
		Member:     m.id,
		Role:       m.role,
		Term:       m.term,
		FenceOwner: m.fenceOwner,
		Received:   m.log.end(),
		Applied:    m.applied,
		History:    m.log.history,
		Generation: m.generation,
		Owner:      m.owner,
	}
	if m.role != upstream.RolePrimary {
		s.PrimarySilence = time.Since(m.lastHeard)
	}
	return s
}

func (m *member) notifyLog() {
	m.changed.send()
	m.appended.send()
}

func (m *member) notifyControl() {
	m.notifyLog()
	m.control.send()
}

// claim accepts a home of the group and closes the connections of older generations. Once it has returned, no
// statement of an older generation starts or commits on this member.
func (m *member) claim(generation uint64, owner string, by *session) (upstream.MemberStatus, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if generation < m.generation || generation == m.generation && owner != m.owner {
		return upstream.MemberStatus{}, errorf(StateStale, "generation %d of %q is claimed", m.generation, m.owner)
	}
	m.generation, m.owner = generation, owner
	if by != nil {
		by.claimed = generation
	}
	for _, s := range m.sessions {
		if s.generationLocked() < generation && s.generationLocked() > 0 {
			s.terminateLocked()
		}
	}
	m.notifyControl()
	return m.statusLocked(), nil
}

// fence accepts a term and stops leading or following in a lower one.
func (m *member) fence(t position.Term, owner string) (upstream.MemberStatus, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkTermLocked(t, owner); err != nil {
		return upstream.MemberStatus{}, err
	}
	if t > m.term {
		m.acceptTermLocked(t, owner)
		m.role, m.primary = upstream.RoleFenced, ""
		m.notifyControl()
	}
	return m.statusLocked(), nil
}

// checkTermLocked refuses a lower term, and an equal one of another owner.
func (m *member) checkTermLocked(t position.Term, owner string) error {
	if t < m.term || t == m.term && owner != m.fenceOwner {
		return errorf(StateStale, "term %d of %q is accepted", m.term, m.fenceOwner)
	}
	return nil
}

func (m *member) acceptTermLocked(t position.Term, owner string) {
	m.term, m.fenceOwner = t, owner
	m.matched = false
	m.retireWriterLocked()
}

// retireWriterLocked rolls the open write transaction back and keeps it from committing.
func (m *member) retireWriterLocked() {
	m.writer.retire()
	m.writer = newWriter()
}

// promote makes the member primary of exactly the term it is fenced with. It applies the whole received log first.
func (m *member) promote(t position.Term, owner string) (upstream.MemberStatus, error) {
	if done, st, err := m.checkPromote(t, owner); done || err != nil {
		return st, err
	}
	m.applyAll()
	if err := m.startTerm(t, owner); err != nil {
		return upstream.MemberStatus{}, err
	}
	m.applyAll()
	return m.status(), nil
}

// startTerm makes a fenced member lead and writes the record of the term's start.
func (m *member) startTerm(t position.Term, owner string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkTermLocked(t, owner); err != nil {
		return err
	}
	if m.role != upstream.RoleFenced {
		return nil
	}
	m.role = upstream.RolePrimary
	m.retireWriterLocked()
	now := time.Now()
	m.log.append(&record{term: t, committed: now}, now)
	m.notifyControl()
	return nil
}

// checkPromote reports whether the member leads in the term already.
func (m *member) checkPromote(t position.Term, owner string) (done bool, st upstream.MemberStatus, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkTermLocked(t, owner); err != nil {
		return false, st, err
	}
	if t > m.term {
		return false, st, errorf(statePrerequisite, "term %d is not fenced here; the accepted term is %d", t, m.term)
	}
	if m.role == upstream.RoleReplica {
		return false, st, errorf(statePrerequisite, "the member follows %q in term %d", m.primary, t)
	}
	return m.role == upstream.RolePrimary, m.statusLocked(), nil
}

// follow makes the member a replica of primary in the term. Records that the primary does not have are dropped before
// it returns when the primary leads already and can be reached, and at the first contact otherwise.
func (m *member) follow(t position.Term, primary upstream.MemberID, owner string) (upstream.MemberStatus, error) {
	if err := m.startFollowing(t, primary, owner); err != nil {
		return upstream.MemberStatus{}, err
	}
	m.receive()
	return m.status(), nil
}

func (m *member) startFollowing(t position.Term, primary upstream.MemberID, owner string) error {
	if m.group.members[primary] == nil || primary == m.id {
		return errorf(stateInvalidParameter, "%q is no other member of the group", primary)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if t == m.term && m.role == upstream.RoleReplica && m.primary == primary {
		return nil
	}
	if err := m.checkTermLocked(t, owner); err != nil {
		return err
	}
	if t == m.term && m.role == upstream.RolePrimary {
		return errorf(statePrerequisite, "the member leads term %d", t)
	}
	if t > m.term {
		m.acceptTermLocked(t, owner)
	}
	m.role, m.primary = upstream.RoleReplica, primary
	m.matched, m.streamBroken = false, false
	m.lastHeard = time.Now()
	m.notifyControl()
	return nil
}

// mayRunLocked reports whether a session may run a statement now.
func (m *member) mayRunLocked(s *session) error {
	if !m.alive || s.terminated {
		return errTerminated()
	}
	if s.claim.Generation != 0 && s.claim.Generation != m.generation {
		return fatalf(StateStale, "generation %d is superseded by %d", s.claim.Generation, m.generation)
	}
	return nil
}

// mayCommitLocked reports whether a session may commit a transaction that wrote through w.
func (m *member) mayCommitLocked(s *session, w *writer) error {
	if err := m.mayRunLocked(s); err != nil {
		return err
	}
	if m.role != upstream.RolePrimary || m.writer != w {
		return m.readOnlyErrorLocked()
	}
	return nil
}

func (m *member) readOnlyErrorLocked() error {
	return errorf(stateReadOnly, "cannot write: member %q is %s in term %d", m.id, m.role, m.term)
}

// commit makes a transaction durable and visible and returns its position.
func (m *member) commit(s *session, w *writer, statements []sqldb.Statement) (position.Position, error) {
	if err := w.db.Commit(); err != nil {
		_ = w.db.Rollback()
		return position.Position{}, err
	}
	now := time.Now()
	m.mu.Lock()
	if err := m.mayCommitLocked(s, w); err != nil {
		if m.writer == w {
			// The working database holds a transaction that the log does not.
			m.retireWriterLocked()
		}
		m.mu.Unlock()
		return position.Position{}, err
	}
	p := m.log.append(&record{term: m.term, statements: statements, committed: now}, now)
	m.mu.Unlock()
	m.notifyLog()
	m.applyUpTo(p.LSN)
	return p, nil
}

// currentWriter returns the writer of the present term, or an error when the member does not lead.
func (m *member) currentWriter() (*writer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role != upstream.RolePrimary {
		return nil, m.readOnlyErrorLocked()
	}
	return m.writer, nil
}

// database returns the committed database.
func (m *member) database() *sqldb.Committed {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.db
}

func (m *member) setFault(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == nil {
		m.fault = errors.Wrapf(err, "member %s", m.id)
		m.group.logger.Error("cannot apply the log", "member", m.id, "error", err)
	}
}
