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

// step is the time resolution of the simulation.
const step = 5 * ms

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// entry is a log record; id distinguishes records at the same position.
type entry struct {
	term position.Term
	id   int
}

// fakeMember implements the member rules of design sections 5, 6 and 12. Its status, follows and log are durable.
type fakeMember struct {
	upstream.MemberStatus
	sim            *simulation
	follows        upstream.MemberID
	log            []entry
	alive, matched bool
	lastContact    time.Duration
	// applyRemaining is how long the member must still apply its log before it can become primary.
	applyRemaining time.Duration
	// checked is the log length at the last comparison with the committed prefix.
	checked int
}

func (m *fakeMember) status() *upstream.MemberStatus {
	s := m.MemberStatus
	s.Received = position.LSN(len(m.log))
	s.Applied = s.Received - position.LSN(m.applyRemaining/(100*ms))
	for i := 0; i < len(m.log); {
		t := m.log[i].term
		s.History = append(s.History, position.TermStart{Term: t, Start: position.LSN(i)})
		i += sort.Search(len(m.log)-i, func(k int) bool { return m.log[i+k].term > t })
	}
	if m.Role != upstream.RolePrimary {
		s.PrimarySilence = m.sim.now - m.lastContact
	}
	return &s
}

// Errors of the simulated members.
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
			return errLost // any error other than a stale term
		}
		if m.applyRemaining > 0 {
			m.sim.after(min(m.applyRemaining, 100*ms), func() { m.applyRemaining -= min(m.applyRemaining, 100*ms) })
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

// promote makes a fenced member the primary and checks the safety rules of the promotion.
func (m *fakeMember) promote() {
	if m.Role == upstream.RolePrimary {
		return
	}
	if other, ok := m.sim.promoted[m.Term]; ok {
		m.sim.reportViolation("term %d promoted %s and %s", m.Term, other, m.Member)
	}
	m.sim.promoted[m.Term] = m.Member
	n, _ := slices.BinarySearch(m.sim.committedIn, m.Term)
	if c := m.sim.committed[:n]; len(m.log) < n || !slices.Equal(m.log[:n], c) {
		m.sim.reportViolation("%s was promoted in term %d without the records committed before", m.Member, m.Term)
	}
	m.Role = upstream.RolePrimary
	m.append()
}

func (m *fakeMember) append() {
	m.sim.ids++
	m.log = append(m.log, entry{m.Term, m.sim.ids})
}

// replicate copies the primary's log.
func (m *fakeMember) replicate() {
	if !m.alive || m.Role != upstream.RoleReplica {
		return
	}
	p := m.sim.member(m.follows)
	switch {
	case m.sim.isPartitioned(string(m.Member), string(p.Member)):
		return
	case !p.alive:
		m.lastContact = min(m.lastContact, m.sim.now-400*ms)
		return
	case p.Role != upstream.RolePrimary || p.Term != m.Term:
		return
	}
	m.lastContact = m.sim.now
	if !m.matched {
		n := 0
		for n < len(m.log) && n < len(p.log) && m.log[n] == p.log[n] {
			n++
		}
		m.log, m.matched = slices.Clone(m.log[:n]), true
	}
	if m.sim.random.IntN(4) > 0 {
		m.log = append(m.log, p.log[len(m.log):]...)
	}
}

// callFault describes the faults of one call. sent runs when the call is sent, and effect after the member applied it.
type callFault struct {
	loseRequest, loseAnswer bool
	late, again             time.Duration
	sent, effect            func()
}

type delivery struct {
	at time.Duration
	f  func()
}

type simulation struct {
	random      *rand.Rand
	now         time.Duration
	members     []*fakeMember
	promoters   []*promoter
	deliveries  []delivery
	partitioned map[[2]string]bool
	callFault   func(p *promoter, kind string, m *fakeMember) callFault
	promoted    map[position.Term]upstream.MemberID
	// committed is the longest log prefix that a majority had received in the term of its last record. committedIn holds
	// the term in which each record was committed.
	committed   []entry
	committedIn []position.Term
	ids, acked  int
	violations  []string
	// refused is the error of the operator's request, if any.
	refused error
}

func newModel(seed uint64, promoters, members int) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 1)), partitioned: map[[2]string]bool{}, promoted: map[position.Term]upstream.MemberID{}}
	sim.callFault = func(*promoter, string, *fakeMember) callFault { return callFault{} }
	for _, id := range []upstream.MemberID{"a", "b", "c", "d", "e"}[:members] {
		m := &fakeMember{sim: sim, alive: true, follows: "a", log: []entry{{1, 0}}}
		m.MemberStatus = upstream.MemberStatus{Member: id, Term: 1, Role: upstream.RoleReplica}
		sim.members = append(sim.members, m)
	}
	sim.members[0].Role = upstream.RolePrimary
	for i := range promoters {
		p := &promoter{sim: sim, name: fmt.Sprint("p", i)}
		p.start()
		sim.promoters = append(sim.promoters, p)
	}
	return sim
}

func (sim *simulation) isPartitioned(a, b string) bool {
	return sim.partitioned[[2]string{a, b}] || sim.partitioned[[2]string{b, a}]
}

func (sim *simulation) member(id upstream.MemberID) *fakeMember {
	return sim.members[slices.IndexFunc(sim.members, func(m *fakeMember) bool { return m.Member == id })]
}

func (sim *simulation) reportViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("at %v: ", sim.now)+fmt.Sprintf(format, args...))
}

func (sim *simulation) after(d time.Duration, f func()) {
	sim.deliveries = append(sim.deliveries, delivery{sim.now + d, f})
}

// run advances the simulation to the given time.
func (sim *simulation) run(until time.Duration) {
	for sim.now < until {
		sim.now += step
		due := slices.Clone(sim.deliveries)
		sim.deliveries = slices.DeleteFunc(sim.deliveries, func(d delivery) bool { return d.at <= sim.now })
		for _, d := range due {
			if d.at <= sim.now {
				d.f()
			}
		}
		for _, m := range sim.members {
			m.replicate()
		}
		sim.commit()
		for _, p := range sim.promoters {
			p.run()
		}
	}
}

// commit extends the committed prefix and checks that it never changes.
func (sim *simulation) commit() {
	for _, m := range sim.members {
		t, n := m.log[len(m.log)-1].term, len(m.log)
		have := 0
		for _, o := range sim.members {
			if len(o.log) >= n && o.log[len(o.log)-1].term == t {
				have++
			}
		}
		if have <= len(sim.members)/2 || n == m.checked {
			continue
		}
		m.checked = n
		c := sim.committed
		if k := min(len(c), n); !slices.Equal(c[:k], m.log[:k]) {
			sim.reportViolation("committed records changed at %s", m.Member)
		}
		for i := len(c); i < n; i++ {
			sim.committed = append(sim.committed, m.log[i])
			sim.committedIn = append(sim.committedIn, t)
		}
	}
}

// promoter simulates a home that runs a machine.
type promoter struct {
	sim             *simulation
	name            string
	machine         *Machine
	tracker         *quorum.Tracker
	incarnation     int
	wantsHome, idle bool
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
	// undrained prevents the home from reporting drained writes.
	undrained bool
}

// start restarts the process without state from its previous incarnation.
func (p *promoter) start() {
	var ids []upstream.MemberID
	c := Config{Group: "g", Owner: instance.ID(p.name)}
	for _, m := range p.sim.members {
		ids = append(ids, m.Member)
		c.Members = append(c.Members, Member{ID: m.Member})
	}
	p.incarnation++
	p.events = nil
	p.end()
	p.streams = map[upstream.MemberID]bool{}
	p.waiting = map[position.Position]entry{}
	p.tracker = quorum.New(ids)
	p.machine = New(c, rand.NewPCG(p.sim.random.Uint64(), 2))
}

func (p *promoter) at() time.Time { return epoch.Add(p.sim.now) }

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
	sim := p.sim
	for _, m := range sim.members {
		if sim.isPartitioned(p.name, string(m.Member)) || sim.now%(50*ms) != 0 {
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
	if sim.now < p.pausedUntil {
		return
	}
	for len(p.events) > 0 && sim.now >= p.pausedUntil {
		f := p.events[0]
		p.events = p.events[1:]
		f()
	}
	if p.wantsHome && p.idle && sim.now >= p.claimAt {
		p.idle = false
		p.do(p.machine.Start(p.at()))
	}
	if next, ok := p.machine.NextTick(); ok && !p.at().Before(next) {
		p.do(p.machine.Tick(p.at()))
	}
	p.write()
}

// observe passes a status to the tracker and completes the commits that it acknowledges.
func (p *promoter) observe(s *upstream.MemberStatus) {
	p.tracker.Observe(s, p.at())
	for pos, e := range p.waiting {
		if !p.tracker.MajorityReceived(pos) {
			continue
		}
		delete(p.waiting, pos)
		p.sim.acked++
		if c := p.sim.committed; len(c) < int(pos.LSN) || c[pos.LSN-1] != e {
			p.sim.reportViolation("%s acknowledged %v, which no majority has", p.name, pos)
		}
	}
}

// write appends one record on the known primary, and reports drained writes.
func (p *promoter) write() {
	if p.held && p.drain && !p.undrained {
		p.drain = false
		p.do(p.machine.WritesDrained(p.at()))
	}
	if p.idle || p.held || p.primary == "" || p.sim.now%(20*ms) != 0 {
		return
	}
	m := p.sim.member(p.primary)
	if !m.alive || p.sim.isPartitioned(p.name, string(p.primary)) || m.Role != upstream.RolePrimary || m.Generation != p.claim.Generation {
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
			p.claimAt = p.sim.now + 500*ms + time.Duration(p.sim.random.IntN(2000))*ms
		case HoldWrites:
			if !p.held {
				p.heldAt = p.sim.now
			}
			p.held, p.drain = true, a.Drain
		case ReleaseWrites:
			p.maxHold = max(p.maxHold, p.sim.now-p.heldAt)
			p.held = false
		case SwitchoverFailed:
			p.failed = append(p.failed, a.Cause)
		case Record:
			p.records = append(p.records, a.Explanation)
		}
	}
}

// end clears the state of the home role; stop ends the role on request.
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

// call delivers an action to a member and returns its result, with the faults that the test injects.
func (p *promoter) call(kind string, id upstream.MemberID, timeout time.Duration, a Action, done func(*upstream.MemberStatus, *upstream.MemberError) []Action) {
	sim, m := p.sim, p.sim.member(id)
	f := sim.callFault(p, kind, m)
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
	gone := func() bool { return sim.isPartitioned(p.name, string(id)) || p.incarnation != incarnation }
	sim.after(timeout, func() {
		if p.incarnation == incarnation {
			answer(nil, errLost)
		}
	})
	if f.loseRequest {
		return
	}
	arrive := func() {
		if sim.isPartitioned(p.name, string(id)) || p.incarnation != incarnation && f.late == 0 && f.again == 0 {
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
			sim.after(time.Duration(sim.random.IntN(3))*ms, func() {
				if !gone() {
					answer(s, err)
				}
			})
		}
	}
	sim.after(f.late+time.Duration(sim.random.IntN(3))*ms, arrive)
	if f.again > 0 {
		sim.after(f.again, arrive)
	}
}
