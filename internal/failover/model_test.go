package failover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/quorum"
	"github.com/celerystep/celerystep/internal/upstream"
)

const ms = time.Millisecond

// step is the resolution of the model.
const step = 5 * ms

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// entry is a log record; id tells records of equal positions apart.
type entry struct {
	term position.Term
	id   int
}

// fakeMember follows the rules of design sections 5, 6 and 12. All its fields but alive, matched and heardAt are durable.
type fakeMember struct {
	w          *world
	id         upstream.MemberID
	alive      bool
	term       position.Term
	owner      string
	role       upstream.Role
	follows    upstream.MemberID
	matched    bool
	log        []entry
	generation uint64
	claimant   string
	heardAt    time.Duration
}

func (m *fakeMember) status() *upstream.MemberStatus {
	s := &upstream.MemberStatus{Member: m.id, Role: m.role, Term: m.term, FenceOwner: m.owner, Received: position.LSN(len(m.log)),
		Applied: position.LSN(len(m.log)), Generation: m.generation, Owner: m.claimant}
	for i, e := range m.log {
		if e.term > s.History.LastTerm() {
			s.History = append(s.History, position.TermStart{Term: e.term, Start: position.LSN(i)})
		}
	}
	if m.role != upstream.RolePrimary {
		s.PrimarySilence = m.w.now - m.heardAt
	}
	return s
}

func (m *fakeMember) err(kind upstream.ErrorKind, text string) *upstream.MemberError {
	return &upstream.MemberError{Kind: kind, Member: m.id, Step: "model", Err: fmt.Errorf("%s", text)}
}

func (m *fakeMember) checkTerm(t position.Term, owner string) *upstream.MemberError {
	if t < m.term || t == m.term && owner != m.owner {
		return m.err(upstream.ErrStale, "a higher term or another owner is accepted")
	}
	return nil
}

func (m *fakeMember) accept(t position.Term, owner string, role upstream.Role, follows upstream.MemberID) {
	m.term, m.owner, m.role, m.follows, m.matched = t, owner, role, follows, false
}

func (m *fakeMember) apply(a Action) *upstream.MemberError {
	switch a := a.(type) {
	case Claim:
		if a.Claim.Generation < m.generation || a.Claim.Generation == m.generation && string(a.Claim.Owner) != m.claimant {
			return m.err(upstream.ErrStale, "a higher generation is claimed")
		}
		m.generation, m.claimant = a.Claim.Generation, string(a.Claim.Owner)
	case Fence:
		if err := m.checkTerm(a.Term, string(a.Owner)); err != nil {
			return err
		}
		if a.Term > m.term {
			m.accept(a.Term, string(a.Owner), upstream.RoleFenced, "")
		}
	case Promote:
		return m.promote(a)
	case Follow:
		if a.Term == m.term && m.role == upstream.RoleReplica && m.follows == a.Primary {
			return nil
		}
		if err := m.checkTerm(a.Term, string(a.Owner)); err != nil {
			return err
		}
		if a.Term > m.term || m.role == upstream.RoleFenced {
			m.accept(a.Term, string(a.Owner), upstream.RoleReplica, a.Primary)
		}
	}
	return nil
}

func (m *fakeMember) promote(a Promote) *upstream.MemberError {
	if err := m.checkTerm(a.Term, string(a.Owner)); err != nil {
		return err
	}
	if a.Term > m.term || m.role == upstream.RoleReplica {
		return m.err(upstream.ErrUnreachable, "not fenced in this term")
	}
	if m.role == upstream.RolePrimary {
		return nil
	}
	if other, ok := m.w.promoted[a.Term]; ok {
		m.w.violate("term %d promoted %s and %s", a.Term, other, m.id)
	}
	m.w.promoted[a.Term] = m.id
	c := m.w.committed[:m.w.committedBefore(a.Term)]
	if len(m.log) < len(c) || !slices.Equal(m.log[:len(c)], c) {
		m.w.violate("%s was promoted in term %d without committed records", m.id, a.Term)
	}
	m.role = upstream.RolePrimary
	m.append()
	return nil
}

func (m *fakeMember) append() {
	m.w.ids++
	m.log = append(m.log, entry{m.term, m.w.ids})
}

// replicate takes over the primary's log.
func (m *fakeMember) replicate() {
	if !m.alive || m.role != upstream.RoleReplica {
		return
	}
	p := m.w.member(m.follows)
	if m.w.cut[link(string(m.id), string(p.id))] {
		return
	}
	if !p.alive {
		m.heardAt = min(m.heardAt, m.w.now-400*ms)
		return
	}
	if p.role != upstream.RolePrimary || p.term != m.term {
		return
	}
	m.heardAt = m.w.now
	if !m.matched {
		n := 0
		for n < len(m.log) && n < len(p.log) && m.log[n] == p.log[n] {
			n++
		}
		m.log, m.matched = slices.Clone(m.log[:n]), true
	}
	if m.w.random.IntN(4) > 0 {
		m.log = append(m.log, p.log[len(m.log):]...)
	}
}

// fate says what becomes of one call; the functions run when the call is sent and after its effect.
type fate struct {
	loseRequest, loseAnswer bool
	late, again             time.Duration
	sent, effect            func()
}

type delivery struct {
	at time.Duration
	f  func()
}

type world struct {
	random    *rand.Rand
	now       time.Duration
	members   []*fakeMember
	promoters []*promoter
	mail      []delivery
	cut       map[[2]string]bool
	fate      func(p *promoter, kind string, m *fakeMember) fate
	promoted  map[position.Term]upstream.MemberID
	// committed is the longest log prefix that a majority had received in the term of its last record, and committedIn
	// the term in which this was first so, by record.
	committed   []entry
	committedIn []position.Term
	ids, acked  int
	violations  []string
	// refused is the error of the operator's order, if any.
	refused error
}

func newWorld(seed uint64, promoters int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]string]bool{}, promoted: map[position.Term]upstream.MemberID{}}
	w.fate = func(*promoter, string, *fakeMember) fate { return fate{} }
	for _, id := range []upstream.MemberID{"a", "b", "c"} {
		m := &fakeMember{w: w, id: id, alive: true, term: 1, role: upstream.RoleReplica, follows: "a", log: []entry{{1, 0}}}
		w.members = append(w.members, m)
	}
	w.members[0].role = upstream.RolePrimary
	for i := range promoters {
		p := &promoter{w: w, name: fmt.Sprint("p", i)}
		p.boot()
		w.promoters = append(w.promoters, p)
	}
	return w
}

func link(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (w *world) member(id upstream.MemberID) *fakeMember {
	return w.members[slices.IndexFunc(w.members, func(m *fakeMember) bool { return m.id == id })]
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("at %v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) after(d time.Duration, f func()) { w.mail = append(w.mail, delivery{w.now + d, f}) }

// run advances the model.
func (w *world) run(until time.Duration) {
	for w.now < until {
		w.now += step
		due := slices.Clone(w.mail)
		w.mail = slices.DeleteFunc(w.mail, func(d delivery) bool { return d.at <= w.now })
		for _, d := range due {
			if d.at <= w.now {
				d.f()
			}
		}
		for _, m := range w.members {
			m.replicate()
		}
		w.commit()
		for _, p := range w.promoters {
			p.run()
		}
	}
}

// commit extends the committed prefix and checks that it never changes.
func (w *world) commit() {
	for _, m := range w.members {
		t, n := m.log[len(m.log)-1].term, len(m.log)
		have := 0
		for _, o := range w.members {
			if len(o.log) >= n && o.log[len(o.log)-1].term == t {
				have++
			}
		}
		if have <= len(w.members)/2 {
			continue
		}
		c := w.committed
		if k := min(len(c), n); !slices.Equal(c[:k], m.log[:k]) {
			w.violate("committed records changed at %s", m.id)
		}
		for i := len(c); i < n; i++ {
			w.committed = append(w.committed, m.log[i])
			w.committedIn = append(w.committedIn, t)
		}
	}
}

// committedBefore returns the length of the prefix that was committed in terms before t, which a primary of t must have.
func (w *world) committedBefore(t position.Term) int {
	n, _ := slices.BinarySearch(w.committedIn, t)
	return n
}

// promoter runs a machine as a home does.
type promoter struct {
	w               *world
	name            string
	machine         *Machine
	tracker         *quorum.Tracker
	life            int
	wants, idle     bool
	claimAt         time.Duration
	pausedUntil     time.Duration
	inbox           []func()
	claim           upstream.Claim
	primary         upstream.MemberID
	held, drain     bool
	streams         map[upstream.MemberID]bool
	waiting         map[position.Position]entry
	records         []Explanation
	failed          []Cause
	maxHold, heldAt time.Duration
}

// boot starts the process without any memory of its former life.
func (p *promoter) boot() {
	ids := []upstream.MemberID{"a", "b", "c"}
	p.life++
	p.inbox = nil
	p.end()
	p.streams = map[upstream.MemberID]bool{}
	p.waiting = map[position.Position]entry{}
	p.tracker = quorum.New(ids)
	c := Config{Group: "g", Owner: instance.ID(p.name)}
	for _, id := range ids {
		c.Members = append(c.Members, Member{ID: id})
	}
	p.machine = New(c, rand.NewPCG(p.w.random.Uint64(), 2))
}

func (p *promoter) at() time.Time { return epoch.Add(p.w.now) }

// post delivers an event to this life of the process.
func (p *promoter) post(f func()) {
	life := p.life
	p.inbox = append(p.inbox, func() {
		if p.life == life {
			f()
		}
	})
}

func (p *promoter) run() {
	w := p.w
	for _, m := range w.members {
		if w.cut[link(p.name, string(m.id))] || w.now%(50*ms) != 0 {
			continue
		}
		if m.alive {
			s := m.status()
			p.streams[m.id] = true
			p.post(func() { p.observe(s); p.do(p.machine.Status(s, p.at())) })
		} else if p.streams[m.id] {
			p.streams[m.id] = false
			p.post(func() { p.do(p.machine.StreamBroken(m.id, p.at())) })
		}
	}
	if w.now < p.pausedUntil {
		return
	}
	for len(p.inbox) > 0 && w.now >= p.pausedUntil {
		f := p.inbox[0]
		p.inbox = p.inbox[1:]
		f()
	}
	if p.wants && p.idle && w.now >= p.claimAt {
		p.idle = false
		p.do(p.machine.Start(p.at()))
	}
	if next, ok := p.machine.NextTick(); ok && !p.at().Before(next) {
		p.do(p.machine.Tick(p.at()))
	}
	p.write()
}

// observe lets the tracker see a status and settles the commits that it acknowledges.
func (p *promoter) observe(s *upstream.MemberStatus) {
	p.tracker.Observe(s, p.at())
	for pos, e := range p.waiting {
		if !p.tracker.Received(pos) {
			continue
		}
		delete(p.waiting, pos)
		p.w.acked++
		if c := p.w.committed; len(c) < int(pos.LSN) || c[pos.LSN-1] != e {
			p.w.violate("%s acknowledged %v, which no majority has", p.name, pos)
		}
	}
}

// write runs one small transaction on the known primary and reports drained writes.
func (p *promoter) write() {
	if p.held && p.drain {
		p.drain = false
		p.do(p.machine.WritesDrained(p.at()))
	}
	if p.idle || p.held || p.primary == "" || p.w.now%(20*ms) != 0 {
		return
	}
	m := p.w.member(p.primary)
	if !m.alive || p.w.cut[link(p.name, string(m.id))] || m.role != upstream.RolePrimary || m.generation != p.claim.Generation {
		return
	}
	m.append()
	p.waiting[position.Position{Term: m.term, LSN: position.LSN(len(m.log))}] = m.log[len(m.log)-1]
}

func (p *promoter) do(actions []Action) {
	for _, a := range slices.Clone(actions) {
		switch a := a.(type) {
		case Probe:
			p.call("probe", a.Member, a.Timeout, a, func(s *upstream.MemberStatus, err *upstream.MemberError) []Action {
				return p.machine.ProbeDone(a.Member, s, err, p.at())
			})
		case Claim:
			p.operate("claim", a.Op, a.Member, a.Timeout, a)
		case Fence:
			p.operate("fence", a.Op, a.Member, a.Timeout, a)
		case Promote:
			p.operate("promote", a.Op, a.Member, a.Timeout, a)
		case Follow:
			p.operate("follow", a.Op, a.Member, a.Timeout, a)
		case Claimed:
			p.claim = a.Claim
		case Announce:
			p.primary = a.Primary
		case ReleaseHome:
			p.end()
			p.claimAt = p.w.now + 500*ms + time.Duration(p.w.random.IntN(2000))*ms
		case HoldWrites:
			if !p.held {
				p.heldAt = p.w.now
			}
			p.held, p.drain = true, a.Drain
		case ReleaseWrites:
			p.maxHold = max(p.maxHold, p.w.now-p.heldAt)
			p.held = false
		case SwitchoverFailed:
			p.failed = append(p.failed, a.Cause)
		case Record:
			p.records = append(p.records, a.Explanation)
		}
	}
}

// end drops what belongs to the home role, and stop ends the role on request.
func (p *promoter) end() { p.idle, p.held, p.primary = true, false, "" }

func (p *promoter) stop() {
	p.do(p.machine.Stop(p.at()))
	p.end()
}

func (p *promoter) operate(kind string, op OperationID, id upstream.MemberID, timeout time.Duration, a Action) {
	p.call(kind, id, timeout, a, func(s *upstream.MemberStatus, err *upstream.MemberError) []Action {
		return p.machine.OperationDone(op, s, err, p.at())
	})
}

// call carries an action to a member and its result back, with the fate that the test chose for it.
func (p *promoter) call(kind string, id upstream.MemberID, timeout time.Duration, a Action, done func(*upstream.MemberStatus, *upstream.MemberError) []Action) {
	w, m := p.w, p.w.member(id)
	f := w.fate(p, kind, m)
	if f.sent != nil {
		f.sent()
	}
	answered := false
	answer := func(s *upstream.MemberStatus, err *upstream.MemberError) {
		if !answered {
			answered = true
			p.post(func() { p.do(done(s, err)) })
		}
	}
	life := p.life
	w.after(timeout, func() {
		if p.life == life {
			answer(nil, m.err(upstream.ErrUnreachable, "timeout"))
		}
	})
	if f.loseRequest {
		return
	}
	arrive := func() {
		if w.cut[link(p.name, string(id))] || p.life != life && f.late == 0 && f.again == 0 {
			return
		}
		if !m.alive {
			answer(nil, m.err(upstream.ErrRefused, "connection refused"))
			return
		}
		err := m.apply(a)
		s := m.status()
		if f.effect != nil {
			f.effect()
		}
		if f.loseAnswer || p.life != life {
			return
		}
		w.after(time.Duration(w.random.IntN(3))*ms, func() {
			switch {
			case w.cut[link(p.name, string(id))] || p.life != life:
			case err != nil:
				answer(nil, err)
			default:
				answer(s, nil)
			}
		})
	}
	w.after(f.late+time.Duration(w.random.IntN(3))*ms, arrive)
	if f.again > 0 {
		w.after(f.again, arrive)
	}
}
