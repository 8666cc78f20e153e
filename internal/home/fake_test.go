package home

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// fakeGroup is an in-memory replicated group. Replicas receive a commit 1 ms after the primary wrote it.
type fakeGroup struct {
	mu      sync.Mutex
	members map[upstream.MemberID]*fakeMember
	// executed lists the statements that all members ran.
	executed []fakeStatement
	// dials counts all opened connections, open those currently open, and maxOpen the maximum of open.
	dials, open, maxOpen int
}

type fakeStatement struct {
	member upstream.MemberID
	conn   int
	tag    string
	text   string
}

type fakeMember struct {
	g             *fakeGroup
	id            upstream.MemberID
	role          upstream.Role
	term          position.Term
	fenced        string
	follows       upstream.MemberID
	log           position.LSN
	applied       position.LSN
	history       position.History
	claim         upstream.Claim
	primarySeenAt time.Time
	// A member that is down refuses connections. One that is partitioned does not respond at all.
	down, partitioned bool
	// lag is the delay between receiving and applying a commit.
	lag   time.Duration
	conns map[*fakeConn]bool
	// rows is the number of 1 KiB rows that a SELECT returns; 0 means one short row.
	rows int
	// fault, if set, chooses the fault to inject into a statement.
	fault func(text string) fakeFault
}

// fakeFault is a fault injected into a statement.
type fakeFault uint8

const (
	faultNone fakeFault = iota
	// faultBefore breaks the connection before the statement runs, faultAfter after it ran.
	faultBefore
	faultAfter
	// faultMidway breaks the connection after the first 64 KiB of the response.
	faultMidway
	// faultSilent runs the statement but never responds.
	faultSilent
	// faultRefused answers with an error; the statement does not run.
	faultRefused
)

// after runs f after d. It does not use time.AfterFunc, because many of its timers in synctest bubbles crash the race
// detector with SIGSEGV (go 1.26.8, in two of two runs with -race -count=15).
func after(d time.Duration, f func()) {
	go func() {
		time.Sleep(d)
		f()
	}()
}

var errBroken = errors.New("connection reset")

func newFakeGroup(ids ...upstream.MemberID) *fakeGroup {
	g := &fakeGroup{members: make(map[upstream.MemberID]*fakeMember)}
	for _, id := range ids {
		g.members[id] = &fakeMember{g: g, id: id, role: upstream.RoleReplica, term: 1, follows: ids[0],
			history: position.History{{Term: 1}}, conns: make(map[*fakeConn]bool), primarySeenAt: time.Now()}
	}
	g.members[ids[0]].role = upstream.RolePrimary
	return g
}

// update runs f with the group locked.
func (g *fakeGroup) update(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// count returns how often a statement with the text ran on any member.
func (g *fakeGroup) count(text string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, s := range g.executed {
		if s.text == text {
			n++
		}
	}
	return n
}

// crash breaks the member's connections and makes it refuse new ones.
func (m *fakeMember) crash() {
	m.down = true
	for c := range m.conns {
		c.breakLocked()
	}
}

func (m *fakeMember) status() upstream.MemberStatus {
	s := upstream.MemberStatus{Member: m.id, Role: m.role, Term: m.term, FenceOwner: m.fenced, Received: m.log,
		Applied: m.applied, History: append(position.History(nil), m.history...), Generation: m.claim.Generation, Owner: string(m.claim.Owner)}
	if m.role == upstream.RolePrimary {
		return s
	}
	p := m.g.members[m.follows]
	if p != nil && !p.down && !p.partitioned && !m.partitioned && p.role == upstream.RolePrimary {
		m.primarySeenAt = time.Now()
	}
	s.PrimarySilence = time.Since(m.primarySeenAt)
	if p != nil && p.down {
		s.PrimarySilence = time.Hour
	}
	return s
}

// commit appends to the log and replicates the entry.
func (m *fakeMember) commit() position.Position {
	m.log++
	m.applied = m.log
	lsn, term := m.log, m.term
	for _, r := range m.g.members {
		if r.follows != m.id || r.role != upstream.RoleReplica {
			continue
		}
		after(time.Millisecond, func() { r.receive(m, lsn, term) })
	}
	return position.Position{Term: term, LSN: lsn}
}

func (m *fakeMember) receive(from *fakeMember, lsn position.LSN, term position.Term) {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	if m.partitioned || from.partitioned || m.down || m.term != term || m.role != upstream.RoleReplica || lsn <= m.log {
		return
	}
	m.log = lsn
	after(m.lag, func() {
		m.g.update(func() { m.applied = max(m.applied, min(lsn, m.log)) })
	})
}

// fakePort is one home's view of the group.
type fakePort struct {
	g *fakeGroup
	// paused, if not nil, blocks all I/O of the home until it is closed, as if the process were stopped.
	mu     sync.Mutex
	paused chan struct{}
	// unreachable holds the members that this home cannot reach.
	unreachable map[upstream.MemberID]bool
}

func (p *fakePort) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = make(chan struct{})
}

func (p *fakePort) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.paused)
	p.paused = nil
}

func (p *fakePort) waitIfPaused() {
	p.mu.Lock()
	wait := p.paused
	p.mu.Unlock()
	if wait != nil {
		<-wait
	}
}

// call runs f on the member after a short delay, or fails according to the member's state.
func (p *fakePort) call(ctx context.Context, id upstream.MemberID, f func(*fakeMember) bool) (upstream.MemberStatus, error) {
	fail := func(k upstream.ErrorKind) error {
		return &upstream.MemberError{Kind: k, Step: "fake", Member: id, Err: errBroken}
	}
	p.waitIfPaused()
	time.Sleep(200 * time.Microsecond)
	p.g.mu.Lock()
	m := p.g.members[id]
	if m.partitioned || p.unreachable[id] {
		p.g.mu.Unlock()
		<-ctx.Done()
		return upstream.MemberStatus{}, fail(upstream.ErrUnreachable)
	}
	defer p.g.mu.Unlock()
	if m.down {
		return upstream.MemberStatus{}, fail(upstream.ErrRefused)
	}
	if !f(m) {
		return upstream.MemberStatus{}, fail(upstream.ErrStale)
	}
	return m.status(), nil
}

func (p *fakePort) Watch(ctx context.Context, spec upstream.Member, f func(upstream.MemberStatus)) error {
	m := p.g.members[spec.ID]
	var last upstream.MemberStatus
	var sent time.Time
	for ctx.Err() == nil {
		p.waitIfPaused()
		p.g.mu.Lock()
		silent, down := m.partitioned || p.unreachable[m.id], m.down
		s := m.status()
		p.g.mu.Unlock()
		if down {
			return &upstream.MemberError{Kind: upstream.ErrRefused, Step: "watch", Member: m.id, Err: errBroken}
		}
		changed := s.Received != last.Received || s.Applied != last.Applied || s.Role != last.Role || s.Term != last.Term || s.Generation != last.Generation
		if !silent && (changed || time.Since(sent) >= 100*time.Millisecond) {
			last, sent = s, time.Now()
			f(s)
		}
		time.Sleep(time.Millisecond)
	}
	return ctx.Err()
}

func (p *fakePort) Status(ctx context.Context, m upstream.Member) (upstream.MemberStatus, error) {
	return p.call(ctx, m.ID, func(*fakeMember) bool { return true })
}

func (p *fakePort) Claim(ctx context.Context, m upstream.Member, c upstream.Claim) (upstream.MemberStatus, error) {
	return p.call(ctx, m.ID, func(m *fakeMember) bool {
		if c.Generation < m.claim.Generation || c.Generation == m.claim.Generation && c.Owner != m.claim.Owner {
			return false
		}
		m.claim = c
		for conn := range m.conns {
			if conn.generation < c.Generation {
				conn.breakLocked()
			}
		}
		return true
	})
}

func (p *fakePort) Fence(ctx context.Context, m upstream.Member, t position.Term, owner instance.ID) (upstream.MemberStatus, error) {
	return p.call(ctx, m.ID, func(m *fakeMember) bool {
		if t < m.term || t == m.term && m.fenced != string(owner) {
			return false
		}
		if t > m.term {
			m.term, m.fenced, m.role = t, string(owner), upstream.RoleFenced
			for conn := range m.conns {
				conn.breakLocked()
			}
		}
		return true
	})
}

func (p *fakePort) Promote(ctx context.Context, m upstream.Member, t position.Term, owner instance.ID) (upstream.MemberStatus, error) {
	return p.call(ctx, m.ID, func(m *fakeMember) bool {
		if t != m.term || m.fenced != string(owner) {
			return false
		}
		if m.role != upstream.RolePrimary {
			m.role = upstream.RolePrimary
			m.history = append(m.history, position.TermStart{Term: t, Start: m.log})
			m.log++
			m.applied = m.log
		}
		return true
	})
}

func (p *fakePort) Follow(ctx context.Context, m upstream.Member, t position.Term, owner instance.ID, primary upstream.Member) (upstream.MemberStatus, error) {
	return p.call(ctx, m.ID, func(m *fakeMember) bool {
		lead := p.g.members[primary.ID]
		if t < m.term || lead.role != upstream.RolePrimary || lead.term != t {
			return false
		}
		m.term, m.role, m.follows = t, upstream.RoleReplica, primary.ID
		m.history = append(position.History(nil), lead.history...)
		m.log, m.applied, m.primarySeenAt = lead.log, lead.log, time.Now()
		return true
	})
}

func (p *fakePort) Dial(ctx context.Context, spec upstream.Member, c upstream.Claim) (upstream.Conn, error) {
	time.Sleep(10 * time.Millisecond)
	var conn *fakeConn
	_, err := p.call(ctx, spec.ID, func(m *fakeMember) bool {
		if m.claim != c {
			return false
		}
		m.g.dials++
		m.g.open++
		m.g.maxOpen = max(m.g.maxOpen, m.g.open)
		conn = &fakeConn{port: p, m: m, id: m.g.dials, generation: c.Generation, tx: 'I', wake: make(chan struct{}, 1), broken: make(chan struct{})}
		m.conns[conn] = true
		return true
	})
	if err != nil {
		return nil, err
	}
	return conn, nil
}
