package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/celerystep/celerystep/platform/platformtest"
)

const (
	// heartbeat is the time between two writes of a member to its service-discovery entry.
	heartbeat = 1200 * time.Millisecond
	// promoteDelay is the time from the call that promotes a member until it leads.
	promoteDelay = 600 * time.Millisecond
	// memberSlots is the number of statements that a member runs at once.
	memberSlots = 3
	// statementWork is how long a member works on a read, a write or a commit.
	statementWork = 3 * time.Millisecond
	// maxConnections bounds the connections to a member.
	maxConnections = 21
)

// group is a stand-in for a replicated database group and for the interface that promotes its members.
type group struct {
	name   string
	names  names
	store  *platformtest.Store
	record *recorder
	orders *httptest.Server
	// syncReplicas is the number of replicas that have received a commit before it is acknowledged.
	syncReplicas int

	mu      sync.Mutex
	term    int
	log     []commit
	members []*dbMember
	fence   uint64
	runs    []run
	// lost lists the acknowledged commits that a promotion discarded.
	lost []commit
}

// commit is one entry of the group's log.
type commit struct {
	id           string
	at           time.Time
	items        map[string]string
	acknowledged bool
}

// run is a statement of a consumer that a member received.
type run struct {
	at                       time.Time
	member, domain, id, text string
	// ok is true if the member ran the statement with success.
	ok bool
}

// dbMember is a stand-in for one member.
type dbMember struct {
	group    *group
	id       string
	domain   string
	listener net.Listener
	// lag is the time after which the member has received a commit.
	lag     time.Duration
	primary bool
	left    bool
	// paused is true while the member does not reach the store.
	paused bool
	// deafSince is when the member has ceased to receive commits; zero while it receives them.
	deafSince time.Time
	started   time.Time
	conns     map[net.Conn]bool
	slots     chan struct{}
	sequence  int
}

func newGroup(name string, n names, store *platformtest.Store, r *recorder, syncReplicas int) *group {
	g := &group{name: name, names: n, store: store, record: r, term: 1, syncReplicas: syncReplicas}
	g.orders = httptest.NewServer(http.HandlerFunc(g.promote))
	return g
}

// ordersAddress returns the address of the interface that promotes members.
func (g *group) ordersAddress() string { return strings.TrimPrefix(g.orders.URL, "http://") }

// add starts a member, which registers itself. The first one is the primary.
func (g *group) add(id, domain string, lag time.Duration) (*dbMember, error) {
	l, err := net.Listen("tcp4", platformtest.LoopbackIP()+":0")
	if err != nil {
		return nil, err
	}
	m := &dbMember{
		group: g, id: id, domain: domain, listener: l, lag: lag, started: time.Now(),
		conns: make(map[net.Conn]bool), slots: make(chan struct{}, memberSlots),
	}
	g.mu.Lock()
	m.primary = len(g.members) == 0
	g.members = append(g.members, m)
	g.mu.Unlock()
	go m.accept()
	go m.beat()
	return m, nil
}

// beat writes the member's entry until the member has left.
func (m *dbMember) beat() {
	for m.register() {
		time.Sleep(heartbeat)
	}
}

// register writes the member's entry. It returns false once the member has left.
func (m *dbMember) register() bool {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.left {
		return false
	}
	if m.paused {
		return true
	}
	m.sequence++
	role := "replica"
	if m.primary {
		role = "primary"
	}
	g.store.Put(g.names.MemberPrefix+m.id, map[string]any{
		"service": g.name, "address": m.listener.Addr().String(), "zone": m.domain, "version": "v1", "capacity": memberSlots, "state": "ready",
		"dbRole": role, "sequence": m.sequence, "born": m.started.UnixMilli(),
		g.names.WarmupField: 0,
	})
	return true
}

// pause sets whether the member does not reach the store. Its entry is written again by resume.
func (m *dbMember) pause(paused bool) {
	if !paused {
		return
	}
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.paused = true
}

// expire removes the member's entry, as the store does after a time of silence.
func (m *dbMember) expire() {
	m.group.store.Delete(m.group.names.MemberPrefix + m.id)
	m.group.record.printf("the entry of %s has expired", m.id)
}

// resume lets the member write its entry again.
func (m *dbMember) resume() {
	m.group.mu.Lock()
	m.paused = false
	m.group.mu.Unlock()
	m.register()
	m.group.record.printf("the entry of %s is back", m.id)
}

// setDeaf sets whether the member receives no commits.
func (g *group) setDeaf(m *dbMember, deaf bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.deafSince = time.Time{}
	if deaf {
		m.deafSince = time.Now()
	}
	g.record.printf("member %s receives nothing: %t", m.id, deaf)
}

// lostCommits returns the acknowledged commits that a promotion discarded.
func (g *group) lostCommits() []commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]commit(nil), g.lost...)
}

// close ends the member and removes its entry.
func (m *dbMember) close() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if m.left {
		return
	}
	m.left = true
	_ = m.listener.Close()
	for c := range m.conns {
		_ = c.Close()
	}
	m.group.store.Delete(m.group.names.MemberPrefix + m.id)
}

// promote serves the calls that promote a member.
func (g *group) promote(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	_ = json.NewDecoder(r.Body).Decode(&order)
	token, _ := strconv.ParseUint(r.Header.Get(g.names.FenceHeader), 10, 64)
	g.mu.Lock()
	defer g.mu.Unlock()
	var target *dbMember
	for _, m := range g.members {
		if m.id == order.ID && !m.left {
			target = m
		}
	}
	g.record.printf("order to promote %s under token %d", order.ID, token)
	if target == nil || token < g.fence || order.Service != g.name {
		w.WriteHeader(http.StatusConflict)
		return
	}
	g.fence = token
	if target.primary {
		return
	}
	time.AfterFunc(promoteDelay, func() { g.lead(target, token) })
}

// lead makes the member the primary of a new term with what it has received.
func (g *group) lead(target *dbMember, token uint64) {
	g.mu.Lock()
	if token < g.fence || target.primary || target.left {
		g.mu.Unlock()
		return
	}
	received := g.received(target, time.Now())
	for _, c := range g.log[received:] {
		if c.acknowledged {
			g.lost = append(g.lost, c)
			g.record.printf("PROMOTED WITHOUT an acknowledged commit: id %s, acknowledged, not in the log of %s", c.id, target.id)
		}
	}
	g.log = g.log[:received]
	var before *dbMember
	for _, m := range g.members {
		if m.primary {
			before = m
		}
		m.primary = m == target
	}
	g.term++
	g.record.printf("%s leads term %d with %d commits", target.id, g.term, received)
	g.mu.Unlock()
	target.register()
	if before != nil {
		before.register()
	}
}

// received returns how many commits the member has received. The group is locked.
func (g *group) received(m *dbMember, now time.Time) int {
	if m.primary {
		return len(g.log)
	}
	if !m.deafSince.IsZero() {
		now = m.deafSince
	}
	n := 0
	for n < len(g.log) && now.Sub(g.log[n].at) >= m.lag {
		n++
	}
	return n
}

func (m *dbMember) accept() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			return
		}
		go m.serve(c)
	}
}

// dbSession is the state of one connection to a member.
type dbSession struct {
	m        *dbMember
	customer string
	prepared map[string]string
	open     bool
	failed   bool
	readOnly bool
	// term is the term in which a plain transaction was opened.
	term  int
	items map[string]string
}

func (m *dbMember) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	g := m.group
	r := bufio.NewReaderSize(c, 64<<10)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	f := strings.Fields(line)
	g.mu.Lock()
	refusal := ""
	switch {
	case len(f) < 3 || f[0] != "START" || f[1] != g.name || len(f) > 3 && f[3] != m.id:
		refusal = "WRONGNODE"
	case len(m.conns) >= maxConnections:
		refusal = g.names.ConnLimit
	default:
		m.conns[c] = true
	}
	g.mu.Unlock()
	if refusal != "" {
		_, _ = fmt.Fprintf(c, "ERROR %s %s\r\n", refusal, m.id)
		return
	}
	defer func() {
		g.mu.Lock()
		delete(m.conns, c)
		g.mu.Unlock()
	}()
	_, _ = fmt.Fprint(c, "READY I -\r\n")
	s := &dbSession{m: m, customer: f[2], prepared: make(map[string]string)}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		parts := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 3)
		if len(parts) != 3 || parts[0] != "QUERY" {
			return
		}
		answer := s.answer(parts[1], parts[2])
		if answer == "" {
			return
		}
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// codeNoAnswer stands for an outcome that the member does not know: it closes the connection.
const codeNoAnswer = "no answer"

// answer runs a statement and returns the messages of its answer, or "" if the connection must be closed.
func (s *dbSession) answer(id, text string) string {
	g := s.m.group
	if word, _, _ := strings.Cut(text, " "); word != "SET" && word != "PREPARE" && word != "RESET" && word != "BEGIN" && word != "ROLLBACK" {
		s.m.slots <- struct{}{}
		time.Sleep(statementWork)
		defer func() { <-s.m.slots }()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if id != "-" {
		g.record.printf("member %s (%s) received for %s: QUERY %s %s", s.m.id, s.m.domain, s.customer, id, brief(text))
	}
	at := time.Now()
	body, code := s.run(id, text)
	if id != "-" {
		g.runs = append(g.runs, run{at, s.m.id, s.m.domain, id, text, code == ""})
	}
	if code == codeNoAnswer {
		return ""
	}
	if code != "" {
		s.failed = s.open
		body = "ERROR " + code + " " + s.m.id + "\r\n"
	}
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.open:
		state = "T"
	}
	return body + fmt.Sprintf("READY %s %d.%d\r\n", state, g.term, g.received(s.m, time.Now()))
}

// run runs a statement. The group is locked.
func (s *dbSession) run(id, text string) (body, code string) {
	g := s.m.group
	received := g.received(s.m, time.Now())
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		p, rest, _ := strings.Cut(rest, " ")
		term, number, _ := strings.Cut(p, ".")
		t, _ := strconv.Atoi(term)
		n, _ := strconv.Atoi(number)
		if t > g.term || n > received {
			return "", "LAGGING"
		}
		text = rest
	}
	const done = "COMPLETE -\r\n"
	word, rest, _ := strings.Cut(text, " ")
	if s.failed && word != "ROLLBACK" && word != "COMMIT" {
		return "", "MALFORMED"
	}
	switch word {
	case "STATUS":
		role := "replica"
		if s.m.primary {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %d.%d %d 0 %d %d\r\n"+done, role, g.term, g.term, received, g.term, len(s.m.slots), len(s.m.conns)), ""
	case "BEGIN":
		if rest != "READ" && !s.m.primary {
			return "", "READONLY"
		}
		s.open, s.readOnly, s.term, s.items = true, rest == "READ", g.term, make(map[string]string)
		return done, ""
	case "ROLLBACK":
		s.open, s.failed = false, false
		return done, ""
	case "COMMIT":
		return s.commit(id)
	case "SET":
		return done, ""
	case "RESET":
		s.prepared = make(map[string]string)
		return done, ""
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		mode, _, _ := strings.Cut(shape, " ")
		s.prepared[name] = mode
		return done, ""
	case "EXECUTE":
		name, args, _ := strings.Cut(rest, " ")
		mode, ok := s.prepared[name]
		if !ok {
			return "", "NOSUCHSTMT"
		}
		return s.access(id, mode, args, received)
	default:
		return s.access(id, word, rest, received)
	}
}

// lostLead reports whether the session's plain transaction is at a member that has lost the lead since.
func (s *dbSession) lostLead() bool {
	return s.open && !s.readOnly && (!s.m.primary || s.term != s.m.group.term)
}

// access runs a READ or a WRITE. The group is locked.
func (s *dbSession) access(id, word, args string, received int) (body, code string) {
	g := s.m.group
	item, data, _ := strings.Cut(args, " ")
	receipt := "COMPLETE mac." + s.m.id + "." + id + "\r\n"
	switch {
	case word != "READ" && word != "WRITE":
		return "", "MALFORMED"
	case s.lostLead():
		return "", "READONLY"
	case word == "READ":
		value := ""
		for _, c := range g.log[:received] {
			if v, ok := c.items[item]; ok {
				value = v
			}
		}
		if v, ok := s.items[item]; ok && s.open {
			value = v
		}
		return "ROW " + value + "\r\n" + receipt, ""
	case !s.m.primary || s.open && s.readOnly:
		return "", "READONLY"
	case s.open:
		s.items[item] = data
		return receipt, ""
	default:
		return s.append(id, map[string]string{item: data}, receipt)
	}
}

func (s *dbSession) commit(id string) (body, code string) {
	if !s.open {
		return "", "MALFORMED"
	}
	failed, lost := s.failed, s.lostLead()
	s.open, s.failed = false, false
	receipt := "COMPLETE mac." + s.m.id + "." + id + "\r\n"
	switch {
	case failed:
		return "", "ABORTED"
	case len(s.items) == 0:
		return receipt, ""
	case lost:
		return "", "READONLY"
	}
	return s.append(id, s.items, receipt)
}

// append adds a commit to the log and waits until enough replicas have received it. The group is locked.
func (s *dbSession) append(id string, items map[string]string, receipt string) (body, code string) {
	g := s.m.group
	at, term := time.Now(), g.term
	index := len(g.log)
	g.log = append(g.log, commit{id: id, at: at, items: items})
	for g.holders(index) < g.syncReplicas {
		g.mu.Unlock()
		time.Sleep(time.Millisecond)
		g.mu.Lock()
		if g.term != term {
			return "", codeNoAnswer
		}
	}
	g.log[index].acknowledged = true
	return receipt, ""
}

// holders returns how many replicas have received the commit with the index. The group is locked.
func (g *group) holders(index int) int {
	n := 0
	for _, m := range g.members {
		if !m.primary && !m.left && g.received(m, time.Now()) > index {
			n++
		}
	}
	return n
}

// snapshot returns the statements that members received so far.
func (g *group) snapshot() []run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]run(nil), g.runs...)
}

// close ends all members.
func (g *group) close() {
	for _, m := range g.members {
		m.close()
	}
	g.orders.Close()
}
