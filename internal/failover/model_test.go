package failover

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
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

// fakeMember follows the rules of design sections 5, 6 and 12. Its status, follows and log are durable.
type fakeMember struct {
	upstream.MemberStatus
	w              *model
	follows        upstream.MemberID
	log            []entry
	alive, matched bool
	heardAt        time.Duration
	// applying is how long the member still applies its log before it can lead.
	applying time.Duration
	// checked is the length at which the log was last compared with the committed prefix.
	checked int
}

func (m *fakeMember) status() *upstream.MemberStatus {
	s := m.MemberStatus
	s.Received = position.LSN(len(m.log))
	s.Applied = s.Received - position.LSN(m.applying/(100*ms))
	for i := 0; i < len(m.log); {
		t := m.log[i].term
		s.History = append(s.History, position.TermStart{Term: t, Start: position.LSN(i)})
		i += sort.Search(len(m.log)-i, func(k int) bool { return m.log[i+k].term > t })
	}
	if m.Role != upstream.RolePrimary {
		s.PrimarySilence = m.w.now - m.heardAt
	}
	return &s
}

// Errors of the model's members.
var (
	errStale   = &upstream.MemberError{Kind: upstream.ErrStale, Err: errors.New("a higher one is accepted")}
	errRefused = &upstream.MemberError{Kind: upstream.ErrRefused, Err: errors.New("connection refused")}
	errLost    = &upstream.MemberError{Kind: upstream.ErrUnreachable, Err: errors.New("no answer")}
)

func (m *fakeMember) accept(t position.Term, owner instance.ID, role upstream.Role, follows upstream.MemberID) {
	m.Term, m.FenceOwner, m.Role, m.follows, m.matched = t, string(owner), role, follows, false
}

func (m *fakeMember) apply(a Action) *upstream.MemberError {
	stale := func(t position.Term, owner instance.ID) bool {
		return t < m.Term || t == m.Term && string(owner) != m.FenceOwner
	}
	switch a := a.(type) {
	case Claim:
		if a.Claim.Generation < m.Generation || a.Claim.Generation == m.Generation && string(a.Claim.Owner) != m.Owner {
			return errStale
		}
		m.Generation, m.Owner = a.Claim.Generation, string(a.Claim.Owner)
	case Fence:
		if stale(a.Term, a.Owner) {
			return errStale
		}
		if a.Term > m.Term {
			m.accept(a.Term, a.Owner, upstream.RoleFenced, "")
		}
	case Promote:
		if stale(a.Term, a.Owner) {
			return errStale
		}
		if a.Term > m.Term || m.Role == upstream.RoleReplica {
			return errLost // another error than a stale term
		}
		if m.applying > 0 {
			m.w.after(min(m.applying, 100*ms), func() { m.applying -= min(m.applying, 100*ms) })
			return errLost
		}
		m.promote()
	case Follow:
		follows := a.Term == m.Term && m.Role == upstream.RoleReplica && m.follows == a.Primary
		if !follows && stale(a.Term, a.Owner) {
			return errStale
		}
		if !follows && m.Role != upstream.RolePrimary {
			m.accept(a.Term, a.Owner, upstream.RoleReplica, a.Primary)
		}
	}
	return nil
}

// promote makes a fenced member lead and checks that it may.
func (m *fakeMember) promote() {
	if m.Role == upstream.RolePrimary {
		return
	}
	if other, ok := m.w.promoted[m.Term]; ok {
		m.w.violate("term %d promoted %s and %s", m.Term, other, m.Member)
	}
	m.w.promoted[m.Term] = m.Member
	n, _ := slices.BinarySearch(m.w.committedIn, m.Term)
	if c := m.w.committed[:n]; len(m.log) < n || !slices.Equal(m.log[:n], c) {
		m.w.violate("%s was promoted in term %d without the records committed before", m.Member, m.Term)
	}
	m.Role = upstream.RolePrimary
	m.append()
}

func (m *fakeMember) append() {
	m.w.ids++
	m.log = append(m.log, entry{m.Term, m.w.ids})
}

// replicate takes over the primary's log.
func (m *fakeMember) replicate() {
	if !m.alive || m.Role != upstream.RoleReplica {
		return
	}
	p := m.w.member(m.follows)
	switch {
	case m.w.isCut(string(m.Member), string(p.Member)):
		return
	case !p.alive:
		m.heardAt = min(m.heardAt, m.w.now-400*ms)
		return
	case p.Role != upstream.RolePrimary || p.Term != m.Term:
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

// callFault says what becomes of one call; the functions run when the call is sent and after its effect.
type callFault struct {
	loseRequest, loseAnswer bool
	late, again             time.Duration
	sent, effect            func()
}

type delivery struct {
	at time.Duration
	f  func()
}

type model struct {
	random     *rand.Rand
	now        time.Duration
	members    []*fakeMember
	promoters  []*promoter
	deliveries []delivery
	cut        map[[2]string]bool
	callFault  func(p *promoter, kind string, m *fakeMember) callFault
	promoted   map[position.Term]upstream.MemberID
	// committed is the longest log prefix that a majority had received in the term of its last record, and committedIn
	// the term in which this was first so, by record.
	committed   []entry
	committedIn []position.Term
	ids, acked  int
	violations  []string
	// refused is the error of the operator's order, if any.
	refused error
}

func newModel(seed uint64, promoters, members int) *model {
	w := &model{random: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]string]bool{}, promoted: map[position.Term]upstream.MemberID{}}
	w.callFault = func(*promoter, string, *fakeMember) callFault { return callFault{} }
	for _, id := range []upstream.MemberID{"a", "b", "c", "d", "e"}[:members] {
		m := &fakeMember{w: w, alive: true, follows: "a", log: []entry{{1, 0}}}
		m.MemberStatus = upstream.MemberStatus{Member: id, Term: 1, Role: upstream.RoleReplica}
		w.members = append(w.members, m)
	}
	w.members[0].Role = upstream.RolePrimary
	for i := range promoters {
		p := &promoter{w: w, name: fmt.Sprint("p", i)}
		p.start()
		w.promoters = append(w.promoters, p)
	}
	return w
}

func (w *model) isCut(a, b string) bool { return w.cut[[2]string{a, b}] || w.cut[[2]string{b, a}] }

func (w *model) member(id upstream.MemberID) *fakeMember {
	return w.members[slices.IndexFunc(w.members, func(m *fakeMember) bool { return m.Member == id })]
}

func (w *model) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("at %v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *model) after(d time.Duration, f func()) {
	w.deliveries = append(w.deliveries, delivery{w.now + d, f})
}

// run advances the model.
func (w *model) run(until time.Duration) {
	for w.now < until {
		w.now += step
		due := slices.Clone(w.deliveries)
		w.deliveries = slices.DeleteFunc(w.deliveries, func(d delivery) bool { return d.at <= w.now })
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
func (w *model) commit() {
	for _, m := range w.members {
		t, n := m.log[len(m.log)-1].term, len(m.log)
		have := 0
		for _, o := range w.members {
			if len(o.log) >= n && o.log[len(o.log)-1].term == t {
				have++
			}
		}
		if have <= len(w.members)/2 || n == m.checked {
			continue
		}
		m.checked = n
		c := w.committed
		if k := min(len(c), n); !slices.Equal(c[:k], m.log[:k]) {
			w.violate("committed records changed at %s", m.Member)
		}
		for i := len(c); i < n; i++ {
			w.committed = append(w.committed, m.log[i])
			w.committedIn = append(w.committedIn, t)
		}
	}
}

// promoter runs a machine as a home does.
type promoter struct {
	w               *model
	name            string
	machine         *Machine
	tracker         *quorum.Tracker
	incarnation     int
	wants, idle     bool
	claimAt         time.Duration
	pausedUntil     time.Duration
	events          []func()
	claim           upstream.Claim
	primary         upstream.MemberID
	held, drain     bool
	streams         map[upstream.MemberID]bool
	waiting         map[position.Position]entry
	records         []Explanation
	failed          []Cause
	maxHold, heldAt time.Duration
	// undrained keeps the home from reporting drained writes.
	undrained bool
}

// start starts the process without any memory of its former incarnation.
func (p *promoter) start() {
	var ids []upstream.MemberID
	c := Config{Group: "g", Owner: instance.ID(p.name)}
	for _, m := range p.w.members {
		ids = append(ids, m.Member)
		c.Members = append(c.Members, Member{ID: m.Member})
	}
	p.incarnation++
	p.events = nil
	p.end()
	p.streams = map[upstream.MemberID]bool{}
	p.waiting = map[position.Position]entry{}
	p.tracker = quorum.New(ids)
	p.machine = New(c, rand.NewPCG(p.w.random.Uint64(), 2))
}

func (p *promoter) at() time.Time { return epoch.Add(p.w.now) }

// post delivers an event to this incarnation of the process.
func (p *promoter) post(f func()) {
	incarnation := p.incarnation
	p.events = append(p.events, func() {
		if p.incarnation == incarnation {
			f()
		}
	})
}

func (p *promoter) run() {
	w := p.w
	for _, m := range w.members {
		if w.isCut(p.name, string(m.Member)) || w.now%(50*ms) != 0 {
			continue
		}
		if m.alive {
			s := m.status()
			p.streams[m.Member] = true
			p.post(func() { p.observe(s); p.do(p.machine.StatusReceived(s, p.at())) })
		} else if p.streams[m.Member] {
			p.streams[m.Member] = false
			p.post(func() { p.do(p.machine.StreamBroken(m.Member, p.at())) })
		}
	}
	if w.now < p.pausedUntil {
		return
	}
	for len(p.events) > 0 && w.now >= p.pausedUntil {
		f := p.events[0]
		p.events = p.events[1:]
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
		if !p.tracker.MajorityReceived(pos) {
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
	if p.held && p.drain && !p.undrained {
		p.drain = false
		p.do(p.machine.WritesDrained(p.at()))
	}
	if p.idle || p.held || p.primary == "" || p.w.now%(20*ms) != 0 {
		return
	}
	m := p.w.member(p.primary)
	if !m.alive || p.w.isCut(p.name, string(p.primary)) || m.Role != upstream.RolePrimary || m.Generation != p.claim.Generation {
		return
	}
	m.append()
	p.waiting[position.Position{Term: m.Term, LSN: position.LSN(len(m.log))}] = m.log[len(m.log)-1]
}

func (p *promoter) do(actions []Action) {
	for _, a := range slices.Clone(actions) {
		switch a := a.(type) {
		case Probe:
			p.call("probe", a.Member, a.Timeout, a, func(s *upstream.MemberStatus, e *upstream.MemberError) []Action {
				return p.machine.ProbeDone(a.Member, s, e, p.at())
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

// call carries an action to a member and its result back, with the callFault that the test chose for it.
func (p *promoter) call(kind string, id upstream.MemberID, timeout time.Duration, a Action, done func(*upstream.MemberStatus, *upstream.MemberError) []Action) {
	w, m := p.w, p.w.member(id)
	f := w.callFault(p, kind, m)
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
	incarnation := p.incarnation
	gone := func() bool { return w.isCut(p.name, string(id)) || p.incarnation != incarnation }
	w.after(timeout, func() {
		if p.incarnation == incarnation {
			answer(nil, errLost)
		}
	})
	if f.loseRequest {
		return
	}
	arrive := func() {
		if w.isCut(p.name, string(id)) || p.incarnation != incarnation && f.late == 0 && f.again == 0 {
			return
		}
		err, s := errRefused, (*upstream.MemberStatus)(nil)
		if m.alive {
			err = m.apply(a)
			s = m.status()
			if f.effect != nil {
				f.effect()
			}
		}
		if err != nil {
			s = nil
		}
		if !f.loseAnswer && !gone() {
			w.after(time.Duration(w.random.IntN(3))*ms, func() {
				if !gone() {
					answer(s, err)
				}
			})
		}
	}
	w.after(f.late+time.Duration(w.random.IntN(3))*ms, arrive)
	if f.again > 0 {
		w.after(f.again, arrive)
	}
}
